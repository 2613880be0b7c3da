#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// Revisions consist of the store's era, in the upper bits, and its change counter, in the lower
/// kCounterBits. The era rises when the store returns from an older copy; the counter then goes
/// back, and its values are given out again. A revision of a later era is greater than all
/// revisions of earlier ones. 2^44 changes are enough for a million changes a second over half a
/// year.
inline constexpr int kCounterBits = 44;

inline constexpr std::uint64_t MakeRevision(std::uint64_t era, std::uint64_t counter) {
  return (era << kCounterBits) | counter;
}
inline constexpr std::uint64_t EraOf(std::uint64_t revision) { return revision >> kCounterBits; }
inline constexpr std::uint64_t CounterOf(std::uint64_t revision) {
  return revision & (MakeRevision(1, 0) - 1);
}

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
  kHistoryLost,  ///< The changes are no longer available, or the store returned from an older
                 ///< copy; list the keys again.
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
///
/// The store may return from an older copy. Writes that it confirmed and leases that it granted are
/// lost then, and each item that it still has gets a revision of the new era.
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
