#include "sycamoredrum/database_watcher.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "watcher_impl.h"

namespace sycamoredrum {
namespace {

// Number of evaluations per probe interval during an incident.
constexpr int kEvaluationsPerInterval = 4;

// Suffix of the proposer ids of hand-overs. Other watchers recognise it and do not count the new
// term as a failover, which would cause a back-off.
constexpr char kHandOverSuffix[] = "/hand-over";

}  // namespace

DatabaseWatcher::Impl::Impl(std::string database, std::string member, WatcherAssignment assignment,
                            WatcherHooks hooks, WatcherTimings timings, const Clock& clock,
                            Scheduler& scheduler, RandomSource random)
    : database(std::move(database)),
      member(std::move(member)),
      hooks(std::move(hooks)),
      timings(timings),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)),
      backoff(timings) {
  this->Reconfigure(std::move(assignment));
}

void DatabaseWatcher::Impl::Stop() {
  this->alive.reset();
  this->promotion.reset();
}

void DatabaseWatcher::Impl::Reconfigure(WatcherAssignment next) {
  const TimePoint now = this->clock.Now();
  const bool same_group = next.backend_servers == this->assignment.backend_servers;
  this->assignment = std::move(next);
  if (same_group) {
    return;
  }
  ServerObservations kept;
  for (const std::string& id : this->assignment.backend_servers) {
    const auto found = this->servers.find(id);
    kept.emplace(id, found != this->servers.end() ? found->second
                                                  : ServerObservation(id, now, this->timings));
  }
  this->servers = std::move(kept);
  this->promotion.reset();
  this->promoting = false;
  this->collecting_opinions = false;
  this->incident.reset();
}

WatcherOpinion DatabaseWatcher::Impl::Opinion() const {
  const TimePoint now = this->clock.Now();
  const GroupState group = AssessGroup(this->servers, now);
  WatcherOpinion opinion;
  // A server that this watcher has just promoted may not have answered a probe in its new term yet.
  opinion.term = std::max(group.term, this->promoted_term);
  opinion.promoting = this->promoting;
  opinion.primary = group.primary;
  const auto found = this->servers.find(group.primary);
  if (found == this->servers.end()) {
    return opinion;
  }
  if (const std::optional<TimePoint> last_answer_at = found->second.LastAnswerAt()) {
    opinion.heard_from_primary_ago = now - *last_answer_at;
  }
  opinion.reachable = group.condition == PrimaryCondition::kActing && found->second.Reachable(now);
  return opinion;
}

std::vector<std::string> DatabaseWatcher::Impl::LeavingServers() const {
  std::vector<std::string> leaving;
  std::copy_if(this->assignment.backend_servers.begin(), this->assignment.backend_servers.end(),
               std::back_inserter(leaving), this->hooks.is_leaving);
  return leaving;
}

Duration DatabaseWatcher::Impl::SuspicionTime(const GroupState& group) const {
  const auto found = this->servers.find(group.primary);
  if (found != this->servers.end()) {
    return found->second.SuspicionTime();
  }
  return ServerObservation("", this->clock.Now(), this->timings).SuspicionTime();
}

std::optional<PromotionCause> DatabaseWatcher::Impl::FindCause(const GroupState& group) const {
  switch (group.condition) {
    case PrimaryCondition::kSuspected:
      return PromotionCause::kPrimaryLost;
    case PrimaryCondition::kNotActing:
    case PrimaryCondition::kUnknown:
      return PromotionCause::kNoPrimary;
    case PrimaryCondition::kActing:
      break;
  }
  if (group.promise_ahead) {
    return PromotionCause::kPromiseAhead;
  }
  const TimePoint now = this->clock.Now();
  const bool may_hand_over = now >= this->hand_over_not_before &&
                             this->hooks.is_leaving(group.primary) &&
                             HasHandOverTarget(this->servers, group, this->LeavingServers(),
                                               this->timings.max_hand_over_lag, now);
  return may_hand_over ? std::make_optional(PromotionCause::kHandOver) : std::nullopt;
}

void DatabaseWatcher::Impl::TrackIncident(const GroupState& group, PromotionCause cause) {
  const bool same_term = this->incident && this->incident->term == group.term;
  // A failed attempt leaves servers fenced. That may change the cause, but the incident continues.
  const bool continued = same_term && this->incident->attempts > 0;
  if (continued) {
    this->incident->cause = cause;
  }
  if (same_term && this->incident->cause == cause) {
    return;
  }
  Incident next;
  next.cause = cause;
  next.term = group.term;
  next.primary = group.primary;
  next.since = this->clock.Now();
  const auto found = this->servers.find(group.primary);
  next.primary_answered_at =
      found != this->servers.end() ? found->second.SilentSince() : next.since;
  this->incident = next;
}

Duration DatabaseWatcher::Impl::MinCauseDuration(PromotionCause cause) const {
  switch (cause) {
    case PromotionCause::kNoPrimary:
      return ServerObservation("", this->clock.Now(), this->timings).SuspicionTime();
    case PromotionCause::kPromiseAhead:
      return this->timings.promise_ahead_time;
    case PromotionCause::kPrimaryLost:
    case PromotionCause::kHandOver:
      break;
  }
  return Duration::zero();
}

