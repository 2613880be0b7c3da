#include "sycamoredrum/settings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <map>
#include <set>
#include <utility>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

namespace options = boost::program_options;

constexpr std::size_t kMinRequestBytes = 1024;
// A request travels in one peer frame.
constexpr std::size_t kMaxRequestBytes = std::size_t{4} * 1024 * 1024;

// A setting's text and where it came from.
struct RawValue {
  std::string text;
  std::string place;
};

using RawValues = std::map<std::string, RawValue>;

class Reader {
 public:
  Reader(RawValues values, Findings& findings) : values(std::move(values)), findings(findings) {}

  std::string Text(const std::string& flag) {
    const auto found = this->values.find(flag);
    if (found == this->values.end() || found->second.text.empty()) {
      this->findings.Add("--" + flag, "is required");
      return "";
    }
    return found->second.text;
  }

  Endpoint Address(const std::string& flag) {
    const std::string text = this->Text(flag);
    return text.empty() ? Endpoint{} : this->ParseAddress(flag, text);
  }

  std::vector<Endpoint> Addresses(const std::string& flag) {
    std::vector<Endpoint> endpoints;
    const std::vector<std::string> texts =
        absl::StrSplit(this->values[flag].text, ',', absl::SkipEmpty());
    endpoints.reserve(texts.size());
    for (const std::string& text : texts) {
      endpoints.push_back(this->ParseAddress(flag, text));
    }
    return endpoints;
  }

  Duration Time(const std::string& flag, Duration minimum, Duration maximum) {
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

  double Number(const std::string& flag, double minimum, double maximum) {
    double number = 0;
    const std::string text = this->Text(flag);
    if (!absl::SimpleAtod(text, &number) || !(number >= minimum && number <= maximum)) {
      this->Add(flag, fmt::format("\"{}\" is not a number from {} to {}", text, minimum, maximum));
      return minimum;
    }
    return number;
  }

  std::size_t Size(const std::string& flag, std::size_t minimum, std::size_t maximum) {
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

  template <typename Value>
  Value Choice(const std::string& flag, const std::map<std::string, Value>& choices) {
    const std::string text = this->Text(flag);
    const auto found = choices.find(text);
    if (found != choices.end()) {
      return found->second;
    }
    std::string names;
    for (const auto& choice : choices) {
      names += (names.empty() ? "" : ", ") + choice.first;
    }
    this->Add(flag, fmt::format("\"{}\" is not one of {}", text, names));
    return choices.begin()->second;
  }

  void Add(const std::string& flag, const std::string& reason) {
    const auto found = this->values.find(flag);
    const bool known = found != this->values.end() && !found->second.place.empty();
    this->findings.Add(known ? found->second.place : "--" + flag, reason);
  }

 private:
  Endpoint ParseAddress(const std::string& flag, const std::string& text) {
    const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      this->Add(flag, fmt::format("\"{}\" is not an address of the form IP:PORT", text));
      return Endpoint{};
    }
    return *endpoint;
  }

  RawValues values;
  Findings& findings;
};

RawValues Defaults() {
  RawValues values;
  for (const SettingInfo& info : SettingTable()) {
    values[info.flag] = RawValue{info.default_value, "default of --" + std::string(info.flag)};
  }
  return values;
}

void AddEnvironment(const EnvironmentReader& environment, RawValues& values) {
  for (const SettingInfo& info : SettingTable()) {
    const std::string name = info.EnvironmentVariable();
    if (std::optional<std::string> text = environment(name)) {
      values[info.flag] = RawValue{std::move(*text), name};
    }
  }
}

void AddFlags(const std::vector<std::string>& arguments, RawValues& values, Findings& findings) {
  options::options_description description;
  for (const SettingInfo& info : SettingTable()) {
    description.add_options()(info.flag, options::value<std::string>(), info.help);
  }
  try {
    const auto parsed = options::command_line_parser(arguments)
                            .options(description)
                            .positional(options::positional_options_description())
                            .style(options::command_line_style::unix_style &
                                   ~options::command_line_style::allow_guessing)
                            .run();
    std::set<std::string> seen;
    for (const auto& option : parsed.options) {
      if (!seen.insert(option.string_key).second) {
        findings.Add("--" + option.string_key, "is given more than once");
      }
      values[option.string_key] = RawValue{option.value.at(0), "--" + option.string_key};
    }
  } catch (const options::error& error) {
    findings.Add("command line", error.what());
  }
}

ProxySettings ReadSettings(Reader& reader) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  ProxySettings settings;
  settings.member_id = reader.Text("member-id");
  settings.data_centre = reader.Text("data-centre");
  settings.caller_address = reader.Address("caller-address");
  settings.peer_address = reader.Address("peer-address");
  settings.membership_address = reader.Address("membership-address");
  settings.admin_address = reader.Address("admin-address");
  settings.platform_address = reader.Address("platform-address");
  settings.seeds = reader.Addresses("seeds");
  settings.fleet_key = reader.Text("fleet-key");
  settings.log_level = reader.Choice<LogLevel>("log-level", {{"debug", LogLevel::kDebug},
                                                             {"info", LogLevel::kInfo},
                                                             {"warning", LogLevel::kWarning},
                                                             {"error", LogLevel::kError}});
  settings.log_format = reader.Choice<LogFormat>(
      "log-format", {{"text", LogFormat::kText}, {"json", LogFormat::kJson}});
  settings.trace_output = reader.Choice<TraceOutput>(
      "trace-output", {{"none", TraceOutput::kNone}, {"stderr", TraceOutput::kStandardError}});
  settings.trace_sample_ratio = reader.Number("trace-sample-ratio", 0, 1);
  settings.workers = static_cast<int>(reader.Number("workers", 1, 256));
  settings.probe_interval = reader.Time("probe-interval", milliseconds(20), seconds(1));
  settings.drain_delay = reader.Time("drain-delay", milliseconds(0), seconds(60));
  settings.default_deadline = reader.Time("default-deadline", milliseconds(10), seconds(60));
  settings.max_deadline = reader.Time("max-deadline", milliseconds(10), seconds(300));
  settings.max_request_bytes = reader.Size("max-request-bytes", kMinRequestBytes, kMaxRequestBytes);
  settings.max_connections = static_cast<std::size_t>(reader.Number("max-connections", 1, 1e6));
  return settings;
}

