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

/// Answer to a list (`items`) or a watch (`events`), complete up to `revision` of the store.
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
  std::optional<std::string> value;  ///< Not set: the key is removed.
  std::uint64_t lease = 0;           ///< 0: the key stays until it is removed.
};

/// Condition on a key that the transaction does not write.
struct RevisionCondition {
  std::string key;
  std::uint64_t revision = 0;
};

/// The platform's key-value store with leases. Each call invokes its callback exactly once, and
/// never before the call itself returns. PlatformStatus::kUnknown means that a write may have taken
/// effect or may do so later.
struct CoordinationStore {
  using PageCallback = std::function<void(PlatformStatus, const StorePage&)>;
  using WatchCallback = std::function<void(WatchStatus, const StorePage&)>;
  using WriteCallback = std::function<void(PlatformStatus, std::uint64_t revision)>;
  using LeaseCallback =
      std::function<void(PlatformStatus, std::uint64_t lease, Duration time_to_live)>;
  using StatusCallback = std::function<void(PlatformStatus)>;

  /// Reads the present state of all items whose key begins with `prefix`.
  std::function<void(const std::string& prefix, PageCallback)> list;
  /// Waits for changes after `revision` and calls back with them, or without any after `timeout`.
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
