#include "sycamoredrum/duties.h"

#include <algorithm>
#include <set>

#include "sycamoredrum/rendezvous.h"

namespace sycamoredrum {
namespace {

constexpr std::size_t kRemoteWatchersPerDatabase = 2;

}  // namespace

DutyCandidates::DutyCandidates(const std::vector<Member>& members) {
  const bool any_live = std::any_of(members.begin(), members.end(),
                                    [](const Member& member) { return member.IsLive(); });
  for (const Member& member : members) {
    const bool candidate = any_live ? member.IsLive() : member.state == MemberState::kLeaving;
    if (candidate) {
      this->by_data_centre[member.data_centre].push_back(member.id);
      this->all.push_back(member.id);
    }
  }
}

const std::vector<std::string>& DutyCandidates::InDataCentre(const std::string& data_centre) const {
  static const std::vector<std::string> none;
  const auto found = this->by_data_centre.find(data_centre);
  return found == this->by_data_centre.end() ? none : found->second;
}

std::vector<std::string> HoldersOf(const BackendServerConfig& server,
                                   const DutyCandidates& candidates) {
  const std::vector<std::string>& local_candidates = candidates.InDataCentre(server.data_centre);
  return TopByRendezvous("holder/" + server.id,
                         local_candidates.empty() ? candidates.Everywhere() : local_candidates,
                         kHoldersPerBackendServer);
}

std::vector<std::string> WatchersOf(const DatabaseConfig& database,
                                    const DutyCandidates& candidates) {
  const std::string key = "watcher/" + database.name;
  std::set<std::string> data_centres;
  for (const BackendServerConfig& server : database.backend_servers) {
    data_centres.insert(server.data_centre);
  }
  std::vector<std::string> watchers;
  for (const std::string& data_centre : data_centres) {
    for (std::string& highest_ranked :
         TopByRendezvous(key, candidates.InDataCentre(data_centre), 1)) {
      watchers.push_back(std::move(highest_ranked));
    }
  }
  if (watchers.empty()) {
    return TopByRendezvous(key, candidates.Everywhere(), kRemoteWatchersPerDatabase);
  }
  return RankByRendezvous(key, watchers);
}

std::vector<std::string> PlatformWatchersOf(const std::string& data_centre,
                                            const DutyCandidates& candidates) {
  return TopByRendezvous("platform/" + data_centre, candidates.InDataCentre(data_centre),
                         kPlatformWatchersPerDataCentre);
}

}  // namespace sycamoredrum
