#include <algorithm>
#include <nlohmann/json.hpp>

#include "sycamoredrum/database_view.h"

namespace sycamoredrum {
namespace {

using Microseconds = std::chrono::microseconds;

// Greater ages are rejected so that the subtraction from a time point cannot overflow.
constexpr std::uint64_t kMaxAgeMicroseconds = 10ULL * 365 * 24 * 3600 * 1'000'000;

std::uint64_t AgeOf(TimePoint time, TimePoint now) {
  const Duration age = std::max(now - time, Duration::zero());
  return static_cast<std::uint64_t>(std::chrono::ceil<Microseconds>(age).count());
}

// The Read functions throw nlohmann::json::exception if a field is missing, and return nothing if a
// number or time has the wrong type: the library's conversions would accept negative numbers and
// fractions.
std::optional<std::uint64_t> ReadNumber(const nlohmann::json& json, const char* field) {
  const nlohmann::json& value = json.at(field);
  if (!value.is_number_unsigned()) {
    return std::nullopt;
  }
  return value.get<std::uint64_t>();
}

std::optional<TimePoint> ReadTime(const nlohmann::json& json, const char* field,
                                  TimePoint requested_at) {
  const std::optional<std::uint64_t> age = ReadNumber(json, field);
  if (!age || *age > kMaxAgeMicroseconds) {
    return std::nullopt;
  }
  return requested_at - Microseconds(*age);
}

nlohmann::json ServerToJson(const BackendServerView& server, TimePoint now) {
  nlohmann::json json = {{"id", server.id}, {"reachable", server.reachable}};
  if (server.status) {
    json["status"] = nlohmann::json::parse(ToJson(*server.status));
    json["age_us"] = AgeOf(server.observed_at, now);
  }
  return json;
}

std::optional<BackendServerView> ReadServer(const nlohmann::json& json, TimePoint requested_at) {
  BackendServerView server;
  server.id = json.at("id").get<std::string>();
  server.reachable = json.at("reachable").get<bool>();
  if (!json.contains("status")) {
    return server;
  }
  server.status = ParseBackendServerStatus(json.at("status").dump());
  const std::optional<TimePoint> observed_at = ReadTime(json, "age_us", requested_at);
  if (!server.status || !observed_at) {
    return std::nullopt;
  }
  server.observed_at = *observed_at;
  return server;
}

std::optional<FreshnessProof> ReadProof(const nlohmann::json& json, TimePoint requested_at) {
  const std::optional<std::uint64_t> term = ReadNumber(json, "term");
  const std::optional<std::uint64_t> index = ReadNumber(json, "index");
  const std::optional<TimePoint> proven_at = ReadTime(json, "age_us", requested_at);
  if (!term || !index || !proven_at) {
    return std::nullopt;
  }
  return FreshnessProof{LogPosition{*term, *index}, *proven_at};
}

std::optional<DatabaseView> ReadView(const nlohmann::json& json, TimePoint requested_at) {
  DatabaseView view;
  view.database = json.at("database").get<std::string>();
  view.primary = json.at("primary").get<std::string>();
  const std::optional<std::uint64_t> term = ReadNumber(json, "term");
  const nlohmann::json& servers = json.at("backend_servers");
  if (!term || !servers.is_array()) {
    return std::nullopt;
  }
  view.term = *term;
  for (const nlohmann::json& item : servers) {
    std::optional<BackendServerView> server = ReadServer(item, requested_at);
    if (!server) {
      return std::nullopt;
    }
    view.backend_servers.push_back(std::move(*server));
  }
  if (json.contains("proof")) {
    view.proof = ReadProof(json.at("proof"), requested_at);
    if (!view.proof) {
      return std::nullopt;
    }
  }
  return view;
}

}  // namespace

std::string ToJson(const DatabaseView& view, TimePoint now) {
  nlohmann::json servers = nlohmann::json::array();
  for (const BackendServerView& server : view.backend_servers) {
    servers.push_back(ServerToJson(server, now));
  }
  nlohmann::json json = {{"database", view.database},
                         {"term", view.term},
                         {"primary", view.primary},
                         {"backend_servers", servers}};
  if (view.proof) {
    json["proof"] = {{"term", view.proof->position.term},
                     {"index", view.proof->position.index},
                     {"age_us", AgeOf(view.proof->proven_at, now)}};
  }
  return json.dump();
}

std::optional<DatabaseView> ParseDatabaseView(const std::string& text, TimePoint requested_at) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    return ReadView(json, requested_at);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamoredrum
