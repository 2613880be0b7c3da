#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "command_line.h"
#include "commands.h"

namespace sycamoredrum {

int RunVersionCommand(const std::vector<std::string>& arguments) {
  CommandLine line("version [--json]", "Prints the version.");
  line.AddSwitch("json", "Print JSON");
  if (const std::optional<int> exit_code = line.Parse(arguments)) {
    return *exit_code;
  }
  if (!line.PositionalArguments().empty()) {
    Findings findings;
    findings.Add("command line", "version takes no words");
    return line.ReportUsage(findings);
  }
  if (line.Has("json")) {
    const nlohmann::json json = {{"version", SYCAMOREDRUM_VERSION}};
    fmt::print("{}\n", json.dump());
  } else {
    fmt::print("sycamoredrum {}\n", SYCAMOREDRUM_VERSION);
  }
  return kExitOk;
}

}  // namespace sycamoredrum
