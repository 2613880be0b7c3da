#include "sycamoredrum/duties.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace sycamoredrum {
namespace {

using testing::IsEmpty;
using testing::SizeIs;
using testing::UnorderedElementsAre;

Member MakeMember(const std::string& id, const std::string& data_centre,
                  MemberState state = MemberState::kAlive) {
  Member member;
  member.id = id;
  member.data_centre = data_centre;
  member.state = state;
  return member;
}

DatabaseConfig Orders() {
  DatabaseConfig database;
  database.name = "orders";
  for (const char* data_centre : {"mumbai", "chennai", "kolkata"}) {
    BackendServerConfig server;
    server.id = std::string("orders-") + data_centre;
    server.data_centre = data_centre;
    database.backend_servers.push_back(server);
  }
  return database;
}

std::vector<Member> Fleet() {
  return {MakeMember("m1", "mumbai"),  MakeMember("m2", "mumbai"),  MakeMember("m3", "mumbai"),
          MakeMember("c1", "chennai"), MakeMember("c2", "chennai"), MakeMember("k1", "kolkata")};
}

// Guards against holders in another data centre while the backend server's own has live members,
// and against a backend server without a holder.
TEST(DutiesTest, HoldersAreInTheServersDataCentreOrElseAnywhere) {
  const DatabaseConfig orders = Orders();
  const DutyCandidates all(Fleet());
  EXPECT_THAT(HoldersOf(orders.backend_servers[0], all), SizeIs(2));
  EXPECT_THAT(HoldersOf(orders.backend_servers[0], all), testing::Each(testing::StartsWith("m")));
  EXPECT_THAT(HoldersOf(orders.backend_servers[2], all), UnorderedElementsAre("k1"));
  const DutyCandidates without_kolkata({MakeMember("m1", "mumbai"), MakeMember("c1", "chennai"),
                                        MakeMember("k1", "kolkata", MemberState::kLeaving),
                                        MakeMember("k2", "kolkata", MemberState::kDead)});
  EXPECT_THAT(HoldersOf(orders.backend_servers[2], without_kolkata),
              UnorderedElementsAre("m1", "c1"));
}

// Guards against a database without a watcher, and against two watchers in one data centre.
TEST(DutiesTest, OneWatcherInEachDataCentreOfTheDatabase) {
  const std::vector<std::string> watchers = WatchersOf(Orders(), DutyCandidates(Fleet()));
  ASSERT_THAT(watchers, SizeIs(3));
  std::string initials;
  for (const std::string& watcher : watchers) {
    initials += watcher[0];
  }
  std::sort(initials.begin(), initials.end());
  EXPECT_EQ(initials, "ckm");
  EXPECT_THAT(WatchersOf(Orders(), DutyCandidates({MakeMember("z", "elsewhere")})),
              UnorderedElementsAre("z"));
  EXPECT_THAT(WatchersOf(Orders(), DutyCandidates({})), IsEmpty());
}

// Guards against duties that move away from a member that is only suspected, and against duties
// that stay with a member that is leaving or dead.
TEST(DutiesTest, OnlyLiveMembersHaveDuties) {
  std::vector<Member> members = Fleet();
  const std::vector<std::string> before = PlatformWatchersOf("mumbai", DutyCandidates(members));
  ASSERT_THAT(before, SizeIs(2));
  const auto first = std::find_if(members.begin(), members.end(),
                                  [&](const Member& member) { return member.id == before[0]; });
  first->state = MemberState::kSuspect;
  EXPECT_EQ(PlatformWatchersOf("mumbai", DutyCandidates(members)), before);
  for (const MemberState state : {MemberState::kLeaving, MemberState::kDead}) {
    first->state = state;
    const std::vector<std::string> after = PlatformWatchersOf("mumbai", DutyCandidates(members));
    EXPECT_THAT(after, SizeIs(2));
    EXPECT_EQ(after[0], before[1]);
    EXPECT_THAT(after, testing::Not(testing::Contains(before[0])));
  }
}

// Guards against requests that fail while the last proxy of a fleet stops.
TEST(DutiesTest, LastLeavingMemberKeepsItsDuties) {
  const DutyCandidates last({MakeMember("m1", "mumbai", MemberState::kLeaving)});
  EXPECT_THAT(HoldersOf(Orders().backend_servers[0], last), UnorderedElementsAre("m1"));
}

}  // namespace
}  // namespace sycamoredrum
