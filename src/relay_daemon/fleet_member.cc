#include "fleet_member.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "packed_json.h"

namespace sycamoredrum {
namespace {

constexpr Duration kStateRequestInterval = std::chrono::seconds(1);
constexpr Duration kRevocationPollInterval = std::chrono::milliseconds(10);
// Shorter answers to heartbeats are not compressed. They fit into a few packets.
constexpr std::size_t kMinPackedBytes = 4096;
constexpr Duration kLeaveTimeout = std::chrono::milliseconds(400);

StoreMirrorOptions MakeLeaderMirrorOptions() {
  StoreMirrorOptions options;
  options.prefix = kLeaderKey;
  options.relaxed_watch_timeout = FleetMember::kRelaxedWatchTimeout;
  return options;
}

StoreMirrorOptions MakeMembersMirrorOptions() {
  StoreMirrorOptions options;
  options.prefix = kMembersPrefix;
  options.watch_interval = FleetMember::kMembersWatchInterval;
  return options;
}

Duration RandomJitter(Duration max_jitter, const RandomSource& random) {
  return Duration(
      static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(max_jitter.count())));
}

// Guards against a leader with 0.12 of a core and 300 members, whose heartbeats time out.
Duration CandidateDelay(double processor_share) {
  return processor_share < FleetMember::kLeaderProcessorShare ? FleetMember::kLowCpuCandidateDelay
                                                              : Duration::zero();
}

}  // namespace

FleetMember::FleetMember(const RelayPlatform& platform, MemberRecord self, double processor_share,
                         std::vector<Endpoint> seeds, const std::string& fleet_key,
                         FleetMemberHooks hooks, SessionRelay& relay, PrimaryGrants& grants,
                         ServerDirectory& servers, EventLoop& loop, const Clock& clock,
                         RandomSource random, Logger& logger, Metrics& metrics)
    : platform(platform),
      self(std::move(self)),
      processor_share(processor_share),
      seeds(std::move(seeds)),
      identity{this->self.member, this->self.data_centre, fleet_key},
      hooks(std::move(hooks)),
      relay(relay),
      grants(grants),
      servers(servers),
      loop(loop),
      clock(clock),
      logger(logger),
      metrics(metrics),
      random(random),
      leader_role(platform, this->self, CandidateDelay(processor_share),
                  FleetLeaderHooks{
                      [this](const std::string& member, const RevocationMessage& message,
                             std::function<void(const std::optional<RevocationAnswer>&)> done) {
                        this->Revoke(member, message, std::move(done));
                      },
                      [this] { this->RequestHeartbeats(); },
                      [this](const std::string& member) {
                        const auto record = this->members.find(member);
                        return record == this->members.end()
                                   ? std::nullopt
                                   : std::optional<MemberRecord>(record->second);
                      }},
                  clock, loop, random, logger, metrics),
      leader_mirror(platform.store, MakeLeaderMirrorOptions(), this->MakeLeaderMirrorHooks(), clock,
                    loop, random),
      members_mirror(platform.store, MakeMembersMirrorOptions(), this->MakeMembersMirrorHooks(),
                     clock, loop, random),
      registration(platform.store, this->self, this->MakeRegistrationHooks(), clock, loop, logger),
      peer_server(loop, this->identity, this->MakeServerOptions(), this->MakeHandlers()),
      started(clock.Now()),
      store_confirmed_at(clock.Now()),
      own_records_jitter(RandomJitter(kOwnRecordsTimeInLargeFleet, random)),
      last_heartbeat(clock.Now()),
      last_answer(clock.Now()),
      last_notices(clock.Now()),
      last_state_request(clock.Now()),
      grants_logged_at(clock.Now()),
      answer_received(clock.Now()),
      configuration_update(clock, logger, metrics),
      configuration_sources(this->self.member, clock, random) {}

// A member registers before it reads the leader's key. So a later leader finds the registration,
// and the member finds an earlier leader by the key.
MemberRegistrationHooks FleetMember::MakeRegistrationHooks() {
  MemberRegistrationHooks result;
  result.store_reachable = [this] { this->hooks.store_reachable(); };
  result.registered = [this] {
    // The leader grants nothing to a member that is not registered.
    this->heartbeat_wanted = true;
    if (!std::exchange(this->mirrors_started, true)) {
      this->leader_mirror.Start();
      this->members_mirror.Start();
    }
  };
  return result;
}

