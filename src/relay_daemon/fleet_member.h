#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration_sources.h"
#include "configuration_update.h"
#include "fleet_leader.h"
#include "fleet_messages.h"
#include "holder_list.h"
#include "member_registration.h"
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
  /// The member at `source` sent a configuration; `text` is its value in the store.
  std::function<void(const std::string& text, const std::string& source)> configuration_received;
  /// Returns the configuration in use, as its value in the store.
  std::function<std::string()> configuration_text;
  /// True while this process cannot read the backend servers' records from the store.
  std::function<bool()> needs_servers;
  /// The store answered the lookup of this member's registration.
  std::function<void()> store_reachable;
  /// The following belong to the exchange of allowances. Adds its part to a heartbeat.
  std::function<void(HeartbeatMessage&)> extend_heartbeat;
  /// The present leader answered a heartbeat that was sent at `sent`.
  std::function<void(const HeartbeatAnswer&, TimePoint sent)> heartbeat_answered;
  /// Answers a request for tokens; nothing if it cannot be read.
  std::function<std::optional<std::string>(const std::string& member, const std::string& body)>
      tokens_requested;
  /// Handlers of further kinds of requests from other members.
  std::map<std::string, PeerHandler> handlers = {};
  /// Optional. The last link from a member has ended.
  std::function<void(const std::string& member)> links_ended = nullptr;
};

/// Membership of this process in the fleet. Registers the process in the store, tracks the leader,
/// obtains grants from it by heartbeats, and gives them back on a revocation. Calls the leader role
/// of the same process directly, without a link. Not thread-safe; all callbacks run on the only
/// worker thread of the loop.
class FleetMember {
 public:
  /// Timeout of heartbeats and other requests to members.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(700);
  /// Timeout of requests for the servers' records, which may be large.
  static constexpr Duration kServersTimeout = std::chrono::seconds(2);
  /// A member that received no answer from the leader for this time queries other members for the
  /// current leader.
  static constexpr Duration kLeaderTimeout = std::chrono::milliseconds(1500);
  /// Timeout of a pending watch while the leader is reachable, because the leader announces new
  /// configurations as well. Below the 20 s for which the store keeps its history.
  static constexpr Duration kRelaxedWatchTimeout = std::chrono::seconds(10);
  /// In a larger fleet, members do not read the store while the leader can reach it. At this size,
  /// the two pending watches of each member cost one call per second.
  static constexpr std::size_t kMaxSmallFleetSize = 24;
  /// When the leader is lost or cannot reach the store, members of a large fleet wait this long for
  /// a new one before they read the store themselves. Otherwise 300 members would read all records
  /// at the same moment. The wait counts from the last answer in which a leader reported the store
  /// as reachable. Together with FleetLeader::kStoreConfirmationMaxAge it stays below 6 s, the
  /// shortest time limit for a large fleet to apply a new configuration.
  static constexpr Duration kNextLeaderTimeout = std::chrono::milliseconds(1500);
  /// The maximum retry delay after a failed store call grows by this time per member of the fleet,
  /// which limits the fleet to about a hundred calls per second and key during an outage.
  static constexpr Duration kRetryDelayPerMember = std::chrono::milliseconds(8);
  /// Minimum interval between the leader's watches of the registrations.
  static constexpr Duration kMembersWatchInterval = std::chrono::milliseconds(100);
  /// Links to members that a new leader opens per tick, before it needs them for revocations. 300
  /// links are open after four seconds; each takes about a millisecond of CPU time.
  static constexpr std::size_t kLinksPerTick = 4;
  /// Members that are notified of new grants per tick.
  static constexpr std::size_t kNoticesPerTick = 40;
  /// Fraction of a CPU core that the leader of a large fleet needs. Candidates with less delay
  /// their candidacy, so that others win the election.
  static constexpr double kLeaderProcessorShare = 0.2;
  /// Delay of candidates below kLeaderProcessorShare. Covers the random delay of the others, and
  /// the calls for a lease and a write to the store.
  static constexpr Duration kLowCpuCandidateDelay = std::chrono::milliseconds(250);
  /// Number of other members that a member receives, to query them when it has lost the leader.
  static constexpr std::size_t kPeerSampleSize = 8;
  /// Interval between comparisons of the grants with the last logged ones.
  static constexpr Duration kGrantLogInterval = std::chrono::milliseconds(250);
  /// With more databases, the leader sends only the positions of those that the member uses; the
  /// first statement on another database asks its primary for the position.
  static constexpr std::size_t kMaxDatabasesWithAllPositions = 32;
  /// For this time after its start, a process uses the backend servers' records that it read from
  /// the store. When all processes restart together, the leader has more urgent work than sending
  /// the records to all members.
  static constexpr Duration kOwnRecordsTime = std::chrono::seconds(3);
  /// The same in a large fleet, where reading the records again costs more than requesting them
  /// from the leader. A random time up to the same length is added.
  static constexpr Duration kOwnRecordsTimeInLargeFleet = std::chrono::seconds(1);
  /// Minimum interval between a member's requests for the backend servers' records in a large
  /// fleet.
  static constexpr Duration kServersRequestInterval = std::chrono::seconds(1);
  /// Interval at which a leader announces itself to members that send no heartbeats.
  static constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
  /// Minimum interval between heartbeats that are sent ahead of schedule because of an event.
  static constexpr Duration kUrgentHeartbeatInterval = std::chrono::milliseconds(50);
  /// Time for statements in progress to finish before a planned revocation is acknowledged.
  static constexpr Duration kRevocationGrace = std::chrono::milliseconds(350);

