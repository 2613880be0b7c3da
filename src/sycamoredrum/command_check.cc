#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "command_line.h"
#include "commands.h"
#include "sycamoredrum/settings.h"
#include "ticket_file.h"

namespace sycamoredrum {
namespace {

namespace options = boost::program_options;

// Arguments of `check`. `settings` has the flags that are settings of the proxy.
struct CheckArguments {
  std::vector<std::string> settings;
  std::vector<std::string> tickets;
  bool settings_switch = false;
  bool json = false;
};

options::options_description Describe() {
  options::options_description description;
  description.add_options()("ticket", options::value<std::string>())("settings", "")("json", "");
  for (const SettingInfo& info : SettingTable()) {
    description.add_options()(info.flag, options::value<std::string>(), info.help);
  }
  return description;
}

void AddOption(const options::option& option, CheckArguments& arguments, Findings& findings) {
  if (option.position_key >= 0) {
    findings.Add("command line", fmt::format("unexpected word \"{}\"", option.value.at(0)));
  } else if (option.unregistered) {
    findings.Add("--" + option.string_key, "is not a setting of the proxy or a flag of check");
  } else if (option.string_key == "ticket") {
    arguments.tickets.push_back(option.value.at(0));
  } else if (option.string_key == "settings") {
    arguments.settings_switch = true;
  } else if (option.string_key == "json") {
    arguments.json = true;
  } else {
    arguments.settings.push_back(fmt::format("--{}={}", option.string_key, option.value.at(0)));
  }
}

CheckArguments ParseArguments(const std::vector<std::string>& words, Findings& findings) {
  CheckArguments arguments;
  const options::options_description description = Describe();
  try {
    const auto parsed = options::command_line_parser(words)
                            .options(description)
                            .allow_unregistered()
                            .style(options::command_line_style::unix_style &
                                   ~options::command_line_style::allow_guessing)
                            .run();
    for (const options::option& option : parsed.options) {
      AddOption(option, arguments, findings);
    }
  } catch (const options::error& error) {
    findings.Add("command line", error.what());
  }
  return arguments;
}

void PrintJson(const Findings& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : findings.Items()) {
    list.push_back({{"place", finding.place}, {"reason", finding.reason}});
  }
  const nlohmann::json json = {{"valid", findings.Empty()}, {"findings", list}};
  fmt::print("{}\n", json.dump());
}

void PrintHelp() {
  fmt::print(
      "Usage: sycamoredrum check [--ticket=FILE] [--settings] [--SETTING=VALUE ...] [--json]\n\n"
      "Checks the settings of a proxy, from flags and environment, and a ticket file, without\n"
      "starting or writing anything, and reports all findings together. The settings are checked\n"
      "unless --ticket is the only flag; --settings adds settings that are only in the\n"
      "environment. \"ticket diff\" checks a ticket against the accepted ones.\n\n{}",
      DescribeSettings());
}

}  // namespace

int RunCheckCommand(const std::vector<std::string>& words) {
  if (WantsHelp(words)) {
    PrintHelp();
    return kExitOk;
  }
  Findings findings;
  const CheckArguments arguments = ParseArguments(words, findings);
  if (arguments.tickets.empty() || arguments.settings_switch || !arguments.settings.empty()) {
    ParseProxySettings(arguments.settings, ProcessEnvironment(), findings);
  }
  for (const std::string& path : arguments.tickets) {
    ReadTicketFile(path, findings);
  }
  if (arguments.json) {
    PrintJson(findings);
  } else if (findings.Empty()) {
    fmt::print("valid\n");
  }
  if (!findings.Empty()) {
    fmt::print(stderr, "{}\n", findings.ToString());
    return kExitUsage;
  }
  return kExitOk;
}

}  // namespace sycamoredrum
