#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "log_history.h"
#include "sycamoredrum/primary_authority.h"

namespace sycamoredrum {

void PrimaryAuthority::CheckPrimary(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const BackendServerRecord* primary = this->Find(database.record.server);
  if (primary == nullptr) {
    this->CheckMissingServerRecord(name, database);
    return;
  }
  database.server_record_missing_since.reset();
  const auto drain = this->draining_since.find(primary->id);
  const bool draining = drain != this->draining_since.end();
  const std::string failure = this->FailureReason(name, database);
  if (!failure.empty()) {
    if (this->MayRevoke()) {
      this->Replace(name, database, false, failure);
    }
    return;
  }
  const Duration drained = draining ? now - drain->second : Duration::zero();
  if (drained >= kStopUseAfter || (drained >= kForceHandOverAfter && this->MayRevoke())) {
    this->Replace(name, database, false, "the primary is draining and must not be used any more");
  } else if (draining || this->ShouldHandOver(database)) {
    this->ConsiderHandOver(
        name, database,
        draining ? "the primary is draining" : "some members cannot use the primary");
  }
}

// After an outage of the store it takes about 2 s until the records of running servers are written
// again.
void PrimaryAuthority::CheckMissingServerRecord(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (!database.server_record_missing_since) {
    database.server_record_missing_since = now;
  }
  if (now - *database.server_record_missing_since >= kServerRecordMissingLimit &&
      this->MayRevoke()) {
    this->Replace(name, database, false, "the record of the primary server is missing");
  }
}

// Probes the primary if a probe is due. Returns why it must be replaced, or an empty text if it
// appears to work.
std::string PrimaryAuthority::FailureReason(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const Duration silence = now - database.last_answer;
  const bool position_old = !database.newest || now - database.newest->as_of > kMaxPositionAge;
  if (silence <= kProbeAfterSilence && !database.suspected && !position_old) {
    return "";
  }
  // A member that cannot reach the primary reports it with each heartbeat. As long as the primary
  // answers the leader, it is probed at a longer interval.
  const bool urgent = silence > kProbeAfterSilence || database.refusals > 0;
  const Duration routine_interval = database.suspected ? kSuspectedProbeInterval : kMaxPositionAge;
  const Duration probe_interval = urgent ? kProbeInterval : routine_interval;
  if (now - database.last_probe >= probe_interval) {
    this->ProbePrimary(name, database);
  }
  const auto unanswered =
      std::count_if(database.unanswered_probes.begin(), database.unanswered_probes.end(),
                    [now](TimePoint sent) { return now - sent >= kProbeTimeout; });
  if (silence > kFailedAfterSilence && unanswered >= kUnansweredProbesUntilFailed) {
    return absl::StrCat("no answer for ", LogMilliseconds(silence), " ms");
  }
  return database.refusals >= kRefusalsUntilFailed ? "no server listens at the primary's address"
                                                   : "";
}

// No other server can lead while an unreachable member may still use the primary; earlier
// revocations would only stop the other members from using it.
bool PrimaryAuthority::MayRevoke() const {
  const TimePoint now = this->clock.Now();
  if (now + kRevocationLead < this->lost_grants_end) {
    return false;
  }
  const std::set<std::string> last_holders = this->holders.HoldersAt(now + kRevocationLead);
  return std::all_of(last_holders.begin(), last_holders.end(), [&](const std::string& name) {
    const auto member = this->members.find(name);
    return member != this->members.end() && member->second.heartbeat_received &&
           now - member->second.last_heartbeat < kMemberSilence;
  });
}

// A planned change stops all writes until it is done, so it starts only once a candidate has the
// whole log.
void PrimaryAuthority::ConsiderHandOver(const std::string& name, Database& database,
                                        const std::string& reason) {
  const TimePoint now = this->clock.Now();
  if (now < database.hand_over_not_before || !this->MayRevoke()) {
    return;
  }
  if (!database.successor_search_started) {
    database.successor_search_started = now;
    database.min_successor_position = database.newest ? database.newest->position : LogPosition{};
    database.old_server = database.record.server;
    this->BeginSelection(name, database);
    this->ProbeCandidates(name, database);
    return;
  }
  const auto candidates = this->ServersOf(name);
  const TermHistory history = this->Requirements(name, database).history;
  const bool ready =
      std::any_of(candidates.begin(), candidates.end(), [&](const BackendServerRecord* server) {
        const std::optional<BackendProbe> answer = database.successors.Answer(server->id);
        return server->state == BackendServerState::kReady && answer &&
               answer->received >= database.min_successor_position &&
               !HasRolledBackEntries(history, answer->received);
      });
  if (ready) {
    this->Replace(name, database, true, reason);
  } else if (now - *database.successor_search_started > kCandidateLimit) {
    this->logger.Info("hand_over_postponed",
                      {{"database", name},
                       {"reason", reason},
                       {"position", database.min_successor_position.ToString()}});
    database.successor_search_started.reset();
    database.hand_over_not_before = now + kSuccessorSearchPause;
  }
}

void PrimaryAuthority::ProbePrimary(const std::string& name, Database& database) {
  const BackendServerRecord* primary = this->Find(database.record.server);
  const TimePoint sent = this->clock.Now();
  database.last_probe = sent;
  database.unanswered_probes.push_back(sent);
  this->hooks.probe(
      *primary, kStatusTimeout,
      [this, name, step = database.step, sent,
       weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
        Database* current = weak.expired() ? nullptr : this->DatabaseAtStep(name, step);
        if (current == nullptr) {
          return;
        }
        current->ObserveTerm(probe);
        if (probe.outcome != ProbeOutcome::kNoAnswer) {
          current->unanswered_probes.clear();
        }
        switch (probe.outcome) {
          case ProbeOutcome::kAnswered:
            if (probe.role != Role::kPrimary) {
              this->Replace(name, *current, false, "the primary no longer leads");
              return;
            }
            current->refusals = 0;
            current->suspected = false;
            current->last_answer = std::max(current->last_answer, sent);
            // A smaller position means that the server restarted without its log.
            if (!current->newest ||
                (current->newest->as_of < sent && current->newest->position <= probe.received)) {
              current->ObserveNewest(PositionObservation{probe.received, sent},
                                     this->unreported_until);
            }
            return;
          case ProbeOutcome::kBusy:
            current->refusals = 0;
            current->suspected = false;
            current->last_answer = std::max(current->last_answer, sent);
            return;
          case ProbeOutcome::kNotListening:
            ++current->refusals;
            return;
          case ProbeOutcome::kNoAnswer:
            return;
        }
      });
}

std::size_t PrimaryAuthority::CountMembersUnableToReach(const std::string& server) const {
  const TimePoint now = this->clock.Now();
  return static_cast<std::size_t>(
      std::count_if(this->members.begin(), this->members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        return member.heartbeat_received && now - member.last_heartbeat < kMemberSilence &&
               member.report.unreachable.count(server) != 0;
      }));
}

bool PrimaryAuthority::ShouldHandOver(const Database& database) const {
  const std::size_t unable_to_reach = this->CountMembersUnableToReach(database.record.server);
  if (unable_to_reach == 0 || unable_to_reach * 100 < this->members.size() * kHandOverPercent) {
    return false;
  }
  const auto candidates = this->ServersOf(this->Find(database.record.server)->database);
  return std::any_of(candidates.begin(), candidates.end(), [&](const BackendServerRecord* server) {
    return server->id != database.record.server && server->state == BackendServerState::kReady &&
           this->CountMembersUnableToReach(server->id) < unable_to_reach;
  });
}

}  // namespace sycamoredrum
