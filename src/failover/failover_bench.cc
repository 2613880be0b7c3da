#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "simulation.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Series = std::vector<double>;

constexpr int kRuns = 40;
constexpr double kTargetMs = 2000;
constexpr Duration kRunLimit = seconds(30);
// Links between data centres have variable delay and lose some packets.
constexpr Duration kJitter = milliseconds(2);
constexpr double kLoss = 0.001;

/// Network of one user.
struct Network {
  const char* user;
  Duration link_delay;  ///< One-way, between data centres.
};

struct Fault {
  const char* name;
  std::function<void(Simulation&, int primary)> apply;
};

struct Detector {
  const char* name;
  WatcherTimings timings;
};

/// Times of one failover, in milliseconds.
struct FailoverTimes {
  double detection = 0;  ///< From the fault to the suspicion.
  double decision = 0;   ///< From the suspicion to the start of the promotion.
  double promotion = 0;  ///< From the start of the promotion to the answer of the new primary.
  double total = 0;  ///< From the fault to the first write that a majority holds in a later term.
};

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Simulates one failover. A run that does not recover within kRunLimit, or that violates a
/// guarantee, has kRunLimit as its total.
FailoverTimes RunOnce(const Network& network, const Fault& fault, const Detector& detector,
                      std::uint64_t seed) {
  SimulationOptions options;
  options.seed = seed;
  options.link_delay = network.link_delay;
  options.jitter = kJitter;
  options.loss = kLoss;
  options.timings = detector.timings;
  Simulation simulation(options);
  simulation.RunUntil([&] { return simulation.AllServersFollowPrimary(); }, kRunLimit);
  // Each seed places the fault at another point of the probe interval.
  simulation.Run(seconds(10) + milliseconds(seed * 37 % 1000));
  const std::uint64_t term = simulation.HighestTerm();
  const std::size_t gaps = simulation.Gaps().size();
  const TimePoint failed_at = simulation.Time().Now();
  fault.apply(simulation, simulation.Primary());
  const auto recovered = [&] {
    return simulation.LastConfirmedTerm() > term && simulation.Gaps().size() > gaps;
  };
  FailoverTimes times;
  if (!simulation.RunUntil(recovered, kRunLimit) || !simulation.Violations().empty()) {
    times.total = Milliseconds(kRunLimit);
    return times;
  }
  const FailoverGap& gap = simulation.Gaps().at(gaps);
  times.detection = Milliseconds(gap.suspected_at - failed_at);
  times.decision = Milliseconds(gap.Decision());
  times.promotion = Milliseconds(gap.PromotionTime());
  times.total = Milliseconds(simulation.Time().Now() - failed_at);
  return times;
}

std::string MedianAndWorst(Series series) {
  std::sort(series.begin(), series.end());
  return fmt::format("{:>6.0f} /{:>6.0f}", series[series.size() / 2], series.back());
}

/// Runs all seeds, prints one line, and returns the number of runs above the target.
int Report(const Network& network, const Fault& fault, const Detector& detector) {
  Series detection;
  Series decision;
  Series promotion;
  Series total;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    const FailoverTimes times = RunOnce(network, fault, detector, seed);
    detection.push_back(times.detection);
    decision.push_back(times.decision);
    promotion.push_back(times.promotion);
    total.push_back(times.total);
  }
  const auto late =
      std::count_if(total.begin(), total.end(), [](double time) { return time > kTargetMs; });
  fmt::print("{:<14} {:<9} {:<9} {} {} {} {} {:>6}/{}\n", network.user, fault.name, detector.name,
             MedianAndWorst(detection), MedianAndWorst(decision), MedianAndWorst(promotion),
             MedianAndWorst(total), late, kRuns);
  return static_cast<int>(late);
}

/// Fixed timeouts for comparison: a probe each second, suspicion after 3 failures.
Detector Baseline() {
  Detector detector{"1 s x 3", {}};
  detector.timings.probe_interval = seconds(1);
  detector.timings.min_probe_timeout = seconds(1);
  detector.timings.max_probe_timeout = seconds(1);
  return detector;
}

int Main() {
  const Network networks[] = {{"rackline", milliseconds(5)}, {"kodolrieksts", milliseconds(4)}};
  const Fault faults[] = {
      {"killed", [](Simulation& s, int p) { s.Kill(p); }},
      {"frozen", [](Simulation& s, int p) { s.Freeze(Simulation::ServerId(p)); }},
      {"cut off", [](Simulation& s, int p) { s.Isolate(Simulation::ServerId(p)); }},
  };
  const Detector adaptive{"adaptive", {}};
  const Detector baseline = Baseline();
  fmt::print("Virtual time, {} runs (seeds 1 to {}); median / worst in ms; target {:.0f} ms\n",
             kRuns, kRuns, kTargetMs);
  fmt::print("{:<14} {:<9} {:<9} {:>14} {:>14} {:>14} {:>14} {:>9}\n", "user", "fault", "detector",
             "detection", "decision", "promotion", "total", "late");
  int late = 0;
  for (const Network& network : networks) {
    for (const Fault& fault : faults) {
      late += Report(network, fault, adaptive);
      Report(network, fault, baseline);
    }
  }
  return late == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sycamoredrum

int main() { return sycamoredrum::Main(); }