std::map<std::string, PeerHandler> FleetMember::MakeHandlers() {
  std::map<std::string, PeerHandler> handlers = this->hooks.handlers;
  const auto unreadable = [](const PeerRespond& respond) {
    respond(PeerReply{"null", "unreadable", "the message cannot be read"});
  };
  handlers["heartbeat"] = [this, unreadable](const PeerRequest& request, PeerRespond respond) {
    const std::optional<HeartbeatMessage> message = ParseHeartbeat(request.body);
    if (!message) {
      unreadable(respond);
      return;
    }
    HeartbeatAnswer answer = this->leader_role.OnHeartbeat(*message);
    // A restarted leader may have read an older configuration from a store that was restored.
    const auto sender = this->members.find(message->member);
    if (message->configuration > this->configuration_version && sender != this->members.end()) {
      this->configuration_update.Announce(message->configuration, message->member);
      this->RequestStateFrom(sender->second.endpoint);
    }
    answer.configuration = this->configuration_version;
    answer.servers_version = this->hooks.needs_servers() ? 0 : this->own_servers_version;
    answer.fleet_size = this->members.size();
    this->AddHolders(*message, answer);
    this->AddConfigurationSource(*message, answer);
    std::string text = ToJson(answer);
    if (message->accepts_deflated && text.size() >= kMinPackedBytes) {
      text = Pack(text);
    }
    respond(PeerReply{std::move(text), "", ""});
  };
  handlers["revoke"] = [this, unreadable](const PeerRequest& request, PeerRespond respond) {
    const std::optional<RevocationMessage> message = ParseRevocation(request.body);
    if (!message) {
      unreadable(respond);
      return;
    }
    this->OnRevocation(*message, [respond](const RevocationAnswer& answer) {
      respond(PeerReply{ToJson(answer), "", ""});
    });
  };
  handlers["nudge"] = [this, unreadable](const PeerRequest& request, const PeerRespond& respond) {
    const std::optional<LeaderNotice> notice = ParseLeaderNotice(request.body);
    if (!notice) {
      unreadable(respond);
      return;
    }
    this->SetLeader(notice->leader, notice->epoch);
    this->heartbeat_wanted = true;
    this->SendHeartbeat();
    respond(PeerReply{});
  };
  handlers["servers"] = [this, unreadable](const PeerRequest& request, const PeerRespond& respond) {
    const std::optional<StateRequest> wanted = ParseStateRequest(request.body);
    if (!wanted) {
      unreadable(respond);
      return;
    }
    respond(PeerReply{this->MakeServersReply(*wanted), "", ""});
  };
  handlers["state"] = [this, unreadable](const PeerRequest& request, const PeerRespond& respond) {
    const std::optional<StateRequest> wanted = ParseStateRequest(request.body);
    if (!wanted) {
      unreadable(respond);
      return;
    }
    respond(PeerReply{this->MakeStateReply(*wanted), "", ""});
  };
  handlers["allowance"] = [this, unreadable](const PeerRequest& request,
                                             const PeerRespond& respond) {
    if (const auto answer = this->hooks.tokens_requested(request.member, request.body)) {
      respond(PeerReply{*answer, "", ""});
    } else {
      unreadable(respond);
    }
  };
  return handlers;
}

StoreMirrorHooks FleetMember::MakeLeaderMirrorHooks() {
  StoreMirrorHooks result;
  result.changed = [this](const StoreEvent& event) { this->OnLeaderKey(event); };
  result.synchronized = [this] {
    this->logger.Info("fleet_synchronized",
                      {{"leader", this->leader ? this->leader->member : "none"}});
    this->leader_role.ObserveStoreEra(this->leader_mirror.Era());
    this->leader_role.Start();
  };
  result.relaxed = [this] { return this->LeaderReachable(); };
  result.wanted = [this] { return !this->LeaderReadsStore(); };
  result.max_retry_delay = [this] { return this->MaxStoreRetryDelay(); };
  result.reachable = [this](bool reachable) {
    this->logger.Info(reachable ? "store_regained" : "store_lost", {{"keys", kLeaderKey}});
  };
  result.restored = [this](std::uint64_t era) { this->OnStoreRestored(kLeaderKey, era); };
  return result;
}

