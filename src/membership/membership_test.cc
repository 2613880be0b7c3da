#include "sycamoredrum/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "member_network.h"
#include "membership_message.h"
#include "update_queue.h"

namespace sycamoredrum {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;

class MembershipTest : public testing::TestWithParam<int> {
 protected:
  void SetUp() override { std::cout << "seed " << kSeed << "\n"; }
  bool EventuallyConverged(Duration limit) {
    return this->network.AdvanceUntil(limit, [this] { return this->network.Converged(); });
  }
  MemberNetwork::Process& At(int index) { return *this->network.processes.at(index); }

  MemberNetwork network{kSeed};
};

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipTest, testing::Values(5, 20, 50));

// Guards against processes that do not discover each other, live members that are declared dead on
// a lossy link, and control traffic above 4 KB/s for each member.
TEST_P(MembershipTest, ConvergesWithinTrafficLimitOnALossyNetwork) {
  this->network.loss = 0.05;
  this->network.StartMany(GetParam());
  ASSERT_TRUE(this->EventuallyConverged(seconds(30)));
  int deaths = 0;
  for (int step = 0; step < 3000; ++step) {
    this->network.clock.Advance(Membership::kTickInterval);
    for (int i = 0; i < GetParam(); ++i) {
      deaths += this->network.AllSee(this->At(i).membership->Self().id, MemberState::kDead) ? 1 : 0;
      deaths += this->At(0).StateOf("p" + std::to_string(i)) == MemberState::kDead ? 1 : 0;
    }
  }
  EXPECT_EQ(deaths, 0);
  EXPECT_LE(this->network.largest_datagram, Membership::kMaxDatagramBytes);
  const auto& counters = this->At(0).membership->Counters();
  EXPECT_LE(counters.bytes_sent, 330U * 4000U);
  EXPECT_EQ(counters.datagrams_refused, 0U);
  std::cout << "bytes/s " << counters.bytes_sent / 300 << "\n";
}

// Guards against a failed process that keeps its duties, also when the network loses datagrams.
TEST_P(MembershipTest, KilledProcessIsDeadEverywhere) {
  this->network.loss = 0.05;
  this->network.StartMany(GetParam());
  ASSERT_TRUE(this->EventuallyConverged(seconds(30)));
  MemberNetwork::Kill(this->At(GetParam() - 1));
  // In seconds: a round of probes, the probe itself, the suspicion, and the dissemination.
  const seconds limit(GetParam() + 1 + 3 + 10);
  EXPECT_TRUE(this->EventuallyConverged(limit));
}

// Guards against a process that resumes from a freeze with old state: it must not make a member
// live that died during the freeze, must not cause live members to be declared dead, and must
// rejoin.
TEST_P(MembershipTest, ThawedProcessDoesNotSpreadOldState) {
  for (const Duration frozen_for : {Duration(seconds(30)), Duration(minutes(5))}) {
    const int base = static_cast<int>(this->network.processes.size());
    for (int i = 0; i < GetParam(); ++i) {
      this->network.Start("r" + std::to_string(base + i), i, 1000 + base);
    }
    ASSERT_TRUE(this->EventuallyConverged(seconds(60)));
    MemberNetwork::Process& frozen = this->At(base + 2);
    MemberNetwork::Process& gone = this->At(base + 3);
    const std::string gone_id = gone.membership->Self().id;
    frozen.frozen = true;
    MemberNetwork::Kill(gone);
    this->network.clock.Advance(frozen_for);
    ASSERT_TRUE(this->EventuallyConverged(seconds(120)));
    const std::vector<MemberNetwork::Process*> others = this->network.Running();
    const int changes = others.front()->changes;
    frozen.Thaw();
    for (int step = 0; step < 600; ++step) {
      this->network.clock.Advance(Membership::kTickInterval);
      for (MemberNetwork::Process* observer : others) {
        ASSERT_EQ(observer->StateOf(gone_id), MemberState::kDead) << step;
        for (MemberNetwork::Process* live : others) {
          ASSERT_NE(observer->StateOf(live->membership->Self().id), MemberState::kDead);
        }
      }
    }
    EXPECT_TRUE(this->EventuallyConverged(seconds(60)));
    EXPECT_GT(others.front()->changes, changes);
    EXPECT_EQ(frozen.membership->Counters().pauses, 1U);
    for (auto& process : this->network.processes) {
      MemberNetwork::Kill(*process);
    }
  }
}