bool DatabaseWatcher::Impl::LocalConditionsHold(const GroupState& group, TimePoint now) const {
  const PromotionCause cause = this->incident->cause;
  const bool lasted = now >= this->incident->since + this->MinCauseDuration(cause);
  if (!lasted || !group.majority_reachable) {
    return false;
  }
  if (cause == PromotionCause::kHandOver) {
    return true;
  }
  if (const auto not_before = this->backoff.NotBefore(); not_before && now < *not_before) {
    return false;
  }
  if (cause != PromotionCause::kPrimaryLost) {
    return true;
  }
  const Duration suspicion_time = this->SuspicionTime(group);
  const Duration silence = now - this->servers.at(group.primary).SilentSince();
  if (silence < suspicion_time) {
    return false;
  }
  // A primary that only its replicas can reach does not serve the callers. After max_replica_hold,
  // the opinions of the other watchers decide.
  return silence >= this->timings.max_replica_hold ||
         !AssessReplicaContact(this->servers, group, suspicion_time, now).any_recent;
}

void DatabaseWatcher::Impl::OnEvaluationTimer() {
  this->evaluation_scheduled = false;
  this->Evaluate();
}

void DatabaseWatcher::Impl::Evaluate() {
  const TimePoint now = this->clock.Now();
  const GroupState group = AssessGroup(this->servers, now);
  if (group.term > 0 && !group.primary.empty()) {
    const bool hand_over = absl::EndsWith(group.promised_by, kHandOverSuffix);
    this->backoff.RecordTerm(group.term, hand_over, now);
  }
  if (this->promoting) {
    return;
  }
  const std::optional<PromotionCause> cause = this->FindCause(group);
  if (!cause) {
    this->incident.reset();
    return;
  }
  this->TrackIncident(group, *cause);
  if (!this->evaluation_scheduled) {
    this->evaluation_scheduled = true;
    this->RunMethodAfter(this->timings.probe_interval / kEvaluationsPerInterval,
                         &Impl::OnEvaluationTimer);
  }
  if (!this->LocalConditionsHold(group, now)) {
    this->incident->ready_since.reset();
    return;
  }
  if (!this->incident->ready_since) {
    this->incident->ready_since = now;
  }
  const bool rank_delay_passed =
      now >= *this->incident->ready_since + this->assignment.rank * this->timings.rank_delay;
  if (rank_delay_passed && now >= this->retry_not_before && !this->collecting_opinions) {
    this->CollectOpinions();
  }
}

void DatabaseWatcher::Impl::CollectOpinions() {
  this->collecting_opinions = true;
  const std::uint64_t request_number = ++this->last_opinion_request;
  const std::weak_ptr<bool> guard = this->alive;
  const auto answer = [this, guard, request_number](const std::vector<WatcherOpinion>& opinions) {
    if (!guard.expired()) {
      this->OnOpinions(request_number, opinions);
    }
  };
  Duration timeout = this->timings.min_probe_timeout;
  for (const auto& [id, server] : this->servers) {
    timeout = std::max(timeout, server.ProbeTimeout());
  }
  this->scheduler.RunAfter(timeout + this->timings.probe_interval, [answer] { answer({}); });
  this->hooks.collect_opinions(timeout, answer);
}

void DatabaseWatcher::Impl::OnOpinions(std::uint64_t request_number,
                                       const std::vector<WatcherOpinion>& opinions) {
  if (!this->collecting_opinions || request_number != this->last_opinion_request) {
    return;
  }
  this->collecting_opinions = false;
  const TimePoint now = this->clock.Now();
  const GroupState group = AssessGroup(this->servers, now);
  const bool still_due = !this->promoting && this->incident && this->incident->ready_since &&
                         this->FindCause(group) == this->incident->cause &&
                         group.term == this->incident->term &&
                         this->LocalConditionsHold(group, now);
  if (!still_due) {
    return;
  }
  if (!this->OthersAgree(group, opinions)) {
    ++this->counters.held_back;
    this->retry_not_before = now + this->timings.probe_interval;
    return;
  }
  this->StartPromotion();
}

bool DatabaseWatcher::Impl::OthersAgree(const GroupState& group,
                                        const std::vector<WatcherOpinion>& opinions) const {
  const bool primary_lost = this->incident->cause == PromotionCause::kPrimaryLost;
  const Duration suspicion_time = this->SuspicionTime(group);
  const TimePoint now = this->clock.Now();
  const bool gives_way = now - *this->incident->ready_since < this->timings.give_way_time;
  const ReplicaContact replicas = AssessReplicaContact(this->servers, group, suspicion_time, now);
  int agreeing = replicas.any_recent ? 0 : replicas.without_recent;
  for (const WatcherOpinion& opinion : opinions) {
    const bool knows_newer_term = opinion.term > group.term;
    const bool same_primary = opinion.term == group.term && opinion.primary == group.primary;
    const bool recent_answer =
        opinion.heard_from_primary_ago && *opinion.heard_from_primary_ago < suspicion_time;
    const bool contradicts_loss =
        primary_lost && same_primary && (recent_answer || opinion.reachable);
    const bool sees_primary =
        this->incident->cause == PromotionCause::kNoPrimary && opinion.reachable;
    const bool other_attempt = opinion.promoting && gives_way;
    if (knows_newer_term || other_attempt || contradicts_loss || sees_primary) {
      return false;
    }
    if (same_primary && opinion.heard_from_primary_ago) {
      ++agreeing;
    }
  }
  return !primary_lost || agreeing > 0;
}

