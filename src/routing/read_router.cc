#include "sycamoredrum/read_router.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr int kRemainingTimeDivisor = 3;

// Assumed rate at which a replica catches up. A slower replica answers `behind` after the wait,
// which costs only time.
constexpr std::uint64_t kAppliedEntriesPerMillisecond = 10;

constexpr std::array<std::pair<PrimaryReason, std::string_view>, 5> kReasonNames = {{
    {PrimaryReason::kNone, "none"},
    {PrimaryReason::kNoReplica, "no_replica"},
    {PrimaryReason::kReplicasUnreachable, "replicas_unreachable"},
    {PrimaryReason::kReplicasFailed, "replicas_failed"},
    {PrimaryReason::kReplicasBehind, "replicas_behind"},
}};

}  // namespace

std::string_view ToString(PrimaryReason reason) {
  for (const auto& entry : kReasonNames) {
    if (entry.first == reason) {
      return entry.second;
    }
  }
  return "none";
}

bool operator==(const ReadChoice& a, const ReadChoice& b) {
  return std::tie(a.backend_server, a.wait) == std::tie(b.backend_server, b.wait);
}

ReadRouter::ReadRouter(const Clock& clock, RandomSource random)
    : clock(clock), random(std::move(random)) {}

bool ReadRouter::ExpectedToCatchUp(const DatabaseView& view, const BackendServerView& server,
                                   const LogPosition& require, Duration wait) const {
  const BackendServerStatus& status = *server.status;
  const bool follows_primary = !view.primary.empty() && status.follows == view.primary &&
                               status.term == view.term && status.promised_term == view.term;
  const bool stream_alive = status.primary_silence && *status.primary_silence <= wait;
  // Entries of a lower term at the end of the log will be truncated; how many is not known.
  const bool must_truncate =
      status.LastPosition().term < require.term && status.last_index >= require.index;
  if (!follows_primary || !stream_alive || must_truncate) {
    return false;
  }
  const Duration since_observed = this->clock.Now() - server.observed_at;
  const auto time = std::chrono::duration_cast<Milliseconds>(since_observed + wait);
  const std::uint64_t reachable_index =
      status.last_index + kAppliedEntriesPerMillisecond * static_cast<std::uint64_t>(time.count());
  return require.index <= reachable_index;
}

ReadRouter::Class ReadRouter::Classify(const DatabaseView& view, const BackendServerView& server,
                                       const FailureMemory& failures, const RouteRequest& request,
                                       Duration wait) const {
  const bool is_primary = server.id == view.primary;
  if (!server.status) {
    return Class::kUnsuitable;
  }
  if (server.status->history.Excludes(request.require, server.status->last_index)) {
    return is_primary ? Class::kPrimary : Class::kUnsuitable;
  }
  if (!server.reachable || failures.RecentlyFailed(server.id)) {
    return Class::kLastResort;
  }
  if (is_primary) {
    return Class::kPrimary;
  }
  if (server.status->Contains(request.require)) {
    return Class::kHolds;
  }
  const bool expected = this->ExpectedToCatchUp(view, server, request.require, wait);
  return expected ? Class::kExpected : Class::kLastResort;
}

PrimaryReason ReadRouter::ReasonForPrimary(const ReplicaCounts& counts) {
  if (counts.replicas == 0) {
    return PrimaryReason::kNoReplica;
  }
  if (counts.unreachable == counts.replicas) {
    return PrimaryReason::kReplicasUnreachable;
  }
  if (counts.unreachable + counts.failed == counts.replicas) {
    return PrimaryReason::kReplicasFailed;
  }
  return PrimaryReason::kReplicasBehind;
}

ReadRouter::ReplicaCounts ReadRouter::CountReplicas(const DatabaseView& view,
                                                    const DatabaseConfig& config,
                                                    const FailureMemory& failures) {
  ReplicaCounts counts;
  for (const BackendServerConfig& server_config : config.backend_servers) {
    const BackendServerView* server = view.Find(server_config.id);
    if (server == nullptr || server_config.leaving || server_config.id == view.primary) {
      continue;
    }
    ++counts.replicas;
    if (!server->reachable) {
      ++counts.unreachable;
    } else if (failures.RecentlyFailed(server_config.id)) {
      ++counts.failed;
    }
  }
  return counts;
}

std::vector<ReadRouter::Candidate> ReadRouter::FindCandidates(const DatabaseView& view,
                                                              const DatabaseConfig& config,
                                                              const FailureMemory& failures,
                                                              const RouteRequest& request,
                                                              Duration wait) const {
  std::vector<Candidate> candidates;
  for (const BackendServerConfig& server_config : config.backend_servers) {
    const BackendServerView* server = view.Find(server_config.id);
    const bool is_primary = server_config.id == view.primary;
    if (server == nullptr || (server_config.leaving && !is_primary)) {
      continue;
    }
    Candidate candidate;
    candidate.id = server_config.id;
    candidate.rank = this->Classify(view, *server, failures, request, wait);
    candidate.remote = server_config.data_centre != request.local_data_centre;
    candidate.tie_break = this->random();
    if (candidate.rank != Class::kUnsuitable) {
      candidates.push_back(std::move(candidate));
    }
  }
  return candidates;
}

ReadRoute ReadRouter::Route(const DatabaseView& view, const DatabaseConfig& config,
                            const FailureMemory& failures, const RouteRequest& request) const {
  ReadRoute route;
  if (request.remaining <= Duration::zero()) {
    return route;
  }
  const Duration wait =
      std::min<Duration>(request.remaining / kRemainingTimeDivisor, Duration(kMaxWait));
  std::vector<Candidate> candidates = this->FindCandidates(view, config, failures, request, wait);
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.rank, a.remote, a.tie_break) < std::tie(b.rank, b.remote, b.tie_break);
  });
  for (const Candidate& candidate : candidates) {
    route.choices.push_back(ReadChoice{candidate.id, wait});
  }
  if (!candidates.empty() && candidates.front().id == view.primary) {
    route.primary_reason = ReasonForPrimary(CountReplicas(view, config, failures));
  }
  return route;
}

}  // namespace sycamoredrum