  /// `processor_share` is the fraction of a CPU core that this process gets; members with at least
  /// kLeaderProcessorShare are preferred as leaders.
  FleetMember(const RelayPlatform& platform, MemberRecord self, double processor_share,
              std::vector<Endpoint> seeds, const std::string& fleet_key, FleetMemberHooks hooks,
              SessionRelay& relay, PrimaryGrants& grants, ServerDirectory& servers, EventLoop& loop,
              const Clock& clock, RandomSource random, Logger& logger, Metrics& metrics);

  /// Listens for other members and registers this member. Returns false and sets LastReason() if
  /// the listener cannot be opened.
  bool Start();
  /// Must be called about every 50 ms.
  void Tick();
  /// Maximum retry delay of this process's mirrors after failed store calls.
  Duration MaxStoreRetryDelay() const;
  /// True if this process must read the configuration and the servers' records itself. False in a
  /// large fleet while the leader, or probably a new leader soon, reads them for all members.
  bool ReadsStore() const;
  /// True if another member uses a later configuration than this process and could not deliver it
  /// in time. Successful heartbeats say nothing about that, because they are small.
  bool ConfigurationOverdue() const { return this->configuration_update.Overdue(); }
  /// True if the store answered before and is now unreachable. Only the mirror of the leader's key
  /// retries then; the others wait. Otherwise 300 processes with three mirrors each would call a
  /// store that is down.
  bool StoreLost() const {
    return this->leader_mirror.Synchronized() && !this->leader_mirror.Reachable();
  }
  /// To be called when the process begins to stop. Gives the leadership up, but keeps the grants
  /// for the statements that remain.
  void PrepareToLeave();
  /// Leaves the fleet. To be called when no statement is in progress. `done` runs when the
  /// registration is removed or the store did not answer in time.
  void Leave(std::function<void()> done);
  /// Another member uses a later configuration than this one. Asks the leader who delivers it or,
  /// while no leader answers, asks another member for it.
  void RequestConfiguration();
  /// A primary refused or closed a connection. Sends a heartbeat ahead of schedule, so that the
  /// leader receives the failure.
  void OnPrimarySuspected(const std::string& database);
  void ConfigurationChanged(const RelayConfiguration& configuration);
  /// How long this process has known of a later configuration than the one that it uses.
  Duration ConfigurationAge() const { return this->configuration_update.Age(); }
  /// Reports that the record of a backend server that this process uses was added or changed.
  void PutServer(const BackendServerRecord& record);
  /// Reports that this process no longer uses a backend server.
  void RemoveServer(const std::string& id);

