#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration.h"
#include "sycamoredrum/holder_service.h"

namespace sycamoredrum {

/// A write that ran on a primary and is not acknowledged yet.
struct WriteToConfirm {
  DatabaseConfig database;
  std::string primary;     ///< Backend server that ran the write in `term`; counts as one copy.
  std::uint64_t term = 0;  ///< Term in which the primary answered.
  LogPosition position;    ///< Position in `term`, at or after the write.
  TimePoint deadline;
};

enum class Confirmation {
  kConfirmed,
  kFenced,       ///< Too many backend servers have promised a higher term.
  kUnconfirmed,  ///< The deadline passed, or the database has too few backend servers.
};

/// Applies the acknowledgement rule: `acknowledge_copies` backend servers contain the position, and
/// a majority reported, after the write ran, a promised term not above `term`. Repeats the wait on
/// a backend server if it fails. Calls back exactly once, at the deadline at the latest.
void ConfirmWrite(const HolderHooks& hooks, const Clock& clock, Scheduler& scheduler,
                  const WriteToConfirm& write, std::function<void(Confirmation)> callback);

}  // namespace sycamoredrum
