#include "membership_service.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "peer_body.h"

namespace sycamoredrum {

MembershipService::MembershipService(Parts parts)
    : parts(std::move(parts)), context(SerialContext::Create(this->parts.loop)) {
  this->membership = std::make_unique<Membership>(
      this->Self(), this->parts.settings.fleet_key, this->parts.settings.seeds, this->MakeHooks(),
      this->parts.loop, *this->context, this->parts.random);
  this->Publish();
}

MembershipService::~MembershipService() { this->context->Close(); }

Member MembershipService::Self() const {
  Member self;
  self.id = this->parts.settings.member_id;
  self.data_centre = this->parts.settings.data_centre;
  self.datagrams = this->parts.settings.membership_address;
  self.peer_links = this->parts.settings.peer_address;
  self.incarnation = this->parts.incarnation;
  return self;
}

MembershipHooks MembershipService::MakeHooks() {
  MembershipHooks hooks;
  hooks.send = [this](const Endpoint& to, const std::string& datagram) {
    this->parts.metrics.Increment(Metric::kControlBytes, {"membership", "sent"},
                                  static_cast<double>(datagram.size()));
    this->parts.socket.Send(to, datagram);
  };
  hooks.changed = [this] { this->Publish(); };
  hooks.configuration_number = [this] { return this->parts.configuration.Get()->Number(); };
  hooks.number_heard = [this](const std::string& member, std::uint64_t number) {
    this->parts.loop.Post(
        [heard = this->parts.number_heard, member, number] { heard(member, number); });
  };
  hooks.exchange = [this](const std::string& member) { this->Exchange(member); };
  return hooks;
}

// Called under the context's mutex, or by the constructor.
void MembershipService::Publish() {
  auto fleet = std::make_shared<Fleet>();
  fleet->members = this->membership->Members();
  fleet->candidates = DutyCandidates(fleet->members);
  std::set<std::string> present;
  std::map<std::string, int> states;
  for (const Member& member : fleet->members) {
    present.insert(member.id);
    ++states[std::string(ToString(member.state))];
  }
  std::vector<std::string> gone;
  for (const std::string& id : this->known) {
    if (present.count(id) == 0) {
      gone.push_back(id);
    }
  }
  for (const char* state : {"alive", "suspect", "leaving"}) {
    this->parts.metrics.Set(Metric::kMembers, {state}, states[state]);
  }
  if (present != this->known) {
    this->parts.logger.Info("fleet_changed", {{"members", absl::StrCat(present.size())},
                                              {"gone", absl::StrCat(gone.size())}});
  }
  this->known = std::move(present);
  this->parts.fleet.Set(std::move(fleet));
  this->parts.loop.Post([changed = this->parts.changed, gone] { changed(gone); });
}

void MembershipService::Exchange(const std::string& member) {
  const nlohmann::json body = {{"digest", absl::Base64Escape(this->membership->ExportDigest())}};
  PeerCallback done = [this](const PeerAnswer& answer) {
    std::string state;
    if (answer.Ok() &&
        absl::Base64Unescape(ReadField(answer.body, "state", std::string()), &state)) {
      this->membership->MergeState(state);
    }
  };
  this->parts.call(member, "members", body.dump(), kExchangeTimeout,
                   this->context->Wrap(std::move(done)));
}

std::string MembershipService::AnswerMembers(const std::string& body) {
  std::string digest;
  if (!absl::Base64Unescape(ReadField(body, "digest", std::string()), &digest)) {
    digest.clear();
  }
  const std::string state =
      this->context->Run([&] { return this->membership->ExportState(digest); });
  return nlohmann::json({{"state", absl::Base64Escape(state)}}).dump();
}

void MembershipService::Start() {
  this->context->Run([this] { this->membership->Start(); });
}

void MembershipService::Leave() {
  this->context->Run([this] { this->membership->Leave(); });
}

void MembershipService::Stop() {
  this->context->Run([this] { this->membership->Stop(); });
}

void MembershipService::SetSeeds(std::vector<Endpoint> seeds) {
  this->context->Run([&] { this->membership->SetSeeds(std::move(seeds)); });
}

void MembershipService::HandleDatagram(const Endpoint& from, const std::string& datagram) {
  this->parts.metrics.Increment(Metric::kControlBytes, {"membership", "received"},
                                static_cast<double>(datagram.size()));
  this->context->Run([&] { this->membership->HandleDatagram(from, datagram); });
}

void MembershipService::ExportCounters() {
  const MembershipCounters counters =
      this->context->Run([this] { return this->membership->Counters(); });
  const std::pair<const char*, std::uint64_t> events[] = {
      {"datagram_sent", counters.datagrams_sent},
      {"datagram_refused", counters.datagrams_refused},
      {"suspicion", counters.suspicions},
      {"refutation", counters.refutations},
      {"pause", counters.pauses},
  };
  for (const auto& [event, total] : events) {
    this->parts.metrics.RaiseTo(Metric::kMembershipEvents, {event}, static_cast<double>(total));
  }
}

}  // namespace sycamoredrum
