#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet_messages.h"
#include "known_primaries.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/leadership.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/relay_platform.h"

namespace sycamoredrum {

/// Keys of the fleet in the store.
inline constexpr const char* kFleetPrefix = "sycamoredrum/";
inline constexpr const char* kLeaderKey = "sycamoredrum/leader";
inline constexpr const char* kMembersPrefix = "sycamoredrum/members/";
inline constexpr const char* kPrimariesPrefix = "sycamoredrum/primaries/";

struct FleetLeaderHooks {
  /// Sends a revocation to a member, which may be this process.
  std::function<void(const std::string& member, const RevocationMessage&,
                     std::function<void(const std::optional<RevocationAnswer>&)>)>
      revoke;
  /// Asks all members for a heartbeat.
  std::function<void()> request_heartbeats;
};

/// The part of the leader: election, heartbeats of the members, and the primaries of all databases.
/// Not thread-safe.
class FleetLeader {
 public:
  /// A registration without a heartbeat for this time is removed from the store.
  /// Longer than any grant that it may hold.
  static constexpr Duration kRegistrationTimeout = std::chrono::seconds(10);
  /// Members rely on the leader's knowledge of the store if the store has confirmed the leadership
  /// within this time: two renewals, one of which may be slow.
  static constexpr Duration kStoreConfirmationMaxAge = std::chrono::milliseconds(1600);
  /// Interval between heartbeats for each member of the fleet: a leader answers at most 370
  /// heartbeats a second, and each takes about 0.1 ms.
  static constexpr Duration kHeartbeatIntervalPerMember = std::chrono::microseconds(2700);
  static constexpr Duration kMinHeartbeatInterval = std::chrono::milliseconds(500);
  /// About half of the shortest age that reads accept, so that members know a recent position.
  static constexpr Duration kMaxHeartbeatInterval = std::chrono::milliseconds(800);
  /// A leader that lost contact with the members stays out of the election for this time.
  static constexpr Duration kIsolationPause = std::chrono::seconds(10);

  /// `least_candidate_delay` as in LeadershipOptions.
  FleetLeader(const RelayPlatform& platform, MemberRecord self, Duration least_candidate_delay,
              FleetLeaderHooks hooks, const Clock& clock, Scheduler& scheduler, RandomSource random,
              Logger& logger, Metrics& metrics);

  /// Takes part in the election from now on.
  void Start() { this->leadership.Start(); }
  void Resign(const std::string& reason, Duration pause);
  void LeaderKeyChanged(const std::optional<KeyValue>& item) { this->leadership.KeyChanged(item); }
  void SetMembers(const std::map<std::string, std::uint64_t>& revisions);
  void SetServers(const std::map<std::string, BackendServerRecord>& servers);
  /// Connections that one backend server admits, by database.
  void SetDatabases(const std::map<std::string, int>& connection_caps);
  void MetEpoch(std::uint64_t epoch) { this->leadership.MetEpoch(epoch); }
  /// To be called every 50 ms or so.
  void Tick();

  HeartbeatAnswer OnHeartbeat(const HeartbeatMessage& message);
  bool Leading() const { return this->leadership.Leading() && this->authority.Active(); }
  std::uint64_t Epoch() const { return this->leadership.Epoch(); }
  /// Members without a heartbeat for `silence`.
  std::vector<std::string> SilentMembers(Duration silence) const {
    return this->authority.SilentMembers(silence);
  }
  bool CallUnderWay() const { return this->authority.CallUnderWay(); }

 private:
  LeadershipHooks MakeLeadershipHooks();
  PrimaryAuthorityHooks MakeAuthorityHooks();
  void LoadFleetState(std::uint64_t epoch);
  void BeginLeadership(std::uint64_t epoch, const StorePage& page);
  void StoreRecord(const std::string& database, const PrimaryRecord& record, std::uint64_t revision,
                   const std::function<void(PlatformStatus, std::uint64_t)>& done);
  void ResolveUnknownWrite(const std::string& key, const std::string& value,
                           const std::function<void(PlatformStatus, std::uint64_t)>& done);
  void RemoveSilentMembers();

  const RelayPlatform& platform;
  const MemberRecord self;
  FleetLeaderHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  Logger& logger;
  Metrics& metrics;
  Leadership leadership;
  PrimaryAuthority authority;
  std::map<std::string, std::uint64_t> member_revisions;  ///< Registrations in the store.
  PrimaryVersions versions;
  TimePoint last_cleanup;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
