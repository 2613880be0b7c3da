#include "cluster.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

/// Buffered reader of one socket.
class Reader {
 public:
  explicit Reader(int socket) : socket(socket) {}
  bool Line(std::string* line) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    *line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
  }
  bool Bytes(std::size_t count, std::string* bytes) {
    while (buffer.size() < count) {
      if (!Fill()) {
        return false;
      }
    }
    *bytes = buffer.substr(0, count);
    buffer.erase(0, count);
    return true;
  }

 private:
  bool Fill() {
    char chunk[65536];
    const ssize_t got = recv(socket, chunk, sizeof chunk, 0);
    if (got <= 0) {
      return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(got));
    return true;
  }
  int socket;
  std::string buffer;
};

std::string PercentDecode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> result;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return result;
  }
  std::istringstream stream(target.substr(mark + 1));
  for (std::string part; std::getline(stream, part, '&');) {
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos) {
      result[part.substr(0, equals)] = PercentDecode(part.substr(equals + 1));
    }
  }
  return result;
}

std::uint64_t NumberOf(const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

Json ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"rev", item.rev},
          {"createRevision", item.created},
          {"lease", item.lease}};
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Text(const Position& position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

constexpr int kLost = -1;

}  // namespace

Record::Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {
  if (file == nullptr) {
    std::perror(path.c_str());
    std::exit(2);
  }
}

Record::~Record() { std::fclose(file); }

double Record::Now() const {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void Record::Line(const char* format, ...) {
  const std::lock_guard<std::mutex> lock(mutex);
  std::fprintf(file, "%10.2f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file, format, arguments);
  va_end(arguments);
  std::fputc('\n', file);
  std::fflush(file);
}

int ListenOn(int* port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(*port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 512) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  *port = ntohs(address.sin_port);
  return listener;
}

int FreePort() {
  // Below the range from which the system takes the ports of outgoing connections.
  static int next = 12000 + static_cast<int>(getpid()) % 15000;
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = next++;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool unused = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (unused) {
      return port;
    }
  }
  std::exit(2);
}

int ConnectTo(int port) {
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(result, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(result);
    return -1;
  }
  const int on = 1;
  setsockopt(result, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return result;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Encode64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      result += padding ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return result;
}

std::string Decode64(const std::string& text) {
  std::string result;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      continue;
    }
    group = group << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      result += static_cast<char>(group >> bits & 255);
    }
  }
  return result;
}

int Store::Listen() {
  int port = 0;
  const int listener = ListenOn(&port);
  std::thread([this, listener] {
    for (int socket = 0; (socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, socket] { this->Serve(socket); }).detach();
    }
  }).detach();
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(Millis(10));
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->Sweep();
    }
  }).detach();
  return port;
}

void Store::Serve(int socket) {
  Reader reader(socket);
  for (std::string first; reader.Line(&first);) {
    std::map<std::string, std::string> headers;
    std::string line;
    while (reader.Line(&line) && !line.empty()) {
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      std::size_t from = colon == std::string::npos ? line.size() : colon + 1;
      while (from < line.size() && line[from] == ' ') {
        ++from;
      }
      headers[name] = line.substr(from);
    }
    std::string body;
    const auto length = headers.find("content-length");
    if (length != headers.end() &&
        !reader.Bytes(std::strtoul(length->second.c_str(), nullptr, 10), &body)) {
      break;
    }
    const std::vector<std::string> words = Words(first);
    if (words.size() < 2) {
      break;
    }
    std::this_thread::sleep_for(Millis(4));
    const auto [status, text] = StartsWith(words[1], "/sycamoredrum/")
                                    ? this->Handle(words[0], words[1], body)
                                    : this->other_call(words[0], words[1], headers, body);
    if (status == kLost) {
      // A connection on which a response is lost returns nothing further.
      while (reader.Line(&line)) {
      }
      break;
    }
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text)) {
      break;
    }
  }
  close(socket);
}

