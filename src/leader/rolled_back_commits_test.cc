// Plays two failures in a row, between which a server keeps commits that the first promotion rolled
// back. Callers have read a log without them, so they must not come back with a later promotion.

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "successor_choice_fixture_test.h"

namespace sycamoredrum {
namespace {

class RolledBackCommitsTest : public SuccessorChoiceTest {
 protected:
  /// Without synchronous replicas: s2 is promoted while s1, which has later commits, is silent. s1
  /// then answers again, but receives nothing. `writes_go_on`: s2 gets commits of its own term.
  void PromoteTheServerThatIsBehind(bool writes_go_on) {
    this->Start(3, 0);
    this->promoted.clear();
    this->revived = 0;
    this->CrashWhileOneReplicaLags();
    this->writing = writes_go_on;
    this->At(1).deaf_until = this->clock.Now() + kNever;
    this->At(1).silent_until = this->clock.Now() + seconds(3);
    this->RunUntilPromoted(seconds(20));
    ASSERT_EQ(this->promoted, std::vector<std::string>{"s2"});
    this->Run(seconds(4));
    ASSERT_TRUE(this->grant && this->grant->server == "s2");
    ASSERT_GT(this->rolled_back.size(), 0U);
  }

  /// Another process takes over from the leader, with what is in the store.
  void ReplaceLeader() {
    this->authority->End();
    FleetState state;
    state.members = {kMember, kIdleMember};
    state.records[kDatabase] = this->stored;
    state.revisions[kDatabase] = this->revision;
    this->authority->Begin(++this->epoch, state);
  }
};

// Guards against reads without commits that are in the log before and afterwards: the only server
// that answers has a log that ends in a term before that of the failed primary.
TEST_F(RolledBackCommitsTest, ServerWithRolledBackCommitsIsNotPromotedWhileThePrimaryRestarts) {
  for (const bool new_leader : {false, true}) {
    this->PromoteTheServerThatIsBehind(true);
    if (new_leader) {
      this->ReplaceLeader();
      this->Run(seconds(1));
    }
    this->At(2).down_until = this->clock.Now() + seconds(4);
    this->Run(seconds(7));
    EXPECT_EQ(this->promoted, std::vector<std::string>{"s2"}) << new_leader;
    EXPECT_TRUE(this->grant && this->grant->server == "s2") << new_leader;
    EXPECT_EQ(this->revived, 0) << new_leader;
  }
}

// As above, in a planned change: the log of the server with rolled back commits passes for the
// longest one, because the primary has no commit of its own term yet.
TEST_F(RolledBackCommitsTest, ServerWithRolledBackCommitsDoesNotTakeOverFromADrainingPrimary) {
  this->PromoteTheServerThatIsBehind(false);
  this->At(0).down_until = this->clock.Now();
  this->Run(kStep);
  this->Replicate("s2");
  ASSERT_EQ(End(this->At(0)), End(this->At(2)));
  this->Drain(this->At(2), true);
  EXPECT_LE(this->RunUntilPromoted(seconds(20)), PrimaryAuthority::kForceHandOverAfter);
  EXPECT_EQ(this->promoted, (std::vector<std::string>{"s2", "s0"}));
  EXPECT_EQ(this->revived, 0);
}

// Guards against a database that has no primary for good: no other server is left.
TEST_F(RolledBackCommitsTest, ServerWithRolledBackCommitsIsPromotedIfNoOtherIsBackInTime) {
  this->PromoteTheServerThatIsBehind(true);
  this->At(2).down_until = this->clock.Now() + kNever;
  EXPECT_LE(this->RunUntilPromoted(seconds(30)), kRecoveryLimit);
  EXPECT_EQ(this->promoted, (std::vector<std::string>{"s2", "s1"}));
}

// Guards against rolled back commits that come back because the leader that confirmed the promotion
// could not store that the server serves: the next leader finds a server that already has entries
// of its term.
TEST_F(RolledBackCommitsTest, ServerWithRolledBackCommitsIsNotPromotedAfterALostServingRecord) {
  this->Start(3, 0);
  this->promoted.clear();
  this->revived = 0;
  this->CrashWhileOneReplicaLags();
  this->serving_records_lost = true;
  this->At(1).deaf_until = this->clock.Now() + kNever;
  this->At(1).silent_until = this->clock.Now() + seconds(3);
  this->RunUntilPromoted(seconds(20));
  ASSERT_EQ(this->promoted, std::vector<std::string>{"s2"});
  this->Run(seconds(4));
  ASSERT_TRUE(this->grant && this->grant->server == "s2");
  ASSERT_FALSE(this->stored.serving);
  this->serving_records_lost = false;
  this->ReplaceLeader();
  this->Run(seconds(10));
  ASSERT_TRUE(this->grant && this->grant->server == "s2");
  ASSERT_TRUE(this->stored.serving);
  this->At(2).down_until = this->clock.Now() + seconds(4);
  this->Run(seconds(7));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s2"});
  EXPECT_EQ(this->revived, 0);
}

// As above, after the store has come back in a new era. The new leader finds the primary by asking
// the servers.
TEST_F(RolledBackCommitsTest, ServerWithRolledBackCommitsIsNotPromotedInANewEraOfTheStore) {
  this->PromoteTheServerThatIsBehind(true);
  this->authority->End();
  FleetState state;
  state.members = {kMember, kIdleMember};
  state.records[kDatabase] = this->stored;
  state.revisions[kDatabase] = this->revision;
  state.era_observed_at = this->clock.Now();
  this->epoch = (std::uint64_t{1} << kCounterBits) + 1;
  ASSERT_NE(EraOf(this->epoch), this->stored.era);
  this->At(0).down_until = this->clock.Now();  // All servers must answer.
  this->At(0).deaf_until = this->clock.Now() + kNever;
  this->At(0).silent_until = this->clock.Now();
  this->authority->Begin(this->epoch, state);
  this->Run(seconds(15));
  ASSERT_TRUE(this->grant && this->grant->server == "s2");
  this->At(0).down_until = this->clock.Now() + kNever;
  this->At(2).down_until = this->clock.Now() + seconds(4);
  this->Run(seconds(7));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s2"});
  EXPECT_EQ(this->revived, 0);
}

// As above, after the server with rolled back commits had to be promoted, because no other one was
// left: it rolls back the commits of the primary before it, whose log is shorter.
TEST_F(RolledBackCommitsTest, CommitsThatTheLastServerRolledBackDoNotComeBack) {
  this->PromoteTheServerThatIsBehind(false);
  this->writing = true;
  this->Run(milliseconds(400));
  ASSERT_LT(this->At(2).log.size(), this->At(1).log.size());
  this->At(2).down_until = this->clock.Now() + seconds(14);
  this->At(2).deaf_until = this->clock.Now() + kNever;
  this->RunUntilPromoted(seconds(13));
  ASSERT_EQ(this->promoted, (std::vector<std::string>{"s2", "s1"}));
  this->Run(seconds(6));
  ASSERT_TRUE(this->grant && this->grant->server == "s1");
  this->At(1).down_until = this->clock.Now() + seconds(4);
  this->Run(seconds(7));
  EXPECT_EQ(this->promoted, (std::vector<std::string>{"s2", "s1"}));
}

// Guards against the loss of confirmed commits with synchronous replicas: the entries of s0 that a
// promotion rolled back were never confirmed, and s2 lacks confirmed ones.
TEST_F(RolledBackCommitsTest, ReplicaWithoutConfirmedCommitsIsNotPreferredToUnconfirmedEntries) {
  this->Start(3, 1);
  this->promoted.clear();
  this->lost = 0;
  this->At(2).deaf_until = this->clock.Now() + kNever;
  this->Run(seconds(1));
  this->At(1).deaf_until = this->clock.Now() + seconds(3);
  this->Run(milliseconds(500));  // s0 writes entries that no replica receives.
  ASSERT_LT(End(this->At(1)), End(this->At(0)));
  this->At(0).down_until = this->clock.Now() + seconds(16);
  this->At(0).deaf_until = this->clock.Now() + kNever;
  this->RunUntilPromoted(seconds(15));
  ASSERT_EQ(this->promoted, std::vector<std::string>{"s1"});
  ASSERT_EQ(this->lost, 0);
  this->Run(seconds(17));
  ASSERT_TRUE(this->grant && this->grant->server == "s1");
  ASSERT_TRUE(this->Answers(this->At(0)));
  this->At(1).down_until = this->clock.Now() + kNever;
  this->RunUntilPromoted(seconds(15));
  EXPECT_EQ(this->promoted.back(), "s0");
  EXPECT_EQ(this->lost, 0);
}

// Guards against the loss of a whole database: a server that has restarted without its log has no
// rolled back entries either.
TEST_F(RolledBackCommitsTest, ServerWithoutItsLogIsNotPreferred) {
  this->PromoteTheServerThatIsBehind(true);
  this->At(0).down_until = this->clock.Now();
  this->At(0).deaf_until = this->clock.Now() + kNever;
  this->At(0).role = Role::kReplica;
  this->At(0).log = {1};
  this->Run(kStep);
  this->At(2).down_until = this->clock.Now() + kNever;
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, (std::vector<std::string>{"s2", "s1"}));
}

// Guards against a hand-over that fails because a member that has observed nothing since the
// promotion reports a position that the promotion rolled back.
TEST_F(RolledBackCommitsTest, HandOverSucceedsAlthoughAMemberKnowsARolledBackPosition) {
  for (const bool known : {false, true}) {
    this->PromoteTheServerThatIsBehind(false);
    this->At(0).down_until = this->clock.Now();
    this->Run(kStep);
    this->Replicate("s2");
    if (known) {
      this->idle_newest = End(this->At(1));
    }
    this->Drain(this->At(2), true);
    EXPECT_LE(this->RunUntilPromoted(seconds(20)), seconds(2)) << known;
    EXPECT_EQ(this->promoted, (std::vector<std::string>{"s2", "s0"})) << known;
  }
}

// Overlapping random failures without synchronous replicas, and changes of the leader.
TEST_F(RolledBackCommitsTest, NoRolledBackCommitComesBackInRandomFailures) {
  std::uint64_t first = 1;
  std::uint64_t last = 200;
  if (const char* one = std::getenv("SYCAMOREDRUM_SEED")) {
    first = last = std::stoull(one);
  } else if (const char* count = std::getenv("SYCAMOREDRUM_SEEDS")) {
    last = std::stoull(count);
  }
  std::size_t rolled_back_commits = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    std::mt19937_64 random(seed);
    const int size = 3 + static_cast<int>(random() % 2);
    this->Start(size, 0);
    this->revived = 0;
    for (int step = 0; step < 40; ++step) {
      this->Run(milliseconds(100 + random() % 900));
      if (random() % 20 == 0) {
        this->ReplaceLeader();
      }
      this->FailRandomly(this->At(static_cast<int>(random() % static_cast<unsigned>(size))),
                         random);
    }
    rolled_back_commits += this->rolled_back.size();
    this->Run(seconds(6));
    EXPECT_EQ(this->revived, 0);
    EXPECT_TRUE(this->grant && this->Answers(this->servers.at(this->grant->server)));
    if (testing::Test::HasFailure()) {
      for (const std::string& line : this->lines) {
        std::puts(line.c_str());
      }
      FAIL() << "seed " << seed;
    }
  }
  EXPECT_TRUE(first == last || rolled_back_commits > last) << rolled_back_commits;
}

}  // namespace
}  // namespace sycamoredrum