// Guards against merging datagrams and states that arrived during a freeze longer than the dead
// retention: other members have already removed the death records that would correct them.
TEST_F(MembershipTest, MessagesThatArrivedDuringALongFreezeAreIgnored) {
  this->network.StartMany(2);
  ASSERT_TRUE(this->EventuallyConverged(seconds(30)));
  MemberNetwork::Process& frozen = this->At(0);
  MembershipMessage message;
  message.sender = this->At(1).membership->Self();
  const std::string old = MembershipCodec("fleet key").Encode(message);
  const std::string old_state = this->At(1).membership->ExportState("");
  MemberNetwork::Kill(this->At(1));
  frozen.frozen = true;
  this->network.clock.Advance(Membership::kDeadRetention + hours(1));
  frozen.Run([&] { frozen.membership->HandleDatagram(MemberNetwork::EndpointOf(1), old); });
  frozen.Run([&] { frozen.membership->MergeState(old_state); });
  frozen.Thaw();
  EXPECT_EQ(frozen.membership->Find("p1"), nullptr);
  this->network.Start("p2", 1, 2000);
  EXPECT_TRUE(this->EventuallyConverged(seconds(10)));
  EXPECT_EQ(frozen.membership->Find("p1"), nullptr);
}

struct ReplacementCase {
  const char* name;
  const char* id;
  std::uint64_t incarnation;  ///< The replaced process has 1000.
};

// Guards against other members that keep the replaced process at an address, and against a new
// process whose records are rejected because its clock is behind.
TEST_F(MembershipTest, ReplacementAtTheSameAddressWins) {
  const std::vector<ReplacementCase> cases = {
      {"same id, later start", "p3", 2000},
      {"same id, clock behind", "p3", 10},
      {"other id, later start", "new", 2000},
      {"other id, clock behind", "new", 10},
  };
  for (const ReplacementCase& replacement : cases) {
    SCOPED_TRACE(replacement.name);
    MemberNetwork fresh(kSeed);
    fresh.StartMany(6);
    ASSERT_TRUE(fresh.AdvanceUntil(seconds(30), [&] { return fresh.Converged(); }));
    MemberNetwork::Kill(*fresh.processes.at(3));
    MemberNetwork::Process& next =
        fresh.Start(replacement.id, 3, replacement.incarnation, "chennai");
    // Shorter than a failed probe and the suspicion time, so that these cannot have removed the
    // replaced process.
    const Duration limit =
        Membership::kProbePeriod + Membership::kSuspicionTime - milliseconds(500);
    EXPECT_TRUE(fresh.AdvanceUntil(limit, [&] { return fresh.Converged(); }));
    fresh.clock.Advance(seconds(30));
    EXPECT_TRUE(fresh.Converged());
    for (MemberNetwork::Process* process : fresh.Running()) {
      EXPECT_EQ(process->membership->Find(replacement.id)->incarnation,
                next.membership->Self().incarnation);
    }
  }
}

// Guards against the sides of a network partition that still treat each other as dead after it has
// healed.
TEST_P(MembershipTest, MembersRejoinAfterAPartitionHeals) {
  this->network.loss = 0.02;
  this->network.StartMany(GetParam());
  ASSERT_TRUE(this->EventuallyConverged(seconds(30)));
  for (const Duration partition_time : {Duration(seconds(60)), Duration(minutes(10))}) {
    this->network.partitioned = true;
    this->network.clock.Advance(partition_time);
    EXPECT_EQ(this->At(0).StateOf("p1"), MemberState::kDead);
    EXPECT_NE(this->At(0).StateOf("p2"), MemberState::kDead);
    this->network.partitioned = false;
    EXPECT_TRUE(this->EventuallyConverged(seconds(60)));
  }
}

// Guards against duties that stay with a leaving member, and against a member that is no longer
// marked as leaving after it was suspected and refuted the suspicion.
TEST_F(MembershipTest, LeavingStateReachesAllMembersAndPersists) {
  this->network.StartMany(10);
  ASSERT_TRUE(this->EventuallyConverged(seconds(30)));
  MemberNetwork::Process& leaving = this->At(4);
  leaving.membership->Leave();
  leaving.membership->Leave();
  EXPECT_TRUE(this->network.AdvanceUntil(
      seconds(3), [this] { return this->network.AllSee("p4", MemberState::kLeaving); }));
  leaving.frozen = true;
  this->network.clock.Advance(seconds(30));
  EXPECT_TRUE(this->network.AllSee("p4", MemberState::kDead));
  leaving.Thaw();
  EXPECT_TRUE(this->network.AdvanceUntil(
      seconds(30), [this] { return this->network.AllSee("p4", MemberState::kLeaving); }));
}

