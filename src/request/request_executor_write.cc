#include <algorithm>
#include <utility>

#include "request_executor_call.h"

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

// An attempt gets half of the remaining time, so that time for the next primary remains if this one
// is frozen.
constexpr int kRemainingTimeDivisor = 2;
constexpr Milliseconds kMinAttemptTimeout{200};

}  // namespace

void RequestExecutor::TryWrite(const CallPtr& call) {
  if (!call->view) {
    call->view = this->hooks.view(call->request.database);
  }
  const bool usable =
      call->view && !call->view->primary.empty() && call->view->term > call->fenced_term;
  if (!usable) {
    if (call->last_refusal.reason == Reason::kNone) {
      call->last_refusal = ExecuteAnswer::NotRun(Reason::kNoPrimary, "no primary is known");
    }
    this->Backoff(call, &RequestExecutor::RefreshForWrite);
    return;
  }
  if (!this->ReserveAttempt(*call)) {
    this->Backoff(call, &RequestExecutor::RefreshForWrite);
    return;
  }
  ExecuteCommand command = this->MakeCommand(*call, call->view->primary);
  command.request.term = call->view->term;
  const Duration share = this->Remaining(*call) / kRemainingTimeDivisor;
  this->Send(call, std::move(command), std::max<Duration>(share, kMinAttemptTimeout),
             &RequestExecutor::OnWriteAnswer);
}

void RequestExecutor::RefreshForWrite(const CallPtr& call) {
  this->RefreshView(call, this->clock.Now(), &RequestExecutor::TryWrite);
}

void RequestExecutor::OnWriteAnswer(const CallPtr& call, const ExecuteAnswer& answer) {
  switch (answer.outcome) {
    case Outcome::kResult:
      this->FinishWrite(call, answer);
      return;
    case Outcome::kFailed:
      this->OnWriteFailure(call, answer);
      return;
    case Outcome::kNotRun:
      this->OnWriteRefusal(call, answer);
      return;
    case Outcome::kUnknown:
      call->unknown = true;
      call->unknown_term = std::max(call->unknown_term, call->sent_term);
      call->last_refusal = answer;
      if (call->request_id.empty() && !call->request.idempotent) {
        this->FinishWithoutResult(call);
        return;
      }
      this->Backoff(call, &RequestExecutor::RefreshForWrite);
      return;
  }
}

void RequestExecutor::OnWriteRefusal(const CallPtr& call, const ExecuteAnswer& answer) {
  call->last_refusal = answer;
  if (answer.reason == Reason::kFenced) {
    call->fenced_term = std::max(call->fenced_term, call->sent_term);
  }
  if (!IsTransient(answer.reason)) {
    this->FinishWithoutResult(call);
    return;
  }
  this->Backoff(call, &RequestExecutor::RefreshForWrite);
}

void RequestExecutor::OnWriteFailure(const CallPtr& call, const ExecuteAnswer& answer) {
  const bool excludes_earlier_attempts =
      !call->request_id.empty() && call->sent_term > call->unknown_term;
  if (!call->unknown || excludes_earlier_attempts) {
    this->Finish(call, answer);
    return;
  }
  call->last_refusal = answer;
  this->FinishWithoutResult(call);
}

void RequestExecutor::FinishWrite(const CallPtr& call, const ExecuteAnswer& answer) {
  if (answer.position.index > 0) {
    const SessionPosition before = call->GetSessionPosition();
    const bool follows_all = answer.position > before.position && !answer.duplicate;
    call->session = call->session.With(call->request.database, answer.position,
                                       before.uncertain && !follows_all);
  }
  this->Finish(call, answer);
}

// Begins are sent to the primary, because the transaction may write. Reads in the transaction are
// not confirmed by a majority, so the begin needs the same freshness proof as other reads.
void RequestExecutor::TryBegin(const CallPtr& call) {
  if (call->view->primary.empty()) {
    call->last_refusal = ExecuteAnswer::NotRun(Reason::kNoPrimary, "no primary is known");
    this->Backoff(call, &RequestExecutor::RefreshForRead);
    return;
  }
  ExecuteCommand command = this->MakeCommand(*call, call->view->primary);
  command.request.term = call->view->term;
  command.request.require = call->require;
  command.request.wait = std::min<Duration>(this->Remaining(*call), ReadRouter::kMaxWait);
  this->Send(call, std::move(command), this->Remaining(*call),
             &RequestExecutor::OnTransactionAnswer);
}

void RequestExecutor::SendInTransaction(const CallPtr& call) {
  call->view = this->hooks.view(call->request.database);
  ExecuteCommand command = this->MakeCommand(*call, call->request.backend_server);
  command.request.term = call->view ? call->view->term : 0;
  command.request.require = call->GetSessionPosition().position;
  this->Send(call, std::move(command), this->Remaining(*call),
             &RequestExecutor::OnTransactionAnswer);
}

void RequestExecutor::OnTransactionAnswer(const CallPtr& call, const ExecuteAnswer& answer) {
  const bool commits = call->request.step == TransactionStep::kCommit && !call->request.read_only;
  const bool begin = call->request.step == TransactionStep::kBegin;
  if (answer.outcome == Outcome::kResult && commits) {
    this->FinishWrite(call, answer);
    return;
  }
  if (answer.outcome == Outcome::kUnknown) {
    call->unknown = !begin;
    call->last_refusal = answer;
    this->FinishWithoutResult(call);
    return;
  }
  this->Finish(call, answer);
}

}  // namespace sycamoredrum
