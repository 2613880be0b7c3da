#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/finding.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/setting_reader.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Output for finished trace spans.
enum class TraceOutput { kNone, kStandardError };

/// Settings of the proxy daemon. Flags take precedence over environment variables, and these over
/// defaults.
struct ProxySettings {
  std::string member_id;  ///< Unique in the fleet.
  std::string data_centre;
  Endpoint caller_address;      ///< HTTP port for callers.
  Endpoint peer_address;        ///< Port for peer links from other proxies.
  Endpoint membership_address;  ///< UDP port for membership datagrams.
  Endpoint admin_address;       ///< HTTP port for operators.
  Endpoint platform_address;    ///< The platform's key-value service and VM list.
  std::vector<Endpoint> seeds;  ///< Membership addresses of other proxies.
  std::string fleet_key;        ///< Secret shared by all proxies; at least kMinFleetKeyBytes.
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
  TraceOutput trace_output = TraceOutput::kNone;
  double trace_sample_ratio = 0.01;
  int workers = 4;
  Duration probe_interval = std::chrono::milliseconds(100);
  Duration drain_delay = std::chrono::seconds(2);
  Duration default_deadline = std::chrono::seconds(2);
  Duration max_deadline = std::chrono::seconds(30);
  std::size_t max_request_bytes = std::size_t{1024} * 1024;
  std::size_t max_connections = 10000;

  static constexpr std::size_t kMinFleetKeyBytes = 16;
};

/// Flags, defaults and help texts of all settings of the proxy daemon.
const std::vector<SettingInfo>& SettingTable();

/// Parses the arguments after the subcommand. Adds every problem to `findings`, with the flag or
/// the environment variable as its place, and returns nothing if `findings` is not empty.
std::optional<ProxySettings> ParseProxySettings(const std::vector<std::string>& arguments,
                                                const EnvironmentReader& environment,
                                                Findings& findings);

/// Returns the help text for all settings, several lines.
std::string DescribeSettings();

}  // namespace sycamoredrum
