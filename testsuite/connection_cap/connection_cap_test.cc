#include <gtest/gtest.h>
#include <signal.h>

#include "load.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Small enough for the load to reach it.
constexpr int kCap = 4;
constexpr int kCallers = 24;
constexpr int kWrites = 200;
constexpr seconds kWaitLimit(15);

class ConnectionCapTest : public testing::Test {
 protected:
  ConnectionCapTest() : fleet(Options()) { this->fleet.Start(); }

  static FleetOptions Options() {
    FleetOptions options;
    options.connection_cap = kCap;
    return options;
  }

  int PeakConnections(const std::string& server) {
    const HttpResult result =
        this->fleet.Call(this->fleet.ControlAddress(server), "GET", "/test/stats");
    return json::parse(result.response.body).at("peak_connections").get<int>();
  }

  /// Sum of the connection limits that all holders of a server have set for their pools.
  int SumOfLimits(const std::string& server) {
    int sum = 0;
    for (int proxy = 0; proxy < this->fleet.ProxyCount(); ++proxy) {
      const json status = this->fleet.Status(proxy);
      for (const json& pool : status.is_object() ? status.at("pools") : json::array()) {
        sum += pool.at("backend_server") == server ? pool.at("limit").get<int>() : 0;
      }
    }
    return sum;
  }

  void ExpectWithinCap() {
    for (const std::string& server : this->fleet.BackendServers("orders")) {
      EXPECT_LE(this->PeakConnections(server), kCap) << server;
      const auto fits = [&] {
        const int limits = this->SumOfLimits(server);
        return limits > 0 && limits <= kCap;
      };
      EXPECT_TRUE(Fleet::WaitUntil(fits, kWaitLimit)) << server << " " << this->SumOfLimits(server);
    }
  }

  Fleet fleet;
};

// Guards against more connections to a backend server than its cap, under load and when duties move
// to other proxies because one is killed and restarted.
TEST_F(ConnectionCapTest, IsNeverExceeded) {
  LoadOptions options;
  options.callers = kCallers;
  options.pause = milliseconds(0);
  Load load(this->fleet, options);
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  this->ExpectWithinCap();
  for (const int proxy : {0, 3}) {
    this->fleet.ProxyProcess(proxy).Signal(SIGKILL);
    EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
    this->fleet.StartProxy(proxy);
    const auto ready = [&] {
      const json status = this->fleet.Status(proxy);
      return status.is_object() && status.value("ready", false);
    };
    EXPECT_TRUE(Fleet::WaitUntil(ready, kWaitLimit));
    EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  }
  this->ExpectWithinCap();
  load.Stop();
  EXPECT_GT(this->PeakConnections(this->fleet.ActingPrimary("orders", kWaitLimit)), 1);
  const auto violations = load.Check(this->fleet.ActingPrimary("orders", kWaitLimit));
  EXPECT_TRUE(violations.empty()) << Describe(violations);
}

}  // namespace
}  // namespace sycamoredrum
