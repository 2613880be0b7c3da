#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "log_history.h"
#include "sycamoredrum/primary_authority.h"

namespace sycamoredrum {

// Called when an earlier leader revoked the generation but did not finish the replacement. The
// server stays the primary, under a new generation that members accept.
void PrimaryAuthority::RenewGeneration(const std::string& name, Database& database) {
  database.target = database.record.server;
  database.target_end = {};
  database.target_leads = true;
  this->CommitsUnreportedBy(this->holders.HoldersAt(this->clock.Now()));
  this->Enter(name, database, Phase::kRecord);
  this->StoreRecord(name, database);
}

void PrimaryAuthority::Replace(const std::string& name, Database& database, bool planned,
                               const std::string& reason) {
  this->logger.Info("primary_replacement",
                    {{"database", name},
                     {"server", database.record.server},
                     {"generation", absl::StrCat(database.record.generation)},
                     {"planned", planned ? "true" : "false"},
                     {"reason", reason},
                     {"silence_ms", LogMilliseconds(this->clock.Now() - database.last_answer)}});
  database.planned = planned;
  database.resume_promotion = false;
  database.claimed_term.reset();
  database.other_promoted = false;
  database.old_server = database.record.server;
  database.final_position.reset();
  database.final_confirmed.reset();
  this->BeginSelection(name, database);
  this->Enter(name, database, Phase::kRevoke);
  this->AwaitAllHolders(database);
  this->SendRevocations(name, database);
  if (!planned) {
    this->ProbeCandidates(name, database);
  }
}

// Members without a grant are asked as well; a planned change needs the newest position that they
// know.
void PrimaryAuthority::AwaitAllHolders(Database& database) const {
  database.awaiting = this->holders.HoldersAt(this->clock.Now());
  for (const auto& [member, state] : this->members) {
    database.awaiting.insert(member);
  }
}

// Called repeatedly until every member has acknowledged or its grants have expired; a member that
// restarts acknowledges a later request.
void PrimaryAuthority::SendRevocations(const std::string& name, Database& database) {
  const std::uint64_t generation = this->NextGeneration(database) - 1;
  database.next_call = this->clock.Now() + 2 * kProbeInterval;
  const std::set<std::string> targets = database.awaiting;
  for (const std::string& member : targets) {
    this->hooks.revoke(member, this->epoch, name, generation, database.planned,
                       [this, name, member, step = database.step,
                        weak = std::weak_ptr<bool>(this->alive)](const RevocationReply& reply) {
                         if (!weak.expired()) {
                           this->OnRevocation(name, step, member, reply);
                         }
                       });
  }
}

void PrimaryAuthority::OnRevocation(const std::string& name, std::uint64_t step,
                                    const std::string& member, const RevocationReply& reply) {
  Database* database = this->DatabaseAtStep(name, step);
  if (database == nullptr || !reply.acknowledged) {
    return;
  }
  database->awaiting.erase(member);
  // A member that has observed nothing since the last promotion may know a position from before it
  // that is in no log any more.
  const TermHistory& history = database->record.history;
  if (reply.newest && !HasRolledBackEntries(history, *reply.newest)) {
    database->final_position =
        std::max(database->final_position.value_or(LogPosition{}), *reply.newest);
  }
  if (reply.confirmed && !HasRolledBackEntries(history, *reply.confirmed)) {
    database->final_confirmed =
        std::max(database->final_confirmed.value_or(LogPosition{}), *reply.confirmed);
  }
  const bool held = this->holders.End(member) != TimePoint::min();
  if (held && reply.registration != this->holders.Registration(member)) {
    // Another process than the one that held the grant; it does not know that one's commits.
    this->CommitsUnreported(this->clock.Now());
  }
  this->CheckRevocations(name, *database);
}

void PrimaryAuthority::CommitsUnreported(TimePoint until) {
  this->unreported_until = std::max(this->unreported_until, until);
}

// Such a member may confirm commits under its present grant and forgets them with the next one.
void PrimaryAuthority::CommitsUnreportedBy(const std::set<std::string>& members_with_grants) {
  for (const std::string& member : members_with_grants) {
    this->CommitsUnreported(this->holders.End(member));
  }
}

void PrimaryAuthority::CheckRevocations(const std::string& name, Database& database) {
  if (database.phase != Phase::kRevoke) {
    return;
  }
  const TimePoint now = this->clock.Now();
  for (auto member = database.awaiting.begin(); member != database.awaiting.end();) {
    const bool expired = now >= this->holders.End(*member);
    if (expired) {
      this->CommitsUnreported(this->holders.End(*member));
    }
    member = expired ? database.awaiting.erase(member) : std::next(member);
  }
  // A member whose registration the store has lost is not asked, but its grant still ends.
  if (!database.awaiting.empty() || now < this->lost_grants_end) {
    if (database.planned && now - database.phase_started > kPlannedRevocationLimit) {
      this->GiveUpHandOver(name, database);
    } else if (now >= database.next_call) {
      this->SendRevocations(name, database);
    }
    return;
  }
  if (std::exchange(database.resume_promotion, false)) {
    this->Enter(name, database, Phase::kRecord);
    this->StoreRecord(name, database);
    return;
  }
  this->Enter(name, database, Phase::kSelect);
  database.successors.GrantsEnded(now);
  if (database.planned) {
    // Answers of the candidates from before the last commit are out of date.
    database.successors.Forget();
  }
  this->Select(name, database);
}

void PrimaryAuthority::GiveUpHandOver(const std::string& name, Database& database) {
  this->logger.Warning("hand_over_given_up",
                       {{"database", name}, {"server", database.record.server}});
  this->ResumeOldPrimary(name, database);
}

// Members may have acknowledged the revocation of the generation, so the grants resume under a new
// one.
void PrimaryAuthority::ResumeOldPrimary(const std::string& name, Database& database) {
  database.hand_over_not_before = this->clock.Now() + kHandOverPause;
  database.target = database.old_server;
  database.target_end = {};
  if (database.other_promoted) {
    // It may lead only in a term after that of the other server, which would replace it otherwise.
    const std::optional<BackendProbe> answer = database.successors.Answer(database.old_server);
    database.claimed_term = answer ? std::optional(answer->term) : std::nullopt;
  }
  this->CommitsUnreportedBy(database.awaiting);
  this->Enter(name, database, Phase::kRecord);
  this->StoreRecord(name, database);
}

// Stores a record with the next generation. A server that already leads may serve at once; a chosen
// successor must be promoted first.
void PrimaryAuthority::StoreRecord(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (database.call_in_flight || now < database.next_call) {
    return;
  }
  database.call_in_flight = true;
  const PrimaryRecord record{database.target,         this->NextGeneration(database),
                             database.target_leads,   database.known_term,
                             EraOf(this->epoch),      this->Settled(),
                             database.record.history, database.target_end};
  this->hooks.store_record(
      name, record, database.record_revision,
      [this, name, record, step = database.step, weak = std::weak_ptr<bool>(this->alive)](
          PlatformStatus status, std::uint64_t revision) {
        Database* current = weak.expired() ? nullptr : this->DatabaseAtStep(name, step);
        if (current != nullptr) {
          this->OnRecordStored(name, *current, record, status, revision);
        }
      });
}

void PrimaryAuthority::OnRecordStored(const std::string& name, Database& database,
                                      const PrimaryRecord& record, PlatformStatus status,
                                      std::uint64_t revision) {
  database.call_in_flight = false;
  if (status != PlatformStatus::kOk) {
    if (status == PlatformStatus::kConflict && revision > 0) {
      // Only the leader writes the record, so an earlier write of this process took effect although
      // its answer was lost.
      database.record_revision = revision;
    }
    this->logger.Warning("primary_record_failed",
                         {{"database", name},
                          {"server", record.server},
                          {"generation", absl::StrCat(record.generation)}});
    database.next_call = this->clock.Now() + kProbeInterval;
    return;
  }
  database.record = record;
  database.record_revision = revision;
  database.serving_stored = record.serving;
  database.record_lost = false;
  database.newest.reset();
  if (std::exchange(database.target_leads, false)) {
    // The same log goes on, but members report only commits of the new generation.
    this->CommitsUnreported(this->clock.Now());
    this->Enter(name, database, Phase::kServing);
    this->hooks.nudge();
    return;
  }
  this->Enter(name, database, Phase::kPromote);
  this->Promote(name, database);
}

// Saves a later leader a pause of the database: if it finds the record serving, it does not repeat
// the promotion, and if it finds it in the present era, it does not ask the servers.
void PrimaryAuthority::StoreServing(const std::string& name, Database& database) {
  database.next_refresh = this->clock.Now() + kRecordRefreshInterval;
  PrimaryRecord record = database.record;
  record.era = EraOf(this->epoch);
  record.settled = this->Settled();
  this->hooks.store_record(
      name, record, database.record_revision,
      [this, name, record, weak = std::weak_ptr<bool>(this->alive)](PlatformStatus status,
                                                                    std::uint64_t revision) {
        if (weak.expired()) {
          return;
        }
        const auto found = this->databases.find(name);
        const bool current =
            found != this->databases.end() && found->second.record.generation == record.generation;
        if (current && status == PlatformStatus::kOk) {
          found->second.record_revision = revision;
          found->second.serving_stored = true;
          found->second.record.era = record.era;
          found->second.record.settled = record.settled;
        } else if (current && status == PlatformStatus::kConflict && revision > 0) {
          found->second.record_revision = revision;
        }
      });
}

void PrimaryAuthority::RefreshRecord(const std::string& name, Database& database) {
  const bool current = database.serving_stored && database.record.era == EraOf(this->epoch) &&
                       database.record.settled == this->Settled();
  if (!current && this->clock.Now() >= database.next_refresh) {
    this->StoreServing(name, database);
  }
}

std::uint64_t PrimaryAuthority::NextGeneration(const Database& database) const {
  return std::max({database.record.generation + 1, database.known_generation + 1,
                   EraOf(this->epoch) << kGenerationBits});
}

void PrimaryAuthority::Promote(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (database.call_in_flight || now < database.next_call) {
    return;
  }
  database.call_in_flight = true;
  ++this->promotions_in_flight;
  this->hooks.promote(name, database.target, this->epoch,
                      [this, name, step = database.step,
                       weak = std::weak_ptr<bool>(this->alive)](PromoteOutcome outcome) {
                        if (weak.expired()) {
                          return;
                        }
                        --this->promotions_in_flight;
                        if (Database* current = this->DatabaseAtStep(name, step)) {
                          current->call_in_flight = false;
                          this->OnPromote(name, *current, outcome);
                        }
                      });
}

void PrimaryAuthority::OnPromote(const std::string& name, Database& database,
                                 PromoteOutcome outcome) {
  const bool may_have_happened =
      outcome == PromoteOutcome::kAccepted || outcome == PromoteOutcome::kUnknown;
  if (may_have_happened && database.target != database.old_server) {
    database.other_promoted = true;
  }
  switch (outcome) {
    case PromoteOutcome::kAccepted:
      this->Enter(name, database, Phase::kConfirm);
      this->Confirm(name, database);
      return;
    case PromoteOutcome::kNotRunning:
      this->RejectTarget(name, database);
      return;
    case PromoteOutcome::kNotDone:
    case PromoteOutcome::kUnknown:
      // The promotion of the same server is requested again, because the first call may still take
      // effect.
      database.next_call = this->clock.Now() + kProbeInterval;
      return;
  }
}

// Chooses another server, because the target has failed.
void PrimaryAuthority::RejectTarget(const std::string& name, Database& database) {
  // After a hand-over that was given up, some members may still use the target.
  database.failed_targets.insert(database.target);
  database.successors.Forget();
  database.planned = false;
  this->Enter(name, database, Phase::kRevoke);
  this->SendRevocations(name, database);
  this->ProbeCandidates(name, database);
  this->CheckRevocations(name, database);
}

void PrimaryAuthority::Confirm(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (now - database.phase_started > kConfirmationLimit && !database.target_answered) {
    this->logger.Warning("promoted_server_silent",
                         {{"database", name}, {"server", database.target}});
    this->RejectTarget(name, database);
    return;
  }
  if (now - database.phase_started > kConfirmationLimit) {
    // The platform may leave the present primary as it is.
    database.claimed_term.reset();
    this->Enter(name, database, Phase::kPromote);
    return;
  }
  if (database.call_in_flight || now < database.next_call) {
    return;
  }
  const BackendServerRecord* server = this->Find(database.target);
  if (server == nullptr) {
    return;
  }
  database.call_in_flight = true;
  this->hooks.probe(*server, kStatusTimeout,
                    [this, name, step = database.step, sent = now,
                     weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
                      Database* current =
                          weak.expired() ? nullptr : this->DatabaseAtStep(name, step);
                      if (current != nullptr) {
                        current->call_in_flight = false;
                        this->OnConfirm(name, *current, probe, sent);
                      }
                    });
}

void PrimaryAuthority::OnConfirm(const std::string& name, Database& database,
                                 const BackendProbe& probe, TimePoint sent) {
  database.ObserveTerm(probe);
  database.target_answered = database.target_answered || probe.outcome == ProbeOutcome::kAnswered ||
                             probe.outcome == ProbeOutcome::kBusy;
  const bool not_promoted_yet = database.claimed_term && probe.term <= *database.claimed_term;
  if (probe.outcome != ProbeOutcome::kAnswered || probe.role != Role::kPrimary ||
      probe.term < database.known_term || not_promoted_yet) {
    database.next_call = this->clock.Now() + kProbeInterval / 5;
    return;
  }
  const BackendServerRecord* old_server = this->Find(database.old_server);
  if (old_server != nullptr && old_server->id != database.target) {
    this->hooks.demote(*old_server, probe.term);
  }
  this->logger.Info("primary_confirmed", {{"database", name},
                                          {"server", database.target},
                                          {"term", absl::StrCat(probe.term)},
                                          {"position", probe.received.ToString()}});
  database.record.serving = true;
  database.record.term = probe.term;
  // Its log ends where its term begins, unless an earlier leader has granted it in this term.
  const bool granted_before = probe.received.term >= probe.term;
  if (!granted_before || database.record.end != LogPosition()) {
    database.record.history = AfterPromotion(database.record.history, probe.term,
                                             granted_before ? database.record.end : probe.received);
  }
  database.record.end = {};
  database.floor.reset();
  database.ObserveNewest(PositionObservation{probe.received, sent}, this->unreported_until);
  const bool draining = this->draining_since.count(database.target) != 0;
  database.hand_over_not_before =
      this->clock.Now() + (draining ? Duration::zero() : kHandOverPause);
  this->Enter(name, database, Phase::kServing);
  this->StoreServing(name, database);
  if (draining) {
    // If it must not be used any more, it is replaced before it is granted.
    this->CheckPrimary(name, database);
  }
  if (database.phase == Phase::kServing) {
    this->hooks.nudge();
  }
}

}  // namespace sycamoredrum
