#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "server_observation.h"
#include "sycamoredrum/database_watcher.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAnswerTime = milliseconds(5);
constexpr Duration kLongSilence = seconds(5);

// A watcher that receives prepared answers. At first, "a" is the primary in term 3, and "b" and "c"
// follow it.
class WatcherRulesTest : public testing::Test {
 protected:
  WatcherRulesTest() {
    for (const char* id : {"a", "b", "c"}) {
      BackendServerStatus status;
      status.backend_server = id;
      status.database = "orders";
      status.term = 3;
      status.promised_term = 3;
      status.last_index = 10;
      status.history = TermHistory({{3, 1}});
      status.follows = "a";
      status.primary_silence = milliseconds(1);
      this->answers[id] = status;
    }
    this->answers["a"]->role = Role::kPrimary;
    this->answers["a"]->follows.clear();
    this->answers["a"]->primary_silence.reset();
  }
  WatcherHooks Hooks() {
    WatcherHooks hooks;
    hooks.probe = [this](const std::string& server, Duration,
                         PromotionHooks::StatusCallback callback) {
      this->clock.RunAfter(kAnswerTime, [=] { callback(this->answers.at(server)); });
    };
    hooks.collect_opinions = [this](Duration, WatcherHooks::OpinionsCallback callback) {
      this->clock.RunAfter(kAnswerTime, [=] { callback(this->opinions); });
    };
    hooks.control.fence = [this](const std::string& server, std::uint64_t, const std::string&,
                                 PromotionHooks::StatusCallback) {
      if (!this->fenced_at) {
        this->fenced_at = this->clock.Now();
        this->first_fenced = server;
      }
    };
    hooks.control.follow = [](const std::string&, std::uint64_t, const std::string&,
                              PromotionHooks::StatusCallback) {};
    hooks.is_leaving = [this](const std::string& server) { return server == this->leaving; };
    hooks.on_round = [](const std::vector<BackendServerView>&, TimePoint) {};
    hooks.on_gap = [](const FailoverGap&) {};
    return hooks;
  }
  void FailProbes(const std::string& server) { this->answers[server].reset(); }
  void LoseReplicaContact() {
    for (const char* id : {"b", "c"}) {
      this->answers[id]->primary_silence = kLongSilence;
    }
  }
  // The replicas were fenced in term 3 but have not received its `follow`.
  void SkipFollow() {
    for (const char* id : {"b", "c"}) {
      this->answers[id]->term = 2;
      this->answers[id]->follows = "c";
      this->answers[id]->primary_silence = kLongSilence;
    }
  }
  void RemovePrimary() {
    for (auto& [id, status] : this->answers) {
      status->role = Role::kReplica;
      status->follows.clear();
    }
  }

  ManualClock clock;
  std::map<std::string, std::optional<BackendServerStatus>> answers;
  std::vector<WatcherOpinion> opinions;
  std::string leaving;
  std::optional<TimePoint> fenced_at;
  std::string first_fenced;
  DatabaseWatcher watcher{"orders", "w",   {{"a", "b", "c"}, 0}, Hooks(), {},
                          clock,    clock, [] { return 1; }};
};

// Guards against a promotion although one of its conditions (docs/design.md, section 5.1) does not
// hold.
TEST_F(WatcherRulesTest, PromotionNeedsEveryCondition) {
  const WatcherOpinion no_contact{3, "a", kLongSilence, false, false};
  const WatcherOpinion recent_answer{3, "a", milliseconds(100), false, false};
  const WatcherOpinion reaches_primary{3, "a", milliseconds(1), true, false};
  const WatcherOpinion newer{4, "b", kLongSilence, false, false};
  const WatcherOpinion no_opinion{};
  const auto healthy_group = [] {};
  const auto lost = [this] { this->LoseReplicaContact(), this->FailProbes("a"); };
  const auto lost_without_follow = [this] { this->SkipFollow(), this->FailProbes("a"); };
  const auto lost_with_replica = [this] {
    this->LoseReplicaContact(), this->FailProbes("a"), this->FailProbes("b");
  };
  const auto none = [this] { this->RemovePrimary(); };
  const auto one_contact = [this] {
    this->LoseReplicaContact();
    this->FailProbes("a");
    this->answers["c"]->primary_silence = milliseconds(50);
  };
  const auto fenced = [this] { this->answers["a"]->promised_term = 9; };
  const auto foreign = [this] {
    this->LoseReplicaContact();
    this->answers["a"]->backend_server = "x";
  };
  struct Case {
    const char* name;
    std::function<void()> prepare;
    std::vector<WatcherOpinion> opinions;
    bool promotes;
  };
  const Case cases[] = {
      {"healthy", healthy_group, {no_contact}, false},
      {"primary lost, replicas agree", lost, {}, true},
      {"a replica has contact, no observer agrees", one_contact, {}, false},
      {"a replica has contact, a watcher without opinion", one_contact, {no_opinion}, false},
      {"a replica has contact, a watcher, too", one_contact, {no_contact, reaches_primary}, false},
      {"a watcher received an answer recently", lost, {no_contact, recent_answer}, false},
      {"a watcher reaches the primary", lost, {reaches_primary}, false},
      {"a watcher knows a newer primary", lost, {newer}, false},
      {"no majority", lost_with_replica, {no_contact}, false},
      {"no observer agrees", lost_without_follow, {}, false},
      {"only a watcher without opinion", lost_without_follow, {no_opinion}, false},
      {"another watcher agrees", lost_without_follow, {no_contact}, true},
      {"no primary", none, {}, true},
      {"no primary, but another watcher reaches one", none, {reaches_primary}, false},
      {"the primary was fenced", fenced, {no_contact}, true},
      {"another server answers at the primary's address", foreign, {}, true},
  };
  const auto healthy = this->answers;
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    this->answers = healthy;
    this->fenced_at.reset();
    this->opinions = c.opinions;
    DatabaseWatcher other("orders", "v", {{"a", "b", "c"}, 0}, this->Hooks(), {}, this->clock,
                          this->clock, [] { return 1; });
    other.Start();
    this->clock.Advance(seconds(1));
    ASSERT_FALSE(this->fenced_at.has_value());
    c.prepare();
    this->clock.Advance(seconds(2));
    EXPECT_EQ(this->fenced_at.has_value(), c.promotes);
  }
}

