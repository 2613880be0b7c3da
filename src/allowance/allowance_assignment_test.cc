#include "sycamoredrum/allowance_assignment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLeadershipLease = seconds(3);

/// An assignment whose writes succeed, and members that report every 500 ms.
class AllowanceAssignmentTest : public testing::Test {
 protected:
  void SetUp() override { this->assignment.Begin(100, AllowanceRecord{}, std::nullopt, false); }

  std::map<int, std::uint64_t> Report(const AllowanceMember& member) {
    auto& state = this->reported[member.member];
    const std::int64_t echoed = state.first;
    state.first = ++this->stamp;
    state.second =
        this->assignment.OnReport({member, echoed > 0, echoed, state.second}, state.first);
    return state.second;
  }

  void Run(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      this->clock.Advance(milliseconds(100));
      for (const AllowanceMember& member : this->members) {
        this->Report(member);
      }
      if (const auto record = this->assignment.Next()) {
        this->assignment.OnWritten(*record);
      }
    }
  }

  std::set<std::string> Holders() const {
    std::set<std::string> names;
    for (const SlotRecord& slot : this->assignment.Record()) {
      names.insert(slot.member);
    }
    return names;
  }

  ManualClock clock;
  AllowanceAssignment assignment{kLeadershipLease, this->clock};
  std::vector<AllowanceMember> members;
  std::map<std::string, std::pair<std::int64_t, std::map<int, std::uint64_t>>> reported;
  std::int64_t stamp = 0;
};

TEST_F(AllowanceAssignmentTest, PartsOfAGroupLieInDifferentDataCentresOnLargeRelays) {
  for (int i = 0; i < 12; ++i) {
    this->members.push_back(
        {"m" + std::to_string(i), "a", 1, "dc" + std::to_string(i % 3), i < 6 ? 0.5 : 0.12});
  }
  this->Run(seconds(1));
  for (int group = 0; group < kAllowanceGroups; ++group) {
    std::set<int> data_centres;
    for (int part = 0; part < kAllowanceParts; ++part) {
      const std::string& name =
          this->assignment.Record()[static_cast<std::size_t>(SlotOf(group, part))].member;
      const int number = std::stoi(name.substr(1));
      EXPECT_LT(number, 6);
      data_centres.insert(number % 3);
    }
    EXPECT_EQ(data_centres.size(), 3U);
  }
}

// Guards against all parts staying with the member that reported first.
TEST_F(AllowanceAssignmentTest, PartsMoveToMembersThatReportLater) {
  this->members = {{"m0", "a", 1, "dc0", 0.12}};
  this->Run(seconds(1));
  EXPECT_EQ(this->Holders(), std::set<std::string>({"m0"}));
  for (int i = 1; i < 5; ++i) {
    this->members.push_back({"m" + std::to_string(i), "a", 1, "dc" + std::to_string(i), 1});
  }
  this->Run(seconds(60));
  EXPECT_EQ(this->Holders(), std::set<std::string>({"m1", "m2", "m3", "m4"}));
  const AllowanceRecord settled = this->assignment.Record();
  this->Run(seconds(60));
  EXPECT_TRUE(std::equal(settled.begin(), settled.end(), this->assignment.Record().begin()));
}

// Guards against two holders of one part: a silent holder may grant until its lease has expired.
TEST_F(AllowanceAssignmentTest, ASilentHolderIsReplacedOnlyAfterItsLease) {
  this->members = {{"m0", "a", 1, "dc0", 1}, {"m1", "a", 1, "dc1", 1}};
  this->Run(seconds(2));
  this->members = {{"m1", "a", 1, "dc1", 1}};
  this->Run(seconds(5) + milliseconds(800));
  EXPECT_EQ(this->Holders().count("m0"), 1U);
  this->Run(milliseconds(400));
  EXPECT_EQ(this->Holders().count("m0"), 0U);
}

