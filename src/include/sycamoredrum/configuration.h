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

/// One instance of a database and the VM it runs on.
struct BackendServerConfig {
  std::string id;
  std::string vm;  ///< Id in the platform's VM list.
  std::string data_centre;
  Endpoint statements;      ///< Statement port; each TCP connection is a database connection.
  Endpoint control;         ///< Control port; not counted in `connection_cap`.
  int connection_cap = 20;  ///< Connections that the server admits in total.
  bool leaving = false;
};

/// A database group. A database has three slots, each in one data centre with one instance.
struct DatabaseConfig {
  std::string name;
  std::vector<BackendServerConfig> backend_servers;
  int acknowledge_copies =
      2;                     ///< Backend servers that must hold a write before it is acknowledged.
  std::uint64_t ticket = 0;  ///< Number of the ticket that last changed this object.

  const BackendServerConfig* FindBackendServer(std::string_view id) const;
};

/// A group of callers with common rights, freshness and limits.
struct CallerGroupConfig {
  std::string name;
  std::string token_sha256;            ///< Lower-case hexadecimal SHA-256 of the bearer token.
  std::vector<std::string> databases;  ///< Databases the group may reach.
  Duration max_read_age{};             ///< Greatest age of data that its reads accept.
  int weight = 1;                      ///< Share of a backend server's queue.
  int max_concurrent = 64;             ///< Requests in progress at one proxy.
  std::uint64_t ticket = 0;            ///< Number of the ticket that last changed this object.

  bool MayReach(std::string_view database) const;
};

bool operator==(const BackendServerConfig& a, const BackendServerConfig& b);
bool operator==(const DatabaseConfig& a, const DatabaseConfig& b);
bool operator==(const CallerGroupConfig& a, const CallerGroupConfig& b);

/// The state after tickets 1 to Number(). Immutable; shared between threads by shared_ptr to const.
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

  /// These return nullptr if there is no such object.
  const DatabaseConfig* FindDatabase(std::string_view name) const;
  const CallerGroupConfig* FindCallerGroup(std::string_view name) const;
  const CallerGroupConfig* FindCallerGroupByToken(std::string_view token_sha256) const;

  /// The configuration after `ticket`, whose number must be Number() + 1. The overload for
  /// temporaries reuses the objects instead of copying them, for folds over many tickets.
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