StoreMirrorHooks FleetMember::MakeMembersMirrorHooks() {
  StoreMirrorHooks result;
  result.changed = [this](const StoreEvent& event) { this->OnMemberKey(event); };
  result.synchronized = [] {};
  result.wanted = [this] { return this->leader_role.Leading(); };
  result.reachable = [](bool) {};
  result.restored = [this](std::uint64_t era) { this->OnStoreRestored(kMembersPrefix, era); };
  return result;
}

Duration FleetMember::MaxStoreRetryDelay() const {
  return std::max<Duration>(StoreMirror::kMaxRetryDelay,
                            kRetryDelayPerMember * static_cast<std::int64_t>(this->fleet_size));
}

bool FleetMember::LeaderReadsStore() const {
  return this->fleet_size > kMaxSmallFleetSize && this->store_in_reach && this->LeaderReachable();
}

bool FleetMember::ReadsStore() const {
  const bool large = this->fleet_size == 0 || this->fleet_size > kMaxSmallFleetSize;
  return !large || this->leader_role.Leading() ||
         this->clock.Now() - this->store_confirmed_at > kNextLeaderTimeout;
}

bool FleetMember::Start() {
  if (!this->peer_server.Listen(this->self.endpoint)) {
    this->last_reason = this->peer_server.LastReason();
    return false;
  }
  this->registration.Start();
  return true;
}

// A process may have acknowledged a revocation before it restarted, and a replaced leader may still
// send the revoked grant until its lease expires. Grants are therefore accepted only when the
// current leader is known from the store, or one lease time after the start.
bool FleetMember::MayAcceptGrants() const {
  return this->leader_mirror.Synchronized() ||
         this->clock.Now() - this->started > LeadershipOptions{}.lease;
}

bool FleetMember::HasGrants() const {
  const auto configuration = this->relay.Configuration();
  return std::all_of(
      configuration->connection_caps.begin(), configuration->connection_caps.end(),
      [this](const auto& database) { return this->grants.CurrentGeneration(database.first) != 0; });
}

bool FleetMember::CutOff() const {
  const auto configuration = this->relay.Configuration();
  const bool has_grant = std::any_of(
      configuration->connection_caps.begin(), configuration->connection_caps.end(),
      [this](const auto& database) { return this->grants.CurrentGeneration(database.first) != 0; });
  return !has_grant && !this->leader_mirror.Reachable() && !this->leader_role.Leading() &&
         this->clock.Now() - this->last_answer > kLeaderTimeout;
}

void FleetMember::Tick() {
  this->leader_role.Tick();
  const TimePoint now = this->clock.Now();
  const Duration since = now - this->last_heartbeat;
  if (since >= this->heartbeat_interval ||
      (this->heartbeat_wanted && since >= kUrgentHeartbeatInterval)) {
    this->SendHeartbeat();
  }
  if (this->leader_role.Leading()) {
    if (now - this->last_notices >= kNoticeInterval) {
      this->NotifySilentMembers();
      this->ForgetLostMembers();
    }
    this->SendPendingNotices();
  }
  const bool needs_state = !this->leader || now - this->last_answer > kLeaderTimeout ||
                           this->configuration_version == 0 || this->hooks.needs_servers();
  if (needs_state && now - this->last_state_request > kStateRequestInterval) {
    this->RequestState();
  }
  if (now - this->grants_logged_at >= kGrantLogInterval) {
    this->grants_logged_at = now;
    this->LogGrants();
  }
}

void FleetMember::LogGrants() {
  for (const auto& [name, cap] : this->relay.Configuration()->connection_caps) {
    const std::uint64_t generation = this->grants.CurrentGeneration(name);
    std::optional<std::uint64_t>& logged = this->logged_grants[name];
    if (logged != generation) {
      logged = generation;
      const std::optional<PrimaryGrant> grant = this->grants.Current(name);
      this->logger.Info("grant", {{"database", name},
                                  {"server", grant ? grant->server : "none"},
                                  {"generation", absl::StrCat(generation)},
                                  {"epoch", absl::StrCat(this->grants.Epoch())}});
    }
  }
}

