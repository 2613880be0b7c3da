#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "shared_state.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/peer_link.h"

namespace sycamoredrum {

/// Peer links to other members, each opened at its first use. Thread-safe.
class PeerLinks {
 public:
  PeerLinks(EventLoop& loop, PeerIdentity identity, const FleetSnapshot& fleet, Metrics& metrics);

  /// Sends a request to a member of the fleet. Calls back exactly once, on a worker, never from
  /// inside the call. For an unknown member the error is PeerError::kNotSent.
  void Call(const std::string& member, const std::string& kind, const std::string& body,
            Duration timeout, PeerCallback callback);

  /// Closes the links to members that left the fleet.
  void RemoveLinks(const std::vector<std::string>& members);

 private:
  struct Entry {
    Endpoint endpoint;
    std::shared_ptr<PeerLink> link;
  };

  std::shared_ptr<PeerLink> Find(const std::string& member);

  EventLoop& loop;
  const PeerIdentity identity;
  const FleetSnapshot& fleet;
  Metrics& metrics;
  std::mutex mutex;  // Guards the members below.
  absl::flat_hash_map<std::string, Entry> links;
};

}  // namespace sycamoredrum
