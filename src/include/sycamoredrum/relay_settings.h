#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/allowance.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/finding.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/setting_reader.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Settings of `sycamoredrum relay`. Flags override environment variables, environment variables
/// override the settings file, and the file overrides the defaults.
struct RelaySettings {
  std::string member_id;  ///< Unique in the fleet; unchanged by a restart.
  std::string data_centre;
  Endpoint caller_address;   ///< Listens for callers' sessions.
  Endpoint ready_address;    ///< HTTP readiness check of the load balancer.
  Endpoint peer_address;     ///< Listens for links from other relays.
  Endpoint metrics_address;  ///< HTTP, Prometheus text format.
  Endpoint store_address;    ///< The platform's coordination store.
  Endpoint duty_address;     ///< Platform service that the leader calls to promote servers.
  /// Peer addresses of other relays, used while the store is unreachable.
  std::vector<Endpoint> seeds;
  std::string fleet_key;  ///< Secret shared by all relays.
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
  Duration stop_grace = std::chrono::seconds(6);  ///< From the stop signal to the forced exit.
  double processor_share = 1;  ///< Fraction of a CPU core that the process gets on this VM.
  /// Limit of concurrent callers' sessions; each uses a file descriptor.
  std::size_t max_sessions = 3500;
  AllowanceOptions allowance;  ///< How strictly the organisations' rates hold.
  /// Memory of the whole process in bytes; 0: what the operating system reports.
  std::size_t memory_limit = 0;
  std::size_t max_unopened_sessions = 1024;  ///< Callers' connections without a session.
  std::size_t max_http_connections = 64;     ///< On the readiness and metrics ports, each.
  /// File descriptors that are kept for everything but callers.
  std::size_t descriptor_reserve = 384;
  Duration open_session_timeout = std::chrono::seconds(10);
  Duration message_progress_timeout = std::chrono::seconds(15);
  Duration answer_progress_timeout = std::chrono::seconds(15);

  static constexpr std::size_t kMinFleetKeyBytes = 16;
  /// In bytes. Below it, too little is left for callers.
  static constexpr std::size_t kMinMemoryLimit = std::size_t{40} * 1024 * 1024;
};

/// Names, defaults and descriptions of all settings.
const std::vector<SettingInfo>& RelaySettingTable();

/// Parses the arguments, the environment and the text of a settings file. Adds every error with its
/// source to `findings` and returns nothing if there is any.
std::optional<RelaySettings> ParseRelaySettings(const std::vector<std::string>& arguments,
                                                const EnvironmentReader& environment,
                                                const std::optional<std::string>& file,
                                                Findings& findings);

}  // namespace sycamoredrum
