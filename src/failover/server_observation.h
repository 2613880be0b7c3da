#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sycamoredrum/database_view.h"
#include "sycamoredrum/database_watcher.h"

namespace sycamoredrum {

/// What the probes of one watcher have shown about one backend server.
class ServerObservation {
 public:
  ServerObservation(std::string id, TimePoint watched_since, const WatcherTimings& timings);

  /// Records an answer, also one that came after the probe's timeout.
  void RecordStatus(TimePoint sent_at, TimePoint now, const BackendServerStatus& answer);

  /// Records a failed probe. Ignored if a later probe was already answered.
  void RecordFailure(TimePoint sent_at);

  const std::string& Id() const { return this->id; }
  const std::optional<BackendServerStatus>& Status() const { return this->status; }
  int Failures() const { return this->failures; }
  bool Suspected() const { return this->failures >= this->timings.failures_to_suspect; }
  std::optional<TimePoint> LastAnswerAt() const { return this->last_answer_at; }

  /// Time of the last answer, or the time at which watching began.
  TimePoint SilentSince() const { return this->last_answer_at.value_or(this->watched_since); }

  /// Smoothed round-trip time plus the larger of four deviations (as in RFC 6298) and 50 ms, within
  /// the bounds.
  Duration ProbeTimeout() const;

  /// Three probe intervals plus the probe timeout.
  Duration SuspicionTime() const;

  /// True if the server is not suspected and answered within the suspicion time.
  bool Reachable(TimePoint now) const;

  /// Replicas: latest time at which the server can have heard from the primary it follows.
  std::optional<TimePoint> LastPrimaryContactAt() const;

  /// Compares this replica with the primary. Called after each answer of the replica.
  void TrackLag(const LogPosition& primary_position, TimePoint observed_at);

  /// The replica held everything that the primary had logged up to this time.
  std::optional<TimePoint> CaughtUpTo() const { return this->caught_up_to; }

  TimePoint ObservedAt() const { return this->observed_at; }
  BackendServerView View() const;

 private:
  void AddRoundTrip(Duration sample);

  std::string id;
  TimePoint watched_since;
  WatcherTimings timings;
  std::optional<BackendServerStatus> status;
  TimePoint observed_at;  ///< Send time of the probe that `status` answers.
  TimePoint received_at;  ///< Arrival time of `status`.
  std::optional<TimePoint> last_answer_at;
  int failures = 0;
  std::optional<Duration> round_trip;
  Duration round_trip_deviation{};
  LogPosition catch_up_target;
  std::optional<TimePoint> catch_up_target_at;
  std::optional<TimePoint> caught_up_to;
};

}  // namespace sycamoredrum
