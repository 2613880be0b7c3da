#include "relays.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review {
namespace {

const char* const kProgram = "target/src/sycamoredrum/sycamoredrum";
const char* const kTemplate = "deploy/relay.settings";
const char* const kFleetKey = "SYCAMOREDRUM_FLEET_KEY=fleet key of a review case";

std::string Local(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Relay::Relay(std::string name, std::string zone, std::string folder, int store_port,
             Record& record)
    : name(std::move(name)),
      ports{FreePort(), FreePort(), FreePort(), FreePort()},
      zone(std::move(zone)),
      folder(std::move(folder)),
      store_port(store_port),
      record(record) {}

Relay::~Relay() {
  if (this->Running()) {
    this->Signal(SIGKILL);
    this->Wait(Millis(2000));
  }
}

std::string Relay::Control() const { return Local(this->ports.control); }

std::string Relay::RenderSettings() const {
  const std::map<std::string, std::string> values = {
      {"{{node}}", this->name},
      {"{{zone}}", this->zone},
      {"{{listen.front}}", Local(this->ports.front)},
      {"{{listen.ready}}", Local(this->ports.ready)},
      {"{{listen.control}}", Local(this->ports.control)},
      {"{{ip}}", "127.0.0.1"},
      {"{{portRange.0}}", std::to_string(this->ports.metrics)},
      {"{{platform.addr}}", Local(this->store_port)},
      {"{{cloud.addr}}", Local(this->store_port)},
      {"{{seeds}}", this->seeds},
      {"{{bounds.graceS}}", "6"},
      {"{{limits.cpuShare}}", "0.25"}};
  std::ifstream file(kTemplate);
  std::ostringstream stream;
  stream << file.rdbuf();
  std::string text = stream.str();
  for (const auto& [placeholder, value] : values) {
    for (std::size_t at = 0; (at = text.find(placeholder)) != std::string::npos;) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

void Relay::Start() {
  const std::string base = this->folder + "/" + this->name;
  const std::string settings = base + ".settings";
  std::ofstream(settings) << this->RenderSettings();
  const std::string log = base + "." + std::to_string(++this->starts) + ".log";
  const std::string variable = "SYCAMOREDRUM_SETTINGS=" + settings;
  std::vector<std::string> environment = {variable, kFleetKey};
  for (const char* const kept : {"PATH", "HOME", "LANG"}) {
    if (const char* const value = std::getenv(kept)) {
      environment.push_back(std::string(kept) + "=" + value);
    }
  }
  std::vector<char*> pointers;
  for (std::string& entry : environment) {
    pointers.push_back(entry.data());
  }
  pointers.push_back(nullptr);
  this->pid = fork();
  if (this->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // The process must not outlive the case.
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(output, 1);
    dup2(output, 2);
    char role[] = "relay";
    std::string program = kProgram;
    char* const arguments[] = {program.data(), role, nullptr};
    execve(kProgram, arguments, pointers.data());
    _exit(127);
  }
  this->record.Line("%s starts as process %d", this->name.c_str(), static_cast<int>(this->pid));
}

void Relay::Signal(int signal) {
  if (this->pid > 0) {
    this->record.Line("signal %d to %s", signal, this->name.c_str());
    kill(this->pid, signal);
  }
}

bool Relay::Running() {
  if (this->pid <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->record.Line("%s has ended with status %d", this->name.c_str(), status);
    this->pid = -1;
    return false;
  }
  return true;
}

bool Relay::Wait(Millis limit) {
  if (Eventually([this] { return !this->Running(); }, limit)) {
    return true;
  }
  this->Signal(SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->pid = -1;
  return false;
}

bool Relay::IsReady() const {
  const int connection = ConnectTo(this->ports.ready);
  if (connection < 0) {
    return false;
  }
  SendAll(connection, "GET /sycamoredrum/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  char bytes[64] = {};
  const ssize_t got = recv(connection, bytes, sizeof bytes - 1, 0);
  close(connection);
  return got > 0 && std::string(bytes).find(" 200 ") != std::string::npos;
}

std::string Configuration(int version, const std::string& service, int max_connections) {
  nlohmann::json body = {{"version", version},
                         {"routes", nlohmann::json::array()},
                         {"services", nlohmann::json::array()},
                         {"limits", {{"txIdleMs", 3000}, {"idleTimeoutMs", 60000}}}};
  for (const char* const type : {"primary", "bounded_staleness", "read_your_writes"}) {
    body["routes"].push_back({{"name", std::string("r-") + type},
                              {"host", std::string("db-") + type},
                              {"type", type},
                              {"service", service},
                              {"maxStalenessMs", 2500},
                              {"timeoutMs", 1000},
                              {"sloMs", 1000},
                              {"priority", 1}});
  }
  body["services"].push_back(
      {{"name", service}, {"maxConns", max_connections}, {"syncReplicas", 0}});
  return body.dump();
}

Client::Client(int port, const std::string& route) : socket(ConnectTo(port)) {
  std::string line;
  this->open = this->socket >= 0 && SendAll(this->socket, "STARTUP " + route + " client\r\n") &&
               this->ReadLine(&line) && line.compare(0, 6, "READY ") == 0;
}

Client::~Client() {
  if (this->socket >= 0) {
    close(this->socket);
  }
}

bool Client::ReadLine(std::string* line) {
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n")) == std::string::npos) {
    char bytes[4096];
    const ssize_t got = recv(this->socket, bytes, sizeof bytes, 0);
    if (got <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(got));
  }
  *line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 2);
  return true;
}

Answer Client::Execute(const std::string& id, const std::string& text) {
  Answer answer;
  this->open = this->open && SendAll(this->socket, "QUERY " + id + " " + text + "\r\n");
  std::string line;
  while (this->open && (this->open = this->ReadLine(&line))) {
    std::istringstream words(line);
    std::string kind;
    words >> kind;
    if (kind == "ROW") {
      answer.rows.push_back(line.substr(std::min<std::size_t>(4, line.size())));
    } else if (kind == "DONE") {
      answer.done = true;
      words >> answer.proof;
    } else if (kind == "ERR") {
      words >> answer.code;
    } else if (kind == "READY") {
      words >> answer.state;
      answer.complete = true;
      return answer;
    }
  }
  return answer;
}

CaseOptions ParseOptions(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s FOLDER (TROUBLE=0: without the disruption)\n", argv[0]);
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  CaseOptions options;
  options.folder = argv[1];
  const char* const trouble = std::getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::string(trouble) != "0";
  return options;
}

std::string LeaderName(Store& store, const std::vector<std::unique_ptr<Relay>>& relays) {
  const std::string value = store.Get("sycamoredrum/leader");
  for (const auto& relay : relays) {
    if (value.find("\"" + relay->name + "\"") != std::string::npos) {
      return relay->name;
    }
  }
  return "";
}

}  // namespace review
