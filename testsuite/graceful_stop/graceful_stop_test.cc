#include <gtest/gtest.h>
#include <signal.h>

#include "load.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr seconds kWaitLimit(20);
constexpr int kWrites = 100;

bool WasCutOff(const Attempt& attempt) {
  return attempt.outcome == Outcome::kUnknown || attempt.reason == "stopping" ||
         attempt.reason.rfind("no complete answer", 0) == 0;
}

std::string DescribeCutOff(const std::vector<Attempt>& attempts) {
  std::string text;
  for (const Attempt& attempt : attempts) {
    if (WasCutOff(attempt)) {
      text += (attempt.write ? "write " : "read ") + attempt.key + " through proxy " +
              std::to_string(attempt.proxy) + ": " + attempt.reason + "\n";
    }
  }
  return text;
}

class GracefulStopTest : public testing::TestWithParam<bool> {};

// Guards against requests that are cut off or refused when two proxies are stopped at once, with
// the platform available and during its outage.
TEST_P(GracefulStopTest, StopOfTwoProxiesCutsOffNoRequest) {
  Fleet fleet{FleetOptions()};
  fleet.Start();
  Balancer balancer(fleet);
  LoadOptions options;
  options.may_use = [&](int proxy) { return balancer.MayUse(proxy); };
  Load load(fleet, options);
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  if (GetParam()) {
    fleet.SetTestSwitch(fleet.PlatformAddress(), "outage", {{"on", true}});
  }
  fleet.ProxyProcess(0).Signal(SIGTERM);
  fleet.ProxyProcess(3).Signal(SIGTERM);
  EXPECT_EQ(fleet.ProxyProcess(0).Wait(kWaitLimit), 0);
  EXPECT_EQ(fleet.ProxyProcess(3).Wait(kWaitLimit), 0);
  EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  load.Stop();
  EXPECT_EQ(DescribeCutOff(load.Attempts()), "");
  const auto violations = load.Check(fleet.ActingPrimary("orders", kWaitLimit));
  EXPECT_TRUE(violations.empty()) << Describe(violations);
}

INSTANTIATE_TEST_SUITE_P(Platform, GracefulStopTest, testing::Bool(),
                         [](const auto& info) { return info.param ? "outage" : "available"; });

// Guards against a holder that ends an open interactive transaction when it is stopped.
TEST(GracefulStopTransactionTest, OpenTransactionOfAStoppingHolderCommits) {
  Fleet fleet{FleetOptions()};
  fleet.Start();
  const CallerAnswer begin =
      fleet.CallerCall(0, "/v1/databases/orders/transactions", json::object());
  ASSERT_EQ(begin.outcome, "result") << begin.body.dump();
  const std::string id = begin.body.at("transaction");
  const int holder = std::stoi(id.substr(id.find('-') + 1));
  const int entry = (holder + 2) % fleet.ProxyCount();
  fleet.ProxyProcess(holder).Signal(SIGTERM);
  const auto draining = [&] { return !fleet.Status(holder).value("ready", true); };
  ASSERT_TRUE(Fleet::WaitUntil(draining, kWaitLimit));
  const std::string target = "/v1/transactions/" + id;
  const CallerAnswer run =
      fleet.CallerCall(entry, target + "/execute", {{"statements", {"PUT key value"}}});
  EXPECT_EQ(run.outcome, "result") << run.body.dump();
  const CallerAnswer commit = fleet.CallerCall(entry, target + "/commit", json::object());
  EXPECT_EQ(commit.outcome, "result") << commit.body.dump();
  EXPECT_EQ(fleet.ProxyProcess(holder).Wait(kWaitLimit), 0);
  EXPECT_EQ(fleet.Value(fleet.ActingPrimary("orders", kWaitLimit), "key"), "value");
}

}  // namespace
}  // namespace sycamoredrum
