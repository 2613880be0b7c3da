#include "resource_usage.h"

#include <malloc.h>

#include <ctime>

namespace sycamoredrum {

double ProcessorSeconds() {
  constexpr double kNanosecondsPerSecond = 1e9;
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

}  // namespace sycamoredrum
