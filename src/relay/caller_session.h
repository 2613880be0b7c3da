#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "relay_state.h"
#include "session_organisation.h"

namespace sycamoredrum {

/// Implementation of CallerSession. It answers statements that need no backend server itself (such
/// as BEGIN, SET and PREPARE) and forwards the others, one at a time.
class RelayCallerSession : public CallerSession,
                           public std::enable_shared_from_this<RelayCallerSession> {
 public:
  RelayCallerSession(SessionRelay::Impl& relay, const SessionRequest& request,
                     SessionIdentity identity, CallerSessionHooks hooks);
  ~RelayCallerSession() override;

  void Handle(Statement statement) override;
  void OnCallerDisconnected() override;
  bool Idle() const override;
  void AbortTransaction(const std::string& reason) override;
  bool Waiting() const override { return this->active && !this->active->sent; }
  void EndStatement(const std::string& reason) override;

  /// Dispatches the active statement again if it waits for a primary or for a log position.
  void ResumeDispatch();
  /// Ends a transaction that was idle for too long, and retries a read at an unresponsive server.
  void Tick(TimePoint now);
  bool InTransaction() const { return this->transaction == TransactionState::kOpen; }
  /// True if the session holds a connection to the primary of `database` under a grant.
  bool UsesPrimary(const std::string& database) const {
    return this->held && this->held->grant && this->route.database == database;
  }
  /// True if a statement is in progress.
  bool Busy() const { return this->active.has_value(); }
  /// Looks the key up in the present configuration and ends or restarts what may not continue under
  /// the new identity. If the statement in progress was sent, this happens after its result.
  /// Returns true if the statement in progress was answered or started again.
  bool UpdateIdentity();
  /// Runs a statement for another relay, on which the caller's session is. Replies once.
  void RunForwarded(const ForwardedStatement& message);

 private:
  /// Delay before a retry at a server that is not the primary yet or lacks the required position.
  static constexpr Duration kPrimaryRetryDelay = std::chrono::milliseconds(50);
  /// Delay before a retry at a busy server, or if no server is usable.
  static constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(30);
  /// Delay before a retry at a server that is unreachable or at its connection cap.
  static constexpr Duration kCapRetryDelay = std::chrono::milliseconds(100);
  /// Retry delay given to callers of a process that is cut off. It is short because they retry at
  /// another process.
  static constexpr Duration kCutOffRetryDelay = std::chrono::milliseconds(50);
  /// Shortest retry delay that is given to a caller.
  static constexpr Duration kMinCallerRetryAfter = std::chrono::milliseconds(1);

  /// The statement in progress. It may take several attempts.
  struct ActiveStatement {
    Statement statement;
    TimePoint arrived;
    TimePoint deadline;           ///< When the statement's time limit ends.
    int tries = 0;                ///< Attempts so far, at most kMaxAttempts.
    int failures = 0;             ///< Attempts at which a server ran it and it failed.
    std::string last_failure;     ///< Why the last attempt ended without an answer.
    std::set<std::string> tried;  ///< Servers that are excluded from the next choice.
    bool needs_primary = false;
    bool suspended = false;     ///< Waits for a primary or a log position; see ResumeDispatch.
    bool sent = false;          ///< The statement itself, not only its setup, was sent.
    bool rate_limited = false;  ///< Refused by SessionRelayHooks::admit.
    TimePoint sent_at;
    std::string server;  ///< Server that it was last sent to.
    /// Grant under which it was last sent. A read-only transaction may go on without one.
    std::optional<PrimaryGrant> grant;
    /// Log position that it, or the beginning of its transaction, last required of a server.
    std::optional<LogPosition> required;
    std::uint64_t number = 0;             ///< Unique in the session.
    std::uint64_t attempt = 0;            ///< Counts the times that it was sent.
    std::string holder;                   ///< Holder that it was last sent to, if it was forwarded.
    std::set<std::string> tried_holders;  ///< Holders that did not run it.
    bool own_connection = false;          ///< Is not forwarded any more.
    /// Set if a holder had no room for it.
    std::optional<Duration> no_room_retry_after;
  };

  /// Session at a holder, for one forwarded statement or transaction.
  struct RemoteSession {
    ConnectionHolder holder;
    std::string server;  ///< Backend server that was chosen.
    std::uint64_t session = 0;
    std::uint64_t next_number = 1;
  };

  /// What another relay sent with the statement that this session runs for it.
  struct ForwardedOrigin {
    std::string server;
    Duration time_left{};
  };

  /// The backend connection that this session has leased.
  struct HeldConnection {
    std::string server;
    Lease lease;
    std::optional<PrimaryGrant> grant;  ///< Set if the server is used as the primary.
    bool began = false;                 ///< The transaction was begun on it.
  };

  /// Handles a statement while none is in progress.
  void StartStatement(Statement statement);
  void HandleBegin(const Statement& statement);
  /// Opens the transaction and answers its begin, `kind`.
  void OpenTransaction(StatementKind kind);
  void HandleCommit(Statement statement);
  void HandleRollback();
  /// Sets a variable, or defines or removes a prepared statement, in the profile.
  void HandleProfileChange(const Statement& statement);
  /// Makes `statement` the active statement and, once it is admitted, dispatches it.
  void Forward(Statement statement);
  /// Makes `statement` the active statement. Returns false if it was refused because the process
  /// stops.
  bool Activate(Statement statement);
  /// Ends the active statement at its deadline.
  void ArmStatementTimeout();

  /// Answers the statement if it may not run after a change of the session's identity.
  bool RefuseForIdentity(const Statement& statement);
  /// Ends the active statement, which was not sent, or starts it again under the new identity.
  void RestartForIdentity();
  /// Makes up for an UpdateIdentity that had to wait for a result.
  void UpdateIdentityAfterReply();
  /// Closes the caller's connection later if the session's key is still not known then.
  void ScheduleClose();
  /// Closes the caller's connection if nothing is in progress or queued and the key is not known.
  void CloseIfUnauthenticated();
  /// True if the session's operations need the permission of SessionRelayHooks::admit.
  bool NeedsAdmission() const;
  /// Starts the operation that begins with the active statement once it is admitted.
  void Admit();
  void OnAdmission(const AdmissionVerdict& verdict);
  void StartAdmitted();
  /// True unless the leased connection belongs to another organisation than the session, which
  /// would be a fault of this program.
  bool HoldsOwnConnection() const;
  /// True for a write, and for the execution of a prepared statement that writes.
  bool Writes(const Statement& statement) const;

  /// Starts an attempt: chooses a server for the active statement and leases a connection to it.
  void Dispatch();
  /// Suspends the active statement until ResumeDispatch or its deadline, because no primary or no
  /// recent enough log position is known.
  void SuspendStatement();
  /// Refuses the active statement if it is still suspended, the process is cut off and no grant is
  /// held.
  void RefuseIfCutOff();
  /// Queries the primary's log position and returns true if this read should wait for it. Returns
  /// false once kMaxPositionWait has passed: the read then goes to the primary, which is always
  /// fresh.
  bool ShouldWaitForPosition(const PrimaryGrant& grant);
  void Acquire(const std::string& server_id, std::optional<PrimaryGrant> grant);
  void OnLease(const std::string& server_id, const std::optional<PrimaryGrant>& grant,
               const LeaseAnswer& answer);
  /// True if the leased connection may be used: it belongs to the session's organisation, and it is
  /// not used as the primary's, its grant is still valid, or a read-only transaction has begun on
  /// it.
  bool MayUseServer() const;
  /// True if the leased connection is used under a grant that is still valid: the server is the
  /// primary.
  bool UsesGrant() const;
  /// True if the active statement writes or belongs to a transaction that may.
  bool MayWrite() const;
  /// Sets the state of this session on the leased connection, then begins the transaction or sends
  /// the active statement.
  void Prepare();
  void BeginTransaction();
  void Send();
  void OnResult(const std::optional<StatementResult>& result);
  void OnConnectionLost();
  void OnRefusedByServer(const StatementResult& refusal);
  void OnAnswer(const StatementResult& result);
  /// Organisation whose connections the statements use.
  /// True if statements for the session's database are sent to holders.
  bool MayForward() const;
  /// Bytes of the active statement and of the session's state that goes with it to a holder.
  std::size_t ForwardedBytes() const;
  /// True if the holder, and not this relay, requires a log position for the active statement.
  bool HolderChecksPosition() const;
  /// Sends the active statement to the holder of the connections to `server`, or refuses it if the
  /// holders are overloaded. Returns false if this relay's own connections are to be used.
  bool ForwardToHolder(const RelayServer& server);
  void SendToHolder();
  void OnHolderAnswer(const ForwardAnswer& answer);
  void OnHolderResult(const StatementResult& answer);
  void OnNotRunByHolder(const ForwardAnswer& answer);
  void OnHolderLost(const std::string& reason);
  /// Rolls the transaction at the holder back and answers the active statement with kAborted.
  void AbortAtHolder(const std::string& reason);
  /// Ends the session at the holder, if there is one.
  void EndRemoteSession();
  /// Excludes the holder of the active statement from new statements if it does not respond, and
  /// repeats a read on this relay's own connections.
  void CheckHolder(TimePoint now);
  /// Part of the time limit that was used up before another relay forwarded the statement.
  Duration TimeSpentBySender(Duration limit) const;
  /// Server that the relay that forwarded this read has chosen, if it is usable.
  std::optional<std::string> ServerOfSender() const;
  /// How long the active statement may wait for a connection.
  Duration MaxWait() const;
  /// Retries a failed read at another server. Returns false if `answer` is final.
  bool RetryFailedRead(const StatementResult& answer);

  /// Starts the next attempt after `delay`, or refuses the statement if its deadline is earlier.
  void RetryLater(Duration delay, const std::string& reason);
  /// Answers the active statement with kBusy: it did not run and will not.
  void Refuse(const std::string& reason, Duration retry_after);
  /// Answers the active statement with an error.
  void Fail(StatementErrorCode code, const std::string& message);
  /// Answers the statement in progress and starts the next queued one.
  void Reply(StatementResult result);
  void ReplySuccess();
  /// Answers a statement that was not forwarded with an error.
  void ReplyError(StatementErrorCode code, const std::string& message);
  void StartNextStatement();
  void FailTransaction();
  /// Returns the leased connection, if any, to its pool.
  void Release(ConnectionState state);
  /// As Release, but rolls the transaction back first. A connection that has statements without
  /// a result is closed instead.
  void RollBackAndRelease();
  void LogBehind(const RelayServer& server, const StatementResult& refusal) const;
  void LogOutcome(const StatementResult& result) const;

  /// The leased connection, or null if none is leased or it is broken.
  BackendSession* Connection();
  /// Log position that the server of the active statement must contain, or nothing if none is known
  /// that is recent enough.
  std::optional<LogPosition> RequiredPosition() const;
  TimePoint Now() const { return this->relay.clock.Now(); }
  /// Runs `action` after `delay` unless the active statement has ended by then.
  void RunLater(Duration delay, std::function<void()> action);

  SessionRelay::Impl& relay;
  const std::weak_ptr<bool> relay_alive;
  const std::string route_name;
  const std::string key;     ///< A secret; see SessionRequest.
  SessionIdentity identity;  ///< Of the statement or transaction in progress.
  /// The configuration has changed since `identity` was determined.
  bool identity_outdated = false;
  bool abort_unreported = false;  ///< The next statement is answered that the transaction ended.
  bool closing = false;           ///< This session has closed the caller's connection.
  CallerSessionHooks hooks;
  RelayRoute route;  ///< As of the start of the current statement or transaction.
  SessionProfile profile;
  TransactionState transaction = TransactionState::kNone;
  bool read_only = false;    ///< Of the current transaction.
  bool wrote = false;        ///< The current transaction has written.
  std::string abort_reason;  ///< Why the transaction failed while no statement ran.
  TimePoint last_activity;
  std::optional<HeldConnection> held;
  std::optional<RemoteSession> remote;    ///< Excludes `held`.
  std::optional<ForwardedOrigin> origin;  ///< Set if the caller's session is on another relay.
  std::optional<ActiveStatement> active;
  std::deque<Statement> queue;  ///< Statements that arrived while another was in progress.
  std::uint64_t next_statement_number = 1;
  std::optional<LogPosition> last_commit_position;  ///< Log position of this session's last commit.
  bool caller_disconnected = false;
  bool starting = false;  ///< True while StartStatement runs.
};

}  // namespace sycamoredrum
