#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/database_view.h"
#include "sycamoredrum/status.h"

namespace sycamoredrum {

/// Side effects of ProofRounds.
struct ProofRoundHooks {
  using StatusCallback = std::function<void(const std::optional<BackendServerStatus>&)>;

  /// Requests the status of a backend server. Calls back at most once, not from inside the hook.
  std::function<void(const std::string& server, Duration timeout, StatusCallback)> status;
  /// Called with each view that holds a new proof.
  std::function<void(const DatabaseView&)> proven;
};

/// Obtains freshness proofs of one database on demand (docs/design.md, section 5.4). All requests
/// that wait at the same time share one round of status calls. Not thread-safe.
class ProofRounds {
 public:
  /// Receives a view whose proof is not older than `not_before`, or nothing after the deadline.
  using Callback = std::function<void(const std::optional<DatabaseView>&)>;

  /// Delay before a round that ended without a proof is repeated.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(20);
  /// Timeout of one status call. Covers a round trip between regions (40 ms) with repeated packet
  /// loss.
  static constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);

  ProofRounds(std::string database, std::vector<std::string> backend_servers, ProofRoundHooks hooks,
              const Clock& clock, Scheduler& scheduler);

  /// Requests a proof from `not_before` or later. Calls back exactly once, never from inside this
  /// method.
  void Prove(TimePoint not_before, TimePoint deadline, Callback callback);

  /// Takes over a view from another source, for example from a watcher's probe round, if its proof
  /// or its term is newer.
  void Offer(const DatabaseView& view);

  const std::optional<DatabaseView>& Latest() const { return this->latest; }

  /// Rounds started since construction.
  std::uint64_t Rounds() const { return this->rounds; }

 private:
  struct Waiter {
    TimePoint not_before;
    Callback callback;
  };

  void StartRound();
  void HandleStatus(std::uint64_t round, const std::string& server,
                    const std::optional<BackendServerStatus>& status);
  void RetryRound(std::uint64_t round);
  void AnswerWaiters();
  void Expire(std::uint64_t waiter);
  void RunAfter(Duration delay, std::function<void()> action);
  bool HasProofSince(TimePoint not_before) const;

  std::string database;
  std::vector<std::string> backend_servers;
  ProofRoundHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;

  std::optional<DatabaseView> latest;
  std::uint64_t rounds = 0;
  bool round_open = false;  ///< The present round runs and has not yielded a proof yet.
  TimePoint round_started;
  std::vector<BackendServerView> round_servers;
  std::map<std::uint64_t, Waiter> waiters;
  std::uint64_t next_waiter = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
