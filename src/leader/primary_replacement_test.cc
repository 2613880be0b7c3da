// Replacements that end with the old primary or lack a server that has confirmed commits.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "successor_choice_fixture_test.h"

namespace sycamoredrum {
namespace {

class PrimaryReplacementTest : public SuccessorChoiceTest {
 protected:
  void RunUntilLogged(const std::string& text) {
    const TimePoint limit = this->clock.Now() + seconds(20);
    while (!this->Logged(text) && this->clock.Now() < limit) {
      this->Run(kStep);
    }
    ASSERT_TRUE(this->Logged(text)) << text;
  }
};

// Guards against commits that are confirmed at the old primary after another server was promoted:
// the promoted one fell silent before it was confirmed, and the old one, which did not notice the
// promotion, is granted before its own promotion takes effect.
TEST_F(PrimaryReplacementTest, OldPrimaryIsNotGrantedInATermBeforeThatOfASilentSuccessor) {
  for (const int synchronous : {0, 1}) {
    this->Start(3, synchronous);
    this->promoted.clear();
    this->At(2).deaf_until = this->clock.Now() + kNever;
    this->Run(seconds(1));
    this->At(0).silent_until = this->clock.Now() + kNever;
    this->RunUntilLogged("phase=confirm");
    this->At(1).answer_time = milliseconds(400);
    this->RunUntilPromoted(seconds(20));
    ASSERT_EQ(this->promoted, std::vector<std::string>{"s1"});
    this->At(1).silent_until = this->clock.Now() + kNever;
    this->At(0).silent_until = this->clock.Now() + seconds(1);
    const TimePoint limit = this->clock.Now() + seconds(20);
    while (!this->grant && this->clock.Now() < limit) {
      this->Run(kStep);
    }
    ASSERT_TRUE(this->grant && this->grant->server == "s0");
    EXPECT_GT(this->At(0).term, this->At(1).term) << synchronous;
  }
}

// Guards against lost confirmed commits: a member that did not answer the revocation of a planned
// change confirms them after the change was given up, and forgets them with its next grant.
TEST_F(PrimaryReplacementTest, CommitsThatAMemberConfirmsAfterAHandOverWasGivenUpAreWaitedFor) {
  this->promoted.clear();
  this->Drain(this->At(0), true);
  this->RunUntilLogged("event=primary_replacement");
  this->member_cut_until = this->clock.Now() + kNever;
  this->RunUntilLogged("event=hand_over_given_up");
  this->Drain(this->At(0), false);
  this->RunUntilLogged("event=primary_confirmed");
  this->At(2).deaf_until = this->clock.Now() + kNever;
  this->Run(milliseconds(500));
  ASSERT_LT(End(this->At(2)), End(this->At(1)));
  const std::uint64_t generation = this->grant->generation;
  this->writing = false;
  this->member_cut_until = this->clock.Now();
  this->Run(kHeartbeat);
  ASSERT_TRUE(this->grant && this->grant->generation > generation);
  this->At(0).down_until = this->clock.Now() + kNever;
  this->At(1).busy_until = this->clock.Now() + seconds(7);
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// As above, after a new generation for the same primary, because an earlier leader has revoked the
// former one.
TEST_F(PrimaryReplacementTest, CommitsThatAMemberConfirmsBeforeItsNextGenerationAreWaitedFor) {
  this->promoted.clear();
  this->member_cut_until = this->clock.Now() + kNever;
  const std::uint64_t generation = this->grant->generation;
  MemberReport report;
  report.member = kIdleMember;
  report.registration = kRegistration;
  report.registered = true;
  report.epoch = this->epoch;
  report.databases[kDatabase].revoked_generation = generation;
  this->authority->OnReport(report);
  this->Run(milliseconds(200));
  this->At(2).deaf_until = this->clock.Now() + kNever;
  this->Run(milliseconds(500));
  ASSERT_LT(End(this->At(2)), End(this->At(1)));
  this->writing = false;
  this->member_cut_until = this->clock.Now();
  this->Run(kHeartbeat);
  ASSERT_TRUE(this->grant && this->grant->generation > generation);
  this->At(0).down_until = this->clock.Now() + kNever;
  this->At(1).busy_until = this->clock.Now() + seconds(7);
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: a replica whose record has expired still confirms them.
// Members report them, but the other replica was taken for all that is left.
TEST_F(PrimaryReplacementTest, ReportedCommitsOfAReplicaWithoutARecordAreWaitedFor) {
  this->promoted.clear();
  this->authority->RemoveServer("s1");
  this->Run(seconds(1));
  this->At(2).deaf_until = this->clock.Now() + kNever;
  this->Run(seconds(1));
  ASSERT_LT(End(this->At(2)), End(this->At(1)));
  this->At(0).down_until = this->clock.Now() + kNever;
  this->Run(seconds(3));
  this->authority->PutServer(this->At(1).record);
  this->Run(seconds(5));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

}  // namespace
}  // namespace sycamoredrum
