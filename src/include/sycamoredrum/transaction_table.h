#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/holder_service.h"
#include "sycamoredrum/request.h"

namespace sycamoredrum {

/// Interactive transactions of one holder. Each owns one connection from begin to end, runs one
/// request at a time and belongs to one caller group. Not thread-safe.
class TransactionTable {
 public:
  /// Longest time between two requests of a transaction.
  static constexpr Duration kIdleLimit = std::chrono::seconds(10);
  /// Longest time from begin until the commit is answered by the backend server.
  static constexpr Duration kTotalLimit = std::chrono::seconds(60);
  /// Time limit for the rollback of an idle transaction; after it the connection is closed.
  static constexpr Duration kRollbackTimeout = std::chrono::seconds(1);
  /// How long the outcome of an ended transaction is kept, so that a repeated commit is not treated
  /// as the commit of an unknown transaction.
  static constexpr Duration kEndRetention = std::chrono::seconds(120);
  /// Maximum number of ended transactions that are kept. Limits their memory, together with
  /// kMaxEndedResultBytes, to about 12 MB.
  static constexpr std::size_t kMaxEnded = 10000;
  /// Maximum size of the kept results of a commit. A commit with larger results is kept with the
  /// outcome kUnknown; a repeated commit is then answered from the request record.
  static constexpr std::size_t kMaxEndedResultBytes = 1024;

  /// `member` is the id of this proxy; transaction ids have the form "<member>.<random>".
  TransactionTable(HolderHooks hooks, std::string member, const Clock& clock, Scheduler& scheduler,
                   RandomSource random);
  ~TransactionTable();

  /// Runs a step of a transaction that the entry proxy `entry` sent, and calls back exactly once
  /// while the table exists. Later steps use the term and the kind (read or write) of the begin. If
  /// the connection is lost before the commit was sent, the outcome is kNotRun, because the backend
  /// server rolls back; after that it is kUnknown. A rollback gives kResult even if the connection
  /// is lost. A repeated commit gets the answer of the first one. An unknown id gives kNotRun with
  /// reason kNoTransaction, except for a commit: an earlier process with the same member id may
  /// have run it, so its outcome is kUnknown.
  void Execute(const ExecuteCommand& command, const std::string& entry, ExecuteCallback callback);

  /// Aborts the transactions whose last request came from the entry proxy `entry`, and closes their
  /// connections. A commit that was sent is not interrupted.
  void MemberGone(const std::string& entry);

  /// Refuses new transactions from now on. Open ones finish within their limits.
  void Stop() { this->stopping = true; }

  /// True if no transaction is open, beginning or being rolled back.
  bool Empty() const;

  /// Number of open transactions.
  std::size_t Size() const { return this->transactions.size(); }

 private:
  enum class Stage { kIdle, kRunning, kCommitting };
  struct Transaction {
    ExecuteCommand begin;  ///< Names the database, backend server, caller group, term and kind.
    std::string entry;     ///< Entry proxy that sent the last request.
    BackendLease lease;
    TimePoint begun_at;
    TimePoint last_used;
    Stage stage = Stage::kRunning;
    std::vector<ExecuteCallback> callbacks;  ///< Of the request in progress and its repetitions.
  };
  struct Ended {
    ExecuteCommand begin;
    ExecuteAnswer answer;  ///< Sent to a repeated commit.
  };

  void Begin(const ExecuteCommand& command, const std::string& entry, ExecuteCallback callback);
  void StartBegin(std::uint64_t pending, const ExecuteCommand& command, const std::string& entry,
                  const BackendLease& lease, TimePoint deadline, ExecuteCallback callback);
  void SendStep(const std::string& id, const ExecuteCommand& command, TimePoint deadline);
  void OnReply(const std::string& id, const ExecuteCommand& command, TimePoint deadline,
               const std::optional<BackendReply>& reply);
  void OnConnectionLost(const std::string& id, TransactionStep step);
  void OnCommitted(const std::string& id, const ExecuteCommand& command, TimePoint deadline,
                   const BackendReply& reply);
  void OnStepDone(const std::string& id, const BackendReply& reply);
  void AnswerEnded(const ExecuteCommand& command, ExecuteCallback callback);
  void LookUpCommit(const ExecuteCommand& command, const ExecuteAnswer& stored,
                    ExecuteCallback callback);
  void RollBackIdle(const std::string& id);
  void EndTransaction(const std::string& id, const ExecuteAnswer& answer);
  void RecordEnd(const std::string& id, const ExecuteCommand& begin, ExecuteAnswer answer);
  void EvictEnded();
  void CheckLimits(const std::string& id);
  void ScheduleCheck(const std::string& id, Duration delay);
  std::string NewId();

  std::shared_ptr<BackendRequestRunner> runner;
  std::string member;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;
  bool stopping = false;
  std::map<std::string, Transaction> transactions;
  std::map<std::uint64_t, std::string> pending_begins;  ///< Entry proxies, by begin number.
  std::uint64_t next_begin = 1;
  std::size_t rollbacks = 0;  ///< Rollbacks of idle transactions in progress.
  std::map<std::string, Ended> ended;
  std::deque<std::pair<TimePoint, std::string>> ended_order;   ///< Ids by time of their end.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the table.
};

}  // namespace sycamoredrum
