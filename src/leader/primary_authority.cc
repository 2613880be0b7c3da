#include "sycamoredrum/primary_authority.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "sycamoredrum/connection_shares.h"

namespace sycamoredrum {

PrimaryAuthority::PrimaryAuthority(PrimaryAuthorityHooks hooks, Duration predecessor_lease,
                                   const Clock& clock, Scheduler& scheduler, Logger& logger)
    : hooks(std::move(hooks)),
      predecessor_lease(predecessor_lease),
      clock(clock),
      scheduler(scheduler),
      logger(logger),
      leadership_began(clock.Now()),
      lost_promotions_end(clock.Now()),
      lost_grants_end(clock.Now()),
      settled_from(clock.Now()),
      shares_at(clock.Now()) {}

void PrimaryAuthority::Begin(std::uint64_t new_epoch, const FleetState& state) {
  const TimePoint now = this->clock.Now();
  const std::uint64_t era = EraOf(new_epoch);
  std::map<std::string, PrimaryRecord> own_records;
  if (state.uninterrupted) {
    own_records = this->TrustedRecords();
  }
  // Era 0: the store does not report eras.
  const bool settled =
      era == 0 || std::any_of(state.records.begin(), state.records.end(), [era](const auto& entry) {
        return entry.second.era == era && entry.second.settled;
      });
  const TimePoint last_lease_end = state.era_observed_at + this->predecessor_lease;
  this->settled_from = settled ? now : last_lease_end + kGrantValidity;
  if (settled) {
    this->lost_grants_end = now;
    this->lost_promotions_end = now;
  } else if (!state.uninterrupted) {
    this->lost_grants_end = this->settled_from;
    this->lost_promotions_end = last_lease_end + kPromotionCallLimit;
  }
  this->epoch = new_epoch;
  this->leadership_began = now;
  this->members.clear();
  this->databases.clear();
  this->SetMembers(state.members);
  for (const auto& [name, record] : state.records) {
    Database& database = this->databases[name];
    database.record.generation = record.generation;
    database.known_term = record.term;
    database.record_revision = state.revisions.at(name);
    if (record.era == era) {
      database.record = record;
      database.serving_stored = record.serving;
    } else {
      database.record_lost = true;
      // It may lack promotions that the store has lost, but no server that follows them is taken
      // for one that left it.
      database.record.history = record.history;
    }
  }
  for (const auto& [name, revision] : state.unreadable) {
    Database& database = this->databases[name];
    database.record_lost = true;
    database.record_revision = revision;
    // A former leader may have requested the promotion of the server that the record named.
    this->lost_promotions_end =
        std::max(this->lost_promotions_end, now + this->predecessor_lease + kPromotionCallLimit);
  }
  for (const auto& [name, record] : own_records) {
    this->databases[name].record = record;
    this->databases[name].serving_stored = false;
    this->databases[name].known_term = record.term;
    this->databases[name].record_lost = false;
  }
  this->SetDatabases(this->connection_caps);
  for (auto& [name, database] : this->databases) {
    if (database.record.server.empty()) {
      database.record_lost = database.record_lost || era != 0;
      this->Enter(name, database, Phase::kDiscover);
    } else if (database.record.serving) {
      this->Enter(name, database, Phase::kServing);
    } else {
      // The former leader may have called the platform already. The call is repeated for the same
      // server once no earlier leader can still send one. The promotion may also have been
      // confirmed and the generation granted, so that it is revoked, and the server gets the next
      // one.
      database.target = database.record.server;
      database.target_end = database.record.end;
      database.resume_promotion = true;
      this->BeginSelection(name, database);
      this->Enter(name, database, Phase::kRevoke);
      this->AwaitAllHolders(database);
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

// The records that were written in the present era or by this process.
std::map<std::string, PrimaryRecord> PrimaryAuthority::TrustedRecords() const {
  std::map<std::string, PrimaryRecord> result;
  for (const auto& [name, database] : this->databases) {
    if (!database.record.server.empty()) {
      result.emplace(name, database.record);
    }
  }
  return result;
}

void PrimaryAuthority::PutServer(const BackendServerRecord& record) {
  this->servers[record.id] = record;
  if (record.state == BackendServerState::kDraining) {
    this->draining_since.emplace(record.id, this->clock.Now());
  } else {
    this->draining_since.erase(record.id);
  }
}

void PrimaryAuthority::RemoveServer(const std::string& id) {
  if (const BackendServerRecord* server = this->Find(id)) {
    const auto found = this->databases.find(server->database);
    if (found != this->databases.end()) {
      this->ReplicaRemoved(found->second, *server);
    }
  }
  this->servers.erase(id);
  this->draining_since.erase(id);
}

void PrimaryAuthority::ReplicaRemoved(Database& database, const BackendServerRecord& server) const {
  // The commits of this time may be on no other replica.
  const bool replica = database.phase == Phase::kServing && server.id != database.record.server;
  if (replica && database.newest) {
    database.floor = database.newest;
  }
}

void PrimaryAuthority::SetMembers(const std::set<std::string>& names) {
  for (auto member = this->members.begin(); member != this->members.end();) {
    member = names.count(member->first) == 0 ? this->members.erase(member) : std::next(member);
  }
  const TimePoint now = this->clock.Now();
  for (const std::string& name : names) {
    if (this->members.count(name) == 0) {
      Member member;
      member.last_heartbeat = now;
      this->members.emplace(name, member);
      this->holders.AddPredecessorGrants(
          name, this->leadership_began + this->predecessor_lease + kGrantValidity);
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

void PrimaryAuthority::SetSynchronousReplicas(const std::map<std::string, int>& replicas) {
  this->synchronous_replicas = replicas;
}

void PrimaryAuthority::Enter(const std::string& name, Database& database, Phase phase) {
  static constexpr const char* kNames[] = {"discover", "serving", "revoke", "select",
                                           "record",   "promote", "confirm"};
  const TimePoint now = this->clock.Now();
  database.phase = phase;
  database.phase_started = now;
  database.next_call = now;
  database.call_in_flight = false;
  database.unanswered_probes.clear();
  database.discovery_probes_in_flight = 0;
  database.target_answered = false;
  ++database.step;
  if (phase == Phase::kServing) {
    database.last_answer = now;
    database.refusals = 0;
    database.suspected = false;
    database.failed_targets.clear();
    database.server_record_missing_since.reset();
    database.successor_search_started.reset();
  }
  this->logger.Info("primary_phase", {{"database", name},
                                      {"phase", kNames[static_cast<int>(phase)]},
                                      {"server", database.record.server},
                                      {"generation", absl::StrCat(database.record.generation)},
                                      {"epoch", absl::StrCat(this->epoch)}});
}

PrimaryAuthority::Database* PrimaryAuthority::DatabaseAtStep(const std::string& name,
                                                             std::uint64_t step) {
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

GrantSet PrimaryAuthority::OnReport(const MemberReport& report) {
  GrantSet grants;
  const auto found = this->members.find(report.member);
  if (this->epoch == 0 || !this->hooks.leading() || found == this->members.end()) {
    return grants;
  }
  const TimePoint now = this->clock.Now();
  Member& member = found->second;
  if (report.registration != 0 && report.registration != member.registration) {
    // An earlier process of the member may have confirmed commits.
    member.registration = report.registration;
    this->CommitsUnreported(now);
  }
  member.heartbeat_received = true;
  member.last_heartbeat = now;
  member.report = report;
  if (report.epoch == this->epoch) {
    this->holders.LimitPredecessorGrants(report.member, now + kGrantValidity);
  }
  for (const auto& [name, state] : report.databases) {
    const auto known = this->databases.find(name);
    if (known == this->databases.end()) {
      continue;
    }
    Database& database = known->second;
    database.known_term = std::max(database.known_term, state.known_term);
    database.known_generation =
        std::max({database.known_generation, state.generation, state.revoked_generation});
    if (database.phase == Phase::kServing &&
        (state.revoked_generation >= database.record.generation ||
         state.generation > database.record.generation)) {
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
      database.ObserveNewest(*state.newest, this->unreported_until);
    }
  }
  if (!report.registered) {
    return grants;
  }
  grants.epoch = this->epoch;
  grants.connections = this->ConnectionsOf(report.member);
  for (const auto& [name, database] : this->databases) {
    if (database.phase != Phase::kServing) {
      continue;
    }
    grants.primaries.emplace(name, database.record);
    const bool used = !report.used_databases || report.used_databases->count(name) != 0;
    if (database.newest && used) {
      grants.positions.emplace(name, *database.newest);
    }
  }
  this->holders.Granted(report.member, report.registration, now + kGrantValidity);
  return grants;
}

const std::map<std::string, int>& PrimaryAuthority::ConnectionsOf(const std::string& member) {
  static const std::map<std::string, int> no_shares;
  const Duration interval =
      kSharesInterval + kSharesIntervalPerStep *
                            static_cast<std::int64_t>(this->servers.size() * this->members.size());
  const Duration age = this->clock.Now() - this->shares_at;
  const bool has_share = this->shares.count(member) != 0;
  if (age >= interval || (!has_share && age >= interval / kSharesIntervalParts)) {
    this->ComputeShares();
  }
  const auto found = this->shares.find(member);
  return found == this->shares.end() ? no_shares : found->second;
}

void PrimaryAuthority::ComputeShares() {
  const TimePoint now = this->clock.Now();
  this->shares_at = now;
  this->shares.clear();
  for (const auto& [id, server] : this->servers) {
    const auto cap = this->connection_caps.find(server.database);
    if (cap == this->connection_caps.end()) {
      continue;
    }
    std::map<std::string, std::optional<double>> demand;
    for (const auto& [name, state] : this->members) {
      const bool in_contact =
          state.heartbeat_received && now - state.last_heartbeat < kMemberSilence;
      const auto wanted = state.report.demand.find(id);
      std::optional<double>& entry = demand[name];
      if (state.heartbeat_received) {
        entry = in_contact && wanted != state.report.demand.end() ? wanted->second : 0;
      }
    }
    for (const auto& [name, share] : ShareConnections(cap->second, demand)) {
      this->shares[name][id] = share;
    }
  }
}

std::vector<std::string> PrimaryAuthority::SilentMembers(Duration silence) const {
  std::vector<std::string> silent;
  for (const auto& [name, member] : this->members) {
    if (this->clock.Now() - member.last_heartbeat > silence) {
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
  this->CommitsUnreported(this->holders.ForgetExpired(this->clock.Now()));
  for (auto& [name, database] : this->databases) {
    switch (database.phase) {
      case Phase::kDiscover:
        this->Discover(name, database);
        break;
      case Phase::kServing:
        this->RefreshRecord(name, database);
        this->CheckPrimary(name, database);
        break;
      case Phase::kRevoke:
        this->CheckRevocations(name, database);
        break;
      case Phase::kSelect:
        this->Select(name, database);
        break;
      case Phase::kRecord:
        this->StoreRecord(name, database);
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

// A leader that reaches the store but not the members would stay the leader, although no member
// gets grants from it. It resigns, so that another process can be elected.
void PrimaryAuthority::CheckContact() {
  const TimePoint now = this->clock.Now();
  if (this->members.size() < 3 || now - this->leadership_began < 2 * kMemberSilence) {
    return;
  }
  const auto in_contact =
      std::count_if(this->members.begin(), this->members.end(), [now](const auto& entry) {
        return entry.second.heartbeat_received &&
               now - entry.second.last_heartbeat < kMemberSilence;
      });
  // One of the members in contact is the leader's own process.
  if (in_contact <= 1) {
    this->hooks.isolated();
  }
}

// Without a record that can be trusted, the server that leads in the highest term is the primary.
void PrimaryAuthority::Discover(const std::string& name, Database& database) {
  const TimePoint now = this->clock.Now();
  if (database.discovery_probes_in_flight > 0 || now < database.next_call ||
      now < this->lost_promotions_end) {
    return;
  }
  const auto candidates = this->ServersOf(name);
  if (candidates.empty()) {
    return;
  }
  database.discovered.clear();
  database.next_call = now + kProbeInterval;
  database.discovery_probes_in_flight = candidates.size();
  for (const BackendServerRecord* server : candidates) {
    this->hooks.probe(*server, kStatusTimeout,
                      [this, name, step = database.step, id = server->id,
                       weak = std::weak_ptr<bool>(this->alive)](const BackendProbe& probe) {
                        Database* current =
                            weak.expired() ? nullptr : this->DatabaseAtStep(name, step);
                        if (current == nullptr) {
                          return;
                        }
                        current->discovered[id] = probe;
                        current->ObserveTerm(probe);
                        if (--current->discovery_probes_in_flight == 0) {
                          this->FinishDiscovery(name, *current);
                        }
                      });
  }
}

void PrimaryAuthority::FinishDiscovery(const std::string& name, Database& database) {
  const std::string* best = nullptr;
  std::uint64_t term = 0;
  bool all_answered = true;
  bool all_run = true;
  for (const auto& [server, probe] : database.discovered) {
    all_answered = all_answered && probe.outcome != ProbeOutcome::kNoAnswer;
    all_run = all_run && probe.outcome != ProbeOutcome::kNotListening;
    if (probe.outcome == ProbeOutcome::kAnswered && probe.role == Role::kPrimary &&
        probe.term >= term) {
      best = &server;
      term = probe.term;
    }
  }
  const TimePoint began = std::max(database.phase_started, this->lost_promotions_end);
  const bool overdue = this->clock.Now() - began > kDiscoveryLimit;
  // If a record may be lost, a server of a later term may be among those that did not answer, or
  // that have crashed and come back with their logs.
  const bool certain = !database.record_lost || (all_answered && all_run);
  if (best != nullptr && term >= database.known_term && certain) {
    // Nothing is granted before the record is stored: a later leader must find the generation that
    // it has to revoke.
    database.target = *best;
    database.target_end = {};
    database.target_leads = true;
    this->Enter(name, database, Phase::kRecord);
    this->StoreRecord(name, database);
    return;
  }
  // The discovery continues until kDiscoveryLimit. If no leader has ever changed the primary, it
  // goes on while some server, which may lead, gives no answer; otherwise that server is treated as
  // a failed primary.
  if (overdue && (all_answered || database.record_lost)) {
    this->Replace(name, database, false,
                  all_answered ? "no server of the database leads"
                               : "not all servers of the database tell which one leads");
  }
}

}  // namespace sycamoredrum