std::pair<int, std::string> Store::Handle(const std::string& method, const std::string& target,
                                          const std::string& body) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->busy) {
      return {503, "{}"};
    }
  }
  const std::string path = target.substr(0, target.find('?'));
  const std::string keep = "/sycamoredrum/kv-keep/";
  const std::string end = "/sycamoredrum/kv-lease-end/";
  if (path == "/sycamoredrum/kv-range") {
    return this->Range(QueryOf(target));
  }
  if (path == "/sycamoredrum/kv-watch") {
    return this->Watch(QueryOf(target));
  }
  if (path == "/sycamoredrum/kv-txn") {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->losing) {
        this->record.Line("store: the answer of a write is lost; it is executed %lld ms later: %s",
                          static_cast<long long>(this->late.count()), body.c_str());
        std::thread([this, body, delay = this->late] {
          std::this_thread::sleep_for(delay);
          const auto [status, text] = this->Txn(body);
          this->record.Line("store: the lost write is executed: status %d", status);
          const std::lock_guard<std::mutex> guard(this->mutex);
          ++this->late_writes;
        }).detach();
        return {kLost, ""};
      }
    }
    return this->Txn(body);
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Sweep();
  if (path == "/sycamoredrum/kv-key") {
    const auto found = this->items.find(QueryOf(target)["key"]);
    return found == this->items.end()
               ? std::pair<int, std::string>(404, "{}")
               : std::pair<int, std::string>(200, ItemJson(found->first, found->second).dump());
  }
  if (path == "/sycamoredrum/kv-lease") {
    const Millis ttl(std::max<long long>(Json::parse(body).at("ttlMs").get<long long>(), 1000));
    const std::uint64_t lease = this->next_lease++;
    this->leases[lease] = Lease{ttl, Clock::now() + ttl};
    return {200, Json{{"lease", lease}, {"ttlMs", ttl.count()}}.dump()};
  }
  if (StartsWith(path, keep)) {
    const auto found = this->leases.find(std::strtoull(path.c_str() + keep.size(), nullptr, 10));
    if (found == this->leases.end()) {
      return {404, "{}"};
    }
    found->second.end = Clock::now() + found->second.ttl;
    return {200, "{}"};
  }
  if (StartsWith(path, end) && method == "DELETE") {
    const auto found = this->leases.find(std::strtoull(path.c_str() + end.size(), nullptr, 10));
    if (found == this->leases.end()) {
      return {404, "{}"};
    }
    found->second.end = Clock::now();
    this->Sweep();
    return {200, "{}"};
  }
  return {404, "{}"};
}

std::pair<int, std::string> Store::Range(const std::map<std::string, std::string>& query) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Sweep();
  const auto prefix = query.find("prefix");
  const auto after = query.find("after");
  Json body = {{"items", Json::array()}, {"hasMore", false}, {"currentRev", this->rev}};
  for (const auto& [key, item] : this->items) {
    if (StartsWith(key, prefix == query.end() ? "" : prefix->second) &&
        (after == query.end() || key > after->second)) {
      body["items"].push_back(ItemJson(key, item));
    }
  }
  return {200, body.dump()};
}

std::pair<int, std::string> Store::Watch(const std::map<std::string, std::string>& query) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const std::string prefix = query.count("prefix") != 0 ? query.at("prefix") : "";
  const std::uint64_t after = NumberOf(query, "after");
  const Time until = Clock::now() + Millis(NumberOf(query, "waitMs"));
  for (;;) {
    Json events = Json::array();
    for (const Change& change : this->changes) {
      if (change.rev <= after || !StartsWith(change.key, prefix)) {
        continue;
      }
      const auto item = this->items.find(change.key);
      if (item == this->items.end()) {
        events.push_back({{"key", change.key}, {"rev", change.rev}, {"tombstone", true}});
      } else if (item->second.rev == change.rev) {
        events.push_back(ItemJson(change.key, item->second));
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      return {200, Json{{"events", events}, {"currentRev", this->rev}}.dump()};
    }
    this->changed.wait_until(lock, until);
  }
}

