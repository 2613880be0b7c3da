#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/leaving_vms.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// Keeps the set of leaving VMs and the membership seeds up to date. The members that watch the
/// platform read its VM list; the others ask one of them, so that the calls on the platform do not
/// grow with the fleet. Thread-safe.
class VmListService {
 public:
  /// With the probe of the new set by the holders, leaving VMs get no new work within 3 s.
  static constexpr Duration kPollInterval = std::chrono::seconds(1);
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);

  struct Parts {
    EventLoop& loop;
    std::string member;
    std::string data_centre;
    const FleetSnapshot& fleet;
    LeavingSnapshot& leaving;
    PlatformClient platform;
    PeerCall call;
    Logger& logger;
    RandomSource random;
    /// Called on a worker, without a lock, after the set of leaving VMs changed.
    std::function<void()> changed;
    /// Called with the IP numbers of the other entry VMs in each list that has some.
    std::function<void(const std::vector<std::string>& hosts)> entry_hosts;
  };

  explicit VmListService(Parts parts);
  ~VmListService();

  void Start();

  /// Answers the peer request `vms` with the last list that this process received, or without VMs
  /// if `body` names that revision. At the two-year size the whole list has 1.9 MB.
  std::string AnswerVms(const std::string& body);

 private:
  void Poll();
  void PollPlatform();
  void AskPeer(const std::string& member);
  void Take(const VmList& list);

  Parts parts;
  std::shared_ptr<SerialContext> context;
  LeavingVmTracker tracker;
  VmList latest;
};

}  // namespace sycamoredrum
