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

/// Keeps the set of leaving VMs and the membership seeds up to date. The platform watchers read the
/// platform's VM list; each other member requests it from one of them, so that the number of calls
/// to the platform does not grow with the fleet. Thread-safe.
class VmListService {
 public:
  /// Short enough that a leaving VM gets no new work after 3 s, including the time in which the
  /// holders apply the new set.
  static constexpr Duration kPollInterval = std::chrono::seconds(1);
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);

  struct Dependencies {
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
    /// Called on a worker with the IP addresses of the entry VMs in a received list that are not
    /// leaving, if there are any.
    std::function<void(const std::vector<std::string>& hosts)> entry_hosts;
  };

  explicit VmListService(Dependencies dependencies);
  ~VmListService();

  void Start();

  /// Answers the peer request `vms` with the latest list that this process received, or with an
  /// empty list if `body` contains its revision, because the whole list has 1.9 MB at the fleet
  /// size expected in two years (docs/design.md, section 1).
  std::string AnswerVms(const std::string& body);

 private:
  void Poll();
  void PollPlatform();
  void PullFromPeer(const std::string& member);
  void ApplyList(const VmList& list);

  Dependencies dependencies;
  std::shared_ptr<SerialContext> context;
  LeavingVmTracker tracker;
  VmList latest;  ///< The received list with the highest revision.
};

}  // namespace sycamoredrum
