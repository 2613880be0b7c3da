#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// A log position of the primary. Every commit that was acknowledged before `as_of` is at or before
/// `position` in the log.
struct PositionObservation {
  LogPosition position;
  TimePoint as_of;
};

/// The primary's log positions that one process has observed over time, for one database. A read
/// that requires one of these positions sees every commit that was acknowledged before its `as_of`.
/// Not thread-safe.
class FreshnessWindow {
 public:
  /// Time after which observations are dropped. It exceeds the maximum read ages in use.
  static constexpr Duration kRetention = std::chrono::seconds(10);
  /// Observations that are closer together than this are merged, which limits the window to
  /// kRetention / kMinSpacing entries.
  static constexpr Duration kMinSpacing = std::chrono::milliseconds(50);

  /// Adds an observation. One of a newer generation (after a promotion) discards all earlier
  /// observations, because the promotion may have removed their positions from the log. Ignores an
  /// observation of an older generation, and one whose `as_of` is not later or whose position is
  /// smaller than that of the newest observation.
  void Observe(std::uint64_t generation, const PositionObservation& observation);

  /// Discards all observations if `new_generation` is newer than theirs.
  void StartGeneration(std::uint64_t new_generation);

  /// Position of the oldest observation with `as_of` at `not_before` or later, or nothing if there
  /// is none. Of the positions that are fresh enough, a lagging replica is most likely to have the
  /// oldest.
  std::optional<LogPosition> OldestSince(TimePoint not_before) const;

  std::optional<PositionObservation> Newest() const;
  /// Greatest position that was observed in the present generation, also by an answer that arrived
  /// after the answers of later statements.
  std::optional<LogPosition> Last() const { return this->last; }
  /// Notes that this process confirms a commit, which is at or before `position`.
  void Confirm(std::uint64_t generation, const LogPosition& position);
  /// All commits that this process confirmed in the present generation are at or before this
  /// position; nothing if it confirmed none.
  std::optional<LogPosition> LastConfirmed() const { return this->last_confirmed; }
  std::uint64_t Generation() const { return this->generation; }

 private:
  std::uint64_t generation = 0;
  std::deque<PositionObservation> observations;  ///< In ascending order of `as_of`.
  std::optional<LogPosition> last;
  std::optional<LogPosition> last_confirmed;
};

}  // namespace sycamoredrum
