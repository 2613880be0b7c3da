#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

enum class MetricKind { kCounter, kGauge, kHistogram };

/// Everything a proxy counts. The table in metrics.cc gives each one its name, unit and labels;
/// docs/operators/metrics.md says what to do when it is off.
enum class Metric {
  kRequests,
  kRequestSeconds,
  kReads,
  kFailoverSeconds,
  kPromotions,
  kPoolConnections,
  kPoolWaitSeconds,
  kQueueRefusals,
  kRetries,
  kRetryRefusals,
  kConfigurationNumber,
  kConfigurationLagSeconds,
  kMembers,
  kPlatformCalls,
  kControlBytes,
  kControlCpuSeconds,
  kProbes,
  kPeerLinks,
  kPeerErrors,
  kReplicaLag,
  kOpenTransactions,
  kConcurrentRequests,
  kMembershipEvents,
  kConfigurationEvents,
  kWatcherEvents,
  kStatements,
  kStatementSeconds,
  kCallerSessions,
  kLeadership,
};

/// Description of a metric, as exposed and as documented.
struct MetricInfo {
  Metric metric;
  MetricKind kind;
  const char* name;
  const char* help;
  std::vector<std::string> labels;
};

const std::vector<MetricInfo>& MetricTable();

/// Registry of the metrics above. Thread-safe. Label values are given in the order of the labels in
/// the table; a wrong number of them is a programming error and stops the process.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Increment(Metric metric, const std::vector<std::string>& labels = {}, double by = 1);
  void Set(Metric metric, const std::vector<std::string>& labels, double value);
  void Observe(Metric metric, const std::vector<std::string>& labels, Duration value);

  /// Raises a counter to `total`, the value of a counter that another object keeps. A lower total
  /// changes nothing. Calls for one counter are made one at a time.
  void RaiseTo(Metric metric, const std::vector<std::string>& labels, double total);

  /// Current value of a counter or gauge; 0 if it was never touched.
  double Value(Metric metric, const std::vector<std::string>& labels = {}) const;

  /// Prometheus text format.
  std::string Expose() const;

 private:
  class Registry;
  std::unique_ptr<Registry> registry;
};

}  // namespace sycamoredrum
