#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "server_observation.h"

namespace sycamoredrum {

using ServerObservations = std::map<std::string, ServerObservation>;

enum class PrimaryCondition {
  kUnknown,    ///< Too little was heard to tell, or no server is known as primary.
  kActing,     ///< Answers and acts in the group's term.
  kSuspected,  ///< Known, but fails probes.
  kNotActing,  ///< Answers but was fenced or lost its role, or a majority promised higher terms.
};

/// Conclusions from the observations of all backend servers of one database.
struct GroupState {
  std::uint64_t term = 0;  ///< Highest term in which a server acts as primary or replica.
  std::string primary;     ///< Primary of `term`, also if known only from its followers; or empty.
  PrimaryCondition condition = PrimaryCondition::kUnknown;
  std::uint64_t highest_promise = 0;
  std::string promised_by;  ///< Proposer of `term`, if a server still states it.
  bool majority_reachable = false;
  bool promise_ahead = false;  ///< A reachable server has promised more than the acting primary.
};

GroupState AssessGroup(const ServerObservations& servers, TimePoint now);

/// What the replicas that follow the primary say about it.
struct ReplicaContact {
  bool any_recent = false;  ///< Some reachable replica heard it within the suspicion time.
  int silent = 0;           ///< Reachable replicas that did not hear it for that time.
};

/// Replicas that have promised a higher term than the primary's no longer replicate from it, so
/// their silence says nothing.
ReplicaContact AssessReplicaContact(const ServerObservations& servers, const GroupState& group,
                                    Duration suspicion_time, TimePoint now);

/// True if a reachable replica that is not in `leaving` held everything that the primary had logged
/// `max_lag` ago.
bool HasHandOverTarget(const ServerObservations& servers, const GroupState& group,
                       const std::vector<std::string>& leaving, Duration max_lag, TimePoint now);

/// Reachable servers that must be told to follow the acting primary.
std::vector<std::string> ServersToRedirect(const ServerObservations& servers,
                                           const GroupState& group, TimePoint now);

}  // namespace sycamoredrum
