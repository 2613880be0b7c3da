#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/holder_service.h"

namespace sycamoredrum {

/// Answer for a refusal of a backend server. `reply.error` must not be kNone.
ExecuteAnswer RefusalAnswer(const BackendReply& reply);

/// State of the connection after `reply`. Refusals that contradict what the holder knows about the
/// connection leave it in an unknown state.
ConnectionState StateAfter(const BackendRequest& request, const BackendReply& reply);

/// Steps that single requests and interactive transactions share: lease, send, confirm. Always
/// owned by a shared_ptr; unfinished steps end silently when it is destroyed.
class BackendCaller : public std::enable_shared_from_this<BackendCaller> {
 public:
  /// Receives the lease. Not called if the request is refused.
  using LeaseGranted = std::function<void(const BackendLease&)>;

  BackendCaller(HolderHooks hooks, const Clock& clock, Scheduler& scheduler);

  /// Checks the command and waits for a connection. Refusals go to `refused` as kNotRun.
  void LeaseFor(const ExecuteCommand& command, TimePoint deadline, LeaseGranted granted,
                ExecuteCallback refused);

  void Release(const BackendLease& lease, ConnectionState state);

  /// Sends a request and calls back exactly once: with the complete reply, or with nothing if the
  /// connection broke, the deadline passed or results are missing.
  void Send(const BackendLease& lease, BackendRequest request, TimePoint deadline,
            BackendCallback callback);

  /// Ends a request whose statements ran: releases the lease, confirms a write, and answers.
  void Finish(const ExecuteCommand& command, const BackendLease& lease, const BackendReply& reply,
              TimePoint deadline, ExecuteCallback callback);

  const Clock& GetClock() const { return this->clock; }

  std::size_t in_progress = 0;  ///< Requests of the HolderService without an answer.

 private:
  void FindCurrentPosition(const BackendLease& lease, const BackendRequest& request,
                           const LogPosition& recorded, TimePoint deadline,
                           std::function<void(std::optional<LogPosition>)> callback);
  void Confirm(const ExecuteCommand& command, const LogPosition& position, TimePoint deadline,
               ExecuteAnswer answer, ExecuteCallback callback);

  HolderHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
};

}  // namespace sycamoredrum
