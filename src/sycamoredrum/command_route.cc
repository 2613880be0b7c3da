#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "admin_call.h"
#include "command_line.h"
#include "commands.h"
#include "sycamoredrum/http.h"
#include "text_table.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;

void PrintRoute(const json& route) {
  fmt::print("caller group   {}\n", route.value("caller_group", ""));
  fmt::print("database       {}\n", route.value("database", ""));
  fmt::print("may reach it   {}\n", route.value("may_reach", false) ? "yes" : "no");
  fmt::print("max read age   {}\n", route.value("max_read_age", ""));
  if (!route.contains("reads")) {
    fmt::print("route          {}\n", route.value("reason", "unknown"));
    return;
  }
  fmt::print("writes go to   {}\n", route.value("writes", ""));
  fmt::print("reads require  {}\n", route.value("require", ""));
  fmt::print("why primary    {}\n", route.value("primary_reason", ""));
  TextTable table({"READS GO TO", "WAIT MS", "HOLDERS"});
  for (const json& read : route.at("reads")) {
    table.AddRow({read.value("backend_server", ""), std::to_string(read.value("wait_ms", 0)),
                  absl::StrJoin(read.value("holders", std::vector<std::string>()), ", ")});
  }
  fmt::print("{}", table.ToString());
}

}  // namespace

int RunRouteCommand(const std::vector<std::string>& arguments) {
  CommandLine line(
      "route --caller-group=GROUP --database=DATABASE --admin-address=IP:PORT [--json]",
      "Shows where one proxy would send the group's requests to the database now.");
  line.AddText("caller-group", "Name of the caller group")
      .AddText("database", "Name of the database")
      .AddText("admin-address", "Admin port of the proxy")
      .AddSwitch("json", "Print the proxy's JSON");
  if (const std::optional<int> exit_code = line.Parse(arguments)) {
    return *exit_code;
  }
  Findings findings;
  const std::string group = line.RequiredText("caller-group", findings);
  const std::string database = line.RequiredText("database", findings);
  const Endpoint proxy = line.Address("admin-address", findings);
  if (!line.PositionalArguments().empty()) {
    findings.Add("command line", "route takes no words");
  }
  if (!findings.Empty()) {
    return line.ReportUsage(findings);
  }
  const std::string target = fmt::format("/v1/route?caller_group={}&database={}",
                                         PercentEncode(group), PercentEncode(database));
  const AdminCallResult result = CallAdmin(proxy, "GET", target);
  if (result.status != AdminCallStatus::kAnswered) {
    fmt::print(stderr, "{}\n", result.message);
  } else if (line.Has("json")) {
    fmt::print("{}\n", result.body);
  } else {
    PrintRoute(json::parse(result.body));
  }
  return ExitCodeOf(result.status);
}

}  // namespace sycamoredrum
