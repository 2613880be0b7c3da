#include "sycamoredrum/server_directory.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sycamoredrum {

ServerDirectory::ServerDirectory(const Clock& clock, ServerDirectoryHooks hooks)
    : clock(clock), hooks(std::move(hooks)), reachable_since(clock.Now()) {}

BackendServerRecord ServerDirectory::Latest(const BackendServerRecord& record) {
  BackendServerRecord result = record;
  const auto drain = this->drains.find(record.id);
  const bool began = drain != this->drains.end() && record.started_at_ms != 0 &&
                     drain->second.started_at_ms == record.started_at_ms;
  if (record.state == BackendServerState::kDraining) {
    this->drains[record.id] = Drain{record.started_at_ms, this->clock.Now()};
  } else if (began) {
    result.state = BackendServerState::kDraining;
  }
  return result;
}

void ServerDirectory::Put(const BackendServerRecord& record) {
  this->removed_at.erase(record.id);
  const BackendServerRecord latest = this->Latest(record);
  const auto found = this->records.find(record.id);
  if (found != this->records.end() && found->second == latest) {
    return;
  }
  this->records[record.id] = latest;
  this->hooks.put(latest);
}

void ServerDirectory::Erase(const std::string& id) {
  if (this->records.erase(id) != 0) {
    this->hooks.removed(id);
  }
}

void ServerDirectory::Remove(const std::string& id) {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return;
  }
  if (found->second.state == BackendServerState::kDraining) {
    this->removed_at.erase(id);
    this->Erase(id);
    return;
  }
  this->removed_at.emplace(id, this->clock.Now());
}

void ServerDirectory::Replace(const std::map<std::string, BackendServerRecord>& new_records) {
  std::map<std::string, BackendServerRecord> latest;
  for (const auto& [id, record] : new_records) {
    latest.emplace(id, this->Latest(record));
  }
  if (latest == this->records) {
    return;
  }
  this->removed_at.clear();
  const std::map<std::string, BackendServerRecord> former =
      std::exchange(this->records, std::move(latest));
  for (const auto& [id, record] : former) {
    if (this->records.count(id) == 0) {
      this->hooks.removed(id);
    }
  }
  for (const auto& [id, record] : this->records) {
    const auto before = former.find(id);
    if (before == former.end() || before->second != record) {
      this->hooks.put(record);
    }
  }
}

std::uint64_t ServerDirectory::Fingerprint() const {
  std::string text;
  for (const auto& [id, record] : this->records) {
    absl::StrAppend(&text, id, "\n", record.database, "\n", record.endpoint.ToString(), "\n",
                    record.data_centre, "\n", static_cast<int>(record.state), "\n",
                    static_cast<int>(record.claims_primary), "\n", record.started_at_ms, "\n");
  }
  return XXH3_64bits(text.data(), text.size());
}

void ServerDirectory::SetStoreReachable(bool value) {
  if (value && !this->store_reachable) {
    this->reachable_since = this->clock.Now();
  }
  this->store_reachable = value;
}

void ServerDirectory::Tick() {
  const TimePoint now = this->clock.Now();
  for (auto drain = this->drains.begin(); drain != this->drains.end();) {
    const bool expired = now - drain->second.observed_at > kDrainMemory;
    drain = expired ? this->drains.erase(drain) : std::next(drain);
  }
  if (!this->store_reachable) {
    return;
  }
  for (auto removal = this->removed_at.begin(); removal != this->removed_at.end();) {
    const TimePoint start = std::max(removal->second, this->reachable_since);
    if (this->clock.Now() - start < kRemovalDelay) {
      ++removal;
      continue;
    }
    this->Erase(removal->first);
    removal = this->removed_at.erase(removal);
  }
}

}  // namespace sycamoredrum
