#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "commands.h"

namespace sycamoredrum {
namespace {

struct Command {
  const char* name;
  const char* help;
  std::function<int(const std::vector<std::string>&)> run;
};

const std::vector<Command>& CommandTable() {
  static const std::vector<Command> table = {
      {"proxy", "Runs the proxy daemon", RunProxyCommand},
      {"relay", "Runs the relay daemon for callers with sessions and transactions",
       RunRelayCommand},
      {"check", "Checks settings and a ticket file without starting anything", RunCheckCommand},
      {"ticket", "Applies, compares, shows and lists change tickets", RunTicketCommand},
      {"status", "Shows the state of proxies", RunStatusCommand},
      {"route", "Shows where a caller group's requests go", RunRouteCommand},
      {"drain", "Starts the graceful shutdown of a proxy", RunDrainCommand},
      {"version", "Prints the version", RunVersionCommand},
  };
  return table;
}

void PrintHelp(std::FILE* output) {
  fmt::print(output, "Usage: sycamoredrum COMMAND [ARGUMENT ...]\n\nCommands:\n");
  for (const Command& command : CommandTable()) {
    fmt::print(output, "  {:<10} {}\n", command.name, command.help);
  }
  fmt::print(output, "  {:<10} {}\n", "help", "Prints this text");
  fmt::print(output, "\n\"sycamoredrum COMMAND --help\" describes a command.\n");
}

int Dispatch(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    PrintHelp(stderr);
    return kExitUsage;
  }
  if (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
    PrintHelp(stdout);
    return kExitOk;
  }
  for (const Command& command : CommandTable()) {
    if (arguments[0] == command.name) {
      return command.run({arguments.begin() + 1, arguments.end()});
    }
  }
  fmt::print(stderr, "there is no command \"{}\"\n", arguments[0]);
  PrintHelp(stderr);
  return kExitUsage;
}

}  // namespace

bool WantsHelp(const std::vector<std::string>& arguments) {
  return std::any_of(arguments.begin(), arguments.end(), [](const std::string& argument) {
    return argument == "--help" || argument == "-h";
  });
}

}  // namespace sycamoredrum

int main(int argc, char** argv) {
  return sycamoredrum::Dispatch(std::vector<std::string>(argv + 1, argv + argc));
}
