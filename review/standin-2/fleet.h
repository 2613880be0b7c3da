#pragma once

// Relay processes and callers.

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>

#include "database.h"

namespace review {

/// Addresses of the form 127.x.y.N that other runs on this machine hardly use.
inline std::string OwnNetwork() {
  const int id = getpid();
  return "127." + std::to_string(1 + id / 250 % 250) + "." + std::to_string(1 + id % 250);
}

struct RelayOptions {
  std::string program;
  std::string folder;  ///< Temporary files.
  std::string name;
  std::string data_centre;
  std::string host;
  std::string store;
  std::string duty;
  std::string seeds;
};

/// First of `count` ports in a row that are free on all addresses, below those of outgoing
/// connections.
inline std::uint16_t FindFreePorts(int count) {
  constexpr int kFirst = 20000;
  constexpr int kLast = 30000;
  const int offset = getpid() * 4 % (kLast - kFirst);
  for (int tried = 0; tried < kLast - kFirst; tried += 4) {
    const int first = kFirst + (offset + tried) % (kLast - kFirst);
    bool free = true;
    for (int port = first; port < first + count && free; ++port) {
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      free = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      close(descriptor);
    }
    if (free) {
      return static_cast<std::uint16_t>(first);
    }
  }
  throw std::runtime_error("no free ports");
}

/// Ports of the relays, which have an address each.
inline const std::uint16_t kCallerPort = FindFreePorts(4);
inline const std::uint16_t kReadyPort = kCallerPort + 1;
inline const std::uint16_t kPeerPort = kCallerPort + 2;
inline const std::uint16_t kMetricsPort = kCallerPort + 3;

/// A relay, started with the command and the settings of the deploy file. Killed at the end.
class Relay {
 public:
  explicit Relay(const RelayOptions& options) : host(options.host) {
    const std::string settings = options.folder + "/" + options.name + ".settings";
    const auto address = [&options](std::uint16_t port) {
      return options.host + ":" + std::to_string(port);
    };
    std::ofstream file(settings);
    file << "member-id = " << options.name << "\n"
         << "data-centre = " << options.data_centre << "\n"
         << "caller-address = " << address(kCallerPort) << "\n"
         << "ready-address = " << address(kReadyPort) << "\n"
         << "peer-address = " << address(kPeerPort) << "\n"
         << "metrics-address = " << address(kMetricsPort) << "\n"
         << "store-address = " << options.store << "\n"
         << "duty-address = " << options.duty << "\n"
         << "seeds = " << options.seeds << "\n"
         << "stop-grace = 6s\n"
         << "processor-share = 0.25\n"
         << "memory-limit = 260MiB\n";
    file.close();
    const std::string log = options.folder + "/" + options.name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the stand-in, however that ends.
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(output, 1);
      dup2(output, 2);
      setenv("SYCAMOREDRUM_SETTINGS", settings.c_str(), 1);
      setenv("SYCAMOREDRUM_FLEET_KEY", "replace-this-key-for-each-fleet", 1);
      execl(options.program.c_str(), options.program.c_str(), "relay", nullptr);
      _exit(127);
    }
  }
  ~Relay() { this->Kill(); }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Signal(int signal) const {
    if (this->pid > 0) {
      kill(this->pid, signal);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(std::exchange(this->pid, -1), nullptr, 0);
    }
  }

  /// Resident memory; 0 if the process has ended.
  double MemoryMiB() const {
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) {
        constexpr double kKibibytes = 1024;
        return std::stod(line.substr(6)) / kKibibytes;
      }
    }
    return 0;
  }

  const std::string host;

 private:
  pid_t pid = -1;
};

struct CallerResult {
  std::string code;  ///< DONE, the error's code, or CLOSED.
  std::string text;  ///< All lines, separated by " / ".
  std::vector<std::string> rows;
};

