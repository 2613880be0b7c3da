#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration.h"
#include "sycamoredrum/database_view.h"
#include "sycamoredrum/duties.h"
#include "sycamoredrum/peer_link.h"
#include "sycamoredrum/request_executor.h"

namespace sycamoredrum {

/// An immutable value that all threads read and one service of the daemon replaces. Get() never
/// returns nullptr.
template <typename Value>
class Snapshot {
 public:
  Snapshot() : value(std::make_shared<const Value>()) {}

  /// Store the pointer as long as the value is used: in `for (x : snapshot.Get()->list)` it is
  /// destroyed before the loop starts.
  std::shared_ptr<const Value> Get() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->value;
  }
  void Set(std::shared_ptr<const Value> replacement) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->value = std::move(replacement);
  }

 private:
  mutable std::mutex mutex;  // Guards the members below.
  std::shared_ptr<const Value> value;
};

using ConfigurationSnapshot = Snapshot<Configuration>;

/// Returns the database in the configuration in force, or nullptr. The pointer keeps that
/// configuration alive.
inline std::shared_ptr<const DatabaseConfig> FindDatabase(const ConfigurationSnapshot& snapshot,
                                                          const std::string& name) {
  const std::shared_ptr<const Configuration> configuration = snapshot.Get();
  const DatabaseConfig* database = configuration->FindDatabase(name);
  return database == nullptr ? nullptr
                             : std::shared_ptr<const DatabaseConfig>(configuration, database);
}

/// The members that this process knows, and those of them that can have duties.
struct Fleet {
  std::vector<Member> members;
  DutyCandidates candidates{std::vector<Member>()};

  const Member* Find(const std::string& id) const {
    for (const Member& member : this->members) {
      if (member.id == id) {
        return &member;
      }
    }
    return nullptr;
  }
};

using FleetSnapshot = Snapshot<Fleet>;

/// VMs that the platform lists as leaving.
struct LeavingVms {
  std::set<std::string> ids;
};

using LeavingSnapshot = Snapshot<LeavingVms>;

/// True if the configuration or the platform's VM list marks the VM of `server` as leaving.
inline bool IsLeaving(const BackendServerConfig& server, const LeavingSnapshot& leaving) {
  return server.leaving || leaving.Get()->ids.count(server.vm) != 0;
}

/// The latest view of each database. Thread-safe.
class ViewTable {
 public:
  /// Returns nullptr if the table has no view of the database.
  DatabaseViewPtr Get(const std::string& database) const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->views.find(database);
    return found == this->views.end() ? nullptr : found->second;
  }

  /// Stores `view` unless the table has one with a newer proof.
  void UpdateIfNewer(const DatabaseView& view) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    DatabaseViewPtr& entry = this->views[view.database];
    const bool older = entry != nullptr && entry->proof &&
                       (!view.proof || view.proof->proven_at < entry->proof->proven_at);
    if (!older) {
      entry = std::make_shared<const DatabaseView>(view);
    }
  }

 private:
  mutable std::mutex mutex;  // Guards the members below.
  absl::flat_hash_map<std::string, DatabaseViewPtr> views;
};

/// Sends a request to another member. Calls back exactly once, never from inside the call.
using PeerCall = std::function<void(const std::string& member, const std::string& kind,
                                    std::string body, Duration timeout, PeerCallback)>;

}  // namespace sycamoredrum
