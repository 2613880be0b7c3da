#pragma once

#include <cstdint>
#include <optional>

#include "sycamoredrum/database_watcher.h"

namespace sycamoredrum {

/// Limits how often the primary of one database changes. The wait after a promotion starts at
/// `min_promotion_wait` and doubles, up to `max_promotion_wait`, while each promotion follows the
/// previous one within `promotion_repeat_window`.
class PromotionBackoff {
 public:
  explicit PromotionBackoff(const WatcherTimings& timings) : timings(timings) {}

  /// Records the term of a new primary, whichever watcher promoted it. The first recorded term and
  /// hand-overs cause no wait. Terms that are not higher than the last recorded one are ignored.
  void RecordTerm(std::uint64_t term, bool hand_over, TimePoint now);

  /// Earliest time of the next promotion, or nothing if no promotion has caused a wait.
  std::optional<TimePoint> NotBefore() const;

 private:
  WatcherTimings timings;
  std::optional<std::uint64_t> last_term;
  std::optional<TimePoint> last_promotion;
  Duration wait{};
};

}  // namespace sycamoredrum
