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

/// Gets views of databases with fresh enough proofs: from the table, from rounds of this process if
/// it is a watcher, or else from a watcher. Thread-safe.
class ViewService {
 public:
  /// Limit of the question to one watcher. Covers a status round between regions (40 ms) with room
  /// for loss; a longer wait would hide that another watcher can answer.
  static constexpr Duration kWatcherTimeout = std::chrono::milliseconds(250);

  struct Parts {
    EventLoop& loop;
    std::string member;
    std::string data_centre;
    const ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    ViewTable& views;
    BackendControl& control;
    PeerCall call;
  };

  explicit ViewService(Parts parts);
  ~ViewService();

  /// Calls back exactly once, on a worker, with a view whose proof is not older than `not_before`,
  /// or with nullptr after the deadline.
  void Prove(const std::string& database, TimePoint not_before, TimePoint deadline,
             ProveCallback callback);

  /// The same from this process's own status calls only. Used to answer other proxies.
  void ProveLocally(const std::string& database, TimePoint not_before, TimePoint deadline,
                    ProveCallback callback);

  /// Takes the view of a probe round of this process's watcher.
  void Offer(const DatabaseView& view);

 private:
  /// A question that goes from watcher to watcher until one answers.
  struct Question {
    std::string database;
    TimePoint not_before;
    TimePoint deadline;
    ProveCallback callback;
    std::vector<std::string> watchers;
    std::size_t next_watcher = 0;
  };
  /// A proof that this process's own rounds are to give.
  struct LocalProof {
    TimePoint not_before;
    TimePoint deadline;
    ProveCallback callback;
  };
  struct Rounds {
    std::vector<std::string> backend_servers;
    std::unique_ptr<ProofRounds> rounds;
    std::map<std::uint64_t, LocalProof> waiting;
  };

  std::vector<std::string> WatchersFor(const DatabaseConfig& database) const;
  void AskNextWatcher(const std::shared_ptr<Question>& question);
  void HandleAnswer(const std::shared_ptr<Question>& question, TimePoint asked_at,
                    const PeerAnswer& reply);
  void ProveHere(const std::shared_ptr<Question>& question);
  /// The rounds over the present backend servers, or nullptr for an unknown database.
  Rounds* RoundsFor(const std::string& database);
  void Submit(const std::string& database, Rounds& entry, std::uint64_t number);
  void AnswerLocalProof(const std::string& database, std::uint64_t number,
                        const std::optional<DatabaseView>& view);
  ProofRoundHooks MakeHooks(const std::string& database);

  Parts parts;
  std::shared_ptr<SerialContext> context;
  std::map<std::string, Rounds> rounds;
  std::uint64_t next_proof = 1;
};

}  // namespace sycamoredrum
