#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration.h"
#include "sycamoredrum/database_view.h"
#include "sycamoredrum/read_router.h"
#include "sycamoredrum/request.h"
#include "sycamoredrum/session_token.h"

namespace sycamoredrum {

/// A request as an entry proxy received it, after authentication.
struct CallerRequest {
  std::string caller_group;
  std::string database;
  std::vector<std::string> statements;
  bool read_only = false;
  bool idempotent = false;              ///< Running it twice has the same effect as once.
  std::string request_id;               ///< Caller's Idempotency-Key, or empty.
  std::optional<SessionToken> session;  ///< Merged tokens of the caller; empty: it sent none.
  bool unconfirmed = false;             ///< The caller got no answer to an earlier write.
  TimePoint arrival;
  TimePoint deadline;
  TransactionStep step = TransactionStep::kSingle;
  std::string transaction;     ///< Id of the interactive transaction, after kBegin.
  std::string backend_server;  ///< Backend server of the interactive transaction, after kBegin.
  std::string trace_parent;
};

/// Answer to a CallerRequest.
struct RequestAnswer {
  ExecuteAnswer answer;
  SessionToken session;    ///< Replaces the tokens that came with the request.
  std::string request_id;  ///< Id under which a write ran, or empty.
  int attempts = 0;        ///< Commands sent to holders.
  PrimaryReason primary_reason = PrimaryReason::kNone;  ///< Reads: why the primary was tried first.
};

using RequestCallback = std::function<void(const RequestAnswer&)>;

/// Views are immutable and shared; nullptr means that there is no view.
using DatabaseViewPtr = std::shared_ptr<const DatabaseView>;
/// Receives a view that holds the requested proof, or nullptr if there is none.
using ProveCallback = std::function<void(const DatabaseViewPtr&)>;

/// Functions through which the executor reads views and configuration and sends commands. A hook
/// may call its callback before it returns, late, twice or never.
struct RequestExecutorHooks {
  /// Latest view of a database.
  std::function<DatabaseViewPtr(const std::string& database)> view;

  /// Requests from a watcher a view whose freshness proof is not older than `not_before`.
  std::function<void(const std::string& database, TimePoint not_before, TimePoint deadline,
                     ProveCallback callback)>
      prove;

  /// Sends a command to the holder of `command.backend_server`. After `deadline` the executor no
  /// longer waits for the answer.
  std::function<void(const ExecuteCommand& command, TimePoint deadline, ExecuteCallback callback)>
      send;

  /// Configuration of a database; nullptr if there is none.
  std::function<std::shared_ptr<const DatabaseConfig>(const std::string& database)> database;

  /// Maximum age of data that the group's reads accept; empty if there is no such group.
  std::function<std::optional<Duration>(const std::string& caller_group)> max_read_age;

  /// Returns a unique request id.
  std::function<std::string()> new_request_id;

