#include "sycamoredrum/admission.h"

namespace sycamoredrum {

AdmissionVerdict Admission::TryEnter(const std::string& caller_group, int max_concurrent,
                                     AdmissionKind kind) {
  if (this->stopping && kind == AdmissionKind::kNewWork) {
    return AdmissionVerdict::kStopping;
  }
  if (this->InProgress(caller_group) >= max_concurrent) {
    return AdmissionVerdict::kGroupLimit;
  }
  if (this->total >= this->max_total) {
    return AdmissionVerdict::kTotalLimit;
  }
  ++this->by_group[caller_group];
  ++this->total;
  return AdmissionVerdict::kAdmitted;
}

void Admission::Leave(const std::string& caller_group) {
  const auto found = this->by_group.find(caller_group);
  if (found == this->by_group.end()) {
    return;
  }
  --this->total;
  if (--found->second == 0) {
    this->by_group.erase(found);
  }
}

int Admission::InProgress(const std::string& caller_group) const {
  const auto found = this->by_group.find(caller_group);
  return found == this->by_group.end() ? 0 : found->second;
}

}  // namespace sycamoredrum
