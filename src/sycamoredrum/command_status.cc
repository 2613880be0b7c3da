#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "admin_call.h"
#include "command_line.h"
#include "commands.h"
#include "text_table.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;

std::string NumberText(const json& object, const char* field) {
  return object.contains(field) ? object.at(field).dump() : "-";
}

std::string LagText(const json& server, const json* primary) {
  if (primary == nullptr || !primary->contains("last_index") || !server.contains("last_index")) {
    return "-";
  }
  const auto ahead = primary->at("last_index").get<std::int64_t>();
  const auto own = server.at("last_index").get<std::int64_t>();
  return std::to_string(std::max<std::int64_t>(0, ahead - own));
}

const json* FindPrimary(const json& database) {
  for (const json& server : database.at("backend_servers")) {
    if (server.value("backend_server", "") == database.value("primary", "")) {
      return &server;
    }
  }
  return nullptr;
}

void PrintMembers(const json& status) {
  TextTable table({"MEMBER", "DATA CENTRE", "STATE", "PEER ADDRESS"});
  for (const json& member : status.at("members")) {
    table.AddRow({member.value("member", ""), member.value("data_centre", ""),
                  member.value("state", ""), member.value("peer_address", "")});
  }
  fmt::print("{}", table.ToString(2));
}

void PrintDatabases(const json& status) {
  TextTable databases({"DATABASE", "PRIMARY", "TERM", "PROOF AGE MS"});
  TextTable servers({"DATABASE", "BACKEND SERVER", "REACHABLE", "ROLE", "TERM", "LAG ENTRIES",
                     "OBSERVED MS AGO"});
  for (const json& database : status.at("databases")) {
    const std::string name = database.value("database", "");
    const std::string primary = database.value("primary", "");
    databases.AddRow({name, primary.empty() ? "unknown" : primary, NumberText(database, "term"),
                      NumberText(database, "proof_age_ms")});
    const json* primary_server = FindPrimary(database);
    for (const json& server : database.at("backend_servers")) {
      servers.AddRow({name, server.value("backend_server", ""),
                      server.value("reachable", false) ? "yes" : "no", server.value("role", "-"),
                      NumberText(server, "term"), LagText(server, primary_server),
                      NumberText(server, "observed_ms_ago")});
    }
  }
  fmt::print("\n{}\n{}", databases.ToString(2), servers.ToString(2));
}

void PrintPools(const json& status) {
  TextTable table({"POOL OF", "LIMIT", "LEASED", "IDLE", "OPENING", "WAITING"});
  for (const json& pool : status.at("pools")) {
    table.AddRow({pool.value("backend_server", ""), NumberText(pool, "limit"),
                  NumberText(pool, "leased"), NumberText(pool, "idle"), NumberText(pool, "opening"),
                  NumberText(pool, "waiting")});
  }
  fmt::print("\n{}", table.ToString(2));
}

void PrintStatus(const Endpoint& proxy, const json& status) {
  fmt::print("{} ({}, {}): {}, configuration {}, {} requests in progress\n",
             status.value("member", ""), proxy.ToString(), status.value("data_centre", ""),
             status.value("ready", false) ? "ready" : "not ready",
             NumberText(status, "configuration_number"),
             NumberText(status, "requests_in_progress"));
  PrintMembers(status);
  PrintDatabases(status);
  PrintPools(status);
}

}  // namespace

int RunStatusCommand(const std::vector<std::string>& arguments) {
  CommandLine line("status --admin-address=IP:PORT[,IP:PORT ...] [--json]",
                   "Shows each proxy's configuration number in force, members, databases, replica "
                   "lag and pools. Fails if one of the proxies cannot be reached.");
  line.AddRepeatedText("admin-address", "Admin ports of proxies, repeated or separated by commas")
      .AddSwitch("json", "Print a JSON list with one object for each proxy");
  if (const std::optional<int> exit_code = line.Parse(arguments)) {
    return *exit_code;
  }
  Findings findings;
  const std::vector<Endpoint> proxies = line.Addresses("admin-address", findings);
  if (!line.PositionalArguments().empty()) {
    findings.Add("command line", "status takes no words");
  }
  if (!findings.Empty()) {
    return line.ReportUsage(findings);
  }
  int exit_code = kExitOk;
  json all = json::array();
  for (const Endpoint& proxy : proxies) {
    const AdminCallResult result = CallAdmin(proxy, "GET", "/v1/status");
    json entry = {{"admin_address", proxy.ToString()}};
    if (result.status != AdminCallStatus::kAnswered) {
      fmt::print(stderr, "{}\n", result.message);
      entry["error"] = result.message;
      exit_code = kExitFailure;
    } else {
      entry["status"] = json::parse(result.body);
    }
    if (!line.Has("json") && entry.contains("status")) {
      fmt::print("{}", all.empty() ? "" : "\n");
      PrintStatus(proxy, entry["status"]);
    }
    all.push_back(std::move(entry));
  }
  if (line.Has("json")) {
    fmt::print("{}\n", all.dump());
  }
  return exit_code;
}

}  // namespace sycamoredrum
