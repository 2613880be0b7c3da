#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "relay_state.h"

namespace sycamoredrum {

/// A caller's session on the relay. It answers what needs no backend server itself and passes the
/// rest on, one statement at a time.
class RelayCallerSession : public CallerSession,
                           public std::enable_shared_from_this<RelayCallerSession> {
 public:
  RelayCallerSession(SessionRelay::Impl& relay, std::string route_name, CallerSessionHooks hooks);
  ~RelayCallerSession() override;

  void Handle(Statement statement) override;
  void CallerGone() override;
  bool Idle() const override;
  void AbortTransaction(const std::string& reason) override;
  bool Waiting() const override { return this->attempt && !this->attempt->sent; }
  void EndStatement(const std::string& reason) override;

  /// Chooses a server again; called when the reason for waiting may be gone.
  void Continue();
  void Tick(TimePoint now);
  bool InTransaction() const { return this->transaction == TransactionState::kOpen; }
  bool UsesPrimary(const std::string& database) const {
    return this->held && this->held->grant && this->route.database == database;
  }
  bool Busy() const { return this->attempt.has_value(); }

 private:
  /// Pauses before a statement is tried again at a server that could not take it: one that is not
  /// the primary yet, one that is busy, and one that cannot be reached or is at its cap.
  static constexpr Duration kPrimaryRetryDelay = std::chrono::milliseconds(50);
  static constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(30);
  static constexpr Duration kCapRetryDelay = std::chrono::milliseconds(100);
  /// Callers of a process that is cut off come back to another one, so they need not wait long.
  static constexpr Duration kCutOffRetryDelay = std::chrono::milliseconds(50);
  /// Callers are never told to come back sooner.
  static constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(1);

  /// The statement that is in progress.
  struct Attempt {
    Statement statement;
    TimePoint arrived;
    TimePoint deadline;  ///< The statement's own time limit.
    int tries = 0;
    int failures = 0;             ///< Servers that ran it and failed.
    std::string last_problem;     ///< Why the last try ended without an answer.
    std::set<std::string> tried;  ///< Servers that failed it.
    bool needs_primary = false;
    bool waiting = false;  ///< No step is under way; Continue may start one.
    bool sent = false;     ///< The statement itself was sent.
    TimePoint sent_at;
    std::string server;
    std::optional<PrimaryGrant> grant;  ///< Permission under which it was sent.
    std::uint64_t number = 0;
  };

  /// The backend connection that this session holds.
  struct Held {
    std::string server;
    Lease lease;
    std::optional<PrimaryGrant> grant;  ///< Set if the server is used as the primary.
    bool began = false;                 ///< The transaction was started on it.
  };

  void Start(Statement statement);
  void HandleBegin(const Statement& statement);
  void HandleCommit(Statement statement);
  void HandleRollback();
  void HandleSettings(const Statement& statement);
  void Forward(Statement statement);
  bool Writes(const Statement& statement) const;

  void Dispatch();
  void WaitForPrimary();
  void GiveUpIfCutOff();
  /// True if this read should wait until the primary has told its position, and false if it should
  /// go to the primary itself, which is always fresh.
  bool WaitsForPosition(const PrimaryGrant& grant);
  void Acquire(const std::string& server_id, std::optional<PrimaryGrant> grant);
  void OnLease(const std::string& server_id, const std::optional<PrimaryGrant>& grant,
               const LeaseAnswer& answer);
  bool Permitted() const;
  void Prepare();
  void Begin();
  void Send();
  void OnResult(const std::optional<StatementResult>& result);
  void OnConnectionLost();
  void OnRefusedByServer(const StatementResult& refusal);
  void OnAnswer(const StatementResult& result);
  /// How long the present statement may wait before it is sent.
  Duration MaxWait() const;
  bool RepeatFailedRead(const StatementResult& answer);

  void RetryLater(Duration delay, const std::string& reason);
  void Refuse(const std::string& reason, Duration retry_after);
  void Fail(StatementErrorCode code, const std::string& message);
  void Reply(StatementResult result);
  void ReplyDone();
  void ReplyError(StatementErrorCode code, const std::string& message);
  void Next();
  void FailTransaction();
  void Release(ConnectionState state);
  void RollBackAndRelease();
  void LogBehind(const RelayServer& server, const StatementResult& refusal) const;
  void LogOutcome(const StatementResult& result) const;

  BackendSession* Connection();
  std::optional<LogPosition> RequiredPosition() const;
  TimePoint Now() const { return this->relay.clock.Now(); }
  /// Runs `action` later unless the attempt has ended by then.
  void Later(Duration delay, std::function<void()> action);

  SessionRelay::Impl& relay;
  const std::weak_ptr<bool> relay_alive;
  const std::string route_name;
  CallerSessionHooks hooks;
  RelayRoute route;  ///< As of the start of the present statement or transaction.
  SessionProfile profile;
  TransactionState transaction = TransactionState::kNone;
  bool read_only = false;    ///< Of the present transaction.
  bool wrote = false;        ///< The present transaction has written.
  std::string abort_reason;  ///< Why the transaction failed while no statement ran.
  TimePoint last_activity;
  std::optional<Held> held;
  std::optional<Attempt> attempt;
  std::deque<Statement> queue;
  std::uint64_t next_attempt = 1;
  std::uint64_t own_generation = 0;         ///< Generation of `own_position`.
  std::optional<LogPosition> own_position;  ///< Last commit of this session.
  bool gone = false;
  bool starting = false;
};

}  // namespace sycamoredrum
