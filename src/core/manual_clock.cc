#include "sycamoredrum/manual_clock.h"

#include <algorithm>

namespace sycamoredrum {

void ManualClock::RunAfter(Duration delay, std::function<void()> callback) {
  const TimePoint due = this->now + std::max(delay, Duration::zero());
  this->timers.emplace(std::make_pair(due, this->next_timer++), std::move(callback));
}

void ManualClock::Advance(Duration step) {
  const TimePoint end = this->now + step;
  while (!this->timers.empty() && this->timers.begin()->first.first <= end) {
    auto node = this->timers.extract(this->timers.begin());
    this->now = std::max(this->now, node.key().first);
    node.mapped()();
  }
  this->now = end;
}

}  // namespace sycamoredrum
