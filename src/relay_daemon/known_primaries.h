#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet_messages.h"

namespace sycamoredrum {

/// The primaries that a member may use, as the leader last named them. They are sent only when they
/// change.
/// Load pattern: 300 members ask one leader on a small VM to renew the use of 20 primaries.
class KnownPrimaries {
 public:
  /// Version to be reported to the leader of `epoch`.
  std::uint64_t VersionFor(std::uint64_t epoch) const;

  /// The primaries that `answer` allows: those it names, or the known ones if it names none and has
  /// the same epoch and version. Empty if the answer refers to others.
  const std::map<std::string, PrimaryRecord>& Update(const HeartbeatAnswer& answer);

 private:
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::map<std::string, PrimaryRecord> primaries;
};

/// Numbers the sets of primaries that a leader names.
class PrimaryVersions {
 public:
  /// Version of `primaries`; a new one if they differ from those of the last call.
  std::uint64_t VersionOf(const std::map<std::string, PrimaryRecord>& primaries);

 private:
  std::uint64_t version = 0;
  std::map<std::string, PrimaryRecord> last;
};

}  // namespace sycamoredrum