PeerLink& FleetMember::LinkTo(const Endpoint& endpoint) {
  std::unique_ptr<PeerLink>& link = this->links[endpoint];
  if (!link) {
    link = std::make_unique<PeerLink>(this->loop, this->identity, PeerOptions{}, endpoint);
  }
  return *link;
}

// Positions and answers that this member received from the leader are not sent back to it.
bool FleetMember::ShouldReport(const std::string& database, const DatabaseReport& report) const {
  const bool refuses =
      report.revoked_generation != 0 && report.revoked_generation >= report.generation;
  const auto reported = this->reported_answer_times.find(database);
  const bool answered = report.answered_at && (reported == this->reported_answer_times.end() ||
                                               *report.answered_at > reported->second);
  return refuses || answered || report.failing_since;
}

HeartbeatMessage FleetMember::MakeHeartbeat() {
  const TimePoint now = this->clock.Now();
  HeartbeatMessage message;
  message.member = this->self.member;
  message.registration = this->registration.Revision();
  message.epoch = this->grants.Epoch();
  message.configuration = this->configuration_version;
  message.primaries_version = this->known_primaries.VersionFor(message.epoch);
  message.accepts_deflated = true;
  if (this->answer_stamp != 0 && this->answer_epoch == message.epoch) {
    message.echoed_stamp = this->answer_stamp;
    message.echo_held = now - this->answer_received;
  }
  for (const auto& [name, report] : this->relay.Report()) {
    if (!this->ShouldReport(name, report)) {
      continue;
    }
    DatabaseReportMessage& database = message.databases[name];
    database.generation = report.generation;
    database.revoked_generation = report.revoked_generation;
    if (report.newest) {
      database.newest = report.newest->position;
      database.newest_age = now - report.newest->as_of;
    }
    if (report.answered_at) {
      database.answered_age = now - *report.answered_at;
      this->reported_answer_times[name] = *report.answered_at;
    }
    if (report.failing_since) {
      database.failing_for = now - *report.failing_since;
    }
  }
  message.unreachable = this->relay.UnusableServers();
  message.demand = this->relay.Demand();
  if (this->relay.Configuration()->connection_caps.size() > kMaxDatabasesWithAllPositions) {
    message.used_databases = this->relay.DatabasesInUse();
  }
  this->hooks.extend_heartbeat(message);
  this->AddProcessorShare(message);
  return message;
}

void FleetMember::SendHeartbeat() {
  if (this->heartbeat_in_flight || this->left || !this->leader) {
    return;
  }
  const TimePoint sent = this->clock.Now();
  this->last_heartbeat = sent;
  this->heartbeat_wanted = false;
  const HeartbeatMessage message = this->MakeHeartbeat();
  if (this->leader->member == this->self.member) {
    HeartbeatAnswer answer = this->leader_role.OnHeartbeat(message);
    answer.configuration = this->configuration_version;
    answer.fleet_size = this->members.size();
    this->AddHolders(message, answer);
    this->OnAnswer(answer, sent);
    return;
  }
  this->heartbeat_in_flight = true;
  this->LinkTo(this->leader->endpoint)
      .Call("heartbeat", ToJson(message), kRequestTimeout,
            [this, sent, member = this->leader->member](const PeerAnswer& reply) {
              this->heartbeat_in_flight = false;
              const std::optional<HeartbeatAnswer> answer =
                  reply.Ok() ? ParseHeartbeatAnswer(reply.body) : std::nullopt;
              if (answer) {
                this->OnAnswer(*answer, sent);
                return;
              }
              this->store_in_reach = false;
              this->metrics.Increment(Metric::kPeerErrors, {"heartbeat"});
              this->logger.Warning("heartbeat_failed",
                                   {{"leader", member}, {"reason", reply.message}});
            });
}