std::pair<int, std::string> Store::Txn(const std::string& body) {
  const Json call = Json::parse(body);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Sweep();
  bool holds = true;
  Json present = Json::array();
  for (const Json& row : call.at("expected")) {
    const std::string key = row.at("key");
    const auto found = this->items.find(key);
    holds = holds && row.at("rev").get<std::uint64_t>() ==
                         (found == this->items.end() ? 0 : found->second.rev);
    if (found != this->items.end()) {
      present.push_back(ItemJson(key, found->second));
    }
  }
  if (!holds) {
    return {412, Json{{"items", present}}.dump()};
  }
  for (const Json& put : call.value("puts", Json::array())) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && this->leases.count(lease) == 0) {
      return {404, "{}"};
    }
  }
  for (const Json& put : call.value("puts", Json::array())) {
    this->PutLocked(put.at("key"), put.at("value"), put.value("lease", std::uint64_t{0}));
  }
  for (const Json& key : call.value("deletes", Json::array())) {
    this->record.Line("store: %s is deleted", key.get<std::string>().c_str());
    this->RemoveLocked(key);
  }
  return {200, Json{{"rev", this->rev}}.dump()};
}

void Store::Sweep() {
  const Time now = Clock::now();
  std::set<std::uint64_t> ended;
  for (const auto& [lease, state] : this->leases) {
    if (state.end <= now) {
      ended.insert(lease);
    }
  }
  if (ended.empty()) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->items) {
    if (ended.count(item.lease) != 0) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    this->record.Line("store: the lease of %s ends", key.c_str());
    this->RemoveLocked(key);
  }
  for (const std::uint64_t lease : ended) {
    this->leases.erase(lease);
  }
}

void Store::PutLocked(const std::string& key, const std::string& base64, std::uint64_t lease) {
  Item& item = this->items[key];
  item.value = base64;
  item.rev = ++this->rev;
  item.created = item.created == 0 ? item.rev : item.created;
  item.lease = lease;
  this->changes.push_back(Change{this->rev, key});
  this->changed.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (this->items.erase(key) != 0) {
    this->changes.push_back(Change{++this->rev, key});
    this->changed.notify_all();
  }
}

void Store::Put(const std::string& key, const std::string& bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->PutLocked(key, Encode64(bytes), 0);
}

bool Store::Has(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Sweep();
  return this->items.count(key) != 0;
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Sweep();
  const auto found = this->items.find(key);
  return found == this->items.end() ? "" : Decode64(found->second.value);
}

void Store::LoseWrites(Millis delay) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->losing = true;
  this->late = delay;
}

void Store::AnswerWrites() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->losing = false;
}

void Store::SetBusy(bool value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->busy = value;
  this->record.Line("store: %s", value ? "answers 503 from now on" : "serves again");
}

int Store::LateWrites() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->late_writes;
}

struct Cluster::Session {
  std::uint64_t boot = 0;  // Of the instance's process that serves it.
  bool transaction = false;
  bool failed = false;
  bool read_only = false;
  std::uint64_t began_term = 0;
  std::vector<std::pair<std::string, std::string>> writes;
  std::map<std::string, bool> prepared;  // By name; true if it writes.
};

Cluster::Cluster(ClusterOptions options, Record& record, Store& store)
    : options(std::move(options)), record(record), store(store) {
  this->instances.resize(static_cast<std::size_t>(this->options.instances));
  this->instances[0].primary = true;
  this->instances[0].log.push_back(Entry{1, 1, "", "", "", Clock::now() - std::chrono::hours(1)});
}

void Cluster::Start() {
  for (int number = 0; number < this->options.instances; ++number) {
    Instance& instance = this->instances[static_cast<std::size_t>(number)];
    // Below the range from which the system takes the ports of outgoing connections.
    instance.port = FreePort();
    const int listener = ListenOn(&instance.port);
    instance.listener = listener;
    this->Register(number);
    std::thread([this, number, listener] { this->Accept(number, listener); }).detach();
  }
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(Millis(1200));
      for (int number = 0; number < this->options.instances; ++number) {
        this->Register(number);
      }
    }
  }).detach();
}

void Cluster::Register(int number) {
  Json entry;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Instance& instance = this->instances[static_cast<std::size_t>(number)];
    if (!instance.running) {
      return;
    }
    entry = {{"service", this->options.service},
             {"addr", "127.0.0.1:" + std::to_string(instance.port)},
             {"zone", "zone-" + std::to_string(number)},
             {"version", "v1"},
             {"slots", this->options.slots},
             {"state", instance.draining ? "draining" : "ready"},
             {"coldLeftMs", 0},
             {"dbRole", instance.primary ? "primary" : "replica"},
             {"seq", ++instance.seq},
             {"born", 1780000000000}};
  }
  this->store.Put("servers/" + this->IdOf(number), entry.dump());
}

