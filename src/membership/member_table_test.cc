#include "member_table.h"

#include <gtest/gtest.h>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

MemberRecord MakeRecord(const std::string& id, std::uint64_t incarnation, MemberState state) {
  MemberRecord record;
  record.member.id = id;
  record.member.datagram_endpoint = Endpoint{"10.0.0.1", 7100};
  record.member.incarnation = incarnation;
  record.member.state = state;
  return record;
}

// Guards against two live members at one address, in whichever order their records arrive.
TEST(MemberTableTest, HigherIncarnationKeepsTheEndpoint) {
  for (const bool old_first : {true, false}) {
    ManualClock clock;
    MemberTable table(clock);
    std::vector<std::string> changed;
    table.Merge(MakeRecord(old_first ? "old" : "new", old_first ? 1 : 2, MemberState::kAlive),
                changed);
    table.Merge(MakeRecord(old_first ? "new" : "old", old_first ? 2 : 1, MemberState::kAlive),
                changed);
    EXPECT_EQ(table.Find("old")->member.state, MemberState::kDead);
    EXPECT_EQ(table.Find("new")->member.state, MemberState::kAlive);
    EXPECT_EQ(table.AtEndpoint(Endpoint{"10.0.0.1", 7100})->id, "new");
  }
}

// Guards against an old record that replaces a newer one, and against death records that never
// expire because members keep sending them to each other.
TEST(MemberTableTest, OldRecordsAreRejectedAndDeathsExpire) {
  ManualClock clock;
  MemberTable table(clock);
  std::vector<std::string> changed;
  table.Merge(MakeRecord("a", 5, MemberState::kDead), changed);
  for (const MemberState state : {MemberState::kAlive, MemberState::kSuspect}) {
    EXPECT_EQ(table.Merge(MakeRecord("a", 5, state), changed), MemberTable::Change::kStale);
  }
  clock.Advance(Membership::kDeadRetention);
  const MemberRecord old_death = *table.RecordOf("a");
  table.DropExpiredDeadMembers();
  EXPECT_EQ(table.Find("a"), nullptr);
  EXPECT_EQ(table.Merge(old_death, changed), MemberTable::Change::kNone);
}

}  // namespace
}  // namespace sycamoredrum
