#include "sycamoredrum/request_executor.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "request_executor_call.h"

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

// Retry backoff of design section 5.3.
constexpr Milliseconds kMinBackoff{10};
constexpr Milliseconds kMaxBackoff{500};
constexpr int kMaxBackoffDoublings = 6;

// Limits the wait for a `prove` answer, so that a lost answer does not use up the deadline. The
// probe timeout of a watcher is at most 1 s, but another watcher usually answers at once.
constexpr Milliseconds kProveTimeout{500};

// The lengths give ["a", "bc"] and ["ab", "c"] different fingerprints.
std::string Fingerprint(const CallerRequest& request) {
  std::string input = request.transaction + "\n";
  for (const std::string& statement : request.statements) {
    input += std::to_string(statement.size()) + ":" + statement;
  }
  const XXH128_hash_t hash = XXH3_128bits(input.data(), input.size());
  return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

bool CarriesRequestId(const CallerRequest& request) {
  const bool commits =
      request.step == TransactionStep::kSingle || request.step == TransactionStep::kCommit;
  return commits && !request.read_only;
}

}  // namespace

bool IsTransient(Reason reason) {
  switch (reason) {
    case Reason::kConnectionRefused:
    case Reason::kConnectionLost:
    case Reason::kHolderUnreachable:
    case Reason::kNoPrimary:
    case Reason::kFenced:
    case Reason::kStopping:
      return true;
    default:
      return false;
  }
}

