#include "sycamoredrum/server_directory.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {

ServerDirectory::ServerDirectory(const Clock& clock, ChangedCallback changed)
    : clock(clock), changed(std::move(changed)), reachable_since(clock.Now()) {}

void ServerDirectory::Put(const BackendServerRecord& record) {
  this->removed_at.erase(record.id);
  const auto found = this->records.find(record.id);
  if (found != this->records.end() && found->second == record) {
    return;
  }
  this->records[record.id] = record;
  this->changed(this->records);
}

void ServerDirectory::Remove(const std::string& id) {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return;
  }
  if (found->second.state == BackendServerState::kDraining) {
    this->removed_at.erase(id);
    this->records.erase(found);
    this->changed(this->records);
    return;
  }
  this->removed_at.emplace(id, this->clock.Now());
}

void ServerDirectory::Replace(const std::map<std::string, BackendServerRecord>& new_records) {
  if (new_records != this->records) {
    this->records = new_records;
    this->removed_at.clear();
    this->changed(this->records);
  }
}

void ServerDirectory::SetStoreReachable(bool value) {
  if (value && !this->store_reachable) {
    this->reachable_since = this->clock.Now();
  }
  this->store_reachable = value;
}

void ServerDirectory::Tick() {
  if (!this->store_reachable) {
    return;
  }
  bool removed_any = false;
  for (auto removal = this->removed_at.begin(); removal != this->removed_at.end();) {
    const TimePoint start = std::max(removal->second, this->reachable_since);
    if (this->clock.Now() - start < kRemovalDelay) {
      ++removal;
      continue;
    }
    this->records.erase(removal->first);
    removal = this->removed_at.erase(removal);
    removed_any = true;
  }
  if (removed_any) {
    this->changed(this->records);
  }
}

}  // namespace sycamoredrum