PromotionRequest DatabaseWatcher::Impl::MakeRequest(const GroupState& group) {
  const bool hand_over = this->incident->cause == PromotionCause::kHandOver;
  this->highest_term_used = std::max(this->highest_term_used, group.highest_promise) + 1;
  PromotionRequest request;
  request.database = this->database;
  request.backend_servers = this->assignment.backend_servers;
  request.term = this->highest_term_used;
  // The random part keeps the id unique if another process takes over this member id.
  request.proposer = absl::StrCat(this->member, "/", absl::Hex(this->random(), absl::kZeroPad16),
                                  hand_over ? kHandOverSuffix : "");
  request.hand_over_from = hand_over ? group.primary : "";
  request.avoid = this->LeavingServers();
  request.preferred = group.primary;
  return request;
}

void DatabaseWatcher::Impl::StartPromotion() {
  const TimePoint now = this->clock.Now();
  if (!this->incident->started_at) {
    this->incident->started_at = now;
  }
  ++this->incident->attempts;
  ++this->counters.attempts;
  this->promoting = true;
  const GroupState group = AssessGroup(this->servers, now);
  this->promotion = std::make_unique<Promotion>(
      this->MakeRequest(group), this->hooks.control,
      [this](const PromotionResult& result) { this->OnPromotionDone(result); },
      this->timings.promotion, this->clock, this->scheduler);
  this->promotion->Start();
}

void DatabaseWatcher::Impl::CountOutcome(const PromotionResult& result) {
  switch (result.outcome) {
    case PromotionOutcome::kPromoted:
      ++this->counters.promoted;
      break;
    case PromotionOutcome::kRefused:
      ++this->counters.refused;
      break;
    case PromotionOutcome::kNoMajority:
      ++this->counters.no_majority;
      break;
    case PromotionOutcome::kTimeout:
      ++this->counters.timeouts;
      break;
  }
}

void DatabaseWatcher::Impl::OnPromotionDone(const PromotionResult& result) {
  const TimePoint now = this->clock.Now();
  const bool hand_over = this->incident && this->incident->cause == PromotionCause::kHandOver;
  this->promoting = false;
  this->CountOutcome(result);
  this->highest_term_used = std::max(this->highest_term_used, result.higher_term);
  if (hand_over) {
    this->hand_over_not_before = now + this->timings.hand_over_retry;
  }
  if (result.outcome != PromotionOutcome::kPromoted) {
    // Rank and random delay keep two watchers whose attempts refused each other from retrying at
    // the same time.
    const Duration spread = this->timings.rank_delay;
    this->retry_not_before =
        now + this->assignment.rank * spread + Duration(this->random() % spread.count());
    return;
  }
  this->promoted_term = result.term;
  this->backoff.RecordTerm(result.term, hand_over, now);
  if (!this->incident) {
    return;
  }
  this->counters.hand_overs += hand_over ? 1 : 0;
  FailoverGap gap;
  gap.cause = this->incident->cause;
  gap.primary = result.primary;
  gap.term = result.term;
  gap.primary_answered_at = this->incident->primary_answered_at;
  gap.suspected_at = this->incident->since;
  gap.started_at = *this->incident->started_at;
  gap.promoted_at = now;
  gap.attempts = this->incident->attempts;
  this->incident.reset();
  this->hooks.on_gap(gap);
}

DatabaseWatcher::DatabaseWatcher(std::string database, std::string member,
                                 WatcherAssignment assignment, WatcherHooks hooks,
                                 WatcherTimings timings, const Clock& clock, Scheduler& scheduler,
                                 RandomSource random)
    : impl(std::make_unique<Impl>(std::move(database), std::move(member), std::move(assignment),
                                  std::move(hooks), timings, clock, scheduler, std::move(random))) {
}

DatabaseWatcher::~DatabaseWatcher() = default;
void DatabaseWatcher::Start() { this->impl->Start(); }
void DatabaseWatcher::Stop() { this->impl->Stop(); }
void DatabaseWatcher::Reconfigure(WatcherAssignment assignment) {
  this->impl->Reconfigure(std::move(assignment));
}
WatcherOpinion DatabaseWatcher::Opinion() const { return this->impl->Opinion(); }
const WatcherCounters& DatabaseWatcher::Counters() const { return this->impl->Counters(); }

}  // namespace sycamoredrum
