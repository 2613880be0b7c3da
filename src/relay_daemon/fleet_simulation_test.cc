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

// Guards against trust in the memory of an earlier leadership: the last one ended before it had
// loaded the fleet's state, because the store was restored again.
TEST(FleetSimulationTest, ALeadershipThatNeverBeganHasNoMemoryToKeep) {
  SimulatedFleet fleet(6, 1);
  fleet.Advance(seconds(9));
  const FakeStore::Copy copy = fleet.store.Save();
  const auto count = [&fleet](const std::string& text) {
    return std::count_if(fleet.lines.begin(), fleet.lines.end(), [&text](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  };
  fleet.store.Restore(copy);
  const auto elections = count("leadership_gained");
  while (count("leadership_gained") == elections) {
    fleet.clock.Advance(milliseconds(1));
  }
  fleet.store.Restore(copy);
  fleet.Advance(seconds(9));
  EXPECT_EQ(count("uninterrupted=true"), 0);
  EXPECT_EQ(fleet.MembersWithGrant(), 1U);
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

// Guards against a promotion while a member may use the old primary: the removal of a silent
// member's registration takes effect when the member is back, and the next leader does not know it.
TEST(FleetSimulationTest, ALateRemovalOfASilentMemberHidesNoGrantFromTheNextLeader) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, 4);
    fleet.long_message_delays = false;
    fleet.Advance(seconds(5));
    const int leader = fleet.nodes[0]->leader_number;
    const int silent = (leader + 1) % 4;
    const auto cut_off = [&fleet, silent] {
      for (int i = 0; i < 4; ++i) {
        fleet.links_cut.insert({std::min(i, silent), std::max(i, silent)});
      }
    };
    cut_off();
    const auto removal_requested = [&fleet] {
      return std::any_of(fleet.lines.begin(), fleet.lines.end(), [](const std::string& line) {
        return line.find("member_forgotten") != std::string::npos;
      });
    };
    fleet.store.late_writes = 1;
    while (!removal_requested()) {
      fleet.Advance(milliseconds(50));
    }
    fleet.links_cut.clear();
    fleet.Advance(fleet.store.late_by + milliseconds(50));
    cut_off();
    fleet.store.disconnected.insert(silent);
    fleet.store.Revoke(kLeaderKey);
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

// Guards against grants to a process whose registration is that of an earlier start, which a late
// call of that start may still remove.
TEST(FleetSimulationTest, NothingIsGrantedUnderTheRegistrationOfAnEarlierStart) {
  SimulatedFleet fleet(7, 3);
  fleet.Advance(seconds(5));
  const int leader = fleet.nodes[0]->leader_number;
  Node& member = *fleet.nodes[static_cast<std::size_t>((leader + 1) % 3)];
  FleetLeader& leading = *fleet.nodes[static_cast<std::size_t>(leader)]->leader;
  HeartbeatMessage message = member.Heartbeat();
  EXPECT_TRUE(leading.OnHeartbeat(message).registered);
  EXPECT_EQ(leading.OnHeartbeat(message).epoch, leading.Epoch());
  message.registration = 0;
  EXPECT_FALSE(leading.OnHeartbeat(message).registered);
  EXPECT_EQ(leading.OnHeartbeat(message).epoch, 0U);
}

// Guards against grants that no later leader knows of: the restored store lacks the registration of
// a member that cannot reach the store, and the leader goes on granting it.
TEST(FleetSimulationTest, AMemberWhoseRegistrationWasLostIsNotGrantedUntilItRegistersAgain) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, 5);
    fleet.long_message_delays = false;
    fleet.Advance(seconds(9));
    const int lost = (fleet.nodes[0]->leader_number + 1) % 5;
    const Node& member = *fleet.nodes[static_cast<std::size_t>(lost)];
    FakeStore::Copy copy = fleet.store.Save();
    copy.items.erase(kMembersPrefix + member.self.member);
    fleet.store.disconnected.insert(lost);
    fleet.store.Restore(copy);
    fleet.Advance(seconds(8));
    EXPECT_FALSE(member.grants.Current("db")) << "seed " << seed;
    fleet.store.disconnected.clear();
    fleet.Advance(seconds(4));
    EXPECT_TRUE(member.grants.Current("db")) << "seed " << seed;
  }
}

// Guards against generations that begin anew: another writer replaces the record of the primary,
// and the next leader revokes generations below those that the members hold.
TEST(FleetSimulationTest, AnUnreadableRecordDoesNotHideTheGrants) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet(seed, 5);
    fleet.long_message_delays = false;
    fleet.Advance(seconds(9));
    fleet.database.At(0).silent = true;
    fleet.Advance(seconds(9));
    ASSERT_EQ(fleet.promotions, 1);
    fleet.store.Put(std::string(kPrimariesPrefix) + "db", "[[[");
    fleet.store.Revoke(kLeaderKey);
    fleet.database.servers.at(fleet.database.promotions[0]).down = true;
    // SimulatedFleet::OnPromote checks that no member may use the old primary.
    fleet.Advance(seconds(20));
    EXPECT_EQ(fleet.promotions, 2) << "seed " << seed;
    EXPECT_EQ(fleet.MembersWithGrant(), 5U) << "seed " << seed;
    if (testing::Test::HasFailure()) {
      fleet.PrintLog();
      FAIL() << "seed " << seed;
    }
  }
}

