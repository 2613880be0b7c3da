#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// What a request does to the transaction of its connection.
enum class TransactionStep {
  kSingle,    ///< The statements of this request are a whole transaction.
  kBegin,     ///< Opens a transaction.
  kContinue,  ///< Runs statements in the open transaction.
  kCommit,    ///< Commits the open transaction.
  kRollback,  ///< Rolls the open transaction back.
};

/// Name of a step in the JSON form: "single", "begin", "continue", "commit" or "rollback".
std::string_view ToString(TransactionStep step);
/// Inverse of ToString. Returns nothing for any other text.
std::optional<TransactionStep> ParseTransactionStep(std::string_view text);

/// Body of `POST /v1/execute` on the statement port of a backend server.
struct BackendRequest {
  std::string request_id;   ///< Key of the request record. If empty, no record is stored.
  std::string fingerprint;  ///< Hash of the statements; stored in the request record.
  bool write = false;       ///< If false, the statements must not change data.
  std::uint64_t term = 0;   ///< For writes: the term in which the server must be primary.
  std::vector<std::string> statements;
  LogPosition require;  ///< Position that the server's log must contain to run the request.
  Duration wait{};      ///< Longest time that the server waits for `require`.
  TransactionStep step = TransactionStep::kSingle;
};

/// Why a backend server refused a request. Every refusal means that neither the request nor the
/// transaction it belonged to has any effect.
enum class BackendError {
  kNone,
  kFenced,           ///< A higher term is promised, or the request's term is not the current one.
  kNotPrimary,       ///< A write was sent to a replica.
  kBehind,           ///< `require` was not reached within `wait`.
  kNotInHistory,     ///< `require` is not part of the server's history.
  kRequestIdReused,  ///< The request id is recorded with another fingerprint.
  kStatement,        ///< A statement is invalid or conflicts with another transaction.
  kInTransaction,    ///< The connection already has an open transaction.
  kNoTransaction,    ///< The connection has no open transaction.
  kBadRequest,       ///< The request is malformed.
};

/// Name of an error in the JSON form, for example "not_primary".
std::string_view ToString(BackendError error);
/// Inverse of ToString. Returns nothing for any other text.
std::optional<BackendError> ParseBackendError(std::string_view text);

/// Answer to a BackendRequest.
struct BackendReply {
  BackendError error = BackendError::kNone;
  std::string message;
  std::vector<std::string> results;  ///< One for each statement.
  LogPosition position;              ///< Writes: position of the commit. Reads: last position.
  bool duplicate = false;            ///< The request ran earlier; `results` come from its record.
};

bool operator==(const BackendRequest& a, const BackendRequest& b);
bool operator==(const BackendReply& a, const BackendReply& b);

/// Converts to and from JSON, as described in docs/backend-interface.md. The parsers return nothing
/// if a required field is missing or has the wrong type, and ignore unknown fields.
std::string ToJson(const BackendRequest& request);
std::string ToJson(const BackendReply& reply);
std::optional<BackendRequest> ParseBackendRequest(const std::string& json);
std::optional<BackendReply> ParseBackendReply(const std::string& json);

}  // namespace sycamoredrum
