#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child_process.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// What a Fleet consists of.
struct FleetOptions {
  std::vector<std::string> data_centres = {"mumbai", "chennai", "kolkata"};
  int proxies_per_data_centre = 2;
  std::vector<std::string> databases = {"orders"};
  int connection_cap = 20;
  std::string replication_lag = "5ms";
  std::string max_read_age = "5s";
  std::vector<std::string> proxy_flags;  ///< Additional flags of every proxy.
};

/// Answer to a caller, read from its JSON body.
struct CallerAnswer {
  int status = 0;       ///< HTTP status, or 0 if there was no complete answer.
  std::string outcome;  ///< "unknown" if there was no complete answer.
  nlohmann::json body;
};

/// A platform stand-in, the backend servers of each database and the proxies, as separate processes
/// on loopback addresses of their own (127.x.y.z, derived from the process id). Everything is
/// killed by the destructor. Failures of the set-up throw std::runtime_error.
class Fleet {
 public:
  static constexpr const char* kToken = "test-token";

  explicit Fleet(FleetOptions options);
  ~Fleet();

  /// Starts the platform, the backend servers and the proxies, applies the first ticket with the
  /// command-line client, and waits until every proxy is ready and every database has a primary.
  void Start();

  int ProxyCount() const;
  Endpoint CallerAddress(int proxy) const;
  Endpoint AdminAddress(int proxy) const;
  Endpoint PlatformAddress() const;
  Endpoint ControlAddress(const std::string& backend_server) const;
  const std::string& ProxyHost(int proxy) const;

  ChildProcess& ProxyProcess(int proxy) { return *this->proxies.at(proxy); }
  ChildProcess& BackendProcess(const std::string& backend_server) {
    return *this->backend_servers.at(backend_server).process;
  }
  ChildProcess& PlatformProcess() { return *this->platform; }

  void StartProxy(int proxy);
  void StartBackendServer(const std::string& backend_server);
  void StartPlatform();

  /// One HTTP call. Never throws; a failure has status 0.
  HttpResult Call(const Endpoint& to, const std::string& method, const std::string& target,
                  const std::string& body = "", HttpHeaders headers = {},
                  std::chrono::milliseconds timeout = std::chrono::seconds(10));

  /// Runs statements through a proxy. `headers` may hold an Idempotency-Key or a session.
  CallerAnswer Execute(int proxy, const std::string& database, const nlohmann::json& body,
                       HttpHeaders headers = {});

  /// JSON of the operators' status of a proxy, or null.
  nlohmann::json Status(int proxy);

  /// Primary of a database as a proxy sees it, or an empty text.
  std::string Primary(int proxy, const std::string& database);

  /// Sets a test switch of a stand-in, for example Switch(PlatformAddress(), "outage", {{"on",
  /// 1}}).
  void Switch(const Endpoint& stand_in, const std::string& name, const nlohmann::json& body);

  /// First ticket of the fleet; later ones start from it with a higher number.
  nlohmann::json Ticket(std::uint64_t number, const std::string& id) const;

  /// Runs `sycamoredrum ticket apply` and returns its exit code.
  int ApplyTicket(const nlohmann::json& ticket);

  /// Calls `condition` until it is true; returns false after `limit`.
  static bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

  /// Folder of the log files of all processes.
  const std::string& Folder() const { return this->folder; }

 private:
  struct BackendServer {
    std::string database;
    std::string data_centre;
    std::string host;
    std::unique_ptr<ChildProcess> process;
  };

  void WaitUntilReady();
  std::string Host(int number) const;

  FleetOptions options;
  std::string folder;
  std::string network;  ///< First three bytes of all addresses.
  EventLoop loop;
  HttpClient client;
  std::unique_ptr<ChildProcess> platform;
  std::map<std::string, BackendServer> backend_servers;
  std::vector<std::unique_ptr<ChildProcess>> proxies;
  std::vector<std::string> proxy_hosts;
};

}  // namespace sycamoredrum
