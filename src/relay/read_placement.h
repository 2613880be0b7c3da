#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// What is known of one backend server when a read is placed.
struct PlacementCandidate {
  std::string server;
  Duration response_time{};     ///< Moving average, network included.
  Duration connect_time{};      ///< Added if a connection must be opened first; zero otherwise.
  std::size_t outstanding = 0;  ///< Statements of this process that run or wait there.
  double failure_share = 0;     ///< Moving share of the statements that failed there.
  bool primary = false;
  bool usable = true;  ///< False: leaving, behind, silent, or tried before for this read.
};

/// Share by which a primary looks slower than it is. Writes have no other place to go, so reads
/// leave it alone unless the replicas are clearly slower.
inline constexpr double kPrimaryPenalty = 1.3;
/// Statements of this process at one server that are expected to run at the same time.
inline constexpr double kExpectedParallelism = 2.0;

/// How much slower a server looks if all its statements fail. A tenth of failures makes it three
/// times slower, so that it gets only the few reads that show when it has recovered.
/// Load pattern: a server answers health checks and fails part of its statements, fast.
inline constexpr double kFailurePenalty = 20.0;
/// Index of the candidate with the shortest expected time to an answer, or nothing if none is
/// usable. `jitter` in [0, 1) shifts the estimates by up to a tenth, so that processes with the
/// same knowledge do not all choose the same server.
std::optional<std::size_t> PlaceRead(const std::vector<PlacementCandidate>& candidates,
                                     const std::vector<double>& jitter);

}  // namespace sycamoredrum
