#include <absl/strings/str_cat.h>

#include <map>
#include <set>
#include <tuple>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

// Server ids, endpoints and tokens of the objects that the ticket does not modify, each with the
// name of the database or caller group that uses it.
struct ValuesInUse {
  std::map<std::string, std::string> server_ids;
  std::map<std::string, std::string> endpoints;
  std::map<std::string, std::string> tokens;
};

std::set<std::string> ModifiedDatabases(const Ticket& ticket) {
  std::set<std::string> names(ticket.removed_databases.begin(), ticket.removed_databases.end());
  for (const DatabaseConfig& database : ticket.databases) {
    names.insert(database.name);
  }
  return names;
}

std::set<std::string> ModifiedCallerGroups(const Ticket& ticket) {
  std::set<std::string> names(ticket.removed_caller_groups.begin(),
                              ticket.removed_caller_groups.end());
  for (const CallerGroupConfig& group : ticket.caller_groups) {
    names.insert(group.name);
  }
  return names;
}

ValuesInUse CollectValuesInUse(const Ticket& ticket, const Configuration& configuration) {
  ValuesInUse values;
  const std::set<std::string> modified_databases = ModifiedDatabases(ticket);
  for (const auto& [name, database] : configuration.Databases()) {
    if (modified_databases.count(name) != 0) {
      continue;
    }
    for (const BackendServerConfig& server : database.backend_servers) {
      values.server_ids.emplace(server.id, name);
      values.endpoints.emplace(server.statements.ToString(), name);
      values.endpoints.emplace(server.control.ToString(), name);
    }
  }
  const std::set<std::string> modified_groups = ModifiedCallerGroups(ticket);
  for (const auto& [name, group] : configuration.CallerGroups()) {
    if (modified_groups.count(name) == 0) {
      values.tokens.emplace(group.token_sha256, name);
    }
  }
  return values;
}

void CheckUnused(const std::map<std::string, std::string>& in_use, const std::string& value,
                 const std::string& place, std::string_view kind, Findings& findings) {
  const auto owner = in_use.find(value);
  if (owner != in_use.end()) {
    findings.Add(
        place, absl::StrCat("is already used by ", std::string(kind), " \"", owner->second, "\""));
  }
}

void CheckBackendServers(const Ticket& ticket, const ValuesInUse& in_use, Findings& findings) {
  for (std::size_t i = 0; i < ticket.databases.size(); ++i) {
    const DatabaseConfig& database = ticket.databases[i];
    for (std::size_t j = 0; j < database.backend_servers.size(); ++j) {
      const BackendServerConfig& server = database.backend_servers[j];
      const std::string place = absl::StrCat("databases[", i, "].backend_servers[", j, "]");
      CheckUnused(in_use.server_ids, server.id, place + ".id", "database", findings);
      CheckUnused(in_use.endpoints, server.statements.ToString(), place + ".statements", "database",
                  findings);
      CheckUnused(in_use.endpoints, server.control.ToString(), place + ".control", "database",
                  findings);
    }
  }
}

// A majority is counted over the servers that answer at their control endpoints. A server that
// keeps its id but moves to another VM or control endpoint may lack the promises and the log of the
// previous one, so it counts as another server.
bool IsSameServer(const BackendServerConfig& a, const BackendServerConfig& b) {
  return std::tie(a.id, a.vm, a.control) == std::tie(b.id, b.vm, b.control);
}

std::size_t CountServersOnlyIn(const DatabaseConfig& database, const DatabaseConfig& other) {
  std::size_t count = 0;
  for (const BackendServerConfig& server : database.backend_servers) {
    const BackendServerConfig* same_id = other.FindBackendServer(server.id);
    count += same_id == nullptr || !IsSameServer(server, *same_id) ? 1 : 0;
  }
  return count;
}

// Proxies apply a ticket at different times. Each majority of the old backend servers must have a
// server in common with each majority of the new ones; otherwise two proxies that promote a primary
// could both obtain a majority for the same term.
void CheckBackendServerChanges(const Ticket& ticket, const Configuration& configuration,
                               Findings& findings) {
  for (std::size_t i = 0; i < ticket.databases.size(); ++i) {
    const DatabaseConfig& next = ticket.databases[i];
    const DatabaseConfig* before = configuration.FindDatabase(next.name);
    if (before == nullptr) {
      continue;
    }
    const std::size_t added = CountServersOnlyIn(next, *before);
    const std::size_t removed = CountServersOnlyIn(*before, next);
    if (added + removed > 1) {
      findings.Add(
          absl::StrCat("databases[", i, "].backend_servers"),
          absl::StrCat("adds ", added, " and removes ", removed,
                       " servers (a server with another vm or control address is another server); "
                       "a ticket may add or remove one, because majorities of the old and the new "
                       "group must intersect"));
    }
  }
}

void CheckReferences(const Ticket& ticket, const Configuration& next, Findings& findings) {
  for (std::size_t i = 0; i < ticket.caller_groups.size(); ++i) {
    const CallerGroupConfig& group = ticket.caller_groups[i];
    for (std::size_t j = 0; j < group.databases.size(); ++j) {
      if (next.FindDatabase(group.databases[j]) == nullptr) {
        findings.Add(absl::StrCat("caller_groups[", i, "].databases[", j, "]"),
                     absl::StrCat("database \"", group.databases[j], "\" does not exist"));
      }
    }
  }
  for (std::size_t i = 0; i < ticket.removed_databases.size(); ++i) {
    for (const auto& [name, group] : next.CallerGroups()) {
      if (group.ticket != ticket.number && group.MayReach(ticket.removed_databases[i])) {
        findings.Add(absl::StrCat("removed_databases[", i, "]"),
                     absl::StrCat("caller group \"", name, "\" still refers to database \"",
                                  ticket.removed_databases[i], "\""));
      }
    }
  }
}

void CheckRemovals(const Ticket& ticket, const Configuration& configuration, Findings& findings) {
  for (std::size_t i = 0; i < ticket.removed_databases.size(); ++i) {
    const std::string& name = ticket.removed_databases[i];
    if (configuration.FindDatabase(name) == nullptr) {
      findings.Add(absl::StrCat("removed_databases[", i, "]"),
                   absl::StrCat("database \"", name, "\" does not exist"));
    }
  }
  for (std::size_t i = 0; i < ticket.removed_caller_groups.size(); ++i) {
    const std::string& name = ticket.removed_caller_groups[i];
    if (configuration.FindCallerGroup(name) == nullptr) {
      findings.Add(absl::StrCat("removed_caller_groups[", i, "]"),
                   absl::StrCat("caller group \"", name, "\" does not exist"));
    }
  }
}

}  // namespace

void ValidateAgainst(const Ticket& ticket, const Configuration& configuration, Findings& findings) {
  if (ticket.number != configuration.Number() + 1) {
    findings.Add("number", absl::StrCat("must be ", configuration.Number() + 1,
                                        ", one more than the number in force; is ", ticket.number));
  }
  const ValuesInUse in_use = CollectValuesInUse(ticket, configuration);
  CheckBackendServers(ticket, in_use, findings);
  for (std::size_t i = 0; i < ticket.caller_groups.size(); ++i) {
    CheckUnused(in_use.tokens, ticket.caller_groups[i].token_sha256,
                absl::StrCat("caller_groups[", i, "].token_sha256"), "caller group", findings);
  }
  CheckBackendServerChanges(ticket, configuration, findings);
  CheckRemovals(ticket, configuration, findings);
  CheckReferences(ticket, configuration.With(ticket), findings);
}

}  // namespace sycamoredrum
