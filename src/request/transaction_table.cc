#include "sycamoredrum/transaction_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "backend_request_runner.h"

namespace sycamoredrum {
namespace {

ExecuteAnswer NoTransaction() {
  return ExecuteAnswer::NotRun(Reason::kNoTransaction, "the transaction is not open");
}

ExecuteAnswer RefusalWithOpenTransaction(const std::string& id, Reason reason,
                                         const std::string& message) {
  ExecuteAnswer answer = ExecuteAnswer::NotRun(reason, message);
  answer.transaction = id;
  return answer;
}

// Returns the command that is sent to the backend server. Only a commit keeps its request id: a
// begin with the id of an earlier request would be answered from the request record, without
// opening a transaction.
ExecuteCommand MakeStepCommand(const ExecuteCommand& begin, ExecuteCommand command) {
  command.database = begin.database;
  command.backend_server = begin.backend_server;
  command.request.write = begin.request.write;
  command.request.term = begin.request.term;
  if (command.request.step != TransactionStep::kCommit) {
    command.request.request_id.clear();
    command.request.fingerprint.clear();
  }
  if (command.request.step == TransactionStep::kRollback) {
    command.request.statements.clear();
  }
  return command;
}

std::size_t ResultBytes(const ExecuteAnswer& answer) {
  std::size_t bytes = 0;
  for (const std::string& result : answer.results) {
    bytes += result.size();
  }
  return bytes;
}

}  // namespace

TransactionTable::TransactionTable(HolderHooks hooks, std::string member, const Clock& clock,
                                   Scheduler& scheduler, RandomSource random)
    : runner(std::make_shared<BackendRequestRunner>(std::move(hooks), clock, scheduler)),
      member(std::move(member)),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)) {}

TransactionTable::~TransactionTable() = default;

void TransactionTable::Execute(const ExecuteCommand& command, const std::string& entry,
                               ExecuteCallback callback) {
  const TransactionStep step = command.request.step;
  if (step == TransactionStep::kSingle) {
    callback(
        ExecuteAnswer::NotRun(Reason::kBadRequest, "the request is not part of a transaction"));
    return;
  }
  if (step == TransactionStep::kBegin) {
    this->Begin(command, entry, std::move(callback));
    return;
  }
  const auto found = this->transactions.find(command.transaction);
  if (found == this->transactions.end()) {
    this->AnswerEnded(command, std::move(callback));
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.begin.caller_group != command.caller_group) {
    callback(NoTransaction());
    return;
  }
  if (transaction.stage == Stage::kCommitting && step == TransactionStep::kCommit) {
    transaction.callbacks.push_back(std::move(callback));
    return;
  }
  if (transaction.stage != Stage::kIdle) {
    callback(RefusalWithOpenTransaction(command.transaction, Reason::kTooManyRequests,
                                        "another request of the transaction is in progress"));
    return;
  }
  const TimePoint now = this->clock.Now();
  const TimePoint deadline = std::min(now + command.remaining, transaction.begun_at + kTotalLimit);
  if (deadline <= now) {
    callback(RefusalWithOpenTransaction(command.transaction, Reason::kDeadline,
                                        "the deadline has passed"));
    return;
  }
  transaction.entry = entry;
  transaction.callbacks.push_back(std::move(callback));
  transaction.stage = step == TransactionStep::kCommit ? Stage::kCommitting : Stage::kRunning;
  this->SendStep(command.transaction, MakeStepCommand(transaction.begin, command), deadline);
}

void TransactionTable::Begin(const ExecuteCommand& command, const std::string& entry,
                             ExecuteCallback callback) {
  if (this->stopping) {
    callback(ExecuteAnswer::NotRun(Reason::kStopping, "this proxy is stopping"));
    return;
  }
  const TimePoint deadline = this->clock.Now() + command.remaining;
  const std::uint64_t pending = this->next_begin++;
  this->pending_begins.emplace(pending, entry);
  const std::weak_ptr<bool> guard = this->alive;
  this->runner->AcquireLease(
      command, deadline,
      [this, guard, pending, command, entry, deadline, callback](const BackendLease& lease) {
        if (!guard.expired()) {
          this->StartBegin(pending, command, entry, lease, deadline, callback);
        }
      },
      [this, guard, pending, callback](const ExecuteAnswer& refusal) {
        if (!guard.expired()) {
          this->pending_begins.erase(pending);
          callback(refusal);
        }
      });
}

void TransactionTable::StartBegin(std::uint64_t pending, const ExecuteCommand& command,
                                  const std::string& entry, const BackendLease& lease,
                                  TimePoint deadline, ExecuteCallback callback) {
  if (this->pending_begins.erase(pending) == 0) {
    this->runner->Release(lease, ConnectionState::kClean);
    callback(ExecuteAnswer::NotRun(Reason::kNoTransaction, "the entry proxy is gone"));
    return;
  }
  const std::string id = this->NewId();
  Transaction transaction;
  transaction.begin = command;
  transaction.begin.request.statements.clear();
  transaction.entry = entry;
  transaction.lease = lease;
  transaction.begun_at = this->clock.Now();
  transaction.last_used = transaction.begun_at;
  transaction.callbacks.push_back(std::move(callback));
  this->transactions.emplace(id, std::move(transaction));
  this->ScheduleCheck(id, kIdleLimit);
  this->SendStep(id, MakeStepCommand(command, command), deadline);
}

