#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/backend.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Why a request did not end with a result.
enum class Reason {
  kNone,
  kBadRequest,    ///< The request could not be read.
  kUnauthorized,  ///< The bearer token names no caller group.
  kForbidden,     ///< The caller group may not reach the database.
  kUnknownDatabase,
  kTooLarge,
  kTooManyRequests,  ///< The caller group's limit of concurrent requests is reached.
  kQueueFull,
  kDeadline,
  kConnectionRefused,  ///< The backend server's connection cap is reached or it is unreachable.
  kConnectionLost,     ///< The connection broke while the request was in progress.
  kHolderUnreachable,
  kNoPrimary,
  kNoFreshnessProof,  ///< The accepted age cannot be shown.
  kBehind,
  kSessionPositionLost,  ///< The session's last write is not in the present history.
  kFenced,               ///< The primary was replaced.
  kUnconfirmed,          ///< The write ran but not enough copies are known to hold it.
  kRequestIdReused,
  kStatement,  ///< The database rejected a statement.
  kNoTransaction,
  kStopping,
};

/// Name used in messages, for example "queue_full".
std::string_view ToString(Reason reason);
std::optional<Reason> ParseReason(std::string_view text);

/// Message from an entry proxy to the holder of a backend server's connections.
struct ExecuteCommand {
  std::string database;
  std::string backend_server;
  std::string caller_group;
  std::string transaction;  ///< Id of the interactive transaction; empty for kSingle and kBegin.
  BackendRequest request;
  Duration remaining{};  ///< Time left until the caller's deadline when the command was sent.
  std::string trace_parent;
};

/// Answer of a holder to an entry proxy, and of the executor to the caller's adapter.
struct ExecuteAnswer {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::string message;
  std::vector<std::string> results;
  LogPosition position;    ///< Writes: position of the commit. Reads: position served, or {0, 0}.
  bool duplicate = false;  ///< The results come from the request record of an earlier run.
  std::string backend_server;
  std::string transaction;  ///< Id of the interactive transaction, if one is open.
  Duration retry_after{};   ///< Hint for kNotRun; zero: none.

  static ExecuteAnswer NotRun(Reason reason, std::string message, Duration retry_after = {});
  static ExecuteAnswer Unknown(Reason reason, std::string message);
};

bool operator==(const ExecuteCommand& a, const ExecuteCommand& b);
bool operator==(const ExecuteAnswer& a, const ExecuteAnswer& b);

using ExecuteCallback = std::function<void(const ExecuteAnswer&)>;

/// JSON forms; the peer link sends them as CBOR. The parsers return nothing if a required field is
/// missing or has the wrong type; unknown fields are ignored.
std::string ToJson(const ExecuteCommand& command);
std::string ToJson(const ExecuteAnswer& answer);
std::optional<ExecuteCommand> ParseExecuteCommand(const std::string& json);
std::optional<ExecuteAnswer> ParseExecuteAnswer(const std::string& json);

}  // namespace sycamoredrum
