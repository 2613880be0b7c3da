#include "known_primaries.h"

namespace sycamoredrum {

std::uint64_t KnownPrimaries::VersionFor(std::uint64_t present_epoch) const {
  return this->epoch == present_epoch ? this->version : 0;
}

const std::map<std::string, PrimaryRecord>& KnownPrimaries::Update(const HeartbeatAnswer& answer) {
  // Answers may arrive out of order. The versions of one leader only grow.
  const bool newer = answer.epoch != this->epoch || answer.primaries_version >= this->version;
  if (answer.primaries && answer.primaries_base == 0 && newer) {
    this->epoch = answer.epoch;
    this->version = answer.primaries_version;
    this->primaries = *answer.primaries;
  } else if (answer.primaries && answer.primaries_base <= this->version && newer &&
             answer.epoch == this->epoch) {
    this->version = answer.primaries_version;
    for (const auto& [name, record] : *answer.primaries) {
      this->primaries[name] = record;
    }
    for (const std::string& name : answer.withdrawn) {
      this->primaries.erase(name);
    }
  }
  static const std::map<std::string, PrimaryRecord> none;
  const bool current = answer.epoch == this->epoch && answer.primaries_version == this->version;
  return current ? this->primaries : none;
}

std::uint64_t PrimaryVersions::VersionOf(const std::map<std::string, PrimaryRecord>& primaries) {
  if (this->version != 0 && primaries == this->last) {
    return this->version;
  }
  ++this->version;
  for (const auto& [name, record] : this->last) {
    if (primaries.count(name) == 0) {
      this->changed_in[name] = this->version;
    }
  }
  for (const auto& [name, record] : primaries) {
    const auto before = this->last.find(name);
    if (before == this->last.end() || !(before->second == record)) {
      this->changed_in[name] = this->version;
    }
  }
  this->last = primaries;
  return this->version;
}

void PrimaryVersions::Describe(std::uint64_t base, HeartbeatAnswer& answer) const {
  if (base == this->version) {
    return;
  }
  if (base == 0 || base > this->version) {
    answer.primaries = this->last;
    return;
  }
  answer.primaries.emplace();
  answer.primaries_base = base;
  for (const auto& [name, changed] : this->changed_in) {
    if (changed <= base) {
      continue;
    }
    const auto present = this->last.find(name);
    if (present == this->last.end()) {
      answer.withdrawn.insert(name);
    } else {
      answer.primaries->insert(*present);
    }
  }
}

}  // namespace sycamoredrum
