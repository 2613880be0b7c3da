#include "admin_call.h"

#include <fmt/format.h>

#include <future>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr int kFirstErrorStatus = 300;

HttpResult CallOnce(const Endpoint& proxy, const HttpRequest& request) {
  EventLoop loop(1);
  HttpClient client(loop, HttpClientOptions());
  std::promise<HttpResult> promise;
  client.Call(proxy, request, kCallTimeout,
              [&promise](const HttpResult& result) { promise.set_value(result); });
  HttpResult result = promise.get_future().get();
  loop.Stop();
  loop.Join();
  return result;
}

std::string MessageOf(const HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  const std::string message = body.is_object() ? body.value("message", "") : "";
  return message.empty() ? fmt::format("answered with HTTP status {}", response.status) : message;
}

}  // namespace

AdminCallResult CallAdmin(const Endpoint& proxy, const std::string& method,
                          const std::string& target) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  const HttpResult http = CallOnce(proxy, request);
  AdminCallResult result;
  if (http.error == HttpError::kNotSent) {
    result.status = AdminCallStatus::kUnreachable;
    result.message = fmt::format("{}: cannot be reached: {}", proxy.ToString(), http.message);
  } else if (!http.Ok()) {
    result.message = fmt::format("{}: gave no complete answer: {}", proxy.ToString(), http.message);
  } else if (http.response.status >= kFirstErrorStatus) {
    result.status = AdminCallStatus::kRefused;
    result.message = fmt::format("{}: {}", proxy.ToString(), MessageOf(http.response));
  } else if (!nlohmann::json::accept(http.response.body)) {
    result.status = AdminCallStatus::kRefused;
    result.message = fmt::format("{}: answered with text that is not JSON", proxy.ToString());
  } else {
    result.status = AdminCallStatus::kAnswered;
    result.body = http.response.body;
  }
  return result;
}

int ExitCodeOf(AdminCallStatus status) {
  switch (status) {
    case AdminCallStatus::kAnswered:
      return kExitOk;
    case AdminCallStatus::kRefused:
    case AdminCallStatus::kUnreachable:
      return kExitFailure;
    case AdminCallStatus::kUnknown:
      break;
  }
  return kExitUnknown;
}

}  // namespace sycamoredrum
