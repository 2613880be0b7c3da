#include "fleet.h"

#include <poll.h>
#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>

#include "sycamoredrum/sha256.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kStartTimeout(20);
constexpr milliseconds kConditionPollInterval(10);
constexpr char kFleetKey[] = "test-fleet-key-0123456789";

constexpr std::uint16_t kCallerPort = 8080;
constexpr std::uint16_t kPeerPort = 8081;
constexpr std::uint16_t kMembershipPort = 8082;
constexpr std::uint16_t kAdminPort = 8083;
constexpr std::uint16_t kStatementPort = 7001;
constexpr std::uint16_t kControlPort = 7002;
constexpr std::uint16_t kPlatformPort = 7100;
constexpr int kPlatformHost = 1;
constexpr int kFirstBackendHost = 10;
constexpr int kFirstProxyHost = 100;

std::string MakeFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "sycamoredrum-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder for the logs");
  }
  return pattern;
}

void WaitForReadyLine(ChildProcess& process, const std::string& name) {
  const auto line = process.ReadLine(kStartTimeout);
  if (!line || line->rfind("ready", 0) != 0) {
    throw std::runtime_error(name + " did not start");
  }
}

}  // namespace

Fleet::Fleet(FleetOptions options)
    : options(std::move(options)),
      folder(MakeFolder()),
      network(OwnLoopbackNetwork()),
      loop(2),
      client(loop, HttpClientOptions()) {
  int number = kFirstBackendHost;
  for (const std::string& database : this->options.databases) {
    for (const std::string& data_centre : this->options.data_centres) {
      BackendServer server;
      server.database = database;
      server.data_centre = data_centre;
      server.host = this->Host(number++);
      std::string id = database;
      id += "-";
      id += data_centre;
      this->backend_servers[id] = std::move(server);
    }
  }
  const int count =
      this->options.proxies_per_data_centre * static_cast<int>(this->options.data_centres.size());
  this->proxies.resize(count);
  for (int proxy = 0; proxy < count; ++proxy) {
    this->proxy_hosts.push_back(this->Host(kFirstProxyHost + proxy));
  }
}