// Guards against the use of a replaced primary that has not noticed its replacement: it is promoted
// again later, and still claims to be the primary before that has taken effect.
TEST(FleetSimulationTest, AReplacedPrimaryLeadsOnlyAfterItsPromotion) {
  SimulatedFleet fleet(4, 4);
  fleet.long_message_delays = false;
  fleet.Advance(seconds(5));
  fleet.database.At(0).silent = true;
  fleet.Advance(seconds(4));
  ASSERT_EQ(fleet.promotions, 1);
  fleet.database.At(0).silent = false;
  fleet.database.At(1).down = true;
  fleet.database.At(2).down = true;
  for (int step = 0; step < 100; ++step) {
    fleet.Advance(milliseconds(50));
    for (const auto& node : fleet.nodes) {
      const std::optional<PrimaryGrant> grant = node->grants.Current("db");
      ASSERT_TRUE(!grant || grant->server != "db-0" || fleet.database.At(0).term == 3) << step;
    }
  }
  EXPECT_EQ(fleet.promotions, 2);
  EXPECT_EQ(fleet.MembersWithGrant(), 4U);
}

/// Injects random faults of all kinds, which overlap, into a fleet of `size` members.
class RandomFaults {
 public:
  RandomFaults(SimulatedFleet& fleet, std::uint64_t seed, int size)
      : fleet(fleet), random(seed), size(size), copy(fleet.store.Save()) {}

  void Step() {
    this->fleet.Advance(milliseconds(200 + this->random() % 800));
    // Most faults end within one to two seconds, so that promotions can complete.
    if (this->random() % 2 == 0) {
      this->fleet.store.down = false;
      this->fleet.store.disconnected.clear();
    }
    if (this->random() % 3 == 0) {
      this->fleet.links_cut.clear();
    }
    const int node = static_cast<int>(this->random() % static_cast<std::uint64_t>(this->size));
    const int other = static_cast<int>(this->random() % static_cast<std::uint64_t>(this->size));
    const int server = static_cast<int>(this->random() % 3);
    switch (this->random() % 22) {
      case 0:
        this->fleet.StopNode(node);
        break;
      case 1:
      case 2:
        if (!this->fleet.nodes[static_cast<std::size_t>(node)]) {
          this->fleet.StartNode(node);
        }
        break;
      case 3:
        this->fleet.frozen_until[static_cast<std::size_t>(node)] =
            this->fleet.clock.Now() + milliseconds(this->random() % 9000);
        break;
      case 4:
        this->fleet.store.disconnected.insert(node);
        break;
      case 5:
        this->fleet.store.disconnected.clear();
        break;
      case 6:
        this->fleet.store.down = !this->fleet.store.down;
        break;
      case 7:
        this->fleet.store.Revoke(kLeaderKey);
        break;
      case 8:
        this->fleet.store.lost_answers += 2;
        break;
      case 9:
        this->fleet.store.late_writes += 1;
        break;
      case 10:
        this->fleet.database.At(server).silent = true;
        break;
      case 11:
        this->fleet.database.At(server).silent = false;
        break;
      case 12:
        this->fleet.links_cut.insert({std::min(node, other), std::max(node, other)});
        break;
      case 13:
        this->StopGracefully(node, false);
        break;
      case 14:
      case 15:
        this->StopGracefully(node, true);
        break;
      case 16:
      case 17:
        this->Drain();
        break;
      case 18:
        for (int i = 0; i < 3; ++i) {
          this->fleet.database.At(i).record.state = BackendServerState::kReady;
        }
        break;
      case 19:
        this->CrashServer();
        break;
      case 20:
        this->fleet.store.down = true;
        this->fleet.clock.RunAfter(milliseconds(100 + this->random() % 1500),
                                   [this] { this->fleet.store.down = false; });
        break;
      case 21:
        this->OverwriteKey(node);
        break;
      default:
        this->fleet.links_cut.clear();
        break;
    }
  }

  /// Saves a copy of the store, or restores the last one, in some of the calls.
  void SaveOrRestore() {
    switch (this->random() % 24) {
      case 0:
      case 1:
        this->copy = this->fleet.store.Save();
        break;
      case 2:
        this->fleet.store.Restore(this->copy);
        break;
      default:
        break;
    }
  }

