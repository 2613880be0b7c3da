#include "idle_connections.h"

#include <algorithm>

#include "sycamoredrum/connection_shares.h"

namespace sycamoredrum {

Duration IdleConnectionTimeout(int cap, std::size_t processes, double lease_rate) {
  const auto sharing = static_cast<double>(std::max<std::size_t>(processes, 1));
  if (cap >= kLeastShare * sharing) {
    return kMaxIdleTimeout;
  }
  const double share = kSharedPartOfCap * cap / sharing;
  const double longest = std::chrono::duration<double>(kMaxIdleTimeout).count();
  const double seconds = lease_rate * longest > share ? share / lease_rate : longest;
  return std::max(kMinIdleTimeout,
                  std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

}  // namespace sycamoredrum