TEST_F(AllowanceAssignmentTest, ARestartedHolderIsReplacedImmediately) {
  this->members = {{"m0", "a", 1, "dc0", 1}};
  this->Run(seconds(1));
  const std::uint64_t before = this->assignment.Record()[0].generation;
  this->reported.clear();
  this->members = {{"m0", "b", 5, "dc0", 1}};
  this->Run(milliseconds(200));
  EXPECT_EQ(this->assignment.Record()[0].incarnation, "b");
  EXPECT_GT(this->assignment.Record()[0].generation, before);
}

// The leader may have removed the registration of a process that still holds its parts.
TEST_F(AllowanceAssignmentTest, AHolderThatRegistersAgainKeepsItsParts) {
  this->members = {{"m0", "a", 1, "dc0", 1}};
  this->Run(seconds(1));
  const std::uint64_t before = this->assignment.Record()[0].generation;
  this->members[0].registration = 9;
  this->Run(seconds(1));
  EXPECT_EQ(this->assignment.Record()[0].generation, before);
}

// A replaced leader may renew leases for the time of its own lease.
TEST_F(AllowanceAssignmentTest, ANewLeaderWaitsForTheLeasesOfItsPredecessor) {
  AllowanceRecord record;
  record.fill(SlotRecord{"gone", "a", 1, 50});
  this->assignment.Begin(200, record, std::nullopt, false);
  this->members = {{"m1", "a", 1, "dc1", 1}};
  this->Run(seconds(8) + milliseconds(900));
  EXPECT_EQ(this->Holders(), std::set<std::string>({"gone"}));
  this->Run(milliseconds(300));
  EXPECT_EQ(this->Holders(), std::set<std::string>({"m1"}));
  EXPECT_GE(this->assignment.Record()[0].generation, 200U);
}

// After a restore of the store, the record may name a holder that has been replaced.
TEST_F(AllowanceAssignmentTest, AfterARestoreOnlyReportedPartsAreRenewed) {
  AllowanceRecord record;
  record.fill(SlotRecord{"m1", "a", 1, 50});
  this->assignment.Begin(200, record, this->clock.Now(), false);
  const AllowanceMember member{"m1", "a", 1, "dc1", 1};
  const AllowanceReport report{member, true, 0, {{3, 50}}};
  EXPECT_EQ(this->assignment.OnReport(report, 1), (std::map<int, std::uint64_t>{{3, 50}}));
}

// Guards against two holders after the store was restored twice within the wait: the second
// leadership follows the first without interruption, and its state does not contain the holders
// that were assigned before the first restore.
TEST_F(AllowanceAssignmentTest, ASecondRestoreDoesNotEndTheWaitOfTheFirst) {
  this->assignment.Begin(200, AllowanceRecord{}, this->clock.Now(), false);
  this->clock.Advance(milliseconds(400));
  this->assignment.Begin(300, AllowanceRecord{}, this->clock.Now(), true);
  this->members = {{"m0", "a", 1, "dc0", 1}};
  this->Run(seconds(8));
  EXPECT_EQ(this->Holders(), std::set<std::string>{""});
  this->Run(seconds(2));
  EXPECT_EQ(this->Holders(), std::set<std::string>{"m0"});
}

// Guards against two holders: the write of another holder may still take effect, and the next
// leader would renew that one.
TEST_F(AllowanceAssignmentTest, APartWhoseChangeIsUnresolvedIsNotRenewed) {
  this->members = {{"m0", "a", 1, "dc0", 1}};
  this->Run(seconds(1));
  const std::uint64_t before = this->assignment.Record()[0].generation;
  this->members = {{"m1", "a", 1, "dc1", 1}};
  this->clock.Advance(seconds(7));
  this->Report(this->members[0]);
  ASSERT_TRUE(this->assignment.Next());
  this->assignment.OnUnresolved();
  EXPECT_TRUE(this->Report({"m0", "a", 1, "dc0", 1}).empty());
  const auto record = this->assignment.Next();
  ASSERT_TRUE(record);
  this->assignment.OnWritten(*record);
  EXPECT_GT(this->assignment.Record()[0].generation, before);
}

}  // namespace
}  // namespace sycamoredrum
