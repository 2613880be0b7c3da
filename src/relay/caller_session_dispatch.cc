#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "caller_session.h"

namespace sycamoredrum {
namespace {

// A statement that has waited for a new primary may wait this part of its latency objective for a
// connection, even if its share is used up.
constexpr double kWaitShareAfterFailover = 0.25;

// Part of its latency objective that a statement waits at a process that is cut off. Callers try
// only a few times, so a refusal without any wait would use up their attempts while other processes
// are cut off as well; with it, another process can still answer within the objective.
constexpr double kCutOffWaitShare = 0.25;

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

}  // namespace

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
    this->Refuse(absl::StrCat("too many attempts, the last one: ", this->attempt->last_problem),
                 kBusyRetryDelay);
    return;
  }
  const std::optional<PrimaryGrant> grant = this->relay.grants.Current(this->route.database);
  if (!this->attempt->needs_primary && !this->RequiredPosition()) {
    // Nothing recent enough is known of the log.
    if (!grant || this->WaitsForPosition(*grant)) {
      this->WaitForPrimary();
      return;
    }
    this->attempt->needs_primary = true;
  }
  if (this->attempt->needs_primary) {
    // The record of a granted primary can be missing, for example after an outage of the store.
    if (!grant || this->relay.FindServer(grant->server) == nullptr) {
      this->WaitForPrimary();
    } else {
      this->Acquire(grant->server, grant);
    }
    return;
  }
  const std::optional<std::string> server =
      this->relay.PlaceReadOn(this->route.database, this->attempt->tried);
  if (!server) {
    this->attempt->tried.clear();
    if (this->Now() < this->attempt->arrived + this->MaxWait()) {
      // A server that is busy or a moment behind is worth the wait.
      --this->attempt->tries;
    }
    this->RetryLater(kBusyRetryDelay, "no server is usable");
    return;
  }
  const bool at_primary = grant && grant->server == *server;
  this->Acquire(*server, at_primary ? grant : std::nullopt);
}

void RelayCallerSession::GiveUpIfCutOff() {
  if (this->attempt->waiting && this->relay.cut_off &&
      !this->relay.grants.Current(this->route.database)) {
    this->Refuse("this process is cut off from the leader and the store", kCutOffRetryDelay);
  }
}

// The answer to one question lets all waiting reads use replicas.
// Load patterns: all processes restart, and every read of the first second goes to the primary; the
// leader is gone, and no process hears of positions.
bool RelayCallerSession::WaitsForPosition(const PrimaryGrant& grant) {
  if (this->Now() - this->attempt->arrived >= SessionRelay::kPositionWait) {
    return false;
  }
  this->relay.AskPosition(this->route.database, grant);
  return true;
}

// A statement that the successor of a lost primary can still serve in time is worth the wait; the
// caller's repetitions would meet the same gap.
void RelayCallerSession::WaitForPrimary() {
  if (this->relay.cut_off) {
    this->Later(this->attempt->arrived + Share(this->route.latency_objective, kCutOffWaitShare) -
                    this->Now(),
                [this] { this->GiveUpIfCutOff(); });
  }
  --this->attempt->tries;
  this->attempt->waiting = true;
  this->relay.databases[this->route.database].waiting.push_back(this->weak_from_this());
}

Duration RelayCallerSession::MaxWait() const {
  return Share(this->route.latency_objective, SessionRelay::kMaxWaitShare);
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
  const TimePoint wait_until =
      std::max(this->attempt->arrived + this->MaxWait(),
               now + Share(this->route.latency_objective, kWaitShareAfterFailover));
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
      ++server->leases;
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
          self->OnRefusedByServer(*result);
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
  const std::shared_ptr<RelayServer> server = this->relay.servers.at(this->held->server);
  if (!this->held->began && this->Now() + server->response_time >= this->attempt->deadline) {
    // It would only be broken off while it runs.
    this->Refuse("too little time is left", kBusyRetryDelay);
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

}  // namespace sycamoredrum
