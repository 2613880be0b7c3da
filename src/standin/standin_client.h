#pragma once

#include <chrono>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "sycamoredrum/http.h"

namespace sycamoredrum {

constexpr std::chrono::seconds kClientTimeout{10};

/// Blocking HTTP client for the tests of the stand-ins.
class StandinClient {
 public:
  ~StandinClient() {
    this->loop.Stop();
    this->loop.Join();
  }

  HttpResult Call(const Endpoint& to, const std::string& method, const std::string& target,
                  const std::string& body = "", Duration timeout = kClientTimeout) {
    auto promise = std::make_shared<std::promise<HttpResult>>();
    this->client.Call(to, Request(method, target, body), timeout,
                      [promise](const HttpResult& result) { promise->set_value(result); });
    return promise->get_future().get();
  }
  nlohmann::json CallJson(const Endpoint& to, const std::string& method, const std::string& target,
                          const nlohmann::json& body = nlohmann::json::object()) {
    const HttpResult result = this->Call(to, method, target, body.dump());
    return nlohmann::json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
  }

  /// Connects over TCP and, unless `open` is false, opens a database connection.
  std::unique_ptr<HttpConnection> Connect(const Endpoint& to, bool open = true) {
    auto connection = std::make_unique<HttpConnection>(this->loop, HttpClientOptions{}, to);
    auto promise = std::make_shared<std::promise<HttpResult>>();
    connection->Connect(kClientTimeout,
                        [promise](const HttpResult& result) { promise->set_value(result); });
    promise->get_future().wait();
    if (open) {
      this->Send(*connection, "/v1/open", "");
    }
    return connection;
  }
  std::future<HttpResult> SendAsync(HttpConnection& connection, const std::string& target,
                                    const std::string& body, Duration timeout = kClientTimeout) {
    auto promise = std::make_shared<std::promise<HttpResult>>();
    connection.Send(Request("POST", target, body), timeout,
                    [promise](const HttpResult& result) { promise->set_value(result); });
    return promise->get_future();
  }
  HttpResult Send(HttpConnection& connection, const std::string& target, const std::string& body,
                  Duration timeout = kClientTimeout) {
    return this->SendAsync(connection, target, body, timeout).get();
  }

  /// Polls `condition` until it is true. Returns false after kClientTimeout, ten seconds.
  template <typename Condition>
  bool Eventually(Condition condition) {
    const TimePoint end = this->loop.Now() + kClientTimeout;
    while (!condition()) {
      if (this->loop.Now() > end) {
        return false;
      }
      std::this_thread::yield();
    }
    return true;
  }

 private:
  static HttpRequest Request(const std::string& method, const std::string& target,
                             const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    return request;
  }

  EventLoop loop{2};
  HttpClient client{this->loop, HttpClientOptions{}};
};

}  // namespace sycamoredrum
