#include "limited_relay.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <vector>

#include "../../src/net/raw_socket.h"

namespace sycamoredrum {

LimitedRelay::LimitedRelay(const Endpoint& platform)
    : host(OwnLoopbackNetwork() + ".1"),
      error_file(std::filesystem::temp_directory_path() /
                 ("limited-relay-" + this->host + ".err")) {
  const auto local = [this](std::uint16_t port) { return Endpoint{this->host, port}.ToString(); };
  const std::vector<std::string> arguments = {"relay",
                                              "--member-id=r1",
                                              "--data-centre=dc1",
                                              "--caller-address=" + local(kCallerPort),
                                              "--ready-address=" + local(kReadyPort),
                                              "--peer-address=" + local(kPeerPort),
                                              "--metrics-address=" + local(kMetricsPort),
                                              "--store-address=" + platform.ToString(),
                                              "--duty-address=" + platform.ToString(),
                                              "--max-sessions=" + std::to_string(kMaxSessions)};
  const std::vector<std::string> environment = {
      "SYCAMOREDRUM_FLEET_KEY=key of the test of misbehaving callers",
      "SYCAMOREDRUM_MEMORY_LIMIT=" + std::to_string(kMemoryLimitKiB) + "KiB",
      "SYCAMOREDRUM_MAX_UNOPENED_SESSIONS=" + std::to_string(kMaxUnopenedSessions),
      "SYCAMOREDRUM_MAX_HTTP_CONNECTIONS=" + std::to_string(kMaxHttpConnections),
      "SYCAMOREDRUM_OPEN_SESSION_TIMEOUT=1s",
      "SYCAMOREDRUM_MESSAGE_PROGRESS_TIMEOUT=1s",
      "SYCAMOREDRUM_ANSWER_PROGRESS_TIMEOUT=1s"};
  this->process = std::make_unique<ChildProcess>(SYCAMOREDRUM_PROGRAM, arguments, environment,
                                                 this->error_file);
}

bool LimitedRelay::IsReady() const {
  const RawSocket socket = RawSocket::ConnectTo(kReadyPort, this->host);
  if (!socket.Valid()) {
    return false;
  }
  socket.Send("GET /sycamoredrum/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  return socket.ReceiveUntil("\r\n").find(" 200 ") != std::string::npos;
}

std::size_t LimitedRelay::PeakMemoryKiB() const {
  std::ifstream file("/proc/" + std::to_string(this->process->Id()) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

std::size_t LimitedRelay::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(this->process->Id()) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string LimitedRelay::Errors() const {
  std::ifstream file(this->error_file);
  return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

}  // namespace sycamoredrum
