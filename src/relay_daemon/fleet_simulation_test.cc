// Simulates a fleet in virtual time: several members, the store and one database, with random
// faults. At no time may a promotion be requested from the platform while a member may use another
// primary.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>

#include "simulated_fleet_test.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(FleetSimulationTest, AllMembersGetGrants) {
  SimulatedFleet fleet(1, 5);
  fleet.Advance(seconds(5));
  EXPECT_EQ(fleet.MembersWithGrant(), 5U);
  EXPECT_EQ(fleet.promotions, 0);
}

// Guards against two primaries in use at once: the record of the first primary was not stored, and
// a later leader revoked generation 0 while members held generation 1.
TEST(FleetSimulationTest, NothingIsGrantedBeforeTheRecordIsStored) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, 4);
    for (int step = 0; step < 100; ++step) {
      fleet.Advance(milliseconds(50));
      const bool recorded = fleet.store.Items().count(std::string(kPrimariesPrefix) + "db") != 0;
      fleet.store.down = step % 20 >= 8;
      EXPECT_TRUE(recorded || fleet.MembersWithGrant() == 0) << "seed " << seed;
    }
  }
}

// Guards against members without a recent log position: all reads of 300 members go to the primary
// then. Positions become too old when callers arrive after an idle period, or when the primary
// answers too slowly.
TEST(FleetSimulationTest, MembersKnowARecentPositionWithoutStatements) {
  SimulatedFleet fleet(2, 6);
  fleet.long_message_delays = false;
  fleet.Advance(seconds(4));
  for (int step = 0; step < 100; ++step) {
    fleet.Advance(milliseconds(50));
    for (const auto& node : fleet.nodes) {
      ASSERT_TRUE(node->position_at) << step;
      EXPECT_LE(fleet.clock.Now() - *node->position_at, milliseconds(1500)) << step;
    }
  }
}

TEST(FleetSimulationTest, ADeadPrimaryIsReplacedWithin2500Milliseconds) {
  for (const bool silent : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      SimulatedFleet fleet(seed, 6);
      fleet.long_message_delays = false;
      fleet.Advance(seconds(5));
      fleet.database.At(0).silent = silent;
      fleet.database.At(0).down = !silent;
      Duration gap{};
      while (fleet.database.promotions.empty() && gap < seconds(10)) {
        fleet.Advance(milliseconds(50));
        gap += milliseconds(50);
      }
      // Detection, revocation, selection, writing the record, and 300 ms for the promotion.
      EXPECT_LE(gap, milliseconds(2500)) << "seed " << seed << " silent " << silent;
      fleet.Advance(seconds(1));
      EXPECT_EQ(fleet.MembersWithGrant(), 6U) << "seed " << seed;
    }
  }
}

// An unreachable member keeps its grant until it expires; the promotion must wait for that.
TEST(FleetSimulationTest, APromotionWaitsForAMemberThatIsCutOff) {
  SimulatedFleet fleet(3, 4);
  fleet.Advance(seconds(5));
  const int leader = fleet.nodes[0]->leader_number;
  const int lost = (leader + 1) % 4;
  for (int i = 0; i < 4; ++i) {
    fleet.links_cut.insert({std::min(i, lost), std::max(i, lost)});
  }
  fleet.database.At(0).down = true;
  fleet.Advance(seconds(3));
  EXPECT_EQ(fleet.promotions, 0);
  fleet.Advance(seconds(4));
  EXPECT_EQ(fleet.promotions, 1);
}

TEST(FleetSimulationTest, ADrainingPrimaryIsHandedOverWithItsWholeLog) {
  SimulatedFleet fleet(5, 4);
  fleet.Advance(seconds(5));
  fleet.database.At(0).record.state = BackendServerState::kDraining;
  fleet.database.At(0).log_terms.assign(40, 1);
  fleet.database.At(1).log_terms.assign(30, 1);
  fleet.database.At(2).log_terms.assign(40, 1);
  fleet.Advance(seconds(3));
  ASSERT_EQ(fleet.database.promotions.size(), 1U);
  EXPECT_EQ(fleet.database.promotions[0], "db-2");
  EXPECT_EQ(fleet.MembersWithGrant(), 4U);
}

// A leader that reaches the store but no members must resign, so that another member leads.
TEST(FleetSimulationTest, AnIsolatedLeaderIsReplaced) {
  SimulatedFleet fleet(8, 5);
  fleet.Advance(seconds(5));
  const int first = fleet.nodes[0]->leader_number;
  for (int i = 0; i < 5; ++i) {
    fleet.links_cut.insert({std::min(i, first), std::max(i, first)});
  }
  fleet.Advance(seconds(8));
  EXPECT_EQ(fleet.MembersWithGrant(), 4U);
}

