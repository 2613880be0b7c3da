#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,       ///< Sets a session variable.
  kPrepare,   ///< Prepares a statement under a name of the session.
  kExecute,   ///< Runs a prepared statement.
  kForget,    ///< Removes a prepared statement.
  kReset,     ///< Clears variables and prepared statements; only sent by the relay itself.
  kPosition,  ///< Asks for the log position; only sent by the relay itself.
  kInvalid,
};

/// One statement of a session. Each kind uses some of the fields.
struct Statement {
  std::string id;  ///< Chosen by the caller; passed on unchanged.
  StatementKind kind = StatementKind::kInvalid;
  std::string name;   ///< kSet: the variable. kPrepare, kExecute, kForget: the prepared statement.
  std::string item;   ///< kRead, kWrite, kExecute: what is read or written.
  std::string data;   ///< kSet, kWrite, kExecute: the new value; may be empty.
  std::string shape;  ///< kPrepare: text of the prepared statement.
  bool writes = false;  ///< kPrepare: the prepared statement writes.
  /// The statement as the caller sent it. Passed on unchanged, but for the name of a prepared
  /// statement.
  std::string text;
};

inline bool operator==(const Statement& a, const Statement& b) {
  return std::tie(a.id, a.kind, a.name, a.item, a.data, a.shape, a.writes, a.text) ==
         std::tie(b.id, b.kind, b.name, b.item, b.data, b.shape, b.writes, b.text);
}

enum class TransactionState { kNone, kOpen, kFailed };

enum class StatementErrorCode {
  kBusy,                ///< Not run: no capacity at present.
  kBehind,              ///< Not run: the log lacks the required position.
  kReadOnly,            ///< Not run: the server is not the primary.
  kMisdirected,         ///< Not run: another server listens at the address.
  kTooManyConnections,  ///< Not run: the connection cap is reached.
  kAborted,             ///< The transaction was rolled back; nothing of it remains.
  kUnknownStatement,    ///< Not run: no prepared statement has that name.
  kUnknownDatabase,     ///< Not run: no route has that name.
  kMalformed,           ///< Not run: the statement cannot be read or does not fit the state.
  kTooLarge,            ///< Not run: the message exceeds the limit.
  kFailed,              ///< Ran and failed.
  kTimeout,             ///< Ran into its time limit; the outcome is unknown.
  kUnknownOutcome,      ///< May have run.
  kOther,               ///< A code that this version does not know; the outcome is unknown.
};

std::string_view ToString(StatementErrorCode code);

/// True if the code guarantees that the statement did not run.
bool GuaranteesNotRun(StatementErrorCode code);

struct StatementError {
  StatementErrorCode code = StatementErrorCode::kOther;
  std::string message;
};

/// Answer to one statement.
struct StatementResult {
  std::vector<std::string> rows;
  std::string receipt;  ///< Evidence of the server that ran the statement; passed on unchanged.
  std::optional<StatementError> error;
  TransactionState state = TransactionState::kNone;
  std::optional<LogPosition> position;  ///< Log position of the server after the statement.
};

/// What the relay sends to a backend server: a statement and, for reads and transaction starts, the
/// log position that the server must contain.
struct BackendCommand {
  Statement statement;
  std::optional<LogPosition> required;
};

}  // namespace sycamoredrum
