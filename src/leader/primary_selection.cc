#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

#include "sycamoredrum/primary_authority.h"

// The choice of a successor: probes of the candidates, and what is known of confirmed commits.

namespace sycamoredrum {

void PrimaryAuthority::BeginSelection(const std::string& name, Database& database) {
  std::set<std::string> replicas;
  for (const BackendServerRecord* server : this->ServersOf(name)) {
    if (server->id != database.old_server) {
      replicas.insert(server->id);
    }
  }
  database.successors.Begin(std::move(replicas), this->clock.Now());
  database.replacement = ++this->last_replacement;
}

// Requests the end of the log from the servers of the database, also from the old primary, unless
// it is still in use. Answers that arrive during the revocations are kept for the selection.
void PrimaryAuthority::ProbeCandidates(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const std::uint64_t step = database.step;
  for (const BackendServerRecord* server : this->ServersOf(name)) {
    const bool in_use = server->id == database.old_server && database.phase == Phase::kServing;
    if (in_use || !database.successors.ProbeDue(server->id, database.planned, now)) {
      continue;
    }
    database.successors.ProbeSent(server->id, now);
    this->hooks.probe(*server, SuccessorSelection::kStatusTimeout,
                      [this, name, id = server->id, replacement = database.replacement, sent = now,
                       weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
                        if (!weak.expired()) {
                          this->OnCandidate(name, replacement, id, probe, sent);
                        }
                      });
    if (database.step != step) {
      return;
    }
  }
}

void PrimaryAuthority::OnCandidate(const std::string& name, std::uint64_t replacement,
                                   const std::string& server, const BackendProbe& probe,
                                   TimePoint sent) {
  const auto found = this->databases.find(name);
  if (found == this->databases.end() || found->second.replacement != replacement) {
    return;
  }
  Database& database = found->second;
  database.ObserveTerm(probe);
  database.successors.ProbeDone(server, probe, sent);
  if (database.phase == Phase::kSelect && this->epoch != 0 && this->hooks.leading()) {
    this->Select(name, database);
  }
}

std::vector<SuccessorCandidate> PrimaryAuthority::Candidates(const std::string& name,
                                                             const Database& database) const {
  // A draining replica counts as a synchronous one until it ends, so it may be the only one with
  // the last commits. The others receive them from it, and one of them takes over.
  const bool draining_eligible = !database.planned && this->SynchronousReplicas(name) > 0;
  std::vector<SuccessorCandidate> result;
  for (const BackendServerRecord* server : this->ServersOf(name)) {
    const bool ready = server->state == BackendServerState::kReady;
    const bool eligible =
        (ready || draining_eligible) && database.failed_targets.count(server->id) == 0;
    result.push_back(SuccessorCandidate{server->id, eligible, ready,
                                        this->CountMembersUnableToReach(server->id)});
  }
  return result;
}

int PrimaryAuthority::SynchronousReplicas(const std::string& name) const {
  const auto found = this->synchronous_replicas.find(name);
  return found == this->synchronous_replicas.end() ? 0 : found->second;
}

SuccessorRequirements PrimaryAuthority::Requirements(const std::string& name,
                                                     const Database& database) const {
  SuccessorRequirements result;
  result.old_primary = database.old_server;
  result.known_term = database.known_term;
  result.synchronous_replicas = this->SynchronousReplicas(name);
  result.final_end = database.final_position;
  if (const std::optional<PositionObservation>& floor = database.floor) {
    result.floor = floor->position;
    result.confirmed_end =
        std::max(floor->position, database.final_confirmed.value_or(LogPosition{}));
    result.confirmed_end_complete = floor->as_of >= this->unreported_until;
  }
  result.planned = database.planned;
  if (result.synchronous_replicas == 0) {
    result.history = database.record.history;
  }
  return result;
}

void PrimaryAuthority::Select(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const std::optional<SuccessorChoice> choice = database.successors.Choose(
      this->Requirements(name, database), this->Candidates(name, database), now);
  if (choice) {
    this->Choose(name, database, *choice);
    return;
  }
  const Duration elapsed = now - database.phase_started;
  if (database.planned && elapsed > kCatchUpLimit) {
    this->GiveUpHandOver(name, database);
    return;
  }
  if (!database.planned && this->OldPrimaryLeads(database)) {
    this->ResumeOldPrimary(name, database);
    return;
  }
  if (elapsed > SuccessorSelection::kAsynchronousLimit) {
    database.failed_targets.clear();
  }
  this->ProbeCandidates(name, database);
}

// True if the old primary, which had failed, answers again with its whole log, and no other server
// leads.
bool PrimaryAuthority::OldPrimaryLeads(const Database& database) const {
  const BackendServerRecord* server = this->Find(database.old_server);
  const std::optional<BackendProbe> answer = database.successors.FinalAnswer(database.old_server);
  if (server == nullptr || server->state != BackendServerState::kReady || !answer) {
    return false;
  }
  const LogPosition floor = database.floor ? database.floor->position : LogPosition{};
  const LogPosition known_end = std::max(database.final_position.value_or(LogPosition{}), floor);
  return answer->role == Role::kPrimary && answer->term >= database.known_term &&
         answer->received >= known_end && database.successors.Answer(database.old_server);
}

void PrimaryAuthority::Choose(const std::string& name, Database& database,
                              const SuccessorChoice& choice) {
  const BackendProbe probe = database.successors.Answer(choice.server).value_or(BackendProbe{});
  this->logger.Info(
      "primary_chosen",
      {{"database", name},
       {"server", choice.server},
       {"basis", std::string(ToString(choice.basis))},
       {"elapsed_ms", LogMilliseconds(this->clock.Now() - database.phase_started)},
       {"servers", database.successors.Describe(database.record.history)},
       {"position", probe.received.ToString()},
       {"final_position",
        database.final_position ? database.final_position->ToString() : "unknown"},
       {"newest_observed", database.newest ? database.newest->position.ToString() : "unknown"}});
  database.target = choice.server;
  database.target_end = probe.received;
  database.claimed_term =
      probe.role == Role::kPrimary ? std::optional<std::uint64_t>(probe.term) : std::nullopt;
  this->Enter(name, database, Phase::kRecord);
  this->StoreRecord(name, database);
}

}  // namespace sycamoredrum
