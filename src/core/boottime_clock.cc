#include "sycamoredrum/boottime_clock.h"

#include <ctime>

namespace sycamoredrum {

TimePoint BoottimeClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace sycamoredrum
