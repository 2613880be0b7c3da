#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "allowance_leader.h"
#include "fleet_messages.h"
#include "known_primaries.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/leadership.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/relay_platform.h"

namespace sycamoredrum {

/// Keys and key prefixes of the fleet in the store.
inline constexpr const char* kFleetPrefix = "sycamoredrum/";
inline constexpr const char* kLeaderKey = "sycamoredrum/leader";
inline constexpr const char* kMembersPrefix = "sycamoredrum/members/";
inline constexpr const char* kPrimariesPrefix = "sycamoredrum/primaries/";

struct FleetLeaderHooks {
  /// Sends a revocation to a member, which may be this process. The callback receives nothing if
  /// the member did not answer.
  std::function<void(const std::string& member, const RevocationMessage&,
                     std::function<void(const std::optional<RevocationAnswer>&)>)>
      revoke;
  /// Requests an immediate heartbeat from all members.
  std::function<void()> request_heartbeats;
  /// Returns the registration of a member, or nothing if it is not known.
  std::function<std::optional<MemberRecord>(const std::string& member)> member_record = nullptr;
};

/// The leader role of a process: takes part in the election and, while it leads, answers the
/// members' heartbeats and manages the primaries of all databases. Not thread-safe.
class FleetLeader {
 public:
  /// The registration of a member without a heartbeat for this time is removed from the store.
  /// Longer than the validity of any grant that the member may hold.
  static constexpr Duration kRegistrationTimeout = std::chrono::seconds(10);
  /// The leader reports the store as reachable if the store confirmed the leadership within this
  /// time. Members then do not read the store themselves. Covers two renewals, one of them slow.
  static constexpr Duration kStoreConfirmationMaxAge = std::chrono::milliseconds(1600);
  /// The heartbeat interval grows by this time per member of the fleet. It limits a leader to 370
  /// heartbeats per second, each of which takes about 0.1 ms.
  static constexpr Duration kHeartbeatIntervalPerMember = std::chrono::microseconds(2700);
  static constexpr Duration kMinHeartbeatInterval = std::chrono::milliseconds(500);
  /// About half of the smallest staleness limit of reads, so that members know a recent position.
  static constexpr Duration kMaxHeartbeatInterval = std::chrono::milliseconds(800);
  /// A leader that resigned because it lost contact with the members is no candidate for this time.
  static constexpr Duration kIsolationPause = std::chrono::seconds(10);

  /// `min_candidate_delay` as in LeadershipOptions.
  FleetLeader(const RelayPlatform& platform, MemberRecord self, Duration min_candidate_delay,
              FleetLeaderHooks hooks, const Clock& clock, Scheduler& scheduler, RandomSource random,
              Logger& logger, Metrics& metrics);

  /// Starts to take part in the election.
  void Start() { this->leadership.Start(); }
  /// Gives the leadership up and is no candidate for `pause`. Takes effect asynchronously.
  void Resign(const std::string& reason, Duration pause);
  /// Reports the present state of the leader's key; nothing if the key does not exist.
  void LeaderKeyChanged(const std::optional<KeyValue>& item) { this->leadership.KeyChanged(item); }
  /// Reports the store's era. A later one than before means that the store has returned from an
  /// older copy.
  void ObserveStoreEra(std::uint64_t era);
  /// Replaces the registered members; `revisions` are the store revisions of their registrations.
  /// A member whose registration was lost by a restore of the store stays a member for
  /// kRegistrationTimeout, because it may hold grants; it is asked to register again.
  void SetMembers(const std::map<std::string, std::uint64_t>& revisions);
  bool IsMember(const std::string& member) const {
    return this->member_revisions.count(member) != 0 || this->lost_members.count(member) != 0;
  }
  void PutServer(const BackendServerRecord& record) { this->authority.PutServer(record); }
  void RemoveServer(const std::string& id) { this->authority.RemoveServer(id); }
  /// Sets the databases. `connection_caps` is the number of connections that one of their backend
  /// servers admits.
  void SetDatabases(const std::map<std::string, int>& connection_caps);
  /// See PrimaryAuthority::SetSynchronousReplicas.
  void SetSynchronousReplicas(const std::map<std::string, int>& replicas);
  /// Reports the epoch of another leader. Ends this leadership if that epoch is later.
  void ObserveEpoch(std::uint64_t epoch) { this->leadership.ObserveEpoch(epoch); }
  /// Must be called about every 50 ms.
  void Tick();

  /// Processes a member's heartbeat. The epoch of the answer is 0 if this process does not lead.
  HeartbeatAnswer OnHeartbeat(const HeartbeatMessage& message);
  /// True if this process leads and has loaded the fleet's state from the store.
  bool Leading() const { return this->leadership.Leading() && this->authority.Active(); }
  /// Epoch of this process's leadership; 0 if it does not lead.
  std::uint64_t Epoch() const { return this->leadership.Epoch(); }
  /// Members without a heartbeat for longer than `silence`.
  std::vector<std::string> SilentMembers(Duration silence) const {
    return this->authority.SilentMembers(silence);
  }
  /// True while a promotion call of this process to the platform may still take effect.
  bool PromotionInFlight() const { return this->authority.PromotionInFlight(); }

 private:
  LeadershipHooks MakeLeadershipHooks();
  PrimaryAuthorityHooks MakeAuthorityHooks();
  void LoadFleetState(std::uint64_t epoch);
  void BeginLeadership(std::uint64_t epoch, const StorePage& page);
  void StoreRecord(const std::string& database, const PrimaryRecord& record, std::uint64_t revision,
                   const std::function<void(PlatformStatus, std::uint64_t)>& done);
  void ResolveUnknownWrite(const std::string& key, const std::string& value,
                           const std::function<void(PlatformStatus, std::uint64_t)>& done);
  bool IsRegistered(const std::string& member, std::uint64_t registration) const;
  void OnGrantsReturned(const HeartbeatMessage& message);
  void RemoveSilentMembers();
  void ReplaceRegistrations(const std::map<std::string, std::uint64_t>& revisions);
  std::set<std::string> Members() const;

  const RelayPlatform& platform;
  const MemberRecord self;
  FleetLeaderHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  Logger& logger;
  Metrics& metrics;
  Leadership leadership;
  PrimaryAuthority authority;
  AllowanceLeader allowances;
  std::map<std::string, std::uint64_t> member_revisions;  ///< Store revisions of the registrations.
  /// Revisions of the registrations whose removal this leader has requested.
  std::map<std::string, std::uint64_t> requested_removals;
  /// Members whose registration the store has lost, and when that was noticed.
  std::map<std::string, TimePoint> lost_members;
  PrimaryVersions versions;
  bool last_leadership_began = false;  ///< The last leadership had loaded the fleet's state.
  std::uint64_t store_era = 0;
  TimePoint era_observed_at;  ///< When `store_era` was first observed.
  TimePoint last_cleanup;
  std::shared_ptr<bool> alive =
      std::make_shared<bool>(true);  ///< Lets callbacks detect the destruction of the object.
};

}  // namespace sycamoredrum
