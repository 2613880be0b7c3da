#include <algorithm>
#include <utility>

#include "fleet_member.h"
#include "packed_json.h"

// Exchange of the configuration and the backend servers' records between members.

namespace sycamoredrum {

bool FleetMember::LeaderReachable() const {
  return this->leader && this->leader->member != this->self.member &&
         this->clock.Now() - this->last_answer <= kLeaderTimeout;
}

bool FleetMember::HasServersOfLeader() const {
  return this->LeaderReachable() && this->servers_version != 0 &&
         this->servers_epoch == this->answer_epoch;
}

std::string FleetMember::MakeServersReply(const StateRequest& request) {
  const std::uint64_t epoch = this->leader_role.Epoch();
  const std::uint64_t version = this->hooks.needs_servers() ? 0 : this->own_servers_version;
  ServersReply& reply = this->servers_reply;
  const bool compressed = request.accepts_deflated;
  if (reply.epoch != epoch || reply.version != version || reply.compressed != compressed ||
      reply.text.empty()) {
    SharedState state;
    state.epoch = epoch;
    state.servers_version = version;
    state.peers = this->SamplePeers();
    reply =
        ServersReply{epoch, version, this->servers.Fingerprint(), compressed, "", ToJson(state)};
    state.servers = this->servers.Records();
    reply.text = compressed ? Pack(ToJson(state)) : ToJson(state);
  }
  return request.servers_fingerprint == reply.fingerprint ? reply.text_without_records : reply.text;
}

bool FleetMember::MayRequestServers() const {
  const TimePoint now = this->clock.Now();
  const bool large = this->fleet_size > kMaxSmallFleetSize;
  const Duration own_records =
      large ? kOwnRecordsTimeInLargeFleet + this->own_records_jitter : kOwnRecordsTime;
  return now - this->started > own_records &&
         (!large || now - this->last_servers_request > kServersRequestInterval);
}

void FleetMember::RequestServers(std::uint64_t epoch) {
  if (std::exchange(this->servers_request_in_flight, true)) {
    return;
  }
  this->last_servers_request = this->clock.Now();
  const StateRequest request{this->configuration_version, this->servers.Fingerprint(), true};
  this->LinkTo(this->leader->endpoint)
      .Call("servers", ToJson(request), kServersTimeout,
            [this, epoch, own_version = this->own_servers_version](const PeerAnswer& reply) {
              this->servers_request_in_flight = false;
              const std::optional<SharedState> state =
                  reply.Ok() ? ParseSharedState(reply.body) : std::nullopt;
              if (!state || state->epoch != epoch || state->servers_version == 0) {
                return;
              }
              this->peers = state->peers;
              const bool compared = own_version == this->own_servers_version;
              if (!state->servers && !compared) {
                // The own records have changed since; the next heartbeat requests them again.
                return;
              }
              this->servers_epoch = epoch;
              this->servers_version = state->servers_version;
              if (state->servers) {
                this->servers.Replace(*state->servers);
              }
            });
}

void FleetMember::RequestConfiguration() {
  if (this->LeaderReachable()) {
    this->heartbeat_wanted = true;
  } else {
    this->RequestState();
  }
}

void FleetMember::AddConfigurationSource(const HeartbeatMessage& message, HeartbeatAnswer& answer) {
  const auto record = this->members.find(message.member);
  if (answer.epoch == 0 || record == this->members.end()) {
    return;
  }
  const std::string& data_centre = record->second.data_centre;
  this->configuration_sources.OnReport(message.member, data_centre, message.configuration);
  if (message.configuration >= this->configuration_version) {
    return;
  }
  answer.configuration_sources.emplace();
  const std::optional<std::string> source =
      this->configuration_sources.Choose(message.member, data_centre);
  if (!source) {
    return;
  }
  const auto chosen = this->members.find(*source);
  if (*source == this->self.member) {
    answer.configuration_sources->push_back(this->self.endpoint);
  } else if (chosen != this->members.end()) {
    answer.configuration_sources->push_back(chosen->second.endpoint);
  } else {
    this->configuration_sources.Remove(*source);
  }
}

void FleetMember::FollowAnnouncement(const HeartbeatAnswer& answer) {
  this->configuration_update.Announce(answer.configuration, this->leader->member);
  if (!answer.configuration_sources) {
    this->RequestConfigurationFrom(this->leader->endpoint);
  } else if (!answer.configuration_sources->empty()) {
    this->RequestConfigurationFrom(answer.configuration_sources->front());
  }
}

void FleetMember::RequestConfigurationFrom(const Endpoint& source) {
  if (!this->configuration_update.BeginRequest()) {
    return;
  }
  const StateRequest request{this->configuration_version, std::nullopt, true};
  this->LinkTo(source).Call("state", ToJson(request), ConfigurationUpdate::kRequestTimeout,
                            [this, name = source.ToString()](const PeerAnswer& reply) {
                              this->configuration_update.EndRequest();
                              const std::optional<SharedState> state =
                                  reply.Ok() ? ParseSharedState(reply.body) : std::nullopt;
                              if (state) {
                                this->OnState(*state, name);
                              } else {
                                this->configuration_update.RequestFailed(name, reply.message);
                              }
                            });
}

void FleetMember::RequestState() {
  const bool leader_answers = this->leader && this->leader->member != this->self.member &&
                              this->clock.Now() - this->last_answer <= kLeaderTimeout;
  std::vector<Endpoint> others = this->seeds;
  others.insert(others.end(), this->peers.begin(), this->peers.end());
  others.erase(std::remove(others.begin(), others.end(), this->self.endpoint), others.end());
  if (others.empty() && !leader_answers) {
    return;
  }
  this->RequestStateFrom(leader_answers ? this->leader->endpoint
                                        : others[this->next_seed++ % others.size()]);
}

void FleetMember::RequestStateFrom(const Endpoint& target) {
  if (std::exchange(this->state_request_in_flight, true)) {
    return;
  }
  this->last_state_request = this->clock.Now();
  StateRequest request{this->configuration_version, std::nullopt, true};
  if (this->hooks.needs_servers()) {
    request.servers_fingerprint = this->servers.Fingerprint();
  }
  this->LinkTo(target).Call("state", ToJson(request), kRequestTimeout,
                            [this, source = target.ToString()](const PeerAnswer& reply) {
                              this->state_request_in_flight = false;
                              const std::optional<SharedState> state =
                                  reply.Ok() ? ParseSharedState(reply.body) : std::nullopt;
                              if (state) {
                                this->OnState(*state, source);
                              } else {
                                this->configuration_update.RequestFailed(source, reply.message);
                              }
                            });
}

std::string FleetMember::MakeStateReply(const StateRequest& request) {
  const bool newer = request.configuration < this->configuration_version;
  const bool servers_differ = request.servers_fingerprint.value_or(this->servers.Fingerprint()) !=
                              this->servers.Fingerprint();
  ConfigurationReply& cached = this->configuration_reply;
  const bool cacheable = newer && !servers_differ && request.accepts_deflated;
  if (cacheable && cached.version == this->configuration_version &&
      cached.epoch == this->leader_epoch) {
    return cached.text;
  }
  SharedState state;
  state.configuration = this->configuration_version;
  if (newer) {
    state.configuration_text = this->hooks.configuration_text();
  }
  if (servers_differ) {
    state.servers = this->servers.Records();
  }
  state.leader = this->leader;
  state.epoch = this->leader_epoch;
  state.peers = this->SamplePeers();
  std::string text = ToJson(state);
  if (!request.accepts_deflated || (!newer && !servers_differ)) {
    return text;
  }
  std::string packed = Pack(text);
  if (cacheable) {
    cached = ConfigurationReply{this->configuration_version, this->leader_epoch, packed};
  }
  return packed;
}

// The sample differs for each version of the records, so that members do not all know the same
// peers.
std::vector<Endpoint> FleetMember::SamplePeers() {
  if (this->members.empty()) {
    return this->peers;
  }
  std::vector<Endpoint> all;
  for (const auto& [name, record] : this->members) {
    all.push_back(record.endpoint);
  }
  std::vector<Endpoint> chosen;
  while (chosen.size() < kPeerSampleSize && !all.empty()) {
    const std::size_t index = this->random() % all.size();
    chosen.push_back(all[index]);
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

void FleetMember::OnState(const SharedState& state, const std::string& source) {
  if (!state.peers.empty()) {
    this->peers = state.peers;
  }
  if (state.configuration > this->configuration_version && !state.configuration_text.empty()) {
    this->hooks.configuration_received(state.configuration_text, source);
  }
  if (this->hooks.needs_servers() && state.servers && !state.servers->empty()) {
    this->servers.Replace(*state.servers);
  }
  if (state.leader) {
    this->SetLeader(*state.leader, state.epoch);
  }
}

}  // namespace sycamoredrum
