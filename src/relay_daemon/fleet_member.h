#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet_leader.h"
#include "fleet_messages.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/peer_link.h"
#include "sycamoredrum/primary_grants.h"
#include "sycamoredrum/relay_platform.h"
#include "sycamoredrum/server_directory.h"
#include "sycamoredrum/session_relay.h"
#include "sycamoredrum/store_mirror.h"

namespace sycamoredrum {

struct FleetMemberHooks {
  /// A configuration arrived from another member, as the store holds it.
  std::function<void(const std::string& text)> configuration_received;
  /// State for members that cannot read the store.
  std::function<SharedState()> shared_state;
  /// True while this process cannot read the backend servers' records itself.
  std::function<bool()> needs_servers;
  /// The store has answered this member's first question.
  std::function<void()> store_reachable;
};

/// A process as a member of the fleet: it registers itself, knows the leader, asks it for grants by
/// heartbeats, and gives them back when asked. The leader part of the same process is reached
/// without a link. Not thread-safe; all callbacks run on the one worker of the loop.
class FleetMember {
 public:
  /// Time limit of a heartbeat and of other requests to members.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(700);
  /// A member without an answer of its leader for this time asks others who leads.
  static constexpr Duration kLeaderTimeout = std::chrono::milliseconds(1500);
  /// How long the store may hold a watch of a member that hears the leader, which tells it of new
  /// configurations as well. Below the 20 s for which the store keeps its history.
  static constexpr Duration kRelaxedWatchTimeout = std::chrono::seconds(10);
  /// Members of a larger fleet leave the store to the leader while that one is in touch with it.
  /// Two pending watches of each member cost one call a second at this size.
  static constexpr std::size_t kMaxSmallFleetSize = 24;
  /// Members of a large fleet wait this long for another leader before they read the store
  /// themselves. With the time in which the leader's last word counts, it stays below the least
  /// time in which a configuration must be in force on large fleets, 6 s. Load pattern: the leader
  /// is lost, and 300 members read all records at the same moment.
  static constexpr Duration kNextLeaderTimeout = std::chrono::milliseconds(1500);
  /// Longest pause after a failed call to the store for each member of the fleet, so that the calls
  /// of a fleet in an outage stay at about a hundred a second for each key.
  static constexpr Duration kRetryDelayPerMember = std::chrono::milliseconds(8);
  /// Least time between two looks of the leader at the registrations.
  static constexpr Duration kMembersWatchInterval = std::chrono::milliseconds(100);
  /// A member that the leader does not find registers again, at most this often.
  static constexpr Duration kRegisterAgainInterval = std::chrono::seconds(2);
  /// Links to members that a new leader opens in each tick, before it needs them for revocations.
  /// 300 links are open after four seconds; each costs about a millisecond of processor time.
  static constexpr std::size_t kLinksPerTick = 4;
  /// Members that are told of new grants in each tick.
  static constexpr std::size_t kNoticesPerTick = 40;
  /// Part of a core that the leader of a large fleet needs; a candidate with less lets the others
  /// go first.
  static constexpr double kLeaderProcessorShare = 0.2;
  /// Covers the random delay of the others, a lease, and a write to the store.
  static constexpr Duration kLowCpuCandidateDelay = std::chrono::milliseconds(250);
  /// Members that one member is told of, for the time when it has lost the leader.
  static constexpr std::size_t kPeerSampleSize = 8;
  /// A process that has just started uses the records of the backend servers that it has read
  /// itself for this time. After a common restart the leader has more urgent work than to send them
  /// to everyone.
  static constexpr Duration kOwnRecordsTime = std::chrono::seconds(3);
  /// The same in a large fleet, where reading them again costs more than asking the leader; part of
  /// it is random.
  static constexpr Duration kOwnRecordsTimeInLargeFleet = std::chrono::seconds(1);
  /// Least time between two questions of a member for the records of the backend servers.
  static constexpr Duration kServersRequestInterval = std::chrono::seconds(1);
  /// A leader tells members that it does not hear of its leadership in these intervals.
  static constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
  /// Least time between heartbeats that are sent because something happened.
  static constexpr Duration kUrgentHeartbeatInterval = std::chrono::milliseconds(50);
  /// Statements under way may end for this time before a planned revocation is acknowledged.
  static constexpr Duration kRevocationGrace = std::chrono::milliseconds(350);

