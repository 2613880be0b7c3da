#include "fleet_messages.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "packed_json.h"

namespace sycamoredrum {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

// Leaves room for later generations.
constexpr std::uint64_t kMaxGeneration = std::numeric_limits<std::uint64_t>::max() / 2;

// Durations are transmitted in whole microseconds.
std::int64_t ToWire(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

Duration FromWire(const Json& json) { return microseconds(json.get<std::int64_t>()); }

Json PositionJson(const LogPosition& position) {
  return Json::array({position.term, position.index});
}

LogPosition ParsePosition(const Json& json) {
  return LogPosition{json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()};
}

// Runs `decode` on the parsed text. The senders run the same program; a message that does not match
// the expected format is dropped as a whole.
template <typename Value, typename Decode>
std::optional<Value> Parse(const std::string& text, Decode decode) {
  try {
    return decode(Json::parse(text));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Parses a text that may be the result of Pack.
template <typename Value, typename Decode>
std::optional<Value> ParsePacked(const std::string& text, Decode decode) {
  return Parse<Value>(text, [&decode](const Json& json) -> std::optional<Value> {
    if (!IsPacked(json)) {
      return decode(json);
    }
    const std::optional<std::string> unpacked = Unpack(json);
    return unpacked ? std::optional<Value>(decode(Json::parse(*unpacked))) : std::nullopt;
  });
}

Json EndpointJson(const Endpoint& endpoint) { return endpoint.ToString(); }

Endpoint ParseEndpoint(const Json& json) {
  return Endpoint::Parse(json.get<std::string>()).value_or(Endpoint{});
}

Json MemberJson(const MemberRecord& record) {
  return {{"member", record.member},
          {"incarnation", record.incarnation},
          {"data_centre", record.data_centre},
          {"endpoint", EndpointJson(record.endpoint)}};
}

MemberRecord DecodeMember(const Json& json) {
  MemberRecord record;
  record.member = json.at("member").get<std::string>();
  record.incarnation = json.at("incarnation").get<std::string>();
  record.data_centre = json.at("data_centre").get<std::string>();
  record.endpoint = ParseEndpoint(json.at("endpoint"));
  return record;
}

Json PrimaryJson(const PrimaryRecord& record) {
  return {{"server", record.server},   {"generation", record.generation},
          {"serving", record.serving}, {"term", record.term},
          {"era", record.era},         {"settled", record.settled}};
}

PrimaryRecord DecodePrimary(const Json& json) {
  return PrimaryRecord{json.at("server").get<std::string>(),
                       json.at("generation").get<std::uint64_t>(),
                       json.at("serving").get<bool>(),
                       json.value("term", std::uint64_t{0}),
                       json.value("era", std::uint64_t{0}),
                       json.value("settled", false),
                       TermHistory(),
                       LogPosition()};
}

Json HistoryJson(const TermHistory& history) {
  Json json = Json::array();
  for (const TermStart& start : history.Starts()) {
    json.push_back({start.term, start.first_index});
  }
  return json;
}

// A term and an index, or nothing if the text is not of that form.
std::optional<LogPosition> DecodePosition(const Json& json) {
  if (!json.is_array() || json.size() != 2 || !json[0].is_number_unsigned() ||
      !json[1].is_number_unsigned()) {
    return std::nullopt;
  }
  return LogPosition{json[0].get<std::uint64_t>(), json[1].get<std::uint64_t>()};
}

// Empty unless the terms and their first indices ascend.
TermHistory DecodeHistory(const Json& json) {
  std::vector<TermStart> starts;
  for (const Json& entry : json) {
    const std::optional<LogPosition> start = DecodePosition(entry);
    if (!start || (!starts.empty() && (start->term <= starts.back().term ||
                                       start->index < starts.back().first_index))) {
      return {};
    }
    starts.push_back(TermStart{start->term, start->index});
  }
  return TermHistory(std::move(starts));
}

Json ServerJson(const BackendServerRecord& record) {
  return {{"database", record.database},
          {"endpoint", EndpointJson(record.endpoint)},
          {"data_centre", record.data_centre},
          {"draining", record.state == BackendServerState::kDraining},
          {"primary", record.claims_primary},
          {"started", record.started_at_ms}};
}

BackendServerRecord DecodeServer(const std::string& id, const Json& json) {
  BackendServerRecord record;
  record.id = id;
  record.database = json.at("database").get<std::string>();
  record.endpoint = ParseEndpoint(json.at("endpoint"));
  record.data_centre = json.at("data_centre").get<std::string>();
  record.state =
      json.at("draining").get<bool>() ? BackendServerState::kDraining : BackendServerState::kReady;
  record.claims_primary = json.at("primary").get<bool>();
  record.started_at_ms = json.at("started").get<std::int64_t>();
  return record;
}

Json ReportJson(const DatabaseReportMessage& report) {
  Json json = {{"generation", report.generation}, {"revoked", report.revoked_generation}};
  if (report.newest) {
    json["newest"] = PositionJson(*report.newest);
    json["newest_age"] = ToWire(report.newest_age);
  }
  if (report.answered_age) {
    json["answered_age"] = ToWire(*report.answered_age);
  }
  if (report.failing_for) {
    json["failing_for"] = ToWire(*report.failing_for);
  }
  return json;
}

DatabaseReportMessage DecodeReport(const Json& json) {
  DatabaseReportMessage report;
  report.generation = json.at("generation").get<std::uint64_t>();
  report.revoked_generation = json.at("revoked").get<std::uint64_t>();
  if (json.contains("newest")) {
    report.newest = ParsePosition(json.at("newest"));
    report.newest_age = FromWire(json.at("newest_age"));
  }
  if (json.contains("answered_age")) {
    report.answered_age = FromWire(json.at("answered_age"));
  }
  if (json.contains("failing_for")) {
    report.failing_for = FromWire(json.at("failing_for"));
  }
  return report;
}

}  // namespace

std::string ToJson(const MemberRecord& record) { return MemberJson(record).dump(); }

std::optional<MemberRecord> ParseMemberRecord(const std::string& text) {
  const std::optional<MemberRecord> record = Parse<MemberRecord>(text, DecodeMember);
  return record && record->endpoint != Endpoint{} ? record : std::nullopt;
}

std::string ToJson(const PrimaryRecord& record) {
  Json json = PrimaryJson(record);
  if (!record.history.Starts().empty()) {
    json["history"] = HistoryJson(record.history);
  }
  if (record.end != LogPosition()) {
    json["end"] = {record.end.term, record.end.index};
  }
  return json.dump();
}

// Another writer may have replaced the record. Conversions of the JSON library accept negative
// numbers and numbers with a fraction.
std::optional<PrimaryRecord> ParsePrimaryRecord(const std::string& text) {
  return Parse<PrimaryRecord>(text, [](const Json& json) -> std::optional<PrimaryRecord> {
    for (const char* field : {"generation", "term", "era"}) {
      if (json.contains(field) && !json.at(field).is_number_unsigned()) {
        return std::nullopt;
      }
    }
    PrimaryRecord record = DecodePrimary(json);
    if (record.server.empty() || record.generation > kMaxGeneration) {
      return std::nullopt;
    }
    if (json.contains("history")) {
      record.history = DecodeHistory(json.at("history"));
    }
    if (json.contains("end")) {
      record.end = DecodePosition(json.at("end")).value_or(LogPosition());
    }
    return record;
  });
}

std::string ToJson(const HeartbeatMessage& message) {
  Json json = {{"member", message.member},
               {"registration", message.registration},
               {"epoch", message.epoch},
               {"configuration", message.configuration},
               {"echoed_stamp", message.echoed_stamp},
               {"echo_held", ToWire(message.echo_held)},
               {"primaries_version", message.primaries_version}};
  for (const auto& [name, report] : message.databases) {
    json["databases"][name] = ReportJson(report);
  }
  if (message.grants_returned) {
    json["grants_returned"] = true;
  }
  if (!message.unreachable.empty()) {
    json["unreachable"] = message.unreachable;
  }
  if (!message.demand.empty()) {
    json["demand"] = message.demand;
  }
  if (message.used_databases) {
    json["used_databases"] = *message.used_databases;
  }
  if (message.allowance) {
    json["allowance"] = *message.allowance;
  }
  if (message.processor_share) {
    json["processor_share"] = *message.processor_share;
  }
  if (message.holders_version != 0) {
    json["holders_version"] = message.holders_version;
  }
  if (message.accepts_deflated) {
    json["accepts_deflated"] = true;
  }
  return json.dump();
}

std::optional<HeartbeatMessage> ParseHeartbeat(const std::string& text) {
  return Parse<HeartbeatMessage>(text, [](const Json& json) {
    HeartbeatMessage message;
    message.member = json.at("member").get<std::string>();
    message.registration = json.at("registration").get<std::uint64_t>();
    message.grants_returned = json.value("grants_returned", false);
    message.epoch = json.at("epoch").get<std::uint64_t>();
    message.configuration = json.at("configuration").get<std::uint64_t>();
    message.echoed_stamp = json.at("echoed_stamp").get<std::int64_t>();
    message.echo_held = FromWire(json.at("echo_held"));
    message.primaries_version = json.at("primaries_version").get<std::uint64_t>();
    if (json.contains("databases")) {
      for (const auto& [name, report] : json.at("databases").items()) {
        message.databases.emplace(name, DecodeReport(report));
      }
    }
    message.unreachable = json.value("unreachable", std::set<std::string>());
    message.demand = json.value("demand", std::map<std::string, double>());
    if (json.contains("used_databases")) {
      message.used_databases = json.at("used_databases").get<std::set<std::string>>();
    }
    if (json.contains("allowance")) {
      message.allowance = json.at("allowance").get<AllowanceHeartbeat>();
    }
    if (json.contains("processor_share")) {
      message.processor_share = json.at("processor_share").get<double>();
    }
    message.holders_version = json.value("holders_version", std::uint64_t{0});
    message.accepts_deflated = json.value("accepts_deflated", false);
    return message;
  });
}

std::string ToJson(const HeartbeatAnswer& answer) {
  Json json = {{"epoch", answer.epoch},
               {"stamp", answer.stamp},
               {"configuration", answer.configuration},
               {"servers_version", answer.servers_version},
               {"registered", answer.registered},
               {"store_in_reach", answer.store_in_reach},
               {"fleet_size", answer.fleet_size},
               {"heartbeat_interval", ToWire(answer.heartbeat_interval)},
               {"primaries_version", answer.primaries_version}};
  if (answer.primaries) {
    json["primaries"] = Json::object();
    for (const auto& [name, record] : *answer.primaries) {
      json["primaries"][name] = PrimaryJson(record);
    }
    json["primaries_base"] = answer.primaries_base;
  }
  if (!answer.withdrawn.empty()) {
    json["withdrawn"] = answer.withdrawn;
  }
  // Arrays keep the answers short, because each contains one position per database.
  for (const auto& [name, position] : answer.positions) {
    json["positions"][name] = {position.generation, position.position.term, position.position.index,
                               ToWire(position.age)};
  }
  if (!answer.connections.empty()) {
    json["connections"] = answer.connections;
  }
  if (answer.allowance) {
    json["allowance"] = *answer.allowance;
  }
  if (answer.holders) {
    json["holders"] = Json::array();
    for (const ConnectionHolder& holder : *answer.holders) {
      json["holders"].push_back({holder.member, holder.data_centre, EndpointJson(holder.endpoint),
                                 holder.processor_share});
    }
    json["holders_version"] = answer.holders_version;
  }
  if (answer.configuration_sources) {
    json["configuration_sources"] = Json::array();
    for (const Endpoint& source : *answer.configuration_sources) {
      json["configuration_sources"].push_back(EndpointJson(source));
    }
  }
  return json.dump();
}

std::optional<HeartbeatAnswer> ParseHeartbeatAnswer(const std::string& text) {
  return ParsePacked<HeartbeatAnswer>(text, [](const Json& json) {
    HeartbeatAnswer answer;
    answer.epoch = json.at("epoch").get<std::uint64_t>();
    answer.stamp = json.at("stamp").get<std::int64_t>();
    answer.configuration = json.at("configuration").get<std::uint64_t>();
    answer.servers_version = json.at("servers_version").get<std::uint64_t>();
    answer.registered = json.at("registered").get<bool>();
    answer.store_in_reach = json.at("store_in_reach").get<bool>();
    answer.fleet_size = json.at("fleet_size").get<std::size_t>();
    answer.heartbeat_interval = FromWire(json.at("heartbeat_interval"));
    answer.primaries_version = json.at("primaries_version").get<std::uint64_t>();
    if (json.contains("primaries")) {
      answer.primaries.emplace();
      for (const auto& [name, record] : json.at("primaries").items()) {
        answer.primaries->emplace(name, DecodePrimary(record));
      }
      answer.primaries_base = json.at("primaries_base").get<std::uint64_t>();
      answer.withdrawn = json.value("withdrawn", std::set<std::string>());
    }
    if (json.contains("positions")) {
      for (const auto& [name, position] : json.at("positions").items()) {
        answer.positions.emplace(name,
                                 PositionMessage{position.at(0).get<std::uint64_t>(),
                                                 LogPosition{position.at(1).get<std::uint64_t>(),
                                                             position.at(2).get<std::uint64_t>()},
                                                 FromWire(position.at(3))});
      }
    }
    answer.connections = json.value("connections", std::map<std::string, int>());
    if (json.contains("allowance")) {
      answer.allowance = json.at("allowance").get<AllowanceLeases>();
    }
    if (json.contains("holders")) {
      answer.holders.emplace();
      for (const Json& holder : json.at("holders")) {
        answer.holders->push_back(
            ConnectionHolder{holder.at(0).get<std::string>(), holder.at(1).get<std::string>(),
                             ParseEndpoint(holder.at(2)), holder.at(3).get<double>()});
      }
      answer.holders_version = json.at("holders_version").get<std::uint64_t>();
    }
    if (json.contains("configuration_sources")) {
      answer.configuration_sources.emplace();
      for (const Json& source : json.at("configuration_sources")) {
        answer.configuration_sources->push_back(ParseEndpoint(source));
      }
    }
    return answer;
  });
}

std::string ToJson(const RevocationMessage& message) {
  return Json{{"epoch", message.epoch},
              {"database", message.database},
              {"generation", message.generation},
              {"planned", message.planned}}
      .dump();
}

std::optional<RevocationMessage> ParseRevocation(const std::string& text) {
  return Parse<RevocationMessage>(text, [](const Json& json) {
    return RevocationMessage{
        json.at("epoch").get<std::uint64_t>(), json.at("database").get<std::string>(),
        json.at("generation").get<std::uint64_t>(), json.at("planned").get<bool>()};
  });
}

std::string ToJson(const RevocationAnswer& answer) {
  Json json = {{"acknowledged", answer.acknowledged}, {"registration", answer.registration}};
  if (answer.newest) {
    json["newest"] = PositionJson(*answer.newest);
  }
  if (answer.confirmed) {
    json["confirmed"] = PositionJson(*answer.confirmed);
  }
  return json.dump();
}

std::optional<RevocationAnswer> ParseRevocationAnswer(const std::string& text) {
  return Parse<RevocationAnswer>(text, [](const Json& json) {
    RevocationAnswer answer;
    answer.acknowledged = json.at("acknowledged").get<bool>();
    answer.registration = json.value("registration", std::uint64_t{0});
    if (json.contains("newest")) {
      answer.newest = ParsePosition(json.at("newest"));
    }
    if (json.contains("confirmed")) {
      answer.confirmed = ParsePosition(json.at("confirmed"));
    }
    return answer;
  });
}

std::string ToJson(const LeaderNotice& notice) {
  return Json{{"leader", MemberJson(notice.leader)}, {"epoch", notice.epoch}}.dump();
}

std::optional<LeaderNotice> ParseLeaderNotice(const std::string& text) {
  return Parse<LeaderNotice>(text, [](const Json& json) {
    return LeaderNotice{DecodeMember(json.at("leader")), json.at("epoch").get<std::uint64_t>()};
  });
}

std::string ToJson(const StateRequest& request) {
  Json json = {{"configuration", request.configuration},
               {"accepts_deflated", request.accepts_deflated}};
  if (request.servers_fingerprint) {
    json["servers_fingerprint"] = *request.servers_fingerprint;
  }
  return json.dump();
}

std::optional<StateRequest> ParseStateRequest(const std::string& text) {
  return Parse<StateRequest>(text, [](const Json& json) {
    StateRequest request;
    request.configuration = json.at("configuration").get<std::uint64_t>();
    if (json.contains("servers_fingerprint")) {
      request.servers_fingerprint = json.at("servers_fingerprint").get<std::uint64_t>();
    }
    request.accepts_deflated = json.value("accepts_deflated", false);
    return request;
  });
}

std::string ToJson(const SharedState& state) {
  Json json = {{"epoch", state.epoch},
               {"configuration", state.configuration},
               {"configuration_text", state.configuration_text},
               {"servers_version", state.servers_version}};
  if (state.leader) {
    json["leader"] = MemberJson(*state.leader);
  }
  if (state.servers) {
    json["servers"] = Json::object();
    for (const auto& [id, record] : *state.servers) {
      json["servers"][id] = ServerJson(record);
    }
  }
  for (const Endpoint& peer : state.peers) {
    json["peers"].push_back(EndpointJson(peer));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

namespace {

SharedState DecodeSharedState(const Json& json) {
  SharedState state;
  state.epoch = json.at("epoch").get<std::uint64_t>();
  state.configuration = json.at("configuration").get<std::uint64_t>();
  state.configuration_text = json.at("configuration_text").get<std::string>();
  state.servers_version = json.at("servers_version").get<std::uint64_t>();
  if (json.contains("leader")) {
    state.leader = DecodeMember(json.at("leader"));
  }
  if (json.contains("servers")) {
    state.servers.emplace();
    for (const auto& [id, record] : json.at("servers").items()) {
      state.servers->emplace(id, DecodeServer(id, record));
    }
  }
  if (json.contains("peers")) {
    for (const Json& peer : json.at("peers")) {
      state.peers.push_back(ParseEndpoint(peer));
    }
  }
  return state;
}

}  // namespace

std::optional<SharedState> ParseSharedState(const std::string& text) {
  return ParsePacked<SharedState>(text, DecodeSharedState);
}

}  // namespace sycamoredrum
