#include "sycamoredrum/request.h"

#include <array>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr std::array<std::pair<Reason, std::string_view>, 22> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kBadRequest, "bad_request"},
    {Reason::kUnauthorized, "unauthorized"},
    {Reason::kForbidden, "forbidden"},
    {Reason::kUnknownDatabase, "unknown_database"},
    {Reason::kTooLarge, "too_large"},
    {Reason::kTooManyRequests, "too_many_requests"},
    {Reason::kQueueFull, "queue_full"},
    {Reason::kDeadline, "deadline"},
    {Reason::kConnectionRefused, "connection_refused"},
    {Reason::kConnectionLost, "connection_lost"},
    {Reason::kHolderUnreachable, "holder_unreachable"},
    {Reason::kNoPrimary, "no_primary"},
    {Reason::kNoFreshnessProof, "no_freshness_proof"},
    {Reason::kBehind, "behind"},
    {Reason::kSessionPositionLost, "session_position_lost"},
    {Reason::kFenced, "fenced"},
    {Reason::kUnconfirmed, "unconfirmed"},
    {Reason::kRequestIdReused, "request_id_reused"},
    {Reason::kStatement, "statement"},
    {Reason::kNoTransaction, "no_transaction"},
    {Reason::kStopping, "stopping"},
}};

auto Fields(const ExecuteCommand& c) {
  return std::tie(c.database, c.backend_server, c.caller_group, c.transaction, c.request,
                  c.remaining, c.trace_parent);
}

auto Fields(const ExecuteAnswer& a) {
  return std::tie(a.outcome, a.reason, a.message, a.results, a.position, a.duplicate,
                  a.backend_server, a.transaction, a.retry_after);
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}  // namespace

std::string_view ToString(Reason reason) {
  for (const auto& entry : kReasonNames) {
    if (entry.first == reason) {
      return entry.second;
    }
  }
  return "none";
}

std::optional<Reason> ParseReason(std::string_view text) {
  for (const auto& entry : kReasonNames) {
    if (entry.second == text) {
      return entry.first;
    }
  }
  return std::nullopt;
}

ExecuteAnswer ExecuteAnswer::NotRun(Reason reason, std::string message, Duration retry_after) {
  ExecuteAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.message = std::move(message);
  answer.retry_after = retry_after;
  return answer;
}

ExecuteAnswer ExecuteAnswer::Unknown(Reason reason, std::string message) {
  ExecuteAnswer answer;
  answer.outcome = Outcome::kUnknown;
  answer.reason = reason;
  answer.message = std::move(message);
  return answer;
}

bool operator==(const ExecuteCommand& a, const ExecuteCommand& b) { return Fields(a) == Fields(b); }
bool operator==(const ExecuteAnswer& a, const ExecuteAnswer& b) { return Fields(a) == Fields(b); }

std::string ToJson(const ExecuteCommand& command) {
  const nlohmann::json json = {{"database", command.database},
                               {"backend_server", command.backend_server},
                               {"caller_group", command.caller_group},
                               {"transaction", command.transaction},
                               {"request", nlohmann::json::parse(ToJson(command.request))},
                               {"remaining_ms", ToMilliseconds(command.remaining)},
                               {"trace_parent", command.trace_parent}};
  return json.dump();
}

std::string ToJson(const ExecuteAnswer& answer) {
  const nlohmann::json json = {
      {"outcome", ToString(answer.outcome)},
      {"reason", ToString(answer.reason)},
      {"message", answer.message},
      {"results", answer.results},
      {"position", {{"term", answer.position.term}, {"index", answer.position.index}}},
      {"duplicate", answer.duplicate},
      {"backend_server", answer.backend_server},
      {"transaction", answer.transaction},
      {"retry_after_ms", ToMilliseconds(answer.retry_after)}};
  return json.dump();
}

std::optional<ExecuteCommand> ParseExecuteCommand(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    const auto request = ParseBackendRequest(json.at("request").dump());
    if (!request) {
      return std::nullopt;
    }
    ExecuteCommand command;
    command.database = json.at("database").get<std::string>();
    command.backend_server = json.at("backend_server").get<std::string>();
    command.caller_group = json.at("caller_group").get<std::string>();
    command.transaction = json.value("transaction", "");
    command.request = *request;
    command.remaining = Milliseconds(json.at("remaining_ms").get<std::int64_t>());
    command.trace_parent = json.value("trace_parent", "");
    return command;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<ExecuteAnswer> ParseExecuteAnswer(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    const auto outcome = ParseOutcome(json.at("outcome").get<std::string>());
    const auto reason = ParseReason(json.at("reason").get<std::string>());
    if (!outcome || !reason) {
      return std::nullopt;
    }
    ExecuteAnswer answer;
    answer.outcome = *outcome;
    answer.reason = *reason;
    answer.message = json.value("message", "");
    answer.results = json.at("results").get<std::vector<std::string>>();
    answer.position.term = json.at("position").at("term").get<std::uint64_t>();
    answer.position.index = json.at("position").at("index").get<std::uint64_t>();
    answer.duplicate = json.value("duplicate", false);
    answer.backend_server = json.value("backend_server", "");
    answer.transaction = json.value("transaction", "");
    answer.retry_after = Milliseconds(json.value("retry_after_ms", std::int64_t{0}));
    return answer;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamoredrum
