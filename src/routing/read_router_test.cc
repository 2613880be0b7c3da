#include "sycamoredrum/read_router.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

// Servers p (primary), l (replica in the local data centre) and r (remote replica).
struct RouterSetup {
  RouterSetup() {
    this->config.name = this->view.database = "orders";
    this->view.term = 2;
    this->view.primary = "p";
    this->Add("p", "east", Role::kPrimary, 5000);
    this->Add("l", "west", Role::kReplica, 5000);
    this->Add("r", "east", Role::kReplica, 5000);
  }

  void Add(const std::string& id, const std::string& data_centre, Role role,
           std::uint64_t last_index) {
    BackendServerConfig server_config;
    server_config.id = id;
    server_config.data_centre = data_centre;
    this->config.backend_servers.push_back(server_config);
    BackendServerStatus status;
    status.role = role;
    status.term = status.promised_term = 2;
    status.last_index = last_index;
    status.history = TermHistory({{2, 1}});
    if (role == Role::kReplica) {
      status.follows = "p";
      status.primary_silence = milliseconds(10);
    }
    this->view.backend_servers.push_back(BackendServerView{id, true, status, this->clock.Now()});
  }

  BackendServerView& At(const std::string& id) {
    return *const_cast<BackendServerView*>(this->view.Find(id));
  }

  std::uint64_t& Last(const std::string& id) { return this->At(id).status->last_index; }
  void Fail(const std::string& id) { this->failures.Record(id, milliseconds(5)); }

  ReadRoute Route(milliseconds remaining = milliseconds(300)) {
    const RouteRequest request{LogPosition{2, 5000}, "west", remaining};
    return this->router.Route(this->view, this->config, this->failures, request);
  }

  std::string Order(milliseconds remaining = milliseconds(300)) {
    std::string order;
    for (const ReadChoice& choice : this->Route(remaining).choices) {
      order += choice.backend_server;
    }
    return order;
  }

  ManualClock clock;
  FailureMemory failures{clock};
  ReadRouter router{clock, [] { return 1; }};
  DatabaseView view;
  DatabaseConfig config;
};

// Guards against reads that load the primary although a replica can serve them, and against a route
// that is empty because of a fault.
TEST(ReadRouterTest, OrderOfChoices) {
  using Setup = RouterSetup;
  constexpr auto none = PrimaryReason::kNone, no_replica = PrimaryReason::kNoReplica;
  constexpr auto behind = PrimaryReason::kReplicasBehind, failed = PrimaryReason::kReplicasFailed;
  constexpr auto unreachable = PrimaryReason::kReplicasUnreachable;
  const struct {
    const char* name;
    std::function<void(RouterSetup&)> change;
    std::string order;
    PrimaryReason reason;
  } cases[] = {
      {"all hold", [](Setup&) {}, "lrp", none},
      {"local catches up", [](Setup& t) { t.Last("l") = 4500; }, "rlp", none},
      {"both catch up", [](Setup& t) { t.Last("l") = t.Last("r") = 4500; }, "lrp", none},
      {"local far behind", [](Setup& t) { t.Last("l") = 3; }, "rpl", none},
      {"both far behind", [](Setup& t) { t.Last("l") = t.Last("r") = 3; }, "plr", behind},
      {"silent stream",
       [](Setup& t) {
         t.Last("l") = 4999;
         t.At("l").status->primary_silence = milliseconds(900);
       },
       "rpl", none},
      {"local failed", [](Setup& t) { t.Fail("l"); }, "rpl", none},
      {"replicas failed",
       [](Setup& t) {
         t.Fail("l");
         t.Fail("r");
       },
       "plr", failed},
      {"replicas unreachable", [](Setup& t) { t.At("l").reachable = t.At("r").reachable = false; },
       "plr", unreachable},
      {"primary unreachable", [](Setup& t) { t.At("p").reachable = false; }, "lrp", none},
      {"no primary",
       [](Setup& t) {
         t.view.primary = "";
         t.view.term = 0;
         t.At("p").reachable = false;
       },
       "lrp", none},
      {"other history",
       [](Setup& t) {
         t.At("l").status->history = TermHistory({{1, 1}, {3, 4000}});
       },
       "rp", none},
      {"tail of a lower term",
       [](Setup& t) {
         t.At("l").status->history = TermHistory({{1, 1}});
       },
       "rpl", none},
      {"local leaves", [](Setup& t) { t.config.backend_servers[1].leaving = true; }, "rp", none},
      {"primary leaves", [](Setup& t) { t.config.backend_servers[0].leaving = true; }, "lrp", none},
      {"replicas removed", [](Setup& t) { t.config.backend_servers.resize(1); }, "p", no_replica},
      {"never observed", [](Setup& t) { t.At("l").status.reset(); }, "rp", none},
  };
  for (const auto& item : cases) {
    RouterSetup setup;
    item.change(setup);
    EXPECT_EQ(setup.Order(), item.order) << item.name;
    EXPECT_EQ(setup.Route().primary_reason, item.reason) << item.name;
  }
}

// Guards against a wait that leaves no time for another server.
TEST(ReadRouterTest, WaitIsBounded) {
  RouterSetup setup;
  EXPECT_EQ(setup.Route(milliseconds(300)).choices.front().wait, milliseconds(100));
  EXPECT_EQ(setup.Route(milliseconds(9000)).choices.front().wait, ReadRouter::kMaxWait);
  EXPECT_TRUE(setup.Route(milliseconds(0)).choices.empty());
}

// Guards against a server that is avoided permanently, too briefly after a second failure, or still
// after a successful answer.
TEST(ReadRouterTest, FailuresAreForgotten) {
  RouterSetup setup;
  setup.failures.Record("l", milliseconds(100));
  setup.failures.Record("l", milliseconds(10));
  setup.clock.Advance(milliseconds(99));
  EXPECT_TRUE(setup.failures.RecentlyFailed("l"));
  setup.clock.Advance(milliseconds(1));
  EXPECT_FALSE(setup.failures.RecentlyFailed("l"));
  setup.failures.Record("l", milliseconds(100));
  setup.failures.Clear("l");
  EXPECT_FALSE(setup.failures.RecentlyFailed("l"));
}

// Guards against a proof that is older than the read accepts, and against a larger position than
// needed, which would route reads to the primary.
TEST(ProofHistoryTest, FindsTheSmallestSufficientPosition) {
  EXPECT_TRUE(rc::check("proof history", [] {
    ProofHistory history;
    std::vector<FreshnessProof> added;
    const TimePoint start = TimePoint(std::chrono::hours(1));
    const int count = *rc::gen::inRange(0, 100);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t index = *rc::gen::inRange<std::uint64_t>(0, 50);
      added.push_back(FreshnessProof{{1, index}, start + milliseconds(i)});
      history.Add(added.back());
    }
    const TimePoint not_before = start + milliseconds(*rc::gen::inRange(0, 110));
    const auto found = history.Find(not_before);
    const bool any = !added.empty() && added.back().proven_at >= not_before;
    RC_ASSERT(found.has_value() == any);
    for (std::size_t i = 0; i < added.size(); ++i) {
      const bool kept = i + ProofHistory::kMaxProofs >= added.size();
      if (kept && added[i].proven_at >= not_before) {
        RC_ASSERT(found->position <= added[i].position);
      }
    }
    RC_ASSERT(!found || found->proven_at >= not_before);
  }));
}

}  // namespace
}  // namespace sycamoredrum
