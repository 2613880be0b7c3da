#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "sycamoredrum/configuration.h"
#include "sycamoredrum/membership.h"

namespace sycamoredrum {

/// Highest number of members that are assigned the same duty.
inline constexpr std::size_t kHoldersPerBackendServer = 2;
inline constexpr std::size_t kPlatformWatchersPerDataCentre = 2;

/// The members to which duties may be assigned, by data centre. Built once for each change of the
/// membership and used for many assignments. Immutable.
class DutyCandidates {
 public:
  /// Selects the live members. Leaving members are selected only if no member is live, so that the
  /// last proxy of a fleet can finish its requests when it stops.
  explicit DutyCandidates(const std::vector<Member>& members);

  /// Ids of the candidates; empty if the data centre has none.
  const std::vector<std::string>& InDataCentre(const std::string& data_centre) const;
  const std::vector<std::string>& Everywhere() const { return this->all; }

 private:
  std::map<std::string, std::vector<std::string>> by_data_centre;
  std::vector<std::string> all;
};

/// The members that hold connections to `server`, highest rank first. They are in its data centre
/// or, if that has no candidate, in any.
std::vector<std::string> HoldersOf(const BackendServerConfig& server,
                                   const DutyCandidates& candidates);

/// The members that watch `database`, in the order in which they attempt a promotion: one in each
/// data centre that has one of its backend servers or, if none of these has a candidate, two in any
/// data centre.
std::vector<std::string> WatchersOf(const DatabaseConfig& database,
                                    const DutyCandidates& candidates);

/// The members of `data_centre` that keep a watch open on the platform.
std::vector<std::string> PlatformWatchersOf(const std::string& data_centre,
                                            const DutyCandidates& candidates);

}  // namespace sycamoredrum
