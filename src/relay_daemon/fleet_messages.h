#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "allowance_messages.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/connection_holders.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/relay_configuration.h"

namespace sycamoredrum {

/// Identity of a member: value of its registration and, for the leader, of the leader's key.
struct MemberRecord {
  std::string member;
  std::string incarnation;  ///< Unique to each start of the process.
  std::string data_centre;
  Endpoint endpoint;  ///< Listens for links from other members.
};

std::string ToJson(const MemberRecord& record);
std::optional<MemberRecord> ParseMemberRecord(const std::string& json);

std::string ToJson(const PrimaryRecord& record);
std::optional<PrimaryRecord> ParsePrimaryRecord(const std::string& json);

/// A member's observations of one database. Times are transmitted as ages at the time of sending,
/// because the clocks of two processes are unrelated.
struct DatabaseReportMessage {
  std::uint64_t generation = 0;
  std::uint64_t revoked_generation = 0;
  std::optional<LogPosition> newest;
  Duration newest_age{};
  std::optional<Duration> answered_age;
  std::optional<Duration> failing_for;
};

/// Heartbeat that a member sends to the leader.
struct HeartbeatMessage {
  std::string member;
  /// Revision of the registration that this process wrote; 0 if it has not registered yet.
  std::uint64_t registration = 0;
  /// The process stops and has ended the use of all grants; it sends no further heartbeat.
  bool grants_returned = false;
  std::uint64_t epoch = 0;
  std::uint64_t configuration = 0;  ///< Version in use.
  /// Stamp of the last answer and the time since its receipt. From both, the leader derives the
  /// earliest time at which the heartbeat can have been sent.
  std::int64_t echoed_stamp = 0;
  Duration echo_held{};
  /// Version of the primaries that the member received from the leader of `epoch`; 0: none.
  std::uint64_t primaries_version = 0;
  /// Only databases with observations that the leader does not have yet.
  std::map<std::string, DatabaseReportMessage> databases;
  /// Backend servers that do not answer the member, or fail its statements.
  std::set<std::string> unreachable;
  /// Mean number of statements that run or wait, by backend server.
  std::map<std::string, double> demand;
  /// Databases whose positions the member needs; nothing if it needs all.
  std::optional<std::set<std::string>> used_databases;
  std::optional<AllowanceHeartbeat> allowance;
  /// Fraction of a processor core that the member gets. Only where relays forward statements.
  std::optional<double> processor_share;
  std::uint64_t holders_version = 0;  ///< Of the list of holders that the member has; 0: none.
  bool accepts_deflated = false;      ///< The member reads an answer that was compressed by Pack.
};

std::string ToJson(const HeartbeatMessage& message);
std::optional<HeartbeatMessage> ParseHeartbeat(const std::string& json);

/// Log position of a primary, observed `age` before the message was sent.
struct PositionMessage {
  std::uint64_t generation = 0;
  LogPosition position;
  Duration age{};
};

/// Answer to a heartbeat. `epoch` is 0 if the sender does not lead or does not know the member.
struct HeartbeatAnswer {
  std::uint64_t epoch = 0;
  std::int64_t stamp = 0;  ///< Time of the leader's clock; opaque to members.
  std::uint64_t configuration = 0;
  /// Members to request `configuration` from. Empty if none has capacity at present; absent if the
  /// receiver needs none, or the sender is an earlier release that delivers all itself.
  std::optional<std::vector<Endpoint>> configuration_sources;
  /// Grows with each change of the leader's records of backend servers; 0: they may be outdated.
  std::uint64_t servers_version = 0;
  /// False if the leader does not find the member's registration in the store.
  bool registered = true;
  /// True if the store answered the leader recently, so that the member need not read it itself.
  bool store_in_reach = false;
  std::size_t fleet_size = 0;  ///< Number of registered members.
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Version of `primaries`; grows with each change.
  std::uint64_t primaries_version = 0;
  /// Version that `primaries` and `withdrawn` change to `primaries_version`; 0 if `primaries` holds
  /// all primaries that may be used.
  std::uint64_t primaries_base = 0;
  /// Primaries that may be used; absent if the member already has this version.
  std::optional<std::map<std::string, PrimaryRecord>> primaries;
  /// Databases that have had no primary that may be used since `primaries_base`.
  std::set<std::string> withdrawn;
  std::map<std::string, PositionMessage> positions;
  /// Connections that the member may open, by backend server; only values other than kMinShare.
  std::map<std::string, int> connections;
  std::optional<AllowanceLeases> allowance;
  /// Relays that hold connections; absent if the member has this list, or needs none.
  std::optional<std::vector<ConnectionHolder>> holders;
  std::uint64_t holders_version = 0;  ///< Of `holders`.
};

std::string ToJson(const HeartbeatAnswer& answer);
/// Reads a packed text as well.
std::optional<HeartbeatAnswer> ParseHeartbeatAnswer(const std::string& json);

/// Revokes a member's grants of `database` up to `generation`.
struct RevocationMessage {
  std::uint64_t epoch = 0;
  std::string database;
  std::uint64_t generation = 0;
  bool planned = false;  ///< Statements in progress may finish first.
};

std::string ToJson(const RevocationMessage& message);
std::optional<RevocationMessage> ParseRevocation(const std::string& json);

struct RevocationAnswer {
  bool acknowledged = false;
  /// Greatest log position that the member knows in the revoked generations.
  std::optional<LogPosition> newest;
  /// All commits that the member's process confirmed in them are at or before this position;
  /// nothing if it confirmed none.
  std::optional<LogPosition> confirmed;
  /// Revision of the registration of the member's process; 0 if it has not registered yet.
  std::uint64_t registration = 0;
};

std::string ToJson(const RevocationAnswer& answer);
std::optional<RevocationAnswer> ParseRevocationAnswer(const std::string& json);

/// Announces the leader to a member that may be unable to read the store.
struct LeaderNotice {
  MemberRecord leader;
  std::uint64_t epoch = 0;
};

std::string ToJson(const LeaderNotice& notice);
std::optional<LeaderNotice> ParseLeaderNotice(const std::string& json);

/// What the sender of a state request already has. The answer leaves that out.
struct StateRequest {
  std::uint64_t configuration = 0;
  /// Fingerprint of its records of backend servers; nothing if it does not need records.
  std::optional<std::uint64_t> servers_fingerprint;
  bool accepts_deflated = false;  ///< The sender reads the result of Pack.
};

std::string ToJson(const StateRequest& request);
std::optional<StateRequest> ParseStateRequest(const std::string& json);

/// State of the fleet for a process that cannot read the store itself.
struct SharedState {
  std::optional<MemberRecord> leader;
  std::uint64_t epoch = 0;  ///< Epoch of `leader`.
  std::uint64_t configuration = 0;
  /// Value of the configuration in the store; empty if the receiver has it or did not request it.
  std::string configuration_text;
  std::uint64_t servers_version = 0;  ///< As in HeartbeatAnswer.
  /// Absent if the receiver has the same records or does not need them.
  std::optional<std::map<std::string, BackendServerRecord>> servers;
  std::vector<Endpoint> peers;  ///< Random members, to be queried when the leader is lost.
};

std::string ToJson(const SharedState& state);
/// Reads a packed text as well.
std::optional<SharedState> ParseSharedState(const std::string& json);

}  // namespace sycamoredrum
