#include "sycamoredrum/leaving_vms.h"

#include <algorithm>

namespace sycamoredrum {

bool LeavingVmTracker::Offer(const VmList& list) {
  const std::set<std::string> before = this->leaving;
  this->revision = std::max(this->revision, list.revision);
  for (const VmRecord& vm : list.vms) {
    const auto found = this->state_revisions.find(vm.id);
    if (found != this->state_revisions.end() && found->second >= list.revision) {
      continue;
    }
    this->state_revisions[vm.id] = list.revision;
    if (vm.leaving) {
      this->leaving.insert(vm.id);
    } else {
      this->leaving.erase(vm.id);
    }
  }
  return this->leaving != before;
}

}  // namespace sycamoredrum
