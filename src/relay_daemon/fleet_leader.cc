#include "fleet_leader.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamoredrum/connection_shares.h"

namespace sycamoredrum {
namespace {

constexpr Duration kTakeOverRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kRegistrationCleanupInterval = std::chrono::seconds(1);

LeadershipOptions MakeLeadershipOptions(const MemberRecord& self, Duration min_candidate_delay) {
  LeadershipOptions options;
  options.key = kLeaderKey;
  options.member = self.member;
  options.incarnation = self.incarnation;
  options.value = ToJson(self);
  options.min_candidate_delay = min_candidate_delay;
  return options;
}

std::int64_t Stamp(TimePoint time) { return time.time_since_epoch().count(); }

}  // namespace

FleetLeader::FleetLeader(const RelayPlatform& platform, MemberRecord self,
                         Duration min_candidate_delay, FleetLeaderHooks hooks, const Clock& clock,
                         Scheduler& scheduler, RandomSource random, Logger& logger,
                         Metrics& metrics)
    : platform(platform),
      self(std::move(self)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      logger(logger),
      metrics(metrics),
      leadership(platform.store, MakeLeadershipOptions(this->self, min_candidate_delay),
                 this->MakeLeadershipHooks(), clock, scheduler, std::move(random)),
      authority(this->MakeAuthorityHooks(), LeadershipOptions{}.lease, clock, scheduler, logger),
      allowances(platform.store, kLeaderKey, this->hooks.member_record, clock, logger),
      era_observed_at(clock.Now()),
      last_cleanup(clock.Now()) {}

LeadershipHooks FleetLeader::MakeLeadershipHooks() {
  LeadershipHooks result;
  result.gained = [this](std::uint64_t epoch) {
    this->logger.Info("leadership_gained", {{"epoch", absl::StrCat(epoch)}});
    this->metrics.Set(Metric::kLeadership, {}, 1);
    this->LoadFleetState(epoch);
  };
  result.lost = [this](const std::string& reason) {
    this->logger.Warning("leadership_lost", {{"reason", reason}});
    this->metrics.Set(Metric::kLeadership, {}, 0);
    this->last_leadership_began = this->authority.Active();
    this->requested_removals.clear();
    this->authority.End();
    this->allowances.End();
  };
  result.is_predecessor = [this](const std::string& value) {
    const std::optional<MemberRecord> record = ParseMemberRecord(value);
    return record && record->member == this->self.member;
  };
  result.names_process = [](const std::string& value) {
    return ParseMemberRecord(value).has_value();
  };
  return result;
}

PrimaryAuthorityHooks FleetLeader::MakeAuthorityHooks() {
  PrimaryAuthorityHooks result;
  result.revoke = [this](const std::string& member, std::uint64_t epoch,
                         const std::string& database, std::uint64_t generation, bool planned,
                         const RevocationCallback& done) {
    this->hooks.revoke(
        member, RevocationMessage{epoch, database, generation, planned},
        [this, member, database, done](const std::optional<RevocationAnswer>& answer) {
          const bool acknowledged = answer && answer->acknowledged;
          this->logger.Info("revocation", {{"member", member},
                                           {"database", database},
                                           {"acknowledged", acknowledged ? "true" : "false"}});
          done(answer ? RevocationReply{answer->acknowledged, answer->newest, answer->confirmed,
                                        answer->registration}
                      : RevocationReply{});
        });
  };
  result.probe = [this](const BackendServerRecord& server, Duration timeout,
                        const std::function<void(const BackendProbe&)>& done) {
    this->platform.probe(server, timeout,
                         [this, weak = std::weak_ptr<bool>(this->alive), id = server.id,
                          done](const BackendProbe& probe) {
                           if (weak.expired()) {
                             return;
                           }
                           static constexpr const char* kOutcomes[] = {
                               "answered", "busy", "not_listening", "no_answer"};
                           const std::string outcome = kOutcomes[static_cast<int>(probe.outcome)];
                           this->metrics.Increment(Metric::kProbes, {outcome});
                           this->logger.Info(
                               "probe",
                               {{"server", id},
                                {"outcome", outcome},
                                {"role", probe.role == Role::kPrimary ? "primary" : "replica"},
                                {"term", absl::StrCat(probe.term)},
                                {"position", probe.received.ToString()}});
                           done(probe);
                         });
  };
  result.store_record = [this](const std::string& database, const PrimaryRecord& record,
                               std::uint64_t revision,
                               const std::function<void(PlatformStatus, std::uint64_t)>& done) {
    this->StoreRecord(database, record, revision, done);
  };
  result.promote = [this](const std::string& database, const std::string& server,
                          std::uint64_t epoch, const std::function<void(PromoteOutcome)>& done) {
    this->platform.promote(database, server, this->self.member, epoch,
                           [this, weak = std::weak_ptr<bool>(this->alive), database, server, epoch,
                            done](PromoteOutcome outcome) {
                             if (weak.expired()) {
                               return;
                             }
                             static constexpr const char* kOutcomes[] = {"accepted", "not_running",
                                                                         "not_done", "unknown"};
                             this->logger.Info("promotion",
                                               {{"database", database},
                                                {"server", server},
                                                {"epoch", absl::StrCat(epoch)},
                                                {"outcome", kOutcomes[static_cast<int>(outcome)]}});
                             done(outcome);
                           });
  };
  result.demote = this->platform.demote;
  result.nudge = [this] { this->hooks.request_heartbeats(); };
  result.leading = [this] { return this->leadership.Leading(); };
  result.isolated = [this] { this->Resign("too few members are in contact", kIsolationPause); };
  return result;
}

void FleetLeader::Resign(const std::string& reason, Duration pause) {
  // Deferred, because the `lost` hook ends the authority, and this may be called during its tick.
  this->scheduler.RunAfter(Duration::zero(),
                           [this, weak = std::weak_ptr<bool>(this->alive), reason, pause] {
                             if (!weak.expired()) {
                               this->leadership.Resign(reason, pause);
                             }
                           });
}

void FleetLeader::ObserveStoreEra(std::uint64_t era) {
  if (era > this->store_era) {
    this->store_era = era;
    this->era_observed_at = this->clock.Now();
  }
  this->leadership.StoreRestored(era);
}

// Reads the decisions of earlier leaders after the take-over, when those can no longer write.
void FleetLeader::LoadFleetState(std::uint64_t epoch) {
  this->platform.store.list(kFleetPrefix, [this, weak = std::weak_ptr<bool>(this->alive), epoch](
                                              PlatformStatus status, const StorePage& page) {
    if (weak.expired() || this->leadership.Epoch() != epoch) {
      return;
    }
    if (status == PlatformStatus::kOk && EraOf(page.revision) != EraOf(epoch)) {
      this->ObserveStoreEra(EraOf(page.revision));
      return;
    }
    if (status == PlatformStatus::kOk) {
      this->BeginLeadership(epoch, page);
      return;
    }
    this->scheduler.RunAfter(kTakeOverRetryDelay, [this, weak, epoch] {
      if (!weak.expired() && this->leadership.Epoch() == epoch) {
        this->LoadFleetState(epoch);
      }
    });
  });
}

void FleetLeader::BeginLeadership(std::uint64_t epoch, const StorePage& page) {
  this->ObserveStoreEra(EraOf(epoch));
  FleetState state;
  state.era_observed_at = this->era_observed_at;
  state.uninterrupted = this->leadership.Uninterrupted() && this->last_leadership_began;
  std::map<std::string, std::uint64_t> registrations;
  for (const KeyValue& item : page.items) {
    if (absl::StartsWith(item.key, kMembersPrefix)) {
      const std::string member = item.key.substr(std::string_view(kMembersPrefix).size());
      registrations[member] = item.revision;
    } else if (absl::StartsWith(item.key, kPrimariesPrefix)) {
      const std::string name = item.key.substr(std::string_view(kPrimariesPrefix).size());
      if (const std::optional<PrimaryRecord> record = ParsePrimaryRecord(item.value)) {
        state.records[name] = *record;
        state.revisions[name] = item.revision;
      } else {
        this->logger.Error("primary_record_unreadable", {{"key", item.key}});
        state.unreadable[name] = item.revision;
      }
    }
  }
  if (!state.uninterrupted) {
    this->member_revisions.clear();
    this->lost_members.clear();
  }
  this->ReplaceRegistrations(registrations);
  state.members = this->Members();
  this->logger.Info("fleet_state",
                    {{"era", absl::StrCat(EraOf(epoch))},
                     {"uninterrupted", state.uninterrupted ? "true" : "false"},
                     {"era_known_ms", LogMilliseconds(this->clock.Now() - this->era_observed_at)},
                     {"records", absl::StrCat(state.records.size())},
                     {"members", absl::StrCat(state.members.size())}});
  this->authority.Begin(epoch, state);
  this->allowances.Begin(epoch, page, state.era_observed_at, state.uninterrupted);
  this->hooks.request_heartbeats();
}

void FleetLeader::StoreRecord(const std::string& database, const PrimaryRecord& record,
                              std::uint64_t revision,
                              const std::function<void(PlatformStatus, std::uint64_t)>& done) {
  const std::string key = absl::StrCat(kPrimariesPrefix, database);
  const std::string value = ToJson(record);
  // The write fails once another process has taken the leader's key.
  const std::vector<RevisionCondition> conditions = {{kLeaderKey, this->leadership.Epoch()}};
  this->platform.store.write(ConditionalWrite{key, revision, value, 0}, conditions,
                             [this, weak = std::weak_ptr<bool>(this->alive), key, value, done](
                                 PlatformStatus status, std::uint64_t written) {
                               if (weak.expired()) {
                                 return;
                               }
                               const bool unclear = status == PlatformStatus::kUnknown ||
                                                    status == PlatformStatus::kConflict;
                               if (unclear) {
                                 this->ResolveUnknownWrite(key, value, done);
                               } else {
                                 done(status, written);
                               }
                             });
}

// Reads the record to find out whether a write with an unknown outcome took effect.
void FleetLeader::ResolveUnknownWrite(
    const std::string& key, const std::string& value,
    const std::function<void(PlatformStatus, std::uint64_t)>& done) {
  this->platform.store.list(key, [key, value, done](PlatformStatus status, const StorePage& page) {
    const auto found = std::find_if(page.items.begin(), page.items.end(),
                                    [&key](const KeyValue& item) { return item.key == key; });
    if (status != PlatformStatus::kOk || found == page.items.end()) {
      done(PlatformStatus::kUnknown, 0);
    } else {
      done(found->value == value ? PlatformStatus::kOk : PlatformStatus::kConflict,
           found->revision);
    }
  });
}

void FleetLeader::SetMembers(const std::map<std::string, std::uint64_t>& revisions) {
  this->ReplaceRegistrations(revisions);
  this->authority.SetMembers(this->Members());
}

void FleetLeader::ReplaceRegistrations(const std::map<std::string, std::uint64_t>& revisions) {
  for (const auto& [member, revision] : this->member_revisions) {
    // Within one era, only a member that has left, or that was silent for long, is removed.
    if (revisions.count(member) == 0 && EraOf(revision) < this->store_era) {
      this->logger.Warning("registration_lost", {{"member", member}});
      this->lost_members.emplace(member, this->clock.Now());
    }
  }
  this->member_revisions = revisions;
  for (const auto& [member, revision] : revisions) {
    this->lost_members.erase(member);
    const auto removal = this->requested_removals.find(member);
    if (removal != this->requested_removals.end() && revision > removal->second) {
      this->requested_removals.erase(removal);
    }
  }
}

std::set<std::string> FleetLeader::Members() const {
  std::set<std::string> names;
  for (const auto& [name, revision] : this->member_revisions) {
    names.insert(name);
  }
  for (const auto& [name, since] : this->lost_members) {
    names.insert(name);
  }
  return names;
}

void FleetLeader::SetDatabases(const std::map<std::string, int>& connection_caps) {
  this->authority.SetDatabases(connection_caps);
}

void FleetLeader::SetSynchronousReplicas(const std::map<std::string, int>& replicas) {
  this->authority.SetSynchronousReplicas(replicas);
}

void FleetLeader::Tick() {
  this->authority.Tick();
  if (this->Leading()) {
    this->allowances.Tick();
  }
  if (this->Leading() && this->clock.Now() - this->last_cleanup > kRegistrationCleanupInterval) {
    this->last_cleanup = this->clock.Now();
    this->RemoveSilentMembers();
  }
}

void FleetLeader::RemoveSilentMembers() {
  const std::size_t lost = this->lost_members.size();
  for (auto member = this->lost_members.begin(); member != this->lost_members.end();) {
    const bool expired = this->clock.Now() - member->second > kRegistrationTimeout;
    member = expired ? this->lost_members.erase(member) : std::next(member);
  }
  if (this->lost_members.size() != lost) {
    this->authority.SetMembers(this->Members());
  }
  for (const std::string& member : this->authority.SilentMembers(kRegistrationTimeout)) {
    const auto revision = this->member_revisions.find(member);
    if (revision == this->member_revisions.end()) {
      continue;
    }
    this->logger.Info("member_forgotten", {{"member", member}});
    this->requested_removals[member] = revision->second;
    // The write has no effect if the member has registered again, or if another process leads,
    // which may have granted the member again. A failed call is repeated later.
    this->platform.store.write(
        ConditionalWrite{absl::StrCat(kMembersPrefix, member), revision->second, std::nullopt, 0},
        {{kLeaderKey, this->leadership.Epoch()}}, [](PlatformStatus, std::uint64_t) {});
  }
}

// A leader learns of the holders of its predecessors' grants by their registrations. A member that
// holds grants must therefore be registered until they end: in the revision that it wrote itself,
// which only it removes, and not in one whose removal a leader has requested.
bool FleetLeader::IsRegistered(const std::string& member, std::uint64_t registration) const {
  const auto present = this->member_revisions.find(member);
  if (present == this->member_revisions.end() || registration < present->second) {
    return false;
  }
  const auto removal = this->requested_removals.find(member);
  return removal == this->requested_removals.end() || registration > removal->second;
}

// The message may arrive after the first heartbeats of the next start of the process.
void FleetLeader::OnGrantsReturned(const HeartbeatMessage& message) {
  const auto present = this->member_revisions.find(message.member);
  if (present != this->member_revisions.end() && message.registration < present->second) {
    return;
  }
  this->logger.Info("grants_returned", {{"member", message.member}});
  this->authority.OnGrantsGivenBack(message.member, message.registration);
  this->allowances.OnReturned(message.member, message.registration);
}

HeartbeatAnswer FleetLeader::OnHeartbeat(const HeartbeatMessage& message) {
  HeartbeatAnswer answer;
  if (!this->Leading()) {
    return answer;
  }
  if (message.grants_returned) {
    this->OnGrantsReturned(message);
    return answer;
  }
  const TimePoint now = this->clock.Now();
  MemberReport report;
  report.member = message.member;
  report.registration = message.registration;
  report.registered = this->IsRegistered(message.member, message.registration);
  report.epoch = message.epoch;
  report.unreachable = message.unreachable;
  report.demand = message.demand;
  report.used_databases = message.used_databases;
  // The member sent the message no earlier than the stamp of the echoed answer plus `echo_held`.
  const bool echoed = message.echoed_stamp > 0 && message.epoch == this->leadership.Epoch();
  const TimePoint sent =
      echoed ? std::min(now, TimePoint(Duration(message.echoed_stamp)) + message.echo_held)
             : TimePoint();
  for (const auto& [name, database] : message.databases) {
    DatabaseReport converted;
    converted.generation = database.generation;
    converted.revoked_generation = database.revoked_generation;
    converted.known_term = database.newest ? database.newest->term : 0;
    if (echoed && database.newest) {
      converted.newest = PositionObservation{*database.newest, sent - database.newest_age};
    }
    if (database.answered_age) {
      // Without an echo the sending time is unknown. To assume too recent an answer is safe.
      converted.answered_at = (echoed ? sent : now) - *database.answered_age;
    }
    if (database.failing_for) {
      converted.failing_since = now - *database.failing_for;
    }
    report.databases.emplace(name, converted);
  }
  const GrantSet grants = this->authority.OnReport(report);
  answer.epoch = grants.epoch;
  answer.registered = report.registered;
  if (answer.epoch == 0) {
    // The versions of the primaries describe grants only.
    return answer;
  }
  answer.store_in_reach = now - this->leadership.ConfirmedAt() < kStoreConfirmationMaxAge;
  answer.stamp = Stamp(now);
  answer.heartbeat_interval = std::clamp<Duration>(
      kHeartbeatIntervalPerMember * static_cast<std::int64_t>(this->member_revisions.size()),
      kMinHeartbeatInterval, kMaxHeartbeatInterval);
  answer.primaries_version = this->versions.VersionOf(grants.primaries);
  this->versions.Describe(message.epoch == answer.epoch ? message.primaries_version : 0, answer);
  for (const auto& [server, share] : grants.connections) {
    if (share != kMinShare) {
      answer.connections.emplace(server, share);
    }
  }
  for (const auto& [name, observation] : grants.positions) {
    const auto primary = grants.primaries.find(name);
    if (primary != grants.primaries.end()) {
      answer.positions.emplace(name,
                               PositionMessage{primary->second.generation, observation.position,
                                               now - observation.as_of});
    }
  }
  this->allowances.OnHeartbeat(message, answer);
  return answer;
}

}  // namespace sycamoredrum
