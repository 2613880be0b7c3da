#include "session_organisation.h"

#include <algorithm>
#include <utility>

#include "caller_session.h"
#include "sycamoredrum/organisation_directory.h"

// The organisation of a caller's session: what happens to the session when a new configuration
// changes it, and the admission of the session's operations.

namespace sycamoredrum {
namespace {

constexpr const char* kUnknownKey = "the key is missing or not known";
constexpr const char* kMovedKey = "the key was moved to another organisation";

}  // namespace

SessionIdentity IdentifyCaller(const RelayConfiguration& configuration, const std::string& route,
                               const std::string& key) {
  SessionIdentity identity;
  if (!configuration.organisations) {
    return identity;
  }
  if (const Organisation* organisation = configuration.organisations->FindByKey(key)) {
    identity.organisation = organisation->name;
    identity.incarnation = organisation->incarnation;
    identity.weight = QueueWeight(organisation->priority);
    return identity;
  }
  const auto found = configuration.routes.find(route);
  identity.authenticated = found == configuration.routes.end() || found->second.is_public;
  return identity;
}

SessionIdentity IdentifyOrganisation(const RelayConfiguration& configuration,
                                     const std::string& organisation) {
  SessionIdentity identity;
  identity.organisation = organisation;
  const Organisation* known =
      configuration.organisations ? configuration.organisations->FindByName(organisation) : nullptr;
  if (known != nullptr) {
    identity.incarnation = known->incarnation;
    identity.weight = QueueWeight(known->priority);
  }
  return identity;
}

int QueueWeight(int priority) {
  constexpr int kWeights[] = {8, 4, 1};
  constexpr int kLowest = 2;
  return kWeights[std::clamp(priority, 0, kLowest)];
}

StatementError UnauthenticatedError() {
  return StatementError{StatementErrorCode::kUnauthenticated, kUnknownKey};
}

// Pools are told first: a session that starts again for a new organisation of the same name must
// not get a connection of the former one.
void SessionRelay::Impl::ApplyOrganisations(const OrganisationDirectory* previous) {
  const OrganisationDirectory* present = this->configuration->organisations.get();
  if (previous == nullptr && present == nullptr) {
    return;
  }
  for (const std::string& name : EndedOrganisations(previous, present)) {
    for (const auto& [id, server] : this->servers) {
      server->pool->RetireOrganisation(name);
    }
  }
  this->ForEachSession([](const RelayCallerSession&) { return true; },
                       [](RelayCallerSession& session) { session.UpdateIdentity(); });
}

bool RelayCallerSession::UpdateIdentity() {
  if (this->origin) {
    // The relay with the caller's session ends it if the key has changed.
    return false;
  }
  if (this->active && this->active->sent) {
    this->identity_outdated = true;
    return false;
  }
  this->identity_outdated = false;
  const SessionIdentity previous = std::exchange(
      this->identity, IdentifyCaller(*this->relay.configuration, this->route_name, this->key));
  if (this->identity.SameOwner(previous)) {
    return false;
  }
  if (this->active) {
    this->RestartForIdentity();
    return true;
  }
  if (this->transaction == TransactionState::kOpen) {
    this->AbortTransaction(this->identity.authenticated ? kMovedKey : kUnknownKey);
    this->abort_unreported = true;
  }
  if (!this->identity.authenticated) {
    this->ScheduleClose();
  }
  return false;
}

void RelayCallerSession::RestartForIdentity() {
  const bool began = this->held && this->held->began;
  this->RollBackAndRelease();
  if (this->identity.authenticated && !began) {
    // The new number makes answers to the former wait void.
    this->active->number = this->next_statement_number++;
    this->active->tries = 0;
    this->active->tried.clear();
    this->active->suspended = false;
    this->ArmStatementTimeout();
    this->Admit();
    return;
  }
  if (this->transaction == TransactionState::kOpen) {
    this->FailTransaction();
    this->abort_reason = this->identity.authenticated ? kMovedKey : kUnknownKey;
  }
  if (this->identity.authenticated) {
    this->Fail(StatementErrorCode::kAborted, kMovedKey);
    return;
  }
  this->Fail(StatementErrorCode::kUnauthenticated, kUnknownKey);
  this->CloseIfUnauthenticated();
}

bool RelayCallerSession::RefuseForIdentity(const Statement& statement) {
  if (this->identity_outdated) {
    this->UpdateIdentity();
  }
  const bool report_abort = std::exchange(this->abort_unreported, false);
  if (!this->identity.authenticated) {
    this->ReplyError(StatementErrorCode::kUnauthenticated, kUnknownKey);
    this->CloseIfUnauthenticated();
    return true;
  }
  // The end of a failed transaction has an answer of its own.
  if (report_abort && this->transaction == TransactionState::kFailed &&
      statement.kind != StatementKind::kCommit && statement.kind != StatementKind::kRollback) {
    this->ReplyError(StatementErrorCode::kAborted, this->abort_reason);
    return true;
  }
  return false;
}

void RelayCallerSession::UpdateIdentityAfterReply() {
  if (!this->identity_outdated) {
    return;
  }
  this->UpdateIdentity();
  if (this->transaction == TransactionState::kNone) {
    this->CloseIfUnauthenticated();
  }
}

// Sessions without a transaction are closed at different times, so that their callers do not all
// come back at once. Callers in a transaction expect an answer to their next statement; they have
// as long for it as a transaction may be idle.
void RelayCallerSession::ScheduleClose() {
  constexpr Duration kSpread = std::chrono::milliseconds(500);
  Duration delay = this->relay.configuration->transaction_idle_timeout;
  if (this->transaction == TransactionState::kNone) {
    delay = Duration(static_cast<Duration::rep>(this->relay.random() %
                                                static_cast<std::uint64_t>(kSpread.count())));
  } else if (delay <= Duration::zero()) {
    return;
  }
  this->relay.scheduler.RunAfter(delay,
                                 [weak = this->weak_from_this(), relay_alive = this->relay_alive] {
                                   const auto self = weak.lock();
                                   if (self && !relay_alive.expired()) {
                                     self->CloseIfUnauthenticated();
                                   }
                                 });
}

void RelayCallerSession::CloseIfUnauthenticated() {
  const bool finished = !this->active && this->queue.empty();
  if (this->identity.authenticated || !finished || this->caller_disconnected ||
      std::exchange(this->closing, true)) {
    return;
  }
  this->hooks.close();
}

bool RelayCallerSession::NeedsAdmission() const {
  return this->relay.hooks.admit && !this->origin && !this->identity.organisation.empty();
}

void RelayCallerSession::Admit() {
  if (!this->NeedsAdmission()) {
    this->StartAdmitted();
    return;
  }
  const TimePoint deadline =
      std::min(this->active->arrived + this->MaxWait(), this->active->deadline);
  this->relay.hooks.admit(
      this->identity.organisation, deadline,
      [weak = this->weak_from_this(), relay_alive = this->relay_alive,
       number = this->active->number](const AdmissionVerdict& verdict) {
        const auto self = weak.lock();
        if (self && !relay_alive.expired() && self->active && self->active->number == number) {
          self->OnAdmission(verdict);
        }
      });
}

void RelayCallerSession::OnAdmission(const AdmissionVerdict& verdict) {
  if (!verdict.admitted) {
    this->active->rate_limited = true;
    this->Refuse("the rate limit of the organisation is reached", verdict.retry_after);
    return;
  }
  this->StartAdmitted();
}

void RelayCallerSession::StartAdmitted() {
  const StatementKind kind = this->active->statement.kind;
  if (kind == StatementKind::kBegin || kind == StatementKind::kBeginReadOnly) {
    this->OpenTransaction(kind);
  } else {
    this->Dispatch();
  }
}

bool RelayCallerSession::HoldsOwnConnection() const {
  const RelayServer* server = this->relay.FindServer(this->held->server);
  if (server == nullptr) {
    return true;
  }
  const auto found = server->sessions.find(this->held->lease.connection);
  if (found == server->sessions.end() ||
      found->second->Organisation() == this->identity.organisation) {
    return true;
  }
  this->relay.logger.Error("connection_of_other_organisation",
                           {{"server", this->held->server},
                            {"connection_of", found->second->Organisation()},
                            {"session_of", this->identity.organisation}});
  return false;
}

}  // namespace sycamoredrum
