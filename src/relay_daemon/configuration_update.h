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
  /// A version that is not being received within this time after its announcement is read from the
  /// store. Leaves most of the 6 s within which a configuration must be in force.
  static constexpr Duration kMaxWaitForMembers = std::chrono::milliseconds(1500);
  /// The same while a member may be sending it. If all members of a large fleet read a large
  /// configuration from the store, each gets it later than from another member.
  static constexpr Duration kMaxTransferTime = std::chrono::seconds(3);
  /// Timeout of a request for the configuration to a member.
  static constexpr Duration kRequestTimeout = std::chrono::seconds(4);

  ConfigurationUpdate(const Clock& clock, Logger& logger, Metrics& metrics);

  /// `member` uses `version`.
  void Announce(std::uint64_t version, const std::string& member);
  /// To be called before a member is asked for the announced version. Returns false if such a
  /// request is in progress.
  bool BeginRequest();
  void EndRequest() { this->requesting = false; }
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
  bool Overdue() const {
    return this->Age() > (this->requesting ? kMaxTransferTime : kMaxWaitForMembers);
  }

 private:
  const Clock& clock;
  Logger& logger;
  Metrics& metrics;
  std::uint64_t present = 0;  ///< Version in use.
  std::uint64_t pending = 0;
  TimePoint pending_since;  ///< When `pending` was announced.
  TimePoint behind_since;   ///< When the first version later than `present` was announced.
  bool requesting = false;
  std::uint64_t failures = 0;  ///< Failed requests since the last version was applied.
};

}  // namespace sycamoredrum