  std::optional<MemberRecord> Leader() const { return this->leader; }
  /// True if another process leads and answers heartbeats, so that it reports changes to this one.
  bool LeaderReachable() const;
  /// True if the records of the backend servers in use came from the leader, which also sends later
  /// ones.
  bool HasServersOfLeader() const;
  /// Forgets which version of the leader's records of backend servers is in use, so that the next
  /// heartbeat answer requests them again. To be called after a record was read from the store,
  /// which may be older than the leader's.
  void InvalidateServers() { this->servers_version = 0; }
  /// True if this process has a grant for every database of the configuration.
  bool HasGrants() const;
  /// True if this process has no grant and can expect none: the store is unreachable and no leader
  /// answered within kLeaderTimeout.
  bool CutOff() const;
  const std::string& LastReason() const { return this->last_reason; }
  /// As PeerLink::Call, on the link to `endpoint`.
  void Call(const Endpoint& endpoint, const std::string& kind, const std::string& body,
            Duration timeout, PeerCallback done);
  bool LinkOpen(const Endpoint& endpoint) const;

 private:
  /// Serialized records of the backend servers, as sent to members.
  struct ServersReply {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t fingerprint = 0;  ///< Of the records.
    bool compressed = false;
    std::string text;
    std::string text_without_records;
  };

  /// Compressed answer to a request for the configuration.
  struct ConfigurationReply {
    std::uint64_t version = 0;
    std::uint64_t epoch = 0;  ///< Of the leader that the answer names.
    std::string text;
  };

  PeerOptions MakeServerOptions() const;
  std::map<std::string, PeerHandler> MakeHandlers();
  /// The answer to a request for the servers' records; serialized again only if they changed.
  std::string MakeServersReply(const StateRequest& request);
  /// The answer to a request for the configuration and, if the sender asks for them, the servers'
  /// records.
  std::string MakeStateReply(const StateRequest& request);
  /// True in a large fleet if the leader is reachable and can reach the store.
  bool LeaderReadsStore() const;
  bool MayRequestServers() const;
  MemberRegistrationHooks MakeRegistrationHooks();
  StoreMirrorHooks MakeLeaderMirrorHooks();
  StoreMirrorHooks MakeMembersMirrorHooks();
  /// Endpoints of at most kPeerSampleSize random members.
  std::vector<Endpoint> SamplePeers();
  void OnLeaderKey(const StoreEvent& event);
  void OnMemberKey(const StoreEvent& event);
  void OnStoreRestored(const std::string& keys, std::uint64_t era);
  void ForgetLostMembers();
  void SetLeader(const MemberRecord& record, std::uint64_t epoch);
  bool MayAcceptGrants() const;

