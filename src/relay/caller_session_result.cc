#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "caller_session.h"

namespace sycamoredrum {

void RelayCallerSession::OnResult(const std::optional<StatementResult>& result) {
  if (!result) {
    this->OnConnectionLost();
  } else if (result->error && GuaranteesNotRun(result->error->code)) {
    this->OnRefusedByServer(*result);
  } else {
    this->OnAnswer(*result);
  }
}

void RelayCallerSession::OnConnectionLost() {
  const bool sent = this->active->sent;
  const bool began = this->held && this->held->began;
  if (this->held && this->held->grant) {
    this->relay.hooks.primary_suspected(this->route.database);
  }
  this->active->tried.insert(this->held->server);
  this->Release(ConnectionState::kBroken);
  if (this->active->statement.kind == StatementKind::kCommit && sent) {
    this->transaction = TransactionState::kNone;
    // A transaction without writes has no effect, whether its commit ran or not.
    this->Fail(this->wrote ? StatementErrorCode::kUnknownOutcome : StatementErrorCode::kAborted,
               "the server's answer to the commit was lost");
    return;
  }
  if (began) {
    this->FailTransaction();
    this->Fail(StatementErrorCode::kAborted, "the connection to the server was lost");
    return;
  }
  if (sent && this->Writes(this->active->statement)) {
    this->Fail(StatementErrorCode::kUnknownOutcome, "the server's answer to the write was lost");
    return;
  }
  this->active->sent = false;
  this->RetryLater(Duration::zero(), "the connection was lost");
}

// The error code guarantees that the statement, or the start of its transaction, did not run.
void RelayCallerSession::OnRefusedByServer(const StatementResult& refusal) {
  const StatementError& error = *refusal.error;
  RelayServer* server = this->relay.FindServer(this->held->server);
  const bool as_primary = this->held->grant.has_value();
  const bool began = this->held->began;
  if (as_primary && this->active->sent && error.code == StatementErrorCode::kBusy &&
      refusal.position &&
      this->relay.grants.StillValid(this->route.database, this->held->grant->generation)) {
    // An overloaded primary refuses immediately, so the position in a refusal is recent, while its
    // late results prove only positions as of the time at which their statements were sent.
    this->relay.Observe(this->route.database, this->held->grant->generation,
                        PositionObservation{*refusal.position, this->active->sent_at});
  }
  this->active->sent = false;
  Duration delay = Duration::zero();
  switch (error.code) {
    case StatementErrorCode::kBehind:
      if (server != nullptr) {
        this->LogBehind(*server, refusal);
        server->behind_until = this->Now() + SessionRelay::kBehindBackOff;
      }
      delay = as_primary ? kPrimaryRetryDelay : Duration::zero();
      break;
    case StatementErrorCode::kReadOnly:
      this->relay.hooks.primary_suspected(this->route.database);
      delay = kPrimaryRetryDelay;
      break;
    case StatementErrorCode::kUnknownStatement:
      if (BackendSession* connection = this->Connection()) {
        connection->InvalidatePrepared(this->profile, this->active->statement);
      }
      break;
    case StatementErrorCode::kBusy:
      if (server != nullptr) {
        server->busy_until = this->Now() + SessionRelay::kBusyBackOff;
      }
      if (!began && !this->active->needs_primary &&
          this->Now() < this->active->arrived + this->MaxWait()) {
        // The back-off of busy servers limits the rate of these attempts, so they are not counted.
        --this->active->tries;
      }
      delay = as_primary ? kBusyRetryDelay : Duration::zero();
      break;
    default:
      delay = as_primary ? kBusyRetryDelay : Duration::zero();
      break;
  }
  const bool retry_in_transaction = began && (error.code == StatementErrorCode::kBusy ||
                                              error.code == StatementErrorCode::kUnknownStatement);
  if (began && !retry_in_transaction) {
    this->RollBackAndRelease();
    const bool committing = this->active->statement.kind == StatementKind::kCommit;
    this->transaction = committing ? TransactionState::kNone : TransactionState::kFailed;
    this->abort_reason = error.message;
    this->Fail(StatementErrorCode::kAborted,
               absl::StrCat("the server refused: ", std::string(ToString(error.code))));
    return;
  }
  if (!began) {
    this->active->tried.insert(this->held->server);
    this->Release(ConnectionState::kClean);
  } else if (++this->active->tries > SessionRelay::kMaxAttempts) {
    this->RollBackAndRelease();
    this->FailTransaction();
    this->Fail(StatementErrorCode::kAborted, "the server stays busy");
    return;
  } else {
    delay = kBusyRetryDelay;
  }
  this->RetryLater(delay,
                   absl::StrCat(std::string(ToString(error.code)), " from ", this->active->server));
}

// Logs only the first refusal within a back-off, because a lagging replica refuses every read.
void RelayCallerSession::LogBehind(const RelayServer& server,
                                   const StatementResult& refusal) const {
  if (this->Now() - server.behind_until < SessionRelay::kBehindBackOff) {
    return;
  }
  const std::optional<LogPosition> required = this->RequiredPosition();
  this->relay.logger.Info(
      "server_behind", {{"id", this->active->statement.id},
                        {"server", server.record.id},
                        {"database", this->route.database},
                        {"required", required ? required->ToString() : "none"},
                        {"position", refusal.position ? refusal.position->ToString() : "unknown"}});
}

// A read has no effect, so it can be retried at another server.
bool RelayCallerSession::RetryFailedRead(const StatementResult& answer) {
  const bool failed = answer.error && answer.error->code == StatementErrorCode::kFailed;
  if (RelayServer* server = this->relay.FindServer(this->held->server)) {
    SessionRelay::Impl::UpdateFailureRate(*server, failed);
  }
  const bool is_read = !this->Writes(this->active->statement) &&
                       this->active->statement.kind != StatementKind::kCommit;
  // After a change of the key, the statement must not run again, so this is its result.
  if (!failed || !is_read || this->identity_outdated ||
      this->transaction != TransactionState::kNone ||
      ++this->active->failures > SessionRelay::kMaxFailedReadRetries) {
    return false;
  }
  this->active->tried.insert(this->held->server);
  this->active->sent = false;
  this->Release(answer.state == TransactionState::kNone ? ConnectionState::kClean
                                                        : ConnectionState::kBroken);
  this->RetryLater(Duration::zero(),
                   absl::StrCat(answer.error->message, " at ", this->active->server));
  return true;
}

void RelayCallerSession::OnAnswer(const StatementResult& answer) {
  if (this->RetryFailedRead(answer)) {
    return;
  }
  StatementResult result = answer;
  const bool committing = this->active->statement.kind == StatementKind::kCommit;
  const bool in_transaction = this->transaction == TransactionState::kOpen;
  const bool durable =
      committing ? this->wrote : !in_transaction && this->Writes(this->active->statement);
  const std::optional<PrimaryGrant>& grant = this->active->grant;
  if (!result.error && durable &&
      !(grant && this->relay.grants.StillValid(this->route.database, grant->generation))) {
    // Another server may be the primary by now, and its log may lack this commit.
    result.error = StatementError{StatementErrorCode::kUnknownOutcome,
                                  "the permission for the primary ended before its answer"};
    result.rows.clear();
  }
  if (!result.error && grant && result.position) {
    this->relay.Observe(this->route.database, grant->generation,
                        PositionObservation{*result.position, this->active->sent_at});
    if (durable) {
      this->last_commit_position = result.position;
      this->relay.databases[this->route.database].window.Confirm(grant->generation,
                                                                 *result.position);
    }
  }
  if (!in_transaction) {
    this->Release(answer.state == TransactionState::kNone ? ConnectionState::kClean
                                                          : ConnectionState::kBroken);
  } else if (committing) {
    this->transaction = TransactionState::kNone;
    this->Release(answer.state == TransactionState::kNone ? ConnectionState::kClean
                                                          : ConnectionState::kBroken);
  } else if (result.error || answer.state != TransactionState::kOpen) {
    this->RollBackAndRelease();
    this->FailTransaction();
    this->abort_reason = result.error ? result.error->message : "the server ended it";
  }
  this->Reply(std::move(result));
}

void RelayCallerSession::EndStatement(const std::string& reason) {
  if (!this->active) {
    return;
  }
  const bool sent = this->active->sent;
  const bool committing = this->active->statement.kind == StatementKind::kCommit;
  const bool durable = committing ? this->wrote : this->Writes(this->active->statement);
  const bool in_transaction = this->transaction == TransactionState::kOpen;
  this->EndRemoteSession();
  if (this->held) {
    RelayServer* server = this->relay.FindServer(this->held->server);
    if (sent && server != nullptr &&
        this->relay.Unresponsive(*server, SessionRelay::kUnresponsiveTimeout)) {
      this->relay.MarkFailing(*server);
    }
    // A statement may still be running on the connection, so it cannot be reused.
    this->Release(ConnectionState::kBroken);
  }
  if (in_transaction) {
    this->transaction = committing && sent ? TransactionState::kNone : TransactionState::kFailed;
    this->abort_reason = reason;
  }
  if (sent && durable && (committing || !in_transaction)) {
    this->Fail(StatementErrorCode::kUnknownOutcome, reason);
  } else if (in_transaction) {
    this->Fail(StatementErrorCode::kAborted, reason);
  } else if (sent) {
    this->Fail(StatementErrorCode::kTimeout, reason);
  } else {
    this->Refuse(reason, kPrimaryRetryDelay);
  }
}

void RelayCallerSession::RetryLater(Duration delay, const std::string& reason) {
  const TimePoint now = this->Now();
  if (now + delay >= this->active->deadline) {
    this->Refuse(reason, kPrimaryRetryDelay);
    return;
  }
  this->active->suspended = false;
  this->active->last_failure = reason;
  if (delay <= Duration::zero() && !this->held) {
    this->Dispatch();
    return;
  }
  this->RunLater(delay, [this] { this->Dispatch(); });
}

void RelayCallerSession::Refuse(const std::string& reason, Duration retry_after) {
  if (this->held) {
    this->RollBackAndRelease();
  }
  if (this->transaction == TransactionState::kOpen) {
    this->FailTransaction();
    this->abort_reason = reason;
  }
  this->Fail(
      StatementErrorCode::kBusy,
      absl::StrCat("retry after ", LogMilliseconds(std::max(retry_after, kMinCallerRetryAfter)),
                   " ms: ", reason));
}

}  // namespace sycamoredrum
