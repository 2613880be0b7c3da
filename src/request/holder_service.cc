#include "sycamoredrum/holder_service.h"

#include <utility>

#include "backend_request_runner.h"

namespace sycamoredrum {
namespace {

// Runs a single request on its leased connection.
void RunSingle(const std::shared_ptr<BackendRequestRunner>& runner, const ExecuteCommand& command,
               const BackendLease& lease, TimePoint deadline, ExecuteCallback callback) {
  const std::weak_ptr<BackendRequestRunner> guard = runner;
  runner->Send(lease, command.request, deadline,
               [guard, command, lease, deadline,
                callback = std::move(callback)](const std::optional<BackendReply>& reply) {
                 const std::shared_ptr<BackendRequestRunner> self = guard.lock();
                 if (!self) {
                   return;
                 }
                 if (!reply) {
                   self->Release(lease, ConnectionState::kBroken);
                   callback(ExecuteAnswer::Unknown(
                       Reason::kConnectionLost,
                       "the connection broke or no answer came before the deadline"));
                 } else if (reply->error != BackendError::kNone) {
                   self->Release(lease, StateAfter(command.request, *reply));
                   callback(RefusalAnswer(*reply));
                 } else {
                   self->Finish(command, lease, *reply, deadline, callback);
                 }
               });
}

}  // namespace

HolderService::HolderService(HolderHooks hooks, const Clock& clock, Scheduler& scheduler)
    : runner(std::make_shared<BackendRequestRunner>(std::move(hooks), clock, scheduler)) {}

HolderService::~HolderService() = default;

void HolderService::Execute(const ExecuteCommand& command, ExecuteCallback callback) {
  const std::weak_ptr<BackendRequestRunner> guard = this->runner;
  ++this->runner->in_progress;
  const ExecuteCallback finish = [guard, server = command.backend_server,
                                  callback = std::move(callback)](const ExecuteAnswer& answer) {
    if (const std::shared_ptr<BackendRequestRunner> self = guard.lock()) {
      --self->in_progress;
    }
    ExecuteAnswer answer_with_server = answer;
    answer_with_server.backend_server = server;
    callback(answer_with_server);
  };
  if (command.request.step != TransactionStep::kSingle || !command.transaction.empty()) {
    finish(ExecuteAnswer::NotRun(Reason::kBadRequest, "the request is part of a transaction"));
    return;
  }
  const TimePoint deadline = this->runner->GetClock().Now() + command.remaining;
  this->runner->AcquireLease(
      command, deadline,
      [guard, command, deadline, finish](const BackendLease& lease) {
        if (const std::shared_ptr<BackendRequestRunner> self = guard.lock()) {
          RunSingle(self, command, lease, deadline, finish);
        }
      },
      finish);
}

std::size_t HolderService::InProgress() const { return this->runner->in_progress; }

}  // namespace sycamoredrum
