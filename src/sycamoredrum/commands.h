#pragma once

#include <string>
#include <vector>

namespace sycamoredrum {

/// Exit codes of the command line, as documented in docs/operators/command-line.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;   ///< The command ran and failed.
inline constexpr int kExitUsage = 2;     ///< Flags, settings or a ticket are invalid.
inline constexpr int kExitConflict = 3;  ///< The number is taken, or the preceding one is missing.
inline constexpr int kExitUnknown = 4;   ///< The outcome is unknown; repeating the command is safe.

/// True if the arguments contain --help or -h.
bool WantsHelp(const std::vector<std::string>& arguments);

/// Each runs a subcommand with the arguments after its name and returns an exit code.
int RunCheckCommand(const std::vector<std::string>& arguments);
int RunDrainCommand(const std::vector<std::string>& arguments);
int RunProxyCommand(const std::vector<std::string>& arguments);
int RunRelayCommand(const std::vector<std::string>& arguments);
int RunRouteCommand(const std::vector<std::string>& arguments);
int RunStatusCommand(const std::vector<std::string>& arguments);
int RunTicketCommand(const std::vector<std::string>& arguments);
int RunVersionCommand(const std::vector<std::string>& arguments);

}  // namespace sycamoredrum
