#include <fmt/format.h>

#include <cstdio>

#include "commands.h"
#include "sycamoredrum/proxy.h"
#include "sycamoredrum/settings.h"

namespace sycamoredrum {

int RunProxyCommand(const std::vector<std::string>& arguments) {
  if (WantsHelp(arguments)) {
    fmt::print("Usage: sycamoredrum proxy [--SETTING=VALUE ...]\n\nRuns the proxy daemon.\n\n{}",
               DescribeSettings());
    return kExitOk;
  }
  Findings findings;
  const auto settings = ParseProxySettings(arguments, ProcessEnvironment(), findings);
  if (!settings) {
    fmt::print(stderr, "{}\n", findings.ToString());
    return kExitUsage;
  }
  Proxy proxy(*settings);
  if (!proxy.Start()) {
    fmt::print(stderr, "cannot start: {}\n", proxy.LastReason());
    return kExitFailure;
  }
  proxy.Run();
  return kExitOk;
}

}  // namespace sycamoredrum
