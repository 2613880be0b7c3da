#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/membership.h"

namespace sycamoredrum {

/// Membership processes under one ManualClock, joined by a simulated network that loses and delays
/// datagrams and can be partitioned. Processes can be frozen, killed and replaced.
class MemberNetwork {
 public:
  class Process : public Scheduler {
   public:
    Process(MemberNetwork& network, Member self, std::vector<Endpoint> seeds)
        : network(network), endpoint(self.datagram_endpoint), data_centre(self.data_centre) {
      MembershipHooks hooks;
      hooks.send = [this](const Endpoint& to, const std::string& datagram) {
        this->network.Send(*this, to, datagram);
      };
      hooks.changed = [this] { ++this->changes; };
      hooks.configuration_number = [this] { return this->configuration_number; };
      hooks.configuration_number_received = [this](const std::string& member,
                                                   std::uint64_t received) {
        this->received_numbers[member] = received;
      };
      hooks.exchange = [this](const std::string& member) { this->network.Exchange(*this, member); };
      this->membership = std::make_unique<Membership>(std::move(self), "fleet key",
                                                      std::move(seeds), hooks, network.clock, *this,
                                                      [this] { return this->network.random(); });
    }

    void RunAfter(Duration delay, std::function<void()> callback) override {
      this->network.clock.RunAfter(delay, [this, callback] { this->Run(callback); });
    }
    /// Runs `action`, or holds it until the process is thawed. Drops it if the process was killed.
    void Run(std::function<void()> action) {
      if (this->frozen) {
        this->held_actions.push_back(std::move(action));
      } else if (!this->killed) {
        action();
      }
    }
    void Thaw() {
      this->frozen = false;
      for (auto& action : std::exchange(this->held_actions, {})) {
        this->Run(std::move(action));
      }
    }
    /// State that this process holds for member `id`; kDead if unknown.
    MemberState StateOf(const std::string& id) const {
      const Member* member = this->membership->Find(id);
      return member == nullptr ? MemberState::kDead : member->state;
    }

    MemberNetwork& network;
    Endpoint endpoint;
    std::string data_centre;
    std::unique_ptr<Membership> membership;
    bool frozen = false;
    bool killed = false;
    int changes = 0;
    std::uint64_t configuration_number = 0;
    std::map<std::string, std::uint64_t> received_numbers;  ///< Configuration numbers by member.
    std::deque<std::function<void()>> held_actions;
  };

  explicit MemberNetwork(std::uint64_t seed) : random(seed) {}

  static Endpoint EndpointOf(int index) {
    return Endpoint{"10.0.0." + std::to_string(index + 1), 7100};
  }

  /// Starts a process at EndpointOf(index). It replaces an earlier one at that endpoint.
  Process& Start(const std::string& id, int index, std::uint64_t incarnation,
                 const std::string& data_centre = "mumbai") {
    Member self;
    self.id = id;
    self.data_centre = data_centre;
    self.datagram_endpoint = EndpointOf(index);
    self.peer_link_endpoint = Endpoint{self.datagram_endpoint.host, 7101};
    self.incarnation = incarnation;
    this->processes.push_back(std::make_unique<Process>(
        *this, self, std::vector<Endpoint>{EndpointOf(0), EndpointOf(1)}));
    Process& process = *this->processes.back();
    this->at_endpoint[process.endpoint] = &process;
    process.membership->Start();
    return process;
  }
  void StartMany(int count) {
    for (int i = 0; i < count; ++i) {
      this->Start("p" + std::to_string(i), i, 1000, i % 2 == 0 ? "mumbai" : "chennai");
    }
  }
  static void Kill(Process& process) {
    process.killed = true;
    process.membership->Stop();
  }
  std::vector<Process*> Running() {
    std::vector<Process*> running;
    for (auto& process : this->processes) {
      if (!process->killed && !process->frozen) {
        running.push_back(process.get());
      }
    }
    return running;
  }
  /// True if member `id` is in `state` according to every running process.
  bool AllSee(const std::string& id, MemberState state) {
    for (Process* process : this->Running()) {
      if (process->StateOf(id) != state) {
        return false;
      }
    }
    return true;
  }
  /// True if every running process knows exactly the running processes, all of them as alive.
  bool Converged() {
    const std::vector<Process*> running = this->Running();
    for (Process* process : running) {
      if (process->membership->Members().size() != running.size()) {
        return false;
      }
      if (!this->AllSee(process->membership->Self().id, MemberState::kAlive)) {
        return false;
      }
    }
    return true;
  }
  /// Advances until `condition` holds, at most for `limit`. Returns whether it holds.
  bool AdvanceUntil(Duration limit, const std::function<bool()>& condition) {
    const TimePoint end = this->clock.Now() + limit;
    while (!condition() && this->clock.Now() < end) {
      this->clock.Advance(Membership::kTickInterval);
    }
    return condition();
  }

  ManualClock clock;
  std::mt19937_64 random;
  double loss = 0;
  std::chrono::milliseconds min_delay{5};
  std::chrono::milliseconds max_delay{20};
  bool partitioned = false;  ///< No datagram or exchange passes between the data centres.
  std::size_t largest_datagram = 0;
  std::vector<std::unique_ptr<Process>> processes;
  std::map<Endpoint, Process*> at_endpoint;

 private:
  bool CanReach(const Process& from, const Process& to) const {
    return !to.killed && !(this->partitioned && from.data_centre != to.data_centre);
  }

  void Send(const Process& from, const Endpoint& to, const std::string& datagram) {
    this->largest_datagram = std::max(this->largest_datagram, datagram.size());
    std::bernoulli_distribution lost(this->loss);
    std::uniform_int_distribution<std::int64_t> delay(this->min_delay.count(),
                                                      this->max_delay.count());
    const auto receiver = this->at_endpoint.find(to);
    if (receiver == this->at_endpoint.end() || !this->CanReach(from, *receiver->second) ||
        lost(this->random)) {
      return;
    }
    Process* process = receiver->second;
    const Endpoint source = from.endpoint;
    this->clock.RunAfter(std::chrono::milliseconds(delay(this->random)),
                         [process, source, datagram] {
                           process->Run([process, source, datagram] {
                             process->membership->HandleDatagram(source, datagram);
                           });
                         });
  }

  void Exchange(Process& from, const std::string& member) {
    const Member* peer = from.membership->Find(member);
    const auto found = this->at_endpoint.find(peer->datagram_endpoint);
    if (found == this->at_endpoint.end() || !this->CanReach(from, *found->second) ||
        found->second->frozen) {
      return;
    }
    const std::string state =
        found->second->membership->ExportState(from.membership->ExportDigest());
    this->clock.RunAfter(this->max_delay, [&from, state] {
      from.Run([&from, state] { from.membership->MergeState(state); });
    });
  }
};

}  // namespace sycamoredrum
