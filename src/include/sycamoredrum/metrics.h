#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

enum class MetricKind { kCounter, kGauge, kHistogram };

/// All metrics of a proxy. The table in metrics.cc defines their names, units and labels;
/// docs/operators/metrics.md describes what to do about abnormal values.
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
  kStoreEra,
  kOrganisationOperations,
  kAllowanceTokens,
  kAllowanceParts,
  kCallerLimits,
  kCallerMemory,
  kForwardedStatements,
  kStrayAnswers,
};

/// Definition of a metric for its exposition and the documentation.
struct MetricInfo {
  Metric metric;
  MetricKind kind;
  const char* name;
  const char* help;
  std::vector<std::string> labels;
};

/// Definitions of all metrics.
const std::vector<MetricInfo>& MetricTable();

/// Registry of all metrics. Thread-safe. Label values are passed in the order of the labels in
/// MetricTable(); a wrong number of values is a programming error and aborts the process.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  void Increment(Metric metric, const std::vector<std::string>& labels = {}, double by = 1);
  void Set(Metric metric, const std::vector<std::string>& labels, double value);
  void Observe(Metric metric, const std::vector<std::string>& labels, Duration value);

  /// Raises a counter to `total`, the value of a counter that another object maintains. A lower
  /// total has no effect. Calls for the same counter must not be concurrent.
  void RaiseTo(Metric metric, const std::vector<std::string>& labels, double total);

  /// Current value of a counter or gauge; 0 if it was never updated.
  double Value(Metric metric, const std::vector<std::string>& labels = {}) const;

  /// All metrics in the Prometheus text format.
  std::string Expose() const;

 private:
  class Registry;
  std::unique_ptr<Registry> registry;
};

}  // namespace sycamoredrum
