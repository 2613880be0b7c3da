#include "sycamoredrum/database_view.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace sycamoredrum {
namespace {

bool ActsAsPrimary(const BackendServerStatus& status) {
  return status.role == Role::kPrimary && status.promised_term == status.term;
}

bool Answered(const BackendServerView& server) { return server.reachable && server.status; }

std::uint64_t HighestTerm(const std::vector<BackendServerView>& servers) {
  std::uint64_t term = 0;
  for (const BackendServerView& server : servers) {
    if (Answered(server)) {
      term = std::max(term, server.status->term);
    }
  }
  return term;
}

const BackendServerView* FindPrimary(const std::vector<BackendServerView>& servers) {
  const std::uint64_t term = HighestTerm(servers);
  const auto found =
      std::find_if(servers.begin(), servers.end(), [&](const BackendServerView& server) {
        return Answered(server) && ActsAsPrimary(*server.status) && server.status->term == term;
      });
  return found == servers.end() ? nullptr : &*found;
}

// Number of servers that answered this round and have promised no term above `term`.
std::size_t CountUnfenced(const std::vector<BackendServerView>& servers, TimePoint round_started,
                          std::uint64_t term) {
  std::set<std::string_view> unfenced;
  for (const BackendServerView& server : servers) {
    const bool in_round = Answered(server) && server.observed_at >= round_started;
    if (in_round && server.status->promised_term <= term) {
      unfenced.insert(server.id);
    }
  }
  return unfenced.size();
}

}  // namespace

bool operator==(const FreshnessProof& a, const FreshnessProof& b) {
  return std::tie(a.position, a.proven_at) == std::tie(b.position, b.proven_at);
}

bool operator==(const BackendServerView& a, const BackendServerView& b) {
  return std::tie(a.id, a.reachable, a.status, a.observed_at) ==
         std::tie(b.id, b.reachable, b.status, b.observed_at);
}

bool operator==(const DatabaseView& a, const DatabaseView& b) {
  return std::tie(a.database, a.term, a.primary, a.backend_servers, a.proof) ==
         std::tie(b.database, b.term, b.primary, b.backend_servers, b.proof);
}

const BackendServerView* DatabaseView::Find(std::string_view id) const {
  const auto found = std::find_if(this->backend_servers.begin(), this->backend_servers.end(),
                                  [&](const BackendServerView& server) { return server.id == id; });
  return found == this->backend_servers.end() ? nullptr : &*found;
}

DatabaseView BuildDatabaseView(const std::string& database,
                               const std::vector<BackendServerView>& servers,
                               TimePoint round_started,
                               const std::optional<FreshnessProof>& previous) {
  DatabaseView view;
  view.database = database;
  view.backend_servers = servers;
  view.proof = previous;
  const BackendServerView* primary = FindPrimary(servers);
  if (primary == nullptr) {
    return view;
  }
  view.term = primary->status->term;
  view.primary = primary->id;
  const std::size_t majority = servers.size() / 2 + 1;
  const bool primary_in_round = primary->observed_at >= round_started;
  if (primary_in_round && CountUnfenced(servers, round_started, view.term) >= majority) {
    view.proof = FreshnessProof{primary->status->LastPosition(), round_started};
  }
  return view;
}

}  // namespace sycamoredrum
