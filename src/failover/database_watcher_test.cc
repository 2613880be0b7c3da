#include "sycamoredrum/database_watcher.h"

#include <gtest/gtest.h>

#include <functional>

#include "simulation.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kGapTarget = seconds(2);
constexpr Duration kScaleGapTarget = seconds(6);  // Target for the size expected in two years.

SimulationOptions WithSeed(std::uint64_t seed) {
  SimulationOptions options;
  options.seed = seed;
  return options;
}

// Runs until all servers follow the first primary, and then for another 5 s. Returns the primary.
int RunUntilStable(Simulation& simulation) {
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.AllServersFollowPrimary(); }, seconds(5)));
  simulation.Run(seconds(5));
  return simulation.Primary();
}

// Runs until a write is confirmed in a term above `old_term`. Returns false if `limit` passes
// first.
bool FailsOver(Simulation& simulation, std::uint64_t old_term, Duration limit) {
  return simulation.RunUntil([&] { return simulation.LastConfirmedTerm() > old_term; }, limit);
}

void ExpectRecovered(Simulation& simulation) {
  simulation.HealEverything();
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.AllServersFollowPrimary(); }, minutes(1)));
  simulation.StopWrites();
  simulation.Run(seconds(2));
  EXPECT_TRUE(simulation.AllServersHoldConfirmedWrites());
  EXPECT_TRUE(simulation.Violations().empty()) << simulation.Violations().front();
}

// Guards against a new group that gets no primary or several, and against rounds that are not
// reported.
TEST(DatabaseWatcherTest, NewGroupGetsOnePrimary) {
  Simulation simulation(WithSeed(1));
  EXPECT_GE(RunUntilStable(simulation), 0);
  EXPECT_EQ(simulation.PromotionCount(), 1);
  EXPECT_GT(simulation.RoundsReported(), 100);
  ExpectRecovered(simulation);
}

// Guards against a time without a primary above the target and against lost writes, for each way in
// which a primary can fail.
TEST(DatabaseWatcherTest, LostPrimaryIsReplacedWithinTheTarget) {
  struct Case {
    const char* name;
    std::function<void(Simulation&, int)> fault;
  };
  const Case cases[] = {
      {"killed", [](Simulation& s, int p) { s.Kill(p); }},
      {"frozen", [](Simulation& s, int p) { s.Freeze(Simulation::ServerId(p)); }},
      {"cut off alone", [](Simulation& s, int p) { s.Isolate(Simulation::ServerId(p)); }},
      {"cut off with its watcher",
       [](Simulation& s, int p) {
         s.Isolate(Simulation::ServerId(p));
         s.Isolate(Simulation::WatcherId(p));
       }},
      {"killed, answers to promote lost",
       [](Simulation& s, int p) {
         s.Kill(p);
         s.LosePromoteAnswers(2);
       }},
      {"killed together with the first watcher",
       [](Simulation& s, int p) {
         s.Kill(p);
         s.Freeze(Simulation::WatcherId(0));
       }},
  };
  for (const Case& c : cases) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE(std::string(c.name) + ", seed " + std::to_string(seed));
      Simulation simulation(WithSeed(seed));
      const int primary = RunUntilStable(simulation);
      const std::uint64_t term = simulation.HighestTerm();
      c.fault(simulation, primary);
      EXPECT_TRUE(FailsOver(simulation, term, kGapTarget));
      EXPECT_EQ(simulation.PromotionCount(), 2);
      ExpectRecovered(simulation);
    }
  }
}

// Guards against promotions without the agreement of another observer or without a majority.
TEST(DatabaseWatcherTest, DoesNotPromoteWithoutCause) {
  struct Case {
    const char* name;
    std::function<void(Simulation&, int)> fault;
  };
  const Case cases[] = {
      {"one watcher cut from the primary",
       [](Simulation& s, int p) { s.Cut(Simulation::WatcherId(0), Simulation::ServerId(p)); }},
      {"two of three watchers cut from the primary",
       [](Simulation& s, int p) {
         for (int w = 0; w < 2; ++w) {
           s.Cut(Simulation::WatcherId(w), Simulation::ServerId(p));
         }
       }},
      {"one replica cut from the primary",
       [](Simulation& s, int p) {
         s.Cut(Simulation::ServerId((p + 1) % 3), Simulation::ServerId(p));
       }},
      {"replicas cut from the primary, one watcher reaches it",
       [](Simulation& s, int p) {
         s.Isolate(Simulation::ServerId(p));
         s.Reconnect(Simulation::WatcherId(p));
       }},
      {"watcher alone", [](Simulation& s, int) { s.Isolate(Simulation::WatcherId(0)); }},
      {"watcher paused for 5 s",
       [](Simulation& s, int) {
         s.Freeze(Simulation::WatcherId(0));
         s.Run(seconds(5));
         s.Unfreeze(Simulation::WatcherId(0));
       }},
      {"majority lost",
       [](Simulation& s, int p) {
         s.Kill(p);
         s.Kill((p + 1) % 3);
       }},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    Simulation simulation(WithSeed(3));
    const int primary = RunUntilStable(simulation);
    c.fault(simulation, primary);
    simulation.Run(minutes(1));
    EXPECT_EQ(simulation.PromotionCount(), 1);
    ExpectRecovered(simulation);
  }
}

