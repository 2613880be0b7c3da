#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/membership.h"

namespace sycamoredrum {

/// Total traffic of all members of a fleet since its start.
struct FleetTraffic {
  std::uint64_t datagrams = 0;
  std::uint64_t datagram_bytes = 0;
  std::uint64_t exchanges = 0;
  std::uint64_t exchange_bytes = 0;  ///< Digests and states, without the framing of peer links.
};

/// Membership processes under one ManualClock. Links have the delays of SimulatedLinks and lose the
/// share kDatagramLoss of the datagrams. Not thread-safe.
class MembershipFleet {
 public:
  static constexpr double kDatagramLoss = 0.001;

  /// All members know each other when they start.
  MembershipFleet(int nodes, std::uint64_t seed);

  void Run(Duration time) { this->clock.Advance(time); }

  /// From now on kills a random member `rate` times per second, without a leave message. A process
  /// with a new id takes over its endpoint at once.
  void ReplaceMembers(double rate);

  /// Kills all members of a data centre at once.
  void LoseDataCentre(int data_centre);

  /// Share of the pairs of a running and a killed member in which the running one has detected the
  /// death of the other, estimated from random pairs.
  double DetectedShare();

  const FleetTraffic& Traffic() const { return this->traffic; }

  /// Share of the pairs of running members in which the first sees the second as live, estimated
  /// from random pairs.
  double LivePairShare();

 private:
  /// One process. Its first timer is delayed, so that the phases of the members differ.
  struct Node : public Scheduler {
    Node(MembershipFleet& fleet, int index, int generation, std::vector<Endpoint> seeds);
    void RunAfter(Duration delay, std::function<void()> callback) override;

    MembershipFleet& fleet;
    int index;
    Duration first_timer_delay{};  ///< Added to the next timer, then reset to zero.
    bool killed = false;
    std::unique_ptr<Membership> membership;
  };

  static Endpoint EndpointOf(int index);
  static int IndexOf(const Endpoint& endpoint);
  /// Makes all members known to each other.
  void MergeAllStates();
  void ReplaceOne();
  const Node& RandomNode(bool killed);
  void Send(const Node& from, const Endpoint& to, const std::string& datagram);
  void Exchange(Node& from, const std::string& member);

  ManualClock clock;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Node>> nodes;    ///< Running process at each endpoint.
  std::vector<std::unique_ptr<Node>> stopped;  ///< Kept because their timers still refer to them.
  std::uint64_t replaced = 0;
  FleetTraffic traffic;
};

}  // namespace sycamoredrum