  /// `processor_share` is this process's part of a core; members with more of it are preferred as
  /// leaders.
  FleetMember(const RelayPlatform& platform, MemberRecord self, double processor_share,
              std::vector<Endpoint> seeds, const std::string& fleet_key, FleetMemberHooks hooks,
              SessionRelay& relay, PrimaryGrants& grants, ServerDirectory& servers, EventLoop& loop,
              const Clock& clock, RandomSource random, Logger& logger, Metrics& metrics);

  /// Starts to listen for other members. Returns false and sets LastReason() on failure.
  bool Start();
  /// To be called every 50 ms or so.
  void Tick();
  /// Longest pause of a member's mirrors after failed calls to the store.
  Duration MaxStoreRetryDelay() const;
  /// True unless the leader reads the configuration and the servers' records for this member as
  /// well, or another leader is likely to do so in a moment.
  bool ReadsStore() const;
  /// True if the store answered before and does not now. One mirror goes on asking for it; the
  /// others wait.
  /// Load pattern: 300 processes with three mirrors each ask for a store that is down.
  bool StoreLost() const {
    return this->leader_mirror.Synchronized() && !this->leader_mirror.Reachable();
  }
  /// The process is about to stop: it gives the leadership up, but keeps its grants for the work
  /// that is left.
  void PrepareToLeave();
  /// Leaves the fleet when no statement is in progress any more. `done` runs when the registration
  /// is removed or the store did not answer.
  void Leave(std::function<void()> done);
  /// A primary refused or broke a connection; the leader is told at once.
  void OnPrimarySuspected(const std::string& database);
  void ConfigurationChanged(const RelayConfiguration& configuration);
  void ServersChanged(const std::map<std::string, BackendServerRecord>& records);

  std::optional<MemberRecord> Leader() const { return this->leader; }
  /// True if another process leads and answers, so that this one learns of changes from it.
  bool LeaderReachable() const;
  /// True if the present records of the backend servers came from the leader, and new ones will.
  bool HasServersOfLeader() const;
  /// Records that were read elsewhere may be older than those of the leader; asks for them again.
  void InvalidateServers() { this->servers_version = 0; }
  bool HasGrants() const;
  /// True if this process has no grant at all and can expect none: neither the store nor a leader
  /// has answered for a while.
  bool CutOff() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  /// Records of the backend servers as they are sent to members.
  struct ServersReply {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::string text;
  };

  std::map<std::string, PeerHandler> MakeHandlers();
  const std::string& MakeServersReply();
  /// True if the leader of a large fleet is heard and in touch with the store.
  bool LeaderReadsStore() const;
  bool MayRequestServers() const;
  StoreMirrorHooks MakeLeaderMirrorHooks();
  StoreMirrorHooks MakeMembersMirrorHooks();
  std::vector<Endpoint> SamplePeers();
  void Register();
  void LookUpRegistration();
  void OnRegistrationLookup(const std::string& key, const StorePage& page);
  void WriteRegistration(std::uint64_t revision);
  void Registered(std::uint64_t revision);
  void RegisterAgain();
  void RetryRegistration();
  void OnLeaderKey(const StoreEvent& event);
  void OnMemberKey(const StoreEvent& event);
  void SetLeader(const MemberRecord& record, std::uint64_t epoch);
  bool MayAcceptGrants() const;

  void SendHeartbeat();
  HeartbeatMessage MakeHeartbeat();
  /// True if the leader should hear of `report`.
  bool ShouldReport(const std::string& database, const DatabaseReport& report) const;
  void OnAnswer(const HeartbeatAnswer& answer, TimePoint sent);
  void RequestState();
  void RequestServers(std::uint64_t epoch);
  void OnState(const SharedState& state);

