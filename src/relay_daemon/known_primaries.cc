#include "known_primaries.h"

namespace sycamoredrum {

std::uint64_t KnownPrimaries::VersionFor(std::uint64_t present_epoch) const {
  return this->epoch == present_epoch ? this->version : 0;
}

const std::map<std::string, PrimaryRecord>& KnownPrimaries::Update(const HeartbeatAnswer& answer) {
  if (answer.primaries) {
    // Answers may arrive out of order. The versions of one leader only grow.
    if (answer.epoch != this->epoch || answer.primaries_version >= this->version) {
      this->epoch = answer.epoch;
      this->version = answer.primaries_version;
      this->primaries = *answer.primaries;
    }
  }
  static const std::map<std::string, PrimaryRecord> none;
  const bool current = answer.epoch == this->epoch && answer.primaries_version == this->version;
  return current ? this->primaries : none;
}

std::uint64_t PrimaryVersions::VersionOf(const std::map<std::string, PrimaryRecord>& primaries) {
  if (this->version == 0 || !(primaries == this->last)) {
    ++this->version;
    this->last = primaries;
  }
  return this->version;
}

}  // namespace sycamoredrum
