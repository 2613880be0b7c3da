#pragma once

#include <sys/types.h>

namespace sycamoredrum {

/// Resources of another process. Source: /proc/PID/stat and /proc/PID/statm.
struct ProcessUsage {
  double processor_seconds = 0;  ///< User and system time, in steps of 10 ms.
  double resident_bytes = 0;
};

/// All fields are zero if the process does not exist.
ProcessUsage ReadProcessUsage(pid_t pid);

}  // namespace sycamoredrum
