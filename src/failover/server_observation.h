#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sycamoredrum/database_view.h"
#include "sycamoredrum/database_watcher.h"

namespace sycamoredrum {

/// Result of one watcher's probes of one backend server: its last status, round-trip time, failures
/// and replication lag.
class ServerObservation {
 public:
  ServerObservation(std::string id, TimePoint watched_since, const WatcherTimings& timings);

  /// Records the answer to a probe sent at `sent_at`, also if it arrived after the probe's timeout.
  /// The status is kept unless a probe sent later has already been answered.
  void RecordStatus(TimePoint sent_at, TimePoint now, const BackendServerStatus& answer);

  /// Records a failed probe. Ignored if this probe or one sent later has been answered.
  void RecordFailure(TimePoint sent_at);

  const std::string& Id() const { return this->id; }
  const std::optional<BackendServerStatus>& Status() const { return this->status; }
  /// Failed probes since the last answer.
  int Failures() const { return this->failures; }
  bool Suspected() const { return this->failures >= this->timings.failures_to_suspect; }
  std::optional<TimePoint> LastAnswerAt() const { return this->last_answer_at; }

  /// Arrival time of the last answer, or the time at which watching began if there was none.
  TimePoint SilentSince() const { return this->last_answer_at.value_or(this->watched_since); }

  /// Smoothed round-trip time plus the larger of four deviations (as in RFC 6298) and 50 ms, but
  /// not outside [min_probe_timeout, max_probe_timeout].
  Duration ProbeTimeout() const;

  /// Time without an answer after which the server counts as silent: three probe intervals plus the
  /// probe timeout.
  Duration SuspicionTime() const;

  /// True if the server is not suspected and answered within the suspicion time.
  bool Reachable(TimePoint now) const;

  /// Replicas: the latest time at which this server can have received anything from the primary
  /// that it follows. Nothing if its status does not state this.
  std::optional<TimePoint> LastPrimaryContactAt() const;

  /// Compares this replica's log with the position of the primary, which the primary reported in
  /// answer to a probe sent at `observed_at`. Called after each answer of the replica.
  void TrackLag(const LogPosition& primary_position, TimePoint observed_at);

  /// The replica's log contains everything that the primary had logged up to this time.
  std::optional<TimePoint> CaughtUpTo() const { return this->caught_up_to; }

  /// Send time of the probe that `Status` answers.
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
  LogPosition catch_up_target;  ///< Position of the primary that this replica has yet to reach.
  std::optional<TimePoint> catch_up_target_at;  ///< When the primary was observed there.
  std::optional<TimePoint> caught_up_to;
};

}  // namespace sycamoredrum
