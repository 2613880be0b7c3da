#include "sycamoredrum/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstdlib>
#include <map>

namespace sycamoredrum {
namespace {

using Labels = std::map<std::string, std::string>;

// Upper bounds in seconds: from a local round trip to the longest acceptable failover.
const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 6, 10};

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

const std::vector<MetricInfo>& MetricTable() {
  static const auto* const table = new std::vector<MetricInfo>{
      {Metric::kRequests,
       MetricKind::kCounter,
       "sycamoredrum_requests_total",
       "Callers' requests by outcome and reason",
       {"caller_group", "outcome", "reason"}},
      {Metric::kRequestSeconds,
       MetricKind::kHistogram,
       "sycamoredrum_request_seconds",
       "Time from arrival to answer",
       {"kind"}},
      {Metric::kReads,
       MetricKind::kCounter,
       "sycamoredrum_reads_total",
       "Reads by the role that served them and why the primary was chosen",
       {"database", "served_by", "reason"}},
      {Metric::kFailoverSeconds,
       MetricKind::kHistogram,
       "sycamoredrum_failover_seconds",
       "Parts of the failover gap seen by this proxy",
       {"part"}},
      {Metric::kPromotions,
       MetricKind::kCounter,
       "sycamoredrum_promotions_total",
       "Promotions made by this proxy, by cause",
       {"database", "cause"}},
      {Metric::kPoolConnections,
       MetricKind::kGauge,
       "sycamoredrum_pool_connections",
       "Connections to a backend server by state",
       {"backend_server", "state"}},
      {Metric::kPoolWaitSeconds,
       MetricKind::kHistogram,
       "sycamoredrum_pool_wait_seconds",
       "Time that requests waited for a connection",
       {"backend_server"}},
      {Metric::kQueueRefusals,
       MetricKind::kCounter,
       "sycamoredrum_queue_refusals_total",
       "Requests refused before they ran, by reason",
       {"reason"}},
      {Metric::kRetries,
       MetricKind::kCounter,
       "sycamoredrum_retries_total",
       "Requests sent again by this proxy",
       {"caller_group"}},
      {Metric::kRetryRefusals,
       MetricKind::kCounter,
       "sycamoredrum_retry_refusals_total",
       "Retries that the retry budget did not allow",
       {"caller_group"}},
      {Metric::kConfigurationNumber,
       MetricKind::kGauge,
       "sycamoredrum_configuration_number",
       "Number of the ticket in force",
       {}},
      {Metric::kConfigurationLagSeconds,
       MetricKind::kHistogram,
       "sycamoredrum_configuration_lag_seconds",
       "Time from first hearing of a ticket's number to having it in force",
       {}},
      {Metric::kMembers,
       MetricKind::kGauge,
       "sycamoredrum_members",
       "Members by state as this proxy sees them",
       {"state"}},
      {Metric::kPlatformCalls,
       MetricKind::kCounter,
       "sycamoredrum_platform_calls_total",
       "Calls on the platform by kind and result",
       {"kind", "result"}},
      {Metric::kControlBytes,
       MetricKind::kCounter,
       "sycamoredrum_control_bytes_total",
       "Bytes of control traffic by kind and direction",
       {"kind", "direction"}},
      {Metric::kControlCpuSeconds,
       MetricKind::kCounter,
       "sycamoredrum_control_cpu_seconds_total",
       "Processor time of the process",
       {}},
      {Metric::kProbes,
       MetricKind::kCounter,
       "sycamoredrum_probes_total",
       "Probes of backend servers by result",
       {"result"}},
      {Metric::kPeerLinks,
       MetricKind::kGauge,
       "sycamoredrum_peer_links",
       "Open links to other proxies",
       {}},
      {Metric::kPeerErrors,
       MetricKind::kCounter,
       "sycamoredrum_peer_errors_total",
       "Requests to other proxies that failed, by kind",
       {"kind"}},
      {Metric::kReplicaLag,
       MetricKind::kGauge,
       "sycamoredrum_replica_lag_entries",
       "Log entries that a backend server is behind its primary",
       {"backend_server"}},
      {Metric::kOpenTransactions,
       MetricKind::kGauge,
       "sycamoredrum_open_transactions",
       "Interactive transactions held by this proxy",
       {}},
      {Metric::kConcurrentRequests,
       MetricKind::kGauge,
       "sycamoredrum_concurrent_requests",
       "Callers' requests in progress",
       {}},
      {Metric::kMembershipEvents,
       MetricKind::kCounter,
       "sycamoredrum_membership_events_total",
       "Suspicions, refutations, pauses, and datagrams sent and refused",
       {"event"}},
      {Metric::kConfigurationEvents,
       MetricKind::kCounter,
       "sycamoredrum_configuration_events_total",
       "Calls, announcements and pulls that keep the configuration up to date",
       {"event"}},
      {Metric::kWatcherEvents,
       MetricKind::kCounter,
       "sycamoredrum_watcher_events_total",
       "Rounds, suspicions and promotion attempts of this proxy's watchers",
       {"database", "event"}},
      {Metric::kStatements,
       MetricKind::kCounter,
       "sycamoredrum_statements_total",
       "Statements of callers' sessions by outcome",
       {"route", "outcome"}},
      {Metric::kStatementSeconds,
       MetricKind::kHistogram,
       "sycamoredrum_statement_seconds",
       "Time from the arrival of a session's statement to its answer",
       {"route"}},
      {Metric::kCallerSessions,
       MetricKind::kGauge,
       "sycamoredrum_caller_sessions",
       "Open sessions of callers",
       {}},
      {Metric::kLeadership,
       MetricKind::kGauge,
       "sycamoredrum_leadership",
       "1 while this proxy leads the fleet",
       {}},
      {Metric::kStoreEra,
       MetricKind::kGauge,
       "sycamoredrum_store_era",
       "Era of the store: rises when the store returns from an older copy",
       {}},
      {Metric::kOrganisationOperations,
       MetricKind::kCounter,
       "sycamoredrum_organisation_operations_total",
       "Operations of organisations that have a rate, by outcome",
       {"organisation", "outcome"}},
      {Metric::kAllowanceTokens,
       MetricKind::kGauge,
       "sycamoredrum_allowance_tokens",
       "Unused tokens that this proxy holds",
       {}},
      {Metric::kAllowanceParts,
       MetricKind::kGauge,
       "sycamoredrum_allowance_parts",
       "Parts of the organisations' rates that this proxy grants tokens of",
       {}},
      {Metric::kCallerLimits,
       MetricKind::kCounter,
       "sycamoredrum_caller_limits_total",
       "Callers' connections that were closed or refused at a limit, by limit",
       {"limit"}},
      {Metric::kCallerMemory,
       MetricKind::kGauge,
       "sycamoredrum_caller_memory_bytes",
       "Memory that callers' connections hold, by part, and the budget",
       {"part"}},
      {Metric::kForwardedStatements,
       MetricKind::kCounter,
       "sycamoredrum_forwarded_statements_total",
       "Statements sent to and received from other relays, by outcome",
       {"direction", "outcome"}},
      {Metric::kStrayAnswers,
       MetricKind::kCounter,
       "sycamoredrum_stray_answers_total",
       "Answers of backend servers that are no statement's own, by what they match",
       {"database", "match"}},
  };
  return *table;
}

class Metrics::Registry {
 public:
  Registry() {
    for (const MetricInfo& info : MetricTable()) {
      this->Register(info);
    }
  }

