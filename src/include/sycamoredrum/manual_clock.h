#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Clock and scheduler whose time changes only in Advance(). Tests and simulations use it to run
/// many nodes in one process in virtual time. Not thread-safe.
class ManualClock : public Clock, public Scheduler {
 public:
  TimePoint Now() const override { return this->now; }

  void RunAfter(Duration delay, std::function<void()> callback) override;

  /// Moves time forward by `step` and runs every callback that falls due, in order of due time and
  /// then of registration. `Now()` equals the due time while a callback runs.
  void Advance(Duration step);

  /// Number of callbacks that have not run yet.
  std::size_t Pending() const { return this->timers.size(); }

 private:
  TimePoint now{std::chrono::hours(1)};  // Not zero, so that "now - age" never underflows in tests.
  std::uint64_t next_timer = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> timers;
};

}  // namespace sycamoredrum
