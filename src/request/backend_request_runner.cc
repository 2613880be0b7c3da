#include "backend_request_runner.h"

#include <algorithm>
#include <utility>

#include "write_confirmation.h"

namespace sycamoredrum {
namespace {

ExecuteAnswer LeaseRefusal(const LeaseAnswer& answer) {
  switch (answer.status) {
    case LeaseStatus::kQueueFull:
      return ExecuteAnswer::NotRun(Reason::kQueueFull, "the backend server's queue is full",
                                   answer.retry_after);
    case LeaseStatus::kDeadline:
      return ExecuteAnswer::NotRun(
          Reason::kDeadline, "no connection becomes free before the deadline", answer.retry_after);
    case LeaseStatus::kConnectionRefused:
      return ExecuteAnswer::NotRun(Reason::kConnectionRefused,
                                   "the backend server's connection cap is reached",
                                   answer.retry_after);
    case LeaseStatus::kLeaving:
      return ExecuteAnswer::NotRun(Reason::kConnectionRefused, "the backend server is leaving");
    case LeaseStatus::kUnreachable:
    case LeaseStatus::kGranted:
      break;
  }
  return ExecuteAnswer::NotRun(Reason::kConnectionRefused, "the backend server is unreachable",
                               answer.retry_after);
}

Reason ReasonFor(BackendError error) {
  switch (error) {
    case BackendError::kFenced:
      return Reason::kFenced;
    case BackendError::kNotPrimary:
      return Reason::kNoPrimary;
    case BackendError::kBehind:
      return Reason::kBehind;
    case BackendError::kNotInHistory:
      return Reason::kSessionPositionLost;
    case BackendError::kRequestIdReused:
      return Reason::kRequestIdReused;
    case BackendError::kStatement:
      return Reason::kStatement;
    case BackendError::kNoTransaction:
      return Reason::kNoTransaction;
    case BackendError::kBadRequest:
      return Reason::kBadRequest;
    case BackendError::kInTransaction:
    case BackendError::kNone:
      break;
  }
  return Reason::kConnectionLost;
}

bool HasServer(const DatabaseConfig& database, const std::string& id) {
  return std::any_of(database.backend_servers.begin(), database.backend_servers.end(),
                     [&id](const BackendServerConfig& server) { return server.id == id; });
}

}  // namespace

ExecuteAnswer RefusalAnswer(const BackendReply& reply) {
  ExecuteAnswer answer = ExecuteAnswer::NotRun(ReasonFor(reply.error), reply.message);
  if (reply.error == BackendError::kStatement) {
    answer.outcome = Outcome::kFailed;
  }
  return answer;
}

ConnectionState StateAfter(const BackendRequest& request, const BackendReply& reply) {
  const bool contradiction = reply.error == BackendError::kInTransaction ||
                             reply.error == BackendError::kNoTransaction ||
                             reply.error == BackendError::kBadRequest;
  const bool stays_open =
      reply.error == BackendError::kNone &&
      (request.step == TransactionStep::kBegin || request.step == TransactionStep::kContinue);
  return contradiction || stays_open ? ConnectionState::kBroken : ConnectionState::kClean;
}

BackendRequestRunner::BackendRequestRunner(HolderHooks hooks, const Clock& clock,
                                           Scheduler& scheduler)
    : hooks(std::move(hooks)), clock(clock), scheduler(scheduler) {}

void BackendRequestRunner::AcquireLease(const ExecuteCommand& command, TimePoint deadline,
                                        LeaseGranted granted, ExecuteCallback refused) {
  const std::shared_ptr<const DatabaseConfig> database = this->hooks.database(command.database);
  if (database == nullptr) {
    refused(ExecuteAnswer::NotRun(Reason::kUnknownDatabase,
                                  "database \"" + command.database + "\" does not exist"));
    return;
  }
  ConnectionPool* pool = this->hooks.pool(command.backend_server);
  if (!HasServer(*database, command.backend_server) || pool == nullptr) {
    refused(ExecuteAnswer::NotRun(
        Reason::kConnectionRefused,
        "no connections to backend server \"" + command.backend_server + "\" are held here"));
    return;
  }
  const int weight = this->hooks.group_weight(command.caller_group);
  const std::weak_ptr<BackendRequestRunner> guard = this->weak_from_this();
  std::function<void(const LeaseAnswer&)> on_wait_end;
  if (this->hooks.on_wait_start) {
    on_wait_end = this->hooks.on_wait_start(command);
  }
  pool->Acquire(
      LeaseRequest{command.caller_group, weight, deadline},
      [guard, server = command.backend_server, deadline, on_wait_end = std::move(on_wait_end),
       granted = std::move(granted), refused = std::move(refused)](const LeaseAnswer& answer) {
        if (on_wait_end) {
          on_wait_end(answer);
        }
        const std::shared_ptr<BackendRequestRunner> self = guard.lock();
        if (!self) {
          return;
        }
        if (answer.status != LeaseStatus::kGranted) {
          refused(LeaseRefusal(answer));
        } else if (self->clock.Now() >= deadline) {
          self->Release(BackendLease{server, answer.lease}, ConnectionState::kClean);
          refused(ExecuteAnswer::NotRun(Reason::kDeadline, "the deadline passed in the queue"));
        } else {
          granted(BackendLease{server, answer.lease});
        }
      });
}

void BackendRequestRunner::Release(const BackendLease& lease, ConnectionState state) {
  if (ConnectionPool* pool = this->hooks.pool(lease.backend_server)) {
    pool->Release(lease.lease, state);
  }
}

void BackendRequestRunner::Send(const BackendLease& lease, BackendRequest request,
                                TimePoint deadline, BackendCallback callback) {
  const Duration timeout = deadline - this->clock.Now();
  request.wait = std::clamp(request.wait, Duration::zero(), std::max(timeout, Duration::zero()));
  auto pending = std::make_shared<BackendCallback>(std::move(callback));
  const std::size_t results = request.statements.size();
  const BackendCallback finish = [pending, results](const std::optional<BackendReply>& reply) {
    const BackendCallback report = std::exchange(*pending, nullptr);
    const bool truncated =
        reply && reply->error == BackendError::kNone && reply->results.size() != results;
    if (report) {
      report(truncated ? std::nullopt : reply);
    }
  };
  this->scheduler.RunAfter(timeout, [finish] { finish(std::nullopt); });
  this->hooks.execute(lease.lease.connection, request, timeout, finish);
}

void BackendRequestRunner::Finish(const ExecuteCommand& command, const BackendLease& lease,
                                  const BackendReply& reply, TimePoint deadline,
                                  ExecuteCallback callback) {
  ExecuteAnswer answer;
  answer.outcome = Outcome::kResult;
  answer.results = reply.results;
  answer.position = reply.position;
  answer.duplicate = reply.duplicate;
  answer.backend_server = command.backend_server;
  if (!command.request.write) {
    this->Release(lease, ConnectionState::kClean);
    callback(answer);
    return;
  }
  if (reply.position.term == command.request.term) {
    this->Release(lease, ConnectionState::kClean);
    this->Confirm(command, reply.position, deadline, std::move(answer), std::move(callback));
    return;
  }
  const std::weak_ptr<BackendRequestRunner> guard = this->weak_from_this();
  this->ReadPositionInCurrentTerm(
      lease, command.request, reply.position, deadline,
      [guard, command, deadline, answer, callback](std::optional<LogPosition> position) {
        const std::shared_ptr<BackendRequestRunner> self = guard.lock();
        if (self && position) {
          self->Confirm(command, *position, deadline, answer, callback);
        } else if (self) {
          callback(ExecuteAnswer::Unknown(Reason::kUnconfirmed,
                                          "the primary's present term could not be read"));
        }
      });
}

// Reads the primary's last position, which is confirmed in place of `recorded`. A request record of
// an earlier term can be on a majority of the servers and still be lost in the next promotion,
// because a log with a higher last term is preferred. The record is safe once a majority contains a
// later entry of the current term.
void BackendRequestRunner::ReadPositionInCurrentTerm(
    const BackendLease& lease, const BackendRequest& request, const LogPosition& recorded,
    TimePoint deadline, std::function<void(std::optional<LogPosition>)> callback) {
  BackendRequest read;
  read.require = recorded;
  const std::weak_ptr<BackendRequestRunner> guard = this->weak_from_this();
  this->Send(lease, read, deadline,
             [guard, lease, read, term = request.term,
              callback = std::move(callback)](const std::optional<BackendReply>& reply) {
               const std::shared_ptr<BackendRequestRunner> self = guard.lock();
               if (!self) {
                 return;
               }
               self->Release(lease, reply ? StateAfter(read, *reply) : ConnectionState::kBroken);
               const bool current =
                   reply && reply->error == BackendError::kNone && reply->position.term == term;
               callback(current ? std::make_optional(reply->position) : std::nullopt);
             });
}

void BackendRequestRunner::Confirm(const ExecuteCommand& command, const LogPosition& position,
                                   TimePoint deadline, ExecuteAnswer answer,
                                   ExecuteCallback callback) {
  const std::shared_ptr<const DatabaseConfig> database = this->hooks.database(command.database);
  if (database == nullptr || !HasServer(*database, command.backend_server)) {
    callback(ExecuteAnswer::Unknown(Reason::kUnconfirmed,
                                    "the backend server is no longer part of the database"));
    return;
  }
  const WriteToConfirm write{*database, command.backend_server, command.request.term, position,
                             deadline};
  const std::weak_ptr<BackendRequestRunner> guard = this->weak_from_this();
  ConfirmWrite(
      this->hooks, this->clock, this->scheduler, write,
      [guard, answer = std::move(answer), callback = std::move(callback)](Confirmation result) {
        if (guard.expired()) {
          return;
        }
        if (result == Confirmation::kConfirmed) {
          callback(answer);
        } else if (result == Confirmation::kFenced) {
          callback(ExecuteAnswer::Unknown(
              Reason::kFenced, "the primary was replaced before enough copies confirmed"));
        } else {
          callback(ExecuteAnswer::Unknown(Reason::kUnconfirmed,
                                          "not enough copies confirmed the write"));
        }
      });
}

}  // namespace sycamoredrum
