#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Limits the retries of each caller group, so that retries cannot multiply the load on a backend
/// server that is already failing. Not thread-safe.
class RetryBudget {
 public:
  /// Retries allowed for every hundred requests of the last kWindow.
  static constexpr std::uint64_t kRetryPercent = 10;
  static constexpr Duration kWindow = std::chrono::seconds(10);
  /// A group that has not retried for this long may always retry once.
  static constexpr Duration kMinInterval = std::chrono::seconds(1);

  explicit RetryBudget(const Clock& clock) : clock(clock) {}

  /// Counts a request. Its retries are not counted here.
  void RecordRequest(const std::string& caller_group);

  /// Returns whether a retry is allowed now, and counts it if so.
  bool TrySpend(const std::string& caller_group);

 private:
  static constexpr std::size_t kSlots = 10;

  struct Slot {
    std::int64_t number = -1;  ///< Time divided by the length of a slot.
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };
  struct Group {
    std::array<Slot, kSlots> slots;
    TimePoint last_retry = TimePoint::min();
  };

  std::int64_t SlotNumber() const;
  Slot& CurrentSlot(Group& group) const;

  const Clock& clock;
  std::map<std::string, Group> groups;
};

/// Delays between the attempts of one request: exponential with full jitter, so that requests that
/// failed together are not repeated together.
class Backoff {
 public:
  static constexpr Duration kFirstDelay = std::chrono::milliseconds(10);
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(500);

  explicit Backoff(RandomSource random);

  /// Delay before the next attempt, uniform between zero and a bound that starts at kFirstDelay and
  /// doubles with each call up to kMaxDelay.
  Duration Next();

 private:
  RandomSource random;
  Duration bound = kFirstDelay;
};

}  // namespace sycamoredrum
