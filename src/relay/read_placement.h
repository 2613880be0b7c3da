#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// State of one backend server when a server is chosen for a read.
struct PlacementCandidate {
  std::string server;
  Duration response_time{};     ///< Moving average, including the network.
  Duration connect_time{};      ///< Time to open a connection; zero if one is idle.
  std::size_t outstanding = 0;  ///< Statements of this process that run or wait at the server.
  double failure_rate = 0;      ///< Moving average, 0 to 1, of the statements that failed there.
  bool primary = false;
  bool usable = true;  ///< False if draining, backed off, unresponsive, or tried for this read.
};

/// Factor on the expected time of the primary. Writes can only run there, so reads use it only if
/// the replicas are clearly slower.
inline constexpr double kPrimaryPenalty = 1.3;
/// Number of this process's statements that one server is assumed to run at the same time.
inline constexpr double kExpectedParallelism = 2.0;

/// Increase of the expected time, as a multiple of it, at a server whose statements all fail. A
/// failure rate of a tenth triples the expected time, so the server gets only the few reads that
/// show when it has recovered. Without it, a server that answers health checks but fails a part of
/// its statements quickly would look fast and attract reads.
inline constexpr double kFailurePenalty = 20.0;

/// Returns the index of the usable candidate with the shortest expected time to an answer, or
/// nothing if none is usable. `jitter` has a value in [0, 1) for each candidate and increases its
/// expected time by up to a tenth, so that processes with the same measurements do not all choose
/// the same server.
std::optional<std::size_t> PlaceRead(const std::vector<PlacementCandidate>& candidates,
                                     const std::vector<double>& jitter);

}  // namespace sycamoredrum
