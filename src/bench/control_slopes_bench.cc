#include <fmt/format.h>

#include <cmath>
#include <cstring>
#include <string>
#include <vector>

#include "control_samples.h"
#include "least_squares.h"

namespace sycamoredrum {
namespace {

constexpr std::uint64_t kSeed = 20261204;

// The fleet size expected in two years and the limits for one node (docs/design.md, section 1).
constexpr double kNodes = 5000;
constexpr double kDatabases = 5300;
constexpr double kTicketsPerDay = 8500;
constexpr double kReplacementsPerDay = 2541;  // 2,500 restarted or replaced, 41 failed.
constexpr double kSecondsPerDay = 86400;
constexpr double kCoreShareLimit = 0.023;
constexpr double kMemoryLimit = 64e6;
constexpr double kBytesPerSecondLimit = 4000;
constexpr double kPropagationLimitSeconds = 4;
// Duties are reassigned when the set of candidates changes: when the replaced member dies and when
// its successor joins. A suspicion changes no candidate.
constexpr double kDutyAssignmentsPerReplacement = 2;

/// Sizes of one run of the benchmark. Rates are replacements per second in the whole fleet.
struct Plan {
  std::vector<int> nodes = {50, 200, 800, 3200};
  std::vector<double> replacement_rates = {0, 0.1, 1};
  std::vector<int> databases = {100, 400, 1600, 5300};
  int warm_up_seconds = 12;
  int measured_seconds = 30;
  int measured_seconds_large = 10;
  int large_nodes = 3000;  ///< From this size on, only the last rate is run, for a shorter time.
  int tickets = 20;
};

Plan QuickPlan() {
  Plan plan;
  plan.nodes = {20, 40, 60};
  plan.replacement_rates = {0, 1};
  plan.databases = {20, 40, 60};
  plan.warm_up_seconds = 5;
  plan.measured_seconds = 10;
  plan.tickets = 3;
  return plan;
}

std::string CompareToLimit(double value, double limit) {
  return fmt::format("{:.3g} of {:.3g}: {}", value, limit, value <= limit ? "ok" : "MISS");
}

void PrintPrediction(const char* what, const LeastSquares& fit, const std::vector<double>& row,
                     double limit) {
  const Estimate value = fit.Predict(row);
  std::string coefficients;
  for (std::size_t i = 0; i < row.size(); ++i) {
    const Estimate coefficient = fit.Coefficient(i);
    coefficients += fmt::format(" {:.4g}±{:.2g}", coefficient.value, coefficient.error);
  }
  fmt::print("  {:<38} coefficients{}; residual {:.2g}; at the two-year size {:.4g}±{:.2g}; {}\n",
             what, coefficients, fit.Residual(), value.value, value.error,
             CompareToLimit(value.value, limit));
}

void RunMembership(const Plan& plan) {
  fmt::print("Membership, one node; loss 0.1%; rate: replacements per second in the fleet\n");
  fmt::print("{:>6} {:>5} {:>8} {:>10} {:>10} {:>9} {:>10} {:>7}\n", "nodes", "rate", "dgram/s",
             "dgram B/s", "exch B/s", "core %", "heap B", "known");
  std::vector<std::vector<double>> rows;
  std::vector<std::vector<double>> datagram_rows;
  std::vector<std::vector<double>> exchange_rows;
  std::vector<double> bytes;
  std::vector<double> exchange;
  std::vector<double> core;
  std::vector<double> heap;
  for (const int nodes : plan.nodes) {
    const bool large = nodes >= plan.large_nodes;
    for (const double rate : plan.replacement_rates) {
      if (large && rate != plan.replacement_rates.back()) {
        continue;
      }
      const int measured = large ? plan.measured_seconds_large : plan.measured_seconds;
      const MembershipSample sample =
          MeasureMembership(nodes, rate, plan.warm_up_seconds, measured, kSeed);
      fmt::print("{:>6} {:>5.1f} {:>8.2f} {:>10.1f} {:>10.1f} {:>9.4f} {:>10.0f} {:>7.4f}\n", nodes,
                 rate, sample.datagrams_per_second, sample.datagram_bytes_per_second,
                 sample.exchange_bytes_per_second, sample.core_share * 100, sample.heap_bytes,
                 sample.live_pair_share);
      std::fflush(stdout);
      rows.push_back({1, static_cast<double>(nodes), rate});
      exchange_rows.push_back({1, rate, rate * nodes});
      if (!large) {
        // The run of a large fleet is too short for updates to reach all members, so its datagram
        // rate is left out of the fit.
        datagram_rows.push_back({1, std::log2(nodes), rate});
        bytes.push_back(sample.datagram_bytes_per_second);
      }
      exchange.push_back(sample.exchange_bytes_per_second);
      core.push_back(sample.core_share);
      heap.push_back(sample.heap_bytes);
    }
  }
  const double rate = kReplacementsPerDay / kSecondsPerDay;
  const std::vector<double> target = {1, kNodes, rate};
  fmt::print("Fit: constant, per doubling of the nodes, per replacement/s\n");
  PrintPrediction("datagram bytes/s", LeastSquares(datagram_rows, bytes),
                  {1, std::log2(kNodes), rate}, kBytesPerSecondLimit);
  fmt::print("Fit: constant, per replacement/s, per node and replacement/s\n");
  PrintPrediction("exchange bytes/s", LeastSquares(exchange_rows, exchange),
                  {1, rate, rate * kNodes}, kBytesPerSecondLimit);
  fmt::print("Fit: constant, per node, per replacement/s\n");
  PrintPrediction("share of a core", LeastSquares(rows, core), target, kCoreShareLimit);
  PrintPrediction("heap bytes", LeastSquares(rows, heap), target, kMemoryLimit);
}

void RunLoss(const Plan& plan) {
  fmt::print("Loss of one of eight data centres, one surviving node; 0 s: not noticed in 60 s\n");
  fmt::print("{:>6} {:>10} {:>10} {:>10} {:>13}\n", "nodes", "noticed s", "worst B/s", "mean B/s",
             "worst core %");
  for (const int nodes : plan.nodes) {
    if (nodes >= plan.large_nodes) {
      continue;
    }
    const LossSample sample = MeasureLoss(nodes, kSeed);
    fmt::print("{:>6} {:>10.0f} {:>10.0f} {:>10.0f} {:>13.3f}\n", nodes, sample.detection_seconds,
               sample.worst_bytes_per_second, sample.mean_bytes_per_second,
               sample.worst_core_share * 100);
    std::fflush(stdout);
  }
}

void RunPropagation(const Plan& plan) {
  fmt::print("Spread of a ticket from its acceptance until in force everywhere, {} tickets\n",
             plan.tickets);
  fmt::print("{:>6} {:>5} {:>9} {:>8} {:>10} {:>9} {:>9}\n", "nodes", "loss", "median s", "worst s",
             "msg/ticket", "B/ticket", "us/ticket");
  std::vector<std::vector<double>> rows;
  std::vector<double> worst;
  std::vector<double> bytes;
  for (const double loss : {0.0, 0.2}) {
    for (const int nodes : plan.nodes) {
      const PropagationSample sample = MeasurePropagation(nodes, loss, plan.tickets, kSeed);
      fmt::print("{:>6} {:>5.1f} {:>9.3f} {:>8.3f} {:>10.2f} {:>9.0f} {:>9.1f}\n", nodes, loss,
                 sample.median_seconds, sample.worst_seconds, sample.messages_per_ticket_and_node,
                 sample.bytes_per_ticket_and_node,
                 sample.processor_seconds_per_ticket_and_node * 1e6);
      std::fflush(stdout);
      rows.push_back({1, std::log2(nodes), loss});
      worst.push_back(sample.worst_seconds);
      bytes.push_back(sample.bytes_per_ticket_and_node * kTicketsPerDay / kSecondsPerDay);
    }
  }
  fmt::print("Fit: constant, per doubling of the nodes, per share of lost announcements\n");
  const std::vector<double> target = {1, std::log2(kNodes), 0};
  PrintPrediction("worst spread, s", LeastSquares(rows, worst), target, kPropagationLimitSeconds);
  PrintPrediction("bytes/s at 8,500 tickets a day", LeastSquares(rows, bytes), target,
                  kBytesPerSecondLimit);
}

void RunConfiguration(const Plan& plan) {
  fmt::print("Configuration, one node\n");
  fmt::print("{:>9} {:>11} {:>13} {:>13} {:>10}\n", "databases", "heap B", "heap B/ticket",
             "JSON B/ticket", "us/ticket");
  std::vector<std::vector<double>> rows;
  std::vector<double> heap;
  std::vector<double> core;
  double growth = 0;
  for (const int databases : plan.databases) {
    const ConfigurationSample sample = MeasureConfiguration(databases, plan.tickets);
    fmt::print("{:>9} {:>11.0f} {:>13.0f} {:>13.0f} {:>10.1f}\n", databases, sample.heap_bytes,
               sample.heap_bytes_per_ticket, sample.json_bytes_per_ticket,
               sample.seconds_per_ticket * 1e6);
    rows.push_back({1, static_cast<double>(databases)});
    heap.push_back(sample.heap_bytes);
    core.push_back(sample.seconds_per_ticket * kTicketsPerDay / kSecondsPerDay);
    growth = sample.json_bytes_per_ticket * kTicketsPerDay;
  }
  fmt::print("Fit: constant, per database\n");
  PrintPrediction("heap bytes", LeastSquares(rows, heap), {1, kDatabases}, kMemoryLimit);
  PrintPrediction("share of a core at 8,500 tickets/day", LeastSquares(rows, core), {1, kDatabases},
                  kCoreShareLimit);
  fmt::print("  The stored tickets grow by {:.3g} bytes a day at 8,500 tickets a day\n", growth);
}

void RunDuties(const Plan& plan) {
  fmt::print("Assignment of all duties, one node\n{:>6} {:>9} {:>10}\n", "nodes", "databases",
             "seconds");
  std::vector<std::vector<double>> rows;
  std::vector<double> times;
  for (const int nodes : plan.nodes) {
    for (const int databases : plan.databases) {
      const DutySample sample = MeasureDuties(nodes, databases);
      fmt::print("{:>6} {:>9} {:>10.4f}\n", nodes, databases, sample.seconds);
      const double n = nodes;
      const double d = databases;
      rows.push_back({1, d, d * n});
      times.push_back(sample.seconds);
    }
  }
  const LeastSquares fit(rows, times);
  const std::vector<double> target = {1, kDatabases, kDatabases * kNodes};
  const double assignments = kReplacementsPerDay * kDutyAssignmentsPerReplacement / kSecondsPerDay;
  fmt::print("Fit: constant, per database, per database and node\n");
  PrintPrediction("seconds for one assignment", fit, target, kPropagationLimitSeconds);
  fmt::print("  share of a core at {:.3f} assignments/s: {}\n", assignments,
             CompareToLimit(fit.Predict(target).value * assignments, kCoreShareLimit));
}

int Main(bool quick) {
  const Plan plan = quick ? QuickPlan() : Plan();
  fmt::print("Virtual time, seed {}; two-year size {} nodes, {} databases, {} replacements/day\n",
             kSeed, kNodes, kDatabases, kReplacementsPerDay);
  RunDuties(plan);
  RunConfiguration(plan);
  RunPropagation(plan);
  RunLoss(plan);
  RunMembership(plan);
  return 0;
}

}  // namespace
}  // namespace sycamoredrum

int main(int argc, char** argv) {
  return sycamoredrum::Main(argc > 1 && std::strcmp(argv[1], "--quick") == 0);
}
