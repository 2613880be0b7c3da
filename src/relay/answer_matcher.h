#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/statement.h"

namespace sycamoredrum {

/// How an answer of a backend server relates to the statements on its connection.
enum class AnswerMatch {
  kOwn,         ///< Answers the oldest statement without an answer.
  kRepeated,    ///< Repeats an earlier answer.
  kAmbiguous,   ///< May be an own answer or a repetition.
  kUnexpected,  ///< Neither, so the server violates the protocol.
};

/// Name of the match in metrics.
const char* ToString(AnswerMatch match);

/// What the answer to a statement depends on.
struct SentStatement {
  StatementKind kind = StatementKind::kInvalid;
  std::optional<LogPosition> required;  ///< See BackendCommand.
  std::string id;
  bool has_effect = false;  ///< A write or a commit.
};

/// True if the answer to a successful statement of this kind is a mere acknowledgement: it has
/// neither a receipt nor rows.
bool IsAcknowledged(StatementKind kind);

/// Decides to which statement of one connection an answer belongs. Answers carry no id, and a
/// server may send an answer again at any later time, so their order proves nothing.
///
/// A receipt belongs to one execution, so an answer with a receipt is told from a repetition by it.
/// An answer without one is accepted only if the statement is answered in that form. A repeated
/// acknowledgement can be accepted for a later one; the surplus one is then discarded when the next
/// statement needs a receipt. An error is certain only if no earlier answer had its code and no
/// such acknowledgement can have displaced it. Not thread-safe.
class AnswerMatcher {
 public:
  /// Receipts that are remembered for each connection. A repetition that comes after as many other
  /// receipts is not recognized.
  static constexpr std::size_t kRememberedReceipts = 256;

  /// Takes the next answer. `oldest` is the oldest statement without an answer, or null.
  AnswerMatch Match(const StatementResult& result, const SentStatement* oldest);

  /// True if an answer was an error. Another error of the same code is ambiguous.
  bool HasSeenError() const { return this->errors.any(); }

 private:
  AnswerMatch MatchError(StatementErrorCode code, const SentStatement* oldest);
  AnswerMatch MatchReceipt(const std::string& receipt, const SentStatement* oldest);
  bool IsRemembered(const std::string& text) const;
  AnswerMatch MatchStatus(const StatementResult& result, const SentStatement* oldest);
  AnswerMatch MatchAcknowledgement(const StatementResult& result, const SentStatement* oldest);
  void Remember(const std::string& text);

  /// Hashes of receipts and statuses; a ring once it has its full size.
  std::vector<std::size_t> remembered;
  std::size_t oldest_remembered = 0;  ///< Index in `remembered`.
  std::bitset<static_cast<std::size_t>(StatementErrorCode::kOther) + 1> errors;
  bool acknowledged = false;              ///< An answer was an acknowledgement.
  bool acknowledged_transaction = false;  ///< One was given in an open transaction.
  /// An acknowledgement since the last receipt may have been a repetition.
  bool uncertain_acknowledgement = false;
};

}  // namespace sycamoredrum
