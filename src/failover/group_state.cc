#include "group_state.h"

#include <algorithm>
#include <optional>

namespace sycamoredrum {
namespace {

void FindPrimary(const ServerObservations& servers, GroupState& group) {
  for (const auto& [id, server] : servers) {
    if (!server.Status()) {
      continue;
    }
    const BackendServerStatus& status = *server.Status();
    group.highest_promise = std::max({group.highest_promise, status.promised_term, status.term});
    if (status.term > group.term) {
      group.term = status.term;
      group.primary.clear();
      group.promised_by.clear();
    }
    if (status.term != group.term || group.term == 0) {
      continue;
    }
    if (status.promised_term == group.term && !status.promised_by.empty()) {
      group.promised_by = status.promised_by;
    }
    if (status.role == Role::kPrimary) {
      group.primary = id;
    } else if (group.primary.empty()) {
      group.primary = status.follows;
    }
  }
}

std::size_t CountReachable(const ServerObservations& servers, TimePoint now) {
  return std::count_if(servers.begin(), servers.end(),
                       [now](const auto& entry) { return entry.second.Reachable(now); });
}

std::size_t CountPromisesAbove(const ServerObservations& servers, std::uint64_t term) {
  return std::count_if(servers.begin(), servers.end(), [term](const auto& entry) {
    const auto& status = entry.second.Status();
    return status && status->promised_term > term;
  });
}

PrimaryCondition ConditionOf(const ServerObservations& servers, const GroupState& group) {
  const auto found = servers.find(group.primary);
  if (found == servers.end()) {
    return PrimaryCondition::kUnknown;
  }
  if (CountPromisesAbove(servers, group.term) > servers.size() / 2) {
    return PrimaryCondition::kNotActing;
  }
  const ServerObservation& primary = found->second;
  if (primary.Suspected()) {
    return PrimaryCondition::kSuspected;
  }
  if (!primary.Status()) {
    return PrimaryCondition::kActing;  // Known only from its replicas; it has not answered yet.
  }
  const BackendServerStatus& status = *primary.Status();
  const bool acts = status.role == Role::kPrimary && status.term == group.term &&
                    status.promised_term == group.term;
  return acts ? PrimaryCondition::kActing : PrimaryCondition::kNotActing;
}

bool HasPromiseAhead(const ServerObservations& servers, const GroupState& group, TimePoint now) {
  return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
    const ServerObservation& server = entry.second;
    return server.Reachable(now) && server.Status()->promised_term > group.term;
  });
}

bool Follows(const BackendServerStatus& status, const GroupState& group) {
  return status.role == Role::kReplica && status.term == group.term &&
         status.promised_term == group.term && status.follows == group.primary;
}

}  // namespace

GroupState AssessGroup(const ServerObservations& servers, TimePoint now) {
  GroupState group;
  FindPrimary(servers, group);
  group.majority_reachable = CountReachable(servers, now) > servers.size() / 2;
  group.condition = ConditionOf(servers, group);
  group.promise_ahead = HasPromiseAhead(servers, group, now);
  return group;
}

ReplicaContact AssessReplicaContact(const ServerObservations& servers, const GroupState& group,
                                    Duration suspicion_time, TimePoint now) {
  ReplicaContact contact;
  for (const auto& [id, server] : servers) {
    if (!server.Reachable(now) || !Follows(*server.Status(), group)) {
      continue;
    }
    const std::optional<TimePoint> last_contact = server.LastPrimaryContactAt();
    if (!last_contact || now - *last_contact < suspicion_time) {
      contact.any_recent = true;
    } else {
      ++contact.without_recent;
    }
  }
  return contact;
}

bool HasHandOverTarget(const ServerObservations& servers, const GroupState& group,
                       const std::vector<std::string>& leaving, Duration max_lag, TimePoint now) {
  return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
    const ServerObservation& server = entry.second;
    const bool stays = std::find(leaving.begin(), leaving.end(), entry.first) == leaving.end();
    return stays && server.Reachable(now) && Follows(*server.Status(), group) &&
           server.CaughtUpTo() && now - *server.CaughtUpTo() <= max_lag;
  });
}

std::vector<std::string> ServersToRedirect(const ServerObservations& servers,
                                           const GroupState& group, TimePoint now) {
  std::vector<std::string> redirected;
  if (group.condition != PrimaryCondition::kActing) {
    return redirected;
  }
  const ServerObservation& primary = servers.at(group.primary);
  if (!primary.Reachable(now)) {
    return redirected;
  }
  for (const auto& [id, server] : servers) {
    if (id == group.primary || !server.Reachable(now)) {
      continue;
    }
    const BackendServerStatus& status = *server.Status();
    if (status.promised_term <= group.term && !Follows(status, group)) {
      redirected.push_back(id);
    }
  }
  return redirected;
}

}  // namespace sycamoredrum