  prometheus::Counter& Counter(Metric metric, const std::vector<std::string>& values) {
    return this->counters.at(metric)->Add(this->MakeLabels(metric, values));
  }
  prometheus::Gauge& Gauge(Metric metric, const std::vector<std::string>& values) {
    return this->gauges.at(metric)->Add(this->MakeLabels(metric, values));
  }
  prometheus::Histogram& Histogram(Metric metric, const std::vector<std::string>& values) {
    return this->histograms.at(metric)->Add(this->MakeLabels(metric, values), kSecondsBuckets);
  }
  bool IsCounter(Metric metric) const { return this->counters.count(metric) != 0; }
  std::string Serialize() const {
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
  }

 private:
  void Register(const MetricInfo& info) {
    this->infos[info.metric] = &info;
    switch (info.kind) {
      case MetricKind::kCounter:
        this->counters[info.metric] =
            &prometheus::BuildCounter().Name(info.name).Help(info.help).Register(this->registry);
        break;
      case MetricKind::kGauge:
        this->gauges[info.metric] =
            &prometheus::BuildGauge().Name(info.name).Help(info.help).Register(this->registry);
        break;
      case MetricKind::kHistogram:
        this->histograms[info.metric] =
            &prometheus::BuildHistogram().Name(info.name).Help(info.help).Register(this->registry);
        break;
    }
  }

  Labels MakeLabels(Metric metric, const std::vector<std::string>& values) const {
    const std::vector<std::string>& names = this->infos.at(metric)->labels;
    if (names.size() != values.size()) {
      std::abort();
    }
    Labels labels;
    for (std::size_t i = 0; i < names.size(); ++i) {
      labels[names[i]] = values[i];
    }
    return labels;
  }

  prometheus::Registry registry;
  std::map<Metric, const MetricInfo*> infos;
  std::map<Metric, prometheus::Family<prometheus::Counter>*> counters;
  std::map<Metric, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<Metric, prometheus::Family<prometheus::Histogram>*> histograms;
};

Metrics::Metrics() : registry(std::make_unique<Registry>()) {}
Metrics::~Metrics() = default;

void Metrics::Increment(Metric metric, const std::vector<std::string>& labels, double by) {
  this->registry->Counter(metric, labels).Increment(by);
}

void Metrics::Set(Metric metric, const std::vector<std::string>& labels, double value) {
  this->registry->Gauge(metric, labels).Set(value);
}

void Metrics::Observe(Metric metric, const std::vector<std::string>& labels, Duration value) {
  this->registry->Histogram(metric, labels).Observe(ToSeconds(value));
}

void Metrics::RaiseTo(Metric metric, const std::vector<std::string>& labels, double total) {
  prometheus::Counter& counter = this->registry->Counter(metric, labels);
  const double missing = total - counter.Value();
  if (missing > 0) {
    counter.Increment(missing);
  }
}

double Metrics::Value(Metric metric, const std::vector<std::string>& labels) const {
  if (this->registry->IsCounter(metric)) {
    return this->registry->Counter(metric, labels).Value();
  }
  return this->registry->Gauge(metric, labels).Value();
}

std::string Metrics::Expose() const { return this->registry->Serialize(); }

}  // namespace sycamoredrum
