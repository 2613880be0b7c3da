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

// One watcher that gets prepared answers: "a" is the primary in term 3, "b" and "c" follow it.
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
    hooks.ask_opinions = [this](Duration, WatcherHooks::OpinionsCallback callback) {
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
  void Fail(const std::string& server) { this->answers[server].reset(); }
  void Silence() {
    for (const char* id : {"b", "c"}) {
      this->answers[id]->primary_silence = kLongSilence;
    }
  }
  // The replicas were fenced in term 3 but were never told whom to follow.
  void Unfollow() {
    for (const char* id : {"b", "c"}) {
      this->answers[id]->term = 2;
      this->answers[id]->follows = "c";
      this->answers[id]->primary_silence = kLongSilence;
    }
  }
  void NoPrimary() {
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

// Guards against each condition of a promotion (section 5.1 of the design) being left out.
TEST_F(WatcherRulesTest, PromotionNeedsEveryCondition) {
  const WatcherOpinion silent{3, "a", kLongSilence, false, false};
  const WatcherOpinion heard{3, "a", milliseconds(100), false, false};
  const WatcherOpinion sees{3, "a", milliseconds(1), true, false};
  const WatcherOpinion newer{4, "b", kLongSilence, false, false};
  const WatcherOpinion unaware{};
  const auto healthy_group = [] {};
  const auto lost = [this] { this->Silence(), this->Fail("a"); };
  const auto lost_unfollowed = [this] { this->Unfollow(), this->Fail("a"); };
  const auto lost_with_replica = [this] { this->Silence(), this->Fail("a"), this->Fail("b"); };
  const auto none = [this] { this->NoPrimary(); };
  const auto one_hears = [this] {
    this->Silence();
    this->Fail("a");
    this->answers["c"]->primary_silence = milliseconds(50);
  };
  const auto fenced = [this] { this->answers["a"]->promised_term = 9; };
  const auto foreign = [this] {
    this->Silence();
    this->answers["a"]->backend_server = "x";
  };
  struct Case {
    const char* name;
    std::function<void()> prepare;
    std::vector<WatcherOpinion> opinions;
    bool promotes;
  };
  const Case cases[] = {
      {"healthy", healthy_group, {silent}, false},
      {"primary lost, replicas agree", lost, {}, true},
      {"a replica still hears the primary, nobody agrees", one_hears, {}, false},
      {"a replica still hears the primary, only an unaware watcher", one_hears, {unaware}, false},
      {"a replica still hears the primary, a watcher sees it", one_hears, {silent, sees}, false},
      {"a watcher heard the primary", lost, {silent, heard}, false},
      {"a watcher sees the primary", lost, {sees}, false},
      {"a watcher knows a newer primary", lost, {newer}, false},
      {"no majority", lost_with_replica, {silent}, false},
      {"no observer agrees", lost_unfollowed, {}, false},
      {"only an unaware watcher", lost_unfollowed, {unaware}, false},
      {"another watcher agrees", lost_unfollowed, {silent}, true},
      {"no primary", none, {}, true},
      {"no primary, but another watcher sees one", none, {sees}, false},
      {"the primary was fenced", fenced, {silent}, true},
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

// Guards against a promotion while the replicas' word still counts, and against callers without a
// primary for as long as a replica hears from it.
TEST_F(WatcherRulesTest, ReplicasThatHearThePrimaryHoldAPromotionBackForABoundedTime) {
  this->opinions = {WatcherOpinion{3, "a", kLongSilence, false, false}};
  this->watcher.Start();
  this->clock.Advance(seconds(1));
  this->answers["c"]->primary_silence = milliseconds(50);
  this->Fail("a");
  this->clock.Advance(milliseconds(1400));
  EXPECT_FALSE(this->fenced_at.has_value());
  this->clock.Advance(milliseconds(600));
  EXPECT_TRUE(this->fenced_at.has_value());
}

// Guards against a promotion before the primary was silent for the suspicion time, and against
// refused connections that are noticed no sooner than lost answers.
TEST_F(WatcherRulesTest, RefusedConnectionsStillWaitForTheSuspicionTime) {
  this->watcher.Start();
  this->clock.Advance(seconds(1));
  this->Silence();
  this->Fail("a");
  const TimePoint failed_at = this->clock.Now();
  this->clock.Advance(milliseconds(200));
  EXPECT_EQ(this->watcher.Counters().suspicions, 1u);
  this->clock.Advance(seconds(1));
  ASSERT_TRUE(this->fenced_at.has_value());
  // Suspicion time of 450 ms, less the 100 ms that may have passed since the last answer.
  EXPECT_GE(*this->fenced_at - failed_at, milliseconds(350));
  EXPECT_LE(*this->fenced_at - failed_at, milliseconds(550));
}

// Guards against an attempt that interrupts another watcher's, and against waiting for ever.
TEST_F(WatcherRulesTest, GivesWayToAnotherAttemptForABoundedTime) {
  this->watcher.Start();
  this->clock.Advance(seconds(1));
  this->Silence();
  this->Fail("a");
  this->opinions = {WatcherOpinion{3, "a", kLongSilence, false, true}};
  this->clock.Advance(milliseconds(1300));
  EXPECT_FALSE(this->fenced_at.has_value());
  this->clock.Advance(milliseconds(500));
  EXPECT_TRUE(this->fenced_at.has_value());
}

// Guards against a hand-over that stops writes while every replica is far behind.
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

// Guards against a probe timeout that equals the round-trip time of a steady link, or that leaves
// its bounds.
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
