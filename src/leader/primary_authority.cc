#include "sycamoredrum/primary_authority.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "sycamoredrum/connection_shares.h"

namespace sycamoredrum {
namespace {

std::string Milliseconds(Duration duration) {
  return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

PrimaryAuthority::PrimaryAuthority(PrimaryAuthorityHooks hooks, Duration predecessor_lease,
                                   const Clock& clock, Scheduler& scheduler, Logger& logger)
    : hooks(std::move(hooks)),
      predecessor_lease(predecessor_lease),
      clock(clock),
      scheduler(scheduler),
      logger(logger),
      began(clock.Now()) {}

void PrimaryAuthority::Begin(std::uint64_t new_epoch, std::map<std::string, PrimaryRecord> records,
                             std::map<std::string, std::uint64_t> revisions,
                             const std::set<std::string>& names) {
  this->epoch = new_epoch;
  this->began = this->clock.Now();
  this->members.clear();
  this->databases.clear();
  this->SetMembers(names);
  for (auto& [name, record] : records) {
    Database& database = this->databases[name];
    database.record = record;
    database.record_revision = revisions[name];
  }
  this->SetDatabases(this->connection_caps);
  for (auto& [name, database] : this->databases) {
    if (database.record.generation == 0) {
      this->Enter(name, database, Phase::kDiscover);
    } else if (database.record.serving) {
      this->Enter(name, database, Phase::kServing);
    } else {
      // The former leader may have told the platform already; the call is repeated for the same
      // server once no other leader can still be calling.
      database.target = database.record.server;
      database.resume_promotion = true;
      this->Enter(name, database, Phase::kRevoke);
      this->AwaitAllMembers(database);
      this->SendRevocations(name, database);
    }
  }
}

void PrimaryAuthority::End() {
  this->epoch = 0;
  for (auto& [name, database] : this->databases) {
    ++database.step;
  }
}

void PrimaryAuthority::SetServers(std::map<std::string, BackendServerRecord> records) {
  this->servers = std::move(records);
}

void PrimaryAuthority::SetMembers(const std::set<std::string>& names) {
  for (auto member = this->members.begin(); member != this->members.end();) {
    member = names.count(member->first) == 0 ? this->members.erase(member) : std::next(member);
  }
  const TimePoint now = this->clock.Now();
  for (const std::string& name : names) {
    if (this->members.count(name) == 0) {
      Member member;
      member.heard_at = now;
      member.granted_until = this->began;
      member.foreign_until = this->began + this->predecessor_lease + kGrantValidity;
      this->members.emplace(name, member);
    }
  }
}

void PrimaryAuthority::SetDatabases(const std::map<std::string, int>& new_caps) {
  this->connection_caps = new_caps;
  for (const auto& [name, cap] : new_caps) {
    if (this->databases.count(name) == 0) {
      this->Enter(name, this->databases[name], Phase::kDiscover);
    }
  }
}

void PrimaryAuthority::Enter(const std::string& name, Database& database, Phase phase) {
  static constexpr const char* kNames[] = {"discover", "serving", "revoke", "select",
                                           "record",   "promote", "confirm"};
  const TimePoint now = this->clock.Now();
  database.phase = phase;
  database.phase_started = now;
  database.next_call = now;
  database.call_under_way = false;
  database.unanswered_probes.clear();
  database.candidate_probes = 0;
  ++database.step;
  if (phase == Phase::kServing) {
    database.last_answer = now;
    database.refusals = 0;
    database.suspected = false;
    database.failed_targets.clear();
    database.missing_since.reset();
    database.check_started.reset();
  }
  this->logger.Info("primary_phase", {{"database", name},
                                      {"phase", kNames[static_cast<int>(phase)]},
                                      {"server", database.record.server},
                                      {"generation", absl::StrCat(database.record.generation)},
                                      {"epoch", absl::StrCat(this->epoch)}});
}

PrimaryAuthority::Database* PrimaryAuthority::AtStep(const std::string& name, std::uint64_t step) {
  const auto found = this->databases.find(name);
  const bool current = this->epoch != 0 && found != this->databases.end() &&
                       found->second.step == step && this->hooks.leading();
  return current ? &found->second : nullptr;
}

std::vector<const BackendServerRecord*> PrimaryAuthority::ServersOf(
    const std::string& database) const {
  std::vector<const BackendServerRecord*> result;
  for (const auto& [id, record] : this->servers) {
    if (record.database == database) {
      result.push_back(&record);
    }
  }
  return result;
}

const BackendServerRecord* PrimaryAuthority::Find(const std::string& server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? nullptr : &found->second;
}

TimePoint PrimaryAuthority::GrantsEnd(const Member& member) const {
  return std::max(member.granted_until, member.foreign_until);
}

GrantSet PrimaryAuthority::OnReport(const MemberReport& report) {
  GrantSet grants;
  const auto found = this->members.find(report.member);
  if (this->epoch == 0 || !this->hooks.leading() || found == this->members.end()) {
    return grants;
  }
  const TimePoint now = this->clock.Now();
  Member& member = found->second;
  member.heard = true;
  member.heard_at = now;
  member.report = report;
  if (report.epoch == this->epoch) {
    // The member refuses renewals of earlier leaders; what it holds from them expires.
    member.foreign_until = std::min(member.foreign_until, now + kGrantValidity);
  }
  for (const auto& [name, state] : report.databases) {
    const auto known = this->databases.find(name);
    if (known == this->databases.end()) {
      continue;
    }
    Database& database = known->second;
    if (database.phase == Phase::kServing &&
        state.revoked_generation >= database.record.generation) {
      this->RenewGeneration(name, database);
    }
    if (state.generation != database.record.generation) {
      continue;
    }
    if (state.answered_at && *state.answered_at > database.last_answer) {
      database.last_answer = *state.answered_at;
      database.refusals = 0;
      database.suspected = false;
    }
    if (state.failing_since && database.phase == Phase::kServing) {
      database.suspected = true;
    }
    if (state.newest && (!database.newest || state.newest->as_of > database.newest->as_of)) {
      database.newest = state.newest;
    }
  }
  grants.epoch = this->epoch;
  grants.connections = this->ConnectionsOf(report.member);
  for (const auto& [name, database] : this->databases) {
    if (database.phase != Phase::kServing) {
      continue;
    }
    grants.primaries.emplace(name, database.record);
    if (database.newest) {
      grants.positions.emplace(name, *database.newest);
    }
  }
  member.granted_until = now + kGrantValidity;
  return grants;
}

std::map<std::string, int> PrimaryAuthority::ConnectionsOf(const std::string& member) const {
  std::map<std::string, int> connections;
  const TimePoint now = this->clock.Now();
  for (const auto& [id, server] : this->servers) {
    const auto cap = this->connection_caps.find(server.database);
    if (cap == this->connection_caps.end()) {
      continue;
    }
    std::map<std::string, double> demand;
    for (const auto& [name, state] : this->members) {
      const bool in_contact = state.heard && now - state.heard_at < kMemberSilence;
      const auto wanted = state.report.demand.find(id);
      demand[name] = in_contact && wanted != state.report.demand.end() ? wanted->second : 0;
    }
    connections[id] = ShareConnections(cap->second, demand)[member];
  }
  return connections;
}

std::vector<std::string> PrimaryAuthority::SilentMembers(Duration silence) const {
  std::vector<std::string> silent;
  for (const auto& [name, member] : this->members) {
    if (this->clock.Now() - member.heard_at > silence) {
      silent.push_back(name);
    }
  }
  return silent;
}

void PrimaryAuthority::Tick() {
  if (this->epoch == 0 || !this->hooks.leading()) {
    return;
  }
  this->CheckContact();
  for (auto& [name, database] : this->databases) {
    switch (database.phase) {
      case Phase::kDiscover:
        this->Discover(name, database);
        break;
      case Phase::kServing:
        this->Watch(name, database);
        break;
      case Phase::kRevoke:
        this->CheckRevocations(name, database);
        break;
      case Phase::kSelect:
        this->Select(name, database);
        break;
      case Phase::kRecord:
        this->Record(name, database);
        break;
      case Phase::kPromote:
        this->Promote(name, database);
        break;
      case Phase::kConfirm:
        this->Confirm(name, database);
        break;
    }
  }
}

// A leader that reaches the store but not the members keeps them from having a useful one.
void PrimaryAuthority::CheckContact() {
  const TimePoint now = this->clock.Now();
  if (this->members.size() < 3 || now - this->began < 2 * kMemberSilence) {
    return;
  }
  const auto in_contact =
      std::count_if(this->members.begin(), this->members.end(), [now](const auto& entry) {
        return entry.second.heard && now - entry.second.heard_at < kMemberSilence;
      });
  // The leader itself counts as one member in contact.
  if (in_contact <= 1) {
    this->hooks.isolated();
  }
}

// Without a record nobody has changed the primary through this product; the server that leads in
// the highest term is the primary.
void PrimaryAuthority::Discover(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (database.candidate_probes > 0 || now < database.next_call) {
    return;
  }
  const auto candidates = this->ServersOf(name);
  if (candidates.empty()) {
    return;
  }
  database.candidates.clear();
  database.next_call = now + kProbeInterval;
  database.candidate_probes = candidates.size();
  for (const BackendServerRecord* server : candidates) {
    this->hooks.probe(*server,
                      [this, name, step = database.step, id = server->id,
                       weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
                        Database* current = weak.expired() ? nullptr : this->AtStep(name, step);
                        if (current == nullptr) {
                          return;
                        }
                        current->candidates[id] = probe;
                        if (--current->candidate_probes == 0) {
                          this->FinishDiscovery(name, *current);
                        }
                      });
  }
}

void PrimaryAuthority::FinishDiscovery(const std::string& name, Database& database) {
  const std::string* best = nullptr;
  std::uint64_t term = 0;
  for (const auto& [server, probe] : database.candidates) {
    if (probe.outcome == ProbeOutcome::kAnswered && probe.role == Role::kPrimary &&
        probe.term >= term) {
      best = &server;
      term = probe.term;
    }
  }
  if (best != nullptr) {
    // Nothing is granted before the record is stored: a later leader must find the generation that
    // it has to revoke.
    database.target = *best;
    database.discovered = true;
    this->Enter(name, database, Phase::kRecord);
    this->Record(name, database);
    return;
  }
  // No server leads: all answers say so, or the wait for the others is over.
  const bool all_answered = std::all_of(
      database.candidates.begin(), database.candidates.end(),
      [](const auto& entry) { return entry.second.outcome != ProbeOutcome::kNoAnswer; });
  if (all_answered && this->clock.Now() - database.phase_started > kDiscoveryLimit) {
    this->Replace(name, database, false, "no server of the database leads");
  }
}

void PrimaryAuthority::Watch(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const BackendServerRecord* primary = this->Find(database.record.server);
  if (primary == nullptr) {
    this->WatchMissing(name, database);
    return;
  }
  database.missing_since.reset();
  const bool draining = primary->state == BackendServerState::kDraining;
  if (draining && !database.draining_since) {
    database.draining_since = now;
  } else if (!draining) {
    database.draining_since.reset();
  }
  const std::string death = this->ReasonOfDeath(name, database);
  if (!death.empty()) {
    if (this->MayRevoke()) {
      this->Replace(name, database, false, death);
    }
    return;
  }
  const Duration drained = draining ? now - *database.draining_since : Duration::zero();
  if (drained >= kStopUseAfter || (drained >= kForceHandOverAfter && this->MayRevoke())) {
    this->Replace(name, database, false, "the primary is draining and must not be used any more");
  } else if (draining || this->ShouldHandOver(database)) {
    this->ConsiderHandOver(
        name, database,
        draining ? "the primary is draining" : "some members cannot reach the primary");
  }
}

// After an outage of the store the records of running servers take a moment to come back.
void PrimaryAuthority::WatchMissing(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (!database.missing_since) {
    database.missing_since = now;
  }
  if (now - *database.missing_since >= kMissingLimit && this->MayRevoke()) {
    this->Replace(name, database, false, "the primary has left");
  }
}

// Returns why the primary must be replaced, or an empty text if it seems to work.
std::string PrimaryAuthority::ReasonOfDeath(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const Duration silence = now - database.last_answer;
  if (silence <= kProbeAfterSilence && !database.suspected) {
    return "";
  }
  // A member that cannot reach the primary keeps suspecting it; one answer settles that for a
  // while.
  const bool urgent = silence > kProbeAfterSilence || database.refusals > 0;
  const Duration pause = urgent ? kProbeInterval : kSuspicionPause;
  if (now - database.last_probe >= pause) {
    this->ProbePrimary(name, database);
  }
  const auto unanswered =
      std::count_if(database.unanswered_probes.begin(), database.unanswered_probes.end(),
                    [now](TimePoint sent) { return now - sent >= kProbeAnswerLimit; });
  if (silence > kDeadAfterSilence && unanswered >= kProbesUntilDead) {
    return absl::StrCat("no answer for ", Milliseconds(silence), " ms");
  }
  return database.refusals >= kRefusalsUntilDead ? "no server listens at the primary's address"
                                                 : "";
}

// While a member that cannot be asked may still use the primary, nothing else can lead. The others
// go on using it until then, as far as they reach it.
bool PrimaryAuthority::MayRevoke() const {
  const TimePoint now = this->clock.Now();
  return std::all_of(this->members.begin(), this->members.end(), [&](const auto& entry) {
    const Member& member = entry.second;
    const bool in_contact = member.heard && now - member.heard_at < kMemberSilence;
    return in_contact || now + kRevocationLead >= this->GrantsEnd(member);
  });
}

// A planned change stops all writes until it is done, so it starts only if a successor has the log.
void PrimaryAuthority::ConsiderHandOver(const std::string& name, Database& database,
                                        const std::string& reason) {
  const TimePoint now = this->clock.Now();
  if (now < database.hand_over_not_before || !this->MayRevoke()) {
    return;
  }
  if (!database.check_started) {
    database.check_started = now;
    database.check_position = database.newest ? database.newest->position : LogPosition{};
    database.candidates.clear();
    database.old_server = database.record.server;
    ++database.replacement;
    this->ProbeCandidates(name, database);
    return;
  }
  const auto candidates = this->ServersOf(name);
  const bool ready = std::any_of(
      candidates.begin(), candidates.end(), [&database](const BackendServerRecord* server) {
        const auto probe = database.candidates.find(server->id);
        return server->state == BackendServerState::kReady && probe != database.candidates.end() &&
               probe->second.outcome == ProbeOutcome::kAnswered &&
               probe->second.received >= database.check_position;
      });
  if (ready) {
    this->Replace(name, database, true, reason);
  } else if (now - *database.check_started > kSelectionLimit) {
    this->logger.Info(
        "hand_over_postponed",
        {{"database", name}, {"reason", reason}, {"position", database.check_position.ToString()}});
    database.check_started.reset();
    database.hand_over_not_before = now + kCheckPause;
  }
}

void PrimaryAuthority::ProbePrimary(const std::string& name, Database& database) {
  const BackendServerRecord* primary = this->Find(database.record.server);
  const TimePoint sent = this->clock.Now();
  database.last_probe = sent;
  database.unanswered_probes.push_back(sent);
  this->hooks.probe(*primary, [this, name, step = database.step, sent,
                               weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
    Database* current = weak.expired() ? nullptr : this->AtStep(name, step);
    if (current == nullptr) {
      return;
    }
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

std::size_t PrimaryAuthority::MembersMissing(const std::string& server) const {
  const TimePoint now = this->clock.Now();
  return static_cast<std::size_t>(
      std::count_if(this->members.begin(), this->members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        return member.heard && now - member.heard_at < kMemberSilence &&
               member.report.unreachable.count(server) != 0;
      }));
}

bool PrimaryAuthority::ShouldHandOver(const Database& database) const {
  const std::size_t missing = this->MembersMissing(database.record.server);
  if (missing == 0 || missing * 100 < this->members.size() * kHandOverPercent) {
    return false;
  }
  const auto candidates = this->ServersOf(this->Find(database.record.server)->database);
  return std::any_of(candidates.begin(), candidates.end(), [&](const BackendServerRecord* server) {
    return server->id != database.record.server && server->state == BackendServerState::kReady &&
           this->MembersMissing(server->id) < missing;
  });
}

// A former leader revoked the generation and could not finish the change. The server stays, under a
// generation that members accept.
void PrimaryAuthority::RenewGeneration(const std::string& name, Database& database) {
  database.target = database.record.server;
  database.discovered = true;
  this->Enter(name, database, Phase::kRecord);
  this->Record(name, database);
}

void PrimaryAuthority::Replace(const std::string& name, Database& database, bool planned,
                               const std::string& reason) {
  this->logger.Info("primary_replacement",
                    {{"database", name},
                     {"server", database.record.server},
                     {"generation", absl::StrCat(database.record.generation)},
                     {"planned", planned ? "true" : "false"},
                     {"reason", reason},
                     {"silence_ms", Milliseconds(this->clock.Now() - database.last_answer)}});
  database.planned = planned;
  database.resume_promotion = false;
  database.old_server = database.record.server;
  database.final_position.reset();
  database.candidates.clear();
  ++database.replacement;
  this->Enter(name, database, Phase::kRevoke);
  this->AwaitAllMembers(database);
  this->SendRevocations(name, database);
  if (!planned) {
    this->ProbeCandidates(name, database);
  }
}

void PrimaryAuthority::AwaitAllMembers(Database& database) const {
  database.awaiting.clear();
  for (const auto& [member, state] : this->members) {
    database.awaiting.insert(member);
  }
}

// Repeated until every member has acknowledged or its grant has expired; a member that restarts
// answers a later request.
void PrimaryAuthority::SendRevocations(const std::string& name, Database& database) {
  const std::uint64_t generation =
      database.resume_promotion ? database.record.generation - 1 : database.record.generation;
  database.next_call = this->clock.Now() + 2 * kProbeInterval;
  const std::set<std::string> targets = database.awaiting;
  for (const std::string& member : targets) {
    this->hooks.revoke(
        member, this->epoch, name, generation, database.planned,
        [this, name, member, step = database.step, weak = std::weak_ptr<bool>(this->alive)](
            bool acknowledged, const std::optional<LogPosition>& newest) {
          if (!weak.expired()) {
            this->OnRevocation(name, step, member, acknowledged, newest);
          }
        });
  }
}

void PrimaryAuthority::OnRevocation(const std::string& name, std::uint64_t step,
                                    const std::string& member, bool acknowledged,
                                    const std::optional<LogPosition>& newest) {
  Database* database = this->AtStep(name, step);
  if (database == nullptr || !acknowledged) {
    return;
  }
  database->awaiting.erase(member);
  if (newest && (!database->final_position || *database->final_position < *newest)) {
    database->final_position = newest;
  }
  this->CheckRevocations(name, *database);
}

void PrimaryAuthority::CheckRevocations(const std::string& name, Database& database) {
  if (database.phase != Phase::kRevoke) {
    return;
  }
  const TimePoint now = this->clock.Now();
  for (auto member = database.awaiting.begin(); member != database.awaiting.end();) {
    const auto state = this->members.find(*member);
    const bool expired = state == this->members.end() || now >= this->GrantsEnd(state->second);
    member = expired ? database.awaiting.erase(member) : std::next(member);
  }
  if (!database.awaiting.empty()) {
    if (database.planned && now - database.phase_started > kPlannedRevocationLimit) {
      this->GiveUpHandOver(name, database);
    } else if (now >= database.next_call) {
      this->SendRevocations(name, database);
    }
    return;
  }
  if (database.resume_promotion) {
    this->Enter(name, database, Phase::kPromote);
    this->Promote(name, database);
    return;
  }
  this->Enter(name, database, Phase::kSelect);
  if (database.planned) {
    // What the candidates said before the last commit is out of date.
    database.candidates.clear();
    this->ProbeCandidates(name, database);
  }
  this->Select(name, database);
}

// Asks the servers of the database for the end of their log; the old primary only if it still runs.
// Answers that arrive while the members are still asked for their grants are kept for the
// selection.
void PrimaryAuthority::ProbeCandidates(const std::string& name, Database& database) {
  database.next_call = this->clock.Now() + kProbeInterval;
  for (const BackendServerRecord* server : this->ServersOf(name)) {
    const bool final_end_wanted = database.phase == Phase::kSelect && database.planned;
    if (server->id == database.old_server && !final_end_wanted) {
      continue;
    }
    this->hooks.probe(*server,
                      [this, name, id = server->id, replacement = database.replacement,
                       weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
                        if (!weak.expired()) {
                          this->OnCandidate(name, replacement, id, probe);
                        }
                      });
  }
}

void PrimaryAuthority::OnCandidate(const std::string& name, std::uint64_t replacement,
                                   const std::string& server, const BackendProbe& probe) {
  const auto found = this->databases.find(name);
  if (found == this->databases.end() || found->second.replacement != replacement) {
    return;
  }
  Database& database = found->second;
  const bool checking = database.phase == Phase::kServing && database.check_started;
  if (!checking && database.phase != Phase::kRevoke && database.phase != Phase::kSelect) {
    return;
  }
  if (server != database.old_server) {
    database.candidates[server] = probe;
  } else if (!checking && probe.outcome == ProbeOutcome::kAnswered) {
    // Nobody may write any more, so this is the end of its log.
    database.final_position =
        std::max(database.final_position.value_or(LogPosition{}), probe.received);
  }
}

void PrimaryAuthority::Select(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  const Duration elapsed = now - database.phase_started;
  const BackendServerRecord* best = nullptr;
  const BackendProbe* best_probe = nullptr;
  bool complete = true;
  for (const BackendServerRecord* server : this->ServersOf(name)) {
    if (server->id == database.old_server || server->state != BackendServerState::kReady ||
        database.failed_targets.count(server->id) != 0) {
      continue;
    }
    const auto answer = database.candidates.find(server->id);
    if (answer == database.candidates.end()) {
      complete = false;
      continue;
    }
    if (answer->second.outcome != ProbeOutcome::kAnswered) {
      continue;
    }
    const bool better = best == nullptr || best_probe->received < answer->second.received ||
                        (best_probe->received == answer->second.received &&
                         this->MembersMissing(server->id) < this->MembersMissing(best->id));
    if (better) {
      best = server;
      best_probe = &answer->second;
    }
  }
  if (database.planned) {
    const bool caught_up = best != nullptr && database.final_position &&
                           best_probe->received >= *database.final_position;
    if (caught_up) {
      this->Choose(name, database, best->id);
    } else if (elapsed > kCatchUpLimit) {
      this->GiveUpHandOver(name, database);
    } else if (now >= database.next_call) {
      this->ProbeCandidates(name, database);
      // A server that has all commits is sought in short steps, because nobody can write meanwhile.
      database.next_call = now + kProbeInterval / 3;
    }
    return;
  }
  // Nothing that a caller was told is lost with a server that has the newest position known.
  const bool has_all = best != nullptr && database.final_position &&
                       best_probe->received >= *database.final_position;
  if (best != nullptr && (complete || has_all || elapsed > kSelectionLimit)) {
    this->Choose(name, database, best->id);
  } else if (now >= database.next_call) {
    if (elapsed > kSelectionLimit) {
      database.failed_targets.clear();
    }
    this->ProbeCandidates(name, database);
  }
}

void PrimaryAuthority::Choose(const std::string& name, Database& database,
                              const std::string& target) {
  const BackendProbe& probe = database.candidates[target];
  this->logger.Info(
      "primary_chosen",
      {{"database", name},
       {"server", target},
       {"position", probe.received.ToString()},
       {"final_position",
        database.final_position ? database.final_position->ToString() : "unknown"},
       {"newest_observed", database.newest ? database.newest->position.ToString() : "unknown"}});
  database.target = target;
  this->Enter(name, database, Phase::kRecord);
  this->Record(name, database);
}

void PrimaryAuthority::GiveUpHandOver(const std::string& name, Database& database) {
  this->logger.Warning("hand_over_given_up",
                       {{"database", name}, {"server", database.record.server}});
  database.hand_over_not_before = this->clock.Now() + kHandOverPause;
  // The generation was given back by all members, so the grants resume under a new one.
  database.target = database.record.server;
  this->Enter(name, database, Phase::kRecord);
  this->Record(name, database);
}

// Stores the next generation. A server that was found to lead may serve at once; one that was
// chosen must be promoted first.
void PrimaryAuthority::Record(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (database.call_under_way || now < database.next_call) {
    return;
  }
  database.call_under_way = true;
  const PrimaryRecord record{database.target, database.record.generation + 1, database.discovered};
  this->hooks.store_record(
      name, record, database.record_revision,
      [this, name, record, step = database.step, weak = std::weak_ptr<bool>(this->alive)](
          PlatformStatus status, std::uint64_t revision) {
        Database* current = weak.expired() ? nullptr : this->AtStep(name, step);
        if (current != nullptr) {
          this->OnRecord(name, *current, record, status, revision);
        }
      });
}

void PrimaryAuthority::OnRecord(const std::string& name, Database& database,
                                const PrimaryRecord& record, PlatformStatus status,
                                std::uint64_t revision) {
  database.call_under_way = false;
  if (status != PlatformStatus::kOk) {
    if (status == PlatformStatus::kConflict && revision > 0) {
      // Only this process writes the record, so an earlier write of its own took effect.
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
  database.newest.reset();
  if (std::exchange(database.discovered, false)) {
    this->Enter(name, database, Phase::kServing);
    this->hooks.nudge();
    return;
  }
  this->Enter(name, database, Phase::kPromote);
  this->Promote(name, database);
}

// Spares a later leader the repetition of the promotion; nothing depends on it.
void PrimaryAuthority::StoreServing(const std::string& name, const Database& database) {
  this->hooks.store_record(
      name, database.record, database.record_revision,
      [this, name, generation = database.record.generation,
       weak = std::weak_ptr<bool>(this->alive)](PlatformStatus status, std::uint64_t revision) {
        if (weak.expired()) {
          return;
        }
        const auto found = this->databases.find(name);
        const bool current =
            found != this->databases.end() && found->second.record.generation == generation;
        if (current && status == PlatformStatus::kOk) {
          found->second.record_revision = revision;
        }
      });
}

void PrimaryAuthority::Promote(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (database.call_under_way || now < database.next_call) {
    return;
  }
  database.call_under_way = true;
  ++this->promotes_under_way;
  this->hooks.promote(name, database.target, this->epoch,
                      [this, name, step = database.step,
                       weak = std::weak_ptr<bool>(this->alive)](PromoteOutcome outcome) {
                        if (weak.expired()) {
                          return;
                        }
                        --this->promotes_under_way;
                        if (Database* current = this->AtStep(name, step)) {
                          current->call_under_way = false;
                          this->OnPromote(name, *current, outcome);
                        }
                      });
}

void PrimaryAuthority::OnPromote(const std::string& name, Database& database,
                                 PromoteOutcome outcome) {
  switch (outcome) {
    case PromoteOutcome::kAccepted:
      this->Enter(name, database, Phase::kConfirm);
      this->Confirm(name, database);
      return;
    case PromoteOutcome::kNotRunning:
      database.failed_targets.insert(database.target);
      database.candidates.clear();
      database.planned = false;
      this->Enter(name, database, Phase::kSelect);
      this->ProbeCandidates(name, database);
      return;
    case PromoteOutcome::kNotDone:
    case PromoteOutcome::kUnknown:
      // The same server is named again: the first call may still take effect.
      database.next_call = this->clock.Now() + kProbeInterval;
      return;
  }
}

void PrimaryAuthority::Confirm(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (now - database.phase_started > kConfirmationLimit) {
    this->Enter(name, database, Phase::kPromote);
    return;
  }
  if (database.call_under_way || now < database.next_call) {
    return;
  }
  const BackendServerRecord* server = this->Find(database.target);
  if (server == nullptr) {
    return;
  }
  database.call_under_way = true;
  this->hooks.probe(*server, [this, name, step = database.step,
                              weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
    Database* current = weak.expired() ? nullptr : this->AtStep(name, step);
    if (current != nullptr) {
      current->call_under_way = false;
      this->OnConfirm(name, *current, probe);
    }
  });
}

void PrimaryAuthority::OnConfirm(const std::string& name, Database& database,
                                 const BackendProbe& probe) {
  if (probe.outcome != ProbeOutcome::kAnswered || probe.role != Role::kPrimary) {
    database.next_call = this->clock.Now() + kProbeInterval / 5;
    return;
  }
  const BackendServerRecord* old_server = this->Find(database.old_server);
  if (old_server != nullptr && old_server->id != database.target) {
    this->hooks.demote(*old_server, probe.term);
  }
  database.record.serving = true;
  database.hand_over_not_before = this->clock.Now() + kHandOverPause;
  this->Enter(name, database, Phase::kServing);
  this->StoreServing(name, database);
  this->hooks.nudge();
}

}  // namespace sycamoredrum
