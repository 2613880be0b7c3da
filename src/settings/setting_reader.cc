#include "sycamoredrum/setting_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <set>
#include <sstream>
#include <utility>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

namespace options = boost::program_options;

RawSettings Defaults(const std::vector<SettingInfo>& table) {
  RawSettings values;
  for (const SettingInfo& info : table) {
    values[info.flag] = RawSetting{info.default_value, "default of --" + std::string(info.flag)};
  }
  return values;
}

options::options_description Describe(const std::vector<SettingInfo>& table) {
  options::options_description description;
  for (const SettingInfo& info : table) {
    description.add_options()(info.flag, options::value<std::string>(), info.help);
  }
  return description;
}

void AddFile(const std::vector<SettingInfo>& table, const std::string& file, RawSettings& values,
             Findings& findings) {
  try {
    std::istringstream stream(file);
    const auto parsed = options::parse_config_file(stream, Describe(table));
    std::set<std::string> seen;
    for (const auto& option : parsed.options) {
      const std::string place = "settings file, " + option.string_key;
      if (!seen.insert(option.string_key).second) {
        findings.Add(place, "is given more than once");
      }
      values[option.string_key] = RawSetting{option.value.at(0), place};
    }
  } catch (const options::error& error) {
    findings.Add("settings file", error.what());
  }
}

void AddEnvironment(const std::vector<SettingInfo>& table, const EnvironmentReader& environment,
                    RawSettings& values) {
  for (const SettingInfo& info : table) {
    const std::string name = info.EnvironmentVariable();
    if (std::optional<std::string> text = environment(name)) {
      values[info.flag] = RawSetting{std::move(*text), name};
    }
  }
}

void AddFlags(const std::vector<SettingInfo>& table, const std::vector<std::string>& arguments,
              RawSettings& values, Findings& findings) {
  try {
    const auto parsed = options::command_line_parser(arguments)
                            .options(Describe(table))
                            .positional(options::positional_options_description())
                            .style(options::command_line_style::unix_style &
                                   ~options::command_line_style::allow_guessing)
                            .run();
    std::set<std::string> seen;
    for (const auto& option : parsed.options) {
      if (!seen.insert(option.string_key).second) {
        findings.Add("--" + option.string_key, "is given more than once");
      }
      values[option.string_key] = RawSetting{option.value.at(0), "--" + option.string_key};
    }
  } catch (const options::error& error) {
    findings.Add("command line", error.what());
  }
}

}  // namespace

std::string SettingInfo::EnvironmentVariable() const {
  return "SYCAMOREDRUM_" + absl::AsciiStrToUpper(absl::StrReplaceAll(this->flag, {{"-", "_"}}));
}

EnvironmentReader ProcessEnvironment() {
  return [](const std::string& name) -> std::optional<std::string> {
    const char* text = std::getenv(name.c_str());
    if (text == nullptr) {
      return std::nullopt;
    }
    return std::string(text);
  };
}

RawSettings CollectSettings(const std::vector<SettingInfo>& table,
                            const std::vector<std::string>& arguments,
                            const EnvironmentReader& environment,
                            const std::optional<std::string>& file, Findings& findings) {
  RawSettings values = Defaults(table);
  if (file) {
    AddFile(table, *file, values, findings);
  }
  AddEnvironment(table, environment, values);
  AddFlags(table, arguments, values, findings);
  return values;
}

std::string DescribeSettings(const std::vector<SettingInfo>& table) {
  std::string text;
  for (const SettingInfo& info : table) {
    const std::string default_text =
        *info.default_value == '\0' ? "" : fmt::format(" (default {})", info.default_value);
    text += fmt::format("  --{:<20} {}{}\n  {:<22} {}\n", info.flag, info.help, default_text, "",
                        info.EnvironmentVariable());
  }
  return text;
}

SettingReader::SettingReader(RawSettings values, Findings& findings)
    : values(std::move(values)), findings(findings) {}

std::string SettingReader::Text(const std::string& flag) {
  const auto found = this->values.find(flag);
  if (found == this->values.end() || found->second.text.empty()) {
    this->findings.Add("--" + flag, "is required");
    return "";
  }
  return found->second.text;
}

