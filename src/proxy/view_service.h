#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backend_control.h"
#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/proof_rounds.h"

namespace sycamoredrum {

/// Provides views of databases whose freshness proof is new enough: from the view table, from
/// status calls of this process if it is a watcher, or else from a watcher. Thread-safe.
class ViewService {
 public:
  /// Timeout of the proof request to one watcher. Covers a status round between regions (40 ms)
  /// with a margin for packet loss. A longer timeout would delay the request to the next watcher,
  /// which may be able to answer.
  static constexpr Duration kWatcherTimeout = std::chrono::milliseconds(250);

  struct Dependencies {
    EventLoop& loop;
    std::string member;
    std::string data_centre;
    const ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    ViewTable& views;
    BackendControl& control;
    PeerCall call;
  };

  explicit ViewService(Dependencies dependencies);
  ~ViewService();

  /// Calls back exactly once, on a worker, with a view whose proof is not older than `not_before`,
  /// or with nullptr if there is none by the deadline or the database is unknown.
  void Prove(const std::string& database, TimePoint not_before, TimePoint deadline,
             ProveCallback callback);

  /// Like Prove, but uses only the status calls of this process. Used to answer other proxies.
  void ProveLocally(const std::string& database, TimePoint not_before, TimePoint deadline,
                    ProveCallback callback);

  /// Stores the view that results from a probe round of this process's watcher, and completes the
  /// local proof requests that it satisfies.
  void PublishView(const DatabaseView& view);

 private:
  /// A request for a proof, which is sent to one watcher after the other until one answers.
  struct ProofRequest {
    std::string database;
    TimePoint not_before;
    TimePoint deadline;
    ProveCallback callback;
    std::vector<std::string> watchers;
    std::size_t next_watcher = 0;
  };
  /// A request for a proof that waits for status calls of this process.
  struct LocalProofRequest {
    TimePoint not_before;
    TimePoint deadline;
    ProveCallback callback;
  };
  struct Rounds {
    std::vector<std::string> backend_servers;
    std::unique_ptr<ProofRounds> rounds;
    std::map<std::uint64_t, LocalProofRequest> waiting;
  };

  /// The watchers of `database` in the order of the requests: this process, those in its data
  /// centre, then the others.
  std::vector<std::string> WatchersFor(const DatabaseConfig& database) const;
  void QueryNextWatcher(const std::shared_ptr<ProofRequest>& request);
  void HandleAnswer(const std::shared_ptr<ProofRequest>& request, TimePoint requested_at,
                    const PeerAnswer& reply);
  void ProveAsWatcher(const std::shared_ptr<ProofRequest>& request);
  /// Returns the rounds over the backend servers in the configuration in force, or nullptr for an
  /// unknown database.
  Rounds* RoundsFor(const std::string& database);
  void Submit(const std::string& database, Rounds& entry, std::uint64_t number);
  void AnswerLocalProof(const std::string& database, std::uint64_t number,
                        const std::optional<DatabaseView>& view);
  ProofRoundHooks MakeHooks(const std::string& database);

  Dependencies dependencies;
  std::shared_ptr<SerialContext> context;
  std::map<std::string, Rounds> rounds;
  std::uint64_t next_proof = 1;
};

}  // namespace sycamoredrum
