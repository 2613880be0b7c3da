#include "standin_users_platform.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kService = "orders";
constexpr Duration kWatchPollInterval = milliseconds(20);
constexpr Duration kPromotionTime = milliseconds(100);

struct Connection {
  std::shared_ptr<ByteStream> stream;
  std::string partial;  ///< Received bytes after the last complete line.
  bool open = false;
  bool transaction = false;
  int transaction_number = 0;                 ///< Of the open transaction.
  std::map<std::string, std::string> writes;  ///< Of the open transaction.
  std::map<std::string, std::string> variables;
  std::map<std::string, std::string> prepared;  ///< By name: READ or WRITE, and the shape.
};

// Removes the first field and the blank after it from `text`; returns the field.
std::string_view TakeField(std::string_view& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  const std::string_view field = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return field;
}

}  // namespace

struct StandinUsersPlatform::State {
  struct Item {
    std::string value;  ///< As base64 text.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration time_to_live{};
    TimePoint expires_at;
  };
  struct BackendServer {
    std::string id;
    Endpoint endpoint;
    std::unique_ptr<ByteStreamServer> listener;
    std::vector<std::shared_ptr<Connection>> connections;
    std::map<std::string, std::string> values;
    bool running = true;
    bool draining = false;
  };

  State()
      : loop(1),
        http(this->loop, HttpServerLimits{},
             HttpServerHooks{[this](const HttpRequest& request, HttpRespond respond) {
                               this->Handle(request, std::move(respond));
                             },
                             nullptr, nullptr}) {}

  /// Part of the store that a copy contains.
  struct Content {
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::vector<std::pair<std::uint64_t, std::string>> changes;  ///< Revision and key.
    std::uint64_t revision = 10;
  };

  void Respond(const HttpRespond& respond, int status, const Json& body) const;
  // HTTP calls of the store and the promotion call.
  void Handle(const HttpRequest& request, HttpRespond respond);
  void Range(const HttpRequest& request, const HttpRespond& respond);
  void Watch(const HttpRequest& request, const HttpRespond& respond, TimePoint until);
  void Write(const HttpRequest& request, const HttpRespond& respond);
  void Failover(const HttpRequest& request, const HttpRespond& respond);
  void Put(const std::string& key, const std::string& value, std::uint64_t lease);
  void Remove(const std::string& key);
  void ExpireLeases();
  Json ItemJson(const std::string& key, const Item& item) const;

  // Connections and statements of the backend servers.
  void AddBackendServer(int number);
  void Register(const BackendServer& server);
  void Receive(int number, const std::shared_ptr<Connection>& connection, std::string_view bytes);
  void HandleLine(int number, const std::shared_ptr<Connection>& connection, std::string line);
  void Query(int number, const std::shared_ptr<Connection>& connection, std::string line);
  /// Records a statement that has run and returns its proof.
  std::string Proof(const BackendServer& server, RunStatement run);
  void Commit(const std::map<std::string, std::string>& writes);
  std::string ReadyLine(const Connection& connection) const;

  template <typename Result>
  Result RunOnLoop(std::function<Result()> action) {
    std::promise<Result> done;
    this->loop.Post([&] { done.set_value(action()); });
    return done.get_future().get();
  }

  EventLoop loop;
  HttpServer http;
  Content store;
  Content copy;
  std::uint64_t era = 1;
  std::uint64_t next_lease = 1;
  bool store_down = false;
  Duration statement_time{};
  std::vector<BackendServer> backend_servers;
  int primary = 0;
  std::uint64_t term = 1;
  std::uint64_t log_end = 1;
  int promotions = 0;
  int transactions = 0;                ///< Begun so far on all servers.
  std::map<std::string, int> commits;  ///< Number of commits, by written data.
  std::vector<RunStatement> runs;
  int repeat_one_in = 0;  ///< See RepeatAnswers; 0: none is repeated.
  int answers = 0;        ///< Answers counted while repeat_one_in is set.
};

void StandinUsersPlatform::State::Respond(const HttpRespond& respond, int status,
                                          const Json& body) const {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Store-Era", absl::StrCat(this->era)}};
  response.body = body.dump();
  respond(std::move(response));
}