  void ReturnGrants(std::function<void()> done);
  void SendHeartbeat();
  HeartbeatMessage MakeHeartbeat();
  /// True if `report` contains observations that must be sent to the leader.
  bool ShouldReport(const std::string& database, const DatabaseReport& report) const;
  void AddProcessorShare(HeartbeatMessage& message) const;
  /// Adds the list of holders to the leader's answer to a heartbeat.
  void AddHolders(const HeartbeatMessage& message, HeartbeatAnswer& answer);
  void ApplyHolders(const HeartbeatAnswer& answer);
  void OnAnswer(const HeartbeatAnswer& answer, TimePoint sent);
  void RequestStateFrom(const Endpoint& target);
  /// Queries the leader or, while no leader answers, the seeds and known peers in turn.
  void RequestState();
  /// Adds to the leader's answer who delivers the configuration to the sender of the heartbeat.
  void AddConfigurationSource(const HeartbeatMessage& message, HeartbeatAnswer& answer);
  /// Requests the configuration that the leader's answer announces.
  void FollowAnnouncement(const HeartbeatAnswer& answer);
  void RequestConfigurationFrom(const Endpoint& source);
  void RequestServers(std::uint64_t epoch);
  void OnState(const SharedState& state, const std::string& source);

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
  const double processor_share;
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
  StoreMirror leader_mirror;   ///< Mirror of the leader's key.
  StoreMirror members_mirror;  ///< Mirror of the registrations; runs only while this process leads.
  MemberRegistration registration;
  PeerServer peer_server;
  std::map<Endpoint, std::unique_ptr<PeerLink>> links;
  /// Registered members, and those whose registration the store has lost; updated only while this
  /// process leads.
  std::map<std::string, MemberRecord> members;
  std::map<std::string, std::uint64_t> member_revisions;
  std::vector<Endpoint> peers;  ///< Other members, as received from the leader or a member.
  /// Members to which this process, as the leader, must open a link.
  std::set<std::string> links_to_open;
  std::set<std::string> notices_to_send;  ///< Members that must be notified of the leader.
  std::optional<MemberRecord> leader;
  std::uint64_t leader_epoch = 0;  ///< Epoch of `leader`.
  /// Generation of the last logged grant, by database; 0 for none.
  std::map<std::string, std::optional<std::uint64_t>> logged_grants;
  TimePoint started;
  TimePoint store_confirmed_at;  ///< When a leader last reported that it can reach the store.
  TimePoint last_servers_request;
  Duration own_records_jitter{};  ///< Added to kOwnRecordsTimeInLargeFleet.
  bool mirrors_started = false;
  bool store_in_reach = false;   ///< From the leader's last answer.
  std::size_t fleet_size = 0;    ///< From a leader's last answer; 0: not known yet.
  bool left = false;             ///< Leave() was called.
  bool members_changed = false;  ///< The leader role's update is scheduled.
  bool heartbeat_in_flight = false;
  bool heartbeat_wanted = false;  ///< Sends the next heartbeat ahead of schedule.
  bool state_request_in_flight = false;
  KnownPrimaries known_primaries;
  /// Last answers of the primaries that were reported to the leader, by database.
  std::map<std::string, TimePoint> reported_answer_times;
  Duration heartbeat_interval = FleetLeader::kMinHeartbeatInterval;
  TimePoint last_heartbeat;
  TimePoint last_answer;  ///< When the last answer of a leader to a heartbeat arrived.
  TimePoint last_notices;
  TimePoint last_state_request;
  TimePoint grants_logged_at;
  std::size_t next_seed = 0;       ///< Round-robin index over the seeds and `peers`.
  std::uint64_t answer_epoch = 0;  ///< Epoch of the leader that sent `answer_stamp`.
  std::int64_t answer_stamp = 0;   ///< Stamp of the last heartbeat answer.
  TimePoint answer_received;
  std::uint64_t configuration_version = 0;
  ConfigurationUpdate configuration_update;
  ConfigurationSources configuration_sources;  ///< Used only while this process leads.
  std::uint64_t own_servers_version = 1;       ///< Version of this process's records; grows.
  std::uint64_t servers_epoch = 0;             ///< Epoch of the leader of `servers_version`.
  std::uint64_t servers_version = 0;           ///< Version of the leader's records in use; 0: none.
  bool servers_request_in_flight = false;
  HolderList holder_list;             ///< Used only while this process leads.
  std::uint64_t holders_version = 0;  ///< Of the list of holders in use; 0: none.
  ConfigurationReply configuration_reply;
  ServersReply servers_reply;  ///< Cached, because all members request the same.
  std::string last_reason;
};

}  // namespace sycamoredrum