void CheckConsistency(const ProxySettings& settings, Reader& reader) {
  if (!settings.fleet_key.empty() && settings.fleet_key.size() < ProxySettings::kMinFleetKeyBytes) {
    reader.Add("fleet-key",
               fmt::format("must have at least {} bytes", ProxySettings::kMinFleetKeyBytes));
  }
  if (settings.default_deadline > settings.max_deadline) {
    reader.Add("default-deadline", "is longer than --max-deadline");
  }
  const std::pair<const char*, Endpoint> listeners[] = {{"caller-address", settings.caller_address},
                                                        {"peer-address", settings.peer_address},
                                                        {"admin-address", settings.admin_address}};
  std::map<Endpoint, std::string> used;
  for (const auto& [flag, endpoint] : listeners) {
    const auto [entry, inserted] = used.emplace(endpoint, flag);
    if (!inserted && endpoint.port != 0) {
      reader.Add(flag, "is the same address as --" + entry->second);
    }
  }
}

}  // namespace

std::string SettingInfo::EnvironmentVariable() const {
  return "SYCAMOREDRUM_" + absl::AsciiStrToUpper(absl::StrReplaceAll(this->flag, {{"-", "_"}}));
}

const std::vector<SettingInfo>& SettingTable() {
  static const std::vector<SettingInfo> table = {
      {"member-id", "", "Unique name of this proxy in the fleet"},
      {"data-centre", "", "Data centre of this VM"},
      {"caller-address", "", "IP:PORT for callers (HTTP)"},
      {"peer-address", "", "IP:PORT for links from other proxies"},
      {"membership-address", "", "IP:PORT for membership datagrams (UDP)"},
      {"admin-address", "", "IP:PORT for operators (HTTP)"},
      {"platform-address", "", "IP:PORT of the platform's key-value service"},
      {"seeds", "", "Membership addresses of other proxies, separated by commas"},
      {"fleet-key", "", "Secret shared by all proxies, at least 16 bytes; prefer the environment"},
      {"log-level", "info", "debug, info, warning or error"},
      {"log-format", "text", "text or json"},
      {"trace-output", "none", "none or stderr (JSON lines)"},
      {"trace-sample-ratio", "0.01", "Share of traces that are recorded, 0 to 1"},
      {"workers", "4", "Worker threads, 1 to 256"},
      {"probe-interval", "100ms", "Time between probe rounds of a watched database, 20ms to 1s"},
      {"drain-delay", "2s", "Time between SIGTERM and the end of accepting, for the balancer"},
      {"default-deadline", "2s", "Deadline of requests that name none"},
      {"max-deadline", "30s", "Greatest deadline that a request may name"},
      {"max-request-bytes", "1MiB", "Greatest body of a caller's request, 1KiB to 4MiB"},
      {"max-connections", "10000", "Callers' connections accepted at the same time"},
  };
  return table;
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

std::optional<ProxySettings> ParseProxySettings(const std::vector<std::string>& arguments,
                                                const EnvironmentReader& environment,
                                                Findings& findings) {
  RawValues values = Defaults();
  AddEnvironment(environment, values);
  AddFlags(arguments, values, findings);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  Reader reader(std::move(values), findings);
  ProxySettings settings = ReadSettings(reader);
  CheckConsistency(settings, reader);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  return settings;
}

std::string DescribeSettings() {
  std::string text;
  for (const SettingInfo& info : SettingTable()) {
    const std::string default_text =
        *info.default_value == '\0' ? "" : fmt::format(" (default {})", info.default_value);
    text += fmt::format("  --{:<20} {}{}\n  {:<22} {}\n", info.flag, info.help, default_text, "",
                        info.EnvironmentVariable());
  }
  return text;
}

}  // namespace sycamoredrum