void StandinUsersPlatform::State::Handle(const HttpRequest& request, HttpRespond respond) {
  if (this->store_down) {
    this->Respond(respond, 503, Json::object());
    return;
  }
  this->ExpireLeases();
  const std::string path(request.Path());
  const std::string renew_prefix = "/sycamoredrum/kv-keep/";
  const std::string end_prefix = "/sycamoredrum/kv-lease-end/";
  if (path == "/sycamoredrum/kv-range") {
    this->Range(request, respond);
  } else if (path == "/sycamoredrum/kv-watch") {
    const auto wait = std::stoll(request.QueryParameter("waitMs").value_or("0"));
    this->Watch(request, respond, this->loop.Now() + milliseconds(wait));
  } else if (path == "/sycamoredrum/kv-txn") {
    this->Write(request, respond);
  } else if (path == "/sycamoredrum/kv-lease") {
    const Duration time = milliseconds(Json::parse(request.body).at("ttlMs"));
    const std::uint64_t lease = this->next_lease++;
    this->store.leases[lease] = Lease{time, this->loop.Now() + time};
    this->Respond(respond, 200, {{"lease", lease}, {"ttlMs", 3000}});
  } else if (path.compare(0, renew_prefix.size(), renew_prefix) == 0) {
    const auto found = this->store.leases.find(std::stoull(path.substr(renew_prefix.size())));
    if (found != this->store.leases.end()) {
      found->second.expires_at = this->loop.Now() + found->second.time_to_live;
    }
    this->Respond(respond, found == this->store.leases.end() ? 404 : 200, Json::object());
  } else if (path.compare(0, end_prefix.size(), end_prefix) == 0) {
    const auto found = this->store.leases.find(std::stoull(path.substr(end_prefix.size())));
    if (found != this->store.leases.end()) {
      found->second.expires_at = this->loop.Now();
      this->ExpireLeases();
    }
    this->Respond(respond, 200, Json::object());
  } else if (path == "/failover") {
    this->Failover(request, respond);
  } else {
    this->Respond(respond, 404, Json::object());
  }
}

Json StandinUsersPlatform::State::ItemJson(const std::string& key, const Item& item) const {
  return {{"key", key}, {"value", item.value}, {"rev", item.revision}, {"lease", item.lease}};
}

void StandinUsersPlatform::State::Range(const HttpRequest& request, const HttpRespond& respond) {
  const std::string prefix = request.QueryParameter("prefix").value_or("");
  Json body = {{"items", Json::array()}, {"hasMore", false}, {"currentRev", this->store.revision}};
  for (const auto& [key, item] : this->store.items) {
    if (key.compare(0, prefix.size(), prefix) == 0) {
      body["items"].push_back(this->ItemJson(key, item));
    }
  }
  this->Respond(respond, 200, body);
}

void StandinUsersPlatform::State::Watch(const HttpRequest& request, const HttpRespond& respond,
                                        TimePoint until) {
  if (this->store_down) {
    this->Respond(respond, 503, Json::object());
    return;
  }
  this->ExpireLeases();
  const std::string prefix = request.QueryParameter("prefix").value_or("");
  const std::uint64_t after = std::stoull(request.QueryParameter("after").value_or("0"));
  if (after > this->store.revision) {
    this->Respond(respond, 410, Json::object());
    return;
  }
  Json events = Json::array();
  for (const auto& [changed, key] : this->store.changes) {
    if (changed <= after || key.compare(0, prefix.size(), prefix) != 0) {
      continue;
    }
    const auto item = this->store.items.find(key);
    if (item == this->store.items.end()) {
      events.push_back({{"key", key}, {"rev", changed}, {"tombstone", true}});
    } else if (item->second.revision == changed) {
      events.push_back(this->ItemJson(key, item->second));
    }
  }
  if (!events.empty() || this->loop.Now() >= until) {
    this->Respond(respond, 200, {{"events", events}, {"currentRev", this->store.revision}});
    return;
  }
  this->loop.RunAfter(kWatchPollInterval,
                      [this, request, respond, until] { this->Watch(request, respond, until); });
}

void StandinUsersPlatform::State::Write(const HttpRequest& request, const HttpRespond& respond) {
  const Json body = Json::parse(request.body);
  Json present = Json::array();
  bool conflict = false;
  for (const Json& condition : body.at("expected")) {
    const std::string key = condition.at("key");
    const auto found = this->store.items.find(key);
    const std::uint64_t actual = found == this->store.items.end() ? 0 : found->second.revision;
    conflict = conflict || actual != condition.at("rev").get<std::uint64_t>();
    if (found != this->store.items.end()) {
      present.push_back(this->ItemJson(key, found->second));
    }
  }
  if (conflict) {
    this->Respond(respond, 412, {{"items", present}});
    return;
  }
  for (const Json& put : body.at("puts")) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && this->store.leases.count(lease) == 0) {
      this->Respond(respond, 404, Json::object());
      return;
    }
    this->Put(put.at("key"), put.at("value"), lease);
  }
  for (const Json& key : body.at("deletes")) {
    this->Remove(key);
  }
  this->Respond(respond, 200, {{"rev", this->store.revision}});
}

