#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet_messages.h"

namespace sycamoredrum {

/// The primaries that a member may use, as last received from the leader. The leader sends only
/// changes, because 300 members may renew their grants of 20 primaries at one leader
/// on a small VM.
class KnownPrimaries {
 public:
  /// Version to report to the leader of `epoch`; 0 if the primaries are from another leader.
  std::uint64_t VersionFor(std::uint64_t epoch) const;

  /// Applies the changes in `answer`. Returns the primaries that it allows, which are the known
  /// ones if they are now those of its epoch and version. Empty if the answer refers to a version
  /// that is not known.
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

  /// Sets in `answer` what a member needs that knows the version `base`: the last primaries, or
  /// their changes since `base`. A base of 0 stands for a member that knows none.
  void Describe(std::uint64_t base, HeartbeatAnswer& answer) const;

 private:
  std::uint64_t version = 0;
  std::map<std::string, PrimaryRecord> last;
  /// Version in which each database last changed, also of databases that are not in `last`.
  std::map<std::string, std::uint64_t> changed_in;
};

}  // namespace sycamoredrum
