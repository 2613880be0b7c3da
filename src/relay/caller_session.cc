#include "caller_session.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "sycamoredrum/organisation_directory.h"

namespace sycamoredrum {
namespace {

// Statement time limit of a route that configures none.
constexpr Duration kDefaultStatementTimeout = std::chrono::seconds(5);

}  // namespace

// A longer key can never become known, so it is not kept.
RelayCallerSession::RelayCallerSession(SessionRelay::Impl& relay, const SessionRequest& request,
                                       SessionIdentity identity, CallerSessionHooks hooks)
    : relay(relay),
      relay_alive(relay.alive),
      route_name(request.route),
      key(request.key.size() <= OrganisationDirectory::kMaxKeyBytes ? request.key : ""),
      identity(std::move(identity)),
      hooks(std::move(hooks)),
      last_activity(relay.clock.Now()) {
  this->relay.sessions.insert(this);
}

// A scheduled callback may keep a session alive longer than the relay.
RelayCallerSession::~RelayCallerSession() {
  if (!this->relay_alive.expired()) {
    this->relay.sessions.erase(this);
  }
}

void RelayCallerSession::Handle(Statement statement) {
  if (this->caller_disconnected || this->closing) {
    return;
  }
  if (this->active || this->starting || !this->queue.empty()) {
    if (this->queue.size() >= SessionRelay::kMaxPipelinedStatements) {
      this->hooks.close();
      return;
    }
    this->queue.push_back(std::move(statement));
    return;
  }
  this->StartStatement(std::move(statement));
}

// StartStatement may reply before it returns, and a reply calls this method. The loop, instead of
// recursion, keeps the stack depth independent of the number of queued statements.
void RelayCallerSession::StartNextStatement() {
  if (this->starting) {
    return;
  }
  const std::shared_ptr<RelayCallerSession> self = this->shared_from_this();
  while (!this->active && !this->queue.empty() && !this->caller_disconnected) {
    Statement statement = std::move(this->queue.front());
    this->queue.pop_front();
    this->StartStatement(std::move(statement));
  }
}

void RelayCallerSession::StartStatement(Statement statement) {
  this->starting = true;
  this->last_activity = this->Now();
  if (this->RefuseForIdentity(statement)) {
    this->starting = false;
    this->StartNextStatement();
    return;
  }
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      this->HandleBegin(statement);
      break;
    case StatementKind::kCommit:
      this->HandleCommit(std::move(statement));
      break;
    case StatementKind::kRollback:
      this->HandleRollback();
      break;
    case StatementKind::kSet:
    case StatementKind::kPrepare:
    case StatementKind::kClosePrepared:
      this->HandleProfileChange(statement);
      break;
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      this->Forward(std::move(statement));
      break;
    case StatementKind::kReset:
    case StatementKind::kPosition:
    case StatementKind::kInvalid:
      this->ReplyError(StatementErrorCode::kMalformed, "the statement cannot be read");
      break;
  }
  this->starting = false;
  this->StartNextStatement();
}

void RelayCallerSession::HandleBegin(const Statement& statement) {
  if (this->transaction != TransactionState::kNone) {
    this->ReplyError(StatementErrorCode::kMalformed, "a transaction is already open");
    return;
  }
  const auto found = this->relay.configuration->routes.find(this->route_name);
  if (found == this->relay.configuration->routes.end()) {
    this->ReplyError(StatementErrorCode::kUnknownDatabase, "the route was removed");
    return;
  }
  // The transaction is begun on a backend server only with its first statement, so that it occupies
  // no connection until the caller has sent that statement.
  this->route = found->second;
  if (!this->NeedsAdmission()) {
    this->OpenTransaction(statement.kind);
  } else if (this->Activate(statement)) {
    this->Admit();
  }
}

void RelayCallerSession::OpenTransaction(StatementKind kind) {
  this->transaction = TransactionState::kOpen;
  this->read_only = kind == StatementKind::kBeginReadOnly;
  this->wrote = false;
  this->ReplySuccess();
}

void RelayCallerSession::HandleCommit(Statement statement) {
  switch (this->transaction) {
    case TransactionState::kNone:
      this->ReplyError(StatementErrorCode::kMalformed, "no transaction is open");
      return;
    case TransactionState::kFailed:
      this->transaction = TransactionState::kNone;
      this->ReplyError(StatementErrorCode::kAborted,
                       absl::StrCat("the transaction was rolled back: ", this->abort_reason));
      return;
    case TransactionState::kOpen:
      this->Forward(std::move(statement));
      return;
  }
}

void RelayCallerSession::HandleRollback() {
  this->RollBackAndRelease();
  this->transaction = TransactionState::kNone;
  this->ReplySuccess();
}