void FleetMember::OnAnswer(const HeartbeatAnswer& answer, TimePoint sent) {
  if (this->left) {
    return;
  }
  if (!answer.registered) {
    // The leader removes the registration of a member that sent no heartbeat for long.
    this->registration.RegisterAgain();
  }
  if (answer.epoch == 0) {
    this->store_in_reach = false;
    return;
  }
  if (!this->MayAcceptGrants() || !this->grants.Adopt(answer.epoch)) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->last_answer = now;
  this->store_in_reach = answer.store_in_reach;
  if (answer.store_in_reach) {
    this->store_confirmed_at = now;
  }
  this->fleet_size = std::max<std::size_t>(answer.fleet_size, 1);
  this->relay.SetFleetSize(this->fleet_size);
  this->ApplyHolders(answer);
  this->answer_epoch = answer.epoch;
  this->answer_stamp = answer.stamp;
  this->answer_received = now;
  this->heartbeat_interval = answer.heartbeat_interval;
  for (const auto& [name, record] : this->known_primaries.Update(answer)) {
    this->grants.Renew(name, PrimaryGrant{record.server, record.generation, answer.epoch,
                                          sent + PrimaryAuthority::kGrantValidity});
  }
  for (const auto& [name, position] : answer.positions) {
    // The leader answered after `sent`, so the observation is at most this old.
    this->relay.ObservePosition(name, position.generation,
                                PositionObservation{position.position, sent - position.age});
  }
  this->relay.SetShares(answer.connections);
  this->relay.GrantsChanged();
  this->hooks.heartbeat_answered(answer, sent);
  if (answer.configuration > this->configuration_version) {
    this->FollowAnnouncement(answer);
  }
  if (answer.servers_version == 0) {
    // The leader cannot read the records from the store; this process reads them itself.
    this->servers_version = 0;
  }
  const bool current =
      this->servers_epoch == answer.epoch && this->servers_version == answer.servers_version;
  if (answer.servers_version != 0 && !current && this->leader &&
      this->leader->member != this->self.member && this->MayRequestServers()) {
    this->RequestServers(answer.epoch);
  }
}

void FleetMember::Revoke(const std::string& member, const RevocationMessage& message,
                         std::function<void(const std::optional<RevocationAnswer>&)> done) {
  if (member == this->self.member) {
    this->OnRevocation(message, [done](const RevocationAnswer& answer) { done(answer); });
    return;
  }
  const auto record = this->members.find(member);
  if (record == this->members.end()) {
    this->loop.Post([done] { done(std::nullopt); });
    return;
  }
  this->LinkTo(record->second.endpoint)
      .Call("revoke", ToJson(message), kRequestTimeout, [done](const PeerAnswer& reply) {
        done(reply.Ok() ? ParseRevocationAnswer(reply.body) : std::nullopt);
      });
}

void FleetMember::OnRevocation(const RevocationMessage& message,
                               std::function<void(const RevocationAnswer&)> done) {
  this->leader_role.ObserveEpoch(message.epoch);
  // A promotion call that this process made as an earlier leader may still reach the platform.
  const bool older_call = this->leader_role.PromotionInFlight() && !this->leader_role.Leading();
  if (older_call || !this->grants.Revoke(message.epoch, message.database, message.generation)) {
    done(RevocationAnswer{});
    return;
  }
  const Duration grace = message.planned ? kRevocationGrace : Duration::zero();
  this->FinishRevocation(message, this->clock.Now() + grace, std::move(done));
}

void FleetMember::FinishRevocation(const RevocationMessage& message, TimePoint deadline,
                                   std::function<void(const RevocationAnswer&)> done) {
  if (this->clock.Now() < deadline && this->relay.SessionsOnPrimary(message.database) > 0) {
    this->loop.RunAfter(kRevocationPollInterval, [this, message, deadline, done = std::move(done)] {
      this->FinishRevocation(message, deadline, done);
    });
    return;
  }
  RevocationAnswer answer;
  answer.acknowledged = true;
  answer.registration = this->registration.Revision();
  answer.newest = this->relay.LastPosition(message.database, message.generation);
  answer.confirmed = this->relay.LastConfirmed(message.database, message.generation);
  this->grants.FinishRevocation(message.database);
  done(answer);
}

