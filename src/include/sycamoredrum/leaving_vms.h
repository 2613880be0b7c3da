#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// The set of leaving VMs, derived from the platform's VM lists. A list may lag, be empty or have
/// an older revision than an earlier one. A VM listed as leaving stays in the set until a list with
/// a higher revision shows it as not leaving. A VM that is missing from a list keeps its state. Not
/// thread-safe.
class LeavingVmTracker {
 public:
  /// Updates the set from `list`. Returns true if the set changed.
  bool Offer(const VmList& list);

  const std::set<std::string>& Leaving() const { return this->leaving; }

  /// Highest revision seen.
  std::uint64_t Revision() const { return this->revision; }

 private:
  std::set<std::string> leaving;
  std::map<std::string, std::uint64_t> state_revisions;  ///< Revision of each VM's state, by VM id.
  std::uint64_t revision = 0;
};

}  // namespace sycamoredrum
