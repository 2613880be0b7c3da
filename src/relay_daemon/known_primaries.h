#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet_messages.h"

namespace sycamoredrum {

/// The primaries that a member may use, as last received from the leader. The leader sends them
/// only when they change, because 300 members may renew their grants of 20 primaries at one leader
/// on a small VM.
class KnownPrimaries {
 public:
  /// Version to report to the leader of `epoch`; 0 if the primaries are from another leader.
  std::uint64_t VersionFor(std::uint64_t epoch) const;

  /// Returns the primaries that `answer` allows: those it contains or, without any, the known ones
  /// of the same epoch and version. Empty if the answer refers to a version that is not known.
  const std::map<std::string, PrimaryRecord>& Update(const HeartbeatAnswer& answer);

 private:
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::map<std::string, PrimaryRecord> primaries;
};

/// Assigns version numbers to the sets of primaries that a leader sends.
class PrimaryVersions {
 public:
  /// Returns the version of `primaries`; a new one if they differ from those of the last call.
  std::uint64_t VersionOf(const std::map<std::string, PrimaryRecord>& primaries);

 private:
  std::uint64_t version = 0;
  std::map<std::string, PrimaryRecord> last;
};

}  // namespace sycamoredrum