void TransactionTable::SendStep(const std::string& id, const ExecuteCommand& command,
                                TimePoint deadline) {
  const std::weak_ptr<bool> guard = this->alive;
  const BackendLease lease = this->transactions.at(id).lease;
  this->runner->Send(
      lease, command.request, deadline,
      [this, guard, id, command, deadline](const std::optional<BackendReply>& reply) {
        if (!guard.expired()) {
          this->OnReply(id, command, deadline, reply);
        }
      });
}

void TransactionTable::OnReply(const std::string& id, const ExecuteCommand& command,
                               TimePoint deadline, const std::optional<BackendReply>& reply) {
  const auto found = this->transactions.find(id);
  if (found == this->transactions.end()) {
    return;  // Aborted because its entry proxy is gone; its connection is already closed.
  }
  const TransactionStep step = command.request.step;
  const BackendLease lease = found->second.lease;
  if (step == TransactionStep::kRollback) {
    const bool clean = reply && reply->error == BackendError::kNone;
    this->runner->Release(lease, clean ? ConnectionState::kClean : ConnectionState::kBroken);
    ExecuteAnswer answer;
    answer.outcome = Outcome::kResult;
    this->EndTransaction(id, answer);
  } else if (!reply) {
    this->OnConnectionLost(id, step);
  } else if (reply->error != BackendError::kNone) {
    this->runner->Release(lease, StateAfter(command.request, *reply));
    this->EndTransaction(id, RefusalAnswer(*reply));
  } else if (step == TransactionStep::kCommit) {
    this->OnCommitted(id, command, deadline, *reply);
  } else {
    this->OnStepDone(id, *reply);
  }
}

void TransactionTable::OnConnectionLost(const std::string& id, TransactionStep step) {
  this->runner->Release(this->transactions.at(id).lease, ConnectionState::kBroken);
  if (step == TransactionStep::kCommit) {
    this->EndTransaction(id, ExecuteAnswer::Unknown(Reason::kConnectionLost,
                                                    "the connection was lost during the commit"));
  } else {
    this->EndTransaction(
        id, ExecuteAnswer::NotRun(Reason::kConnectionLost,
                                  "the connection was lost and the transaction is rolled back"));
  }
}

void TransactionTable::OnCommitted(const std::string& id, const ExecuteCommand& command,
                                   TimePoint deadline, const BackendReply& reply) {
  const std::weak_ptr<bool> guard = this->alive;
  this->runner->Finish(command, this->transactions.at(id).lease, reply, deadline,
                       [this, guard, id](const ExecuteAnswer& answer) {
                         if (!guard.expired()) {
                           this->EndTransaction(id, answer);
                         }
                       });
}

void TransactionTable::OnStepDone(const std::string& id, const BackendReply& reply) {
  Transaction& transaction = this->transactions.at(id);
  transaction.stage = Stage::kIdle;
  transaction.last_used = this->clock.Now();
  const std::vector<ExecuteCallback> callbacks = std::exchange(transaction.callbacks, {});
  ExecuteAnswer answer;
  answer.outcome = Outcome::kResult;
  answer.results = reply.results;
  answer.position = reply.position;
  answer.backend_server = transaction.begin.backend_server;
  answer.transaction = id;
  for (const ExecuteCallback& callback : callbacks) {
    callback(answer);
  }
}

void TransactionTable::AnswerEnded(const ExecuteCommand& command, ExecuteCallback callback) {
  this->EvictEnded();
  const auto found = this->ended.find(command.transaction);
  const bool commit = command.request.step == TransactionStep::kCommit;
  if (found == this->ended.end()) {
    callback(commit ? ExecuteAnswer::Unknown(Reason::kNoTransaction,
                                             "the end of the transaction is not known here")
                    : NoTransaction());
    return;
  }
  const Ended& transaction = found->second;
  if (!commit || transaction.begin.caller_group != command.caller_group) {
    callback(NoTransaction());
  } else if (transaction.answer.outcome == Outcome::kUnknown &&
             !command.request.request_id.empty()) {
    const ExecuteAnswer stored = transaction.answer;
    this->LookUpCommit(MakeStepCommand(transaction.begin, command), stored, std::move(callback));
  } else {
    callback(transaction.answer);
  }
}

