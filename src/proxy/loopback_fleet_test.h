#pragma once

#include <unistd.h>

#include <chrono>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "database_server.h"
#include "platform_server.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/platform_http.h"
#include "sycamoredrum/proxy.h"
#include "sycamoredrum/sha256.h"

namespace sycamoredrum {

/// Runs three stand-in backend servers and a stand-in platform, and has the settings of proxies
/// that use them. All run in this process, on loopback addresses that differ between processes
/// (127.x.y.z, derived from the process id).
class LoopbackFleet {
 public:
  static constexpr const char* kToken = "test-token";
  static constexpr Duration kStartLimit = std::chrono::seconds(30);

  LoopbackFleet()
      : network("127." + std::to_string(1 + getpid() % 254) + "." +
                std::to_string(getpid() / 254 % 256) + "."),
        loop(4),
        client(loop, HttpClientOptions()),
        platform(loop) {
    this->Expect(!this->platform.Start(this->Address(1, kPlatformPort)), "platform");
    for (int i = 0; i < kServers; ++i) {
      this->servers.push_back(std::make_unique<DatabaseServer>(this->loop, this->ServerOptions(i)));
      this->Expect(!this->servers.back()->Start(), "backend server");
    }
    this->PutTicket();
  }
  ~LoopbackFleet() { this->Join(); }

  /// Stops Loop() and waits for its threads, so that objects with callbacks on it can be destroyed.
  void Join() {
    this->loop.Stop();
    this->loop.Join();
  }

  Endpoint CallerAddress(int proxy) const { return this->Address(100 + proxy, 8080); }
  Endpoint AdminAddress(int proxy) const { return this->Address(100 + proxy, 8083); }

  Endpoint Control(int server) const { return this->Address(10 + server, 7002); }
  Endpoint Statements(int server) const { return this->Address(10 + server, 7001); }
  Endpoint Platform() const { return this->Address(1, kPlatformPort); }
  EventLoop& Loop() { return this->loop; }
  HttpClient& Client() { return this->client; }

  ProxySettings Settings(int proxy) const {
    ProxySettings settings;
    settings.member_id = "p" + std::to_string(proxy);
    settings.data_centre = "dc" + std::to_string(proxy % kServers);
    settings.caller_address = this->CallerAddress(proxy);
    settings.peer_address = this->Address(100 + proxy, 8081);
    settings.membership_address = this->Address(100 + proxy, 8082);
    settings.admin_address = this->AdminAddress(proxy);
    settings.platform_address = this->Address(1, kPlatformPort);
    settings.seeds = {this->Address(100, 8082)};
    settings.fleet_key = "test-fleet-key-0123456789";
    settings.log_level = LogLevel::kError;
    settings.workers = 2;
    settings.drain_delay = std::chrono::milliseconds(100);
    return settings;
  }

  HttpResult Call(const Endpoint& to, const std::string& method, const std::string& target,
                  const std::string& body = "", HttpHeaders headers = {}) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = std::move(headers);
    auto promise = std::make_shared<std::promise<HttpResult>>();
    this->client.Call(to, request, std::chrono::seconds(5),
                      [promise](const HttpResult& result) { promise->set_value(result); });
    return promise->get_future().get();
  }

  /// Runs a statement as a caller. Returns the outcome, or an empty string if there was no answer.
  std::string Execute(int proxy, const std::string& statement, bool read_only) {
    const nlohmann::json body = {{"statements", {statement}}, {"read_only", read_only}};
    const HttpResult result =
        this->Call(this->CallerAddress(proxy), "POST", "/v1/databases/orders/execute", body.dump(),
                   {HttpHeader{"Authorization", std::string("Bearer ") + kToken}});
    const auto json = nlohmann::json::parse(result.response.body, nullptr, false);
    return json.is_object() ? json.value("outcome", "") : "";
  }

  /// Number of members in the status of the proxy, or 0 if it does not answer.
  std::size_t Members(int proxy) {
    const HttpResult result = this->Call(this->AdminAddress(proxy), "GET", "/v1/status");
    const auto json = nlohmann::json::parse(result.response.body, nullptr, false);
    return json.is_object() ? json.at("members").size() : 0;
  }

  /// Waits until the proxy reports at least `members` members and a write through it succeeds.
  /// Returns false after kStartLimit.
  bool WaitUntilServing(int proxy, std::size_t members = 1) {
    const auto limit = std::chrono::steady_clock::now() + kStartLimit;
    while (this->Members(proxy) < members ||
           this->Execute(proxy, "PUT ready x", false) != "result") {
      if (std::chrono::steady_clock::now() > limit) {
        return false;
      }
      std::this_thread::yield();
    }
    return true;
  }

 private:
  static constexpr int kServers = 3;
  static constexpr std::uint16_t kPlatformPort = 7100;

  static void Expect(bool started, const std::string& part) {
    if (!started) {
      throw std::runtime_error("cannot start the stand-in: " + part);
    }
  }
  Endpoint Address(int host, std::uint16_t port) const {
    return {this->network + std::to_string(host), port};
  }
  static std::string ServerId(int server) { return "orders-" + std::to_string(server); }

  DatabaseServerOptions ServerOptions(int server) const {
    DatabaseServerOptions options;
    options.id = ServerId(server);
    options.database = "orders";
    options.data_centre = "dc" + std::to_string(server);
    options.statements = this->Statements(server);
    options.control = this->Control(server);
    for (int other = 0; other < kServers; ++other) {
      if (other != server) {
        options.peers[ServerId(other)] = this->Control(other);
      }
    }
    return options;
  }

  void PutTicket() {
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < kServers; ++i) {
      list.push_back({{"id", ServerId(i)},
                      {"vm", ServerId(i) + "-vm"},
                      {"data_centre", "dc" + std::to_string(i)},
                      {"statements", this->Statements(i).ToString()},
                      {"control", this->Control(i).ToString()},
                      {"connection_cap", 20}});
    }
    const nlohmann::json database = {{"name", "orders"}, {"backend_servers", list}};
    const nlohmann::json group = {{"name", "testers"},
                                  {"token_sha256", Sha256Hex(kToken)},
                                  {"databases", {"orders"}},
                                  {"max_read_age", "5s"},
                                  {"max_concurrent", 512}};
    const nlohmann::json ticket = {{"number", 1},
                                   {"id", "first"},
                                   {"author", "test"},
                                   {"databases", nlohmann::json::array({database})},
                                   {"caller_groups", nlohmann::json::array({group})}};
    const PlatformClient writer = MakePlatformClient(this->client, this->Address(1, kPlatformPort),
                                                     [](const std::string&, const std::string&) {});
    std::promise<PlatformStatus> written;
    writer.put("sycamoredrum/tickets/000000000001", ticket.dump(), 0,
               [&](PlatformStatus status, std::uint64_t) { written.set_value(status); });
    this->Expect(written.get_future().get() == PlatformStatus::kOk, "first ticket");
  }

  const std::string network;
  EventLoop loop;
  HttpClient client;
  PlatformServer platform;
  std::vector<std::unique_ptr<DatabaseServer>> servers;
};

}  // namespace sycamoredrum
