#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// At `as_of`, every commit acknowledged before was at or before `position` in the primary's log.
struct PositionObservation {
  LogPosition position;
  TimePoint as_of;
};

/// What one process knows of the primary's log position over time. A read that requires one of
/// these positions sees every commit that was acknowledged before its `as_of`. Not thread-safe.
class FreshnessWindow {
 public:
  /// Older observations are dropped; longer than the read ages in use.
  static constexpr Duration kHorizon = std::chrono::seconds(10);
  /// Closer observations are merged, which bounds the memory to kHorizon / kSpacing entries.
  static constexpr Duration kSpacing = std::chrono::milliseconds(50);

  /// Adds an observation. A newer generation (a promotion) discards all earlier observations,
  /// because the promotion may have removed their positions from the log; an older one is ignored,
  /// and so is a position below an earlier one of its generation.
  void Observe(std::uint64_t generation, const PositionObservation& observation);

  /// Discards the observations of earlier generations.
  void StartGeneration(std::uint64_t new_generation);

  /// Position of the oldest observation that was made at `not_before` or later. The oldest one is
  /// the one that a lagging replica is most likely to have.
  std::optional<LogPosition> OldestSince(TimePoint not_before) const;

  std::optional<PositionObservation> Newest() const;
  std::uint64_t Generation() const { return this->generation; }

 private:
  std::uint64_t generation = 0;
  std::deque<PositionObservation> observations;  ///< In ascending order of `as_of`.
};

}  // namespace sycamoredrum
