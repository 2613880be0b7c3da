#include "crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr std::chrono::milliseconds kNoProgressLimit{1000};
// Sending in each pass ends after this number of bytes, so that all connections send concurrently.
constexpr std::size_t kBytesPerPass = std::size_t{64} * 1024;

int Connect(const std::string& host, std::uint16_t port, int receive_buffer) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  if (receive_buffer > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
  return descriptor;
}

}  // namespace

Crowd::Crowd(const std::string& host, std::uint16_t port, std::size_t connections,
             CrowdBehaviour behaviour)
    : behaviour(std::move(behaviour)) {
  for (std::size_t i = 0; i < connections; ++i) {
    this->members.push_back(Member{Connect(host, port, this->behaviour.receive_buffer), 0});
  }
}

Crowd::~Crowd() { this->Close(); }

void Crowd::CloseMember(Member& member) {
  if (member.descriptor >= 0) {
    close(std::exchange(member.descriptor, -1));
  }
}

void Crowd::Close() {
  for (Member& member : this->members) {
    CloseMember(member);
  }
}

std::string_view Crowd::Next(std::size_t sent) const {
  const CrowdBehaviour& all = this->behaviour;
  std::string_view part = all.opening;
  if (sent < all.opening.size()) {
    return part.substr(sent);
  }
  sent -= all.opening.size();
  const std::size_t middle = all.repeated.size() * all.repetitions;
  if (sent < middle) {
    part = all.repeated;
    return part.substr(sent % all.repeated.size());
  }
  part = all.ending;
  return part.substr(std::min(sent - middle, all.ending.size()));
}

bool Crowd::Send(Member& member) {
  std::size_t sent_now = 0;
  while (member.descriptor >= 0 && sent_now < kBytesPerPass) {
    std::string_view bytes = this->Next(member.sent);
    if (bytes.empty()) {
      break;
    }
    const bool in_pieces =
        this->behaviour.piece > 0 && member.sent >= this->behaviour.opening.size();
    bytes = bytes.substr(0, in_pieces ? this->behaviour.piece : kBytesPerPass);
    const ssize_t count = send(member.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN) {
        CloseMember(member);
      }
      break;
    }
    member.sent += static_cast<std::size_t>(count);
    sent_now += static_cast<std::size_t>(count);
    if (in_pieces && this->behaviour.pause.count() > 0) {
      break;
    }
  }
  return sent_now > 0;
}

bool Crowd::Read(Member& member) {
  if (member.descriptor < 0 || this->behaviour.read == 0) {
    return false;
  }
  std::array<char, kBytesPerPass> buffer;
  const ssize_t count = recv(member.descriptor, buffer.data(),
                             std::min(this->behaviour.read, buffer.size()), MSG_DONTWAIT);
  if (count == 0 || (count < 0 && errno != EAGAIN)) {
    CloseMember(member);
  }
  return count > 0;
}

void Crowd::Run(std::chrono::milliseconds limit, const std::function<void()>& after_pass) {
  const auto end = std::chrono::steady_clock::now() + limit;
  auto last_progress = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < end &&
         std::chrono::steady_clock::now() - last_progress <
             std::max(kNoProgressLimit, this->behaviour.linger)) {
    bool progress = false;
    bool finished = true;
    for (Member& member : this->members) {
      progress = this->Send(member) || progress;
      progress = this->Read(member) || progress;
      const bool reads = this->behaviour.read > 0;
      finished = finished && (member.descriptor < 0 || (this->Next(member.sent).empty() && !reads));
    }
    after_pass();
    if (finished && this->behaviour.linger.count() == 0) {
      return;
    }
    if (progress) {
      last_progress = std::chrono::steady_clock::now();
    }
    poll(nullptr, 0, std::max(progress ? 0 : 5, static_cast<int>(this->behaviour.pause.count())));
  }
}

}  // namespace sycamoredrum