RequestExecutor::RequestExecutor(std::string local_data_centre, RequestExecutorHooks hooks,
                                 const Clock& clock, Scheduler& scheduler, RandomSource random)
    : local_data_centre(std::move(local_data_centre)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      random(random),
      router(clock, std::move(random)),
      failures(clock) {}

RequestExecutor::~RequestExecutor() = default;

void RequestExecutor::Execute(CallerRequest request, RequestCallback callback) {
  const auto call = std::make_shared<Call>();
  call->request = std::move(request);
  call->callback = std::move(callback);
  call->session = call->request.session.value_or(SessionToken::AllUncertain());
  call->fingerprint = Fingerprint(call->request);
  if (call->request.unconfirmed) {
    call->session = call->session.With(call->request.database, LogPosition{}, true);
  }
  if (CarriesRequestId(call->request)) {
    call->request_id = call->request.request_id;
    if (call->request_id.empty() && !call->request.idempotent) {
      call->request_id = this->hooks.new_request_id();
    }
  }
  this->calls.insert(call);
  if (this->Remaining(*call) <= Duration::zero()) {
    this->Refuse(call, Reason::kDeadline, "the deadline passed before the request was sent");
    return;
  }
  const std::weak_ptr<Call> weak = call;
  this->scheduler.RunAfter(this->Remaining(*call), [this, weak] {
    const CallPtr expired = weak.lock();
    if (expired && !expired->done) {
      this->FinishAtDeadline(expired);
    }
  });
  this->Start(call);
}

void RequestExecutor::Start(const CallPtr& call) {
  if (!this->hooks.database(call->request.database)) {
    this->Refuse(call, Reason::kUnknownDatabase,
                 "database \"" + call->request.database + "\" does not exist");
    return;
  }
  switch (call->request.step) {
    case TransactionStep::kSingle:
      if (call->request.read_only) {
        this->StartRead(call);
      } else {
        this->TryWrite(call);
      }
      return;
    case TransactionStep::kBegin:
      this->StartRead(call);
      return;
    case TransactionStep::kContinue:
    case TransactionStep::kCommit:
    case TransactionStep::kRollback:
      this->SendInTransaction(call);
      return;
  }
}

Duration RequestExecutor::Remaining(const Call& call) const {
  return call.request.deadline - this->clock.Now();
}

void RequestExecutor::FinishAtDeadline(const CallPtr& call) {
  const bool begin = call->request.step == TransactionStep::kBegin;
  if (call->in_flight && !begin) {
    call->unknown = true;
    call->unknown_term = std::max(call->unknown_term, call->sent_term);
  }
  if (call->in_flight || call->last_refusal.reason == Reason::kNone) {
    call->last_refusal = ExecuteAnswer::NotRun(Reason::kDeadline, "the deadline passed");
  }
  this->FinishWithoutResult(call);
}

// Reports kUnknown if an attempt may have taken effect, and kNotRun otherwise.
void RequestExecutor::FinishWithoutResult(const CallPtr& call) {
  ExecuteAnswer answer = call->last_refusal;
  if (!call->unknown) {
    answer.outcome = Outcome::kNotRun;
    this->Finish(call, std::move(answer));
    return;
  }
  answer.outcome = Outcome::kUnknown;
  answer.results.clear();
  answer.retry_after = Duration::zero();
  if (CarriesRequestId(call->request)) {
    call->session = call->session.With(call->request.database, LogPosition{}, true);
  }
  this->Finish(call, std::move(answer));
}

void RequestExecutor::Refuse(const CallPtr& call, Reason reason, const std::string& message) {
  this->Finish(call, ExecuteAnswer::NotRun(reason, message));
}

void RequestExecutor::Finish(const CallPtr& call, ExecuteAnswer answer) {
  call->done = true;
  ++call->wait_id;
  this->calls.erase(call);
  RequestAnswer complete;
  complete.answer = std::move(answer);
  complete.session = call->session;
  complete.request_id = call->request_id;
  complete.attempts = call->attempts;
  complete.primary_reason = call->primary_reason;
  call->callback(complete);
}

// Returns the call and ends its wait if `wait_id` identifies the current wait; otherwise returns
// nullptr, so that a second answer or a timer of the same wait is ignored.
RequestExecutor::CallPtr RequestExecutor::CompleteWait(const std::weak_ptr<Call>& weak,
                                                       std::uint64_t wait_id) {
  CallPtr call = weak.lock();
  if (!call || call->done || call->wait_id != wait_id) {
    return nullptr;
  }
  ++call->wait_id;
  return call;
}

void RequestExecutor::Backoff(const CallPtr& call, Step next) {
  const int doublings = std::min(call->backoffs++, kMaxBackoffDoublings);
  const Duration longest = std::min<Duration>(kMinBackoff * (1 << doublings), kMaxBackoff);
  const auto half = static_cast<std::uint64_t>(longest.count() / 2);
  const Duration jitter(static_cast<Duration::rep>(this->random() % (half + 1)));
  const std::uint64_t wait_id = ++call->wait_id;
  const std::weak_ptr<Call> weak = call;
  this->scheduler.RunAfter(longest / 2 + jitter, [this, weak, wait_id, next] {
    if (const CallPtr current = CompleteWait(weak, wait_id)) {
      (this->*next)(current);
    }
  });
}

// Requests a view with a proof from `not_before` or later, then continues with `next`. If none
// arrives in time, the latest known view is used.
void RequestExecutor::RefreshView(const CallPtr& call, TimePoint not_before, Step next) {
  const Duration limit = std::min<Duration>(this->Remaining(*call), kProveTimeout);
  const std::uint64_t wait_id = ++call->wait_id;
  const std::weak_ptr<Call> weak = call;
  const ProveCallback on_view = [this, weak, wait_id, next](const DatabaseViewPtr& view) {
    if (const CallPtr current = CompleteWait(weak, wait_id)) {
      current->view = view ? view : this->hooks.view(current->request.database);
      (this->*next)(current);
    }
  };
  this->scheduler.RunAfter(limit, [on_view] { on_view(nullptr); });
  this->hooks.prove(call->request.database, not_before, this->clock.Now() + limit, on_view);
}

// The first attempt is free; each further one takes a retry from the caller group's budget.
bool RequestExecutor::ReserveAttempt(const Call& call) {
  return call.attempts == 0 || this->hooks.take_retry(call.request.caller_group);
}

ExecuteCommand RequestExecutor::MakeCommand(const Call& call,
                                            const std::string& backend_server) const {
  ExecuteCommand command;
  command.database = call.request.database;
  command.backend_server = backend_server;
  command.caller_group = call.request.caller_group;
  command.transaction = call.request.transaction;
  command.trace_parent = call.request.trace_parent;
  command.request.request_id = call.request_id;
  command.request.fingerprint = call.fingerprint;
  command.request.write = !call.request.read_only;
  command.request.statements = call.request.statements;
  command.request.step = call.request.step;
  return command;
}

void RequestExecutor::Send(const CallPtr& call, ExecuteCommand command, Duration limit,
                           AnswerStep next) {
  ++call->attempts;
  call->in_flight = true;
  call->backend_server = command.backend_server;
  call->sent_term = command.request.term;
  command.remaining = std::min(limit, this->Remaining(*call));
  const std::uint64_t wait_id = ++call->wait_id;
  const std::weak_ptr<Call> weak = call;
  const ExecuteCallback answered = [this, weak, wait_id, next](const ExecuteAnswer& answer) {
    if (const CallPtr current = CompleteWait(weak, wait_id)) {
      current->in_flight = false;
      (this->*next)(current, answer);
    }
  };
  this->scheduler.RunAfter(command.remaining, [answered] {
    answered(ExecuteAnswer::Unknown(Reason::kDeadline, "the holder did not answer in time"));
  });
  this->hooks.send(command, this->clock.Now() + command.remaining, answered);
}

}  // namespace sycamoredrum