/// A caller's session.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  using Callback = std::function<void(const CallerResult&)>;

  Caller(EventLoop& loop, std::string host, std::string route)
      : loop(loop), host(std::move(host)), route(std::move(route)) {}

  /// Connects. Calls back with READY, an error's code or CLOSED.
  void Open(Callback done) {
    this->callback = std::move(done);
    this->result = CallerResult();
    this->started = false;
    this->stream = this->loop.Connect(this->host, kCallerPort);
    if (!this->stream) {
      this->loop.RunAfter(Milliseconds(1), [self = this->shared_from_this()] { self->Closed(); });
      return;
    }
    const std::weak_ptr<Caller> weak = this->shared_from_this();
    this->stream->received = [weak] {
      if (const auto self = weak.lock()) {
        self->Receive();
      }
    };
    this->stream->closed = [weak] {
      if (const auto self = weak.lock()) {
        self->Closed();
      }
    };
    this->stream->Send("STARTUP " + this->route + " key\r\n");
  }

  void Execute(const std::string& id, const std::string& text, Callback done) {
    if (!this->IsOpen()) {
      this->loop.RunAfter(Milliseconds(1), [done] { done(CallerResult{"CLOSED", "CLOSED", {}}); });
      return;
    }
    this->callback = std::move(done);
    this->result = CallerResult();
    this->stream->Send("QUERY " + id + " " + text + "\r\n");
  }

  bool IsOpen() const { return this->stream && this->stream->Open() && this->started; }
  void Close() {
    if (this->stream) {
      this->stream->Close();
    }
  }

 private:
  void Receive() {
    std::string line;
    while (this->stream->Open() && TakeLine(this->stream->input, line)) {
      this->result.text += (this->result.text.empty() ? "" : " / ") + line;
      const std::vector<std::string> words = Words(line);
      if (words[0] == "ROW") {
        this->result.rows.push_back(line.substr(std::min<std::size_t>(4, line.size())));
      } else if (words[0] == "DONE") {
        this->result.code = "DONE";
      } else if (words[0] == "ERR") {
        this->result.code = words[1];
      } else if (words[0] == "READY") {
        if (!this->started) {
          this->started = true;
          this->result.code = "READY";
        }
        this->Finish();
      }
    }
  }
  void Closed() {
    this->started = false;
    this->result.code = this->result.code.empty() ? "CLOSED" : this->result.code;
    this->result.text += " CLOSED";
    this->Finish();
  }
  void Finish() {
    const Callback done = std::exchange(this->callback, nullptr);
    const CallerResult finished = std::exchange(this->result, CallerResult());
    if (done) {
      done(finished);
    }
  }

  EventLoop& loop;
  const std::string host;
  const std::string route;
  StreamPointer stream;
  CallerResult result;
  Callback callback;
  bool started = false;
};

/// True if a relay answers the balancer's question with 200.
inline bool AnswersReady(const std::string& host) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kReadyPort);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  timeval limit{0, 300000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string answer;
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    const std::string request =
        "GET /sycamoredrum/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    char chunk[512];
    const ssize_t count = recv(descriptor, chunk, sizeof(chunk), 0);
    answer.assign(chunk, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  }
  close(descriptor);
  return answer.find(" 200 ") != std::string::npos;
}

/// Runs the loop until `condition` holds; returns false after `limit`.
inline bool Await(EventLoop& loop, Milliseconds limit, const std::function<bool()>& condition) {
  const TimePoint end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= end) {
      return false;
    }
    loop.RunUntil(std::min(end, Clock::now() + Milliseconds(50)));
  }
  return true;
}

/// Ids of statements, which no other statement has.
inline std::string NextId() {
  static std::uint64_t number = 0;
  return "q" + std::to_string(++number);
}

inline Json Route(const std::string& name, const std::string& type, int timeout_ms, int slo_ms,
                  int priority, int max_staleness_ms) {
  Json route = {{"name", "r-" + name},
                {"host", name},
                {"prefix", "/"},
                {"type", type},
                {"timeoutMs", timeout_ms},
                {"sloMs", slo_ms},
                {"priority", priority},
                {"service", "orders"},
                {"attempts", 2}};
  if (max_staleness_ms > 0) {
    route["maxStalenessMs"] = max_staleness_ms;
  }
  return route;
}

}  // namespace review
