#pragma once

#include <cstdint>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// True if a log that ends at `end` has entries that are not in the primary's log, whose terms are
/// `history`: it ends in an earlier term, beyond the place where the primary's log left that term.
/// False if that is not known, because the history begins later.
bool HasRolledBackEntries(const TermHistory& history, const LogPosition& end);

/// Number of leading entries that a log that ends at `end` shares at most with the primary's log.
std::uint64_t SharedEntries(const TermHistory& history, const LogPosition& end);

/// The history after a server whose log ends at `end` has begun to lead in `term`. Keeps the latest
/// terms only. If the server already has entries of the term, its start is not known, and the
/// history stays as it is.
TermHistory AfterPromotion(const TermHistory& history, std::uint64_t term, const LogPosition& end);

}  // namespace sycamoredrum
