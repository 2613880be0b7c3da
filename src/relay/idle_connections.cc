#include "idle_connections.h"

#include <algorithm>

#include "sycamoredrum/connection_shares.h"

namespace sycamoredrum {

Duration IdleConnectionTimeout(int cap, std::size_t processes, double lease_rate) {
  const auto process_count = static_cast<double>(std::max<std::size_t>(processes, 1));
  if (cap >= kMinShare * process_count) {
    return kMaxIdleTimeout;
  }
  const double share = kSharedPartOfCap * cap / process_count;
  const double max_seconds = std::chrono::duration<double>(kMaxIdleTimeout).count();
  const double seconds = lease_rate * max_seconds > share ? share / lease_rate : max_seconds;
  return std::max(kMinIdleTimeout,
                  std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

}  // namespace sycamoredrum
