#include "log_history.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoredrum {
namespace {

// A server that has missed more promotions than this is not recognised by its term.
constexpr std::size_t kMaxTerms = 16;

}  // namespace

bool HasRolledBackEntries(const TermHistory& history, const LogPosition& end) {
  if (history.Starts().empty() || end.index == 0) {
    return false;
  }
  const TermStart& first = history.Starts().front();
  if (end.index < first.first_index) {
    // All entries of the first term or a later one follow in the primary's log.
    return end.term > first.term;
  }
  return end.term <= history.Starts().back().term && history.TermAt(end.index) != end.term;
}

std::uint64_t SharedEntries(const TermHistory& history, const LogPosition& end) {
  if (HasRolledBackEntries(history, end)) {
    for (const TermStart& start : history.Starts()) {
      if (start.term > end.term) {
        return std::min(end.index, start.first_index - 1);
      }
    }
  }
  return end.index;
}

TermHistory AfterPromotion(const TermHistory& history, std::uint64_t term, const LogPosition& end) {
  if (end.term >= term) {
    return history;
  }
  // Where the log of a server with rolled back entries left the earlier history is not known.
  TermHistory kept =
      HasRolledBackEntries(history, end) ? TermHistory() : history.TruncatedTo(end.index);
  if (kept.Starts().empty() && end.index > 0) {
    // No term between this one and the new one is in the log.
    kept = kept.WithTerm(end.term, end.index);
  }
  std::vector<TermStart> starts = kept.WithTerm(term, end.index + 1).Starts();
  if (starts.size() > kMaxTerms) {
    starts.erase(starts.begin(), starts.end() - kMaxTerms);
  }
  return TermHistory(std::move(starts));
}

}  // namespace sycamoredrum
