#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Decides from which member each other one gets the latest configuration. Each member that has it
/// serves a few others at a time, so that neither the leader's link nor its processor limits how
/// fast a version spreads, and its heartbeats do not wait behind the transfers. Not thread-safe.
class ConfigurationSources {
 public:
  /// Members that one member serves at the same time.
  static constexpr std::size_t kMaxTransfers = 4;
  /// A transfer whose receiver does not report the version counts for this time.
  static constexpr Duration kTransferTimeout = std::chrono::seconds(1);

  /// `leader` is the member that decides.
  ConfigurationSources(std::string leader, const Clock& clock, RandomSource random);

  /// The leader uses `version`. Forgets the sources of earlier versions.
  void SetVersion(std::uint64_t version);
  /// `member` uses `version`.
  void OnReport(const std::string& member, const std::string& data_centre, std::uint64_t version);
  /// Chooses a member that serves the version to `member`, one of the same data centre if possible.
  /// Returns nothing if `member` is being served, or if all that were considered are busy.
  std::optional<std::string> Choose(const std::string& member, const std::string& data_centre);
  /// Forgets a member that left.
  void Remove(const std::string& member);

 private:
  struct Transfer {
    std::string source;
    TimePoint ends;
  };

  /// Members that are considered for one choice in each group.
  static constexpr int kSamples = 8;

  /// True if `source` may serve one more member. Ends its transfers that took too long.
  bool HasCapacity(const std::string& source);
  void EndTransfer(const std::string& receiver);
  void RemoveSource(const std::string& member);
  std::optional<std::string> Sample(const std::vector<std::string>& members);

  const std::string leader;
  const Clock& clock;
  RandomSource random;
  std::uint64_t version = 0;
  /// Members other than the leader that have the version, with their data centres.
  std::map<std::string, std::string> sources;
  std::map<std::string, std::vector<std::string>> by_data_centre;  ///< The same.
  std::vector<std::string> all;                                    ///< The same.
  std::map<std::string, Transfer> transfers;                       ///< By receiver.
  std::map<std::string, std::set<std::string>> receivers;          ///< Of `transfers`, by source.
};

}  // namespace sycamoredrum
