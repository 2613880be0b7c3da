#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "server_observation.h"

namespace sycamoredrum {

using ServerObservations = std::map<std::string, ServerObservation>;

/// State of a database's primary, as far as one watcher can observe it.
enum class PrimaryCondition {
  kUnknown,    ///< No server of the group is known as primary.
  kActing,     ///< Acts in the group's term, or is followed but has not answered a probe yet.
  kSuspected,  ///< Known, but too many probes in a row have failed.
  kNotActing,  ///< Answers but was fenced or lost its role, or a majority promised higher terms.
};

/// Conclusions from the observations of all backend servers of one database.
struct GroupState {
  std::uint64_t term = 0;  ///< Highest term in which a server acts as primary or replica.
  std::string primary;     ///< Primary of `term`, possibly known only from its replicas; or empty.
  PrimaryCondition condition = PrimaryCondition::kUnknown;
  std::uint64_t highest_promise = 0;  ///< Highest term that any server has promised or acts in.
  std::string promised_by;            ///< Proposer of `term`, if a server still reports it.
  bool majority_reachable = false;
  bool promise_ahead = false;  ///< A reachable server has promised a term above `term`.
};

/// Derives the state of the group from the last status of each server.
GroupState AssessGroup(const ServerObservations& servers, TimePoint now);

/// Contact of the reachable replicas with the primary that they follow.
struct ReplicaContact {
  bool any_recent = false;  ///< Some replica had contact within the suspicion time.
  int without_recent = 0;   ///< Replicas that had no contact for at least that time.
};

/// Ignores replicas that have promised a higher term than the primary's: they no longer replicate
/// from it, so their lack of contact does not show that it failed. A replica that does not report
/// its last contact counts as having recent contact.
ReplicaContact AssessReplicaContact(const ServerObservations& servers, const GroupState& group,
                                    Duration suspicion_time, TimePoint now);

/// True if a reachable replica that is not in `leaving` contains everything that the primary had
/// logged `max_lag` ago.
bool HasHandOverTarget(const ServerObservations& servers, const GroupState& group,
                       const std::vector<std::string>& leaving, Duration max_lag, TimePoint now);

/// Reachable servers that need a `follow` call because they do not follow the acting primary. Empty
/// if the primary is not acting or not reachable.
std::vector<std::string> ServersToRedirect(const ServerObservations& servers,
                                           const GroupState& group, TimePoint now);

}  // namespace sycamoredrum
