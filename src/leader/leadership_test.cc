#include "sycamoredrum/leadership.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fake_store_test.h"
#include "sycamoredrum/store_mirror.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKey = "fleet/leader";

/// One process that takes part in the election, with its own mirror of the key.
struct Candidate {
  Candidate(FakeStore& fake, int number, ManualClock& clock)
      : store(fake.Hooks(number)),
        name("m" + std::to_string(number)),
        leadership(
            store, MakeOptions(),
            LeadershipHooks{
                [this](std::uint64_t epoch) { this->epochs.push_back(epoch); },
                [this](const std::string& reason) { this->losses.push_back(reason); },
                [this](const std::string& value) {
                  return value.compare(0, this->name.size() + 1, this->name + "/") == 0;
                },
                [](const std::string& value) { return value.find('/') != std::string::npos; }},
            clock, clock, [this] { return this->random += 7919; }),
        mirror(store, StoreMirrorOptions{kKey},
               StoreMirrorHooks{[this](const StoreEvent& event) {
                                  this->leadership.KeyChanged(
                                      event.removed ? std::nullopt
                                                    : std::optional<KeyValue>(event.item));
                                },
                                [this] { this->leadership.Start(); }, [](bool) {}},
               clock, clock, [this] { return this->random += 104729; }) {
    this->mirror.Start();
  }

  LeadershipOptions MakeOptions() const {
    LeadershipOptions options;
    options.key = kKey;
    options.member = this->name;
    options.value = this->name + "/1";
    return options;
  }

  CoordinationStore store;
  std::string name;
  std::uint64_t random = 1;
  std::vector<std::uint64_t> epochs;
  std::vector<std::string> losses;
  Leadership leadership;
  StoreMirror mirror;
};

class LeadershipTest : public testing::Test {
 protected:
  void Add(int count) {
    for (int i = 0; i < count; ++i) {
      const int number = static_cast<int>(this->candidates.size());
      this->candidates.push_back(std::make_unique<Candidate>(this->store, number, this->clock));
    }
  }

  int Leader() const {
    int leader = -1;
    for (std::size_t i = 0; i < this->candidates.size(); ++i) {
      if (this->candidates[i]->leadership.Leading()) {
        leader = static_cast<int>(i);
      }
    }
    return leader;
  }

  ManualClock clock;
  FakeStore store{this->clock};
  std::vector<std::unique_ptr<Candidate>> candidates;
};

TEST_F(LeadershipTest, OneOfManyLeads) {
  this->Add(5);
  this->clock.Advance(seconds(20));
  int leaders = 0;
  for (const auto& candidate : this->candidates) {
    leaders += candidate->leadership.Leading() ? 1 : 0;
    EXPECT_TRUE(candidate->losses.empty());
  }
  EXPECT_EQ(leaders, 1);
}

// Guards against a candidate that loses the connection while its lease is granted, and seconds
// later takes the key from the leader that was elected meanwhile. Each new leader must wait until
// all grants of its predecessor have expired, so a replacement in progress was delayed by 7 s.
TEST_F(LeadershipTest, ALateCandidateLeavesTheKeyToTheLeader) {
  this->store.lease_delays[0] = seconds(2);
  this->Add(2);
  this->clock.Advance(seconds(20));
  EXPECT_EQ(this->Leader(), 1);
  EXPECT_TRUE(this->candidates[1]->losses.empty());
  EXPECT_EQ(this->candidates[1]->epochs.size(), 1u);
}

TEST_F(LeadershipTest, ADisconnectedLeaderStopsBeforeItsLeaseEndsAndAnotherFollows) {
  this->Add(3);
  this->clock.Advance(seconds(3));
  const int first = this->Leader();
  ASSERT_GE(first, 0);
  this->store.disconnected.insert(first);
  this->clock.Advance(seconds(4));
  EXPECT_FALSE(this->candidates[static_cast<std::size_t>(first)]->leadership.Leading());
  this->clock.Advance(seconds(3));
  const int second = this->Leader();
  ASSERT_GE(second, 0);
  EXPECT_NE(second, first);
  EXPECT_GT(this->candidates[static_cast<std::size_t>(second)]->epochs.back(),
            this->candidates[static_cast<std::size_t>(first)]->epochs.back());
}