void Cluster::Drain(int number) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->instances[static_cast<std::size_t>(number)].draining = true;
  }
  this->record.Line("instance %s reports that it is draining", this->IdOf(number).c_str());
  this->Register(number);
}

void Cluster::Crash(int number) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Instance& instance = this->instances[static_cast<std::size_t>(number)];
  this->record.Line("instance %s crashes", this->IdOf(number).c_str());
  instance.running = false;
  ++instance.boot;
  shutdown(instance.listener, SHUT_RDWR);
  close(instance.listener);
  for (const int socket : instance.sockets) {
    shutdown(socket, SHUT_RDWR);
  }
}

void Cluster::Restart(int number) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Instance& instance = this->instances[static_cast<std::size_t>(number)];
    instance.running = true;
    instance.listener = ListenOn(&instance.port);
    if (number != this->current) {
      instance.primary = false;
      instance.log.clear();
    }
    this->record.Line("instance %s is back as a %s", this->IdOf(number).c_str(),
                      instance.primary ? "primary" : "replica");
    std::thread([this, number, listener = instance.listener] {
      this->Accept(number, listener);
    }).detach();
  }
  this->Register(number);
}

int Cluster::Primary() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

std::vector<Cluster::Commit> Cluster::Commits() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->commits;
}

bool Cluster::Contains(const std::string& data) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto& log = this->instances[static_cast<std::size_t>(this->current)].log;
  return std::any_of(log.begin(), log.end(),
                     [&data](const Entry& entry) { return entry.data == data; });
}

// The log of an instance. A replica has what the present primary committed `lag` ago or earlier.
std::vector<Entry> Cluster::View(int number, Millis lag, Time now) {
  const Instance& instance = this->instances[static_cast<std::size_t>(number)];
  if (instance.primary) {
    return instance.log;
  }
  const auto& source = this->instances[static_cast<std::size_t>(this->current)].log;
  std::vector<Entry> result;
  for (const Entry& entry : source) {
    if (entry.at + lag > now) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

Position Cluster::End(int number, Millis lag, Time now) {
  const Instance& instance = this->instances[static_cast<std::size_t>(number)];
  const auto& source =
      this->instances[static_cast<std::size_t>(instance.primary ? number : this->current)].log;
  for (auto entry = source.rbegin(); entry != source.rend(); ++entry) {
    if (instance.primary || entry->at + lag <= now) {
      return Position{entry->term, entry->number};
    }
  }
  return {};
}

void Cluster::StepDown(int number) {
  Instance& instance = this->instances[static_cast<std::size_t>(number)];
  if (!instance.primary || number == this->current) {
    return;
  }
  this->record.Line("instance %s becomes a replica", this->IdOf(number).c_str());
  instance.primary = false;
  instance.log.clear();
  instance.term = this->instances[static_cast<std::size_t>(this->current)].term;
}

std::pair<int, std::string> Cluster::Failover(const std::map<std::string, std::string>& headers,
                                              const std::string& body) {
  const std::string id = Json::parse(body).at("id");
  const auto header = [&headers](const char* name) {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string("-") : found->second;
  };
  this->record.Line("platform: %s asks with fence %s that %s leads", header("lease-holder").c_str(),
                    header("fence-token").c_str(), id.c_str());
  const std::lock_guard<std::mutex> lock(this->mutex);
  int target = -1;
  for (int number = 0; number < this->options.instances; ++number) {
    target = this->IdOf(number) == id ? number : target;
  }
  if (target < 0 || !this->instances[static_cast<std::size_t>(target)].running) {
    this->record.Line("platform: 409");
    return {409, "{}"};
  }
  if (target == this->current) {
    return {200, "{}"};
  }
  if (this->accepted) {
    this->accepted();
  }
  std::thread([this, target] {
    std::this_thread::sleep_for(this->options.promote);
    int old = -1;
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      if (target == this->current) {
        return;
      }
      old = this->current;
      Instance& next = this->instances[static_cast<std::size_t>(target)];
      std::vector<Entry> log = this->View(target, this->options.receive_lag, Clock::now());
      next.log = std::move(log);
      next.term = this->instances[static_cast<std::size_t>(old)].term + 1;
      next.primary = true;
      this->current = target;
      ++this->promotions;
      this->record.Line("instance %s leads in term %llu with the log up to %s",
                        this->IdOf(target).c_str(), static_cast<unsigned long long>(next.term),
                        Text(this->End(target, Millis(0), Clock::now())).c_str());
    }
    if (this->promoted) {
      this->promoted(target);
    }
    this->Register(target);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->StepDown(old);
    }
    this->Register(old);
  }).detach();
  return {200, "{}"};
}

