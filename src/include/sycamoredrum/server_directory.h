#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/relay_configuration.h"

namespace sycamoredrum {

struct ServerDirectoryHooks {
  /// A server was added, or its record changed.
  std::function<void(const BackendServerRecord&)> put;
  std::function<void(const std::string& id)> removed;
};

/// The running backend servers, from the records that they keep in the store.
///
/// A record may disappear while its server still runs, because its lease expired during an outage
/// of the store. A server whose record was deleted is therefore kept for kRemovalDelay, unless it
/// was draining. A server that was draining stays so until it starts again: a store that returned
/// from an older copy may hold its earlier record for a while. Not thread-safe.
class ServerDirectory {
 public:
  /// Servers write expired records again within about 2 s after the store is reachable again.
  static constexpr Duration kRemovalDelay = std::chrono::milliseconds(2500);

  /// How long a drain is remembered after it was last reported; exceeds the age of any copy from
  /// which the store returns.
  static constexpr Duration kDrainMemory = std::chrono::hours(1);

  ServerDirectory(const Clock& clock, ServerDirectoryHooks hooks);

  /// Adds or updates the record of a server, and cancels its pending removal.
  void Put(const BackendServerRecord& record);
  /// To be called when the record of server `id` was deleted from the store. Removes a draining
  /// server immediately, and any other one after kRemovalDelay.
  void Remove(const std::string& id);
  /// Replaces all records by those that another process sent, and cancels pending removals if they
  /// differ.
  void Replace(const std::map<std::string, BackendServerRecord>& records);
  /// Sets whether the store can be read. A server is only removed after the store has been
  /// reachable for kRemovalDelay without interruption.
  void SetStoreReachable(bool value);
  /// Removes the servers whose removal delay has passed. To be called at least once a second.
  void Tick();

  const std::map<std::string, BackendServerRecord>& Records() const { return this->records; }
  /// Hash of all records. Two processes with the same fingerprint have the same records.
  std::uint64_t Fingerprint() const;

 private:
  struct Drain {
    std::int64_t started_at_ms = 0;  ///< Start of the server, as in its record.
    TimePoint observed_at;
  };

  BackendServerRecord Latest(const BackendServerRecord& record);
  void Erase(const std::string& id);

  const Clock& clock;
  const ServerDirectoryHooks hooks;
  std::map<std::string, Drain> drains;  ///< By server id.
  std::map<std::string, BackendServerRecord> records;
  std::map<std::string, TimePoint> removed_at;  ///< When each pending removal began, by id.
  bool store_reachable = false;
  TimePoint reachable_since;
};

}  // namespace sycamoredrum
