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

/// Answer that a caller received, with the parsed JSON body.
struct CallerAnswer {
  int status = 0;  ///< HTTP status, or 0 if there was no complete answer.
  /// Outcome stated in the body; "not_run" if the request was not sent, and "unknown" if there was
  /// no complete answer.
  std::string outcome;
  nlohmann::json body;
};

/// Runs a platform stand-in, the backend servers of each database and the proxies as separate
/// processes, each on its own loopback address (127.x.y.z, derived from the process id of the
/// test). The destructor kills all of them. Throws std::runtime_error if the set-up fails.
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

  /// Makes one HTTP call and waits for its result. Does not throw; a failure has status 0.
  HttpResult Call(const Endpoint& to, const std::string& method, const std::string& target,
                  const std::string& body = "", HttpHeaders headers = {},
                  std::chrono::milliseconds timeout = std::chrono::seconds(10));

  /// Runs statements through a proxy. `headers` may hold an Idempotency-Key or a session.
  CallerAnswer Execute(int proxy, const std::string& database, const nlohmann::json& body,
                       HttpHeaders headers = {},
                       std::chrono::milliseconds timeout = std::chrono::seconds(10));

  /// Sends one POST request to the callers' port with the bearer token of the caller group
  /// "testers".
  CallerAnswer CallerCall(int proxy, const std::string& target, const nlohmann::json& body,
                          HttpHeaders headers = {},
                          std::chrono::milliseconds timeout = std::chrono::seconds(10));

  /// Status that a proxy shows to operators (/v1/status), or null if the call failed.
  nlohmann::json Status(int proxy);

  /// Id of the primary of a database according to a proxy, or an empty text.
  std::string Primary(int proxy, const std::string& database);

  /// Waits until a backend server of the database is primary in the highest term that any of them
  /// has promised. Returns its id, or an empty text after `limit`.
  std::string ActingPrimary(const std::string& database, std::chrono::milliseconds limit);

  /// Committed value of a key on a backend server; empty if it has none. Throws
  /// std::runtime_error if the server does not answer.
  std::string Value(const std::string& backend_server, const std::string& key);

  /// Ids of the backend servers of a database.
  std::vector<std::string> BackendServers(const std::string& database) const;

  /// Sets a test switch of a stand-in, for example
  /// SetTestSwitch(PlatformAddress(), "outage", {{"on", true}}).
  void SetTestSwitch(const Endpoint& stand_in, const std::string& name, const nlohmann::json& body);

  /// Ticket that describes the whole fleet. Tests change it for tickets after the first one.
  nlohmann::json Ticket(std::uint64_t number, const std::string& id) const;

  /// Runs `sycamoredrum ticket apply` and returns its exit status, or -1 if it does not end in
  /// time.
  int ApplyTicket(const nlohmann::json& ticket);

  /// Calls `condition` every 10 ms until it is true. Returns false after `limit`.
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
  std::string network;  ///< First three numbers of all addresses, as text.
  EventLoop loop;
  HttpClient client;
  std::unique_ptr<ChildProcess> platform;
  std::map<std::string, BackendServer> backend_servers;
  std::vector<std::unique_ptr<ChildProcess>> proxies;
  std::vector<std::string> proxy_hosts;
};

}  // namespace sycamoredrum
