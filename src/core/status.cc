#include "sycamoredrum/status.h"

#include <nlohmann/json.hpp>
#include <tuple>

namespace sycamoredrum {
namespace {

auto Fields(const BackendServerStatus& status) {
  return std::tie(status.backend_server, status.database, status.role, status.term,
                  status.promised_term, status.promised_by, status.last_index, status.history,
                  status.follows, status.primary_silence, status.accepted);
}

}  // namespace

bool operator==(const BackendServerStatus& a, const BackendServerStatus& b) {
  return Fields(a) == Fields(b);
}

std::string ToJson(const BackendServerStatus& status) {
  nlohmann::json history = nlohmann::json::array();
  for (const TermStart& start : status.history.Starts()) {
    history.push_back({start.term, start.first_index});
  }
  nlohmann::json json = {{"backend_server", status.backend_server},
                         {"database", status.database},
                         {"role", status.role == Role::kPrimary ? "primary" : "replica"},
                         {"term", status.term},
                         {"promised_term", status.promised_term},
                         {"promised_by", status.promised_by},
                         {"last_index", status.last_index},
                         {"history", history},
                         {"follows", status.follows},
                         {"accepted", status.accepted}};
  if (status.primary_silence) {
    json["primary_silence_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(*status.primary_silence).count();
  }
  return json.dump();
}

std::optional<BackendServerStatus> ParseBackendServerStatus(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    BackendServerStatus status;
    status.backend_server = json.at("backend_server").get<std::string>();
    status.database = json.at("database").get<std::string>();
    status.role = json.at("role") == "primary" ? Role::kPrimary : Role::kReplica;
    status.term = json.at("term").get<std::uint64_t>();
    status.promised_term = json.at("promised_term").get<std::uint64_t>();
    status.promised_by = json.at("promised_by").get<std::string>();
    status.last_index = json.at("last_index").get<std::uint64_t>();
    std::vector<TermStart> starts;
    for (const nlohmann::json& start : json.at("history")) {
      starts.push_back(
          TermStart{start.at(0).get<std::uint64_t>(), start.at(1).get<std::uint64_t>()});
    }
    status.history = TermHistory(std::move(starts));
    status.follows = json.value("follows", "");
    status.accepted = json.value("accepted", true);
    if (json.contains("primary_silence_ms")) {
      status.primary_silence =
          std::chrono::milliseconds(json.at("primary_silence_ms").get<std::int64_t>());
    }
    return status;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamoredrum
