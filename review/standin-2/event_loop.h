#pragma once

// A small event loop on poll() for the stand-ins of this review. One thread, loopback only.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// One TCP connection with buffered output.
class Stream {
 public:
  explicit Stream(int descriptor) : descriptor(descriptor) {
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Stream() { this->Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void Send(const std::string& bytes) {
    if (this->Open()) {
      this->output += bytes;
      this->Flush();
    }
  }

  void Flush() {
    while (this->Open() && !this->output.empty()) {
      const ssize_t sent =
          send(this->descriptor, this->output.data(), this->output.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          this->failed = true;
        }
        return;
      }
      this->output.erase(0, static_cast<std::size_t>(sent));
    }
  }

  void Close() {
    if (this->Open()) {
      close(std::exchange(this->descriptor, -1));
    }
  }

  bool Open() const { return this->descriptor >= 0; }

  int descriptor;
  std::string input;   ///< Received bytes that are not handled yet.
  std::string output;  ///< Bytes that are not sent yet.
  bool failed = false;
  std::function<void()> received;  ///< Called after bytes were appended to `input`.
  std::function<void()> closed;    ///< Called once, when the other side has closed.
};

using StreamPointer = std::shared_ptr<Stream>;

class EventLoop {
 public:
  using Accepted = std::function<void(StreamPointer)>;

  /// Listens on an address; port 0 chooses a free one. Returns the port.
  std::uint16_t Listen(const std::string& host, std::uint16_t port, Accepted accepted) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = Address(host, port);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(descriptor, 512) != 0) {
      throw std::runtime_error("cannot listen on " + host);
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    const std::uint16_t bound = ntohs(address.sin_port);
    this->listeners[descriptor] = std::move(accepted);
    this->listening[host + ":" + std::to_string(bound)] = descriptor;
    return bound;
  }

  void StopListening(const std::string& address) {
    const auto found = this->listening.find(address);
    if (found != this->listening.end()) {
      close(found->second);
      this->listeners.erase(found->second);
      this->listening.erase(found);
    }
  }

  /// Connects to a loopback address. Returns null if no process listens there.
  StreamPointer Connect(const std::string& host, std::uint16_t port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address(host, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      close(descriptor);
      return nullptr;
    }
    return this->Add(std::make_shared<Stream>(descriptor));
  }

  StreamPointer Add(StreamPointer stream) {
    this->streams.push_back(stream);
    return stream;
  }

  void RunAfter(Milliseconds delay, std::function<void()> action) {
    this->timers.emplace(Clock::now() + delay, std::move(action));
  }

  void RunUntil(TimePoint end) {
    while (Clock::now() < end && !this->stopped) {
      this->RunOnce(end);
    }
  }

  void Stop() { this->stopped = true; }

 private:
  static sockaddr_in Address(const std::string& host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
  }

  void RunOnce(TimePoint end) {
    TimePoint wake = end;
    if (!this->timers.empty()) {
      wake = std::min(wake, this->timers.begin()->first);
    }
    std::vector<pollfd> polled;
    for (const auto& [descriptor, accepted] : this->listeners) {
      polled.push_back({descriptor, POLLIN, 0});
    }
    const std::size_t listener_count = polled.size();
    std::vector<StreamPointer> open;
    for (const StreamPointer& stream : this->streams) {
      if (stream->Open()) {
        open.push_back(stream);
        const short events = stream->output.empty() ? POLLIN : POLLIN | POLLOUT;
        polled.push_back({stream->descriptor, events, 0});
      }
    }
    this->streams = open;
    const auto left = std::chrono::duration_cast<Milliseconds>(wake - Clock::now()).count();
    poll(polled.data(), polled.size(), static_cast<int>(std::max<long>(left, 0)) + (left > 0));
    for (std::size_t i = 0; i < listener_count; ++i) {
      if (polled[i].revents != 0) {
        this->Accept(polled[i].fd);
      }
    }
    for (std::size_t i = 0; i < open.size(); ++i) {
      if (polled[listener_count + i].revents != 0) {
        this->Serve(open[i]);
      }
    }
    while (!this->timers.empty() && this->timers.begin()->first <= Clock::now()) {
      const std::function<void()> action = std::move(this->timers.begin()->second);
      this->timers.erase(this->timers.begin());
      action();
    }
  }

  void Accept(int listener) {
    const auto found = this->listeners.find(listener);
    while (found != this->listeners.end()) {
      const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      const Accepted accepted = found->second;
      accepted(this->Add(std::make_shared<Stream>(descriptor)));
    }
  }

  static void Serve(const StreamPointer& stream) {
    stream->Flush();
    bool ended = stream->failed;
    char chunk[16384];
    while (stream->Open() && !ended) {
      const ssize_t count = recv(stream->descriptor, chunk, sizeof(chunk), 0);
      if (count > 0) {
        stream->input.append(chunk, static_cast<std::size_t>(count));
      } else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
        ended = true;
      } else {
        break;
      }
    }
    if (stream->received && !stream->input.empty()) {
      const auto received = stream->received;
      received();
    }
    if (ended && stream->Open()) {
      stream->Close();
      if (stream->closed) {
        const auto closed = std::exchange(stream->closed, nullptr);
        closed();
      }
    }
  }

  std::map<int, Accepted> listeners;
  std::map<std::string, int> listening;
  std::vector<StreamPointer> streams;
  std::multimap<TimePoint, std::function<void()>> timers;
  bool stopped = false;
};

}  // namespace review
