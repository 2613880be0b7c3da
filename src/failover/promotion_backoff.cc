#include "promotion_backoff.h"

#include <algorithm>

namespace sycamoredrum {

void PromotionBackoff::RecordTerm(std::uint64_t term, bool hand_over, TimePoint now) {
  const bool first = !this->last_term;
  if (!first && term <= *this->last_term) {
    return;
  }
  this->last_term = term;
  if (first || hand_over) {
    return;
  }
  const bool repeated =
      this->last_promotion && now - *this->last_promotion <= this->timings.promotion_repeat_window;
  this->wait = repeated ? std::min(2 * this->wait, this->timings.max_promotion_wait)
                        : this->timings.min_promotion_wait;
  this->last_promotion = now;
}

std::optional<TimePoint> PromotionBackoff::NotBefore() const {
  if (!this->last_promotion) {
    return std::nullopt;
  }
  return *this->last_promotion + this->wait;
}

}  // namespace sycamoredrum
