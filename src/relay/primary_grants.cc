#include "sycamoredrum/primary_grants.h"

#include <algorithm>

namespace sycamoredrum {

bool PrimaryGrants::Adopt(std::uint64_t new_epoch) {
  if (new_epoch < this->epoch) {
    return false;
  }
  this->epoch = new_epoch;
  return true;
}

void PrimaryGrants::Renew(const std::string& database, const PrimaryGrant& grant) {
  Entry& entry = this->entries[database];
  if (grant.epoch < this->epoch || grant.generation <= entry.revoked_generation) {
    return;
  }
  this->epoch = grant.epoch;
  const bool held = entry.grant && this->clock.Now() < entry.grant->valid_until;
  if (held && entry.grant->generation > grant.generation) {
    return;
  }
  const bool renewal = entry.grant && entry.grant->generation == grant.generation;
  const TimePoint until =
      renewal ? std::max(entry.grant->valid_until, grant.valid_until) : grant.valid_until;
  entry.grant = grant;
  entry.grant->valid_until = until;
}

bool PrimaryGrants::Revoke(std::uint64_t from_epoch, const std::string& database,
                           std::uint64_t generation) {
  if (from_epoch < this->epoch) {
    return false;
  }
  this->epoch = from_epoch;
  Entry& entry = this->entries[database];
  entry.revoked_generation = std::max(entry.revoked_generation, generation);
  const bool held = entry.grant && this->clock.Now() < entry.grant->valid_until;
  return !held || entry.Revoked();
}

void PrimaryGrants::FinishRevocation(const std::string& database) {
  const auto found = this->entries.find(database);
  if (found != this->entries.end() && found->second.Revoked()) {
    found->second.grant.reset();
  }
}

const PrimaryGrant* PrimaryGrants::FindCurrent(const std::string& database) const {
  const auto found = this->entries.find(database);
  if (found == this->entries.end() || !found->second.grant || found->second.Revoked() ||
      this->clock.Now() >= found->second.grant->valid_until) {
    return nullptr;
  }
  return &*found->second.grant;
}

std::optional<PrimaryGrant> PrimaryGrants::Current(const std::string& database) const {
  const PrimaryGrant* grant = this->FindCurrent(database);
  return grant == nullptr ? std::nullopt : std::optional<PrimaryGrant>(*grant);
}

std::uint64_t PrimaryGrants::CurrentGeneration(const std::string& database) const {
  const PrimaryGrant* grant = this->FindCurrent(database);
  return grant == nullptr ? 0 : grant->generation;
}

std::uint64_t PrimaryGrants::HeldGeneration(const std::string& database) const {
  const auto found = this->entries.find(database);
  return found == this->entries.end() || !found->second.grant ? 0 : found->second.grant->generation;
}

std::uint64_t PrimaryGrants::RevokedGeneration(const std::string& database) const {
  const auto found = this->entries.find(database);
  return found == this->entries.end() ? 0 : found->second.revoked_generation;
}

bool PrimaryGrants::StillValid(const std::string& database, std::uint64_t generation) const {
  const auto found = this->entries.find(database);
  return found != this->entries.end() && found->second.grant &&
         found->second.grant->generation == generation &&
         this->clock.Now() < found->second.grant->valid_until;
}

}  // namespace sycamoredrum
