#pragma once

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Monotonic clock that also counts the time for which the VM was suspended (CLOCK_BOOTTIME).
/// Permissions and leases are measured with it: a VM that resumes must see them as expired.
class BoottimeClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace sycamoredrum
