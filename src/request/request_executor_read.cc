#include <algorithm>
#include <utility>

#include "request_executor_call.h"

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

// How long reads avoid a server after a failed attempt, and after a `behind` answer.
constexpr Milliseconds kFailedServerAvoidance{1000};
constexpr Milliseconds kBehindServerAvoidance{200};

// An attempt gets half of the remaining time, so that another server can still be tried.
constexpr int kRemainingTimeDivisor = 2;
constexpr Milliseconds kMinAttemptTimeout{100};

// True if the history of the primary excludes the session's position. This is certain even if the
// view is old, because the entries of earlier terms in a primary's log never change.
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
  const bool uncertain = call->GetSessionPosition().uncertain;
  call->not_before = uncertain ? call->request.arrival : call->request.arrival - *max_age;
  call->view = this->hooks.view(call->request.database);
  this->TryRead(call);
}

// Sets `require` to the position of a proof not older than `not_before`, or to the session's
// position if that is larger. Returns false if there is no such proof.
bool RequestExecutor::UpdateRequiredPosition(const CallPtr& call) {
  ProofHistory& history = this->proofs[call->request.database];
  if (call->view && call->view->proof) {
    history.Add(*call->view->proof);
  }
  const std::optional<FreshnessProof> proof = history.Find(call->not_before);
  if (!proof) {
    return false;
  }
  call->require = std::max(proof->position, call->GetSessionPosition().position);
  return true;
}

void RequestExecutor::TryRead(const CallPtr& call) {
  const bool proven = this->UpdateRequiredPosition(call);
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
  if (PositionIsLost(*call->view, call->GetSessionPosition().position)) {
    const std::string position = call->GetSessionPosition().position.ToString();
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
  this->TryNextServer(call);
}

void RequestExecutor::RefreshForRead(const CallPtr& call) {
  const bool tried = call->attempts > 0;
  const TimePoint not_before = tried ? this->clock.Now() : call->not_before;
  this->RefreshView(call, not_before, &RequestExecutor::TryRead);
}

void RequestExecutor::TryNextServer(const CallPtr& call) {
  if (call->choices.empty()) {
    this->Backoff(call, &RequestExecutor::RefreshForRead);
    return;
  }
  const bool charged = call->last_refusal.reason != Reason::kBehind;
  if (charged && !this->ReserveAttempt(*call)) {
    this->Backoff(call, &RequestExecutor::TryNextServer);
    return;
  }
  const ReadChoice choice = call->choices.front();
  call->choices.pop_front();
  ExecuteCommand command = this->MakeCommand(*call, choice.backend_server);
  command.request.require = call->require;
  command.request.wait = choice.wait;
  const Duration share = this->Remaining(*call) / kRemainingTimeDivisor;
  this->Send(call, std::move(command), std::max<Duration>(share, kMinAttemptTimeout),
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
      this->failures.Record(call->backend_server, kFailedServerAvoidance);
      this->TryNextServer(call);
      return;
  }
}

void RequestExecutor::OnReadRefusal(const CallPtr& call, const ExecuteAnswer& answer) {
  call->last_refusal = answer;
  if (IsFinalForReads(answer.reason)) {
    this->FinishWithoutResult(call);
    return;
  }
  if (answer.reason == Reason::kSessionPositionLost) {
    // The server's history excludes `require`. Either the position of the proof is no longer valid
    // or the server has not truncated its log yet, so the session's position is checked against a
    // new view.
    this->proofs[call->request.database].Clear();
    this->Backoff(call, &RequestExecutor::RefreshForRead);
    return;
  }
  const bool behind = answer.reason == Reason::kBehind;
  this->failures.Record(call->backend_server,
                        behind ? kBehindServerAvoidance : kFailedServerAvoidance);
  this->TryNextServer(call);
}

void RequestExecutor::FinishRead(const CallPtr& call, const ExecuteAnswer& answer) {
  this->failures.Clear(call->backend_server);
  if (call->GetSessionPosition().uncertain) {
    const LogPosition position = std::max(call->require, answer.position);
    call->session = call->session.With(call->request.database, position, false);
  }
  this->Finish(call, answer);
}

}  // namespace sycamoredrum
