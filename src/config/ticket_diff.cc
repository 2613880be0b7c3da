#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

#include "sycamoredrum/ticket.h"
#include "ticket_json.h"

namespace sycamoredrum {
namespace {

using FlatFields = std::map<std::string, std::string>;

// Field values by dotted path. Backend servers appear by id, not by index, so that the insertion of
// a server does not show all following ones as changed.
FlatFields Flatten(nlohmann::json json) {
  const auto servers = json.find("backend_servers");
  if (servers != json.end()) {
    nlohmann::json by_id = nlohmann::json::object();
    for (const nlohmann::json& server : *servers) {
      by_id[server.at("id").get<std::string>()] = server;
    }
    *servers = std::move(by_id);
  }
  if (json.contains("databases")) {
    json["databases"] = json["databases"].dump();
  }
  FlatFields fields;
  const nlohmann::json flat = json.flatten();
  for (const auto& item : flat.items()) {
    std::string path = item.key().substr(1);
    std::replace(path.begin(), path.end(), '/', '.');
    fields[path] = item.value().is_string() ? item.value().get<std::string>() : item.value().dump();
  }
  return fields;
}

// Adds the line of one field unless both values are equal. A null pointer means that the object has
// no such field.
void AddFieldLine(const std::string& object, const std::string& path, const std::string* before,
                  const std::string* after, std::vector<std::string>& lines) {
  if (before != nullptr && after != nullptr && *before == *after) {
    return;
  }
  if (path == "token_sha256") {
    lines.push_back(absl::StrCat(object, ": token_sha256 changed"));
    return;
  }
  lines.push_back(absl::StrCat(object, ": ", path, " ", before == nullptr ? "(none)" : *before,
                               " -> ", after == nullptr ? "(none)" : *after));
}

const std::string* FindField(const FlatFields& fields, const std::string& path) {
  const auto found = fields.find(path);
  return found == fields.end() ? nullptr : &found->second;
}

void AddObjectLines(const std::string& object, const FlatFields& before, const FlatFields& after,
                    std::vector<std::string>& lines) {
  const std::size_t lines_before = lines.size();
  FlatFields all = before;
  all.insert(after.begin(), after.end());
  for (const auto& field : all) {
    AddFieldLine(object, field.first, FindField(before, field.first), FindField(after, field.first),
                 lines);
  }
  if (lines.size() == lines_before) {
    lines.push_back(absl::StrCat(object, ": unchanged"));
  }
}

}  // namespace

std::vector<std::string> DiffTicket(const Ticket& ticket, const Configuration& configuration) {
  std::vector<std::string> lines;
  for (const DatabaseConfig& database : ticket.databases) {
    const std::string object = absl::StrCat("database ", database.name);
    const DatabaseConfig* before = configuration.FindDatabase(database.name);
    if (before == nullptr) {
      lines.push_back(absl::StrCat(object, ": added with ", database.backend_servers.size(),
                                   " backend servers"));
    } else {
      AddObjectLines(object, Flatten(DatabaseToJson(*before)), Flatten(DatabaseToJson(database)),
                     lines);
    }
  }
  for (const CallerGroupConfig& group : ticket.caller_groups) {
    const std::string object = absl::StrCat("caller group ", group.name);
    const CallerGroupConfig* before = configuration.FindCallerGroup(group.name);
    if (before == nullptr) {
      lines.push_back(absl::StrCat(object, ": added"));
    } else {
      AddObjectLines(object, Flatten(CallerGroupToJson(*before)), Flatten(CallerGroupToJson(group)),
                     lines);
    }
  }
  for (const std::string& name : ticket.removed_databases) {
    lines.push_back(absl::StrCat("database ", name, ": removed"));
  }
  for (const std::string& name : ticket.removed_caller_groups) {
    lines.push_back(absl::StrCat("caller group ", name, ": removed"));
  }
  return lines;
}

}  // namespace sycamoredrum
