// Plays failures of a database whose commits are confirmed once a number of replicas have received
// them, and checks at each promotion that the new primary has every confirmed commit.

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "successor_choice_fixture_test.h"

namespace sycamoredrum {
namespace {

// Guards against lost confirmed commits: the only replica that has them is busy, and the other one,
// which answers, was promoted.
TEST_F(SuccessorChoiceTest, ReplicaWithTheConfirmedCommitsIsPromotedAfterItWasBusy) {
  this->CrashWhileOneReplicaLags();
  this->At(1).busy_until = this->clock.Now() + seconds(3);
  EXPECT_LE(this->RunUntilPromoted(seconds(20)), seconds(4));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: the replica that has them answers later than the others.
TEST_F(SuccessorChoiceTest, ReplicaWithTheConfirmedCommitsIsPromotedAfterALateAnswer) {
  this->CrashWhileOneReplicaLags();
  this->At(1).answer_time = milliseconds(1200);
  EXPECT_LE(this->RunUntilPromoted(seconds(20)), seconds(4));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: the replica that has them restarts, or does not answer for
// a while.
TEST_F(SuccessorChoiceTest, ReplicaWithTheConfirmedCommitsIsPromotedOnceItIsBack) {
  for (const bool restarts : {true, false}) {
    this->Start(3, 1);
    this->promoted.clear();
    this->CrashWhileOneReplicaLags();
    (restarts ? this->At(1).down_until : this->At(1).silent_until) =
        this->clock.Now() + milliseconds(2500);
    EXPECT_LE(this->RunUntilPromoted(seconds(20)), seconds(5)) << restarts;
    EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"}) << restarts;
  }
  EXPECT_EQ(this->lost, 0);
}
// Guards against lost confirmed commits: the answer of the replica that has them was forgotten when
// the server was busy at the next probe.
TEST_F(SuccessorChoiceTest, AnswerIsKeptWhenTheReplicaIsBusyLater) {
  for (const int synchronous : {1, 0}) {
    this->Start(3, synchronous);
    this->promoted.clear();
    this->CrashWhileOneReplicaLags();
    this->member_silent_until = this->clock.Now() + kNever;  // Its commits are not known.
    this->At(2).answer_time = milliseconds(250);
    while (!this->Logged("phase=select")) {
      this->Run(kStep);
    }
    this->Run(milliseconds(20));
    this->At(1).busy_until = this->clock.Now() + seconds(1);
    this->RunUntilPromoted(seconds(20));
    EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"}) << synchronous;
  }
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: the answers of two equal replicas are older than the last
// commits, which only one of them received. The member goes on writing until its grant ends.
TEST_F(SuccessorChoiceTest, AnswersFromBeforeTheEndOfTheGrantsAreAskedForAgain) {
  for (const int synchronous : {1, 0}) {
    this->Start(3, synchronous);
    this->promoted.clear();
    this->At(0).silent_to_leader = true;
    this->member_cut_until = this->clock.Now() + seconds(10);
    while (!this->Logged("event=primary_replacement")) {
      this->Run(kStep);
    }
    this->Run(milliseconds(20));
    this->At(1).deaf_until = this->clock.Now() + kNever;
    this->RunUntilPromoted(seconds(20));
    EXPECT_EQ(this->promoted, std::vector<std::string>{"s2"}) << synchronous;
  }
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: a server that was promoted instead of the best one, which
// crashed between its choice and its promotion.
TEST_F(SuccessorChoiceTest, NoOtherServerIsPromotedWhileTheChosenOneRestarts) {
  this->CrashWhileOneReplicaLags();
  while (!this->Logged("event=primary_replacement")) {
    this->Run(kStep);
  }
  this->promotion_refused_until = this->clock.Now() + seconds(2);
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// As above, after the leader that chose the server was lost as well.
TEST_F(SuccessorChoiceTest, NoOtherServerIsPromotedByTheNextLeaderWhileTheChosenOneRestarts) {
  this->CrashWhileOneReplicaLags();
  this->authority->End();
  this->At(1).down_until = this->clock.Now() + seconds(6);
  FleetState state;
  state.members = {kMember, kIdleMember};
  state.records[kDatabase] = PrimaryRecord{"s1", this->grant->generation + 1, false, 1, 0, true};
  state.revisions[kDatabase] = this->revision;
  this->authority->Begin(++this->epoch, state);
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// The chosen server does not run, and the old primary is back instead.
TEST_F(SuccessorChoiceTest, OldPrimaryIsUsedAgainWhenTheChosenServerHasCrashed) {
  this->CrashWhileOneReplicaLags();
  this->promotion_refused_until = this->clock.Now() + kNever;
  while (!this->Logged("event=primary_chosen")) {
    this->Run(kStep);
  }
  this->At(1).down_until = this->clock.Now() + kNever;
  this->At(0).down_until = this->clock.Now() + seconds(1);
  this->Run(seconds(4));
  EXPECT_TRUE(this->promoted.empty());
  EXPECT_TRUE(this->grant && this->grant->server == "s0" && this->grant->generation > 1);
}

// Guards against lost confirmed commits: the promoted server crashes before it is confirmed, and
// the old primary is back as a replica with all commits.
TEST_F(SuccessorChoiceTest, OldPrimaryThatIsBackAsAReplicaIsPromotedAgain) {
  this->CrashWhileOneReplicaLags();
  while (!this->Logged("phase=confirm")) {
    this->Run(kStep);
  }
  this->At(1).answer_time = milliseconds(400);
  this->RunUntilPromoted(seconds(20));
  ASSERT_EQ(this->promoted, std::vector<std::string>{"s1"});
  this->At(1).down_until = this->clock.Now() + kNever;
  this->At(0).down_until = this->clock.Now() + seconds(1);
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, (std::vector<std::string>{"s1", "s0"}));
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits after the loss of a replica: the only one that is left has
// never received them.
TEST_F(SuccessorChoiceTest, CommitsFromBeforeTheLossOfAReplicaAreWaitedFor) {
  this->At(2).deaf_until = this->clock.Now() + kNever;
  this->Run(seconds(1));
  this->At(1).down_until = this->clock.Now() + kNever;
  this->writing = false;
  this->authority->RemoveServer("s1");
  this->Run(seconds(1));
  this->At(0).down_until = this->clock.Now() + seconds(4);
  this->Run(seconds(6));
  EXPECT_TRUE(this->promoted.empty());
  EXPECT_TRUE(this->grant && this->grant->server == "s0");
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: the record of the replica that has them expires while it
// is silent, and the other one was taken for all that is left.
TEST_F(SuccessorChoiceTest, ReplicaWhoseRecordExpiresDuringTheReplacementIsWaitedFor) {
  this->CrashWhileOneReplicaLags();
  this->At(1).silent_until = this->clock.Now() + seconds(8);
  this->Run(seconds(5));
  this->authority->RemoveServer("s1");
  this->Run(seconds(3));
  EXPECT_TRUE(this->promoted.empty());
  this->authority->PutServer(this->At(1).record);
  this->RunUntilPromoted(seconds(20));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: the process that confirmed the last ones is lost together
// with the primary, so that no member reports them. It starts again, or its grant expires.
TEST_F(SuccessorChoiceTest, CommitsThatALostProcessConfirmedAreWaitedFor) {
  for (const bool restarts : {true, false}) {
    this->Start(3, 1);
    this->promoted.clear();
    this->At(0).silent_to_leader = true;
    this->member_cut_until = this->clock.Now() + kNever;
    this->Run(kStep);
    this->At(2).deaf_until = this->clock.Now() + kNever;
    this->Run(milliseconds(300));
    this->At(0).down_until = this->clock.Now() + kNever;
    this->At(1).busy_until = this->clock.Now() + seconds(7);
    if (restarts) {
      this->grant.reset();
      this->observed.reset();
      this->last_confirmed.reset();
      this->registration = kRegistration + 1;
      this->member_cut_until = this->clock.Now();
    }
    this->RunUntilPromoted(seconds(20));
    EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"}) << restarts;
  }
  EXPECT_EQ(this->lost, 0);
}

// Guards against lost confirmed commits: the replica that has them is draining, and counts as a
// synchronous one until it ends. The other one receives them from it, and takes over.
TEST_F(SuccessorChoiceTest, DrainingReplicaWithTheConfirmedCommitsIsPromoted) {
  for (const Duration drained : {milliseconds(500), milliseconds(5000)}) {
    this->Start(3, 1);
    this->promoted.clear();
    this->Drain(this->At(1), true);
    this->Run(drained - milliseconds(1000));
    this->CrashWhileOneReplicaLags();
    this->At(2).deaf_until = this->clock.Now() + milliseconds(2500);
    EXPECT_LE(this->RunUntilPromoted(seconds(20)), milliseconds(1500)) << drained.count();
    while (this->promoted.size() < 2 && this->clock.Now() < this->promoted_at + seconds(5)) {
      EXPECT_TRUE(drained < PrimaryAuthority::kStopUseAfter || !this->grant ||
                  this->grant->server != "s1");
      this->Replicate("s1");
      this->Run(kStep);
    }
    EXPECT_EQ(this->promoted, (std::vector<std::string>{"s1", "s2"})) << drained.count();
  }
  EXPECT_EQ(this->lost, 0);
}

TEST_F(SuccessorChoiceTest, OldPrimaryThatIsBackWithItsLogIsUsedAgain) {
  this->CrashWhileOneReplicaLags();
  this->At(1).busy_until = this->clock.Now() + kNever;
  this->At(0).down_until = this->clock.Now() + seconds(2);
  this->Run(seconds(4));
  EXPECT_TRUE(this->promoted.empty());
  EXPECT_TRUE(this->grant && this->grant->server == "s0" && this->grant->generation > 1);
}

// Guards against a database without a primary for longer than needed: the replica that answers is
// known to have all confirmed commits, so that the other one is not waited for.
TEST_F(SuccessorChoiceTest, ReplicaWithTheWholeLogIsPromotedAtOnce) {
  for (const int synchronous : {0, 1}) {
    this->Start(3, synchronous);
    this->At(2).silent_until = this->clock.Now() + kNever;
    this->Run(seconds(1));
    this->At(0).down_until = this->clock.Now() + kNever;
    EXPECT_LE(this->RunUntilPromoted(seconds(20)), milliseconds(1200)) << synchronous;
  }
  EXPECT_EQ(this->lost, 0);
}

// Guards against a database without a primary for longer than needed: entries that no replica has
// received were not confirmed, and no server can have them.
TEST_F(SuccessorChoiceTest, EntriesThatWereNotConfirmedAreNotWaitedFor) {
  for (const int synchronous : {0, 1}) {
    this->Start(3, synchronous);
    this->At(1).silent_until = this->clock.Now() + kNever;
    this->Run(seconds(1));
    this->At(1).deaf_until = this->At(2).deaf_until = this->clock.Now() + kNever;
    this->writing = synchronous == 1;
    this->Run(milliseconds(100));
    this->At(0).down_until = this->clock.Now() + kNever;
    EXPECT_LE(this->RunUntilPromoted(seconds(20)), milliseconds(1200)) << synchronous;
    this->writing = true;
  }
  EXPECT_EQ(this->lost, 0);
}

// Guards against a database that has no primary for good, since a server never answers again.
TEST_F(SuccessorChoiceTest, ServerThatNeverAnswersAgainIsNotWaitedForBeyondTheRecoveryLimit) {
  for (const std::string failure : {"down", "silent", "busy"}) {
    this->Start(3, 1);
    this->promoted.clear();
    this->CrashWhileOneReplicaLags();
    Server& replica = this->At(1);
    (failure == "down"     ? replica.down_until
     : failure == "silent" ? replica.silent_until
                           : replica.busy_until) = this->clock.Now() + kNever;
    EXPECT_LE(this->RunUntilPromoted(seconds(30)), kRecoveryLimit) << failure;
    EXPECT_EQ(this->promoted, std::vector<std::string>{"s2"}) << failure;
  }
}

// Guards against a database that has no primary for good: the promoted server falls silent before
// it is confirmed, and was asked to lead again and again.
TEST_F(SuccessorChoiceTest, PromotedServerThatFallsSilentIsReplaced) {
  for (const int synchronous : {0, 1}) {
    this->Start(3, synchronous);
    this->promoted.clear();
    this->At(0).down_until = this->clock.Now() + kNever;
    while (!this->Logged("phase=confirm")) {
      this->Run(kStep);
    }
    this->At(1).answer_time = this->At(2).answer_time = milliseconds(400);
    this->RunUntilPromoted(seconds(20));
    ASSERT_EQ(this->promoted.size(), 1U);
    this->servers.at(this->promoted[0]).silent_until = this->clock.Now() + kNever;
    EXPECT_LE(this->RunUntilPromoted(seconds(30)), kRecoveryLimit) << synchronous;
  }
  EXPECT_EQ(this->lost, 0);
}

// Without synchronous replicas every choice may lose commits, and the wait for a better one is
// short.
TEST_F(SuccessorChoiceTest, WithoutSynchronousReplicasABusyServerIsWaitedForBriefly) {
  for (const bool for_long : {false, true}) {
    this->Start(3, 0);
    this->promoted.clear();
    this->CrashWhileOneReplicaLags();
    while (!this->Logged("event=primary_replacement")) {
      this->Run(kStep);
    }
    this->At(1).busy_until =
        this->clock.Now() + (for_long ? seconds(30) : Duration(milliseconds(200)));
    EXPECT_LE(this->RunUntilPromoted(seconds(20)),
              SuccessorSelection::kAsynchronousLimit + kPromotionTime + 3 * kTick)
        << for_long;
    EXPECT_EQ(this->promoted, std::vector<std::string>{for_long ? "s2" : "s1"});
  }
}

// With two of three replicas in each commit, one silent replica can be the only one that lacks it.
TEST_F(SuccessorChoiceTest, OneSilentReplicaIsNotWaitedForWithTwoSynchronousReplicas) {
  this->Start(4, 2);
  this->At(3).deaf_until = this->clock.Now() + kNever;
  this->Run(seconds(1));
  this->member_silent_until = this->clock.Now() + kNever;  // Its commits are not known.
  this->At(2).silent_until = this->clock.Now() + kNever;
  this->At(0).down_until = this->clock.Now() + kNever;
  EXPECT_LE(this->RunUntilPromoted(seconds(20)),
            PrimaryAuthority::kGrantValidity + milliseconds(1500));
  EXPECT_EQ(this->promoted, std::vector<std::string>{"s1"});
  EXPECT_EQ(this->lost, 0);
}

// Overlapping random failures, of which none lasts longer than servers are waited for. No confirmed
// commit may be lost, and the database must have a primary after the end of all failures.
TEST_F(SuccessorChoiceTest, NoConfirmedCommitIsLostInRandomFailures) {
  std::uint64_t first = 1;
  std::uint64_t last = 200;
  if (const char* one = std::getenv("SYCAMOREDRUM_SEED")) {
    first = last = std::stoull(one);
  } else if (const char* count = std::getenv("SYCAMOREDRUM_SEEDS")) {
    last = std::stoull(count);
  }
  std::size_t promotions = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    std::mt19937_64 random(seed);
    const int size = 3 + static_cast<int>(random() % 2);
    this->Start(size, size == 4 ? 1 + static_cast<int>(random() % 2) : 1);
    this->promoted.clear();
    this->lost = 0;
    for (int step = 0; step < 40; ++step) {
      this->Run(milliseconds(100 + random() % 900));
      this->FailRandomly(this->At(static_cast<int>(random() % static_cast<unsigned>(size))),
                         random);
    }
    promotions += this->promoted.size();
    this->Run(seconds(6));
    EXPECT_EQ(this->lost, 0);
    EXPECT_TRUE(this->grant && this->Answers(this->servers.at(this->grant->server)));
    if (testing::Test::HasFailure()) {
      for (const std::string& line : this->lines) {
        std::puts(line.c_str());
      }
      FAIL() << "seed " << seed;
    }
  }
  EXPECT_TRUE(first == last || promotions > last) << promotions;
}

}  // namespace
}  // namespace sycamoredrum