// Guards against a primary that keeps its role although only its replicas can reach it, and the
// callers cannot.
TEST(DatabaseWatcherTest, PrimaryThatOnlyItsReplicasReachIsReplaced) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Simulation simulation(WithSeed(seed));
    const int primary = RunUntilStable(simulation);
    const std::uint64_t term = simulation.HighestTerm();
    for (int watcher = 0; watcher < 3; ++watcher) {
      simulation.Cut(Simulation::WatcherId(watcher), Simulation::ServerId(primary));
    }
    EXPECT_TRUE(FailsOver(simulation, term, kScaleGapTarget));
    ExpectRecovered(simulation);
  }
}

// Guards against false promotions over lossy and slow links.
TEST(DatabaseWatcherTest, LossyLinksCauseNoPromotion) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulationOptions options = WithSeed(seed);
    options.jitter = milliseconds(40);
    Simulation simulation(options);
    RunUntilStable(simulation);
    simulation.SetLoss(0.05);
    simulation.Run(minutes(20));
    EXPECT_EQ(simulation.PromotionCount(), 1);
    EXPECT_GT(simulation.Watcher(0).Counters().failed_probes, 1000u);
    ExpectRecovered(simulation);
  }
}

// Guards against a watcher that counts the probe timeouts which expire during its own pause as
// failures of the servers, and against probe timeouts that equal the round-trip time of a slow
// link.
TEST(DatabaseWatcherTest, SlowLinksAndPausesCauseNoSuspicion) {
  SimulationOptions options = WithSeed(13);
  options.link_delay = milliseconds(150);
  Simulation simulation(options);
  const int primary = RunUntilStable(simulation);
  const int paused = (primary + 1) % 3;
  const std::uint64_t before = simulation.Watcher(paused).Counters().suspicions;
  simulation.Freeze(Simulation::WatcherId(paused));
  simulation.Run(seconds(5));
  simulation.Unfreeze(Simulation::WatcherId(paused));
  simulation.Run(minutes(1));
  EXPECT_EQ(simulation.Watcher(paused).Counters().suspicions, before);
  EXPECT_EQ(simulation.PromotionCount(), 1);
}

// Guards against a second primary that a watcher creates after a pause between its fence and its
// promote.
TEST(DatabaseWatcherTest, PausedPromoterIsRefused) {
  Simulation simulation(WithSeed(5));
  const int primary = RunUntilStable(simulation);
  const std::uint64_t term = simulation.HighestTerm();
  simulation.InterceptPromote([&] { simulation.Freeze(Simulation::WatcherId(0)); });
  simulation.Kill(primary);
  EXPECT_TRUE(FailsOver(simulation, term, kGapTarget));
  const std::uint64_t new_term = simulation.HighestTerm();
  simulation.Unfreeze(Simulation::WatcherId(0));
  simulation.Run(seconds(10));
  EXPECT_EQ(simulation.HighestTerm(), new_term);
  EXPECT_EQ(simulation.PromotionCount(), 2);
  ExpectRecovered(simulation);
}

// Guards against watchers that promote at the same time and make each other's attempts fail without
// end.
TEST(DatabaseWatcherTest, ConcurrentPromotionsEndWithOnePrimary) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulationOptions options = WithSeed(seed);
    options.same_rank = true;
    Simulation simulation(options);
    const int primary = RunUntilStable(simulation);
    const std::uint64_t term = simulation.HighestTerm();
    simulation.Kill(primary);
    EXPECT_TRUE(FailsOver(simulation, term, kGapTarget));
    ExpectRecovered(simulation);
  }
}