// Repeats the commit on a connection without a transaction: the backend server answers from the
// request record, or refuses. A refusal leaves the outcome unknown, because the first commit may
// still arrive.
void TransactionTable::LookUpCommit(const ExecuteCommand& command, const ExecuteAnswer& stored,
                                    ExecuteCallback callback) {
  const TimePoint deadline = this->clock.Now() + command.remaining;
  const std::weak_ptr<BackendRequestRunner> guard = this->runner;
  const auto unknown = [stored, callback](const ExecuteAnswer&) { callback(stored); };
  this->runner->AcquireLease(
      command, deadline,
      [guard, command, deadline, unknown, callback](const BackendLease& lease) {
        const auto on_reply = [guard, command, lease, deadline, unknown,
                               callback](const std::optional<BackendReply>& reply) {
          const std::shared_ptr<BackendRequestRunner> self = guard.lock();
          if (self && reply && reply->duplicate) {
            self->Finish(command, lease, *reply, deadline, callback);
          } else if (self) {
            self->Release(lease, ConnectionState::kBroken);
            unknown(ExecuteAnswer{});
          }
        };
        if (const std::shared_ptr<BackendRequestRunner> self = guard.lock()) {
          self->Send(lease, command.request, deadline, on_reply);
        }
      },
      unknown);
}

void TransactionTable::MemberGone(const std::string& entry) {
  for (auto begin = this->pending_begins.begin(); begin != this->pending_begins.end();) {
    begin = begin->second == entry ? this->pending_begins.erase(begin) : std::next(begin);
  }
  std::vector<std::string> aborted;
  for (const auto& [id, transaction] : this->transactions) {
    if (transaction.entry == entry && transaction.stage != Stage::kCommitting) {
      aborted.push_back(id);
    }
  }
  for (const std::string& id : aborted) {
    this->OnConnectionLost(id, TransactionStep::kContinue);
  }
}

bool TransactionTable::Empty() const {
  return this->transactions.empty() && this->pending_begins.empty() && this->rollbacks == 0;
}

void TransactionTable::CheckLimits(const std::string& id) {
  const auto found = this->transactions.find(id);
  if (found == this->transactions.end()) {
    return;
  }
  const Transaction& transaction = found->second;
  const TimePoint now = this->clock.Now();
  const bool idle = transaction.stage == Stage::kIdle;
  const TimePoint idle_end = (idle ? transaction.last_used : now) + kIdleLimit;
  const TimePoint end = std::min(idle_end, transaction.begun_at + kTotalLimit);
  if (now < end) {
    this->ScheduleCheck(id, end - now);
  } else if (idle) {
    this->RollBackIdle(id);
  } else {
    this->ScheduleCheck(id, kIdleLimit);  // The deadline of the request in progress ends it.
  }
}

void TransactionTable::RollBackIdle(const std::string& id) {
  const BackendLease lease = this->transactions.at(id).lease;
  ++this->rollbacks;
  this->EndTransaction(id, NoTransaction());
  BackendRequest request;
  request.step = TransactionStep::kRollback;
  const std::weak_ptr<bool> guard = this->alive;
  this->runner->Send(lease, request, this->clock.Now() + kRollbackTimeout,
                     [this, guard, lease](const std::optional<BackendReply>& reply) {
                       if (guard.expired()) {
                         return;
                       }
                       --this->rollbacks;
                       const bool clean = reply && reply->error == BackendError::kNone;
                       this->runner->Release(
                           lease, clean ? ConnectionState::kClean : ConnectionState::kBroken);
                     });
}

// Removes a transaction, stores its outcome and calls back. The lease must have been released or
// passed to a rollback.
void TransactionTable::EndTransaction(const std::string& id, const ExecuteAnswer& answer) {
  auto node = this->transactions.extract(id);
  const Transaction& transaction = node.mapped();
  ExecuteAnswer answer_with_server = answer;
  answer_with_server.backend_server = transaction.begin.backend_server;
  this->RecordEnd(id, transaction.begin,
                  transaction.stage == Stage::kCommitting ? answer_with_server : NoTransaction());
  for (const ExecuteCallback& callback : transaction.callbacks) {
    callback(answer_with_server);
  }
}

void TransactionTable::RecordEnd(const std::string& id, const ExecuteCommand& begin,
                                 ExecuteAnswer answer) {
  if (ResultBytes(answer) > kMaxEndedResultBytes) {
    answer = ExecuteAnswer::Unknown(Reason::kNoTransaction, "the results are no longer held here");
  }
  this->ended.emplace(id, Ended{begin, std::move(answer)});
  this->ended_order.emplace_back(this->clock.Now(), id);
  this->EvictEnded();
}

void TransactionTable::EvictEnded() {
  const TimePoint oldest = this->clock.Now() - kEndRetention;
  while (!this->ended_order.empty() &&
         (this->ended_order.front().first <= oldest || this->ended_order.size() > kMaxEnded)) {
    this->ended.erase(this->ended_order.front().second);
    this->ended_order.pop_front();
  }
}

void TransactionTable::ScheduleCheck(const std::string& id, Duration delay) {
  const std::weak_ptr<bool> guard = this->alive;
  this->scheduler.RunAfter(delay, [this, guard, id] {
    if (!guard.expired()) {
      this->CheckLimits(id);
    }
  });
}

std::string TransactionTable::NewId() {
  // 128 random bits, so that a caller cannot guess the transaction id of another caller.
  const std::uint64_t high = this->random();
  const std::uint64_t low = this->random();
  return absl::StrCat(this->member, ".", absl::Hex(high, absl::kZeroPad16),
                      absl::Hex(low, absl::kZeroPad16));
}

}  // namespace sycamoredrum
