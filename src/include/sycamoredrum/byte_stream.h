#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Prefix of the reason that is passed to `closed` after the `received` hook threw an exception.
inline constexpr const char* kUnexpectedError = "unexpected error: ";

struct ByteStreamOptions {
  /// Limit of the bytes that wait to be sent. Exceeding it ends the stream, because the other side
  /// does not read.
  std::size_t max_unsent_bytes = std::size_t{4} * 1024 * 1024;
  /// The stream ends if sent data stays unacknowledged for this time. Keep-alive probes detect an
  /// unreachable peer of an idle stream within the same time.
  Duration peer_timeout = std::chrono::seconds(6);
  /// Size of the system's send and receive buffers of each connection; 0: chosen by the system,
  /// which may use several MiB for a peer that does not read.
  std::size_t system_buffer_bytes = 0;
};

/// Hooks of a stream. They run on a worker of the loop, never inside a method of the stream, and
/// never after Close.
struct ByteStreamHooks {
  std::function<void()> connected;  ///< Called only for streams made by ConnectByteStream.
  /// `bytes` is valid only during the call. If the hook throws a std::exception, this stream ends;
  /// other streams and the process are not affected.
  std::function<void(std::string_view bytes)> received;
  /// Called at most once: when the stream ended without Close, or could not be connected.
  std::function<void(const std::string& reason)> closed;
  /// Optional. Called when a part of the unsent bytes was sent.
  std::function<void()> sent = nullptr;
};

/// A TCP connection. All streams that a worker reads share one read buffer, so that an idle stream
/// needs none. Not thread-safe: use a stream from one worker at a time. The stream owns its hooks
/// and what they capture until it is closed.
class ByteStream {
 public:
  /// Time after which CloseAfterSending drops the bytes that the other side does not read.
  static constexpr Duration kCloseTimeout = std::chrono::seconds(5);

  virtual ~ByteStream() = default;

  virtual void SetHooks(ByteStreamHooks hooks) = 0;
  /// Writes at once what the socket accepts, and queues the rest. Ignored after Close or
  /// CloseAfterSending.
  virtual void Send(std::string_view bytes) = 0;
  /// Bytes that were passed to Send and that the system has not taken yet.
  virtual std::size_t UnsentBytes() const = 0;
  /// Stops reading, so that the other side's data stays in the system's buffers. The end of the
  /// connection is noticed only when bytes are sent or reading resumes.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
  /// Closes the stream once the unsent bytes are sent, or after kCloseTimeout. No hook runs after
  /// this call.
  virtual void CloseAfterSending() = 0;
  /// Closes the stream at once and drops the unsent bytes. No hook runs after this call.
  virtual void Close() = 0;
};

/// Starts to connect to `endpoint`. Calls `hooks.connected` on success, and `hooks.closed` on
/// failure or if the connection is not established within `timeout`.
std::shared_ptr<ByteStream> ConnectByteStream(EventLoop& loop, const Endpoint& endpoint,
                                              Duration timeout, const ByteStreamOptions& options,
                                              ByteStreamHooks hooks);

/// Accepts TCP connections.
class ByteStreamServer {
 public:
  /// `accepted` receives each new connection; it must call SetHooks on it before it returns.
  ByteStreamServer(EventLoop& loop, ByteStreamOptions options,
                   std::function<void(std::shared_ptr<ByteStream>)> accepted);
  ~ByteStreamServer();
  ByteStreamServer(const ByteStreamServer&) = delete;
  ByteStreamServer& operator=(const ByteStreamServer&) = delete;

  /// Listens on `endpoint` and returns the port, which is chosen by the system if `endpoint.port`
  /// is 0. Until Accept is called, connections and their first bytes wait in the listen queue of
  /// the system. Returns nothing on failure; LastReason() then gives the cause.
  std::optional<std::uint16_t> Listen(const Endpoint& endpoint);
  /// Starts to accept connections. May be called once.
  void Accept();
  /// Stops accepting connections; accepted streams stay open.
  void Stop();
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct State;
  std::shared_ptr<State> state;
  std::string last_reason;
};

}  // namespace sycamoredrum