void RelayCallerSession::HandleProfileChange(const Statement& statement) {
  if (this->transaction == TransactionState::kFailed) {
    this->ReplyError(StatementErrorCode::kMalformed, "the transaction has failed");
    return;
  }
  switch (statement.kind) {
    case StatementKind::kSet:
      this->profile.variables[statement.name] = statement.data;
      break;
    case StatementKind::kPrepare:
      this->profile.prepared[statement.name] =
          PreparedStatement{statement.prepared_text, statement.writes};
      break;
    default:
      this->profile.prepared.erase(statement.name);
      break;
  }
  this->ReplySuccess();
}

bool RelayCallerSession::Writes(const Statement& statement) const {
  if (statement.kind == StatementKind::kExecute) {
    const auto found = this->profile.prepared.find(statement.name);
    return found != this->profile.prepared.end() && found->second.writes;
  }
  return statement.kind == StatementKind::kWrite;
}

void RelayCallerSession::Forward(Statement statement) {
  if (this->transaction == TransactionState::kFailed) {
    this->ReplyError(StatementErrorCode::kMalformed, "the transaction has failed");
    return;
  }
  if (statement.kind == StatementKind::kExecute &&
      this->profile.prepared.count(statement.name) == 0) {
    this->ReplyError(StatementErrorCode::kUnknownStatement, "no prepared statement has this name");
    return;
  }
  if (this->transaction == TransactionState::kNone) {
    const auto found = this->relay.configuration->routes.find(this->route_name);
    if (found == this->relay.configuration->routes.end()) {
      this->ReplyError(StatementErrorCode::kUnknownDatabase, "the route was removed");
      return;
    }
    this->route = found->second;
  }
  if (!this->Activate(std::move(statement))) {
    return;
  }
  if (this->transaction == TransactionState::kNone) {
    this->Admit();
  } else {
    this->Dispatch();
  }
}

bool RelayCallerSession::Activate(Statement statement) {
  ActiveStatement next;
  next.statement = std::move(statement);
  next.arrived = this->Now();
  const Duration limit = this->route.statement_timeout > Duration::zero()
                             ? this->route.statement_timeout
                             : kDefaultStatementTimeout;
  next.arrived -= this->TimeSpentBySender(limit);
  next.deadline = next.arrived + limit;
  const bool read_write_transaction =
      this->transaction == TransactionState::kOpen && !this->read_only;
  next.needs_primary = this->route.consistency == ReadConsistency::kPrimary ||
                       read_write_transaction || this->Writes(next.statement);
  next.number = this->next_statement_number++;
  this->active = std::move(next);
  this->ArmStatementTimeout();
  if (this->relay.refusal_reason) {
    this->EndStatement(*this->relay.refusal_reason);
    return false;
  }
  return true;
}

void RelayCallerSession::ArmStatementTimeout() {
  this->RunLater(this->active->deadline - this->Now(), [this] {
    this->EndStatement(this->active->sent ? "no answer within the statement's time limit"
                                          : "no server could take the statement in time");
  });
}

void RelayCallerSession::RunLater(Duration delay, std::function<void()> action) {
  this->relay.scheduler.RunAfter(
      delay,
      [weak = this->weak_from_this(), number = this->active->number, action = std::move(action)] {
        const auto self = weak.lock();
        if (self && self->active && self->active->number == number) {
          action();
        }
      });
}

void RelayCallerSession::Fail(StatementErrorCode code, const std::string& message) {
  StatementResult result;
  result.error = StatementError{code, message};
  this->Reply(std::move(result));
}

void RelayCallerSession::ReplyError(StatementErrorCode code, const std::string& message) {
  this->Fail(code, message);
}

void RelayCallerSession::ReplySuccess() { this->Reply(StatementResult{}); }

void RelayCallerSession::Reply(StatementResult result) {
  result.state = this->transaction;
  const std::shared_ptr<RelayCallerSession> self = this->shared_from_this();
  if (this->active) {
    this->LogOutcome(result);
  }
  this->active.reset();
  this->last_activity = this->Now();
  if (this->caller_disconnected) {
    this->RollBackAndRelease();
    return;
  }
  this->hooks.reply(result);
  this->UpdateIdentityAfterReply();
  this->StartNextStatement();
}