void StandinUsersPlatform::State::Put(const std::string& key, const std::string& value,
                                      std::uint64_t lease) {
  this->store.items[key] = Item{value, ++this->store.revision, lease};
  this->store.changes.emplace_back(this->store.revision, key);
}

void StandinUsersPlatform::State::Remove(const std::string& key) {
  if (this->store.items.erase(key) > 0) {
    this->store.changes.emplace_back(++this->store.revision, key);
  }
}

void StandinUsersPlatform::State::ExpireLeases() {
  std::vector<std::string> expired_keys;
  for (const auto& [key, item] : this->store.items) {
    const auto lease = this->store.leases.find(item.lease);
    const bool expired =
        lease == this->store.leases.end() || lease->second.expires_at <= this->loop.Now();
    if (item.lease != 0 && expired) {
      expired_keys.push_back(key);
    }
  }
  for (const std::string& key : expired_keys) {
    this->Remove(key);
  }
}

void StandinUsersPlatform::State::Failover(const HttpRequest& request, const HttpRespond& respond) {
  const std::string id = Json::parse(request.body).at("id");
  const auto target = std::find_if(
      this->backend_servers.begin(), this->backend_servers.end(),
      [&id](const BackendServer& server) { return server.id == id && server.running; });
  if (target == this->backend_servers.end()) {
    this->Respond(respond, 409, Json::object());
    return;
  }
  const int number = static_cast<int>(target - this->backend_servers.begin());
  if (number != this->primary) {
    this->loop.RunAfter(kPromotionTime, [this, number] {
      this->primary = number;
      ++this->term;
      ++this->promotions;
    });
  }
  this->Respond(respond, 200, Json::object());
}

void StandinUsersPlatform::State::AddBackendServer(int number) {
  BackendServer server;
  server.id = absl::StrCat("i-", number);
  server.listener = std::make_unique<ByteStreamServer>(
      this->loop, ByteStreamOptions{}, [this, number](std::shared_ptr<ByteStream> stream) {
        auto connection = std::make_shared<Connection>();
        connection->stream = stream;
        ByteStreamHooks hooks;
        hooks.received = [this, number,
                          weak = std::weak_ptr<Connection>(connection)](std::string_view bytes) {
          if (const auto open = weak.lock()) {
            this->Receive(number, open, bytes);
          }
        };
        hooks.closed = [](const std::string&) {};
        stream->SetHooks(std::move(hooks));
        this->backend_servers[static_cast<std::size_t>(number)].connections.push_back(connection);
      });
  const auto port = server.listener->Listen(Endpoint{"127.0.0.1", 0});
  server.endpoint = Endpoint{"127.0.0.1", port.value_or(0)};
  server.listener->Accept();
  this->backend_servers.push_back(std::move(server));
  this->Register(this->backend_servers.back());
}

void StandinUsersPlatform::State::Register(const BackendServer& server) {
  const bool is_primary =
      &server == &this->backend_servers[static_cast<std::size_t>(this->primary)];
  const Json record = {{"service", kService},
                       {"addr", server.endpoint.ToString()},
                       {"zone", "dc1"},
                       {"version", "v1"},
                       {"slots", 3},
                       {"state", server.draining ? "draining" : "ready"},
                       {"coldLeftMs", 0},
                       {"dbRole", is_primary ? "primary" : "replica"},
                       {"seq", 1},
                       {"born", 1765000000000}};
  this->Put("servers/" + server.id, absl::Base64Escape(record.dump()), 0);
}

void StandinUsersPlatform::State::Receive(int number, const std::shared_ptr<Connection>& connection,
                                          std::string_view bytes) {
  connection->partial.append(bytes);
  std::size_t end = 0;
  while ((end = connection->partial.find("\r\n")) != std::string::npos) {
    std::string line = connection->partial.substr(0, end);
    connection->partial.erase(0, end + 2);
    this->HandleLine(number, connection, std::move(line));
  }
}

std::string StandinUsersPlatform::State::ReadyLine(const Connection& connection) const {
  return absl::StrCat("READY ", connection.transaction ? "T " : "I ", this->term, ".",
                      this->log_end, "\r\n");
}

void StandinUsersPlatform::State::HandleLine(int number,
                                             const std::shared_ptr<Connection>& connection,
                                             std::string line) {
  const std::vector<std::string> words = absl::StrSplit(line, ' ');
  if (words[0] == "QUERY") {
    this->Query(number, connection, std::move(line));
    return;
  }
  const BackendServer& server = this->backend_servers[static_cast<std::size_t>(number)];
  const bool accepted = words[0] == "STARTUP" && words.size() >= 3 && words[1] == kService &&
                        (words.size() < 4 || words[3] == server.id);
  connection->stream->Send(accepted ? this->ReadyLine(*connection)
                                    : "ERR MISROUTED wrong instance\r\n");
  if (!accepted) {
    connection->stream->CloseAfterSending();
  }
}

