#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

struct Ticket;

/// A backend server: one instance of a database, and the VM it runs on.
struct BackendServerConfig {
  std::string id;
  std::string vm;  ///< Id in the platform's VM list.
  std::string data_centre;
  Endpoint statements;      ///< Statement port; each TCP connection is a database connection.
  Endpoint control;         ///< Control port; not counted in `connection_cap`.
  int connection_cap = 20;  ///< Maximum number of open connections to `statements` in total.
  bool leaving = false;
};

/// A database and its group of backend servers. A database has three slots; each slot is in one
/// data centre and has one backend server.
struct DatabaseConfig {
  std::string name;
  std::vector<BackendServerConfig> backend_servers;
  int acknowledge_copies = 2;  ///< Servers that must hold a write before it is acknowledged.
  std::uint64_t ticket = 0;    ///< Number of the ticket that last changed this object.

  /// Returns nullptr if no backend server has this id.
  const BackendServerConfig* FindBackendServer(std::string_view id) const;
};

/// A group of callers that share a token, access rights, a staleness bound and limits.
struct CallerGroupConfig {
  std::string name;
  std::string token_sha256;            ///< Lower-case hexadecimal SHA-256 of the bearer token.
  std::vector<std::string> databases;  ///< Names of the databases that the group may access.
  Duration max_read_age{};             ///< Maximum staleness of data that its reads accept.
  int weight = 1;                      ///< Relative share of a backend server's queue.
  int max_concurrent = 64;             ///< Maximum number of requests in progress at one proxy.
  std::uint64_t ticket = 0;            ///< Number of the ticket that last changed this object.

  /// True if the group may access the database with this name.
  bool MayReach(std::string_view database) const;
};

bool operator==(const BackendServerConfig& a, const BackendServerConfig& b);
bool operator==(const DatabaseConfig& a, const DatabaseConfig& b);
bool operator==(const CallerGroupConfig& a, const CallerGroupConfig& b);

/// The configuration that results from applying tickets 1 to Number() in order. Immutable;
/// shared between threads as a shared_ptr to const.
class Configuration {
 public:
  Configuration() = default;

  std::uint64_t Number() const { return this->number; }
  const std::map<std::string, DatabaseConfig, std::less<>>& Databases() const {
    return this->databases;
  }
  const std::map<std::string, CallerGroupConfig, std::less<>>& CallerGroups() const {
    return this->caller_groups;
  }

  /// The following functions return nullptr if no such object exists.
  const DatabaseConfig* FindDatabase(std::string_view name) const;
  const CallerGroupConfig* FindCallerGroup(std::string_view name) const;
  const CallerGroupConfig* FindCallerGroupByToken(std::string_view token_sha256) const;

  /// The configuration after `ticket`, whose number must be Number() + 1. The overload for
  /// temporaries reuses their objects instead of copying them; use it to apply many tickets in a
  /// row.
  Configuration With(const Ticket& ticket) const&;
  Configuration With(const Ticket& ticket) &&;

 private:
  void Apply(const Ticket& ticket);

  std::uint64_t number = 0;
  std::map<std::string, DatabaseConfig, std::less<>> databases;
  std::map<std::string, CallerGroupConfig, std::less<>> caller_groups;
  std::map<std::string, std::string, std::less<>> group_names_by_token;
};

bool operator==(const Configuration& a, const Configuration& b);

}  // namespace sycamoredrum