  /// Takes one retry from the group's budget. Returns false if none is left.
  std::function<bool(const std::string& caller_group)> take_retry;
};

/// Runs at the entry proxy and decides to which backend server a request is sent, when it is
/// retried, and which outcome is reported (docs/design.md, sections 5.2 to 5.4). Not thread-safe.
///
/// Outcomes. The reported outcome claims only what is certain for all attempts of this transmission
/// of the request:
/// - An attempt that was sent and got no answer in time counts as `unknown`.
/// - Once an attempt of a write was unknown, `not_run` is never reported: a refusal of a later
///   attempt says nothing about the earlier one, which may have run or may still arrive.
/// - After an unknown attempt, `failed` is reported only if the write has a request id and the
///   failed attempt was sent in a higher term than every unknown attempt. The primary of the higher
///   term searched its request records before it ran the statements, so no earlier attempt has
///   taken effect, and servers that promised this term refuse earlier attempts that arrive late.
///   In the same term a late attempt could still commit, so the outcome stays `unknown`.
/// - A `result` is final in any term: it comes from the only run, or from the request record of
///   that run.
/// A caller that repeats a request id after an unknown outcome must combine the outcomes: `not_run`
/// for the repetition does not override the earlier `unknown`.
///
/// Retries. Reads and single writes are retried within the deadline and the retry budget; a write
/// only if it has a request id or is idempotent. A retry after a `behind` answer of a replica is
/// not charged to the budget. While the budget is empty, the request waits without sending. Each
/// step of an interactive transaction is sent once; a begin is sent to the primary. A begin without
/// an answer is `not_run`, because a transaction whose id nobody received cannot be committed; the
/// other steps without an answer are `unknown`.
///
/// Sessions. The position of a write is stored in the session token. A write of unknown outcome
/// sets the token's `uncertain` flag for the database. The flag is cleared by a read with a proof
/// from after the read's arrival, which also stores the position read, and by a write at a larger
/// position unless the answer is a duplicate: a recorded position may be older than other writes of
/// the session. A read is refused with kSessionPositionLost if the primary's history, in the term
/// of the session's position or a later one, excludes that position. The token in that answer has
/// the `uncertain` flag in place of the position, so that a caller that stores tokens in cookies is
/// refused once and not for ever.
class RequestExecutor {
 public:
  RequestExecutor(std::string local_data_centre, RequestExecutorHooks hooks, const Clock& clock,
                  Scheduler& scheduler, RandomSource random);
  ~RequestExecutor();

  /// Runs a request. `callback` is called once, at the deadline at the latest, possibly before
  /// Execute returns. It is not called if the executor is destroyed first.
  void Execute(CallerRequest request, RequestCallback callback);

  /// Number of requests in progress.
  std::size_t InProgress() const { return this->calls.size(); }

 private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;
  using Step = void (RequestExecutor::*)(const CallPtr&);
  using AnswerStep = void (RequestExecutor::*)(const CallPtr&, const ExecuteAnswer&);

  void Start(const CallPtr& call);
  void FinishAtDeadline(const CallPtr& call);
  void Refuse(const CallPtr& call, Reason reason, const std::string& message);
  void Finish(const CallPtr& call, ExecuteAnswer answer);
  void FinishWithoutResult(const CallPtr& call);
  Duration Remaining(const Call& call) const;

  static CallPtr CompleteWait(const std::weak_ptr<Call>& call, std::uint64_t wait_id);
  void Backoff(const CallPtr& call, Step next);
  void RefreshView(const CallPtr& call, TimePoint not_before, Step next);
  bool ReserveAttempt(const Call& call);
  ExecuteCommand MakeCommand(const Call& call, const std::string& backend_server) const;
  void Send(const CallPtr& call, ExecuteCommand command, Duration limit, AnswerStep next);

  void StartRead(const CallPtr& call);
  void TryRead(const CallPtr& call);
  void RefreshForRead(const CallPtr& call);
  void TryNextServer(const CallPtr& call);
  void OnReadAnswer(const CallPtr& call, const ExecuteAnswer& answer);
  void OnReadRefusal(const CallPtr& call, const ExecuteAnswer& answer);
  void FinishRead(const CallPtr& call, const ExecuteAnswer& answer);
  bool UpdateRequiredPosition(const CallPtr& call);

  void TryWrite(const CallPtr& call);
  void RefreshForWrite(const CallPtr& call);
  void OnWriteAnswer(const CallPtr& call, const ExecuteAnswer& answer);
  void OnWriteRefusal(const CallPtr& call, const ExecuteAnswer& answer);
  void OnWriteFailure(const CallPtr& call, const ExecuteAnswer& answer);
  void FinishWrite(const CallPtr& call, const ExecuteAnswer& answer);

  void TryBegin(const CallPtr& call);
  void SendInTransaction(const CallPtr& call);
  void OnTransactionAnswer(const CallPtr& call, const ExecuteAnswer& answer);

  std::string local_data_centre;
  RequestExecutorHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;
  ReadRouter router;
  FailureMemory failures;
  std::map<std::string, ProofHistory> proofs;  ///< By database.
  std::set<CallPtr> calls;
};

}  // namespace sycamoredrum