  void Revoke(const std::string& member, const RevocationMessage& message,
              std::function<void(const std::optional<RevocationAnswer>&)> done);
  void OnRevocation(const RevocationMessage& message,
                    std::function<void(const RevocationAnswer&)> done);
  void FinishRevocation(const RevocationMessage& message, TimePoint deadline,
                        std::function<void(const RevocationAnswer&)> done);
  void RequestHeartbeats();
  void SendNotice(const std::string& member);
  void NotifySilentMembers();
  void SendPendingNotices();
  void LogGrants();
  PeerLink& LinkTo(const Endpoint& endpoint);

  const RelayPlatform& platform;
  const MemberRecord self;
  const std::vector<Endpoint> seeds;
  const PeerIdentity identity;
  FleetMemberHooks hooks;
  SessionRelay& relay;
  PrimaryGrants& grants;
  ServerDirectory& servers;
  EventLoop& loop;
  const Clock& clock;
  Logger& logger;
  Metrics& metrics;
  RandomSource random;
  FleetLeader leader_role;
  StoreMirror leader_mirror;   ///< The leader's key.
  StoreMirror members_mirror;  ///< The registrations; only while this process leads.
  PeerServer peer_server;
  std::map<Endpoint, std::unique_ptr<PeerLink>> links;
  std::map<std::string, MemberRecord> members;  ///< As of the time when this process led.
  std::map<std::string, std::uint64_t> member_revisions;
  std::vector<Endpoint> peers;          ///< Told by the leader.
  std::set<std::string> links_to_open;  ///< Members to which a new leader has no link yet.
  std::set<std::string> notices_to_send;
  std::optional<MemberRecord> leader;
  std::uint64_t leader_epoch = 0;  ///< Of `leader`.
  std::map<std::string, std::string> logged_grants;
  TimePoint started;
  std::uint64_t own_revision = 0;  ///< Of this member's registration.
  std::optional<TimePoint> registered_at;
  bool registering = false;
  TimePoint store_confirmed_at;  ///< When a leader last said that the store is in its reach.
  TimePoint last_servers_request;
  Duration own_records_jitter{};         ///< Random part of kOwnRecordsTimeInLargeFleet.
  std::uint64_t registration_round = 0;  ///< Answers to looks of earlier rounds are ignored.
  std::size_t lookups_in_flight = 0;
  Duration lookup_retry_delay{};
  bool mirror_started = false;
  bool store_in_reach = false;  ///< As the leader's last answer says.
  std::size_t fleet_size = 0;   ///< As a leader last told; 0: not known yet.
  bool leaving = false;
  bool left = false;
  bool members_changed = false;
  bool heartbeat_in_flight = false;
  bool heartbeat_wanted = false;
  bool state_request_in_flight = false;
  KnownPrimaries known_primaries;
  /// When the primaries had last answered this member, as the leader was told.
  std::map<std::string, TimePoint> reported_answer_times;
  Duration heartbeat_interval = FleetLeader::kMinHeartbeatInterval;
  TimePoint last_heartbeat;
  TimePoint last_answer;  ///< When a leader last answered a heartbeat.
  TimePoint last_notices;
  TimePoint last_state_request;
  std::size_t next_seed = 0;
  std::uint64_t answer_epoch = 0;  ///< Leader of `answer_stamp`.
  std::int64_t answer_stamp = 0;   ///< Stamp of the last answer.
  TimePoint answer_received;
  std::uint64_t configuration_version = 0;
  std::uint64_t own_servers_version = 1;  ///< Of the records of this process; grows.
  std::uint64_t servers_epoch = 0;        ///< Leader of `servers_version`.
  std::uint64_t servers_version = 0;      ///< Version of the leader's records that are in use.
  bool servers_request_in_flight = false;
  ServersReply servers_reply;  ///< The last one; all members ask for the same.
  std::string last_reason;
};

}  // namespace sycamoredrum
