#pragma once

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Monotonic clock that also counts the time for which the VM was suspended (CLOCK_BOOTTIME).
/// Grants and leases are timed with it: those that ended during a suspension must have expired when
/// the VM resumes.
class BoottimeClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace sycamoredrum
