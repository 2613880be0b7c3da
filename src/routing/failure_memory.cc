#include <algorithm>

#include "sycamoredrum/read_router.h"

namespace sycamoredrum {

void FailureMemory::Record(const std::string& backend_server, Duration duration) {
  TimePoint& until = this->avoid_until[backend_server];
  until = std::max(until, this->clock.Now() + duration);
}

void FailureMemory::Clear(const std::string& backend_server) {
  this->avoid_until.erase(backend_server);
}

bool FailureMemory::RecentlyFailed(const std::string& backend_server) const {
  const auto found = this->avoid_until.find(backend_server);
  return found != this->avoid_until.end() && this->clock.Now() < found->second;
}

}  // namespace sycamoredrum
