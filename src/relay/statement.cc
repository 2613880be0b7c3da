#include "sycamoredrum/statement.h"

namespace sycamoredrum {

std::string_view ToString(StatementErrorCode code) {
  switch (code) {
    case StatementErrorCode::kBusy:
      return "busy";
    case StatementErrorCode::kBehind:
      return "behind";
    case StatementErrorCode::kReadOnly:
      return "read_only";
    case StatementErrorCode::kMisdirected:
      return "misdirected";
    case StatementErrorCode::kTooManyConnections:
      return "too_many_connections";
    case StatementErrorCode::kAborted:
      return "aborted";
    case StatementErrorCode::kUnknownStatement:
      return "unknown_statement";
    case StatementErrorCode::kUnknownDatabase:
      return "unknown_database";
    case StatementErrorCode::kUnauthenticated:
      return "unauthenticated";
    case StatementErrorCode::kMalformed:
      return "malformed";
    case StatementErrorCode::kTooLarge:
      return "too_large";
    case StatementErrorCode::kFailed:
      return "failed";
    case StatementErrorCode::kTimeout:
      return "timeout";
    case StatementErrorCode::kUnknownOutcome:
      return "unknown_outcome";
    case StatementErrorCode::kOther:
      return "other";
  }
  return "other";
}

bool GuaranteesNotRun(StatementErrorCode code) {
  switch (code) {
    case StatementErrorCode::kBusy:
    case StatementErrorCode::kBehind:
    case StatementErrorCode::kReadOnly:
    case StatementErrorCode::kMisdirected:
    case StatementErrorCode::kTooManyConnections:
    case StatementErrorCode::kUnknownStatement:
      return true;
    default:
      return false;
  }
}

}  // namespace sycamoredrum
