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

/// How a process presents itself to its peers. Both sides prove in the hello that they know
/// `fleet_key`, by an HMAC-SHA256 over nonces of both; the key itself is never sent.
struct PeerIdentity {
  std::string member;
  std::string data_centre;
  std::string fleet_key;
};

enum class PeerError {
  kNone,
  kNotSent,        ///< Nothing of the request was sent; it certainly had no effect.
  kMaybeReceived,  ///< The request may have been received; its effect is unknown.
  kRefused,        ///< The peer answered with an error; `code` says which.
};

/// Answer to a peer request.
struct PeerAnswer {
  PeerError error = PeerError::kNone;
  std::string code;  ///< kRefused: "unknown_kind", "stopping", "too_large" or the handler's code.
  std::string message;  ///< Why the request failed.
  std::string body;     ///< JSON text; empty unless `error` is kNone.

  bool Ok() const { return this->error == PeerError::kNone; }
};

using PeerCallback = std::function<void(const PeerAnswer&)>;

/// A request as its handler sees it.
struct PeerRequest {
  std::string member;       ///< The peer, from its hello.
  std::string data_centre;  ///< Data centre of the peer.
  std::string kind;
  std::string body;  ///< JSON text.
};

/// Outcome of a handler: `body` is a JSON text, or `error_code` is not empty.
struct PeerReply {
  std::string body = "null";
  std::string error_code;
  std::string message;
};

/// Must be called exactly once; may be called later and by any thread.
using PeerRespond = std::function<void(const PeerReply&)>;
using PeerHandler = std::function<void(const PeerRequest&, PeerRespond)>;

struct PeerOptions {
  Duration idle_timeout = std::chrono::seconds(60);  ///< A link without requests is closed.
  Duration hello_timeout = std::chrono::seconds(5);  ///< From the connect to the end of the hello.
  std::size_t max_links = 10000;                     ///< Servers only.
};

/// Counters since the start, and the present number of links.
struct PeerStats {
  std::uint64_t opened = 0;         ///< Links that completed the hello.
  std::uint64_t refused_hello = 0;  ///< Wrong version, wrong key, or no hello in time.
  std::uint64_t bad_frames = 0;     ///< Frames that could not be read; each closes its link.
  std::uint64_t unmatched = 0;      ///< Links: answers to no pending request; they are dropped.
  std::size_t open = 0;
};

/// Accepts links of other members over websocket with CBOR frames. Requests of one link are handed
/// to their handlers in order and answered in any order.
///
/// Thread-safe. One mutex, never held while a handler runs, inside which no other lock of this
/// library is taken. Destroy it after EventLoop::Join.
class PeerServer {
 public:
  /// `handlers` by request kind. They run on workers of the loop.
  PeerServer(EventLoop& loop, PeerIdentity identity, PeerOptions options,
             std::map<std::string, PeerHandler> handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Starts to accept links and returns the port, which is chosen by the system if `endpoint.port`
  /// is 0. Returns nothing on failure; LastReason() then says why.
  std::optional<std::uint16_t> Listen(const Endpoint& endpoint);

  /// Refuses new links, answers new requests with the error "stopping", and closes each link when
  /// its requests are answered. `done` runs on a worker when no link is left. May be called once.
  void Shutdown(std::function<void()> done);

  PeerStats Stats() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct State;
  std::shared_ptr<State> state;
  std::string last_reason;
};

/// Link to one peer. Connects when a request needs it, and again after the link broke or was idle.
/// A request is sent at most once; a link that breaks fails all its requests.
///
/// Thread-safe. One mutex, never held while a callback runs. After the destructor, requests in
/// progress fail; their callbacks still run.
class PeerLink {
 public:
  PeerLink(EventLoop& loop, PeerIdentity identity, PeerOptions options, const Endpoint& endpoint);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Sends a request whose `body` is a JSON text, and calls `callback` exactly once, on a worker,
  /// never inside Call itself. The timeout covers connecting, sending and receiving. If nothing
  /// arrived on the link since a request that timed out was sent, later requests use a new link.
  void Call(const std::string& kind, const std::string& body, Duration timeout,
            PeerCallback callback);

  PeerStats Stats() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace sycamoredrum
