#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/datagram.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/membership.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/settings.h"

namespace sycamoredrum {

/// Runs the membership protocol over UDP and publishes the fleet. Thread-safe.
class MembershipService {
 public:
  static constexpr Duration kExchangeTimeout = std::chrono::seconds(1);

  struct Dependencies {
    EventLoop& loop;
    const ProxySettings& settings;
    FleetSnapshot& fleet;
    const ConfigurationSnapshot& configuration;
    DatagramSocket& socket;
    PeerCall call;
    Metrics& metrics;
    Logger& logger;
    RandomSource random;
    std::uint64_t incarnation;  ///< Start time of the process in milliseconds.
    /// Called on a worker, without a lock, after the fleet changed. `gone` has the ids of the
    /// members that died or left since the last call.
    std::function<void(const std::vector<std::string>& gone)> changed;
    /// Called on a worker when a message contained the configuration number of another member.
    std::function<void(const std::string& member, std::uint64_t number)> handle_number;
  };

  explicit MembershipService(Dependencies dependencies);
  ~MembershipService();

  void Start();
  /// Announces to the other members that this one leaves.
  void Leave();
  void Stop();
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Handles a datagram that the socket received.
  void HandleDatagram(const Endpoint& from, const std::string& datagram);

  /// Answers the peer request `members`. `body` is a JSON object with a base64 `digest` of the
  /// members that the peer knows, the answer one with a base64 `state` for MergeState().
  std::string AnswerMembers(const std::string& body);

  /// Exports the counters of the protocol to the metrics. Called before each scrape.
  void ExportCounters();

 private:
  Member Self() const;
  MembershipHooks MakeHooks();
  void Publish();
  void Exchange(const std::string& member);

  Dependencies dependencies;
  std::shared_ptr<SerialContext> context;
  std::unique_ptr<Membership> membership;
  std::set<std::string> published_ids;  ///< Member ids of the last published fleet.
};

}  // namespace sycamoredrum