void RelayCallerSession::LogOutcome(const StatementResult& result) const {
  const StatementKind kind = this->active->statement.kind;
  const bool begin = kind == StatementKind::kBegin || kind == StatementKind::kBeginReadOnly;
  // The relay with the caller's session counts and logs a forwarded statement.
  if (this->origin || (begin && !result.error)) {
    return;
  }
  const Duration elapsed = this->Now() - this->active->arrived;
  const std::string outcome =
      result.error ? std::string(ToString(result.error->code)) : std::string("result");
  this->relay.RecordStatement(this->route_name, outcome, elapsed);
  if (this->active->rate_limited) {
    // Not logged one by one: an organisation above its limit causes hundreds of refusals a second.
    return;
  }
  const bool slow = elapsed > this->route.latency_objective;
  // The metrics count all successes, so only one in this number is logged.
  constexpr std::uint64_t kSuccessSample = 64;
  if (!result.error && !slow && this->active->number % kSuccessSample != 0) {
    return;
  }
  std::vector<LogField> fields = {
      {"id", this->active->statement.id},
      {"route", this->route_name},
      {"database", this->route.database},
      {"configuration", absl::StrCat(this->relay.configuration->version)},
      {"outcome", outcome},
      {"elapsed_ms", LogMilliseconds(elapsed)},
      {"tries", absl::StrCat(this->active->tries)},
      {"sent", this->active->sent ? "true" : "false"},
      {"server", this->active->server},
      {"needs_primary", this->active->needs_primary ? "true" : "false"}};
  if (!this->active->holder.empty()) {
    fields.push_back({"holder", this->active->holder});
  }
  if (this->active->grant) {
    fields.push_back({"generation", absl::StrCat(this->active->grant->generation)});
    fields.push_back(
        {"grant_left_ms", LogMilliseconds(this->active->grant->valid_until - this->Now())});
  }
  if (this->transaction != TransactionState::kNone) {
    fields.push_back({"transaction", this->read_only ? "read_only" : "read_write"});
  }
  if (this->active->required) {
    fields.push_back({"required", this->active->required->ToString()});
  }
  if (result.position) {
    fields.push_back({"position", result.position->ToString()});
  }
  if (result.error) {
    fields.push_back({"reason", result.error->message});
    this->relay.logger.Warning("statement_failed", std::move(fields));
  } else {
    this->relay.logger.Info(slow ? "statement_slow" : "statement", std::move(fields));
  }
}

void RelayCallerSession::FailTransaction() { this->transaction = TransactionState::kFailed; }

void RelayCallerSession::Release(ConnectionState state) {
  if (!this->held) {
    return;
  }
  const HeldConnection released = *std::exchange(this->held, std::nullopt);
  if (RelayServer* server = this->relay.FindServer(released.server)) {
    SessionRelay::Impl::Release(*server, released.lease, state);
  }
}

void RelayCallerSession::RollBackAndRelease() {
  this->EndRemoteSession();
  if (!this->held) {
    return;
  }
  BackendSession* connection = this->Connection();
  if (connection == nullptr || connection->Outstanding() > 0) {
    this->Release(ConnectionState::kBroken);
    return;
  }
  if (!this->held->began) {
    this->Release(ConnectionState::kClean);
    return;
  }
  const HeldConnection released = *std::exchange(this->held, std::nullopt);
  Statement rollback;
  rollback.kind = StatementKind::kRollback;
  connection->Execute(
      this->profile, BackendCommand{rollback, std::nullopt},
      [self = this->shared_from_this(), released](const std::optional<StatementResult>& result) {
        const bool clean = result && !result->error && result->state == TransactionState::kNone;
        if (RelayServer* server = self->relay.FindServer(released.server)) {
          SessionRelay::Impl::Release(*server, released.lease,
                                      clean ? ConnectionState::kClean : ConnectionState::kBroken);
        }
      });
}

bool RelayCallerSession::Idle() const {
  return !this->active && this->queue.empty() && this->transaction == TransactionState::kNone;
}

void RelayCallerSession::AbortTransaction(const std::string& reason) {
  if (this->transaction != TransactionState::kOpen || this->active) {
    return;
  }
  this->RollBackAndRelease();
  this->FailTransaction();
  this->abort_reason = reason;
}

void RelayCallerSession::OnCallerDisconnected() {
  if (std::exchange(this->caller_disconnected, true)) {
    return;
  }
  this->queue.clear();
  // A statement that was sent runs to its end, and its result is discarded.
  if (this->active && !this->active->sent && !this->held) {
    this->active.reset();
  }
  if (!this->active) {
    this->RollBackAndRelease();
    this->transaction = TransactionState::kNone;
  }
}

void RelayCallerSession::Tick(TimePoint now) {
  if (!this->active) {
    const Duration limit = this->relay.configuration->transaction_idle_timeout;
    if (this->transaction == TransactionState::kOpen && limit > Duration::zero() &&
        now - this->last_activity > limit) {
      this->AbortTransaction("the transaction was idle for too long");
    }
    return;
  }
  if (this->remote) {
    this->CheckHolder(now);
    return;
  }
  const bool repeatable = this->active->sent && this->transaction == TransactionState::kNone &&
                          !this->Writes(this->active->statement);
  if (!repeatable || now - this->active->sent_at < SessionRelay::kReadRetryTimeout) {
    return;
  }
  const RelayServer* server = this->relay.FindServer(this->active->server);
  if (server != nullptr && this->relay.Unresponsive(*server, SessionRelay::kReadRetryTimeout)) {
    this->OnConnectionLost();
  }
}

}  // namespace sycamoredrum
