#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Largest payload that is sent or delivered. It fits into one Ethernet frame together with tunnel
/// headers, so that no datagram is fragmented.
constexpr std::size_t kMaxDatagramBytes = 1200;

/// Counters since the socket object was created.
struct DatagramStats {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t send_errors = 0;  ///< Not sent: too large, invalid address, or system error.
  std::uint64_t oversized = 0;    ///< Received and dropped: longer than kMaxDatagramBytes.
};

using DatagramHandler = std::function<void(const Endpoint& from, const std::string& payload)>;

/// UDP socket. The network may lose, duplicate and reorder datagrams.
///
/// Thread-safe. Its mutex is never held while the handler runs. Destroy the socket after
/// EventLoop::Join, or after Close if no handler is running.
class DatagramSocket {
 public:
  /// `handler` runs on workers of the loop, one datagram at a time.
  DatagramSocket(EventLoop& loop, DatagramHandler handler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Binds the socket, starts to receive, and returns the port, which is chosen by the system if
  /// `endpoint.port` is 0. Returns nothing on failure; LastReason() then gives the cause.
  std::optional<std::uint16_t> Open(const Endpoint& endpoint);

  /// Sends one datagram without blocking. A datagram that cannot be sent is dropped and counted in
  /// DatagramStats::send_errors.
  void Send(const Endpoint& to, const std::string& payload);

  /// Stops receiving. Later sends are dropped.
  void Close();

  DatagramStats Stats() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct State;
  std::shared_ptr<State> state;
  std::string last_reason;
};

}  // namespace sycamoredrum
