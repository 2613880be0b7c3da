#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Part that a request plays in a transaction on its connection.
enum class TransactionStep {
  kSingle,    ///< The statements of this request are a whole transaction.
  kBegin,     ///< Opens a transaction.
  kContinue,  ///< Runs statements in the open transaction.
  kCommit,    ///< Commits the open transaction.
  kRollback,  ///< Rolls the open transaction back.
};

std::string_view ToString(TransactionStep step);
std::optional<TransactionStep> ParseTransactionStep(std::string_view text);

/// Body of `POST /v1/execute` on the statement port of a backend server.
struct BackendRequest {
  std::string request_id;   ///< Key of the request record; empty: no record is kept.
  std::string fingerprint;  ///< Hash of the statements, stored in the request record.
  bool write = false;       ///< False: the statements must not change anything.
  std::uint64_t term = 0;   ///< Writes: term in which the server must act as primary.
  std::vector<std::string> statements;
  LogPosition require;  ///< Position that the server must contain when it runs the request.
  Duration wait{};      ///< How long the server may wait for `require`.
  TransactionStep step = TransactionStep::kSingle;
};

/// Why a backend server refused a request. Every refusal means that nothing of the request, or of
/// the transaction it belonged to, stands.
enum class BackendError {
  kNone,
  kFenced,           ///< A higher term was promised, or the expected term is not the current one.
  kNotPrimary,       ///< A write reached a replica.
  kBehind,           ///< `require` was not reached within `wait`.
  kNotInHistory,     ///< `require` is not part of the server's history.
  kRequestIdReused,  ///< The request id is recorded with another fingerprint.
  kStatement,        ///< A statement is invalid or conflicts with another transaction.
  kInTransaction,    ///< The connection already has an open transaction.
  kNoTransaction,    ///< The connection has no open transaction.
  kBadRequest,       ///< The message could not be read.
};

std::string_view ToString(BackendError error);
std::optional<BackendError> ParseBackendError(std::string_view text);

/// Answer to a BackendRequest.
struct BackendReply {
  BackendError error = BackendError::kNone;
  std::string message;
  std::vector<std::string> results;  ///< One for each statement.
  LogPosition position;              ///< Writes: position of the commit. Reads: last position.
  bool duplicate = false;            ///< True: `results` come from the request record.
};

bool operator==(const BackendRequest& a, const BackendRequest& b);
bool operator==(const BackendReply& a, const BackendReply& b);

/// JSON forms, described in docs/backend-interface.md. The parsers return nothing if a required
/// field is missing or has the wrong type; unknown fields are ignored.
std::string ToJson(const BackendRequest& request);
std::string ToJson(const BackendReply& reply);
std::optional<BackendRequest> ParseBackendRequest(const std::string& json);
std::optional<BackendReply> ParseBackendReply(const std::string& json);

}  // namespace sycamoredrum
