#include "platform_model.h"

#include <algorithm>

namespace sycamoredrum {

std::optional<KeyValue> PlatformModel::Get(const std::string& key) const {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  return KeyValue{key, found->second.value, found->second.revision};
}

PlatformModel::PutResult PlatformModel::Put(const std::string& key, const std::string& value,
                                            std::uint64_t expected_revision,
                                            const std::string& lease) {
  PutResult result;
  const auto found = this->entries.find(key);
  result.revision = found == this->entries.end() ? 0 : found->second.revision;
  result.lease_missing = !lease.empty() && this->leases.count(lease) == 0;
  if (result.revision != expected_revision || result.lease_missing) {
    return result;
  }
  result.written = true;
  result.revision = ++this->revision;
  this->entries[key] = Entry{value, result.revision, lease};
  return result;
}

std::vector<KeyValue> PlatformModel::List(const std::string& prefix, const std::string& after,
                                          int limit) const {
  std::vector<KeyValue> items;
  const std::size_t max_items = static_cast<std::size_t>(std::clamp(limit, 0, kMaxListItems));
  auto entry =
      after < prefix ? this->entries.lower_bound(prefix) : this->entries.upper_bound(after);
  for (; entry != this->entries.end() && items.size() < max_items; ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    items.push_back(KeyValue{entry->first, entry->second.value, entry->second.revision});
  }
  return items;
}

std::vector<KeyValue> PlatformModel::ChangedSince(const std::string& prefix,
                                                  std::uint64_t after_revision) const {
  std::vector<KeyValue> items;
  for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end(); ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    if (entry->second.revision > after_revision) {
      items.push_back(KeyValue{entry->first, entry->second.value, entry->second.revision});
    }
  }
  std::sort(items.begin(), items.end(),
            [](const KeyValue& a, const KeyValue& b) { return a.revision < b.revision; });
  return items;
}

std::string PlatformModel::CreateLease(Duration time_to_live) {
  std::string id = std::to_string(this->next_lease++);
  this->leases[id] = Lease{time_to_live, this->clock.Now() + time_to_live};
  return id;
}

bool PlatformModel::RenewLease(const std::string& lease) {
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    return false;
  }
  found->second.expires = this->clock.Now() + found->second.time_to_live;
  return true;
}

void PlatformModel::ExpireLeases() {
  const TimePoint now = this->clock.Now();
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
      const bool expired = entry->second.lease == lease->first;
      this->revision += expired ? 1 : 0;
      entry = expired ? this->entries.erase(entry) : std::next(entry);
    }
    lease = this->leases.erase(lease);
  }
}

}  // namespace sycamoredrum