Fleet::~Fleet() {
  this->proxies.clear();
  this->backend_servers.clear();
  this->platform.reset();
  this->loop.Stop();
  this->loop.Join();
  std::error_code ignored;
  if (getenv("SYCAMOREDRUM_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string Fleet::Host(int number) const { return this->network + "." + std::to_string(number); }

int Fleet::ProxyCount() const { return static_cast<int>(this->proxies.size()); }
const std::string& Fleet::ProxyHost(int proxy) const { return this->proxy_hosts.at(proxy); }
Endpoint Fleet::CallerAddress(int proxy) const { return {this->ProxyHost(proxy), kCallerPort}; }
Endpoint Fleet::AdminAddress(int proxy) const { return {this->ProxyHost(proxy), kAdminPort}; }
Endpoint Fleet::PlatformAddress() const { return {this->Host(kPlatformHost), kPlatformPort}; }
Endpoint Fleet::ControlAddress(const std::string& backend_server) const {
  return {this->backend_servers.at(backend_server).host, kControlPort};
}

void Fleet::StartPlatform() {
  this->platform.reset();
  this->platform = std::make_unique<ChildProcess>(
      STANDIN_PLATFORM, std::vector<std::string>{"--listen=" + this->PlatformAddress().ToString()},
      std::vector<std::string>(), this->folder + "/platform.log");
  WaitForReadyLine(*this->platform, "the platform stand-in");
}

void Fleet::StartBackendServer(const std::string& id) {
  BackendServer& server = this->backend_servers.at(id);
  std::vector<std::string> flags = {
      "--id=" + id,
      "--database=" + server.database,
      "--vm=" + id + "-vm",
      "--data-centre=" + server.data_centre,
      "--statements=" + Endpoint{server.host, kStatementPort}.ToString(),
      "--control=" + Endpoint{server.host, kControlPort}.ToString(),
      "--cap=" + std::to_string(this->options.connection_cap),
      "--replication-lag=" + this->options.replication_lag};
  for (const auto& [other_id, other] : this->backend_servers) {
    if (other_id != id && other.database == server.database) {
      flags.push_back("--peer=" + other_id + "=" + Endpoint{other.host, kControlPort}.ToString());
    }
  }
  server.process.reset();
  server.process = std::make_unique<ChildProcess>(
      STANDIN_DATABASE, flags, std::vector<std::string>(), this->folder + "/" + id + ".log");
  WaitForReadyLine(*server.process, id);
}

void Fleet::StartProxy(int proxy) {
  const std::string& host = this->ProxyHost(proxy);
  const std::string name = "proxy-" + std::to_string(proxy);
  std::vector<std::string> flags = {
      "proxy",
      "--member-id=" + name,
      "--data-centre=" +
          this->options.data_centres.at(proxy / this->options.proxies_per_data_centre),
      "--caller-address=" + Endpoint{host, kCallerPort}.ToString(),
      "--peer-address=" + Endpoint{host, kPeerPort}.ToString(),
      "--membership-address=" + Endpoint{host, kMembershipPort}.ToString(),
      "--admin-address=" + Endpoint{host, kAdminPort}.ToString(),
      "--platform-address=" + this->PlatformAddress().ToString(),
      "--seeds=" + Endpoint{this->ProxyHost(0), kMembershipPort}.ToString() + "," +
          Endpoint{this->proxy_hosts.back(), kMembershipPort}.ToString(),
      "--workers=2"};
  flags.insert(flags.end(), this->options.proxy_flags.begin(), this->options.proxy_flags.end());
  // The addresses are in use until the former process has ended.
  this->proxies.at(proxy).reset();
  this->proxies.at(proxy) = std::make_unique<ChildProcess>(
      SYCAMOREDRUM, flags,
      std::vector<std::string>{std::string("SYCAMOREDRUM_FLEET_KEY=") + kFleetKey},
      this->folder + "/" + name + ".log");
}

void Fleet::Start() {
  this->StartPlatform();
  for (const auto& entry : this->backend_servers) {
    this->StartBackendServer(entry.first);
  }
  for (int proxy = 0; proxy < this->ProxyCount(); ++proxy) {
    this->StartProxy(proxy);
  }
  if (this->ApplyTicket(this->Ticket(1, "first")) != 0) {
    throw std::runtime_error("the first ticket was not accepted");
  }
  this->WaitUntilReady();
}

void Fleet::WaitUntilReady() {
  const bool ready = WaitUntil(
      [this] {
        for (int proxy = 0; proxy < this->ProxyCount(); ++proxy) {
          const json status = this->Status(proxy);
          if (!status.is_object() || !status.value("ready", false) ||
              status.value("configuration_number", 0) < 1 ||
              status.at("members").size() != this->proxies.size()) {
            return false;
          }
        }
        for (const std::string& database : this->options.databases) {
          const json body = {{"statements", {"GET ready"}}, {"read_only", true}};
          if (this->Execute(0, database, body).outcome != "result") {
            return false;
          }
        }
        return true;
      },
      kStartTimeout);
  if (!ready) {
    throw std::runtime_error("the fleet did not become ready; logs are in " + this->folder);
  }
}

HttpResult Fleet::Call(const Endpoint& to, const std::string& method, const std::string& target,
                       const std::string& body, HttpHeaders headers, milliseconds timeout) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers = std::move(headers);
  auto promise = std::make_shared<std::promise<HttpResult>>();
  this->client.Call(to, request, timeout,
                    [promise](const HttpResult& result) { promise->set_value(result); });
  return promise->get_future().get();
}

CallerAnswer Fleet::Execute(int proxy, const std::string& database, const json& body,
                            HttpHeaders headers, milliseconds timeout) {
  return this->CallerCall(proxy, "/v1/databases/" + database + "/execute", body, std::move(headers),
                          timeout);
}

CallerAnswer Fleet::CallerCall(int proxy, const std::string& target, const json& body,
                               HttpHeaders headers, milliseconds timeout) {
  headers.push_back(HttpHeader{"Authorization", std::string("Bearer ") + kToken});
  const HttpResult result = this->Call(this->CallerAddress(proxy), "POST", target, body.dump(),
                                       std::move(headers), timeout);
  CallerAnswer answer;
  answer.outcome = result.error == HttpError::kNotSent ? "not_run" : "unknown";
  if (result.Ok()) {
    answer.status = result.response.status;
    answer.body = json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
    answer.outcome = answer.body.is_object() ? answer.body.value("outcome", "unknown") : "unknown";
  }
  return answer;
}

json Fleet::Status(int proxy) {
  const HttpResult result =
      this->Call(this->AdminAddress(proxy), "GET", "/v1/status", "", {}, seconds(1));
  return result.Ok() ? json::parse(result.response.body, nullptr, /*allow_exceptions=*/false)
                     : json();
}

std::string Fleet::Primary(int proxy, const std::string& database) {
  const json status = this->Status(proxy);
  if (!status.is_object()) {
    return "";
  }
  for (const json& entry : status.at("databases")) {
    if (entry.at("database") == database) {
      return entry.value("primary", "");
    }
  }
  return "";
}

std::vector<std::string> Fleet::BackendServers(const std::string& database) const {
  std::vector<std::string> ids;
  for (const auto& [id, server] : this->backend_servers) {
    if (server.database == database) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::string Fleet::ActingPrimary(const std::string& database, milliseconds limit) {
  std::string primary;
  WaitUntil(
      [&] {
        std::uint64_t highest = 0;
        primary.clear();
        for (const std::string& id : this->BackendServers(database)) {
          const HttpResult result =
              this->Call(this->ControlAddress(id), "GET", "/v1/status", "", {}, seconds(1));
          const json status = json::parse(result.response.body, nullptr, false);
          if (!result.Ok() || !status.is_object()) {
            continue;
          }
          const auto promised = status.value("promised_term", std::uint64_t{0});
          const bool acts = status.value("role", "") == "primary" &&
                            status.value("term", std::uint64_t{0}) == promised;
          if (promised > highest) {
            highest = promised;
            primary.clear();
          }
          if (acts && promised == highest) {
            primary = id;
          }
        }
        return !primary.empty();
      },
      limit);
  return primary;
}

std::string Fleet::Value(const std::string& backend_server, const std::string& key) {
  const HttpResult result = this->Call(this->ControlAddress(backend_server), "GET",
                                       "/test/value?key=" + PercentEncode(key));
  if (!result.Ok() || (result.response.status != 200 && result.response.status != 404)) {
    throw std::runtime_error("cannot read a value of " + backend_server);
  }
  const json body = json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object() ? body.value("value", "") : "";
}

void Fleet::SetTestSwitch(const Endpoint& stand_in, const std::string& name, const json& body) {
  const HttpResult result = this->Call(stand_in, "POST", "/test/" + name, body.dump());
  if (!result.Ok() || result.response.status != 200) {
    throw std::runtime_error("test switch " + name + " failed: " + result.message +
                             result.response.body);
  }
}

json Fleet::Ticket(std::uint64_t number, const std::string& id) const {
  json databases = json::array();
  for (const std::string& database : this->options.databases) {
    json servers = json::array();
    for (const auto& [server_id, server] : this->backend_servers) {
      if (server.database == database) {
        servers.push_back({{"id", server_id},
                           {"vm", server_id + "-vm"},
                           {"data_centre", server.data_centre},
                           {"statements", Endpoint{server.host, kStatementPort}.ToString()},
                           {"control", Endpoint{server.host, kControlPort}.ToString()},
                           {"connection_cap", this->options.connection_cap}});
      }
    }
    databases.push_back({{"name", database}, {"backend_servers", servers}});
  }
  const json group = {{"name", "testers"},
                      {"token_sha256", Sha256Hex(kToken)},
                      {"databases", this->options.databases},
                      {"max_read_age", this->options.max_read_age},
                      {"max_concurrent", 512}};
  return {{"number", number},
          {"id", id},
          {"author", "test"},
          {"databases", databases},
          {"caller_groups", {group}}};
}

int Fleet::ApplyTicket(const json& ticket) {
  const std::string path = this->folder + "/ticket-" + ticket.at("id").get<std::string>() + ".json";
  std::ofstream(path) << ticket.dump();
  ChildProcess command(
      SYCAMOREDRUM,
      {"ticket", "apply", path, "--platform-address=" + this->PlatformAddress().ToString()}, {},
      this->folder + "/tickets.log");
  return command.Wait(kStartTimeout).value_or(-1);
}

bool Fleet::WaitUntil(const std::function<bool()>& condition, milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    poll(nullptr, 0, static_cast<int>(kConditionPollInterval.count()));
  }
  return true;
}

}  // namespace sycamoredrum
