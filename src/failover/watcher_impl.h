#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "group_state.h"
#include "promotion_backoff.h"
#include "sycamoredrum/database_watcher.h"

namespace sycamoredrum {

/// Implementation of DatabaseWatcher: probe rounds (watcher_probing.cc) and the decision to promote
/// (database_watcher.cc).
class DatabaseWatcher::Impl {
 public:
  Impl(std::string database, std::string member, WatcherAssignment assignment, WatcherHooks hooks,
       WatcherTimings timings, const Clock& clock, Scheduler& scheduler, RandomSource random);

  void Start();
  void Stop();
  void Reconfigure(WatcherAssignment assignment);
  WatcherOpinion Opinion() const;
  const WatcherCounters& Counters() const { return this->counters; }

 private:
  struct Round {
    TimePoint started;
    std::size_t unanswered = 0;  ///< Probes of this round that are not completed.
  };
  struct Probe {
    std::string server;
    TimePoint sent_at;
    TimePoint deadline;      ///< When the timeout is due.
    bool completed = false;  ///< Answered, failed or timed out; a later answer is still recorded.
    std::shared_ptr<Round> round;  ///< Null for an extra probe between rounds.
  };
  /// A cause for a promotion that this watcher has detected and that is not resolved yet.
  struct Incident {
    PromotionCause cause = PromotionCause::kPrimaryLost;
    std::string primary;                   ///< Primary at the time of detection; may be empty.
    std::uint64_t term = 0;                ///< Term of the group at the time of detection.
    TimePoint primary_answered_at;         ///< Last answer of the primary before the detection.
    TimePoint since;                       ///< Time of detection.
    std::optional<TimePoint> ready_since;  ///< All local conditions have held since then.
    std::optional<TimePoint> started_at;   ///< Start of the first attempt.
    int attempts = 0;
  };

  /// Calls `method` after `delay` unless the watcher has been stopped.
  void RunMethodAfter(Duration delay, void (Impl::*method)());

  // Probing.
  void StartRound();
  void SendProbe(const std::string& server, const std::shared_ptr<Round>& round);
  void OnProbeAnswer(const std::shared_ptr<Probe>& probe,
                     const std::optional<BackendServerStatus>& status);
  void OnProbeTimeout(const std::shared_ptr<Probe>& probe);
  /// Counts the failure, completes the probe, and repeats it soon unless the server is suspected.
  void CompleteFailedProbe(const std::shared_ptr<Probe>& probe);
  /// Marks the probe as completed and ends its round if it was the last one.
  void CompleteProbe(const std::shared_ptr<Probe>& probe);
  void EndRound(const Round& round);
  void RecordAnswer(const Probe& probe, const BackendServerStatus& status);
  /// Counts a pause of this process if the round starts more than a probe interval late.
  void CountPause();
  /// Sends `follow` to the servers that do not follow the acting primary.
  void RedirectServers();

  // Decisions.
  /// Updates the incident. Collects opinions once all local conditions for a promotion hold and the
  /// delay of this watcher's rank has passed.
  void Evaluate();
  void OnEvaluationTimer();
  /// The cause for a promotion that the state of the group gives, if any.
  std::optional<PromotionCause> FindCause(const GroupState& group) const;
  /// Continues the present incident, or starts a new one if the term or the cause is another.
  void TrackIncident(const GroupState& group, PromotionCause cause);
  /// True if all conditions for a promotion hold except the agreement of the other watchers.
  bool LocalConditionsHold(const GroupState& group, TimePoint now) const;
  /// Time for which a cause must have lasted before it justifies a promotion.
  Duration MinCauseDuration(PromotionCause cause) const;
  Duration SuspicionTime(const GroupState& group) const;
  std::vector<std::string> LeavingServers() const;
  void CollectOpinions();
  void OnOpinions(std::uint64_t request_number, const std::vector<WatcherOpinion>& opinions);
  /// True if no other watcher objects and, for a lost primary, another observer confirms the loss.
  bool OthersAgree(const GroupState& group, const std::vector<WatcherOpinion>& opinions) const;
  void StartPromotion();
  PromotionRequest MakeRequest(const GroupState& group);
  void OnPromotionDone(const PromotionResult& result);
  void CountOutcome(const PromotionResult& result);

  std::string database;
  std::string member;
  WatcherAssignment assignment;
  WatcherHooks hooks;
  WatcherTimings timings;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;

  ServerObservations servers;
  WatcherCounters counters;
  PromotionBackoff backoff;
  std::optional<TimePoint> next_round_due;
  bool evaluation_scheduled = false;

  std::optional<Incident> incident;
  std::uint64_t last_opinion_request = 0;  ///< Opinions for earlier requests are ignored.
  bool collecting_opinions = false;
  TimePoint retry_not_before;      ///< Earliest time of the next request for opinions.
  TimePoint hand_over_not_before;  ///< Earliest time of the next hand-over.
  /// Highest term of an own attempt or of a refusal. The next attempt uses a higher one, so that no
  /// term is used twice.
  std::uint64_t highest_term_used = 0;
  std::unique_ptr<Promotion> promotion;
  bool promoting = false;
  std::uint64_t promoted_term = 0;  ///< Term of the last successful attempt.
  /// Reset by Stop. Callbacks hold a weak pointer to it and then do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
