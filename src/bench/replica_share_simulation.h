#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "backend_model.h"
#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/proof_rounds.h"
#include "sycamoredrum/request_executor.h"

namespace sycamoredrum {

/// One database with three backend servers in three data centres, and its load.
struct ShareScenario {
  std::uint64_t seed = 1;
  Duration link_delay{};           ///< One-way, between data centres.
  Duration caller_delay{};         ///< One-way, between a caller and an entry proxy.
  std::array<Duration, 2> lags{};  ///< Replication lag of each replica beyond the link delay.
  int acknowledge_copies = 2;      ///< Servers that hold a write before it is acknowledged.
  double write_share = 0;          ///< Of all requests.
  Duration max_read_age{};         ///< Of the caller group.
  Duration warm_up{};              ///< Duration of the load before reads are counted.
  Duration measured{};             ///< Duration of the load while reads are counted.
};

/// Counts of the reads that arrived in the measured time.
struct ShareResult {
  std::size_t reads = 0;         ///< Reads with a result.
  std::size_t from_replica = 0;  ///< Reads that a replica served.
  std::size_t ideal = 0;  ///< Reads that a replica could have served within ReadRouter::kMaxWait.
  std::size_t ideal_without_wait = 0;  ///< Reads that a replica could have served without a wait.
  std::size_t failed_reads = 0;        ///< Reads without a result.
  std::size_t writes = 0;              ///< Writes with a result, also outside the measured time.
  std::size_t failed_writes = 0;       ///< Writes without a result, also outside the measured time.
  /// Reads in `ideal` that no replica served, by reason.
  std::map<std::string, std::size_t> misses;
  std::vector<Duration> latencies;  ///< Time in the entry proxy of each read with a result.
};

/// Runs sessions against the request executor, the read router and the freshness proofs in virtual
/// time. Each data centre has one entry proxy and one watcher, server 0 is the primary, and each
/// request of a session goes to a random proxy. Run may be called once. Not thread-safe.
class ReplicaShareSimulation {
 public:
  explicit ReplicaShareSimulation(ShareScenario scenario);

  ShareResult Run();

 private:
  static constexpr int kServers = 3;
  static constexpr int kSessions = 24;

  struct Session {
    std::optional<SessionToken> token;
  };
  struct Acknowledged {
    TimePoint time;
    LogPosition position;
  };
  /// Evaluation of one read; complete when the answer arrived and `ideal` is known.
  struct Read {
    bool counted = false;
    TimePoint arrival;
    bool ideal = false;  ///< A replica could have served the read.
    bool ideal_known = false;
    std::optional<RequestAnswer> answer;
  };
  using ReadPtr = std::shared_ptr<Read>;

  void BuildGroup();
  void BuildProxies();
  RequestExecutorHooks Hooks(int proxy);
  void Every(Duration period, std::function<void()> action);
  void After(Duration delay, std::function<void()> action);
  Duration Delay(int from, int to) const;
  double Uniform();
  Duration ThinkTime();

  void Replicate(int replica);
  std::uint64_t VisibleIndex(TimePoint time, int replica) const;
  void Status(int watcher, const std::string& server, ProofRoundHooks::StatusCallback done);
  void Prove(int proxy, TimePoint not_before, TimePoint deadline, const ProveCallback& done);
  void Send(int proxy, const ExecuteCommand& command, TimePoint deadline,
            const ExecuteCallback& done);
  void Execute(int proxy, const ExecuteCommand& command, TimePoint wait_until, TimePoint deadline,
               const ExecuteCallback& done);
  void Confirm(int proxy, TimePoint deadline, const ExecuteAnswer& answer,
               const ExecuteCallback& done);
  void Reply(int proxy, int server, const ExecuteCallback& done, const ExecuteAnswer& answer);

  void NextRequest(int session);
  void SendRequest(int session);
  CallerRequest MakeRequest(const Session& session) const;
  void SendRead(int session, int proxy);
  void SendWrite(int session, int proxy);
  void Receive(int session, const RequestAnswer& answer);
  void EvaluateIdeal(const CallerRequest& request, const ReadPtr& read);
  LogPosition AcknowledgedBefore(TimePoint time) const;
  void Count(const ReadPtr& read);
  void CountMiss(const RequestAnswer& answer);

  ShareScenario scenario;
  ManualClock clock;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<BackendModel>> servers;
  std::shared_ptr<const DatabaseConfig> config;
  std::deque<std::pair<TimePoint, std::uint64_t>> primary_indexes;  ///< Last index by time.
  std::vector<std::unique_ptr<ProofRounds>> watchers;
  std::array<DatabaseViewPtr, kServers> views;
  std::vector<std::unique_ptr<RequestExecutor>> executors;
  std::array<Session, kSessions> sessions;
  std::vector<Acknowledged> acknowledged;  ///< Ascending in time; positions are running maxima.
  std::uint64_t next_request_id = 0;
  TimePoint count_from;
  TimePoint count_until;
  ShareResult result;
};

}  // namespace sycamoredrum
