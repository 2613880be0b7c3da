#include "read_placement.h"

namespace sycamoredrum {

std::optional<std::size_t> PlaceRead(const std::vector<PlacementCandidate>& candidates,
                                     const std::vector<double>& jitter) {
  constexpr double kJitterShare = 0.1;
  std::optional<std::size_t> best;
  double best_time = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    if (!candidate.usable) {
      continue;
    }
    double time =
        std::chrono::duration<double>(candidate.response_time + candidate.connect_time).count();
    time *= 1.0 + static_cast<double>(candidate.outstanding) / kExpectedParallelism;
    time *= candidate.primary ? kPrimaryPenalty : 1.0;
    time *= 1.0 + kFailurePenalty * candidate.failure_rate;
    time *= 1.0 + kJitterShare * (i < jitter.size() ? jitter[i] : 0.0);
    if (!best || time < best_time) {
      best = i;
      best_time = time;
    }
  }
  return best;
}

}  // namespace sycamoredrum
