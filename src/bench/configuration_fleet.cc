#include "configuration_fleet.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "simulated_links.h"

namespace sycamoredrum {
namespace {

constexpr std::chrono::seconds kGossipPeriod{1};
constexpr std::chrono::milliseconds kPropagationStep{5};
constexpr int kWatchersPerDataCentre = 2;
// Size of a message without tickets: the frame header and a CBOR map with request id, kind and
// number.
constexpr std::size_t kEnvelopeBytes = 48;
// Prefix of the ticket ids. MakeTicket sets one caller group and no other object, so each ticket
// costs the same on every node.
constexpr char kIdPrefix[] = "bench";

int IndexOf(const std::string& id) {
  int index = 0;
  const bool parsed = absl::SimpleAtoi(id, &index);
  return parsed ? index : 0;
}

}  // namespace

ConfigurationFleet::ConfigurationFleet(int nodes, double announcement_loss, std::uint64_t seed)
    : random(seed), announcement_loss(announcement_loss), platform(clock) {
  for (int i = 0; i < nodes; ++i) {
    this->ids.push_back(absl::StrCat(i));
  }
  for (int i = 0; i < nodes; ++i) {
    this->AddNode(i);
  }
  for (int i = 0; i < nodes; ++i) {
    this->nodes[static_cast<std::size_t>(i)]->sync->Start();
    const auto phase = static_cast<Duration::rep>(
        this->random() % static_cast<std::uint64_t>(Duration(kGossipPeriod).count()));
    this->clock.RunAfter(Duration(phase), [this, i] { this->Gossip(i); });
  }
}

void ConfigurationFleet::AddNode(int index) {
  this->nodes.push_back(std::make_unique<Node>());
  Node& node = *this->nodes.back();
  ConfigurationSyncHooks hooks;
  hooks.should_watch = [index] {
    return index < SimulatedLinks::kDataCentres * kWatchersPerDataCentre;
  };
  hooks.members = [this, index] {
    std::vector<std::string> others = this->ids;
    others.erase(others.begin() + index);
    return others;
  };
  hooks.announce = [this, index](const std::string& member, std::uint64_t number) {
    this->CountMessage(kEnvelopeBytes);
    if (!std::bernoulli_distribution(this->announcement_loss)(this->random)) {
      this->SendNumber(index, IndexOf(member), number);
    }
  };
  hooks.pull = [this, index](const std::string& member, std::uint64_t after, std::size_t limit,
                             ConfigurationSyncHooks::PullCallback done) {
    this->CountMessage(kEnvelopeBytes);
    this->AnswerPull(index, IndexOf(member), after, limit, std::move(done));
  };
  hooks.ready = [] {};
  node.sync =
      std::make_unique<ConfigurationSync>(hooks, this->platform.Client(), node.log, this->clock,
                                          this->clock, [this] { return this->random(); });
}

void ConfigurationFleet::Gossip(int index) {
  this->clock.RunAfter(kGossipPeriod, [this, index] { this->Gossip(index); });
  const int other = static_cast<int>(this->random() % this->nodes.size());
  if (other != index) {
    this->SendNumber(index, other, this->nodes[static_cast<std::size_t>(index)]->log.Number());
    this->SendNumber(other, index, this->nodes[static_cast<std::size_t>(other)]->log.Number());
  }
}

void ConfigurationFleet::SendNumber(int from, int to, std::uint64_t number) {
  this->clock.RunAfter(SimulatedLinks::Delay(from, to), [this, from, to, number] {
    this->nodes[static_cast<std::size_t>(to)]->sync->HandleNumber(
        this->ids[static_cast<std::size_t>(from)], number);
  });
}

void ConfigurationFleet::AnswerPull(int from, int to, std::uint64_t after, std::size_t limit,
                                    ConfigurationSyncHooks::PullCallback done) {
  const Duration delay = SimulatedLinks::Delay(from, to);
  this->clock.RunAfter(delay, [this, to, after, limit, delay, done] {
    const TicketsAnswer answer =
        this->nodes[static_cast<std::size_t>(to)]->sync->HandlePull(after, limit);
    std::size_t size = kEnvelopeBytes;
    for (const SerializedTicket& ticket : answer.tickets) {
      size += ticket.json.size();
    }
    this->CountMessage(size);
    this->clock.RunAfter(delay, [done, answer] { done(answer); });
  });
}

void ConfigurationFleet::CountMessage(std::size_t size) {
  ++this->messages;
  this->bytes += size;
}

bool ConfigurationFleet::InForceEverywhere() const {
  return std::all_of(this->nodes.begin(), this->nodes.end(),
                     [this](const auto& node) { return node->log.Number() >= this->last_ticket; });
}

Duration ConfigurationFleet::PropagateTicket(Duration limit) {
  const TimePoint accepted_at = this->clock.Now();
  this->platform.Store(MakeTicket(++this->last_ticket, kIdPrefix));
  while (!this->InForceEverywhere() && this->clock.Now() - accepted_at < limit) {
    this->clock.Advance(kPropagationStep);
  }
  return this->clock.Now() - accepted_at;
}

}  // namespace sycamoredrum
