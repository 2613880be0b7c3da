#include "sycamoredrum/configuration_sync.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "sycamoredrum/manual_clock.h"
#include "test_tickets.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;

class ConfigurationSyncTest : public testing::Test {
 protected:
  struct Node {
    ConfigurationLog log;
    std::unique_ptr<ConfigurationSync> sync;
    bool watcher = false;
    bool reachable = true;
    int ready_calls = 0;
  };

  void SetUp() override { RecordProperty("seed", std::to_string(kSeed)); }

  Node& Add(const std::string& id, bool watcher, bool start = true) {
    Node& node = this->nodes[id];
    node.watcher = watcher;
    ConfigurationSyncHooks hooks;
    hooks.should_watch = [&node] { return node.watcher; };
    hooks.members = [this, id] { return this->OtherMembers(id); };
    hooks.announce = [this, id](const std::string& to, std::uint64_t number) {
      this->clock.RunAfter(milliseconds(5), [this, id, to, number] {
        if (this->CanCommunicate(id, to)) {
          this->nodes.at(to).sync->HandleNumber(id, number);
        }
      });
    };
    hooks.pull = [this, id](const std::string& from, std::uint64_t after, std::size_t limit,
                            ConfigurationSyncHooks::PullCallback done) {
      this->clock.RunAfter(milliseconds(10), [this, id, from, after, limit, done] {
        done(this->CanCommunicate(id, from)
                 ? std::optional<TicketsAnswer>(this->nodes.at(from).sync->HandlePull(after, limit))
                 : std::nullopt);
      });
    };
    hooks.ready = [&node] { ++node.ready_calls; };
    node.sync =
        std::make_unique<ConfigurationSync>(hooks, this->platform.Client(), node.log, this->clock,
                                            this->clock, [this] { return this->random(); });
    if (start) {
      node.sync->Start();
    }
    return node;
  }
  std::vector<std::string> OtherMembers(const std::string& id) {
    std::vector<std::string> others;
    for (const auto& entry : this->nodes) {
      if (entry.first != id) {
        others.push_back(entry.first);
      }
    }
    return others;
  }
  bool CanCommunicate(const std::string& a, const std::string& b) {
    return this->nodes.at(a).reachable && this->nodes.at(b).reachable;
  }
  void StoreUpTo(std::uint64_t last) {
    for (std::uint64_t number = this->stored + 1; number <= last; ++number) {
      this->platform.Store(MakeTicket(number, "t"));
    }
    this->stored = last;
  }
  // Delivers the number of each member to all others, as the membership protocol does.
  void ExchangeNumbers() {
    for (auto& [to, node] : this->nodes) {
      for (const std::string& from : this->OtherMembers(to)) {
        if (this->CanCommunicate(from, to)) {
          node.sync->HandleNumber(from, this->nodes.at(from).log.Number());
        }
      }
    }
  }

  ManualClock clock;
  FakePlatform platform{clock};
  std::mt19937_64 random{kSeed};
  std::map<std::string, Node> nodes;
  std::uint64_t stored = 0;
};

// Guards against a proxy that is ready before it has read the whole platform.
TEST_F(ConfigurationSyncTest, StartReadsAllPages) {
  this->StoreUpTo(300);
  Node& node = this->Add("a", false);
  this->clock.Advance(milliseconds(5));
  EXPECT_FALSE(node.sync->Ready());
  this->clock.Advance(seconds(1));
  EXPECT_TRUE(node.sync->Ready());
  EXPECT_EQ(node.log.Number(), 300U);
  EXPECT_EQ(node.ready_calls, 1);
  EXPECT_EQ(this->platform.lists, 5);
}

// Guards against a ticket that takes longer to reach all members than the limit of 4 s for the
// fleet size expected in two years, and against platform calls from members that are not watchers.
TEST_F(ConfigurationSyncTest, OneWatcherIsEnoughForFiftyMembers) {
  for (int i = 0; i < 50; ++i) {
    this->Add("m" + std::to_string(i), i == 0);
  }
  this->clock.Advance(seconds(2));
  this->StoreUpTo(1);
  this->clock.Advance(seconds(1));
  const auto up_to_date =
      std::count_if(this->nodes.begin(), this->nodes.end(),
                    [](const auto& entry) { return entry.second.log.Number() == 1; });
  EXPECT_GT(up_to_date, 25) << "announcements alone reach most members";
  this->ExchangeNumbers();
  this->clock.Advance(seconds(1));
  for (const auto& [id, node] : this->nodes) {
    EXPECT_EQ(node.log.Number(), 1U) << id;
    EXPECT_LE(node.sync->Counters().platform_calls, id == "m0" ? 4U : 1U) << id;
  }
  EXPECT_EQ(this->platform.OpenWatches(), 1U);
}

