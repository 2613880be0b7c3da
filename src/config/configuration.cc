#include "sycamoredrum/configuration.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

auto Fields(const BackendServerConfig& server) {
  return std::tie(server.id, server.vm, server.data_centre, server.statements, server.control,
                  server.connection_cap, server.leaving);
}

auto Fields(const DatabaseConfig& database) {
  return std::tie(database.name, database.backend_servers, database.acknowledge_copies,
                  database.ticket);
}

auto Fields(const CallerGroupConfig& group) {
  return std::tie(group.name, group.token_sha256, group.databases, group.max_read_age, group.weight,
                  group.max_concurrent, group.ticket);
}

template <typename Map>
auto FindIn(const Map& map, std::string_view key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace

bool operator==(const BackendServerConfig& a, const BackendServerConfig& b) {
  return Fields(a) == Fields(b);
}

bool operator==(const DatabaseConfig& a, const DatabaseConfig& b) { return Fields(a) == Fields(b); }

bool operator==(const CallerGroupConfig& a, const CallerGroupConfig& b) {
  return Fields(a) == Fields(b);
}

bool operator==(const Configuration& a, const Configuration& b) {
  return a.Number() == b.Number() && a.Databases() == b.Databases() &&
         a.CallerGroups() == b.CallerGroups();
}

const BackendServerConfig* DatabaseConfig::FindBackendServer(std::string_view id) const {
  const auto found =
      std::find_if(this->backend_servers.begin(), this->backend_servers.end(),
                   [id](const BackendServerConfig& server) { return server.id == id; });
  return found == this->backend_servers.end() ? nullptr : &*found;
}

bool CallerGroupConfig::MayReach(std::string_view database) const {
  return std::find(this->databases.begin(), this->databases.end(), database) !=
         this->databases.end();
}

const DatabaseConfig* Configuration::FindDatabase(std::string_view name) const {
  return FindIn(this->databases, name);
}

const CallerGroupConfig* Configuration::FindCallerGroup(std::string_view name) const {
  return FindIn(this->caller_groups, name);
}

const CallerGroupConfig* Configuration::FindCallerGroupByToken(
    std::string_view token_sha256) const {
  const std::string* name = FindIn(this->group_names_by_token, token_sha256);
  return name == nullptr ? nullptr : this->FindCallerGroup(*name);
}

Configuration Configuration::With(const Ticket& ticket) const& {
  Configuration next = *this;
  next.Apply(ticket);
  return next;
}

Configuration Configuration::With(const Ticket& ticket) && {
  this->Apply(ticket);
  return std::move(*this);
}

void Configuration::Apply(const Ticket& ticket) {
  this->number = ticket.number;
  for (const std::string& name : ticket.removed_databases) {
    this->databases.erase(name);
  }
  for (DatabaseConfig database : ticket.databases) {
    database.ticket = ticket.number;
    this->databases.insert_or_assign(database.name, std::move(database));
  }
  // Erases all old tokens before it inserts new ones, so that one ticket can exchange the tokens of
  // two groups.
  const auto erase_token = [this](const std::string& name) {
    const CallerGroupConfig* group = this->FindCallerGroup(name);
    if (group != nullptr) {
      this->group_names_by_token.erase(group->token_sha256);
    }
  };
  for (const std::string& name : ticket.removed_caller_groups) {
    erase_token(name);
    this->caller_groups.erase(name);
  }
  for (const CallerGroupConfig& group : ticket.caller_groups) {
    erase_token(group.name);
  }
  for (CallerGroupConfig group : ticket.caller_groups) {
    group.ticket = ticket.number;
    this->group_names_by_token.insert_or_assign(group.token_sha256, group.name);
    this->caller_groups.insert_or_assign(group.name, std::move(group));
  }
}

}  // namespace sycamoredrum
