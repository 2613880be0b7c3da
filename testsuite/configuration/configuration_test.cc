#include <gtest/gtest.h>
#include <signal.h>

#include "fleet.h"
#include "sycamoredrum/sha256.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Stated target: an accepted configuration is in force everywhere within this time.
constexpr seconds kInForceTarget(4);
constexpr seconds kWaitLimit(15);
constexpr std::uint64_t kTickets = 5;

std::uint64_t ConfigurationNumber(const json& status) {
  return status.is_object() ? status.value("configuration_number", std::uint64_t{0}) : 0;
}

class ConfigurationTest : public testing::Test {
 protected:
  ConfigurationTest() : fleet(Options()) { this->fleet.Start(); }

  static FleetOptions Options() {
    FleetOptions options;
    options.databases = {"orders", "stock"};
    return options;
  }

  bool InForce(std::uint64_t number) {
    for (int proxy = 0; proxy < this->fleet.ProxyCount(); ++proxy) {
      if (ConfigurationNumber(this->fleet.Status(proxy)) < number) {
        return false;
      }
    }
    return true;
  }

  void Apply(std::uint64_t number) {
    ASSERT_EQ(this->fleet.ApplyTicket(this->fleet.Ticket(number, "t" + std::to_string(number))), 0);
    ASSERT_TRUE(Fleet::WaitUntil([&] { return this->InForce(number); }, kWaitLimit));
  }

  /// Kills and restarts a proxy. The configuration number in its status must never decrease, and
  /// must be at least `latest` when the proxy is ready.
  void RestartAndCheckNumber(int proxy, std::uint64_t latest) {
    this->fleet.ProxyProcess(proxy).Signal(SIGKILL);
    this->fleet.StartProxy(proxy);
    std::uint64_t last_number = 0;
    const auto ready = [&] {
      const json status = this->fleet.Status(proxy);
      const bool is_ready = status.is_object() && status.value("ready", false);
      if (status.is_object()) {
        EXPECT_GE(ConfigurationNumber(status), last_number);
        last_number = ConfigurationNumber(status);
      }
      if (is_ready) {
        EXPECT_GE(last_number, latest);
      }
      return is_ready;
    };
    EXPECT_TRUE(Fleet::WaitUntil(ready, kWaitLimit));
  }

  CallerAnswer Read(int proxy, const std::string& database) {
    return this->fleet.Execute(proxy, database, {{"statements", {"GET key"}}, {"read_only", true}});
  }

  Fleet fleet;
};

// Guards against a ticket that is in force at some proxies later than the target. The time starts
// before the command, so it includes the acceptance of the ticket.
TEST_F(ConfigurationTest, IsInForceEverywhereInTime) {
  for (std::uint64_t number = 2; number <= kTickets; ++number) {
    const auto start = steady_clock::now();
    this->Apply(number);
    const auto time = duration_cast<milliseconds>(steady_clock::now() - start);
    EXPECT_LE(time, kInForceTarget);
    std::printf("ticket %d in force at all proxies after %d ms\n", static_cast<int>(number),
                static_cast<int>(time.count()));
  }
}

// Guards against a restarted proxy that serves with an older configuration, both with the platform
// available and during its outage.
TEST_F(ConfigurationTest, RestartedProxyNeverShowsALowerNumber) {
  for (std::uint64_t number = 2; number <= kTickets; ++number) {
    this->Apply(number);
  }
  this->RestartAndCheckNumber(1, kTickets);
  this->fleet.SetTestSwitch(this->fleet.PlatformAddress(), "outage", {{"on", true}});
  this->RestartAndCheckNumber(4, kTickets);
}

// Guards against a token that keeps the rights of its old caller group after it moved to another.
TEST_F(ConfigurationTest, MovedTokenHasTheRightsOfItsNewGroup) {
  ASSERT_EQ(this->Read(0, "orders").outcome, "result");
  json ticket = this->fleet.Ticket(2, "move");
  ticket["caller_groups"][0]["token_sha256"] = Sha256Hex("another-token");
  ticket["caller_groups"][0]["databases"] = {"orders"};
  json second = ticket["caller_groups"][0];
  second["name"] = "second";
  second["token_sha256"] = Sha256Hex(Fleet::kToken);
  second["databases"] = {"stock"};
  ticket["caller_groups"].push_back(second);
  ASSERT_EQ(this->fleet.ApplyTicket(ticket), 0);
  ASSERT_TRUE(Fleet::WaitUntil([&] { return this->InForce(2); }, kInForceTarget));
  for (int proxy = 0; proxy < this->fleet.ProxyCount(); ++proxy) {
    SCOPED_TRACE(proxy);
    const CallerAnswer refused = this->Read(proxy, "orders");
    EXPECT_EQ(refused.status, 403) << refused.body.dump();
    EXPECT_EQ(refused.outcome, "not_run");
    EXPECT_EQ(this->Read(proxy, "stock").outcome, "result");
  }
}

}  // namespace
}  // namespace sycamoredrum
