#pragma once

#include <cstdint>
#include <optional>

#include "sycamoredrum/database_watcher.h"

namespace sycamoredrum {

/// Bounds how often the primary of one database changes: the wait after a promotion doubles while
/// promotions repeat within the window.
class PromotionBackoff {
 public:
  explicit PromotionBackoff(const WatcherTimings& timings) : timings(timings) {}

  /// Records the term of a new primary, by whomever it was promoted. The first recorded term, and
  /// hand-overs, cause no wait. Terms that are not higher than the recorded one are ignored.
  void RecordTerm(std::uint64_t term, bool hand_over, TimePoint now);

  /// Earliest time of the next promotion, if there is a wait.
  std::optional<TimePoint> NotBefore() const;

 private:
  WatcherTimings timings;
  std::optional<std::uint64_t> last_term;
  std::optional<TimePoint> last_promotion;
  Duration wait{};
};

}  // namespace sycamoredrum