// Guards against a suspected member that cannot refute the suspicion because records of other
// members fill the datagrams sent to it.
TEST_F(MembershipTest, RecordOfTheReceiverIsSentFirst) {
  ManualClock clock;
  std::vector<std::string> sent;
  MembershipHooks hooks;
  hooks.send = [&](const Endpoint&, const std::string& datagram) { sent.push_back(datagram); };
  hooks.changed = [] {};
  hooks.configuration_number = [] { return 0; };
  hooks.configuration_number_received = [](const std::string&, std::uint64_t) {};
  hooks.exchange = [](const std::string&) {};
  Membership membership(Member{"self", "dc", {"10.0.0.9", 1}, {"10.0.0.9", 2}, 1, {}}, "fleet key",
                        {}, hooks, clock, clock, [] { return 0; });
  std::vector<MemberRecord> records;
  for (std::uint16_t i = 1; i <= 60; ++i) {
    const std::string id = i == 60 ? "z" : "member-" + std::to_string(i);
    records.push_back({Member{id, "dc", {"10.0.0.1", i}, {"10.0.0.1", i}, 1, {}}, {}});
  }
  records.back().member.state = MemberState::kSuspect;
  ASSERT_TRUE(membership.MergeState(MembershipCodec::EncodeRecords(records)));
  MembershipMessage ping;
  ping.sender = records.back().member;
  ping.sender.state = MemberState::kAlive;
  const MembershipCodec codec("fleet key");
  membership.HandleDatagram(ping.sender.datagram_endpoint, codec.Encode(ping));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_LE(sent[0].size(), Membership::kMaxDatagramBytes);
  EXPECT_EQ(codec.Decode(sent[0])->updates.at(0).member.id, "z");
}

// Guards against proxies that do not detect that their configuration is older than others'.
TEST_F(MembershipTest, MessagesCarryTheConfigurationNumber) {
  this->network.StartMany(5);
  this->At(0).configuration_number = 7;
  this->network.clock.Advance(seconds(20));
  for (int i = 1; i < 5; ++i) {
    EXPECT_EQ(this->At(i).received_numbers["p0"], 7U);
  }
}

// Guards against datagrams from outside the fleet, and against crashes on malformed input.
TEST_F(MembershipTest, RefusesForgedAndMalformedDatagrams) {
  this->network.StartMany(2);
  Membership& target = *this->At(0).membership;
  MembershipMessage message;
  message.sender = this->At(1).membership->Self();
  message.sender.id = "intruder";
  const std::string forged = MembershipCodec("other key").Encode(message);
  std::string altered = MembershipCodec("fleet key").Encode(message);
  altered[5] = static_cast<char>(altered[5] ^ 1);
  for (const std::string& datagram : {std::string(), std::string("x"), forged, altered}) {
    target.HandleDatagram(Endpoint{"10.0.0.9", 1}, datagram);
  }
  EXPECT_EQ(target.Counters().datagrams_refused, 4U);
  EXPECT_EQ(target.Find("intruder"), nullptr);
  for (const char* state : {"", "x", "\x81\x01", "\xff"}) {
    EXPECT_FALSE(target.MergeState(state));
  }
}

// Guards against exchanges whose size grows with the fleet while nothing changes, and against a new
// member that receives an incomplete state.
TEST_F(MembershipTest, ExchangeCarriesOnlyDifferences) {
  this->network.StartMany(50);
  ASSERT_TRUE(this->EventuallyConverged(seconds(60)));
  Membership& a = *this->At(0).membership;
  Membership& b = *this->At(1).membership;
  EXPECT_EQ(a.ExportDigest(), b.ExportDigest());
  EXPECT_EQ(MembershipCodec::DecodeRecords(a.ExportState(b.ExportDigest()))->size(), 1U);
  EXPECT_EQ(MembershipCodec::DecodeRecords(a.ExportState(""))->size(), 50U);
  MemberNetwork other(kSeed);
  MemberNetwork::Process& alone = other.Start("alone", 60, 1);
  EXPECT_TRUE(alone.membership->MergeState(a.ExportState(alone.membership->ExportDigest())));
  EXPECT_EQ(alone.membership->Members().size(), 51U);
}

// Guards against records that are sent for ever and against datagrams that grow without bound.
TEST(UpdateQueueTest, TransmissionsAndSizeAreBounded) {
  UpdateQueue queue;
  const std::size_t limit = UpdateQueue::TransmissionLimit(50);
  const auto record_of = [](const std::string& id) {
    MemberRecord record;
    record.member.id = id;
    return std::optional<MemberRecord>(record);
  };
  for (int i = 0; i < 20; ++i) {
    queue.Add("m" + std::to_string(i));
  }
  std::size_t sent = 0;
  while (queue.Size() != 0 && sent < 1000) {
    std::vector<MemberRecord> updates;
    queue.Take(100, 50, record_of, updates);
    std::size_t bytes = 0;
    for (const MemberRecord& record : updates) {
      bytes += MembershipCodec::EncodedSize(record);
    }
    EXPECT_LE(bytes, 100U);
    sent += updates.size();
  }
  EXPECT_EQ(sent, 20 * limit);
}

}  // namespace
}  // namespace sycamoredrum
