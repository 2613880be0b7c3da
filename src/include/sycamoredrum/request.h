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
  kBadRequest,    ///< Malformed, or the transaction step was sent to the wrong service.
  kUnauthorized,  ///< The bearer token names no caller group.
  kForbidden,     ///< The caller group may not access the database.
  kUnknownDatabase,
  kTooLarge,
  kTooManyRequests,  ///< The caller group's limit of concurrent requests is reached.
  kQueueFull,
  kDeadline,
  kConnectionRefused,  ///< The backend server's connection cap is reached or it is unreachable.
  kConnectionLost,     ///< The connection broke while the request was in progress.
  kHolderUnreachable,
  kNoPrimary,
  kNoFreshnessProof,     ///< No proof shows that the data is as fresh as the caller group requires.
  kBehind,               ///< The backend server did not reach the required position in time.
  kSessionPositionLost,  ///< The current history does not contain the session's position.
  kFenced,               ///< The primary was replaced, or acts in another term than expected.
  kUnconfirmed,          ///< The write ran, but too few copies are known to contain it.
  kRequestIdReused,
  kStatement,      ///< The database rejected a statement.
  kNoTransaction,  ///< The interactive transaction is not open.
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
  Duration remaining{};  ///< Time limit of this attempt, within the caller's deadline.
  std::string trace_parent;
};

/// Answer of a holder to an entry proxy, and of the executor to the caller's adapter.
struct ExecuteAnswer {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  std::string message;
  std::vector<std::string> results;
  LogPosition position;    ///< Writes: commit position. Reads: position of the data, or {0, 0}.
  bool duplicate = false;  ///< The results come from the request record of an earlier run.
  std::string backend_server;
  std::string transaction;  ///< Id of the interactive transaction, if one is open.
  Duration retry_after{};   ///< kNotRun: suggested delay before a retry; zero: none.

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
