#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/finding.h"
#include "sycamoredrum/platform.h"
#include "sycamoredrum/ticket.h"

namespace sycamoredrum {

enum class WriteStatus {
  kAccepted,     ///< The platform holds this ticket under its number.
  kConflict,     ///< Another ticket has the number; this one was not and will not be accepted.
  kGap,          ///< The preceding number is not accepted yet; nothing was written.
  kInvalid,      ///< The ticket failed validation; nothing was written.
  kUnavailable,  ///< The platform cannot be reached; nothing was written.
  kUnknown,      ///< The ticket may have been accepted, now or later. Writing it again is safe.
};

/// Name of a status: "accepted", "conflict", "gap", "invalid", "unavailable" or "unknown".
std::string_view ToString(WriteStatus status);

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  std::optional<Ticket> winner;  ///< kConflict: the ticket that was accepted with this number.
  std::vector<std::string> winner_diff;  ///< kConflict: its changes, as lines of DiffTicket.
  std::uint64_t last_accepted = 0;  ///< Highest accepted ticket number that the writer has read.
  Findings findings;                ///< kInvalid: all problems found.
  std::string message;              ///< One line for the operator.
};

/// Submits tickets by creating their keys in the platform's key-value service with expected
/// revision 0, so that at most one ticket is accepted for each number. Adds the accepted tickets
/// that it reads to `log`. Must outlive the calls that it makes. Not thread-safe.
class TicketWriter {
 public:
  using Callback = std::function<void(WriteResult)>;

  /// Maximum number of tickets in the answer to one list call.
  static constexpr int kPageSize = 64;
  /// Failed attempts to determine whether a ticket was stored after which the result is kUnknown.
  static constexpr int kMaxAttempts = 5;
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);

  TicketWriter(PlatformClient platform, ConfigurationLog& log, Scheduler& scheduler);

  /// Writes `ticket` and calls `done` exactly once, not from inside the call. Several writes may be
  /// in progress at the same time.
  void Write(const Ticket& ticket, Callback done);

 private:
  struct Operation {
    Ticket ticket;
    std::string json;
    Callback done;
    int attempts = 0;
    bool may_have_written = false;  ///< True once the answer to a put was lost.
  };
  using OperationPtr = std::shared_ptr<Operation>;

  void ReadTickets(const OperationPtr& operation);
  void HandleTickets(const OperationPtr& operation, const std::vector<KeyValue>& page);
  void ValidateAndPut(const OperationPtr& operation);
  void Put(const OperationPtr& operation);
  void HandlePut(const OperationPtr& operation, PlatformStatus status);
  void ReadBack(const OperationPtr& operation);
  void HandleReadBack(const OperationPtr& operation, PlatformStatus status,
                      const std::optional<KeyValue>& found);
  void RetryLater(const OperationPtr& operation, std::function<void()> step);

  void FinishWithStored(const OperationPtr& operation, const std::string& stored);
  void FinishWithGap(const OperationPtr& operation);
  void FinishUnavailable(const OperationPtr& operation);
  void FinishInvalid(const OperationPtr& operation, Findings findings);
  void Finish(const OperationPtr& operation, WriteResult result);

  PlatformClient platform;
  ConfigurationLog& log;
  Scheduler& scheduler;
};

}  // namespace sycamoredrum
