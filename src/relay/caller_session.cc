#include "caller_session.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

// Pauses before a statement is tried again at a server that could not take it.
constexpr Duration kPrimaryRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(30);
constexpr Duration kCapRetryDelay = std::chrono::milliseconds(100);
// A statement that has waited for a new primary may wait this part of its latency objective for a
// connection, even if its share is used up.
constexpr double kWaitShareAfterFailover = 0.25;
// Statement time limit of a route without one.
constexpr Duration kDefaultStatementTimeout = std::chrono::seconds(5);

Duration Share(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

// Share of a route in the queues: a statement of the highest priority is served eight times as
// often as one of the lowest while both wait.
int QueueWeight(int priority) {
  constexpr int kWeights[] = {8, 4, 1};
  constexpr int kLowest = 2;
  return kWeights[std::clamp(priority, 0, kLowest)];
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

RelayCallerSession::RelayCallerSession(SessionRelay::Impl& relay, std::string route_name,
                                       CallerSessionHooks hooks)
    : relay(relay),
      route_name(std::move(route_name)),
      hooks(std::move(hooks)),
      last_activity(relay.clock.Now()) {
  this->relay.sessions.insert(this);
}

RelayCallerSession::~RelayCallerSession() { this->relay.sessions.erase(this); }

void RelayCallerSession::Handle(Statement statement) {
  if (this->gone) {
    return;
  }
  if (this->attempt || this->starting || !this->queue.empty()) {
    if (this->queue.size() >= SessionRelay::kMaxPipelined) {
      this->hooks.close();
      return;
    }
    this->queue.push_back(std::move(statement));
    return;
  }
  this->Start(std::move(statement));
}

// Replies run inside Start; the loop keeps the stack from growing with the number of waiting
// statements.
void RelayCallerSession::Next() {
  if (this->starting) {
    return;
  }
  const std::shared_ptr<RelayCallerSession> self = this->shared_from_this();
  while (!this->attempt && !this->queue.empty() && !this->gone) {
    Statement statement = std::move(this->queue.front());
    this->queue.pop_front();
    this->Start(std::move(statement));
  }
}

void RelayCallerSession::Start(Statement statement) {
  this->starting = true;
  this->last_activity = this->Now();
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
    case StatementKind::kForget:
      this->HandleSettings(statement);
      break;
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
      this->Forward(std::move(statement));
      break;
    case StatementKind::kReset:
    case StatementKind::kInvalid:
      this->ReplyError(StatementErrorCode::kMalformed, "the statement cannot be read");
      break;
  }
  this->starting = false;
  this->Next();
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
  // The transaction starts on a backend server with its first statement, so that it holds no
  // connection while the caller prepares that statement.
  this->route = found->second;
  this->transaction = TransactionState::kOpen;
  this->read_only = statement.kind == StatementKind::kBeginReadOnly;
  this->wrote = false;
  this->ReplyDone();
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
  this->ReplyDone();
}

void RelayCallerSession::HandleSettings(const Statement& statement) {
  if (this->transaction == TransactionState::kFailed) {
    this->ReplyError(StatementErrorCode::kMalformed, "the transaction has failed");
    return;
  }
  switch (statement.kind) {
    case StatementKind::kSet:
      this->profile.variables[statement.name] = statement.data;
      break;
    case StatementKind::kPrepare:
      this->profile.prepared[statement.name] = PreparedStatement{statement.shape, statement.writes};
      break;
    default:
      this->profile.prepared.erase(statement.name);
      break;
  }
  this->ReplyDone();
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
  Attempt next;
  next.statement = std::move(statement);
  next.arrived = this->Now();
  const Duration limit = this->route.statement_timeout > Duration::zero()
                             ? this->route.statement_timeout
                             : kDefaultStatementTimeout;
  next.deadline = next.arrived + limit;
  const bool plain_transaction = this->transaction == TransactionState::kOpen && !this->read_only;
  next.needs_primary = this->route.consistency == ReadConsistency::kPrimary || plain_transaction ||
                       this->Writes(next.statement);
  next.number = this->next_attempt++;
  this->attempt = std::move(next);
  this->Later(limit, [this] { this->OnDeadline(); });
  this->Dispatch();
}

void RelayCallerSession::Later(Duration delay, std::function<void()> action) {
  this->relay.scheduler.RunAfter(
      delay,
      [weak = this->weak_from_this(), number = this->attempt->number, action = std::move(action)] {
        const auto self = weak.lock();
        if (self && self->attempt && self->attempt->number == number) {
          action();
        }
      });
}

void RelayCallerSession::Continue() {
  if (this->attempt && this->attempt->waiting) {
    this->Dispatch();
  }
}

void RelayCallerSession::Dispatch() {
  this->attempt->waiting = false;
  if (this->gone) {
    this->attempt.reset();
    this->RollBackAndRelease();
    return;
  }
  if (this->held) {
    this->Prepare();
    return;
  }
  if (++this->attempt->tries > SessionRelay::kMaxAttempts) {
    this->Refuse("too many attempts", kBusyRetryDelay);
    return;
  }
  if (!this->attempt->needs_primary && !this->RequiredPosition()) {
    // Nothing recent enough is known of the log; the primary itself is always fresh.
    this->attempt->needs_primary = true;
  }
  if (this->attempt->needs_primary) {
    const std::optional<PrimaryGrant> grant = this->relay.grants.Current(this->route.database);
    if (!grant) {
      this->WaitForPrimary();
    } else if (this->relay.FindServer(grant->server) == nullptr) {
      this->RetryLater(kPrimaryRetryDelay, "the primary is not listed");
    } else {
      this->Acquire(grant->server, grant);
    }
    return;
  }
  const std::optional<std::string> server =
      this->relay.PlaceReadOn(this->route.database, this->attempt->tried);
  if (!server) {
    this->attempt->tried.clear();
    this->RetryLater(kBusyRetryDelay, "no server is usable");
    return;
  }
  std::optional<PrimaryGrant> grant = this->relay.grants.Current(this->route.database);
  if (grant && grant->server != *server) {
    grant.reset();
  }
  this->Acquire(*server, grant);
}

// A statement that the successor of a lost primary can still serve in time is worth the wait; the
// caller's repetitions would meet the same gap.
void RelayCallerSession::WaitForPrimary() {
  --this->attempt->tries;
  this->attempt->waiting = true;
  this->relay.databases[this->route.database].waiting.push_back(this->weak_from_this());
}

void RelayCallerSession::Acquire(const std::string& server_id, std::optional<PrimaryGrant> grant) {
  RelayServer* server = this->relay.FindServer(server_id);
  const TimePoint now = this->Now();
  if (server->unreachable_until > now && this->attempt->needs_primary) {
    --this->attempt->tries;
    this->RetryLater(std::min(server->unreachable_until - now, kCapRetryDelay),
                     "the primary is unreachable");
    return;
  }
  const Duration objective = this->route.latency_objective;
  const TimePoint wait_until =
      std::max(this->attempt->arrived + Share(objective, SessionRelay::kMaxWaitShare),
               now + Share(objective, kWaitShareAfterFailover));
  LeaseRequest request;
  request.caller_group = this->route_name;
  request.weight = QueueWeight(this->route.priority);
  request.deadline = std::min(wait_until, this->attempt->deadline);
  request.cost = [server, self = this->shared_from_this()](ConnectionId connection) {
    const auto session = server->sessions.find(connection);
    return session == server->sessions.end() ? 0 : session->second->SetupCost(self->profile);
  };
  server->pool->Acquire(request,
                        [self = this->shared_from_this(), server_id, grant = std::move(grant),
                         number = this->attempt->number](const LeaseAnswer& answer) {
                          if (self->attempt && self->attempt->number == number) {
                            self->OnLease(server_id, grant, answer);
                          } else if (answer.status == LeaseStatus::kGranted) {
                            if (RelayServer* owner = self->relay.FindServer(server_id)) {
                              owner->pool->Release(answer.lease, ConnectionState::kClean);
                            }
                          }
                        });
}

void RelayCallerSession::OnLease(const std::string& server_id,
                                 const std::optional<PrimaryGrant>& grant,
                                 const LeaseAnswer& answer) {
  RelayServer* server = this->relay.FindServer(server_id);
  switch (answer.status) {
    case LeaseStatus::kGranted:
      this->held = Held{server_id, answer.lease, grant, false};
      this->Prepare();
      return;
    case LeaseStatus::kQueueFull:
    case LeaseStatus::kDeadline:
      if (this->attempt->needs_primary) {
        this->Refuse("no connection becomes free in time", answer.retry_after);
        return;
      }
      this->attempt->tried.insert(server_id);
      if (this->relay.PlaceReadOn(this->route.database, this->attempt->tried)) {
        this->Dispatch();
      } else {
        this->Refuse("no connection becomes free in time", answer.retry_after);
      }
      return;
    case LeaseStatus::kConnectionRefused:
      // Another process holds the connections for a moment; this is no failure of the server.
      --this->attempt->tries;
      this->attempt->tried.insert(server_id);
      this->RetryLater(this->attempt->needs_primary ? kCapRetryDelay : kBusyRetryDelay,
                       "the connection cap of the server is reached");
      return;
    case LeaseStatus::kUnreachable:
      if (server != nullptr) {
        this->relay.MarkFailing(*server);
      }
      if (grant) {
        this->relay.hooks.primary_suspected(this->route.database);
      }
      break;
    case LeaseStatus::kLeaving:
      break;
  }
  this->attempt->tried.insert(server_id);
  if (this->attempt->needs_primary) {
    // The primary may come back or be replaced within the statement's time limit.
    --this->attempt->tries;
  }
  this->RetryLater(this->attempt->needs_primary ? kCapRetryDelay : Duration::zero(),
                   "no connection could be opened");
}

BackendSession* RelayCallerSession::Connection() {
  RelayServer* server = this->held ? this->relay.FindServer(this->held->server) : nullptr;
  if (server == nullptr) {
    return nullptr;
  }
  const auto found = server->sessions.find(this->held->lease.connection);
  const bool usable = found != server->sessions.end() && !found->second->Broken();
  return usable ? found->second.get() : nullptr;
}

// A read-only transaction that has begun sees the log as of its start or later, whoever leads now.
bool RelayCallerSession::Permitted() const {
  return !this->held->grant || (this->held->began && this->read_only) ||
         this->relay.grants.StillValid(this->route.database, this->held->grant->generation);
}

// Gives the connection the state of this session.
void RelayCallerSession::Prepare() {
  BackendSession* connection = this->Connection();
  const bool permitted = this->Permitted();
  if (connection == nullptr || !permitted) {
    const bool began = this->held->began;
    this->Release(began || connection == nullptr ? ConnectionState::kBroken
                                                 : ConnectionState::kClean);
    if (began) {
      this->FailTransaction();
      this->Fail(StatementErrorCode::kAborted, permitted ? "the connection to the server was lost"
                                                         : "the primary is being replaced");
    } else {
      this->RetryLater(Duration::zero(), "the connection is not usable");
    }
    return;
  }
  connection->PrepareFor(
      this->profile, this->attempt->statement,
      [self = this->shared_from_this(), number = this->attempt->number](bool ready) {
        if (!self->attempt || self->attempt->number != number || !self->held) {
          return;
        }
        if (!ready) {
          const bool began = self->held->began;
          self->Release(ConnectionState::kBroken);
          if (began) {
            self->FailTransaction();
            self->Fail(StatementErrorCode::kAborted, "the connection to the server was lost");
          } else {
            self->RetryLater(Duration::zero(), "the connection could not be prepared");
          }
          return;
        }
        if (self->transaction == TransactionState::kOpen && !self->held->began) {
          self->Begin();
        } else {
          self->Send();
        }
      });
}

// Log position that the server of the present statement must contain.
std::optional<LogPosition> RelayCallerSession::RequiredPosition() const {
  const auto found = this->relay.databases.find(this->route.database);
  if (found == this->relay.databases.end()) {
    return std::nullopt;
  }
  const FreshnessWindow& window = found->second.window;
  if (this->held && this->held->grant) {
    // Guards against a server that restarted without its log.
    const auto newest = window.Newest();
    const bool current = newest && window.Generation() == this->held->grant->generation;
    return current ? std::optional(newest->position) : std::nullopt;
  }
  const std::optional<LogPosition> position = window.OldestSince(this->Now() - this->route.max_age);
  const bool own_applies = this->route.consistency == ReadConsistency::kReadYourWrites &&
                           this->own_position && this->own_generation == window.Generation();
  // A position of an earlier generation is either contained in every later one or was rolled back.
  return position && own_applies ? std::max(*position, *this->own_position) : position;
}

void RelayCallerSession::Begin() {
  if (this->Connection() == nullptr) {
    this->Prepare();
    return;
  }
  const std::optional<LogPosition> required = this->RequiredPosition();
  if (!required && !this->held->grant) {
    this->Release(ConnectionState::kClean);
    this->attempt->needs_primary = true;
    this->Dispatch();
    return;
  }
  Statement begin;
  begin.kind = this->read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  this->Connection()->Execute(
      this->profile, BackendCommand{begin, required},
      [self = this->shared_from_this(),
       number = this->attempt->number](const std::optional<StatementResult>& result) {
        if (!self->attempt || self->attempt->number != number || !self->held) {
          return;
        }
        if (result && !result->error) {
          self->held->began = true;
          self->Send();
        } else if (result && GuaranteesNotRun(result->error->code)) {
          self->OnRefusedByServer(*result->error);
        } else {
          self->OnConnectionLost();
        }
      });
}

void RelayCallerSession::Send() {
  const bool is_read = !this->Writes(this->attempt->statement) &&
                       this->attempt->statement.kind != StatementKind::kCommit;
  if (this->gone) {
    this->attempt.reset();
    this->RollBackAndRelease();
    this->transaction = TransactionState::kNone;
    return;
  }
  if (!this->Permitted() || this->Connection() == nullptr) {
    this->Prepare();
    return;
  }
  BackendCommand command{this->attempt->statement, std::nullopt};
  if (this->transaction == TransactionState::kNone && is_read) {
    command.required = this->RequiredPosition();
    if (!command.required && !this->held->grant) {
      this->Release(ConnectionState::kClean);
      this->attempt->needs_primary = true;
      this->Dispatch();
      return;
    }
  }
  this->wrote = this->wrote || (this->transaction == TransactionState::kOpen &&
                                this->Writes(this->attempt->statement));
  this->attempt->sent = true;
  this->attempt->sent_at = this->Now();
  this->attempt->server = this->held->server;
  this->attempt->grant = this->held->grant;
  const std::shared_ptr<RelayServer> server = this->relay.servers.at(this->held->server);
  if (server->outstanding++ == 0) {
    server->waiting_since = this->Now();
  }
  this->Connection()->Execute(
      this->profile, command,
      [self = this->shared_from_this(), server, sent_at = this->Now(),
       number = this->attempt->number](const std::optional<StatementResult>& result) {
        --server->outstanding;
        if (result) {
          self->relay.MarkAnswered(*server, sent_at);
        }
        if (self->attempt && self->attempt->number == number && self->attempt->sent) {
          self->OnResult(result);
        }
      });
}

void RelayCallerSession::OnResult(const std::optional<StatementResult>& result) {
  if (!result) {
    this->OnConnectionLost();
  } else if (result->error && GuaranteesNotRun(result->error->code)) {
    this->OnRefusedByServer(*result->error);
  } else {
    this->OnAnswer(*result);
  }
}

void RelayCallerSession::OnConnectionLost() {
  const bool sent = this->attempt->sent;
  const bool began = this->held && this->held->began;
  if (this->held && this->held->grant) {
    this->relay.hooks.primary_suspected(this->route.database);
  }
  this->attempt->tried.insert(this->held->server);
  this->Release(ConnectionState::kBroken);
  if (this->attempt->statement.kind == StatementKind::kCommit && sent) {
    this->transaction = TransactionState::kNone;
    // A transaction without a write leaves nothing, whether it was committed or not.
    this->Fail(this->wrote ? StatementErrorCode::kUnknownOutcome : StatementErrorCode::kAborted,
               "the server's answer to the commit was lost");
    return;
  }
  if (began) {
    this->FailTransaction();
    this->Fail(StatementErrorCode::kAborted, "the connection to the server was lost");
    return;
  }
  if (sent && this->Writes(this->attempt->statement)) {
    this->Fail(StatementErrorCode::kUnknownOutcome, "the server's answer to the write was lost");
    return;
  }
  this->attempt->sent = false;
  this->RetryLater(Duration::zero(), "the connection was lost");
}

// The server guarantees that the statement, or the start of its transaction, did not run.
void RelayCallerSession::OnRefusedByServer(const StatementError& error) {
  RelayServer* server = this->relay.FindServer(this->held->server);
  const bool as_primary = this->held->grant.has_value();
  const bool began = this->held->began;
  this->attempt->sent = false;
  Duration delay = Duration::zero();
  switch (error.code) {
    case StatementErrorCode::kBehind:
      if (server != nullptr) {
        server->behind_until = this->Now() + SessionRelay::kBehindPause;
      }
      delay = as_primary ? kPrimaryRetryDelay : Duration::zero();
      break;
    case StatementErrorCode::kReadOnly:
      this->relay.hooks.primary_suspected(this->route.database);
      delay = kPrimaryRetryDelay;
      break;
    case StatementErrorCode::kUnknownStatement:
      if (BackendSession* connection = this->Connection()) {
        connection->ForgetPrepared(this->profile, this->attempt->statement);
      }
      break;
    default:
      delay = as_primary ? kBusyRetryDelay : Duration::zero();
      break;
  }
  const bool retry_inside = began && (error.code == StatementErrorCode::kBusy ||
                                      error.code == StatementErrorCode::kUnknownStatement);
  if (began && !retry_inside) {
    this->RollBackAndRelease();
    const bool committing = this->attempt->statement.kind == StatementKind::kCommit;
    this->transaction = committing ? TransactionState::kNone : TransactionState::kFailed;
    this->abort_reason = error.message;
    this->Fail(StatementErrorCode::kAborted,
               absl::StrCat("the server refused: ", std::string(ToString(error.code))));
    return;
  }
  if (!began) {
    this->attempt->tried.insert(this->held->server);
    this->Release(ConnectionState::kClean);
  } else if (++this->attempt->tries > SessionRelay::kMaxAttempts) {
    this->RollBackAndRelease();
    this->FailTransaction();
    this->Fail(StatementErrorCode::kAborted, "the server stays busy");
    return;
  } else {
    delay = kBusyRetryDelay;
  }
  this->RetryLater(delay, std::string(ToString(error.code)));
}

void RelayCallerSession::OnAnswer(const StatementResult& answer) {
  StatementResult result = answer;
  const bool committing = this->attempt->statement.kind == StatementKind::kCommit;
  const bool in_transaction = this->transaction == TransactionState::kOpen;
  const bool durable =
      committing ? this->wrote : !in_transaction && this->Writes(this->attempt->statement);
  const std::optional<PrimaryGrant>& grant = this->attempt->grant;
  if (!result.error && durable &&
      !(grant && this->relay.grants.StillValid(this->route.database, grant->generation))) {
    // Another primary may lead by now, and its log may lack this commit.
    result.error = StatementError{StatementErrorCode::kUnknownOutcome,
                                  "the permission for the primary ended before its answer"};
    result.rows.clear();
  }
  if (!result.error && grant && result.position) {
    this->relay.Observe(this->route.database, grant->generation,
                        PositionObservation{*result.position, this->attempt->sent_at});
    if (durable) {
      this->own_generation = grant->generation;
      this->own_position = result.position;
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

void RelayCallerSession::OnDeadline() {
  const bool sent = this->attempt->sent;
  const bool committing = this->attempt->statement.kind == StatementKind::kCommit;
  const bool durable = committing ? this->wrote : this->Writes(this->attempt->statement);
  const bool in_transaction = this->transaction == TransactionState::kOpen;
  if (this->held) {
    RelayServer* server = this->relay.FindServer(this->held->server);
    if (sent && server != nullptr && this->relay.Silent(*server, SessionRelay::kSilenceToAvoid)) {
      this->relay.MarkFailing(*server);
    }
    // What the connection still does is not known.
    this->Release(ConnectionState::kBroken);
  }
  if (in_transaction) {
    this->transaction = committing && sent ? TransactionState::kNone : TransactionState::kFailed;
    this->abort_reason = "the statement's time limit passed";
  }
  if (sent && durable && (committing || !in_transaction)) {
    this->Fail(StatementErrorCode::kUnknownOutcome, "no answer within the statement's time limit");
  } else if (in_transaction) {
    this->Fail(StatementErrorCode::kAborted, "no answer within the statement's time limit");
  } else if (sent) {
    this->Fail(StatementErrorCode::kTimeout, "no answer within the statement's time limit");
  } else {
    this->Refuse("no server could take the statement in time", kPrimaryRetryDelay);
  }
}

void RelayCallerSession::RetryLater(Duration delay, const std::string& reason) {
  const TimePoint now = this->Now();
  if (now + delay >= this->attempt->deadline) {
    this->Refuse(reason, kPrimaryRetryDelay);
    return;
  }
  this->attempt->waiting = false;
  if (delay <= Duration::zero() && !this->held) {
    this->Dispatch();
    return;
  }
  this->Later(delay, [this] { this->Dispatch(); });
}

// The statement did not run and will not.
void RelayCallerSession::Refuse(const std::string& reason, Duration retry_after) {
  if (this->held) {
    this->RollBackAndRelease();
  }
  if (this->transaction == TransactionState::kOpen) {
    this->FailTransaction();
    this->abort_reason = reason;
  }
  this->Fail(StatementErrorCode::kBusy,
             absl::StrCat("retry after ", std::max<std::int64_t>(Milliseconds(retry_after), 1),
                          " ms: ", reason));
}

void RelayCallerSession::Fail(StatementErrorCode code, const std::string& message) {
  StatementResult result;
  result.error = StatementError{code, message};
  this->Reply(std::move(result));
}

void RelayCallerSession::ReplyError(StatementErrorCode code, const std::string& message) {
  this->Fail(code, message);
}

void RelayCallerSession::ReplyDone() { this->Reply(StatementResult{}); }

void RelayCallerSession::Reply(StatementResult result) {
  result.state = this->transaction;
  const std::shared_ptr<RelayCallerSession> self = this->shared_from_this();
  if (this->attempt) {
    this->LogOutcome(result);
  }
  this->attempt.reset();
  this->last_activity = this->Now();
  if (this->gone) {
    this->RollBackAndRelease();
    return;
  }
  this->hooks.reply(result);
  this->Next();
}

void RelayCallerSession::LogOutcome(const StatementResult& result) const {
  const Duration elapsed = this->Now() - this->attempt->arrived;
  const std::string outcome =
      result.error ? std::string(ToString(result.error->code)) : std::string("result");
  this->relay.Count(this->route_name, outcome, elapsed);
  const bool slow = elapsed > this->route.latency_objective;
  // Ordinary successes are told by the metrics; a sample of them is logged.
  constexpr std::uint64_t kSuccessSample = 64;
  if (!result.error && !slow && this->attempt->number % kSuccessSample != 0) {
    return;
  }
  std::vector<LogField> fields = {
      {"id", this->attempt->statement.id},
      {"route", this->route_name},
      {"database", this->route.database},
      {"configuration", absl::StrCat(this->relay.configuration->version)},
      {"outcome", outcome},
      {"elapsed_ms", absl::StrCat(Milliseconds(elapsed))},
      {"tries", absl::StrCat(this->attempt->tries)},
      {"sent", this->attempt->sent ? "true" : "false"},
      {"server", this->attempt->server},
      {"needs_primary", this->attempt->needs_primary ? "true" : "false"}};
  if (this->attempt->grant) {
    fields.push_back({"generation", absl::StrCat(this->attempt->grant->generation)});
    fields.push_back({"grant_left_ms",
                      absl::StrCat(Milliseconds(this->attempt->grant->valid_until - this->Now()))});
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
  const Held released = *std::exchange(this->held, std::nullopt);
  if (RelayServer* server = this->relay.FindServer(released.server)) {
    server->pool->Release(released.lease, state);
  }
}

void RelayCallerSession::RollBackAndRelease() {
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
  const Held released = *std::exchange(this->held, std::nullopt);
  Statement rollback;
  rollback.kind = StatementKind::kRollback;
  connection->Execute(
      this->profile, BackendCommand{rollback, std::nullopt},
      [self = this->shared_from_this(), released](const std::optional<StatementResult>& result) {
        const bool clean = result && !result->error && result->state == TransactionState::kNone;
        if (RelayServer* server = self->relay.FindServer(released.server)) {
          server->pool->Release(released.lease,
                                clean ? ConnectionState::kClean : ConnectionState::kBroken);
        }
      });
}

bool RelayCallerSession::Idle() const {
  return !this->attempt && this->queue.empty() && this->transaction == TransactionState::kNone;
}

void RelayCallerSession::AbortTransaction(const std::string& reason) {
  if (this->transaction != TransactionState::kOpen || this->attempt) {
    return;
  }
  this->RollBackAndRelease();
  this->FailTransaction();
  this->abort_reason = reason;
}

void RelayCallerSession::CallerGone() {
  if (std::exchange(this->gone, true)) {
    return;
  }
  this->queue.clear();
  // A statement that was sent ends by itself, and its result is dropped.
  if (this->attempt && !this->attempt->sent && !this->held) {
    this->attempt.reset();
  }
  if (!this->attempt) {
    this->RollBackAndRelease();
    this->transaction = TransactionState::kNone;
  }
}

void RelayCallerSession::Tick(TimePoint now) {
  if (!this->attempt) {
    const Duration limit = this->relay.configuration->transaction_idle_timeout;
    if (this->transaction == TransactionState::kOpen && limit > Duration::zero() &&
        now - this->last_activity > limit) {
      this->AbortTransaction("the transaction was idle for too long");
    }
    return;
  }
  const bool repeatable = this->attempt->sent && this->transaction == TransactionState::kNone &&
                          !this->Writes(this->attempt->statement);
  if (!repeatable || now - this->attempt->sent_at < SessionRelay::kSilenceToRepeat) {
    return;
  }
  const RelayServer* server = this->relay.FindServer(this->attempt->server);
  if (server != nullptr && this->relay.Silent(*server, SessionRelay::kSilenceToRepeat)) {
    this->OnConnectionLost();
  }
}

}  // namespace sycamoredrum
