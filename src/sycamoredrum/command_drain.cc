#include <fmt/format.h>

#include <cstdio>

#include "admin_call.h"
#include "command_line.h"
#include "commands.h"

namespace sycamoredrum {

int RunDrainCommand(const std::vector<std::string>& arguments) {
  CommandLine line("drain --admin-address=IP:PORT [--json]",
                   "Starts the graceful shutdown of one proxy, as SIGTERM does, and does not wait "
                   "for its end.");
  line.AddText("admin-address", "Admin port of the proxy").AddSwitch("json", "Print JSON");
  if (const std::optional<int> exit_code = line.Parse(arguments)) {
    return *exit_code;
  }
  Findings findings;
  const Endpoint proxy = line.Address("admin-address", findings);
  if (!line.PositionalArguments().empty()) {
    findings.Add("command line", "drain takes no words");
  }
  if (!findings.Empty()) {
    return line.ReportUsage(findings);
  }
  const AdminCallResult result = CallAdmin(proxy, "POST", "/v1/drain");
  if (result.status != AdminCallStatus::kAnswered) {
    fmt::print(stderr, "{}\n", result.message);
  } else if (line.Has("json")) {
    fmt::print("{}\n", result.body);
  } else {
    fmt::print("{}: draining\n", proxy.ToString());
  }
  return ExitCodeOf(result.status);
}

}  // namespace sycamoredrum
