#include "loss.h"

#include <gtest/gtest.h>
#include <signal.h>

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Stated target of the failover gap at the fleet size expected in two years.
constexpr seconds kFailoverTarget(6);
// Longer than the target, so that a gap above the target is still measured and reported.
constexpr seconds kWaitLimit(15);
constexpr int kWritesBeforeLoss = 60;
constexpr int kWritesAfterLoss = 60;

void CutNetwork(Fleet& fleet, const std::string& primary, bool proxies, bool replicas) {
  json hosts = json::array();
  for (int proxy = 0; proxies && proxy < fleet.ProxyCount(); ++proxy) {
    hosts.push_back(fleet.ProxyHost(proxy));
  }
  for (const std::string& server : fleet.BackendServers("orders")) {
    if (replicas && server != primary) {
      hosts.push_back(fleet.ControlAddress(server).host);
    }
  }
  fleet.SetTestSwitch(fleet.ControlAddress(primary), "cut", {{"hosts", hosts}, {"mode", "silent"}});
}

void RestoreNetwork(Fleet& fleet, const std::string& primary) {
  fleet.SetTestSwitch(fleet.ControlAddress(primary), "cut",
                      {{"hosts", json::array()}, {"mode", "silent"}});
}

json ServerStatus(Fleet& fleet, const std::string& server) {
  const HttpResult result =
      fleet.Call(fleet.ControlAddress(server), "GET", "/v1/status", "", {}, seconds(1));
  return json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
}

bool IsReplica(Fleet& fleet, const std::string& server) {
  const json status = ServerStatus(fleet, server);
  return status.is_object() && status.value("role", "") == "replica";
}

std::uint64_t LastIndex(Fleet& fleet, const std::string& server) {
  const json status = ServerStatus(fleet, server);
  return status.is_object() ? status.value("last_index", std::uint64_t{0}) : 0;
}

}  // namespace

Loss Killed() {
  const auto lose = [](Fleet& fleet, const std::string& id) {
    fleet.BackendProcess(id).Signal(SIGKILL);
  };
  return {"killed", lose, nullptr};
}

Loss KilledAheadOfReplicas() {
  const auto lose = [](Fleet& fleet, const std::string& id) {
    constexpr std::uint64_t kEntriesAhead = 3;
    CutNetwork(fleet, id, /*proxies=*/false, /*replicas=*/true);
    const std::uint64_t index = LastIndex(fleet, id);
    EXPECT_TRUE(Fleet::WaitUntil([&] { return LastIndex(fleet, id) >= index + kEntriesAhead; },
                                 kWaitLimit));
    fleet.BackendProcess(id).Signal(SIGKILL);
  };
  return {"killed_ahead_of_replicas", lose, nullptr};
}

Loss Stopped() {
  const auto lose = [](Fleet& fleet, const std::string& id) {
    fleet.BackendProcess(id).Signal(SIGSTOP);
  };
  const auto restore = [](Fleet& fleet, const std::string& id) {
    fleet.BackendProcess(id).Signal(SIGCONT);
  };
  return {"stopped", lose, restore};
}

Loss CutOff(bool replicas_too) {
  const auto lose = [replicas_too](Fleet& fleet, const std::string& id) {
    CutNetwork(fleet, id, /*proxies=*/true, replicas_too);
  };
  return {replicas_too ? "cut_from_proxies_and_replicas" : "cut_from_proxies", lose,
          RestoreNetwork};
}

void TestFailoverAfter(const Loss& loss) {
  Fleet fleet{FleetOptions()};
  fleet.Start();
  Load load(fleet, LoadOptions());
  ASSERT_TRUE(load.WaitForWrites(kWritesBeforeLoss, kWaitLimit));
  const std::string old_primary = fleet.ActingPrimary("orders", kWaitLimit);
  ASSERT_NE(old_primary, "");
  const auto lost_at = steady_clock::now();
  loss.lose(fleet, old_primary);
  const auto gap = load.GapAfter(lost_at, kWaitLimit);
  ASSERT_TRUE(gap.has_value()) << "no write was acknowledged after the loss";
  EXPECT_LE(*gap, kFailoverTarget);
  std::printf("failover gap %d ms\n", static_cast<int>(gap->count()));
  EXPECT_TRUE(load.WaitForWrites(kWritesAfterLoss, kWaitLimit));
  if (loss.restore) {
    loss.restore(fleet, old_primary);
    EXPECT_TRUE(Fleet::WaitUntil([&] { return IsReplica(fleet, old_primary); }, kWaitLimit));
    EXPECT_TRUE(load.WaitForWrites(kWritesAfterLoss, kWaitLimit));
  }
  load.Stop();
  const std::string primary = fleet.ActingPrimary("orders", kWaitLimit);
  EXPECT_NE(primary, old_primary);
  const auto violations = load.Check(primary);
  EXPECT_TRUE(violations.empty()) << Describe(violations);
}

}  // namespace sycamoredrum