void Cluster::Accept(int number, int listener) {
  for (int socket = 0; (socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([this, number, socket] { this->Serve(number, socket); }).detach();
  }
}

void Cluster::Serve(int number, int socket) {
  Instance& instance = this->instances[static_cast<std::size_t>(number)];
  Reader reader(socket);
  Session session;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    session.boot = instance.boot;
    instance.sockets.insert(socket);
  }
  const auto finish = [&] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    instance.sockets.erase(socket);
    close(socket);
  };
  std::string line;
  if (!reader.Line(&line)) {
    finish();
    return;
  }
  const std::vector<std::string> words = Words(line);
  const bool named = words.size() >= 3 && words[0] == "STARTUP" &&
                     words[1] == this->options.service &&
                     (words.size() < 4 || words[3] == this->IdOf(number));
  bool admitted = false;
  std::string ready;
  if (named) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    admitted = instance.connections < this->options.max_connections;
    instance.connections += admitted ? 1 : 0;
  }
  if (!named || !admitted) {
    SendAll(socket, named ? "ERR TOOMANY too many connections\r\n" : "ERR MISROUTED wrong name\r\n");
    finish();
    return;
  }
  std::this_thread::sleep_for(this->options.handshake);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ready = "READY I " + Text(this->End(number, this->options.apply_lag, Clock::now())) + "\r\n";
  }
  bool open = SendAll(socket, ready);
  while (open && reader.Line(&line) && line != "BYE") {
    const std::string answer = this->Query(number, session, line);
    open = !answer.empty() && SendAll(socket, answer);
  }
  finish();
  const std::lock_guard<std::mutex> lock(this->mutex);
  --instance.connections;
}