// Guards against reads at a replica: a new leader finds the record of before a hand-over in a store
// that was restored, and grants the old primary.
TEST(FleetSimulationTest, ALostRecordDoesNotBringTheOldPrimaryBack) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, 4);
    fleet.long_message_delays = false;
    fleet.Advance(seconds(9));
    const FakeStore::Copy copy = fleet.store.Save();
    fleet.database.At(0).record.state = BackendServerState::kDraining;
    fleet.Advance(seconds(3));
    ASSERT_EQ(fleet.database.promotions.size(), 1U);
    const std::string primary = fleet.database.promotions[0];
    fleet.database.At(0).record.state = BackendServerState::kReady;
    // The leader is frozen while the store returns, so another member leads afterwards.
    fleet.store.down = true;
    const auto leader = static_cast<std::size_t>(fleet.nodes[0]->leader_number);
    fleet.frozen_until[leader] = fleet.clock.Now() + seconds(5);
    fleet.Advance(seconds(2));
    fleet.store.Restore(copy);
    fleet.store.down = false;
    for (int step = 0; step < 400; ++step) {
      fleet.Advance(milliseconds(50));
      for (const auto& node : fleet.nodes) {
        const std::optional<PrimaryGrant> grant = node->grants.Current("db");
        ASSERT_TRUE(!grant || grant->server == primary)
            << "seed " << seed << ": member " << node->number << " may use " << grant->server;
      }
    }
    EXPECT_EQ(fleet.MembersWithGrant(), 4U) << "seed " << seed;
  }
}

// Guards against a promotion while a member may still use the old primary: the restored store lacks
// the member's registration, and the leader no longer waits for its grant.
TEST(FleetSimulationTest, APromotionWaitsForAMemberWhoseRegistrationWasLost) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, 5);
    fleet.long_message_delays = false;
    fleet.Advance(seconds(9));
    const int leader = fleet.nodes[0]->leader_number;
    const int lost = (leader + 1) % 5;
    FakeStore::Copy copy = fleet.store.Save();
    copy.items.erase(kMembersPrefix + fleet.nodes[static_cast<std::size_t>(lost)]->self.member);
    for (int i = 0; i < 5; ++i) {
      fleet.links_cut.insert({std::min(i, lost), std::max(i, lost)});
    }
    fleet.store.disconnected.insert(lost);
    fleet.store.Restore(copy);
    fleet.Advance(milliseconds(500));
    fleet.database.At(0).down = true;
    // SimulatedFleet::OnPromote checks that no member may use the old primary.
    fleet.Advance(seconds(12));
    EXPECT_EQ(fleet.promotions, 1) << "seed " << seed;
    if (testing::Test::HasFailure()) {
      fleet.PrintLog();
      FAIL() << "seed " << seed;
    }
  }
}

// Overlapping random faults of all kinds. SimulatedFleet::OnPromote checks the invariant.
TEST(FleetSimulationTest, NoMemberMayUseAReplacedPrimary) {
  constexpr std::uint64_t kSeeds = 120;
  constexpr int kSize = 5;
  int promotions = 0;
  for (const std::uint64_t seed : Seeds(kSeeds)) {
    SimulatedFleet fleet(seed, kSize);
    std::mt19937_64 faults(seed * 7919);
    for (int step = 0; step < 60; ++step) {
      fleet.Advance(milliseconds(200 + faults() % 800));
      // Most faults end within one to two seconds, so that promotions can complete.
      if (faults() % 2 == 0) {
        fleet.store.down = false;
        fleet.store.disconnected.clear();
      }
      if (faults() % 3 == 0) {
        fleet.links_cut.clear();
      }
      const int node = static_cast<int>(faults() % kSize);
      const int other = static_cast<int>(faults() % kSize);
      const int server = static_cast<int>(faults() % 3);
      switch (faults() % 14) {
        case 0:
          fleet.StopNode(node);
          break;
        case 1:
        case 2:
          if (!fleet.nodes[static_cast<std::size_t>(node)]) {
            fleet.StartNode(node);
          }
          break;
        case 3:
          fleet.frozen_until[static_cast<std::size_t>(node)] =
              fleet.clock.Now() + milliseconds(faults() % 9000);
          break;
        case 4:
          fleet.store.disconnected.insert(node);
          break;
        case 5:
          fleet.store.disconnected.clear();
          break;
        case 6:
          fleet.store.down = !fleet.store.down;
          break;
        case 7:
          fleet.store.Revoke(kLeaderKey);
          break;
        case 8:
          fleet.store.lost_answers += 2;
          break;
        case 9:
          fleet.store.late_writes += 1;
          break;
        case 10:
          fleet.database.At(server).silent = true;
          break;
        case 11:
          fleet.database.At(server).silent = false;
          break;
        case 12:
          fleet.links_cut.insert({std::min(node, other), std::max(node, other)});
          break;
        default:
          fleet.links_cut.clear();
          break;
      }
    }
    promotions += fleet.promotions;
    // All faults end; the fleet must recover.
    fleet.store.down = false;
    fleet.store.disconnected.clear();
    fleet.store.late_writes = 0;
    fleet.store.lost_answers = 0;
    fleet.links_cut.clear();
    for (int i = 0; i < 3; ++i) {
      fleet.database.At(i).silent = false;
    }
    for (int i = 0; i < kSize; ++i) {
      fleet.frozen_until[static_cast<std::size_t>(i)] = fleet.clock.Now();
      if (!fleet.nodes[static_cast<std::size_t>(i)]) {
        fleet.StartNode(i);
      }
    }
    fleet.Advance(seconds(25));
    EXPECT_EQ(fleet.MembersWithGrant(), static_cast<std::size_t>(kSize));
    if (testing::Test::HasFailure()) {
      fleet.PrintLog();
      FAIL() << "seed " << seed;
    }
  }
  EXPECT_TRUE(promotions > 50 || std::getenv("SYCAMOREDRUM_SEED") != nullptr)
      << "the faults must lead to promotions";
}

}  // namespace
}  // namespace sycamoredrum