// Guards against a leader that relies on renewals of its lease: the store may remove the key
// although the lease is still renewed.
TEST_F(LeadershipTest, ALeaderWhoseKeyWasTakenAwayStops) {
  this->Add(1);
  this->clock.Advance(seconds(3));
  ASSERT_EQ(this->Leader(), 0);
  // No watch reports the change, and renewals of the lease still succeed.
  Candidate& leader = *this->candidates[0];
  this->store.Revoke(kKey);
  this->store.Put(kKey, "other/1");
  this->clock.Advance(seconds(2));
  EXPECT_FALSE(leader.leadership.Leading());
  EXPECT_EQ(leader.losses.size(), 1U);
}

TEST_F(LeadershipTest, ALostAnswerToTheWriteOfTheKeyIsResolved) {
  this->store.lost_answers = 1;
  this->Add(1);
  this->clock.Advance(seconds(5));
  EXPECT_EQ(this->Leader(), 0);
}

// Guards against a fleet without grants (simulation, seed 43): a delayed write of an earlier
// candidacy gave the key another revision, which members took for the epoch of a later leader,
// while the leader kept its old epoch.
TEST_F(LeadershipTest, ALateWriteOfItsOwnStartsANewLeadership) {
  this->store.late_writes = 1;
  this->store.late_by = seconds(3);
  this->Add(1);
  this->clock.Advance(seconds(2));
  ASSERT_EQ(this->Leader(), 0);
  this->store.Revoke(kKey);
  this->clock.Advance(seconds(8));
  ASSERT_EQ(this->Leader(), 0);
  EXPECT_EQ(this->candidates[0]->leadership.Epoch(), this->store.Items().at(kKey).revision);
}

TEST_F(LeadershipTest, ARestartedLeaderTakesItsOwnKeyOver) {
  this->store.Put(kKey, "m0/0");
  this->Add(1);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->Leader(), 0);
}

TEST_F(LeadershipTest, AnotherProcessesKeyIsRespected) {
  this->store.Put(kKey, "other/0");
  this->Add(1);
  this->clock.Advance(seconds(10));
  EXPECT_EQ(this->Leader(), -1);
}

TEST_F(LeadershipTest, AResignedLeaderStaysOut) {
  this->Add(2);
  this->clock.Advance(seconds(3));
  const int first = this->Leader();
  this->candidates[static_cast<std::size_t>(first)]->leadership.Resign("test", seconds(10));
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->Leader(), 1 - first);
}

// Guards against members that ignore every leader elected after a restore of the store, because
// its epoch is below that of the last one, and against a fencing token that goes back.
TEST_F(LeadershipTest, ALeaderElectedAfterARestoreHasAGreaterEpoch) {
  this->Add(3);
  const FakeStore::Copy copy = this->store.Save();
  this->clock.Advance(seconds(3));
  const int first = this->Leader();
  ASSERT_GE(first, 0);
  const std::uint64_t epoch = this->candidates[static_cast<std::size_t>(first)]->leadership.Epoch();
  this->store.Restore(copy);
  this->clock.Advance(seconds(3));
  const int second = this->Leader();
  ASSERT_GE(second, 0);
  EXPECT_GT(this->candidates[static_cast<std::size_t>(second)]->leadership.Epoch(), epoch);
}

TEST_F(LeadershipTest, AnOutageEndsTheLeadershipAndItsEndBringsOneBack) {
  this->Add(3);
  this->clock.Advance(seconds(3));
  this->store.down = true;
  this->clock.Advance(seconds(6));
  EXPECT_EQ(this->Leader(), -1);
  this->store.down = false;
  this->clock.Advance(seconds(3));
  EXPECT_GE(this->Leader(), 0);
}

}  // namespace
}  // namespace sycamoredrum