// Called when the leader has new grants or has just begun to lead. The notices are spread over
// several ticks, because each may need a new link and causes a heartbeat. With 300 members, that is
// a high load for a new leader on a small VM.
void FleetMember::RequestHeartbeats() {
  this->members_mirror.Wake();
  this->heartbeat_wanted = true;
  this->SendHeartbeat();
  for (const auto& [name, record] : this->members) {
    this->notices_to_send.insert(name);
  }
  this->SendPendingNotices();
}

void FleetMember::SendPendingNotices() {
  const auto send = [this](std::set<std::string>& pending, std::size_t max_count) {
    for (std::size_t sent = 0; sent < max_count && !pending.empty(); ++sent) {
      this->SendNotice(pending.extract(pending.begin()).value());
    }
  };
  send(this->notices_to_send, kNoticesPerTick);
  send(this->links_to_open, kLinksPerTick);
}

void FleetMember::SendNotice(const std::string& member) {
  const auto record = this->members.find(member);
  this->links_to_open.erase(member);
  if (member == this->self.member || record == this->members.end()) {
    return;
  }
  const LeaderNotice notice{this->self, this->leader_role.Epoch()};
  this->LinkTo(record->second.endpoint)
      .Call("nudge", ToJson(notice), kRequestTimeout, [](const PeerAnswer&) {
        // A member that was not reached is notified again or finds the leader by itself.
      });
}

// A member that cannot read the store may still follow an earlier leader.
void FleetMember::NotifySilentMembers() {
  this->last_notices = this->clock.Now();
  for (const std::string& member : this->leader_role.SilentMembers(kNoticeInterval * 3)) {
    this->SendNotice(member);
  }
}

void FleetMember::OnPrimarySuspected(const std::string& database) {
  this->logger.Info("primary_suspected", {{"database", database}});
  this->heartbeat_wanted = true;
}

void FleetMember::ConfigurationChanged(const RelayConfiguration& configuration) {
  this->configuration_version = configuration.version;
  this->configuration_update.Applied(configuration.version);
  this->configuration_sources.SetVersion(configuration.version);
  // The leader learns that this process can deliver the version.
  this->heartbeat_wanted = true;
  this->leader_role.SetSynchronousReplicas(configuration.synchronous_replicas);
  this->leader_role.SetDatabases(configuration.connection_caps);
}

void FleetMember::PutServer(const BackendServerRecord& record) {
  ++this->own_servers_version;
  this->leader_role.PutServer(record);
}

void FleetMember::RemoveServer(const std::string& id) {
  ++this->own_servers_version;
  this->leader_role.RemoveServer(id);
}

void FleetMember::PrepareToLeave() {
  this->registration.StopRetrying();
  this->leader_role.Resign("the process stops", std::chrono::hours(1));
}

// The registration is removed last. While it exists, no other server is promoted before this
// process has given its grants back or they have expired.
void FleetMember::Leave(std::function<void()> done) {
  this->left = true;
  this->grants.DropAll();
  const auto once = std::make_shared<std::function<void()>>(std::move(done));
  const auto finish = [once] {
    if (const auto action = std::exchange(*once, nullptr)) {
      action();
    }
  };
  this->loop.RunAfter(kLeaveTimeout, finish);
  // The process ends when the store and the leader have answered.
  const auto answers = std::make_shared<int>(2);
  const auto answered = [answers, finish] {
    if (--*answers == 0) {
      finish();
    }
  };
  this->ReturnGrants(answered);
  this->registration.Remove(answered);
}

// Without this message, the leader waits until the grants expire before it promotes another server.
void FleetMember::ReturnGrants(std::function<void()> done) {
  if (!this->leader || this->leader->member == this->self.member) {
    this->loop.Post(std::move(done));
    return;
  }
  HeartbeatMessage message;
  message.member = this->self.member;
  message.registration = this->registration.Revision();
  message.grants_returned = true;
  this->LinkTo(this->leader->endpoint)
      .Call("heartbeat", ToJson(message), kRequestTimeout,
            [done = std::move(done)](const PeerAnswer&) { done(); });
}

}  // namespace sycamoredrum
