#include <absl/strings/str_cat.h>

#include <map>
#include <set>
#include <utility>

#include "object_reader.h"
#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

constexpr IntegerRange kTicketNumbers = {1, static_cast<std::int64_t>(kMaxTicketNumber)};
constexpr IntegerRange kConnectionCaps = {1, 10'000};
constexpr IntegerRange kWeights = {1, 1'000};
constexpr IntegerRange kConcurrentRequests = {1, 1'000'000};
constexpr std::size_t kMaxBackendServers = 9;
constexpr Duration kMaxReadAge = std::chrono::hours(24);

// Detects values that occur more than once in a ticket.
class UniqueValues {
 public:
  explicit UniqueValues(Findings& findings) : findings(findings) {}

  void Check(const std::string& value, const std::string& place) {
    const auto [first, inserted] = this->places.emplace(value, place);
    if (!inserted && !value.empty()) {
      this->findings.Add(place, absl::StrCat("\"", value, "\" is already used by ", first->second));
    }
  }

 private:
  Findings& findings;
  std::map<std::string, std::string> places;
};

BackendServerConfig ReadBackendServer(const nlohmann::json& json, const std::string& place,
                                      Findings& findings) {
  ObjectReader reader(json, place, findings);
  BackendServerConfig server;
  server.id = reader.Name("id");
  server.vm = reader.Name("vm");
  server.data_centre = reader.Name("data_centre");
  server.statements = reader.Address("statements");
  server.control = reader.Address("control");
  server.connection_cap = reader.Integer("connection_cap", kConnectionCaps, server.connection_cap);
  server.leaving = reader.Flag("leaving", server.leaving);
  reader.Finish();
  return server;
}

DatabaseConfig ReadDatabase(const nlohmann::json& json, const std::string& place,
                            Findings& findings) {
  ObjectReader reader(json, place, findings);
  DatabaseConfig database;
  database.name = reader.Name("name");
  reader.Objects("backend_servers", [&](const nlohmann::json& item, const std::string& item_place) {
    database.backend_servers.push_back(ReadBackendServer(item, item_place, findings));
  });
  const std::size_t servers = database.backend_servers.size();
  if (json.is_object() && (servers == 0 || servers > kMaxBackendServers)) {
    findings.Add(
        reader.PlaceOf("backend_servers"),
        absl::StrCat("must list 1 to ", kMaxBackendServers, " backend servers, lists ", servers));
  }
  const std::size_t most_copies = servers == 0 ? kMaxBackendServers : servers;
  database.acknowledge_copies =
      reader.Integer("acknowledge_copies", {1, static_cast<std::int64_t>(most_copies)},
                     std::min(database.acknowledge_copies, static_cast<int>(most_copies)));
  reader.Finish();
  return database;
}

CallerGroupConfig ReadCallerGroup(const nlohmann::json& json, const std::string& place,
                                  Findings& findings) {
  ObjectReader reader(json, place, findings);
  CallerGroupConfig group;
  group.name = reader.Name("name");
  group.token_sha256 = reader.Sha256("token_sha256");
  group.databases = reader.Names("databases");
  group.max_read_age = reader.BoundedDuration("max_read_age", kMaxReadAge);
  group.weight = reader.Integer("weight", kWeights, group.weight);
  group.max_concurrent =
      reader.Integer("max_concurrent", kConcurrentRequests, group.max_concurrent);
  reader.Finish();
  return group;
}

void CheckDatabasesUnique(const Ticket& ticket, Findings& findings) {
  UniqueValues names(findings);
  UniqueValues ids(findings);
  UniqueValues endpoints(findings);
  for (std::size_t i = 0; i < ticket.databases.size(); ++i) {
    const DatabaseConfig& database = ticket.databases[i];
    const std::string place = absl::StrCat("databases[", i, "]");
    names.Check(database.name, place + ".name");
    for (std::size_t j = 0; j < database.backend_servers.size(); ++j) {
      const BackendServerConfig& server = database.backend_servers[j];
      const std::string server_place = absl::StrCat(place, ".backend_servers[", j, "]");
      ids.Check(server.id, server_place + ".id");
      if (server.statements.port != 0) {
        endpoints.Check(server.statements.ToString(), server_place + ".statements");
      }
      if (server.control.port != 0) {
        endpoints.Check(server.control.ToString(), server_place + ".control");
      }
    }
  }
  for (std::size_t i = 0; i < ticket.removed_databases.size(); ++i) {
    names.Check(ticket.removed_databases[i], absl::StrCat("removed_databases[", i, "]"));
  }
}

void CheckCallerGroupsUnique(const Ticket& ticket, Findings& findings) {
  UniqueValues names(findings);
  UniqueValues tokens(findings);
  for (std::size_t i = 0; i < ticket.caller_groups.size(); ++i) {
    const std::string place = absl::StrCat("caller_groups[", i, "]");
    names.Check(ticket.caller_groups[i].name, place + ".name");
    tokens.Check(ticket.caller_groups[i].token_sha256, place + ".token_sha256");
  }
  for (std::size_t i = 0; i < ticket.removed_caller_groups.size(); ++i) {
    names.Check(ticket.removed_caller_groups[i], absl::StrCat("removed_caller_groups[", i, "]"));
  }
}

// nlohmann::json keeps only the last of several fields with the same name, so duplicates are
// detected during parsing.
nlohmann::json ParseWithoutDuplicates(std::string_view text, Findings& findings) {
  std::vector<std::set<std::string>> open_objects;
  const auto callback = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
    if (event == nlohmann::json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == nlohmann::json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == nlohmann::json::parse_event_t::key) {
      const auto& field = parsed.get_ref<const std::string&>();
      if (!open_objects.back().insert(field).second) {
        findings.Add(field, "the field occurs twice in one object");
      }
    }
    return true;
  };
  try {
    return nlohmann::json::parse(text, callback);
  } catch (const nlohmann::json::exception& error) {
    findings.Add("ticket", absl::StrCat("is not valid JSON: ", error.what()));
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

}  // namespace

std::optional<Ticket> ParseTicket(std::string_view text, Findings& findings) {
  Findings found;
  const nlohmann::json json = ParseWithoutDuplicates(text, found);
  Ticket ticket;
  if (!json.is_discarded()) {
    if (!json.is_object()) {
      found.Add("ticket", "must be a JSON object");
    }
    const nlohmann::json empty = nlohmann::json::object();
    ObjectReader reader(json.is_object() ? json : empty, "", found);
    ticket.number = reader.RequiredInteger("number", kTicketNumbers);
    ticket.id = reader.Name("id");
    ticket.author = reader.Text("author");
    reader.Objects("databases", [&](const nlohmann::json& item, const std::string& place) {
      ticket.databases.push_back(ReadDatabase(item, place, found));
    });
    reader.Objects("caller_groups", [&](const nlohmann::json& item, const std::string& place) {
      ticket.caller_groups.push_back(ReadCallerGroup(item, place, found));
    });
    ticket.removed_databases = reader.Names("removed_databases");
    ticket.removed_caller_groups = reader.Names("removed_caller_groups");
    reader.Finish();
    CheckDatabasesUnique(ticket, found);
    CheckCallerGroupsUnique(ticket, found);
    if (ticket.databases.empty() && ticket.caller_groups.empty() &&
        ticket.removed_databases.empty() && ticket.removed_caller_groups.empty()) {
      found.Add("ticket", "changes nothing: it lists no databases and no caller groups");
    }
  }
  for (const Finding& finding : found.Items()) {
    findings.Add(finding.place, finding.reason);
  }
  return found.Empty() ? std::optional<Ticket>(std::move(ticket)) : std::nullopt;
}

}  // namespace sycamoredrum
