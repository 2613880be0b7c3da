#include <algorithm>
#include <utility>

#include "caller_session.h"

// Statements that run at the relay that holds the connections to a backend server, and those that
// this relay runs for another one.

namespace sycamoredrum {

std::size_t RelayCallerSession::ForwardedBytes() const {
  std::size_t bytes = this->active->statement.text.size();
  for (const auto& [name, value] : this->profile.variables) {
    bytes += name.size() + value.size();
  }
  const auto prepared = this->profile.prepared.find(this->active->statement.name);
  if (prepared != this->profile.prepared.end()) {
    bytes += prepared->second.prepared_text.size();
  }
  return bytes;
}

bool RelayCallerSession::MayForward() const {
  const auto cap = this->relay.configuration->connection_caps.find(this->route.database);
  return !this->origin && !this->active->own_connection &&
         this->ForwardedBytes() <= StatementForwarder::kMaxMessageBytes &&
         cap != this->relay.configuration->connection_caps.end() &&
         this->relay.forwarder.Applies(cap->second, this->relay.fleet_size);
}

// The position queries of all relays would open as many connections to the primary, just when the
// positions are missing after a fault.
bool RelayCallerSession::HolderChecksPosition() const {
  return this->MayForward() && !this->relay.forwarder.IsHolder(this->relay.options.data_centre);
}

bool RelayCallerSession::ForwardToHolder(const RelayServer& server) {
  if (!this->MayForward() ||
      this->active->deadline - this->Now() <= StatementForwarder::kAnswerMargin) {
    return false;
  }
  std::optional<ConnectionHolder> holder;
  if (this->active->tried_holders.size() < StatementForwarder::kMaxHoldersTried) {
    holder = this->relay.forwarder.Choose(server.record, this->identity.organisation,
                                          this->active->tried_holders);
  }
  if (holder) {
    this->remote = RemoteSession{*holder, server.record.id, this->relay.forwarder.NextSession(), 1};
    this->SendToHolder();
    return true;
  }
  if (this->active->no_room_retry_after &&
      !this->relay.forwarder.IsHolder(server.record.data_centre)) {
    // Own connections of all relays would exceed the server's cap just when it is overloaded.
    this->Refuse("the holders of the server's connections have no room",
                 *this->active->no_room_retry_after);
    return true;
  }
  return false;
}

void RelayCallerSession::SendToHolder() {
  const Statement& statement = this->active->statement;
  const bool in_transaction = this->transaction == TransactionState::kOpen;
  const Duration time_left = this->active->deadline - this->Now();
  ForwardedStatement message;
  message.session = this->remote->session;
  message.number = this->remote->next_number++;
  if (in_transaction) {
    const ForwardedStart begin =
        this->read_only ? ForwardedStart::kBeginReadOnly : ForwardedStart::kBegin;
    message.start = message.number == 1 ? begin : ForwardedStart::kInTransaction;
  }
  message.route = this->route_name;
  message.organisation = this->identity.organisation;
  message.server = this->remote->server;
  message.statement.id = statement.id;
  message.statement.kind = statement.kind;
  message.statement.name = statement.name;
  message.statement.text = statement.text;
  message.variables = this->profile.variables;
  if (statement.kind == StatementKind::kExecute) {
    const PreparedStatement& prepared = this->profile.prepared.at(statement.name);
    message.prepared_text = prepared.prepared_text;
    message.prepared_writes = prepared.writes;
  }
  message.last_commit = this->last_commit_position;
  message.time_left = std::max<Duration>(time_left - StatementForwarder::kAnswerMargin,
                                         std::chrono::milliseconds(1));
  this->wrote = this->wrote || (in_transaction && this->Writes(statement));
  this->active->sent = true;
  this->active->sent_at = this->Now();
  this->active->server = this->remote->server;
  this->active->holder = this->remote->holder.member;
  this->active->grant.reset();
  std::shared_ptr<RelayServer> server;
  if (const auto found = this->relay.servers.find(this->remote->server);
      found != this->relay.servers.end()) {
    server = found->second;
    ++server->forwarded;
  }
  this->relay.forwarder.Send(
      this->remote->holder, message, time_left,
      [self = this->shared_from_this(), number = this->active->number, session = message.session,
       server, sent_at = this->Now()](const ForwardAnswer& answer) {
        if (server != nullptr) {
          --server->forwarded;
          self->relay.MarkAnsweredByHolder(*server, sent_at, answer);
        }
        if (self->active && self->active->number == number && self->remote &&
            self->remote->session == session) {
          self->OnHolderAnswer(answer);
        }
      });
}

void RelayCallerSession::OnHolderAnswer(const ForwardAnswer& answer) {
  switch (answer.outcome) {
    case ForwardOutcome::kAnswered:
      this->OnHolderResult(answer.result);
      return;
    case ForwardOutcome::kNotRun:
    case ForwardOutcome::kNoRoom:
      this->OnNotRunByHolder(answer);
      return;
    case ForwardOutcome::kUnknown:
      this->OnHolderLost(answer.reason);
      return;
  }
}

void RelayCallerSession::OnNotRunByHolder(const ForwardAnswer& answer) {
  if (this->remote->next_number > 2) {
    // An earlier statement of the transaction has run there.
    this->AbortAtHolder(answer.reason);
    return;
  }
  this->active->sent = false;
  this->active->holder.clear();
  this->active->tried_holders.insert(this->remote->holder.member);
  if (answer.outcome == ForwardOutcome::kNoRoom) {
    this->active->no_room_retry_after = answer.retry_after;
  }
  this->remote.reset();
  --this->active->tries;
  this->RetryLater(Duration::zero(), answer.reason);
}

// The holder may have run the statement, may still run it, or never got it.
void RelayCallerSession::OnHolderLost(const std::string& reason) {
  const StatementKind kind = this->active->statement.kind;
  if (this->transaction == TransactionState::kOpen) {
    if (kind == StatementKind::kCommit && this->wrote) {
      this->EndRemoteSession();
      this->transaction = TransactionState::kNone;
      this->Fail(StatementErrorCode::kUnknownOutcome, "the holder's answer to the commit was lost");
      return;
    }
    this->AbortAtHolder(reason);
    return;
  }
  this->remote.reset();
  if (this->Writes(this->active->statement)) {
    this->Fail(StatementErrorCode::kUnknownOutcome, "the holder's answer to the write was lost");
    return;
  }
  this->active->sent = false;
  this->active->holder.clear();
  this->active->own_connection = true;
  this->RetryLater(Duration::zero(), reason);
}

// The commit was not sent, or has no effect, so that the holder rolls the transaction back: now or,
// if the message is lost, when the transaction is idle for too long.
void RelayCallerSession::AbortAtHolder(const std::string& reason) {
  const bool committing = this->active->statement.kind == StatementKind::kCommit;
  this->EndRemoteSession();
  this->transaction = committing ? TransactionState::kNone : TransactionState::kFailed;
  this->abort_reason = reason;
  this->Fail(StatementErrorCode::kAborted, reason);
}

void RelayCallerSession::OnHolderResult(const StatementResult& answer) {
  const bool committing = this->active->statement.kind == StatementKind::kCommit;
  const bool in_transaction = this->transaction == TransactionState::kOpen;
  const bool durable =
      committing ? this->wrote : !in_transaction && this->Writes(this->active->statement);
  if (!answer.error && durable && answer.position) {
    // The holder has checked that its grant for the primary was valid when the answer arrived.
    this->last_commit_position = answer.position;
  }
  if (!in_transaction || committing) {
    this->remote.reset();
    this->transaction = TransactionState::kNone;
  } else if (answer.state != TransactionState::kOpen) {
    // The holder has ended its session.
    this->remote.reset();
    this->FailTransaction();
    this->abort_reason = answer.error ? answer.error->message : "the holder ended it";
  }
  this->Reply(answer);
}

void RelayCallerSession::EndRemoteSession() {
  if (!this->remote) {
    return;
  }
  const RemoteSession ended = *std::exchange(this->remote, std::nullopt);
  if (this->transaction != TransactionState::kNone) {
    this->relay.forwarder.End(ended.holder, ended.session);
  }
}

void RelayCallerSession::CheckHolder(TimePoint now) {
  const std::string member = this->remote->holder.member;
  if (now - this->active->sent_at < SessionRelay::kReadRetryTimeout ||
      this->relay.forwarder.AnsweredSince(member, this->active->sent_at)) {
    return;
  }
  this->relay.forwarder.MarkUnresponsive(member);
  if (this->transaction == TransactionState::kNone && !this->Writes(this->active->statement)) {
    this->OnHolderLost("the holder does not respond");
  }
}

void RelayCallerSession::RunForwarded(const ForwardedStatement& message) {
  this->origin = ForwardedOrigin{message.server, message.time_left};
  this->identity = IdentifyOrganisation(*this->relay.configuration, message.organisation);
  this->profile.variables = message.variables;
  this->profile.prepared.clear();
  if (message.statement.kind == StatementKind::kExecute) {
    this->profile.prepared[message.statement.name] =
        PreparedStatement{message.prepared_text, message.prepared_writes};
  }
  this->last_commit_position = message.last_commit;
  if (message.start == ForwardedStart::kBegin || message.start == ForwardedStart::kBeginReadOnly) {
    this->route = this->relay.configuration->routes.at(this->route_name);
    this->transaction = TransactionState::kOpen;
    this->read_only = message.start == ForwardedStart::kBeginReadOnly;
    this->wrote = false;
  }
  this->Handle(message.statement);
}

Duration RelayCallerSession::TimeSpentBySender(Duration limit) const {
  return this->origin ? std::max<Duration>(limit - this->origin->time_left, Duration::zero())
                      : Duration::zero();
}

std::optional<std::string> RelayCallerSession::ServerOfSender() const {
  const RelayServer* server = this->origin ? this->relay.FindServer(this->origin->server) : nullptr;
  const TimePoint now = this->Now();
  const bool usable = server != nullptr && server->record.database == this->route.database &&
                      server->record.state == BackendServerState::kReady &&
                      this->active->tried.count(server->record.id) == 0 &&
                      server->behind_until <= now && server->busy_until <= now &&
                      server->unreachable_until <= now &&
                      server->failure_rate <= SessionRelay::kMaxFailureRate &&
                      !this->relay.Unresponsive(*server, SessionRelay::kUnresponsiveTimeout);
  return usable ? std::optional(server->record.id) : std::nullopt;
}

}  // namespace sycamoredrum
