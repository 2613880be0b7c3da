#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// One change in the store.
struct StoreEvent {
  KeyValue item;  ///< `value` is empty if the key was removed.
  bool removed = false;
};

/// Items or changes, and the revision of the store up to which they are complete.
struct StorePage {
  std::vector<KeyValue> items;
  std::vector<StoreEvent> events;
  std::uint64_t revision = 0;
};

enum class WatchStatus {
  kOk,
  kHistoryLost,  ///< The changes are no longer available; list the keys again.
  kUnavailable,
};

/// One write of a transaction: nothing happens unless the key has `expected_revision` (0: it does
/// not exist).
struct ConditionalWrite {
  std::string key;
  std::uint64_t expected_revision = 0;
  std::optional<std::string> value;  ///< Nothing: the key is removed.
  std::uint64_t lease = 0;           ///< 0: the key stays until it is removed.
};

/// A condition without a write.
struct RevisionCondition {
  std::string key;
  std::uint64_t revision = 0;
};

/// The platform's store with leases. Each call ends with exactly one call of its callback, never
/// from inside the call itself. PlatformStatus::kUnknown means that a write may have taken effect
/// or may do so later.
struct CoordinationStore {
  using PageCallback = std::function<void(PlatformStatus, const StorePage&)>;
  using WatchCallback = std::function<void(WatchStatus, const StorePage&)>;
  using WriteCallback = std::function<void(PlatformStatus, std::uint64_t revision)>;
  using LeaseCallback =
      std::function<void(PlatformStatus, std::uint64_t lease, Duration time_to_live)>;
  using StatusCallback = std::function<void(PlatformStatus)>;

  /// All items with `prefix`, newest state.
  std::function<void(const std::string& prefix, PageCallback)> list;
  /// Changes after `revision`, at the latest after `timeout`.
  std::function<void(const std::string& prefix, std::uint64_t revision, Duration timeout,
                     WatchCallback)>
      watch;
  std::function<void(const ConditionalWrite&, const std::vector<RevisionCondition>& conditions,
                     WriteCallback)>
      write;
  std::function<void(Duration time_to_live, LeaseCallback)> grant_lease;
  std::function<void(std::uint64_t lease, StatusCallback)> renew_lease;
  std::function<void(std::uint64_t lease, StatusCallback)> end_lease;
};

}  // namespace sycamoredrum
