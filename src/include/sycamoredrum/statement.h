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
  kSet,            ///< Sets a session variable.
  kPrepare,        ///< Prepares a statement under a name of the session.
  kExecute,        ///< Runs a prepared statement.
  kClosePrepared,  ///< Deallocates a prepared statement.
  kReset,          ///< Clears variables and prepared statements. Only sent by the relay itself.
  kPosition,       ///< Queries the log position. Only sent by the relay itself.
  kInvalid,        ///< The text could not be parsed.
};

/// One statement of a session. Each kind uses only some of the fields.
struct Statement {
  std::string id;  ///< Chosen by the caller and forwarded unchanged.
  StatementKind kind = StatementKind::kInvalid;
  std::string
      name;  ///< kSet: the variable. kPrepare, kExecute, kClosePrepared: the prepared statement.
  std::string item;           ///< kRead, kWrite, kExecute: what is read or written.
  std::string data;           ///< kSet, kWrite, kExecute: the new value; may be empty.
  std::string prepared_text;  ///< kPrepare: text of the prepared statement.
  bool writes = false;        ///< kPrepare: the prepared statement writes.
  /// The statement as the caller sent it. Forwarded unchanged, except that the name of a prepared
  /// statement is replaced by its name on the backend connection.
  std::string text;
};

inline bool operator==(const Statement& a, const Statement& b) {
  return std::tie(a.id, a.kind, a.name, a.item, a.data, a.prepared_text, a.writes, a.text) ==
         std::tie(b.id, b.kind, b.name, b.item, b.data, b.prepared_text, b.writes, b.text);
}

/// kFailed: the transaction was rolled back, and the caller must still end it.
enum class TransactionState { kNone, kOpen, kFailed };

enum class StatementErrorCode {
  kBusy,                ///< Not run: no capacity at present; a retry may succeed.
  kBehind,              ///< Not run: the server's log lacks the required position.
  kReadOnly,            ///< Not run: the server is not the primary.
  kMisdirected,         ///< Not run: the server at this address has another id.
  kTooManyConnections,  ///< Not run: the server's connection cap is reached.
  kAborted,             ///< The transaction was rolled back; nothing of it remains.
  kUnknownStatement,    ///< Not run: no prepared statement has that name.
  kUnknownDatabase,     ///< Not run: no route has that name.
  kUnauthenticated,     ///< Not run: the caller's key belongs to no organisation.
  kMalformed,           ///< Not run: it cannot be parsed or is not allowed in this state.
  kTooLarge,            ///< Not run: the message exceeds the limit.
  kFailed,              ///< Ran and failed.
  kTimeout,             ///< Exceeded its time limit; the outcome is unknown.
  kUnknownOutcome,      ///< A write or commit that may or may not have run.
  kOther,               ///< A code that this version does not know; the outcome is unknown.
};

/// Name of the code in logs and metrics.
std::string_view ToString(StatementErrorCode code);

/// True if an answer of a backend server with this code guarantees that the statement did not run.
bool GuaranteesNotRun(StatementErrorCode code);

struct StatementError {
  StatementErrorCode code = StatementErrorCode::kOther;
  std::string message;
};

/// Answer to one statement.
struct StatementResult {
  std::vector<std::string> rows;
  std::string receipt;  ///< Issued by the server that ran the statement; forwarded unchanged.
  std::optional<StatementError> error;
  TransactionState state = TransactionState::kNone;  ///< After the statement.
  std::optional<LogPosition> position;  ///< Log position of the server after the statement.
};

/// A command of the relay to a backend server: a statement and, for reads and transaction starts,
/// the log position that the server's log must contain.
struct BackendCommand {
  Statement statement;
  std::optional<LogPosition> required;
};

}  // namespace sycamoredrum
