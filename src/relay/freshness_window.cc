#include "sycamoredrum/freshness_window.h"

#include <algorithm>

namespace sycamoredrum {

void FreshnessWindow::StartGeneration(std::uint64_t new_generation) {
  if (new_generation > this->generation) {
    this->generation = new_generation;
    this->observations.clear();
    this->last.reset();
    this->last_confirmed.reset();
  }
}

void FreshnessWindow::Observe(std::uint64_t observed_generation,
                              const PositionObservation& observation) {
  this->StartGeneration(observed_generation);
  if (observed_generation < this->generation) {
    return;
  }
  this->last = std::max(this->last.value_or(LogPosition{}), observation.position);
  std::deque<PositionObservation>& list = this->observations;
  if (!list.empty() && observation.as_of <= list.back().as_of) {
    return;
  }
  // The log of one generation only grows. A smaller position comes either from a server that
  // restarted without its log, and then proves nothing, or from an answer that arrived after a
  // later one, and then adds nothing.
  if (!list.empty() && observation.position < list.back().position) {
    return;
  }
  // The newest entry is replaced until it is kMinSpacing later than the one before it.
  if (list.size() >= 2 && list.back().as_of - list[list.size() - 2].as_of < kMinSpacing) {
    list.back() = observation;
  } else {
    list.push_back(observation);
  }
  while (list.front().as_of < observation.as_of - kRetention) {
    list.pop_front();
  }
}

void FreshnessWindow::Confirm(std::uint64_t confirmed_generation, const LogPosition& position) {
  this->StartGeneration(confirmed_generation);
  if (confirmed_generation == this->generation) {
    this->last_confirmed = std::max(this->last_confirmed.value_or(LogPosition{}), position);
  }
}

std::optional<LogPosition> FreshnessWindow::OldestSince(TimePoint not_before) const {
  const auto found = std::lower_bound(
      this->observations.begin(), this->observations.end(), not_before,
      [](const PositionObservation& entry, TimePoint time) { return entry.as_of < time; });
  if (found == this->observations.end()) {
    return std::nullopt;
  }
  return found->position;
}

std::optional<PositionObservation> FreshnessWindow::Newest() const {
  if (this->observations.empty()) {
    return std::nullopt;
  }
  return this->observations.back();
}

}  // namespace sycamoredrum
