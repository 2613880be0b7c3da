#include "sycamoredrum/relay_settings.h"

#include <fmt/format.h>

#include <map>
#include <utility>

namespace sycamoredrum {
namespace {

void CheckConsistency(const RelaySettings& settings, SettingReader& reader) {
  reader.RequireMinimumBytes("fleet-key", settings.fleet_key, RelaySettings::kMinFleetKeyBytes);
  reader.RequireDistinct({{"caller-address", settings.caller_address},
                          {"ready-address", settings.ready_address},
                          {"peer-address", settings.peer_address},
                          {"metrics-address", settings.metrics_address}});
}

void ReadCallerLimits(RelaySettings& settings, SettingReader& reader) {
  constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
  const Duration shortest = std::chrono::milliseconds(100);
  const Duration longest = std::chrono::hours(1);
  if (!reader.OptionalText("memory-limit").empty()) {
    settings.memory_limit =
        reader.Size("memory-limit", RelaySettings::kMinMemoryLimit, kMebibyte * kMebibyte);
  }
  settings.max_unopened_sessions =
      static_cast<std::size_t>(reader.Number("max-unopened-sessions", 1, 1e6));
  settings.max_http_connections =
      static_cast<std::size_t>(reader.Number("max-http-connections", 2, 1e6));
  settings.descriptor_reserve =
      static_cast<std::size_t>(reader.Number("descriptor-reserve", 1, 1e6));
  settings.open_session_timeout = reader.Time("open-session-timeout", shortest, longest);
  settings.message_progress_timeout = reader.Time("message-progress-timeout", shortest, longest);
  settings.answer_progress_timeout = reader.Time("answer-progress-timeout", shortest, longest);
}

}  // namespace

const std::vector<SettingInfo>& RelaySettingTable() {
  static const std::vector<SettingInfo> table = {
      {"member-id", "", "Unique name of this relay in the fleet, kept over restarts"},
      {"data-centre", "", "Data centre of this VM"},
      {"caller-address", "", "IP:PORT for callers' sessions"},
      {"ready-address", "", "IP:PORT at which the balancer asks for readiness (HTTP)"},
      {"peer-address", "", "IP:PORT for links from other relays"},
      {"metrics-address", "", "IP:PORT of the metrics (HTTP)"},
      {"store-address", "", "IP:PORT of the platform's store"},
      {"duty-address", "", "IP:PORT of the platform's calls for the leader"},
      {"seeds", "", "Peer addresses of other relays, separated by commas"},
      {"fleet-key", "", "Secret shared by all relays, at least 16 bytes"},
      {"log-level", "info", "debug, info, warning or error"},
      {"log-format", "text", "text or json"},
      {"max-sessions", "3500", "Callers' sessions at the same time; each takes a descriptor"},
      {"memory-limit", "", "Memory of the whole process; without it, what the system reports"},
      {"max-unopened-sessions", "1024", "Callers' connections that have not opened a session"},
      {"max-http-connections", "64", "Connections to the readiness and metrics ports, each"},
      {"descriptor-reserve", "384", "File descriptors that callers cannot use"},
      {"open-session-timeout", "10s", "Time from connecting to the first message of a caller"},
      {"message-progress-timeout", "15s", "Time in which 1 KiB of a caller's message must arrive"},
      {"answer-progress-timeout", "15s", "Time in which a caller must read 1 KiB of its answers"},
      {"processor-share", "1", "Part of a core that this VM gives the relay"},
      {"allowance-window", "5s", "Any window of this length holds an organisation's rate"},
      {"allowance-tolerance", "0.1", "Share by which a window may exceed rate and burst"},
      {"allowance-slack", "20", "Operations by which a window may exceed that as well"},
      {"stop-grace", "6s", "Time from SIGTERM to the forced end of the process"},
  };
  return table;
}

std::optional<RelaySettings> ParseRelaySettings(const std::vector<std::string>& arguments,
                                                const EnvironmentReader& environment,
                                                const std::optional<std::string>& file,
                                                Findings& findings) {
  RawSettings values = CollectSettings(RelaySettingTable(), arguments, environment, file, findings);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  SettingReader reader(std::move(values), findings);
  RelaySettings settings;
  settings.member_id = reader.Name("member-id");
  settings.data_centre = reader.Name("data-centre");
  settings.caller_address = reader.Address("caller-address");
  settings.ready_address = reader.Address("ready-address");
  settings.peer_address = reader.Address("peer-address");
  settings.metrics_address = reader.Address("metrics-address");
  settings.store_address = reader.Address("store-address");
  settings.duty_address = reader.Address("duty-address");
  settings.seeds = reader.Addresses("seeds");
  settings.fleet_key = reader.Text("fleet-key");
  settings.log_level = reader.Choice<LogLevel>("log-level", {{"debug", LogLevel::kDebug},
                                                             {"info", LogLevel::kInfo},
                                                             {"warning", LogLevel::kWarning},
                                                             {"error", LogLevel::kError}});
  settings.log_format = reader.Choice<LogFormat>(
      "log-format", {{"text", LogFormat::kText}, {"json", LogFormat::kJson}});
  settings.stop_grace =
      reader.Time("stop-grace", std::chrono::milliseconds(500), std::chrono::seconds(600));
  settings.processor_share = reader.Number("processor-share", 0.01, 1024);
  settings.max_sessions = static_cast<std::size_t>(reader.Number("max-sessions", 1, 1e6));
  settings.allowance.window =
      reader.Time("allowance-window", std::chrono::seconds(1), std::chrono::seconds(300));
  settings.allowance.tolerance = reader.Number("allowance-tolerance", 0, 10);
  settings.allowance.slack = reader.Number("allowance-slack", 0, 1e6);
  ReadCallerLimits(settings, reader);
  CheckConsistency(settings, reader);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace sycamoredrum