std::string Cluster::Query(int number, Session& session, const std::string& line) {
  std::vector<std::string> words = Words(line);
  if (words.size() < 3 || words[0] != "QUERY") {
    return "ERR MALFORMED not a query\r\nREADY E -\r\n";
  }
  const std::string id = words[1];
  words.erase(words.begin(), words.begin() + 2);
  Position after;
  if (words[0] == "AFTER" && words.size() > 2) {
    const std::size_t dot = words[1].find('.');
    after.term = std::strtoull(words[1].c_str(), nullptr, 10);
    after.number = std::strtoull(words[1].c_str() + dot + 1, nullptr, 10);
    words.erase(words.begin(), words.begin() + 2);
  }
  const std::string word = words[0];
  const bool exec = word == "EXEC" && words.size() > 2;
  const bool known = !exec || session.prepared.count(words[1]) != 0;
  const bool write = word == "WRITE" || (exec && known && session.prepared[words[1]]);
  const bool read = word == "READ" || (exec && known && !write);
  const std::string item = exec ? words[2] : words.size() > 1 ? words[1] : "";
  const std::string data = exec ? (words.size() > 3 ? words[3] : "")
                                : (words.size() > 2 ? words[2] : "");
  Instance& instance = this->instances[static_cast<std::size_t>(number)];
  const auto answer = [&](const std::string& text) {
    const char* state = session.failed ? "E " : session.transaction ? "T " : "I ";
    return text + "READY " + state + Text(this->End(number, this->options.apply_lag, Clock::now())) +
           "\r\n";
  };
  const auto error = [&](const std::string& text) {
    session.failed = session.transaction;
    return answer("ERR " + text + "\r\n");
  };
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool works = read || write || word == "COMMIT";
  if (works || word == "STATUS") {
    if (instance.busy >= this->options.slots + 24) {
      return answer("ERR BUSY full\r\n");
    }
    // A slot, and the time that the work takes.
    ++instance.busy;
    const int ahead = instance.busy - 1;
    lock.unlock();
    const Millis work = works ? this->options.statement : Millis(0);
    std::this_thread::sleep_for(work * (1 + ahead / this->options.slots));
    lock.lock();
    --instance.busy;
  }
  if (session.boot != instance.boot) {
    return "";  // The process has crashed meanwhile.
  }
  const Time now = Clock::now();
  if (word == "ROLLBACK") {
    session.transaction = session.failed = false;
    session.writes.clear();
    return answer("DONE -\r\n");
  }
  if (session.failed) {
    if (word == "COMMIT") {
      session.transaction = session.failed = false;
      session.writes.clear();
      return answer("ERR ABORTED rolled back\r\n");
    }
    return answer("ERR MALFORMED the transaction failed\r\n");
  }
  if (word == "STATUS" || word == "STEPDOWN" || word == "PAUSE" || word == "RESUME") {
    if (word == "STEPDOWN" && words.size() > 1 &&
        instance.term < std::strtoull(words[1].c_str(), nullptr, 10)) {
      this->StepDown(number);
    }
    const Position end = this->End(number, this->options.receive_lag, now);
    return answer(std::string("ROW ") + (instance.primary ? "primary " : "replica ") +
                  std::to_string(instance.primary
                                     ? instance.term
                                     : this->instances[static_cast<std::size_t>(this->current)].term) +
                  " " + Text(end) + " 0 " + std::to_string(this->options.apply_lag.count()) + " " +
                  std::to_string(instance.busy) + " " + std::to_string(instance.connections) +
                  "\r\nDONE -\r\n");
  }
  if (word == "SET" || word == "CLOSE") {
    return answer("DONE -\r\n");
  }
  if (word == "PREPARE" && words.size() > 3) {
    session.prepared[words[1]] = words[2] == "WRITE";
    return answer("DONE -\r\n");
  }
  if (word == "RESET") {
    session.prepared.clear();
    return answer("DONE -\r\n");
  }
  if (!known) {
    return answer("ERR NOSTMT no such name\r\n");
  }
  const bool plain = session.transaction && !session.read_only;
  if (plain && !instance.primary && !(word == "COMMIT" && session.writes.empty())) {
    return error("READONLY " + this->IdOf(number));
  }
  const bool begins = word == "BEGIN";
  if ((begins || read) && this->End(number, this->options.apply_lag, now) < after) {
    return answer("ERR LAGGING behind\r\n");
  }
  if (begins) {
    const bool read_only = words.size() > 1 && words[1] == "READ";
    if (!read_only && !instance.primary) {
      return answer("ERR READONLY " + this->IdOf(number) + "\r\n");
    }
    session.transaction = true;
    session.read_only = read_only;
    return answer("DONE -\r\n");
  }
  if (write && (!instance.primary || session.read_only)) {
    return error("READONLY " + this->IdOf(number));
  }
  const std::string proof = "DONE proof." + this->IdOf(number) + "." + id + "\r\n";
  const auto commit = [&](const std::vector<std::pair<std::string, std::string>>& writes) {
    const bool old = number != this->current;
    for (const auto& [key, value] : writes) {
      instance.log.push_back(
          Entry{instance.term, instance.log.back().number + 1, key, value, id, now});
      this->commits.push_back(
          Commit{number, id, value, this->record.Now(), this->promotions, old});
      this->record.Line("instance %s commits %s of statement %s%s", this->IdOf(number).c_str(),
                        value.c_str(), id.c_str(), old ? " AFTER ANOTHER WAS PROMOTED" : "");
    }
  };
  if (write) {
    if (session.transaction) {
      session.writes.emplace_back(item, data);
    } else {
      commit({{item, data}});
    }
    return answer(proof);
  }
  if (word == "COMMIT") {
    commit(session.writes);
    session.transaction = false;
    session.writes.clear();
    return answer(proof);
  }
  if (read) {
    std::string value = "-";
    for (const Entry& entry : this->View(number, this->options.apply_lag, now)) {
      value = entry.item == item ? entry.data : value;
    }
    return answer("ROW " + value + "\r\n" + proof);
  }
  return answer("ERR MALFORMED unknown\r\n");
}

}  // namespace review
