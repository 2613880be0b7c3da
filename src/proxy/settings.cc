#include "sycamoredrum/settings.h"

#include <fmt/format.h>

#include <map>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr std::size_t kMinRequestBytes = 1024;
// A request has to fit into one peer frame.
constexpr std::size_t kMaxRequestBytes = std::size_t{4} * 1024 * 1024;

ProxySettings ReadSettings(SettingReader& reader) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  ProxySettings settings;
  settings.member_id = reader.Name("member-id");
  settings.data_centre = reader.Name("data-centre");
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

void CheckConsistency(const ProxySettings& settings, SettingReader& reader) {
  reader.RequireMinimumBytes("fleet-key", settings.fleet_key, ProxySettings::kMinFleetKeyBytes);
  if (settings.default_deadline > settings.max_deadline) {
    reader.Add("default-deadline", "is longer than --max-deadline");
  }
  reader.RequireDistinct({{"caller-address", settings.caller_address},
                          {"peer-address", settings.peer_address},
                          {"admin-address", settings.admin_address}});
}

}  // namespace

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

std::optional<ProxySettings> ParseProxySettings(const std::vector<std::string>& arguments,
                                                const EnvironmentReader& environment,
                                                Findings& findings) {
  RawSettings values =
      CollectSettings(SettingTable(), arguments, environment, std::nullopt, findings);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  SettingReader reader(std::move(values), findings);
  ProxySettings settings = ReadSettings(reader);
  CheckConsistency(settings, reader);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  return settings;
}

std::string DescribeSettings() { return DescribeSettings(SettingTable()); }

}  // namespace sycamoredrum