// Guards against a server that cannot follow the primary because it has promised a higher term to
// an abandoned attempt.
TEST(DatabaseWatcherTest, AbandonedPromiseIsResolved) {
  Simulation simulation(WithSeed(7));
  const int primary = RunUntilStable(simulation);
  simulation.Server((primary + 1) % 3).Fence(50, "abandoned");
  EXPECT_FALSE(simulation.AllServersFollowPrimary());
  simulation.Run(seconds(10));
  EXPECT_TRUE(simulation.AllServersFollowPrimary());
  EXPECT_EQ(simulation.Primary(), primary);
  ExpectRecovered(simulation);
}

// Guards against a promotion every few seconds while each new primary fails soon after it starts.
TEST(DatabaseWatcherTest, FlappingPrimariesAreBounded) {
  Simulation simulation(WithSeed(9));
  RunUntilStable(simulation);
  const int before = simulation.PromotionCount();
  for (int i = 0; i < 150; ++i) {
    const int primary = simulation.Primary();
    if (primary >= 0) {
      simulation.Kill(primary);
      simulation.Run(seconds(1));
      simulation.Restart(primary);
    }
    simulation.Run(seconds(1));
  }
  // The waits of 2, 4, 8, 16 and then 30 s allow at most 4 + 300 / 30 promotions in 300 s.
  EXPECT_LE(simulation.PromotionCount() - before, 14);
  ExpectRecovered(simulation);
}

// Guards against a hand-over that loses writes, interrupts them for long, or delays the next
// failover.
TEST(DatabaseWatcherTest, HandOverUnderWritesLosesNothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Simulation simulation(WithSeed(seed));
    const int primary = RunUntilStable(simulation);
    simulation.SetLeaving(primary, true);
    ASSERT_TRUE(simulation.RunUntil([&] { return simulation.Gaps().size() == 2; }, seconds(3)));
    const FailoverGap gap = simulation.Gaps().back();
    EXPECT_EQ(gap.cause, PromotionCause::kHandOver);
    EXPECT_LT(gap.PromotionTime(), milliseconds(200));
    EXPECT_EQ(simulation.Primary(), Simulation::ServerId(simulation.Primary()) == gap.primary
                                        ? simulation.Primary()
                                        : -1);
    EXPECT_NE(simulation.Primary(), primary);
    simulation.Run(milliseconds(500));
    const std::uint64_t term = simulation.HighestTerm();
    simulation.Kill(simulation.Primary());
    EXPECT_TRUE(FailsOver(simulation, term, kGapTarget));
    ExpectRecovered(simulation);
  }
}

// Guards against a stopped watcher that still acts, and against a changed list of backend servers
// that is ignored.
TEST(DatabaseWatcherTest, StopAndReconfigureTakeEffect) {
  SimulationOptions options = WithSeed(11);
  options.watchers = 1;
  Simulation simulation(options);
  const int primary = RunUntilStable(simulation);
  const std::string removed = Simulation::ServerId((primary + 1) % 3);
  WatcherAssignment assignment;
  for (int i = 0; i < 3; ++i) {
    if (Simulation::ServerId(i) != removed) {
      assignment.backend_servers.push_back(Simulation::ServerId(i));
    }
  }
  simulation.Watcher(0).Reconfigure(assignment);
  simulation.Run(seconds(1));
  const std::uint64_t probes = simulation.Watcher(0).Counters().probes;
  simulation.Run(seconds(1));
  EXPECT_EQ(simulation.Watcher(0).Counters().probes - probes, 20u);
  simulation.Watcher(0).Stop();
  const int rounds = simulation.RoundsReported();
  simulation.Kill(primary);
  simulation.Run(seconds(10));
  EXPECT_EQ(simulation.RoundsReported(), rounds);
  EXPECT_EQ(simulation.PromotionCount(), 1);
}

// Guards against a field of an opinion that is lost between two watchers.
TEST(WatcherOpinionTest, JsonKeepsEveryField) {
  const WatcherOpinion opinion{7, "a", std::chrono::milliseconds(120), true, true};
  EXPECT_EQ(ParseWatcherOpinion(ToJson(opinion)), opinion);
  EXPECT_EQ(ParseWatcherOpinion(ToJson(WatcherOpinion{})), WatcherOpinion{});
  EXPECT_FALSE(ParseWatcherOpinion("{\"term\":1}").has_value());
}

}  // namespace
}  // namespace sycamoredrum
