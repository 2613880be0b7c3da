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

/// Start of the reason with which a stream ends whose `received` hook threw an exception.
inline constexpr const char* kUnexpectedError = "unexpected error: ";

struct ByteStreamOptions {
  /// Unsent bytes above this end the stream: the other side does not read.
  std::size_t max_unsent_bytes = std::size_t{4} * 1024 * 1024;
  /// Sent data that is not acknowledged for this time ends the stream; an idle stream is checked
  /// by keep-alive probes in the same time.
  Duration peer_timeout = std::chrono::seconds(6);
};

/// Hooks of a stream. They run on a worker of the loop, never inside a method of the stream, and
/// not after Close.
struct ByteStreamHooks {
  std::function<void()> connected;  ///< Only for streams made by ConnectByteStream.
  /// The bytes are only valid during the call. An exception ends the stream, and only the stream.
  std::function<void(std::string_view bytes)> received;
  /// The stream ended, or could not be connected. Called once.
  std::function<void(const std::string& reason)> closed;
};

/// A TCP connection. Its reads share one buffer, so that an idle stream costs no buffer. To be used
/// from one worker at a time. The hooks keep whatever they capture alive until the stream is
/// closed.
class ByteStream {
 public:
  virtual ~ByteStream() = default;

  virtual void SetHooks(ByteStreamHooks hooks) = 0;
  /// Sends at once as much as the socket takes, and the rest later.
  virtual void Send(std::string_view bytes) = 0;
  /// Closes after the unsent bytes are sent. No hook runs any more.
  virtual void CloseAfterSending() = 0;
  /// Closes at once. No hook runs any more.
  virtual void Close() = 0;
};

/// Starts to connect.
std::shared_ptr<ByteStream> ConnectByteStream(EventLoop& loop, const Endpoint& endpoint,
                                              Duration timeout, const ByteStreamOptions& options,
                                              ByteStreamHooks hooks);

/// Accepts TCP connections.
class ByteStreamServer {
 public:
  /// `accepted` must set the hooks of the stream before it returns.
  ByteStreamServer(EventLoop& loop, ByteStreamOptions options,
                   std::function<void(std::shared_ptr<ByteStream>)> accepted);
  ~ByteStreamServer();
  ByteStreamServer(const ByteStreamServer&) = delete;
  ByteStreamServer& operator=(const ByteStreamServer&) = delete;

  /// Opens the port, which is chosen by the system if `endpoint.port` is 0. Connections and their
  /// first bytes wait in the system until Accept is called. Returns nothing on failure;
  /// LastReason() then says why.
  std::optional<std::uint16_t> Listen(const Endpoint& endpoint);
  /// Starts to accept connections. May be called once.
  void Accept();
  /// Accepts no more connections.
  void Stop();
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct State;
  std::shared_ptr<State> state;
  std::string last_reason;
};

}  // namespace sycamoredrum
