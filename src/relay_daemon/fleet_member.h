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
  std::function<void(const std::string& text)> configuration;
  /// State for members that cannot read the store.
  std::function<SharedState()> shared_state;
  /// True while this process cannot read the backend servers' records itself.
  std::function<bool()> needs_servers;
};

/// A process as a member of the fleet: it registers itself, knows the leader, asks it for grants by
/// heartbeats, and gives them back when asked. The leader part of the same process is reached
/// without a link. Not thread-safe; all callbacks run on the one worker of the loop.
class FleetMember {
 public:
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
  /// Time limit of a heartbeat and of other requests to members.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(700);
  /// A member without an answer of its leader for this time asks others who leads.
  static constexpr Duration kLeaderSilence = std::chrono::milliseconds(1500);
  /// How long the store may hold a watch of a member that hears the leader, which tells it of new
  /// configurations as well. Below the 20 s for which the store keeps its history.
  static constexpr Duration kRelaxedWatchTimeout = std::chrono::seconds(10);
  /// A process that has just started reads the records of the backend servers itself for this time.
  /// After a common restart the leader has more urgent work than to send them to everyone.
  static constexpr Duration kOwnRecordsAfterStart = std::chrono::seconds(3);
  /// A leader tells members that it does not hear of its leadership in these intervals.
  static constexpr Duration kNoticeInterval = std::chrono::milliseconds(500);
  /// Least time between heartbeats that are sent because something happened.
  static constexpr Duration kUrgentInterval = std::chrono::milliseconds(50);
  /// Statements under way may end for this time before a planned revocation is acknowledged.
  static constexpr Duration kRevocationGrace = std::chrono::milliseconds(350);

  FleetMember(const RelayPlatform& platform, MemberRecord self, std::vector<Endpoint> seeds,
              const std::string& fleet_key, FleetMemberHooks hooks, SessionRelay& relay,
              PrimaryGrants& grants, ServerDirectory& servers, EventLoop& loop, const Clock& clock,
              RandomSource random, Logger& logger, Metrics& metrics);

  /// Starts to listen for other members. Returns false and sets LastReason() on failure.
  bool Start();
  /// To be called every 50 ms or so.
  void Tick();
  /// Leaves the fleet; `done` runs when the registration is removed or the store did not answer.
  void Leave(std::function<void()> done);
  /// A primary refused or broke a connection; the leader is told at once.
  void Suspect(const std::string& database);
  void ConfigurationChanged(const RelayConfiguration& configuration);
  void ServersChanged(const std::map<std::string, BackendServerRecord>& records);

  std::optional<MemberRecord> Leader() const { return this->leader; }
  /// True if another process leads and answers, so that this one learns of changes from it.
  bool HearsLeader() const;
  /// True if the present records of the backend servers came from the leader, and new ones will.
  bool HasServersOfLeader() const;
  /// Records that were read elsewhere may be older than those of the leader; asks for them again.
  void AskForServers() { this->servers_version = 0; }
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
  StoreMirrorHooks MakeMirrorHooks();
  void Register();
  void WriteRegistration(std::uint64_t revision);
  void Registered();
  void RetryRegistration();
  void OnFleetKey(const StoreEvent& event);
  void SetLeader(const MemberRecord& record, std::uint64_t epoch);
  bool MayAcceptGrants() const;

  void SendHeartbeat();
  HeartbeatMessage MakeHeartbeat() const;
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
  void Nudge();
  void SendNotice(const std::string& member);
  void NotifySilentMembers();
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
  FleetLeader leader_part;
  StoreMirror mirror;
  PeerServer peer_server;
  std::map<Endpoint, std::unique_ptr<PeerLink>> links;
  std::map<std::string, MemberRecord> members;
  std::map<std::string, std::uint64_t> member_revisions;
  std::optional<MemberRecord> leader;
  std::uint64_t leader_epoch = 0;  ///< Of `leader`.
  std::map<std::string, std::string> logged_grants;
  TimePoint started;
  bool registered = false;
  bool mirror_started = false;
  bool leaving = false;
  bool heartbeat_under_way = false;
  bool heartbeat_wanted = false;
  bool state_under_way = false;
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
  bool servers_under_way = false;
  ServersReply servers_reply;  ///< The last one; all members ask for the same.
  std::string last_reason;
};

}  // namespace sycamoredrum