// Guards against a promotion before max_replica_hold has passed while a replica still has contact
// with the primary, and against a promotion that such a replica prevents without end.
TEST_F(WatcherRulesTest, ReplicasInContactWithThePrimaryHoldAPromotionBackForABoundedTime) {
  this->opinions = {WatcherOpinion{3, "a", kLongSilence, false, false}};
  this->watcher.Start();
  this->clock.Advance(seconds(1));
  this->answers["c"]->primary_silence = milliseconds(50);
  this->FailProbes("a");
  this->clock.Advance(milliseconds(1400));
  EXPECT_FALSE(this->fenced_at.has_value());
  this->clock.Advance(milliseconds(600));
  EXPECT_TRUE(this->fenced_at.has_value());
}

// Guards against a promotion before the primary was silent for the suspicion time, and against
// refused connections that are detected no sooner than lost answers.
TEST_F(WatcherRulesTest, RefusedConnectionsStillWaitForTheSuspicionTime) {
  this->watcher.Start();
  this->clock.Advance(seconds(1));
  this->LoseReplicaContact();
  this->FailProbes("a");
  const TimePoint failed_at = this->clock.Now();
  this->clock.Advance(milliseconds(200));
  EXPECT_EQ(this->watcher.Counters().suspicions, 1u);
  this->clock.Advance(seconds(1));
  ASSERT_TRUE(this->fenced_at.has_value());
  // Suspicion time of 450 ms, less the 100 ms that may have passed since the last answer.
  EXPECT_GE(*this->fenced_at - failed_at, milliseconds(350));
  EXPECT_LE(*this->fenced_at - failed_at, milliseconds(550));
}

// Guards against an attempt that interrupts that of another watcher, and against a watcher that
// gives way without end.
TEST_F(WatcherRulesTest, GivesWayToAnotherAttemptForABoundedTime) {
  this->watcher.Start();
  this->clock.Advance(seconds(1));
  this->LoseReplicaContact();
  this->FailProbes("a");
  this->opinions = {WatcherOpinion{3, "a", kLongSilence, false, true}};
  this->clock.Advance(milliseconds(1300));
  EXPECT_FALSE(this->fenced_at.has_value());
  this->clock.Advance(milliseconds(500));
  EXPECT_TRUE(this->fenced_at.has_value());
}

// Guards against a hand-over that interrupts writes for long because every replica lags far behind.
TEST_F(WatcherRulesTest, HandOverWaitsForAReplicaThatKeepsUp) {
  this->leaving = "a";
  this->watcher.Start();
  for (int i = 0; i < 50; ++i) {
    this->answers["a"]->last_index += 100;
    this->clock.Advance(milliseconds(100));
  }
  EXPECT_FALSE(this->fenced_at.has_value());
  for (int i = 0; i < 10; ++i) {
    this->answers["a"]->last_index += 100;
    this->answers["c"]->last_index = this->answers["a"]->last_index - 50;
    this->clock.Advance(milliseconds(100));
  }
  ASSERT_TRUE(this->fenced_at.has_value());
  EXPECT_EQ(this->first_fenced, "a");
}

// Guards against a probe timeout that equals the round-trip time of a link without jitter, or that
// is outside its bounds.
TEST(ServerObservationTest, ProbeTimeoutExceedsTheRoundTrip) {
  struct Case {
    Duration round_trip;
    Duration least;
    Duration most;
  };
  const Case cases[] = {{milliseconds(1), milliseconds(150), milliseconds(150)},
                        {milliseconds(300), milliseconds(340), milliseconds(400)},
                        {seconds(4), seconds(1), seconds(1)}};
  for (const Case& c : cases) {
    ManualClock clock;
    ServerObservation server("a", clock.Now(), WatcherTimings());
    for (int i = 0; i < 100; ++i) {
      const TimePoint sent_at = clock.Now();
      clock.Advance(c.round_trip);
      server.RecordStatus(sent_at, clock.Now(), BackendServerStatus());
    }
    EXPECT_GE(server.ProbeTimeout(), c.least);
    EXPECT_LE(server.ProbeTimeout(), c.most);
  }
}

}  // namespace
}  // namespace sycamoredrum
