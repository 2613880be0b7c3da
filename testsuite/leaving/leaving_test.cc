#include <gtest/gtest.h>

#include "load.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Stated target: this time after the mark, a leaving backend server gets no new work.
constexpr milliseconds kLeaveTarget(3000);
constexpr seconds kWaitLimit(15);
constexpr int kWrites = 60;

struct LeavingCase {
  std::string name;
  bool by_ticket;
  bool primary;
};

class LeavingTest : public testing::TestWithParam<LeavingCase> {
 protected:
  LeavingTest() : fleet(FleetOptions()) { this->fleet.Start(); }

  void MarkInVmList(std::uint64_t revision, const std::string& leaving) {
    json vms = json::array();
    for (const std::string& server : this->fleet.BackendServers("orders")) {
      vms.push_back({{"id", server + "-vm"},
                     {"host", this->fleet.ControlAddress(server).host},
                     {"data_centre", server.substr(server.find('-') + 1)},
                     {"entry", false},
                     {"leaving", server == leaving}});
    }
    this->SetVmList(revision, vms);
  }

  void SetVmList(std::uint64_t revision, const json& vms) {
    this->fleet.SetTestSwitch(this->fleet.PlatformAddress(), "vms",
                              {{"revision", revision}, {"vms", vms}, {"lag_ms", 0}});
  }

  void MarkInTicket(const std::string& leaving) {
    json ticket = this->fleet.Ticket(2, "leaving");
    for (json& server : ticket["databases"][0]["backend_servers"]) {
      server["leaving"] = server.at("id") == leaving;
    }
    ASSERT_EQ(this->fleet.ApplyTicket(ticket), 0);
  }

  int ExecutedStatements(const std::string& server) {
    const HttpResult result =
        this->fleet.Call(this->fleet.ControlAddress(server), "GET", "/test/stats");
    return json::parse(result.response.body).at("executed").get<int>();
  }

  std::string ChooseServer(bool primary) {
    const std::string acting = this->fleet.ActingPrimary("orders", kWaitLimit);
    for (const std::string& server : this->fleet.BackendServers("orders")) {
      if ((server == acting) == primary) {
        return server;
      }
    }
    return "";
  }

  /// Waits under load until kLeaveTarget after `from`, and then expects that the server executes
  /// nothing while further writes are acknowledged.
  void ExpectNoNewWork(Load& load, const std::string& server, steady_clock::time_point from) {
    Fleet::WaitUntil([&] { return steady_clock::now() >= from + kLeaveTarget; }, kWaitLimit);
    const int before = this->ExecutedStatements(server);
    EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
    EXPECT_EQ(this->ExecutedStatements(server), before);
  }

  void ExpectCorrect(Load& load) {
    load.Stop();
    const auto violations = load.Check(this->fleet.ActingPrimary("orders", kWaitLimit));
    EXPECT_TRUE(violations.empty()) << Describe(violations);
  }

  Fleet fleet;
};

// Guards against new work for a leaving backend server and against a hand-over that loses writes.
TEST_P(LeavingTest, GetsNoNewWorkAndLosesNothing) {
  Load load(this->fleet, LoadOptions());
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  const std::string server = this->ChooseServer(GetParam().primary);
  ASSERT_GT(this->ExecutedStatements(server), 0);
  if (GetParam().by_ticket) {
    this->MarkInTicket(server);
  } else {
    this->MarkInVmList(5, server);
  }
  this->ExpectNoNewWork(load, server, steady_clock::now());
  EXPECT_NE(this->fleet.ActingPrimary("orders", kWaitLimit), server);
  this->ExpectCorrect(load);
}

INSTANTIATE_TEST_SUITE_P(MarkedIn, LeavingTest,
                         testing::Values(LeavingCase{"replica_by_vm_list", false, false},
                                         LeavingCase{"primary_by_vm_list", false, true},
                                         LeavingCase{"replica_by_ticket", true, false},
                                         LeavingCase{"primary_by_ticket", true, true}),
                         [](const auto& info) { return info.param.name; });

using VmListRevisionTest = LeavingTest;

// Guards against a leaving server that gets work again because of an empty or older VM list, and
// against one that gets none after a newer list no longer marks it as leaving.
TEST_P(VmListRevisionTest, OnlyANewerListBringsTheServerBack) {
  Load load(this->fleet, LoadOptions());
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  const std::string server = this->ChooseServer(GetParam().primary);
  this->MarkInVmList(5, server);
  this->ExpectNoNewWork(load, server, steady_clock::now());
  this->MarkInVmList(3, "");
  this->ExpectNoNewWork(load, server, steady_clock::now());
  this->SetVmList(6, json::array());
  this->ExpectNoNewWork(load, server, steady_clock::now());
  const int before = this->ExecutedStatements(server);
  this->MarkInVmList(7, "");
  EXPECT_TRUE(
      Fleet::WaitUntil([&] { return this->ExecutedStatements(server) > before; }, kWaitLimit));
  this->ExpectCorrect(load);
}

INSTANTIATE_TEST_SUITE_P(Lists, VmListRevisionTest,
                         testing::Values(LeavingCase{"replica", false, false}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace sycamoredrum
