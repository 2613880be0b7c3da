#include "answer_matcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <string>

namespace sycamoredrum {
namespace {

bool NeedsReceipt(StatementKind kind) {
  switch (kind) {
    case StatementKind::kRead:
    case StatementKind::kWrite:
    case StatementKind::kExecute:
    case StatementKind::kCommit:
      return true;
    default:
      return false;
  }
}

bool Begins(StatementKind kind) {
  return kind == StatementKind::kBegin || kind == StatementKind::kBeginReadOnly;
}

}  // namespace

bool IsAcknowledged(StatementKind kind) {
  return !NeedsReceipt(kind) && kind != StatementKind::kPosition;
}

const char* ToString(AnswerMatch match) {
  switch (match) {
    case AnswerMatch::kOwn:
      return "own";
    case AnswerMatch::kRepeated:
      return "repeated";
    case AnswerMatch::kAmbiguous:
      return "ambiguous";
    case AnswerMatch::kUnexpected:
      return "unexpected";
  }
  return "unexpected";
}

AnswerMatch AnswerMatcher::Match(const StatementResult& result, const SentStatement* oldest) {
  if (result.error) {
    return this->MatchError(result.error->code, oldest);
  }
  if (!result.receipt.empty()) {
    return this->MatchReceipt(result.receipt, oldest);
  }
  return result.rows.empty() ? this->MatchAcknowledgement(result, oldest)
                             : this->MatchStatus(result, oldest);
}

AnswerMatch AnswerMatcher::MatchError(StatementErrorCode code, const SentStatement* oldest) {
  const bool seen = this->errors.test(static_cast<std::size_t>(code));
  if (oldest == nullptr) {
    return seen ? AnswerMatch::kRepeated : AnswerMatch::kUnexpected;
  }
  this->errors.set(static_cast<std::size_t>(code));
  return seen || this->uncertain_acknowledgement ? AnswerMatch::kAmbiguous : AnswerMatch::kOwn;
}

AnswerMatch AnswerMatcher::MatchReceipt(const std::string& receipt, const SentStatement* oldest) {
  const bool expected = oldest != nullptr && NeedsReceipt(oldest->kind);
  if (this->IsRemembered(receipt)) {
    // A caller may use an id twice, and a receipt may depend on nothing else.
    const bool same_id = expected && this->IsRemembered(absl::StrCat(receipt, " ", oldest->id));
    return same_id ? AnswerMatch::kAmbiguous : AnswerMatch::kRepeated;
  }
  if (!expected) {
    return AnswerMatch::kUnexpected;
  }
  this->Remember(receipt);
  this->Remember(absl::StrCat(receipt, " ", oldest->id));
  this->uncertain_acknowledgement = false;
  return AnswerMatch::kOwn;
}

AnswerMatch AnswerMatcher::MatchStatus(const StatementResult& result, const SentStatement* oldest) {
  const bool expected = oldest != nullptr && oldest->kind == StatementKind::kPosition;
  // The same status may be reported twice, or one report may be repeated.
  const std::string position = result.position ? result.position->ToString() : "";
  const std::string status = absl::StrCat("status ", position, " ", result.rows.front());
  if (this->IsRemembered(status)) {
    return expected ? AnswerMatch::kAmbiguous : AnswerMatch::kRepeated;
  }
  this->Remember(status);
  return expected ? AnswerMatch::kOwn : AnswerMatch::kUnexpected;
}

AnswerMatch AnswerMatcher::MatchAcknowledgement(const StatementResult& result,
                                                const SentStatement* oldest) {
  const AnswerMatch if_not_own =
      this->acknowledged ? AnswerMatch::kRepeated : AnswerMatch::kUnexpected;
  if (oldest == nullptr || !IsAcknowledged(oldest->kind)) {
    return if_not_own;
  }
  const bool in_transaction = result.state == TransactionState::kOpen;
  if (Begins(oldest->kind)) {
    if (!in_transaction) {
      return if_not_own;
    }
    // A statement after a transaction that has not begun would run on its own. The log of a server
    // that has begun one contains the required position.
    const bool behind = oldest->required && result.position && *result.position < *oldest->required;
    if (behind && this->acknowledged_transaction) {
      return AnswerMatch::kRepeated;
    }
  }
  this->uncertain_acknowledgement = this->uncertain_acknowledgement || this->acknowledged;
  this->acknowledged = true;
  this->acknowledged_transaction = this->acknowledged_transaction || in_transaction;
  return AnswerMatch::kOwn;
}

bool AnswerMatcher::IsRemembered(const std::string& text) const {
  const std::size_t hash = std::hash<std::string>()(text);
  return std::find(this->remembered.begin(), this->remembered.end(), hash) !=
         this->remembered.end();
}

void AnswerMatcher::Remember(const std::string& text) {
  const std::size_t hash = std::hash<std::string>()(text);
  // Two hashes for each receipt.
  if (this->remembered.size() < 2 * kRememberedReceipts) {
    this->remembered.push_back(hash);
    return;
  }
  this->remembered[this->oldest_remembered] = hash;
  this->oldest_remembered = (this->oldest_remembered + 1) % this->remembered.size();
}

}  // namespace sycamoredrum