void StandinUsersPlatform::State::Commit(const std::map<std::string, std::string>& writes) {
  if (writes.empty()) {
    return;
  }
  ++this->log_end;
  for (const auto& [item, data] : writes) {
    ++this->commits[data];
    for (BackendServer& server : this->backend_servers) {
      if (server.running) {
        server.values[item] = data;
      }
    }
  }
}

void StandinUsersPlatform::State::Query(int number, const std::shared_ptr<Connection>& connection,
                                        std::string line) {
  std::string_view text = line;
  TakeField(text);
  const std::string id(TakeField(text));
  if (text.substr(0, text.find(' ')) == "AFTER") {
    TakeField(text);
    TakeField(text);
  }
  RunStatement run{id,
                   std::string(text),
                   connection->variables,
                   "",
                   "",
                   connection->transaction ? connection->transaction_number : 0};
  BackendServer& server = this->backend_servers[static_cast<std::size_t>(number)];
  const bool is_primary = number == this->primary;
  const std::string_view word = TakeField(text);
  bool write = word == "WRITE";
  std::string proof = "-";
  std::string answer;
  if (word == "EXEC") {
    run.prepared = connection->prepared[std::string(TakeField(text))];
    write = run.prepared.rfind("WRITE ", 0) == 0;
  }
  if ((write || (word == "BEGIN" && text.empty())) && !is_primary) {
    answer = absl::StrCat("ERR READONLY ", server.id, "\r\n");
  } else if (word == "BEGIN") {
    connection->transaction = true;
    connection->transaction_number = ++this->transactions;
  } else if (word == "COMMIT" || word == "ROLLBACK") {
    if (word == "COMMIT") {
      this->Commit(connection->writes);
      proof = this->Proof(server, run);
    }
    connection->transaction = false;
    connection->writes.clear();
  } else if (word == "SET") {
    const std::string name(TakeField(text));
    connection->variables[name] = std::string(text);
  } else if (word == "PREPARE") {
    const std::string name(TakeField(text));
    connection->prepared[name] = std::string(text);
  } else if (word == "RESET") {
    connection->prepared.clear();
    connection->variables.clear();
  } else if (word == "STATUS") {
    answer = absl::StrCat("ROW ", is_primary ? "primary " : "replica ", this->term, " ", this->term,
                          ".", this->log_end, " 0 0 0 1\r\n");
  } else if (write) {
    const std::string item(TakeField(text));
    connection->writes[item] = std::string(text);
    if (!connection->transaction) {
      this->Commit(std::exchange(connection->writes, {}));
    }
    proof = this->Proof(server, run);
  } else if (word == "READ" || word == "EXEC") {
    answer = absl::StrCat("ROW ", server.values[std::string(TakeField(text))], "\r\n");
    proof = this->Proof(server, run);
  }
  if (answer.compare(0, 4, "ERR ") != 0) {
    absl::StrAppend(&answer, "DONE ", proof, "\r\n");
  }
  const std::string message = answer + this->ReadyLine(*connection);
  const auto send = [connection, message] { connection->stream->Send(message); };
  if (this->statement_time <= Duration::zero()) {
    send();
  } else {
    this->loop.RunAfter(this->statement_time, send);
  }
  if (this->repeat_one_in > 0 && ++this->answers % this->repeat_one_in == 0) {
    constexpr int kShortest = 3;
    constexpr int kDelays = 38;
    const milliseconds delay(kShortest + this->answers % kDelays);
    this->loop.RunAfter(this->statement_time + delay, send);
  }
}

std::string StandinUsersPlatform::State::Proof(const BackendServer& server, RunStatement run) {
  run.proof = absl::StrCat("proof-", server.id, "-", run.id, "-", this->runs.size());
  this->runs.push_back(std::move(run));
  return this->runs.back().proof;
}

StandinUsersPlatform::StandinUsersPlatform(int backend_server_count)
    : state(std::make_unique<State>()) {
  const auto port = this->state->http.Listen(Endpoint{"127.0.0.1", 0});
  this->address = Endpoint{"127.0.0.1", port.value_or(0)};
  this->state->RunOnLoop<bool>([this, backend_server_count] {
    this->state->backend_servers.reserve(static_cast<std::size_t>(backend_server_count));
    for (int i = 0; i < backend_server_count; ++i) {
      this->state->AddBackendServer(i);
    }
    return true;
  });
}

