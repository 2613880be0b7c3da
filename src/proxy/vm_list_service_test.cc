#include "vm_list_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <nlohmann/json.hpp>

namespace sycamoredrum {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kLimit(20);

std::shared_ptr<const Fleet> ThreeMembers() {
  auto fleet = std::make_shared<Fleet>();
  for (const char* id : {"p0", "p1", "p2"}) {
    Member member;
    member.id = id;
    member.data_centre = "mumbai";
    fleet->members.push_back(member);
  }
  fleet->candidates = DutyCandidates(fleet->members);
  return fleet;
}

// Guards against a member that is no platform watcher and receives changes of the leaving VMs late
// or never, and against an answer that repeats a list that the member already has.
TEST(VmListServiceTest, OtherMembersRequestOnlyChangesFromAPlatformWatcher) {
  EventLoop loop(2);
  Logger logger(LogLevel::kError, LogFormat::kText, loop, [](const std::string&) {});
  FleetSnapshot fleet;
  fleet.Set(ThreeMembers());
  const std::vector<std::string> watchers = PlatformWatchersOf("mumbai", fleet.Get()->candidates);
  std::string other_member = "p0";
  for (const char* id : {"p1", "p2"}) {
    if (std::find(watchers.begin(), watchers.end(), other_member) != watchers.end()) {
      other_member = id;
    }
  }
  PlatformClient platform;
  platform.list_vms = [&](PlatformClient::VmListCallback callback) {
    loop.Post([callback] {
      VmList list;
      list.revision = 5;
      list.vms = {VmRecord{"vm-1", "127.0.0.1", "mumbai", false, true}};
      callback(PlatformStatus::kOk, list);
    });
  };
  LeavingSnapshot watcher_leaving;
  LeavingSnapshot requester_leaving;
  std::promise<void> watcher_changed;
  std::promise<void> requester_changed;
  std::promise<std::string> second_answer;
  std::atomic<int> peer_calls{0};
  const auto ignore_hosts = [](const std::vector<std::string>&) {};
  VmListService watcher(VmListService::Dependencies{
      loop, watchers[0], "mumbai", fleet, watcher_leaving, platform, PeerCall(), logger,
      [] { return 1; }, [&] { watcher_changed.set_value(); }, ignore_hosts});
  const PeerCall call = [&](const std::string&, const std::string& kind, const std::string& body,
                            Duration, PeerCallback callback) {
    EXPECT_EQ(kind, "vms");
    loop.Post([&, body, callback] {
      PeerAnswer answer;
      answer.body = watcher.AnswerVms(body);
      if (++peer_calls == 2) {
        second_answer.set_value(answer.body);
      }
      callback(answer);
    });
  };
  VmListService requester(VmListService::Dependencies{
      loop, other_member, "mumbai", fleet, requester_leaving, PlatformClient(), call, logger,
      [] { return 1; }, [&] { requester_changed.set_value(); }, ignore_hosts});
  watcher.Start();
  ASSERT_EQ(watcher_changed.get_future().wait_for(kLimit), std::future_status::ready);
  requester.Start();
  ASSERT_EQ(requester_changed.get_future().wait_for(kLimit), std::future_status::ready);
  EXPECT_EQ(requester_leaving.Get()->ids, std::set<std::string>{"vm-1"});
  auto second = second_answer.get_future();
  ASSERT_EQ(second.wait_for(kLimit), std::future_status::ready);
  EXPECT_TRUE(json::parse(second.get()).at("vms").empty());
  EXPECT_EQ(requester_leaving.Get()->ids, std::set<std::string>{"vm-1"});
  loop.Stop();
  loop.Join();
}

}  // namespace
}  // namespace sycamoredrum