// Guards against a watcher that stays behind after a platform outage, and against retries without
// back-off.
TEST_F(ConfigurationSyncTest, WatcherRecoversAfterAnOutage) {
  this->StoreUpTo(2);
  Node& node = this->Add("a", true);
  this->clock.Advance(seconds(1));
  this->platform.SetDown(true);
  this->clock.Advance(seconds(60));
  const std::uint64_t errors = node.sync->Counters().platform_errors;
  EXPECT_GE(errors, 15U);
  EXPECT_LE(errors, 40U);
  this->StoreUpTo(5);
  this->platform.SetDown(false);
  this->clock.Advance(seconds(5));
  EXPECT_EQ(node.log.Number(), 5U);
}

// Guards against a new proxy that becomes ready at the first configuration number that it receives
// from a peer while another reachable member has a higher one.
TEST_F(ConfigurationSyncTest, StartInAnOutageWaitsForTheHighestNumber) {
  this->StoreUpTo(100);
  Node& ahead = this->Add("ahead", false);
  this->clock.Advance(seconds(1));
  Node& behind = this->Add("behind", false, /*start=*/false);
  behind.log.Offer(ahead.log.TicketsAfter(0, 5));
  this->platform.SetDown(true);
  Node& fresh = this->Add("fresh", false);
  ahead.reachable = false;
  fresh.sync->HandleNumber("behind", 5);
  this->clock.Advance(milliseconds(1500));
  EXPECT_EQ(fresh.log.Number(), 5U);
  EXPECT_FALSE(fresh.sync->Ready());
  ahead.reachable = true;
  fresh.sync->HandleNumber("ahead", 100);
  EXPECT_FALSE(fresh.sync->Ready());
  this->clock.Advance(seconds(1));
  EXPECT_EQ(fresh.log.Number(), 100U);
  EXPECT_TRUE(fresh.sync->Ready());
}

// Guards against a new proxy that never becomes ready in an outage because a listed member does not
// answer, and against one that becomes ready although no peer has answered.
TEST_F(ConfigurationSyncTest, StartInAnOutageNeedsAPeerButNotAll) {
  this->StoreUpTo(3);
  Node& peer = this->Add("peer", false);
  Node& lost = this->Add("lost", false);
  this->clock.Advance(seconds(1));
  lost.reachable = false;
  peer.reachable = false;
  this->platform.SetDown(true);
  Node& fresh = this->Add("fresh", false);
  this->clock.Advance(seconds(30));
  EXPECT_FALSE(fresh.sync->Ready());
  peer.reachable = true;
  this->clock.Advance(seconds(8));
  EXPECT_TRUE(fresh.sync->Ready());
  EXPECT_EQ(fresh.log.Number(), 3U);
}

// Guards against a member that stops pulling because one peer fails or has lost its tickets.
TEST_F(ConfigurationSyncTest, PullsFromAnotherMemberAfterAFailure) {
  this->StoreUpTo(70);
  Node& good = this->Add("good", false);
  Node& broken = this->Add("broken", false);
  this->clock.Advance(seconds(1));
  Node& node = this->Add("node", false, /*start=*/false);
  broken.reachable = false;
  node.sync->HandleNumber("broken", 70);
  node.sync->HandleNumber("good", good.log.Number());
  this->clock.Advance(milliseconds(100));
  EXPECT_EQ(node.log.Number(), 70U);
  EXPECT_LE(node.sync->Counters().pulls, 3U);
}

// Guards against a member that restarted with fewer tickets and whose former number makes others
// wait for tickets that it no longer has.
TEST_F(ConfigurationSyncTest, PullAnswerCorrectsTheNumberOfARestartedMember) {
  this->StoreUpTo(2);
  Node& peer = this->Add("peer", false);
  this->clock.Advance(seconds(1));
  EXPECT_EQ(peer.log.Number(), 2U);
  this->platform.SetDown(true);
  Node& fresh = this->Add("fresh", false);
  fresh.sync->HandleNumber("peer", 9);
  this->clock.Advance(seconds(5));
  EXPECT_TRUE(fresh.sync->Ready());
  EXPECT_EQ(fresh.log.Number(), 2U);
}

}  // namespace
}  // namespace sycamoredrum
