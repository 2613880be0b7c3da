#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// Stand-in for the platform's key-value service, without I/O. Not thread-safe.
class PlatformModel {
 public:
  static constexpr std::size_t kMaxValueBytes = std::size_t{1024} * 1024;
  static constexpr int kMaxListItems = 1000;

  explicit PlatformModel(const Clock& clock) : clock(clock) {}

  std::optional<KeyValue> Get(const std::string& key) const;

  /// Result of Put. `revision` is the new revision of the key if `written`, otherwise its current
  /// one.
  struct PutResult {
    bool written = false;
    bool lease_missing = false;
    std::uint64_t revision = 0;
  };
  /// Compare-and-swap: writes only if the key has `expected_revision`, where 0 means that it does
  /// not exist. A key with a lease is removed when the lease expires; an empty `lease` means none.
  PutResult Put(const std::string& key, const std::string& value, std::uint64_t expected_revision,
                const std::string& lease);

  /// Keys with `prefix` that sort after `after`, in ascending order, at most `limit`.
  std::vector<KeyValue> List(const std::string& prefix, const std::string& after, int limit) const;
  /// Keys with `prefix` whose revision is above `after_revision`, in ascending order of revision.
  std::vector<KeyValue> ChangedSince(const std::string& prefix, std::uint64_t after_revision) const;

  std::string CreateLease(Duration time_to_live);
  /// False if the lease has expired or never existed.
  bool RenewLease(const std::string& lease);
  /// Removes expired leases and their keys.
  void ExpireLeases();

  std::uint64_t Revision() const { return this->revision; }

 private:
  struct Lease {
    Duration time_to_live;
    TimePoint expires;
  };
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
    std::string lease;
  };

  const Clock& clock;
  std::uint64_t revision = 0;
  std::uint64_t next_lease = 1;
  std::map<std::string, Entry> entries;
  std::map<std::string, Lease> leases;
};

}  // namespace sycamoredrum
