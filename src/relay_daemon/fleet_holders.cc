#include <algorithm>

#include "fleet_member.h"

// Exchange of the list of relays that hold connections, and the links for forwarded statements.

namespace sycamoredrum {

// Other fleets send and receive nothing about holders.
void FleetMember::AddProcessorShare(HeartbeatMessage& message) const {
  const auto configuration = this->relay.Configuration();
  const bool applies = std::any_of(
      configuration->connection_caps.begin(), configuration->connection_caps.end(),
      [this](const auto& cap) { return ForwardingApplies(cap.second, this->fleet_size); });
  if (applies) {
    message.processor_share = this->processor_share;
  }
  message.holders_version = this->holders_version;
}

void FleetMember::AddHolders(const HeartbeatMessage& message, HeartbeatAnswer& answer) {
  if (answer.epoch == 0 || (!message.processor_share && message.holders_version == 0)) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->holder_list.OnHeartbeat(answer.epoch, message, now);
  if (this->holder_list.RefreshDue(now)) {
    HolderList::Fleet fleet;
    fleet.members = this->members;
    const std::vector<std::string> silent = this->leader_role.SilentMembers(kNoticeInterval * 3);
    fleet.silent = std::set<std::string>(silent.begin(), silent.end());
    fleet.connection_caps = this->relay.Configuration()->connection_caps;
    for (const auto& [id, record] : this->servers.Records()) {
      fleet.data_centres.insert(record.data_centre);
    }
    this->holder_list.Refresh(fleet, now);
  }
  this->holder_list.AddTo(answer, message.holders_version);
}

void FleetMember::ApplyHolders(const HeartbeatAnswer& answer) {
  if (!answer.holders) {
    return;
  }
  this->holders_version = answer.holders_version;
  this->relay.SetConnectionHolders(*answer.holders);
  this->logger.Info("holders_changed", {{"holders", std::to_string(answer.holders->size())}});
}

void FleetMember::Call(const Endpoint& endpoint, const std::string& kind, const std::string& body,
                       Duration timeout, PeerCallback done) {
  this->LinkTo(endpoint).Call(kind, body, timeout, std::move(done));
}

PeerOptions FleetMember::MakeServerOptions() const {
  PeerOptions options;
  options.links_ended = this->hooks.links_ended;
  return options;
}

bool FleetMember::LinkOpen(const Endpoint& endpoint) const {
  const auto link = this->links.find(endpoint);
  return link != this->links.end() && link->second->Stats().open > 0;
}

}  // namespace sycamoredrum
