#include "backend_control.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr int kHttpOk = 200;

HttpRequest PostRequest(const std::string& target, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = std::move(body);
  return request;
}

HttpCallback ForStatus(BackendControl::StatusCallback callback) {
  return [callback = std::move(callback)](const HttpResult& result) {
    const bool answered = result.Ok() && result.response.status == kHttpOk;
    callback(answered ? ParseBackendServerStatus(result.response.body) : std::nullopt);
  };
}

std::optional<PositionAnswer> ParsePositionAnswer(const HttpResult& result) {
  if (!result.Ok() || result.response.status != kHttpOk) {
    return std::nullopt;
  }
  const nlohmann::json json =
      nlohmann::json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
  try {
    PositionAnswer answer;
    const auto outcome = json.at("outcome").get<std::string>();
    answer.contains = outcome == "contained";
    answer.not_in_history = outcome == "not_in_history";
    answer.promised_term = json.at("promised_term").get<std::uint64_t>();
    return answer;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string TermBody(std::uint64_t term, const char* name, const std::string& value) {
  return nlohmann::json({{"term", term}, {name, value}}).dump();
}

}  // namespace

void BackendControl::Status(const Endpoint& control, Duration timeout, StatusCallback callback) {
  HttpRequest request;
  request.target = "/v1/status";
  this->client.Call(control, request, timeout, ForStatus(std::move(callback)));
}

void BackendControl::Fence(const Endpoint& control, std::uint64_t term, const std::string& proposer,
                           StatusCallback callback) {
  this->Post(control, "/v1/fence", TermBody(term, "proposer", proposer), std::move(callback));
}

void BackendControl::Promote(const Endpoint& control, std::uint64_t term,
                             const std::string& proposer, StatusCallback callback) {
  this->Post(control, "/v1/promote", TermBody(term, "proposer", proposer), std::move(callback));
}

void BackendControl::Follow(const Endpoint& control, std::uint64_t term, const std::string& primary,
                            StatusCallback callback) {
  this->Post(control, "/v1/follow", TermBody(term, "primary", primary), std::move(callback));
}

void BackendControl::Wait(const Endpoint& control, const LogPosition& position, Duration timeout,
                          PositionCallback callback) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  const nlohmann::json body = {{"position", {{"term", position.term}, {"index", position.index}}},
                               {"timeout_ms", milliseconds}};
  this->client.Call(control, PostRequest("/v1/wait", body.dump()), timeout + kWaitAllowance,
                    [callback = std::move(callback)](const HttpResult& result) {
                      callback(ParsePositionAnswer(result));
                    });
}

void BackendControl::Post(const Endpoint& control, const std::string& target, std::string body,
                          StatusCallback callback) {
  this->client.Call(control, PostRequest(target, std::move(body)), kCallTimeout,
                    ForStatus(std::move(callback)));
}

}  // namespace sycamoredrum
