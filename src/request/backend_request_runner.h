#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/holder_service.h"

namespace sycamoredrum {

/// Converts a refusal by a backend server to an answer. `reply.error` must not be kNone.
ExecuteAnswer RefusalAnswer(const BackendReply& reply);

/// State of the connection after `reply`. It is kBroken if the request leaves a transaction open,
/// or if the error contradicts the state that the holder has recorded, so that the real one is
/// unknown.
ConnectionState StateAfter(const BackendRequest& request, const BackendReply& reply);

/// Operations that single requests and interactive transactions share: lease a connection, send a
/// request, confirm a write. Must be owned by a shared_ptr. Requests that are unfinished when it is
/// destroyed get no answer.
class BackendRequestRunner : public std::enable_shared_from_this<BackendRequestRunner> {
 public:
  /// Receives the lease. Not called if the request is refused.
  using LeaseGranted = std::function<void(const BackendLease&)>;

  BackendRequestRunner(HolderHooks hooks, const Clock& clock, Scheduler& scheduler);

  /// Checks the command's database and backend server and waits for a connection. Passes a refusal
  /// to `refused`, as kNotRun.
  void AcquireLease(const ExecuteCommand& command, TimePoint deadline, LeaseGranted granted,
                    ExecuteCallback refused);

  void Release(const BackendLease& lease, ConnectionState state);

  /// Sends a request and calls back exactly once: with the complete reply, or with nothing if the
  /// connection broke, the deadline passed or results are missing.
  void Send(const BackendLease& lease, BackendRequest request, TimePoint deadline,
            BackendCallback callback);

  /// Completes a request whose statements ran: releases the lease, confirms a write, and calls
  /// back.
  void Finish(const ExecuteCommand& command, const BackendLease& lease, const BackendReply& reply,
              TimePoint deadline, ExecuteCallback callback);

  const Clock& GetClock() const { return this->clock; }

  std::size_t in_progress = 0;  ///< Unanswered requests of the HolderService.

 private:
  void ReadPositionInCurrentTerm(const BackendLease& lease, const BackendRequest& request,
                                 const LogPosition& recorded, TimePoint deadline,
                                 std::function<void(std::optional<LogPosition>)> callback);
  void Confirm(const ExecuteCommand& command, const LogPosition& position, TimePoint deadline,
               ExecuteAnswer answer, ExecuteCallback callback);

  HolderHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
};

}  // namespace sycamoredrum
