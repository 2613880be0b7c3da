#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet_messages.h"
#include "sycamoredrum/connection_holders.h"

namespace sycamoredrum {

/// The leader's list of the relays that hold connections; see ConnectionHolders. Not thread-safe.
class HolderList {
 public:
  /// A new leader sends no list for this time: it first has to receive the processor shares of the
  /// members by their heartbeats, the rarest of which come every 800 ms.
  static constexpr Duration kSettleTime = std::chrono::seconds(2);
  /// Minimum interval between two computations of the list.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(500);

  /// What the list is computed from.
  struct Fleet {
    std::map<std::string, MemberRecord> members;
    std::set<std::string> silent;  ///< Members without recent heartbeats; they hold nothing.
    std::map<std::string, int> connection_caps;
    std::set<std::string> data_centres;  ///< Those that have backend servers.
  };

  /// Records a heartbeat that the leader of `epoch` received. Forgets all shares and the list when
  /// the epoch changes.
  void OnHeartbeat(std::uint64_t epoch, const HeartbeatMessage& message, TimePoint now);
  bool RefreshDue(TimePoint now) const;
  void Refresh(const Fleet& fleet, TimePoint now);
  /// Adds the list to an answer to a member that has the list of `known_version`, if it differs.
  void AddTo(HeartbeatAnswer& answer, std::uint64_t known_version) const;

 private:
  std::uint64_t epoch = 0;
  TimePoint began;  ///< First heartbeat of the epoch.
  std::optional<TimePoint> refreshed;
  std::map<std::string, double> shares;  ///< Processor share, by member.
  std::vector<ConnectionHolder> holders;
  /// Hash of `holders`, so that it stays the same when the leader changes; 0 if there are none.
  std::uint64_t version = 0;
};

}  // namespace sycamoredrum