StandinUsersPlatform::~StandinUsersPlatform() {
  this->state->loop.Stop();
  this->state->loop.Join();
}

void StandinUsersPlatform::Configure(int version, const std::vector<std::string>& routes,
                                     const std::string& organisations, int connection_cap) {
  Json body = {{"version", version}, {"routes", Json::array()}, {"services", Json::array()}};
  for (const std::string& route : routes) {
    const std::vector<std::string> parts = absl::StrSplit(route, '=');
    body["routes"].push_back({{"name", "r-" + parts[0]},
                              {"host", parts[0]},
                              {"type", parts[1]},
                              {"timeoutMs", 2000},
                              {"sloMs", 2000},
                              {"priority", 1},
                              {"service", kService},
                              {"maxStalenessMs", 1500}});
  }
  body["services"].push_back(
      {{"name", kService}, {"maxConns", connection_cap}, {"syncReplicas", 0}});
  if (!organisations.empty()) {
    body["tenants"] = Json::parse(organisations);
  }
  body["limits"] = {{"txIdleMs", 3000}, {"idleTimeoutMs", 15000}};
  this->state->RunOnLoop<bool>([this, &body] {
    this->state->Put("op/config", absl::Base64Escape(body.dump()), 0);
    return true;
  });
}

void StandinUsersPlatform::KillBackendServer(int number) {
  this->state->RunOnLoop<bool>([this, number] {
    State::BackendServer& server = this->state->backend_servers[static_cast<std::size_t>(number)];
    server.running = false;
    server.listener->Stop();
    for (const auto& connection : server.connections) {
      connection->stream->Close();
    }
    return true;
  });
}

void StandinUsersPlatform::DrainBackendServer(int number) {
  this->state->RunOnLoop<bool>([this, number] {
    State::BackendServer& server = this->state->backend_servers[static_cast<std::size_t>(number)];
    server.draining = true;
    this->state->Register(server);
    return true;
  });
}

void StandinUsersPlatform::SaveStore() {
  this->state->RunOnLoop<bool>([this] {
    this->state->copy = this->state->store;
    return true;
  });
}

void StandinUsersPlatform::RestoreStore() {
  this->state->RunOnLoop<bool>([this] {
    this->state->store = this->state->copy;
    ++this->state->era;
    for (const State::BackendServer& server : this->state->backend_servers) {
      if (server.running) {
        this->state->Register(server);
      }
    }
    return true;
  });
}

void StandinUsersPlatform::SetStatementTime(Duration time) {
  this->state->RunOnLoop<bool>([this, time] {
    this->state->statement_time = time;
    return true;
  });
}

void StandinUsersPlatform::RepeatAnswers(int one_in) {
  this->state->RunOnLoop<bool>([this, one_in] {
    this->state->repeat_one_in = one_in;
    return true;
  });
}

void StandinUsersPlatform::SetStoreDown(bool down) {
  this->state->RunOnLoop<bool>([this, down] {
    this->state->store_down = down;
    return true;
  });
}

void StandinUsersPlatform::WriteKey(const std::string& key, const std::string& value) {
  this->state->RunOnLoop<bool>([this, key, value] {
    this->state->Put(key, absl::Base64Escape(value), 0);
    return true;
  });
}

bool StandinUsersPlatform::HasKey(const std::string& key) {
  return this->state->RunOnLoop<bool>(
      [this, key] { return this->state->store.items.count(key) != 0; });
}

int StandinUsersPlatform::Primary() {
  return this->state->RunOnLoop<int>([this] { return this->state->primary; });
}

int StandinUsersPlatform::Promotions() {
  return this->state->RunOnLoop<int>([this] { return this->state->promotions; });
}

std::optional<std::string> StandinUsersPlatform::ValueAt(int number, const std::string& item) {
  return this->state->RunOnLoop<std::optional<std::string>>(
      [this, number, item]() -> std::optional<std::string> {
        const auto& values = this->state->backend_servers[static_cast<std::size_t>(number)].values;
        const auto found = values.find(item);
        return found == values.end() ? std::nullopt : std::optional<std::string>(found->second);
      });
}

std::vector<StandinUsersPlatform::RunStatement> StandinUsersPlatform::RunStatements() {
  return this->state->RunOnLoop<std::vector<RunStatement>>([this] { return this->state->runs; });
}

int StandinUsersPlatform::CommitsOf(const std::string& data) {
  return this->state->RunOnLoop<int>([this, data] { return this->state->commits[data]; });
}

}  // namespace sycamoredrum
