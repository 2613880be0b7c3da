#include "sycamoredrum/backend.h"

#include <array>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr std::array<std::pair<TransactionStep, std::string_view>, 5> kStepNames = {{
    {TransactionStep::kSingle, "single"},
    {TransactionStep::kBegin, "begin"},
    {TransactionStep::kContinue, "continue"},
    {TransactionStep::kCommit, "commit"},
    {TransactionStep::kRollback, "rollback"},
}};

constexpr std::array<std::pair<BackendError, std::string_view>, 10> kErrorNames = {{
    {BackendError::kNone, "none"},
    {BackendError::kFenced, "fenced"},
    {BackendError::kNotPrimary, "not_primary"},
    {BackendError::kBehind, "behind"},
    {BackendError::kNotInHistory, "not_in_history"},
    {BackendError::kRequestIdReused, "request_id_reused"},
    {BackendError::kStatement, "statement"},
    {BackendError::kInTransaction, "in_transaction"},
    {BackendError::kNoTransaction, "no_transaction"},
    {BackendError::kBadRequest, "bad_request"},
}};

template <typename Names, typename Value>
std::string_view NameOf(const Names& names, Value value) {
  for (const auto& entry : names) {
    if (entry.first == value) {
      return entry.second;
    }
  }
  return "";
}

template <typename Value, typename Names>
std::optional<Value> ValueOf(const Names& names, std::string_view text) {
  for (const auto& entry : names) {
    if (entry.second == text) {
      return entry.first;
    }
  }
  return std::nullopt;
}

auto Fields(const BackendRequest& r) {
  return std::tie(r.request_id, r.fingerprint, r.write, r.term, r.statements, r.require, r.wait,
                  r.step);
}

auto Fields(const BackendReply& r) {
  return std::tie(r.error, r.message, r.results, r.position, r.duplicate);
}

nlohmann::json PositionToJson(const LogPosition& position) {
  return {{"term", position.term}, {"index", position.index}};
}

LogPosition PositionFromJson(const nlohmann::json& json) {
  return LogPosition{json.at("term").get<std::uint64_t>(), json.at("index").get<std::uint64_t>()};
}

}  // namespace

std::string_view ToString(TransactionStep step) { return NameOf(kStepNames, step); }
std::optional<TransactionStep> ParseTransactionStep(std::string_view text) {
  return ValueOf<TransactionStep>(kStepNames, text);
}

std::string_view ToString(BackendError error) { return NameOf(kErrorNames, error); }
std::optional<BackendError> ParseBackendError(std::string_view text) {
  return ValueOf<BackendError>(kErrorNames, text);
}

bool operator==(const BackendRequest& a, const BackendRequest& b) { return Fields(a) == Fields(b); }
bool operator==(const BackendReply& a, const BackendReply& b) { return Fields(a) == Fields(b); }

std::string ToJson(const BackendRequest& request) {
  const nlohmann::json json = {
      {"request_id", request.request_id},
      {"fingerprint", request.fingerprint},
      {"write", request.write},
      {"term", request.term},
      {"statements", request.statements},
      {"require", PositionToJson(request.require)},
      {"wait_ms", std::chrono::duration_cast<Milliseconds>(request.wait).count()},
      {"transaction", ToString(request.step)}};
  return json.dump();
}

std::string ToJson(const BackendReply& reply) {
  nlohmann::json json = {{"results", reply.results},
                         {"position", PositionToJson(reply.position)},
                         {"duplicate", reply.duplicate}};
  if (reply.error != BackendError::kNone) {
    json["error"] = ToString(reply.error);
    json["message"] = reply.message;
  }
  return json.dump();
}

std::optional<BackendRequest> ParseBackendRequest(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    BackendRequest request;
    request.request_id = json.value("request_id", "");
    request.fingerprint = json.value("fingerprint", "");
    request.write = json.at("write").get<bool>();
    request.term = json.value("term", std::uint64_t{0});
    request.statements = json.at("statements").get<std::vector<std::string>>();
    if (json.contains("require")) {
      request.require = PositionFromJson(json.at("require"));
    }
    request.wait = Milliseconds(json.value("wait_ms", std::int64_t{0}));
    const auto step = ParseTransactionStep(json.value("transaction", "single"));
    if (!step) {
      return std::nullopt;
    }
    request.step = *step;
    return request;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<BackendReply> ParseBackendReply(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    BackendReply reply;
    const auto error = ParseBackendError(json.value("error", "none"));
    if (!error) {
      return std::nullopt;
    }
    reply.error = *error;
    reply.message = json.value("message", "");
    reply.results = json.at("results").get<std::vector<std::string>>();
    reply.position = PositionFromJson(json.at("position"));
    reply.duplicate = json.value("duplicate", false);
    return reply;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamoredrum
