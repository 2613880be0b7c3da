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

/// Settings of `sycamoredrum relay`. Flags go before environment variables, these before the
/// settings file, and this before defaults.
struct RelaySettings {
  std::string member_id;  ///< Unique in the fleet, and the same after a restart.
  std::string data_centre;
  Endpoint caller_address;      ///< Callers' sessions.
  Endpoint ready_address;       ///< HTTP, asked by the balancer.
  Endpoint peer_address;        ///< Links from other relays.
  Endpoint metrics_address;     ///< HTTP, Prometheus text format.
  Endpoint store_address;       ///< The platform's store.
  Endpoint duty_address;        ///< The platform's calls for the leader.
  std::vector<Endpoint> seeds;  ///< Peer addresses of other relays, used while the store is away.
  std::string fleet_key;        ///< Secret shared by all relays.
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
  Duration stop_grace = std::chrono::seconds(6);  ///< From the stop signal to the forced end.
  double processor_share = 1;  ///< Part of a core that this VM gives the process.
  std::size_t max_sessions =
      3500;  ///< Callers' sessions at the same time; each takes a descriptor.

  static constexpr std::size_t kMinFleetKeyBytes = 16;
};

const std::vector<SettingInfo>& RelaySettingTable();

/// Parses arguments, environment and the text of a settings file. Adds every problem to `findings`
/// with its place, and returns nothing if there is one.
std::optional<RelaySettings> ParseRelaySettings(const std::vector<std::string>& arguments,
                                                const EnvironmentReader& environment,
                                                const std::optional<std::string>& file,
                                                Findings& findings);

}  // namespace sycamoredrum
