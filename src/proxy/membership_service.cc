#include "membership_service.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "peer_body.h"

namespace sycamoredrum {

MembershipService::MembershipService(Dependencies dependencies)
    : dependencies(std::move(dependencies)),
      context(SerialContext::Create(this->dependencies.loop)) {
  this->membership = std::make_unique<Membership>(
      this->Self(), this->dependencies.settings.fleet_key, this->dependencies.settings.seeds,
      this->MakeHooks(), this->dependencies.loop, *this->context, this->dependencies.random);
  this->Publish();
}

MembershipService::~MembershipService() { this->context->Close(); }

Member MembershipService::Self() const {
  Member self;
  self.id = this->dependencies.settings.member_id;
  self.data_centre = this->dependencies.settings.data_centre;
  self.datagram_endpoint = this->dependencies.settings.membership_address;
  self.peer_link_endpoint = this->dependencies.settings.peer_address;
  self.incarnation = this->dependencies.incarnation;
  return self;
}

MembershipHooks MembershipService::MakeHooks() {
  MembershipHooks hooks;
  hooks.send = [this](const Endpoint& to, const std::string& datagram) {
    this->dependencies.metrics.Increment(Metric::kControlBytes, {"membership", "sent"},
                                         static_cast<double>(datagram.size()));
    this->dependencies.socket.Send(to, datagram);
  };
  hooks.changed = [this] { this->Publish(); };
  hooks.configuration_number = [this] { return this->dependencies.configuration.Get()->Number(); };
  hooks.configuration_number_received = [this](const std::string& member, std::uint64_t number) {
    this->dependencies.loop.Post(
        [handle = this->dependencies.handle_number, member, number] { handle(member, number); });
  };
  hooks.exchange = [this](const std::string& member) { this->Exchange(member); };
  return hooks;
}

// Called under the mutex of the context, or by the constructor.
void MembershipService::Publish() {
  auto fleet = std::make_shared<Fleet>();
  fleet->members = this->membership->Members();
  fleet->candidates = DutyCandidates(fleet->members);
  std::set<std::string> current_ids;
  std::map<std::string, int> states;
  for (const Member& member : fleet->members) {
    current_ids.insert(member.id);
    ++states[std::string(ToString(member.state))];
  }
  std::vector<std::string> gone;
  for (const std::string& id : this->published_ids) {
    if (current_ids.count(id) == 0) {
      gone.push_back(id);
    }
  }
  for (const char* state : {"alive", "suspect", "leaving"}) {
    this->dependencies.metrics.Set(Metric::kMembers, {state}, states[state]);
  }
  if (current_ids != this->published_ids) {
    this->dependencies.logger.Info("fleet_changed", {{"members", absl::StrCat(current_ids.size())},
                                                     {"gone", absl::StrCat(gone.size())}});
  }
  this->published_ids = std::move(current_ids);
  this->dependencies.fleet.Set(std::move(fleet));
  this->dependencies.loop.Post([changed = this->dependencies.changed, gone] { changed(gone); });
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
  this->dependencies.call(member, "members", body.dump(), kExchangeTimeout,
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
  this->dependencies.metrics.Increment(Metric::kControlBytes, {"membership", "received"},
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
    this->dependencies.metrics.RaiseTo(Metric::kMembershipEvents, {event},
                                       static_cast<double>(total));
  }
}

}  // namespace sycamoredrum
