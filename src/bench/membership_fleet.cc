#include "membership_fleet.h"

#include <absl/strings/str_cat.h>

#include "simulated_links.h"

namespace sycamoredrum {
namespace {

constexpr std::uint64_t kFirstIncarnation = 1'000'000;
constexpr int kFirstPort = 10'000;
constexpr int kSeedCount = 3;
constexpr int kSampledPairs = 2000;

}  // namespace

MembershipFleet::Node::Node(MembershipFleet& fleet, int index, int generation,
                            std::vector<Endpoint> seeds)
    : fleet(fleet), index(index) {
  Member self;
  self.id = absl::StrCat("proxy-", index, "-", generation);
  self.data_centre = absl::StrCat("data-centre-", SimulatedLinks::DataCentreOf(index));
  self.datagram_endpoint = EndpointOf(index);
  self.peer_link_endpoint = Endpoint{"10.0.0.2", self.datagram_endpoint.port};
  self.incarnation = kFirstIncarnation + static_cast<std::uint64_t>(generation);
  MembershipHooks hooks;
  hooks.send = [this](const Endpoint& to, const std::string& datagram) {
    this->fleet.Send(*this, to, datagram);
  };
  hooks.changed = [] {};
  hooks.configuration_number = [] { return std::uint64_t{8500}; };
  hooks.configuration_number_received = [](const std::string&, std::uint64_t) {};
  hooks.exchange = [this](const std::string& member) { this->fleet.Exchange(*this, member); };
  this->membership =
      std::make_unique<Membership>(self, "fleet key of the bench", std::move(seeds), hooks,
                                   fleet.clock, *this, [this] { return this->fleet.random(); });
}

void MembershipFleet::Node::RunAfter(Duration delay, std::function<void()> callback) {
  const Duration total = delay + std::exchange(this->first_timer_delay, Duration::zero());
  this->fleet.clock.RunAfter(total, [this, callback = std::move(callback)] {
    if (!this->killed) {
      callback();
    }
  });
}

MembershipFleet::MembershipFleet(int nodes, std::uint64_t seed) : random(seed) {
  for (int i = 0; i < nodes; ++i) {
    this->nodes.push_back(std::make_unique<Node>(*this, i, 0, std::vector<Endpoint>{}));
  }
  this->MergeAllStates();
  for (auto& node : this->nodes) {
    // MergeAllStates has queued an update about every member for gossip. Membership drops its queue
    // when a tick is later than the pause threshold, so the first tick is delayed beyond it. The
    // random part spreads the phases of the members.
    const auto spread = static_cast<Duration::rep>(
        this->random() % static_cast<std::uint64_t>(Duration(Membership::kProbePeriod).count()));
    node->first_timer_delay = Membership::kPauseThreshold + Duration(spread);
    node->membership->Start();
  }
}

Endpoint MembershipFleet::EndpointOf(int index) {
  return Endpoint{"10.0.0.1", static_cast<std::uint16_t>(kFirstPort + index)};
}

int MembershipFleet::IndexOf(const Endpoint& endpoint) { return endpoint.port - kFirstPort; }

void MembershipFleet::MergeAllStates() {
  Membership& first = *this->nodes.front()->membership;
  for (std::size_t i = 1; i < this->nodes.size(); ++i) {
    first.MergeState(this->nodes[i]->membership->ExportState(""));
  }
  const std::string all = first.ExportState("");
  for (std::size_t i = 1; i < this->nodes.size(); ++i) {
    this->nodes[i]->membership->MergeState(all);
  }
}

void MembershipFleet::ReplaceMembers(double rate) {
  if (rate <= 0) {
    return;
  }
  const auto period = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  this->clock.RunAfter(period, [this, rate] {
    this->ReplaceOne();
    this->ReplaceMembers(rate);
  });
}

void MembershipFleet::ReplaceOne() {
  const std::size_t index = this->random() % this->nodes.size();
  std::vector<Endpoint> seeds;
  seeds.reserve(kSeedCount);
  for (int i = 0; i < kSeedCount; ++i) {
    seeds.push_back(EndpointOf(static_cast<int>(this->random() % this->nodes.size())));
  }
  std::unique_ptr<Node>& node_at_endpoint = this->nodes[index];
  node_at_endpoint->killed = true;
  node_at_endpoint->membership->Stop();
  this->stopped.push_back(std::move(node_at_endpoint));
  const int generation = static_cast<int>(++this->replaced);
  node_at_endpoint = std::make_unique<Node>(*this, static_cast<int>(index), generation, seeds);
  node_at_endpoint->membership->Start();
}

void MembershipFleet::LoseDataCentre(int data_centre) {
  for (auto& node : this->nodes) {
    if (SimulatedLinks::DataCentreOf(node->index) == data_centre) {
      node->killed = true;
      node->membership->Stop();
    }
  }
}

const MembershipFleet::Node& MembershipFleet::RandomNode(bool killed) {
  const Node* node = nullptr;
  while (node == nullptr || node->killed != killed) {
    node = this->nodes[this->random() % this->nodes.size()].get();
  }
  return *node;
}

double MembershipFleet::DetectedShare() {
  int detected = 0;
  for (int i = 0; i < kSampledPairs; ++i) {
    const Node& observer = this->RandomNode(false);
    const Node& observed = this->RandomNode(true);
    const Member* member = observer.membership->Find(observed.membership->Self().id);
    detected += member == nullptr || member->state == MemberState::kDead ? 1 : 0;
  }
  return static_cast<double>(detected) / kSampledPairs;
}

void MembershipFleet::Send(const Node& from, const Endpoint& to, const std::string& datagram) {
  ++this->traffic.datagrams;
  this->traffic.datagram_bytes += datagram.size();
  const int target = IndexOf(to);
  if (std::bernoulli_distribution(kDatagramLoss)(this->random)) {
    return;
  }
  const Endpoint source = EndpointOf(from.index);
  this->clock.RunAfter(SimulatedLinks::Delay(from.index, target), [this, target, source, datagram] {
    Node& receiver = *this->nodes[static_cast<std::size_t>(target)];
    if (!receiver.killed) {
      receiver.membership->HandleDatagram(source, datagram);
    }
  });
}

void MembershipFleet::Exchange(Node& from, const std::string& member) {
  const int target = IndexOf(from.membership->Find(member)->datagram_endpoint);
  Node& peer = *this->nodes[static_cast<std::size_t>(target)];
  if (peer.killed || peer.membership->Self().id != member) {
    return;
  }
  const std::string digest = from.membership->ExportDigest();
  const std::string state = peer.membership->ExportState(digest);
  ++this->traffic.exchanges;
  this->traffic.exchange_bytes += digest.size() + state.size();
  this->clock.RunAfter(2 * SimulatedLinks::Delay(from.index, target), [&from, state] {
    if (!from.killed) {
      from.membership->MergeState(state);
    }
  });
}

double MembershipFleet::LivePairShare() {
  int live = 0;
  for (int i = 0; i < kSampledPairs; ++i) {
    const Node& observer = *this->nodes[this->random() % this->nodes.size()];
    const Node& observed = *this->nodes[this->random() % this->nodes.size()];
    const Member* member = observer.membership->Find(observed.membership->Self().id);
    live += member != nullptr && member->IsLive() ? 1 : 0;
  }
  return static_cast<double>(live) / kSampledPairs;
}

}  // namespace sycamoredrum
