#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// Which VMs are leaving, learned from the platform's list, which lags, may be empty and may go
/// back to an older revision. A VM once seen as leaving stays so until a list with a higher
/// revision shows it as live. Absence from a list means nothing. Not thread-safe.
class LeavingVmTracker {
 public:
  /// Takes a list. Returns true if the set of leaving VMs changed.
  bool Offer(const VmList& list);

  const std::set<std::string>& Leaving() const { return this->leaving; }

  /// Highest revision seen.
  std::uint64_t Revision() const { return this->revision; }

 private:
  std::set<std::string> leaving;
  std::map<std::string, std::uint64_t> decided_at;  ///< Revision that decided a VM's state.
  std::uint64_t revision = 0;
};

}  // namespace sycamoredrum
