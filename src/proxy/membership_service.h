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

  struct Parts {
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
    /// Called on a worker, without a lock, after the fleet changed. `gone` are the members that
    /// died or left since the last call.
    std::function<void(const std::vector<std::string>& gone)> changed;
    std::function<void(const std::string& member, std::uint64_t number)> number_heard;
  };

  explicit MembershipService(Parts parts);
  ~MembershipService();

  void Start();
  void Leave();
  void Stop();
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Handles a datagram that the socket received.
  void HandleDatagram(const Endpoint& from, const std::string& datagram);

  /// Answers the peer request `members`: body and answer are {"state"} texts.
  std::string AnswerMembers(const std::string& body);

  /// Brings the counters of the protocol up to date for a scrape.
  void ExportCounters();

 private:
  Member Self() const;
  MembershipHooks MakeHooks();
  void Publish();
  void Exchange(const std::string& member);

  Parts parts;
  std::shared_ptr<SerialContext> context;
  std::unique_ptr<Membership> membership;
  std::set<std::string> known;  ///< Ids of the last published fleet.
};

}  // namespace sycamoredrum