std::string SettingReader::Name(const std::string& flag) {
  std::string name = this->Text(flag);
  if (std::any_of(name.begin(), name.end(), absl::ascii_iscntrl)) {
    this->Add(flag, "must not have control characters");
  }
  return name;
}

Endpoint SettingReader::Address(const std::string& flag) {
  const std::string text = this->Text(flag);
  return text.empty() ? Endpoint{} : this->ParseAddress(flag, text);
}

std::vector<Endpoint> SettingReader::Addresses(const std::string& flag) {
  std::vector<Endpoint> endpoints;
  const std::vector<std::string> texts =
      absl::StrSplit(this->values[flag].text, ',', absl::SkipEmpty());
  endpoints.reserve(texts.size());
  for (const std::string& text : texts) {
    endpoints.push_back(this->ParseAddress(flag, text));
  }
  return endpoints;
}

Duration SettingReader::Time(const std::string& flag, Duration minimum, Duration maximum) {
  const std::string text = this->Text(flag);
  const std::optional<Duration> duration = ParseDuration(text);
  if (!duration) {
    this->Add(flag, fmt::format("\"{}\" is not a duration such as 100ms or 2s", text));
    return minimum;
  }
  if (*duration < minimum || *duration > maximum) {
    this->Add(flag, fmt::format("must be from {} to {}, not {}", FormatDuration(minimum),
                                FormatDuration(maximum), text));
    return minimum;
  }
  return *duration;
}

double SettingReader::Number(const std::string& flag, double minimum, double maximum) {
  double number = 0;
  const std::string text = this->Text(flag);
  if (!absl::SimpleAtod(text, &number) || !(number >= minimum && number <= maximum)) {
    this->Add(flag, fmt::format("\"{}\" is not a number from {} to {}", text, minimum, maximum));
    return minimum;
  }
  return number;
}

std::size_t SettingReader::Size(const std::string& flag, std::size_t minimum, std::size_t maximum) {
  static const std::map<std::string, std::uint64_t> units = {
      {"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}};
  const std::string text = this->Text(flag);
  const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
  const auto unit = units.find(text.substr(digits));
  std::uint64_t number = 0;
  if (unit == units.end() || !absl::SimpleAtoi(text.substr(0, digits), &number) ||
      number > maximum) {
    this->Add(flag, fmt::format("\"{}\" is not a size such as 64KiB or 1MiB", text));
    return minimum;
  }
  const std::size_t bytes = number * unit->second;
  if (bytes < minimum || bytes > maximum) {
    this->Add(flag, fmt::format("must be from {} to {} bytes, not {}", minimum, maximum, text));
    return minimum;
  }
  return bytes;
}

void SettingReader::RequireDistinct(
    const std::vector<std::pair<std::string, Endpoint>>& listeners) {
  std::map<Endpoint, std::string> used;
  for (const auto& [flag, endpoint] : listeners) {
    const auto [entry, inserted] = used.emplace(endpoint, flag);
    if (!inserted && endpoint.port != 0) {
      this->Add(flag, "is the same address as --" + entry->second);
    }
  }
}

void SettingReader::RequireMinimumBytes(const std::string& flag, const std::string& text,
                                        std::size_t min_bytes) {
  if (!text.empty() && text.size() < min_bytes) {
    this->Add(flag, fmt::format("must have at least {} bytes", min_bytes));
  }
}

void SettingReader::Add(const std::string& flag, const std::string& reason) {
  const auto found = this->values.find(flag);
  const bool known = found != this->values.end() && !found->second.place.empty();
  this->findings.Add(known ? found->second.place : "--" + flag, reason);
}

Endpoint SettingReader::ParseAddress(const std::string& flag, const std::string& text) {
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
  if (!endpoint) {
    this->Add(flag, fmt::format("\"{}\" is not an address of the form IP:PORT", text));
    return Endpoint{};
  }
  return *endpoint;
}

}  // namespace sycamoredrum
