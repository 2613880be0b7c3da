#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoredrum {

/// What each connection of a crowd does. It sends `opening`, then `repeated` as often as
/// `repetitions` says, then `ending`.
struct CrowdBehaviour {
  std::string opening;
  std::string repeated;
  std::size_t repetitions = 1;
  std::string ending;
  /// Most bytes that one call of send passes to the system after `opening`; 0: no limit.
  std::size_t piece = 0;
  /// Bytes that are read in each pass over the connections; 0: the connection reads nothing.
  std::size_t read = 0;
  /// Pause after each pass over the connections.
  std::chrono::milliseconds pause{0};
  /// Time for which Run continues after everything was sent, so that the relay handles all of it.
  std::chrono::milliseconds linger{0};
  /// Size of the system's receive buffer, so that unread responses stay with the sender; 0:
  /// default.
  int receive_buffer = 0;
};

/// Many connections to one address, which all behave in the same way.
class Crowd {
 public:
  /// Connects to `host` and `port` as often as `connections` says.
  Crowd(const std::string& host, std::uint16_t port, std::size_t connections,
        CrowdBehaviour behaviour);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends and reads until every connection has sent everything or was closed by the relay, until
  /// none has made progress for a second and for `linger`, or until `limit` has passed. Calls
  /// `after_pass` after each pass over the connections.
  void Run(std::chrono::milliseconds limit, const std::function<void()>& after_pass);

  /// Closes all connections.
  void Close();

 private:
  struct Member {
    int descriptor = -1;
    std::size_t sent = 0;
  };

  /// Bytes that follow after `sent` bytes, at most up to the end of one part of the behaviour.
  std::string_view Next(std::size_t sent) const;
  bool Send(Member& member);
  bool Read(Member& member);
  static void CloseMember(Member& member);

  CrowdBehaviour behaviour;
  std::vector<Member> members;
};

}  // namespace sycamoredrum
