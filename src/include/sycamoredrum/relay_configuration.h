#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

class OrganisationDirectory;

/// Commits that a read is guaranteed to see.
enum class ReadConsistency {
  kPrimary,         ///< All acknowledged commits.
  kBounded,         ///< All commits acknowledged at least `max_age` ago.
  kReadYourWrites,  ///< As kBounded, plus all commits of the same session.
};

/// Determines how the sessions of one route are served.
struct RelayRoute {
  std::string name;      ///< Callers name it when they open a session.
  std::string database;  ///< Database whose backend servers serve the route.
  ReadConsistency consistency = ReadConsistency::kPrimary;
  Duration max_age{};            ///< Maximum staleness of a read; unused for kPrimary.
  Duration statement_timeout{};  ///< For a single statement.
  Duration latency_objective{};  ///< For a whole operation.
  int priority = 0;              ///< 0 is the highest.
  bool is_public = true;         ///< Callers need no key.
};

inline bool operator==(const RelayRoute& a, const RelayRoute& b) {
  return std::tie(a.name, a.database, a.consistency, a.max_age, a.statement_timeout,
                  a.latency_objective, a.priority, a.is_public) ==
         std::tie(b.name, b.database, b.consistency, b.max_age, b.statement_timeout,
                  b.latency_objective, b.priority, b.is_public);
}

/// One complete version of the configuration. A later version has a greater number.
struct RelayConfiguration {
  std::uint64_t version = 0;
  std::map<std::string, RelayRoute> routes;    ///< By name.
  std::map<std::string, int> connection_caps;  ///< Limit per backend server, by database.
  /// Number of replicas that have received a commit before it is acknowledged, by database.
  std::map<std::string, int> synchronous_replicas;
  Duration transaction_idle_timeout{};
  Duration session_idle_timeout{};
  /// Organisations and their keys; null if the configuration has none, and no caller needs a key.
  std::shared_ptr<const OrganisationDirectory> organisations;
};

enum class BackendServerState { kReady, kDraining };

/// A backend server's own record, which it publishes in the store.
struct BackendServerRecord {
  std::string id;
  std::string database;
  Endpoint endpoint;
  std::string data_centre;
  BackendServerState state = BackendServerState::kReady;
  bool claims_primary = false;     ///< The server considers itself the primary; may be outdated.
  std::int64_t started_at_ms = 0;  ///< Start time, Unix time; a change indicates a restart.
};

inline bool operator==(const BackendServerRecord& a, const BackendServerRecord& b) {
  return std::tie(a.id, a.database, a.endpoint, a.data_centre, a.state, a.claims_primary,
                  a.started_at_ms) == std::tie(b.id, b.database, b.endpoint, b.data_centre, b.state,
                                               b.claims_primary, b.started_at_ms);
}
inline bool operator!=(const BackendServerRecord& a, const BackendServerRecord& b) {
  return !(a == b);
}

}  // namespace sycamoredrum