  /// Ends all faults.
  void Heal() {
    this->fleet.store.down = false;
    this->fleet.store.disconnected.clear();
    this->fleet.store.late_writes = 0;
    this->fleet.store.lost_answers = 0;
    this->fleet.links_cut.clear();
    for (int i = 0; i < 3; ++i) {
      this->fleet.database.At(i).silent = false;
      this->fleet.database.At(i).down = false;
      this->fleet.database.At(i).record.state = BackendServerState::kReady;
    }
    // Graceful stops that have begun end first.
    this->fleet.Advance(seconds(1));
    for (int i = 0; i < this->size; ++i) {
      this->fleet.frozen_until[static_cast<std::size_t>(i)] = this->fleet.clock.Now();
      if (!this->fleet.nodes[static_cast<std::size_t>(i)]) {
        this->fleet.StartNode(i);
      }
    }
  }

 private:
  /// Stops a process gracefully. With `restart`, its removal from the store takes effect late in
  /// half of the cases, and the process starts again soon.
  void StopGracefully(int number, bool restart) {
    Node* node = this->fleet.nodes[static_cast<std::size_t>(number)].get();
    if (node == nullptr || node->left) {
      return;
    }
    if (restart && this->random() % 2 == 0) {
      this->fleet.store.late_writes += 1;
      this->fleet.store.late_by = milliseconds(1000 + this->random() % 5000);
    }
    node->Stop(milliseconds(restart ? 0 : this->random() % 500));
    if (restart) {
      this->fleet.clock.RunAfter(milliseconds(401 + this->random() % 600), [this, number] {
        if (!this->fleet.nodes[static_cast<std::size_t>(number)]) {
          this->fleet.StartNode(number);
        }
      });
    }
  }

  /// Lets another writer replace a document of the fleet in the store.
  void OverwriteKey(int member) {
    const std::string keys[] = {kLeaderKey, std::string(kPrimariesPrefix) + "db",
                                kMembersPrefix + ("m" + std::to_string(member))};
    this->fleet.store.Put(keys[this->random() % 3], "[[[");
  }

  /// Lets the server that leads in the latest term announce its planned stop.
  void Drain() {
    SimulatedDatabase::Server& primary = this->Primary();
    primary.record.state = BackendServerState::kDraining;
  }

  /// Lets the server that leads in the latest term crash; it comes back with its log.
  void CrashServer() {
    SimulatedDatabase::Server& primary = this->Primary();
    primary.down = true;
    this->fleet.clock.RunAfter(milliseconds(200 + this->random() % 3000),
                               [&primary] { primary.down = false; });
  }

  SimulatedDatabase::Server& Primary() {
    SimulatedDatabase::Server* primary = &this->fleet.database.At(0);
    for (auto& [id, server] : this->fleet.database.servers) {
      if (server.role == Role::kPrimary && server.term > primary->term) {
        primary = &server;
      }
    }
    return *primary;
  }

  SimulatedFleet& fleet;
  std::mt19937_64 random;
  const int size;
  FakeStore::Copy copy;
};

// Overlapping random faults of all kinds. SimulatedFleet::OnPromote checks the invariant.
TEST(FleetSimulationTest, NoMemberMayUseAReplacedPrimary) {
  constexpr std::uint64_t kSeeds = 120;
  constexpr int kSize = 5;
  int promotions = 0;
  for (const std::uint64_t seed : Seeds(kSeeds)) {
    SimulatedFleet fleet(seed, kSize);
    RandomFaults faults(fleet, seed * 7919, kSize);
    for (int step = 0; step < 60; ++step) {
      faults.Step();
    }
    promotions += fleet.promotions;
    // The fleet must recover after the end of all faults.
    faults.Heal();
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

// The same with a store that returns from older copies, from the first start of the fleet on. At no
// time may a member use a server while another one leads in a later term.
TEST(FleetSimulationTest, NoMemberMayUseAReplacedPrimaryAfterARestore) {
  constexpr std::uint64_t kSeeds = 120;
  constexpr int kSize = 5;
  int promotions = 0;
  for (const std::uint64_t seed : Seeds(kSeeds)) {
    SimulatedFleet fleet(seed, kSize);
    fleet.store.Restore(FakeStore::Copy{});
    RandomFaults faults(fleet, seed * 7919, kSize);
    for (int step = 0; step < 60; ++step) {
      faults.Step();
      faults.SaveOrRestore();
      std::uint64_t term = 0;
      for (const auto& [id, server] : fleet.database.servers) {
        term = std::max(term, server.term);
      }
      for (const auto& node : fleet.nodes) {
        const std::optional<PrimaryGrant> grant =
            node ? node->grants.Current("db") : std::optional<PrimaryGrant>();
        EXPECT_TRUE(!grant || fleet.database.servers.at(grant->server).term == term)
            << "member " << node->number << " may use " << grant->server;
      }
      if (testing::Test::HasFailure()) {
        break;
      }
    }
    promotions += fleet.promotions;
    faults.Heal();
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
