#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "caller_session.h"

namespace sycamoredrum {
namespace {

// Fraction of the latency objective that a statement may always wait for a connection from now on,
// even if a wait for a new primary has already taken longer than kMaxWaitFraction allows.
constexpr double kWaitFractionAfterFailover = 0.25;

// Fraction of the latency objective that a statement waits for a primary at a process that is cut
// off. Callers make only a few attempts, and an immediate refusal would use them up while other
// processes are cut off as well. After this wait, another process can still answer within the
// objective.
constexpr double kCutOffWaitFraction = 0.25;

Duration FractionOf(Duration whole, double fraction) {
  return std::chrono::duration_cast<Duration>(whole * fraction);
}

}  // namespace

void RelayCallerSession::ResumeDispatch() {
  if (this->active && this->active->suspended) {
    this->Dispatch();
  }
}

void RelayCallerSession::Dispatch() {
  this->active->suspended = false;
  if (this->caller_disconnected) {
    this->active.reset();
    this->RollBackAndRelease();
    return;
  }
  if (this->identity_outdated && this->UpdateIdentity()) {
    return;
  }
  if (this->held) {
    this->Prepare();
    return;
  }
  if (this->remote) {
    this->SendToHolder();
    return;
  }
  if (++this->active->tries > SessionRelay::kMaxAttempts) {
    this->Refuse(absl::StrCat("too many attempts, the last one: ", this->active->last_failure),
                 kBusyRetryDelay);
    return;
  }
  const std::optional<PrimaryGrant> grant = this->relay.grants.Current(this->route.database);
  if (!this->active->needs_primary && !this->RequiredPosition() && !this->HolderChecksPosition()) {
    // No recent enough position of the primary's log is known.
    if (!grant || this->ShouldWaitForPosition(*grant)) {
      this->SuspendStatement();
      return;
    }
    this->active->needs_primary = true;
  }
  if (this->active->needs_primary) {
    // The record of the granted primary can be missing, for example after an outage of the store.
    if (!grant || this->relay.FindServer(grant->server) == nullptr) {
      this->SuspendStatement();
    } else {
      this->Acquire(grant->server, grant);
    }
    return;
  }
  std::optional<std::string> server = this->ServerOfSender();
  if (!server) {
    server = this->relay.ChooseReadServer(this->route.database, this->active->tried);
  }
  if (!server) {
    this->active->tried.clear();
    if (this->Now() < this->active->arrived + this->MaxWait()) {
      // Servers that are busy or slightly behind become usable soon, so this attempt is not
      // counted.
      --this->active->tries;
    }
    this->RetryLater(kBusyRetryDelay, "no server is usable");
    return;
  }
  const bool at_primary = grant && grant->server == *server;
  this->Acquire(*server, at_primary ? grant : std::nullopt);
}

void RelayCallerSession::RefuseIfCutOff() {
  if (this->active->suspended && this->relay.cut_off &&
      !this->relay.grants.Current(this->route.database)) {
    this->Refuse("this process is cut off from the leader and the store", kCutOffRetryDelay);
  }
}

// Once one query is answered, all waiting reads can use replicas. Without the wait, all reads go to
// the primary in the first second after a restart of all processes, and while there is no leader to
// distribute positions.
bool RelayCallerSession::ShouldWaitForPosition(const PrimaryGrant& grant) {
  if (this->Now() - this->active->arrived >= SessionRelay::kMaxPositionWait) {
    return false;
  }
  this->relay.QueryPosition(this->route.database, grant);
  return true;
}

// A statement without a primary is not refused at once: the next primary may still be able to serve
// it in time, and until then the caller's own retries would find no primary either.
void RelayCallerSession::SuspendStatement() {
  if (this->relay.cut_off) {
    this->RunLater(this->active->arrived +
                       FractionOf(this->route.latency_objective, kCutOffWaitFraction) - this->Now(),
                   [this] { this->RefuseIfCutOff(); });
  }
  --this->active->tries;
  this->active->suspended = true;
  this->relay.databases[this->route.database].waiting.push_back(this->weak_from_this());
}

Duration RelayCallerSession::MaxWait() const {
  return FractionOf(this->route.latency_objective, SessionRelay::kMaxWaitFraction);
}

void RelayCallerSession::Acquire(const std::string& server_id, std::optional<PrimaryGrant> grant) {
  RelayServer* server = this->relay.FindServer(server_id);
  const TimePoint now = this->Now();
  if (this->ForwardToHolder(*server)) {
    return;
  }
  if (server->unreachable_until > now && this->active->needs_primary) {
    --this->active->tries;
    this->RetryLater(std::min(server->unreachable_until - now, kCapRetryDelay),
                     "the primary is unreachable");
    return;
  }
  const TimePoint wait_until =
      std::max(this->active->arrived + this->MaxWait(),
               now + FractionOf(this->route.latency_objective, kWaitFractionAfterFailover));
  LeaseRequest request;
  request.caller_group = this->route_name;
  request.weight = QueueWeight(this->route.priority);
  request.organisation = this->identity.organisation;
  request.organisation_weight = this->identity.weight;
  request.deadline = std::min(wait_until, this->active->deadline);
  request.cost = [server, self = this->shared_from_this()](ConnectionId connection) {
    const auto session = server->sessions.find(connection);
    return session == server->sessions.end() ? 0 : session->second->SetupCost(self->profile);
  };
  this->relay.Acquire(*server, request,
                      [self = this->shared_from_this(), server_id, grant = std::move(grant),
                       number = this->active->number](const LeaseAnswer& answer) {
                        if (self->active && self->active->number == number) {
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
      this->held = HeldConnection{server_id, answer.lease, grant, false};
      ++server->leases;
      this->Prepare();
      return;
    case LeaseStatus::kQueueFull:
    case LeaseStatus::kDeadline:
      if (this->active->needs_primary) {
        this->Refuse("no connection becomes free in time", answer.retry_after);
        return;
      }
      this->active->tried.insert(server_id);
      if (this->relay.ChooseReadServer(this->route.database, this->active->tried)) {
        this->Dispatch();
      } else {
        this->Refuse("no connection becomes free in time", answer.retry_after);
      }
      return;
    case LeaseStatus::kConnectionRefused:
      // Other processes use the connections at present. The server has not failed, so this attempt
      // is not counted.
      --this->active->tries;
      this->active->tried.insert(server_id);
      this->RetryLater(this->active->needs_primary ? kCapRetryDelay : kBusyRetryDelay,
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
  this->active->tried.insert(server_id);
  if (this->active->needs_primary) {
    // The primary may become reachable again or be replaced within the statement's time limit.
    --this->active->tries;
  }
  this->RetryLater(this->active->needs_primary ? kCapRetryDelay : Duration::zero(),
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

// A read-only transaction that has begun reads the log as of its start or later. This stays valid
// even if another server has become primary since.
bool RelayCallerSession::MayUseServer() const {
  const bool current =
      !this->held->grant || (this->held->began && this->read_only) || this->UsesGrant();
  return current && this->HoldsOwnConnection();
}

bool RelayCallerSession::UsesGrant() const {
  return this->held->grant &&
         this->relay.grants.StillValid(this->route.database, this->held->grant->generation);
}

bool RelayCallerSession::MayWrite() const {
  return this->Writes(this->active->statement) ||
         (this->transaction == TransactionState::kOpen && !this->read_only);
}

void RelayCallerSession::Prepare() {
  BackendSession* connection = this->Connection();
  if (connection != nullptr && this->MayWrite() && !this->held->began &&
      !connection->RefusalsAreCertain()) {
    --this->active->tries;
    this->Release(ConnectionState::kBroken);
    this->RetryLater(Duration::zero(), "a refusal on the connection would not be certain");
    return;
  }
  const bool permitted = this->MayUseServer();
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
      this->profile, this->active->statement,
      [self = this->shared_from_this(), number = this->active->number](bool ready) {
        if (!self->active || self->active->number != number || !self->held) {
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
          self->BeginTransaction();
        } else {
          self->Send();
        }
      });
}

std::optional<LogPosition> RelayCallerSession::RequiredPosition() const {
  const auto found = this->relay.databases.find(this->route.database);
  if (found == this->relay.databases.end()) {
    return std::nullopt;
  }
  const FreshnessWindow& window = found->second.window;
  if (this->held && this->held->grant) {
    // Detects a primary that restarted without its log.
    const auto newest = window.Newest();
    const bool current = newest && window.Generation() == this->held->grant->generation;
    return current ? std::optional(newest->position) : std::nullopt;
  }
  const std::optional<LogPosition> position = window.OldestSince(this->Now() - this->route.max_age);
  const bool last_commit_applies = this->route.consistency == ReadConsistency::kReadYourWrites &&
                                   this->last_commit_position.has_value();
  // A promotion begins a new term. A position of a later term than that of the commit is greater,
  // and the log up to it has the commit, unless the promotion has rolled it back. A new generation
  // alone says nothing of the commit: after a hand-over that was given up, the same log goes on.
  return position && last_commit_applies ? std::max(*position, *this->last_commit_position)
                                         : position;
}

void RelayCallerSession::BeginTransaction() {
  // The grant may have ended while the session's state was being set.
  if (!this->MayUseServer() || this->Connection() == nullptr) {
    this->Prepare();
    return;
  }
  const std::optional<LogPosition> required = this->RequiredPosition();
  if (!required && !this->held->grant) {
    this->Release(ConnectionState::kClean);
    this->active->needs_primary = true;
    this->Dispatch();
    return;
  }
  this->active->required = required;
  Statement begin;
  begin.kind = this->read_only ? StatementKind::kBeginReadOnly : StatementKind::kBegin;
  this->Connection()->Execute(
      this->profile, BackendCommand{begin, required},
      [self = this->shared_from_this(),
       number = this->active->number](const std::optional<StatementResult>& result) {
        if (!self->active || self->active->number != number || !self->held) {
          return;
        }
        if (result && !result->error) {
          self->held->began = true;
          self->Send();
        } else if (result && GuaranteesNotRun(result->error->code)) {
          self->OnRefusedByServer(*result);
        } else {
          self->OnConnectionLost();
        }
      });
}

void RelayCallerSession::Send() {
  const bool is_read = !this->Writes(this->active->statement) &&
                       this->active->statement.kind != StatementKind::kCommit;
  if (this->caller_disconnected) {
    this->active.reset();
    this->RollBackAndRelease();
    this->transaction = TransactionState::kNone;
    return;
  }
  if (!this->MayUseServer() || this->Connection() == nullptr) {
    this->Prepare();
    return;
  }
  const std::shared_ptr<RelayServer> server = this->relay.servers.at(this->held->server);
  if (!this->held->began && this->Now() + server->response_time >= this->active->deadline) {
    // Its time limit would probably end while it runs.
    this->Refuse("too little time is left", kBusyRetryDelay);
    return;
  }
  BackendCommand command{this->active->statement, std::nullopt};
  if (this->transaction == TransactionState::kNone && is_read) {
    command.required = this->RequiredPosition();
    if (!command.required && !this->held->grant) {
      this->Release(ConnectionState::kClean);
      this->active->needs_primary = true;
      this->Dispatch();
      return;
    }
    this->active->required = command.required;
  }
  this->wrote = this->wrote || (this->transaction == TransactionState::kOpen &&
                                this->Writes(this->active->statement));
  this->active->sent = true;
  this->active->sent_at = this->Now();
  this->active->server = this->held->server;
  this->active->grant = this->UsesGrant() ? this->held->grant : std::nullopt;
  if (server->outstanding++ == 0) {
    server->unanswered_since = this->Now();
  }
  this->Connection()->Execute(this->profile, command,
                              [self = this->shared_from_this(), server, sent_at = this->Now(),
                               number = this->active->number, attempt = ++this->active->attempt](
                                  const std::optional<StatementResult>& result) {
                                --server->outstanding;
                                if (result) {
                                  self->relay.MarkAnswered(*server, sent_at);
                                }
                                // The end of an earlier attempt's connection is reported while a
                                // later one is in progress.
                                if (self->active && self->active->number == number &&
                                    self->active->attempt == attempt && self->active->sent) {
                                  self->OnResult(result);
                                }
                              });
}

}  // namespace sycamoredrum
