#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace sycamoredrum {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/// Source of monotonic time. Code that makes decisions reads the time only from here, so that tests
/// and simulations can control it.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Current time. Never goes back.
  virtual TimePoint Now() const = 0;
};

/// Runs callbacks after a delay. Callbacks run on the thread or event loop of the implementation,
/// never inside RunAfter itself.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Runs `callback` once, not before `delay` has passed. A delay of zero or less means "as soon as
  /// possible".
  virtual void RunAfter(Duration delay, std::function<void()> callback) = 0;
};

/// Returns uniformly distributed 64-bit numbers. It is a parameter so that tests can fix the seed.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace sycamoredrum
