#include <gtest/gtest.h>
#include <signal.h>

#include <future>

#include "load.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Stated target of the failover gap at the fleet size expected in two years.
constexpr seconds kFailoverTarget(6);
constexpr seconds kWaitLimit(15);
constexpr int kWrites = 60;
constexpr int kRaces = 4;

class PlatformOutageTest : public testing::Test {
 protected:
  PlatformOutageTest() : fleet(FleetOptions()) { this->fleet.Start(); }

  void SetOutage(bool on) {
    this->fleet.SetTestSwitch(this->fleet.PlatformAddress(), "outage", {{"on", on}});
  }

  bool InForce(std::uint64_t number) {
    for (int proxy = 0; proxy < this->fleet.ProxyCount(); ++proxy) {
      const json status = this->fleet.Status(proxy);
      if (!status.is_object() || status.value("configuration_number", 0U) != number) {
        return false;
      }
    }
    return true;
  }

  Fleet fleet;
};

// Guards against a failover, a proxy restart or requests that fail because the platform is not
// available.
TEST_F(PlatformOutageTest, FailoverRestartAndRequestsWorkDuringIt) {
  constexpr int kRestarted = 2;
  Load load(this->fleet, LoadOptions());
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  this->SetOutage(true);
  const std::string old_primary = this->fleet.ActingPrimary("orders", kWaitLimit);
  const auto lost_at = steady_clock::now();
  this->fleet.BackendProcess(old_primary).Signal(SIGKILL);
  const auto gap = load.GapAfter(lost_at, kWaitLimit);
  ASSERT_TRUE(gap.has_value());
  EXPECT_LE(*gap, kFailoverTarget);
  std::printf("failover gap %d ms\n", static_cast<int>(gap->count()));
  this->fleet.ProxyProcess(kRestarted).Signal(SIGKILL);
  this->fleet.StartProxy(kRestarted);
  const auto ready = [&] {
    const json status = this->fleet.Status(kRestarted);
    return status.is_object() && status.value("ready", false);
  };
  EXPECT_TRUE(Fleet::WaitUntil(ready, kWaitLimit));
  EXPECT_EQ(this->fleet.Status(kRestarted).value("configuration_number", 0), 1);
  const auto writes = [&] {
    return this->fleet.Execute(kRestarted, "orders", {{"statements", {"PUT x y"}}}).outcome ==
           "result";
  };
  EXPECT_TRUE(Fleet::WaitUntil(writes, kWaitLimit));
  const CallerAnswer read =
      this->fleet.Execute(kRestarted, "orders", {{"statements", {"GET x"}}, {"read_only", true}});
  EXPECT_EQ(read.outcome, "result") << read.body.dump();
  EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  load.Stop();
  const auto violations = load.Check(this->fleet.ActingPrimary("orders", kWaitLimit));
  EXPECT_TRUE(violations.empty()) << Describe(violations);
}

// Guards against a ticket that was accepted but is reported as a failure or accepted twice because
// the answer to its write was lost.
TEST_F(PlatformOutageTest, LostAnswerOfATicketWriteCountsAsAccepted) {
  this->fleet.SetTestSwitch(this->fleet.PlatformAddress(), "lose-answers", {{"count", 1}});
  EXPECT_EQ(this->fleet.ApplyTicket(this->fleet.Ticket(2, "lost-answer")), 0);
  EXPECT_TRUE(Fleet::WaitUntil([&] { return this->InForce(2); }, kWaitLimit));
}

// Guards against two operators whose commands both report that their ticket with the same number
// was accepted. In every other race, the platform loses an answer.
TEST_F(PlatformOutageTest, OneOfTwoRacingTicketsIsAccepted) {
  for (int race = 0; race < kRaces; ++race) {
    SCOPED_TRACE(race);
    const std::uint64_t number = 2 + race;
    const auto apply = [&](const std::string& author) {
      return this->fleet.ApplyTicket(
          this->fleet.Ticket(number, author + "-" + std::to_string(race)));
    };
    if (race % 2 == 1) {
      this->fleet.SetTestSwitch(this->fleet.PlatformAddress(), "lose-answers", {{"count", 1}});
    }
    auto first = std::async(std::launch::async, [&] { return apply("first"); });
    const int second_code = apply("second");
    const int first_code = first.get();
    EXPECT_EQ((first_code == 0) + (second_code == 0), 1) << first_code << " " << second_code;
    EXPECT_TRUE(Fleet::WaitUntil([&] { return this->InForce(number); }, kWaitLimit));
  }
}

}  // namespace
}  // namespace sycamoredrum
