#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <map>
#include <string>
#include <vector>

#include "replica_share_simulation.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr double kTargetRatio = 0.95;  // Of the reads from replicas to their ideal number.
// The target applies to lags up to this value. Results with a larger lag are printed, but not
// compared with it.
constexpr Duration kMaxTargetLag = milliseconds(500);
constexpr Duration kMeasured = seconds(20);
constexpr Duration kQuickMeasured = seconds(2);
constexpr Duration kWarmUp = seconds(2);

/// Link delays of one user of the project.
struct User {
  const char* name;
  Duration link_delay;
  Duration caller_delay;
};

/// Which replicas lag, and how many copies a write needs. The second replica always lags.
struct Layout {
  const char* name;
  bool first_lags;
  int acknowledge_copies;
};

/// Totals over all printed lines.
struct Totals {
  int compared = 0;  ///< Lines to which the target applies.
  int missed = 0;    ///< Of these, lines below the target.
  std::map<std::string, std::size_t> misses;
};

double Share(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double Percentile(std::vector<Duration> times, double share) {
  if (times.empty()) {
    return 0;
  }
  std::sort(times.begin(), times.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
  return std::chrono::duration<double, std::milli>(times[index]).count();
}

std::string Describe(const std::map<std::string, std::size_t>& misses) {
  std::string text;
  for (const auto& [reason, count] : misses) {
    text += count == 0 ? "" : fmt::format(" {}={}", reason, count);
  }
  return text;
}

void Report(const User& user, const Layout& layout, Duration lag, double write_share,
            Duration max_age, bool quick, Totals& totals) {
  ShareScenario scenario;
  scenario.seed = kSeed;
  scenario.link_delay = user.link_delay;
  scenario.caller_delay = user.caller_delay;
  scenario.lags = {layout.first_lags ? lag : Duration::zero(), lag};
  scenario.acknowledge_copies = layout.acknowledge_copies;
  scenario.write_share = write_share;
  scenario.max_read_age = max_age;
  scenario.warm_up = quick ? kWarmUp : kWarmUp + lag;
  scenario.measured = quick ? kQuickMeasured : kMeasured;
  const ShareResult result = ReplicaShareSimulation(scenario).Run();
  const std::size_t all = result.reads + result.failed_reads;
  const double real = Share(result.from_replica, all);
  const double ideal = Share(result.ideal, all);
  const double ratio = ideal == 0 ? 1 : real / ideal;
  const bool compared = lag <= kMaxTargetLag;
  const bool missed = ratio < kTargetRatio;
  totals.compared += compared ? 1 : 0;
  totals.missed += compared && missed ? 1 : 0;
  for (const auto& [reason, count] : result.misses) {
    totals.misses[reason] += count;
  }
  fmt::print(
      "{:<12} {:<8} {:>6} {:>3.0f}% {:>5} {:>6} {:.3f} {:.3f} {:.3f} {:.3f} {:>6.1f} {:>6.1f} "
      "{:>5} {}{}\n",
      user.name, layout.name, lag / milliseconds(1), write_share * 100, max_age / milliseconds(1),
      all, real, Share(result.ideal_without_wait, all), ideal, ratio,
      Percentile(result.latencies, 0.5), Percentile(result.latencies, 0.99),
      result.failed_reads + result.failed_writes, missed ? "MISS" : "ok", Describe(result.misses));
}

int Main(bool quick) {
  const std::vector<User> users = {{"rackline", milliseconds(5), milliseconds(1)},
                                   {"kodolrieksts", milliseconds(4), milliseconds(3)}};
  const std::vector<Layout> layouts = {{"one/2", false, 2}, {"both/1", true, 1}};
  std::vector<Duration> lags = {Duration::zero(),  milliseconds(5), milliseconds(50),
                                milliseconds(500), seconds(5),      seconds(60)};
  std::vector<double> write_shares = {0.01, 0.1, 0.5};
  std::vector<Duration> ages = {Duration::zero(), milliseconds(500), seconds(5)};
  if (quick) {
    lags = {Duration::zero(), milliseconds(500)};
    write_shares = {0.1};
    ages.pop_back();
  }
  fmt::print("Virtual time, seed {}; target ratio {}; primary-only baseline: share 0.000\n", kSeed,
             kTargetRatio);
  fmt::print("Layout one/2: one replica lags, 2 copies; both/1: both replicas lag, 1 copy\n");
  fmt::print("{:<12} {:<8} {:>6} {:>4} {:>5} {:>6} {:>5} {:>5} {:>5} {:>5} {:>6} {:>6} {:>5}\n",
             "user", "layout", "lag ms", "wr", "age", "reads", "share", "now", "ideal", "ratio",
             "p50 ms", "p99 ms", "bad");
  Totals totals;
  for (const User& user : users) {
    for (const Layout& layout : layouts) {
      for (const Duration lag : lags) {
        for (const double write_share : write_shares) {
          for (const Duration age : ages) {
            Report(user, layout, lag, write_share, age, quick, totals);
          }
        }
      }
    }
  }
  fmt::print(
      "Lag up to {} ms: {} of {} lines below the target. Reads below the ideal, by reason:{}\n",
      kMaxTargetLag / milliseconds(1), totals.missed, totals.compared, Describe(totals.misses));
  return 0;
}

}  // namespace
}  // namespace sycamoredrum

int main(int argc, char** argv) {
  return sycamoredrum::Main(argc > 1 && std::strcmp(argv[1], "--quick") == 0);
}
