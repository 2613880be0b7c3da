#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

constexpr int kPeerProtocolVersion = 1;
constexpr std::size_t kMaxPeerFrameBytes = std::size_t{4} * 1024 * 1024;

/// Identity of a process towards its peers. In the hello, each side proves that it knows
/// `fleet_key` by an HMAC-SHA256 over nonces of both sides; the key itself is never sent.
struct PeerIdentity {
  std::string member;
  std::string data_centre;
  std::string fleet_key;
};

enum class PeerError {
  kNone,
  kNotSent,        ///< No byte of the request was sent; it certainly had no effect.
  kMaybeReceived,  ///< The peer may have received the request; its effect is unknown.
  kRefused,        ///< The peer answered with the error `code`.
};

/// Answer to a peer request.
struct PeerAnswer {
  PeerError error = PeerError::kNone;
  /// Set for kRefused: "unknown_kind", "stopping", "too_large", "bad_answer" or the code of the
  /// handler.
  std::string code;
  std::string message;  ///< Cause of the failure; empty on success.
  std::string body;     ///< JSON text; empty unless `error` is kNone.

  bool Ok() const { return this->error == PeerError::kNone; }
};

using PeerCallback = std::function<void(const PeerAnswer&)>;

/// A request as it is passed to its handler.
struct PeerRequest {
  std::string member;       ///< Member name of the peer, from its hello.
  std::string data_centre;  ///< Data centre of the peer, from its hello.
  std::string kind;         ///< Selects the handler.
  std::string body;         ///< JSON text.
};

/// Result of a handler. On success `body` is a JSON text and `error_code` is empty; otherwise
/// `error_code` and `message` are sent to the peer.
struct PeerReply {
  std::string body = "null";
  std::string error_code;
  std::string message;
};

/// Sends the reply to a request. Must be called exactly once, at any later time and from any
/// thread.
using PeerRespond = std::function<void(const PeerReply&)>;
using PeerHandler = std::function<void(const PeerRequest&, PeerRespond)>;

struct PeerOptions {
  Duration idle_timeout = std::chrono::seconds(60);  ///< Closes a link without requests.
  Duration hello_timeout = std::chrono::seconds(5);  ///< From connecting to the end of the hello.
  std::size_t max_links = 10000;                     ///< Used by PeerServer only.
  /// Used by PeerServer only. Optional: the last open link from `member` has ended. Runs on a
  /// worker.
  std::function<void(const std::string& member)> links_ended = nullptr;
};

/// Counters since the object was created, and the current number of open links.
struct PeerStats {
  std::uint64_t opened = 0;         ///< Links that completed the hello.
  std::uint64_t refused_hello = 0;  ///< Wrong version, wrong key, or hello timeout.
  std::uint64_t bad_frames = 0;     ///< Invalid frames; each closes its link.
  std::uint64_t unmatched = 0;      ///< PeerLink only: answers without a pending request, dropped.
  std::size_t open = 0;
};

/// Accepts links from other members: websocket connections with CBOR frames. The requests of one
/// link are passed to their handlers in order and may be answered in any order.
///
/// Thread-safe. Its mutex is never held while a handler runs, and no other lock of this library is
/// taken while it is held. Destroy the server after EventLoop::Join.
class PeerServer {
 public:
  /// `handlers` maps each request kind to its handler. Handlers run on workers of the loop.
  PeerServer(EventLoop& loop, PeerIdentity identity, PeerOptions options,
             std::map<std::string, PeerHandler> handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Starts to accept links and returns the port, which is chosen by the system if `endpoint.port`
  /// is 0. Returns nothing on failure; LastReason() then gives the cause.
  std::optional<std::uint16_t> Listen(const Endpoint& endpoint);

  /// Refuses new links, answers new requests with the error "stopping", and closes each link once
  /// its pending requests are answered. `done` runs on a worker when no link is left. May be called
  /// once.
  void Shutdown(std::function<void()> done);

  PeerStats Stats() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct State;
  std::shared_ptr<State> state;
  std::string last_reason;
};

/// Link to one peer. Connects at the first request, and again at the next request after the
/// connection broke or was closed as idle. A request is sent at most once; when the connection
/// breaks, all its pending requests fail.
///
/// Thread-safe. Its mutex is never held while a callback runs. The destructor makes requests in
/// progress fail; their callbacks still run.
class PeerLink {
 public:
  PeerLink(EventLoop& loop, PeerIdentity identity, PeerOptions options, const Endpoint& endpoint);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Sends a request whose `body` is a JSON text, and calls `callback` exactly once, on a worker,
  /// never inside Call itself. The timeout covers connecting, sending and receiving. If a request
  /// times out and nothing was received on its connection since it was sent, later requests use a
  /// new connection.
  void Call(const std::string& kind, const std::string& body, Duration timeout,
            PeerCallback callback);

  PeerStats Stats() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace sycamoredrum
