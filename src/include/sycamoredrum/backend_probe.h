#pragma once

#include <cstdint>

#include "sycamoredrum/status.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

enum class ProbeOutcome {
  kAnswered,
  kBusy,  ///< The server runs, but has no capacity to answer the status request.
  kNotListening,
  kNoAnswer,
};

/// Answer of a backend server to a status request.
struct BackendProbe {
  ProbeOutcome outcome = ProbeOutcome::kNoAnswer;
  Role role = Role::kReplica;
  std::uint64_t term = 0;
  LogPosition received;  ///< End of the server's log; its last entries may not be applied yet.
};

}  // namespace sycamoredrum
