#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/relay_configuration.h"

namespace sycamoredrum {

/// How a member is registered in the store, and how the leader presents itself.
struct MemberRecord {
  std::string member;
  std::string incarnation;  ///< Differs for every start of the process.
  std::string data_centre;
  Endpoint endpoint;  ///< For links from other members.
};

std::string ToJson(const MemberRecord& record);
std::optional<MemberRecord> ParseMemberRecord(const std::string& json);

std::string ToJson(const PrimaryRecord& record);
std::optional<PrimaryRecord> ParsePrimaryRecord(const std::string& json);

/// A time as its sender tells it: how long before the sending it was.
struct DatabaseReportMessage {
  std::uint64_t generation = 0;
  std::uint64_t revoked_generation = 0;
  std::optional<LogPosition> newest;
  Duration newest_age{};
  std::optional<Duration> answered_age;
  std::optional<Duration> failing_for;
};

/// Heartbeat of a member to the leader.
struct HeartbeatMessage {
  std::string member;
  std::uint64_t epoch = 0;
  std::uint64_t configuration = 0;  ///< Version in force.
  /// Stamp of the last answer and how long the member has had it. The leader bounds the age of the
  /// member's times with them.
  std::int64_t echoed_stamp = 0;
  Duration echo_held{};
  /// Version of the primaries that the member has from the leader of `epoch`; 0: none.
  std::uint64_t primaries_version = 0;
  /// Only databases of which the member has something new to say.
  std::map<std::string, DatabaseReportMessage> databases;
  std::set<std::string> unreachable;
  std::map<std::string, double> demand;
};

std::string ToJson(const HeartbeatMessage& message);
std::optional<HeartbeatMessage> ParseHeartbeat(const std::string& json);

struct PositionMessage {
  std::uint64_t generation = 0;
  LogPosition position;
  Duration age{};
};

/// The leader's answer. `epoch` is 0 if the sender does not lead or does not know the member.
struct HeartbeatAnswer {
  std::uint64_t epoch = 0;
  std::int64_t stamp = 0;  ///< Leader's clock; only the leader interprets it.
  std::uint64_t configuration = 0;
  /// Grows with each change of the leader's records of backend servers; 0: it cannot vouch for
  /// them.
  std::uint64_t servers_version = 0;
  /// False if the leader does not find the member's registration in the store.
  bool registered = true;
  /// True if the leader has heard of the store so lately that the member need not read it itself.
  bool store_in_reach = false;
  std::size_t fleet_size = 0;  ///< Registered members.
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  /// Version of `primaries`; grows with each change.
  std::uint64_t primaries_version = 0;
  /// Primaries that may be used; absent if the member has this version.
  std::optional<std::map<std::string, PrimaryRecord>> primaries;
  std::map<std::string, PositionMessage> positions;
  /// Connections that the member may open, by backend server, if they differ from kLeastShare.
  std::map<std::string, int> connections;
};

std::string ToJson(const HeartbeatAnswer& answer);
std::optional<HeartbeatAnswer> ParseHeartbeatAnswer(const std::string& json);

struct RevocationMessage {
  std::uint64_t epoch = 0;
  std::string database;
  std::uint64_t generation = 0;
  bool planned = false;  ///< Statements under way may end first.
};

std::string ToJson(const RevocationMessage& message);
std::optional<RevocationMessage> ParseRevocation(const std::string& json);

struct RevocationAnswer {
  bool acknowledged = false;
  std::optional<LogPosition> newest;
};

std::string ToJson(const RevocationAnswer& answer);
std::optional<RevocationAnswer> ParseRevocationAnswer(const std::string& json);

/// Names the leader to a member that may not be able to read the store.
struct LeaderNotice {
  MemberRecord leader;
  std::uint64_t epoch = 0;
};

std::string ToJson(const LeaderNotice& notice);
std::optional<LeaderNotice> ParseLeaderNotice(const std::string& json);

/// What a process that cannot read the store needs from one that can.
struct SharedState {
  std::optional<MemberRecord> leader;
  std::uint64_t epoch = 0;  ///< Of `leader`.
  std::uint64_t configuration = 0;
  std::string configuration_text;     ///< As the store holds it; empty if it was not asked for.
  std::uint64_t servers_version = 0;  ///< As in HeartbeatAnswer.
  std::map<std::string, BackendServerRecord> servers;
  std::vector<Endpoint> peers;  ///< Some other members, to be asked when the leader is lost.
};

std::string ToJson(const SharedState& state);
std::optional<SharedState> ParseSharedState(const std::string& json);

}  // namespace sycamoredrum
