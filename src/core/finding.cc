#include "sycamoredrum/finding.h"

#include <absl/strings/str_join.h>

namespace sycamoredrum {

void Findings::Add(std::string place, std::string reason) {
  this->items.push_back(Finding{std::move(place), std::move(reason)});
}

std::string Findings::ToString() const {
  return absl::StrJoin(this->items, "\n", [](std::string* out, const Finding& finding) {
    out->append(finding.place).append(": ").append(finding.reason);
  });
}

}  // namespace sycamoredrum
