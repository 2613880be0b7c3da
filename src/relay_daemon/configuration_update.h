#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"

namespace sycamoredrum {

/// Tracks the versions of the configuration that other members report, until this process uses
/// them. Not thread-safe.
class ConfigurationUpdate {
 public:
  /// A version that did not arrive within this time after its announcement is read from the store.
  /// Leaves most of the 6 s within which a configuration must be in force.
  static constexpr Duration kMaxWaitForMembers = std::chrono::milliseconds(1500);

  ConfigurationUpdate(const Clock& clock, Logger& logger, Metrics& metrics);

  /// `member` uses `version`.
  void Announce(std::uint64_t version, const std::string& member);
  /// A request for the announced version to the member at `source` failed.
  void RequestFailed(const std::string& source, const std::string& reason);
  /// This process uses `version` from now on.
  void Applied(std::uint64_t version);

  /// Latest version that was announced and is not in use yet; 0 if there is none.
  std::uint64_t Pending() const { return this->pending; }
  /// Time since the first announcement of a version later than the one in use; zero if there is
  /// none.
  Duration Age() const;
  /// True if the other members could not deliver the announced version in time.
  bool Overdue() const { return this->Age() > kMaxWaitForMembers; }

 private:
  const Clock& clock;
  Logger& logger;
  Metrics& metrics;
  std::uint64_t present = 0;  ///< Version in use.
  std::uint64_t pending = 0;
  TimePoint pending_since;     ///< When `pending` was announced.
  TimePoint behind_since;      ///< When the first version later than `present` was announced.
  std::uint64_t failures = 0;  ///< Failed requests since the last version was applied.
};

}  // namespace sycamoredrum
