#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "adapter.h"
#include "commands.h"
#include "sycamoredrum/relay_daemon.h"
#include "sycamoredrum/relay_settings.h"

namespace sycamoredrum {
namespace {

std::optional<std::string> ReadFile(const std::string& path, Findings& findings) {
  if (path.empty()) {
    return std::nullopt;
  }
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    findings.Add(path, "cannot be read");
    return std::nullopt;
  }
  return text.str();
}

// Reads the relay's settings from flags, the environment and a file, whose changes it detects.
class SettingsFile {
 public:
  SettingsFile(std::string path, std::vector<std::string> arguments)
      : path(std::move(path)), arguments(std::move(arguments)) {}

  std::optional<RelaySettings> Read(Findings& findings) {
    this->text = ReadFile(this->path, findings);
    if (!findings.Empty()) {
      return std::nullopt;
    }
    return ParseRelaySettings(this->arguments, ProcessEnvironment(), this->text, findings);
  }

  // Returns the new settings if the file has changed and they are valid. `problems` receives the
  // text of all findings.
  std::optional<RelaySettings> ReadIfChanged(std::string& problems) {
    Findings findings;
    const std::optional<std::string> current = ReadFile(this->path, findings);
    if (findings.Empty() && current == this->text) {
      return std::nullopt;
    }
    this->text = current;
    std::optional<RelaySettings> settings;
    if (findings.Empty()) {
      settings = ParseRelaySettings(this->arguments, ProcessEnvironment(), current, findings);
    }
    problems = findings.ToString();
    return settings;
  }

 private:
  const std::string path;
  const std::vector<std::string> arguments;
  std::optional<std::string> text;
};

}  // namespace

int RunRelayCommand(const std::vector<std::string>& arguments) {
  if (WantsHelp(arguments)) {
    fmt::print("Usage: sycamoredrum relay [--SETTING=VALUE ...]\n\nRuns the relay daemon.\n\n{}",
               DescribeSettings(RelaySettingTable()));
    return kExitOk;
  }
  SettingsFile file(platform::SettingsFilePath(), arguments);
  Findings findings;
  const std::optional<RelaySettings> settings = file.Read(findings);
  if (!settings) {
    fmt::print(stderr, "{}\n", findings.ToString());
    return kExitUsage;
  }
  RelayDaemon daemon(
      *settings,
      [](EventLoop& loop, Metrics& metrics, const RelaySettings& in_use) {
        return platform::MakePlatform(loop, in_use.store_address, in_use.duty_address, metrics);
      },
      [&file](std::string& problems) { return file.ReadIfChanged(problems); });
  if (!daemon.Start()) {
    fmt::print(stderr, "cannot start: {}\n", daemon.LastReason());
    return kExitFailure;
  }
  daemon.Run();
  return kExitOk;
}

}  // namespace sycamoredrum
