#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Blocking TCP socket on the loopback interface, for tests that send and receive exact bytes.
class RawSocket {
 public:
  explicit RawSocket(int descriptor) : descriptor(descriptor) {}
  RawSocket(RawSocket&& other) noexcept : descriptor(std::exchange(other.descriptor, -1)) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { this->Close(); }

  static RawSocket ConnectTo(std::uint16_t port, const std::string& host = "127.0.0.1") {
    RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in address = Loopback(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (connect(socket.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0) {
      socket.Close();
    }
    return socket;
  }

  static RawSocket ListenOnLoopback(int backlog = 16) {
    RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = Loopback(0);
    static_cast<void>(
        bind(socket.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    listen(socket.descriptor, backlog);
    return socket;
  }

  static int Descriptor(const RawSocket& socket) { return socket.descriptor; }
  bool Valid() const { return this->descriptor >= 0; }
  RawSocket Accept() const { return RawSocket(accept(this->descriptor, nullptr, nullptr)); }

  Endpoint LocalEndpoint() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return Endpoint{"127.0.0.1", ntohs(address.sin_port)};
  }

  void Send(std::string_view bytes) const {
    send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Receives until the data contains `end`, the other side closes, or no data arrives for `limit`.
  /// An empty `end` never matches. Returns all data received.
  std::string ReceiveUntil(std::string_view end,
                           std::chrono::milliseconds limit = std::chrono::seconds(5)) const {
    std::string received;
    char chunk[4096];
    pollfd poll_descriptor{this->descriptor, POLLIN, 0};
    while (end.empty() || received.find(end) == std::string::npos) {
      if (poll(&poll_descriptor, 1, static_cast<int>(limit.count())) <= 0) {
        break;
      }
      const ssize_t count = recv(this->descriptor, chunk, sizeof(chunk), 0);
      if (count <= 0) {
        break;
      }
      received.append(chunk, static_cast<std::size_t>(count));
    }
    return received;
  }

  void Close() {
    if (this->descriptor >= 0) {
      close(std::exchange(this->descriptor, -1));
    }
  }

 private:
  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  int descriptor;
};

}  // namespace sycamoredrum
