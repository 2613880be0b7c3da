#include <algorithm>
#include <utility>

#include "request_executor_call.h"

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

// How long other reads avoid a server that failed, and one that was behind.
constexpr Milliseconds kAvoidFailed{1000};
constexpr Milliseconds kAvoidBehind{200};

// An attempt gets half of the remaining time, so that another server can still be tried.
constexpr int kAttemptShareOfRemaining = 2;
constexpr Milliseconds kMinAttempt{100};

// True if the history of the primary excludes the session's position. Valid for any age of the
// view: the entries of earlier terms in a primary's log never change.
bool PositionIsLost(const DatabaseView& view, const LogPosition& position) {
  const BackendServerView* primary = view.Find(view.primary);
  const bool comparable =
      primary != nullptr && primary->status && view.term >= position.term && position.index > 0;
  return comparable && primary->status->history.Excludes(position, primary->status->last_index);
}

bool IsFinalForReads(Reason reason) {
  return reason == Reason::kBadRequest || reason == Reason::kUnauthorized ||
         reason == Reason::kForbidden || reason == Reason::kUnknownDatabase ||
         reason == Reason::kTooLarge || reason == Reason::kTooManyRequests;
}

}  // namespace

void RequestExecutor::StartRead(const CallPtr& call) {
  const std::optional<Duration> max_age = this->hooks.max_read_age(call->request.caller_group);
  if (!max_age) {
    this->Refuse(call, Reason::kForbidden,
                 "caller group \"" + call->request.caller_group + "\" does not exist");
    return;
  }
  const bool uncertain = call->Required().uncertain;
  call->not_before = uncertain ? call->request.arrival : call->request.arrival - *max_age;
  call->view = this->hooks.view(call->request.database);
  this->TryRead(call);
}

// Sets `require` from a proof that is new enough. Returns false if there is none.
bool RequestExecutor::FindRequirement(const CallPtr& call) {
  ProofHistory& history = this->proofs[call->request.database];
  if (call->view && call->view->proof) {
    history.Add(*call->view->proof);
  }
  const std::optional<FreshnessProof> proof = history.Find(call->not_before);
  if (!proof) {
    return false;
  }
  call->require = std::max(proof->position, call->Required().position);
  return true;
}

void RequestExecutor::TryRead(const CallPtr& call) {
  const bool proven = this->FindRequirement(call);
  if (!proven || !call->view) {
    call->last_refusal = ExecuteAnswer::NotRun(
        Reason::kNoFreshnessProof, "no proof shows that the data is as fresh as required");
    const bool first = call->backoffs == 0 && call->attempts == 0;
    if (first) {
      ++call->backoffs;
      this->RefreshForRead(call);
    } else {
      this->Backoff(call, &RequestExecutor::RefreshForRead);
    }
    return;
  }
  if (PositionIsLost(*call->view, call->Required().position)) {
    const std::string position = call->Required().position.ToString();
    call->session = call->session.WithoutPosition(call->request.database);
    this->Refuse(call, Reason::kSessionPositionLost,
                 "position " + position + " of the session is not in the present history");
    return;
  }
  if (call->request.step == TransactionStep::kBegin) {
    this->TryBegin(call);
    return;
  }
  const auto config = this->hooks.database(call->request.database);
  const RouteRequest route_request{call->require, this->local_data_centre, this->Remaining(*call)};
  ReadRoute route;
  if (config) {
    route = this->router.Route(*call->view, *config, this->failures, route_request);
  }
  call->primary_reason = route.primary_reason;
  call->choices.assign(route.choices.begin(), route.choices.end());
  this->TryNextChoice(call);
}

void RequestExecutor::RefreshForRead(const CallPtr& call) {
  const bool tried = call->attempts > 0;
  const TimePoint not_before = tried ? this->clock.Now() : call->not_before;
  this->Prove(call, not_before, &RequestExecutor::TryRead);
}

void RequestExecutor::TryNextChoice(const CallPtr& call) {
  if (call->choices.empty()) {
    this->Backoff(call, &RequestExecutor::RefreshForRead);
    return;
  }
  const bool charged = call->last_refusal.reason != Reason::kBehind;
  if (charged && !this->MayResend(*call)) {
    this->Backoff(call, &RequestExecutor::TryNextChoice);
    return;
  }
  const ReadChoice choice = call->choices.front();
  call->choices.pop_front();
  ExecuteCommand command = this->MakeCommand(*call, choice.backend_server);
  command.request.require = call->require;
  command.request.wait = choice.wait;
  const Duration share = this->Remaining(*call) / kAttemptShareOfRemaining;
  this->Send(call, std::move(command), std::max<Duration>(share, kMinAttempt),
             &RequestExecutor::OnReadAnswer);
}

void RequestExecutor::OnReadAnswer(const CallPtr& call, const ExecuteAnswer& answer) {
  switch (answer.outcome) {
    case Outcome::kResult:
      this->FinishRead(call, answer);
      return;
    case Outcome::kFailed:
      this->Finish(call, answer);
      return;
    case Outcome::kNotRun:
      this->OnReadRefusal(call, answer);
      return;
    case Outcome::kUnknown:
      call->unknown = true;
      call->last_refusal = answer;
      this->failures.Record(call->backend_server, kAvoidFailed);
      this->TryNextChoice(call);
      return;
  }
}

void RequestExecutor::OnReadRefusal(const CallPtr& call, const ExecuteAnswer& answer) {
  call->last_refusal = answer;
  if (IsFinalForReads(answer.reason)) {
    this->FinishWeakest(call);
    return;
  }
  if (answer.reason == Reason::kSessionPositionLost) {
    // The server's history excludes `require`. That may be the proof's position or a server that
    // has not truncated its log yet, so the session's position is checked against a new view.
    this->proofs[call->request.database].Clear();
    this->Backoff(call, &RequestExecutor::RefreshForRead);
    return;
  }
  const bool behind = answer.reason == Reason::kBehind;
  this->failures.Record(call->backend_server, behind ? kAvoidBehind : kAvoidFailed);
  this->TryNextChoice(call);
}

void RequestExecutor::FinishRead(const CallPtr& call, const ExecuteAnswer& answer) {
  this->failures.Clear(call->backend_server);
  if (call->Required().uncertain) {
    const LogPosition position = std::max(call->require, answer.position);
    call->session = call->session.With(call->request.database, position, false);
  }
  this->Finish(call, answer);
}

}  // namespace sycamoredrum
