#include "server_observation.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

// Gains of the round-trip estimator, as in RFC 6298.
constexpr int kRoundTripGain = 8;
constexpr int kDeviationGain = 4;
constexpr int kDeviationsInTimeout = 4;
constexpr int kSuspicionIntervals = 3;

// Without jitter the deviation falls to zero, and the timeout would equal the round-trip time.
constexpr Duration kMinTimeoutMargin = std::chrono::milliseconds(50);

}  // namespace

ServerObservation::ServerObservation(std::string id, TimePoint watched_since,
                                     const WatcherTimings& timings)
    : id(std::move(id)), watched_since(watched_since), timings(timings) {}

void ServerObservation::RecordStatus(TimePoint sent_at, TimePoint now,
                                     const BackendServerStatus& answer) {
  // Limits the effect of an answer that was read late because this process was paused.
  this->AddRoundTrip(std::min(now - sent_at, this->timings.max_probe_timeout));
  this->last_answer_at = now;
  this->failures = 0;
  const bool newer = !this->status || sent_at >= this->observed_at;
  if (!newer) {
    return;
  }
  this->status = answer;
  this->observed_at = sent_at;
  this->received_at = now;
}

void ServerObservation::RecordFailure(TimePoint sent_at) {
  if (this->status && sent_at <= this->observed_at) {
    return;
  }
  ++this->failures;
}

void ServerObservation::AddRoundTrip(Duration sample) {
  if (!this->round_trip) {
    this->round_trip = sample;
    this->round_trip_deviation = sample / 2;
    return;
  }
  const Duration error = sample - *this->round_trip;
  const Duration distance = std::max(error, -error);
  this->round_trip_deviation += (distance - this->round_trip_deviation) / kDeviationGain;
  this->round_trip = *this->round_trip + error / kRoundTripGain;
}

Duration ServerObservation::ProbeTimeout() const {
  const Duration margin =
      std::max<Duration>(kDeviationsInTimeout * this->round_trip_deviation, kMinTimeoutMargin);
  const Duration estimate = this->round_trip.value_or(Duration::zero()) + margin;
  return std::clamp(estimate, this->timings.min_probe_timeout, this->timings.max_probe_timeout);
}

Duration ServerObservation::SuspicionTime() const {
  return kSuspicionIntervals * this->timings.probe_interval + this->ProbeTimeout();
}

bool ServerObservation::Reachable(TimePoint now) const {
  return !this->Suspected() && this->last_answer_at &&
         now - *this->last_answer_at < this->SuspicionTime();
}

std::optional<TimePoint> ServerObservation::LastPrimaryContactAt() const {
  if (!this->status || !this->status->primary_silence) {
    return std::nullopt;
  }
  return this->received_at - *this->status->primary_silence;
}

void ServerObservation::TrackLag(const LogPosition& primary_position, TimePoint primary_observed) {
  if (this->catch_up_target_at && this->status->Contains(this->catch_up_target)) {
    this->caught_up_to = this->catch_up_target_at;
    this->catch_up_target_at.reset();
  }
  if (!this->catch_up_target_at) {
    this->catch_up_target = primary_position;
    this->catch_up_target_at = primary_observed;
  }
}

BackendServerView ServerObservation::View() const {
  BackendServerView view;
  view.id = this->id;
  view.reachable = this->last_answer_at.has_value() && this->failures == 0;
  view.status = this->status;
  view.observed_at = this->observed_at;
  return view;
}

}  // namespace sycamoredrum
