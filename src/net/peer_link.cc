#include "sycamoredrum/peer_link.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

#include "event_loop_impl.h"
#include "peer_frame.h"
#include "peer_websocket.h"

namespace sycamoredrum {
namespace {

using websocketpp::connection_hdl;
namespace status = websocketpp::close::status;

/// One connection of a PeerLink.
struct Connection {
  PeerWebsocketClient::connection_ptr websocket;
  std::string server_nonce;
  PeerFrame hello;
  bool ready = false;       ///< The peer's welcome was accepted.
  bool retired = false;     ///< No new requests are sent on it; it closes when none is pending.
  bool closed = false;      ///< Closed or given up; its requests have failed.
  int pending = 0;          ///< Requests sent on this connection that are not answered yet.
  TimePoint last_received;  ///< Time of the last frame from the peer.
  TimePoint last_used;      ///< Time of the last request or answer, for the idle timeout.
};

using ConnectionPointer = std::shared_ptr<Connection>;

struct PendingCall {
  std::string frame;
  PeerCallback callback;
  ConnectionPointer connection;  ///< Null until the request was sent.
  TimePoint sent_at;
};

PeerAnswer Failure(PeerError error, std::string message) {
  PeerAnswer answer;
  answer.error = error;
  answer.message = std::move(message);
  return answer;
}

}  // namespace

struct PeerLink::State : public std::enable_shared_from_this<PeerLink::State> {
  State(EventLoop& loop, PeerIdentity identity, PeerOptions options, Endpoint endpoint)
      : loop(loop),
        identity(std::move(identity)),
        options(options),
        endpoint(std::move(endpoint)) {}

  void Start(std::uint64_t id, PendingCall call, Duration timeout);
  void Connect(const ConnectionPointer& connection);
  void SetHandlers(const ConnectionPointer& connection);
  void OnMessage(const ConnectionPointer& connection, const std::string& bytes, bool binary);
  void OnChallenge(const ConnectionPointer& connection, const PeerFrame& challenge);
  void OnWelcome(const ConnectionPointer& connection, const PeerFrame& welcome);
  void OnAnswer(const ConnectionPointer& connection, const PeerFrame& frame);
  void OnClosed(const ConnectionPointer& connection, const std::string& reason);
  void OnTimeout(std::uint64_t id);
  void SendLocked(std::uint64_t id, PendingCall& call, const ConnectionPointer& connection);
  /// Fails a request because kMaxPeerUnsentBytes is exceeded, and retires its connection.
  void OnSendBufferFull(std::uint64_t id);
  /// Close the connection if the idle or hello timeout has expired. `connection` is null if it was
  /// destroyed before.
  void CheckIdle(const ConnectionPointer& connection);
  void CheckHello(const ConnectionPointer& connection);
  static void Close(const ConnectionPointer& connection, status::value code);
  void BreakReferenceCycles();

  EventLoop& loop;
  const PeerIdentity identity;
  const PeerOptions options;
  const Endpoint endpoint;
  PeerWebsocketClient client;

  std::mutex mutex;  // Guards the members below and all connections; not held during callbacks.
  ConnectionPointer current;                           ///< Connection for new requests, or null.
  std::vector<std::weak_ptr<Connection>> connections;  ///< All that may still be open.
  std::map<std::uint64_t, PendingCall> pending;
  std::uint64_t next_id = 1;
  PeerStats stats;
};

void PeerLink::State::Start(std::uint64_t id, PendingCall call, Duration timeout) {
  ConnectionPointer new_connection;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->current != nullptr && (this->current->retired || this->current->closed)) {
      this->current.reset();
    }
    if (this->current == nullptr) {
      this->current = std::make_shared<Connection>();
      new_connection = this->current;
      this->connections.erase(
          std::remove_if(this->connections.begin(), this->connections.end(),
                         [](const std::weak_ptr<Connection>& old) { return old.expired(); }),
          this->connections.end());
      this->connections.push_back(new_connection);
    } else if (this->current->ready) {
      this->SendLocked(id, call, this->current);
    }
    this->pending.emplace(id, std::move(call));
  }
  this->loop.RunAfter(timeout, [self = this->shared_from_this(), id] { self->OnTimeout(id); });
  if (new_connection != nullptr) {
    this->loop.Post(
        [self = this->shared_from_this(), new_connection] { self->Connect(new_connection); });
  }
}

void PeerLink::State::Connect(const ConnectionPointer& connection) {
  websocketpp::lib::error_code error;
  const auto websocket =
      this->client.get_connection("ws://" + this->endpoint.ToString() + "/peer", error);
  if (error) {
    this->OnClosed(connection, error.message());
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    connection->websocket = websocket;
    connection->last_used = this->loop.Now();
  }
  this->SetHandlers(connection);
  this->client.connect(websocket);
  const std::weak_ptr<Connection> weak = connection;
  this->loop.RunAfter(this->options.hello_timeout,
                      [self = this->shared_from_this(), weak] { self->CheckHello(weak.lock()); });
  this->loop.RunAfter(this->options.idle_timeout,
                      [self = this->shared_from_this(), weak] { self->CheckIdle(weak.lock()); });
}

// The handlers own the state and with it the websocket endpoint, because the endpoint must outlive
// its connections.
void PeerLink::State::SetHandlers(const ConnectionPointer& connection) {
  const auto& websocket = connection->websocket;
  // Weak, because the connection owns the websocket, which owns the handlers.
  const std::weak_ptr<Connection> weak = connection;
  const auto self = this->shared_from_this();
  const auto closed = [self, weak](const connection_hdl&) {
    const ConnectionPointer target = weak.lock();
    if (target == nullptr) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(self->mutex);
      self->stats.bad_frames += ClosedByBadFrame(*target->websocket) ? 1 : 0;
    }
    self->OnClosed(target, target->websocket->get_ec().message());
  };
  websocket->set_open_handler(
      [websocket = websocket.get()](const connection_hdl&) { DisableDelay(*websocket); });
  websocket->set_close_handler(closed);
  websocket->set_fail_handler(closed);
  websocket->set_message_handler(
      [self, weak](const connection_hdl&, const PeerWebsocketClient::message_ptr& message) {
        if (const ConnectionPointer target = weak.lock()) {
          const bool binary = message->get_opcode() == websocketpp::frame::opcode::binary;
          self->OnMessage(target, message->get_payload(), binary);
        }
      });
}

void PeerLink::State::OnMessage(const ConnectionPointer& connection, const std::string& bytes,
                                bool binary) {
  bool ready = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    connection->last_received = this->loop.Now();
    ready = connection->ready;
  }
  const std::optional<PeerFrame> frame = binary ? DecodePeerFrame(bytes) : std::nullopt;
  // A client never receives requests, so that kRequest stands for an invalid frame here.
  const PeerFrameType type = frame ? frame->type : PeerFrameType::kRequest;
  const bool answer = type == PeerFrameType::kAnswer || type == PeerFrameType::kError;
  if (frame && answer && ready) {
    this->OnAnswer(connection, *frame);
  } else if (type == PeerFrameType::kChallenge && connection->server_nonce.empty()) {
    this->OnChallenge(connection, *frame);
  } else if (type == PeerFrameType::kWelcome && !ready) {
    this->OnWelcome(connection, *frame);
  } else {
    Close(connection, status::protocol_error);
  }
}

void PeerLink::State::OnChallenge(const ConnectionPointer& connection, const PeerFrame& challenge) {
  if (challenge.version != kPeerProtocolVersion) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->stats.refused_hello;
    }
    Close(connection, status::policy_violation);
    return;
  }
  PeerFrame& hello = connection->hello;
  hello.type = PeerFrameType::kHello;
  hello.version = kPeerProtocolVersion;
  hello.member = this->identity.member;
  hello.data_centre = this->identity.data_centre;
  hello.nonce = MakeNonce();
  hello.proof = MakeProof(this->identity.fleet_key, "client", challenge.nonce, hello);
  connection->server_nonce = challenge.nonce;
  // Sent without RunOnStrand: message handlers already run on the strand.
  connection->websocket->send(EncodePeerFrame(hello).value_or(""),
                              websocketpp::frame::opcode::binary);
}

void PeerLink::State::OnWelcome(const ConnectionPointer& connection, const PeerFrame& welcome) {
  const std::string expected =
      MakeProof(this->identity.fleet_key, "server", connection->server_nonce, connection->hello);
  const bool accepted = !connection->server_nonce.empty() && SameProof(expected, welcome.proof);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++(accepted ? this->stats.opened : this->stats.refused_hello);
    connection->ready = accepted;
    for (auto& entry : this->pending) {
      if (accepted && entry.second.connection == nullptr) {
        this->SendLocked(entry.first, entry.second, connection);
      }
    }
  }
  if (!accepted) {
    Close(connection, status::policy_violation);
  }
}

void PeerLink::State::SendLocked(std::uint64_t id, PendingCall& call,
                                 const ConnectionPointer& connection) {
  call.connection = connection;
  call.sent_at = this->loop.Now();
  ++connection->pending;
  connection->last_used = call.sent_at;
  RunOnStrand(connection->websocket, [self = this->shared_from_this(), connection, id,
                                      frame = std::exchange(call.frame, {})] {
    if (connection->websocket->get_buffered_amount() > kMaxPeerUnsentBytes) {
      self->OnSendBufferFull(id);
      return;
    }
    // If sending fails, the close handler runs and fails the request.
    connection->websocket->send(frame, websocketpp::frame::opcode::binary);
  });
}

void PeerLink::State::OnSendBufferFull(std::uint64_t id) {
  PendingCall call;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return;
    }
    call = std::move(found->second);
    this->pending.erase(found);
    --call.connection->pending;
    call.connection->retired = true;
  }
  call.callback(Failure(PeerError::kNotSent, "the peer does not read"));
}

void PeerLink::State::OnAnswer(const ConnectionPointer& connection, const PeerFrame& frame) {
  PeerCallback callback;
  bool unused = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->pending.find(frame.id);
    if (found == this->pending.end() || found->second.connection != connection) {
      ++this->stats.unmatched;
      return;
    }
    callback = std::move(found->second.callback);
    this->pending.erase(found);
    --connection->pending;
    connection->last_used = this->loop.Now();
    unused = connection->retired && connection->pending == 0;
  }
  if (unused) {
    Close(connection, status::going_away);
  }
  PeerAnswer answer;
  answer.body = frame.body;
  if (frame.type == PeerFrameType::kError) {
    answer.error = PeerError::kRefused;
    answer.code = frame.code;
    answer.message = frame.message;
  }
  callback(answer);
}

void PeerLink::State::OnClosed(const ConnectionPointer& connection, const std::string& reason) {
  std::vector<std::pair<PeerCallback, PeerError>> failed;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    connection->closed = true;
    const bool was_current = this->current == connection;
    if (was_current) {
      this->current.reset();
    }
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
      PendingCall& call = entry->second;
      const bool waiting = call.connection == nullptr && was_current;
      if (!waiting && call.connection != connection) {
        ++entry;
        continue;
      }
      failed.emplace_back(std::move(call.callback),
                          waiting ? PeerError::kNotSent : PeerError::kMaybeReceived);
      entry = this->pending.erase(entry);
    }
  }
  for (const auto& [callback, error] : failed) {
    callback(Failure(error, "link to " + this->endpoint.ToString() + " broke: " + reason));
  }
}

void PeerLink::State::OnTimeout(std::uint64_t id) {
  PendingCall call;
  ConnectionPointer not_connected;
  bool unused = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return;
    }
    call = std::move(found->second);
    this->pending.erase(found);
    if (call.connection == nullptr && this->current != nullptr && !this->current->ready &&
        this->current->websocket != nullptr) {
      // The peer may have been unreachable when this connection attempt began. Giving it up lets
      // the next request connect at once instead of waiting for the system's next retransmission.
      not_connected = this->current;
    }
    if (call.connection != nullptr) {
      --call.connection->pending;
      if (call.connection->last_received < call.sent_at) {
        call.connection->retired = true;
      }
      unused = call.connection->retired && call.connection->pending == 0;
    }
  }
  if (unused) {
    Close(call.connection, status::going_away);
  }
  if (not_connected != nullptr) {
    this->OnClosed(not_connected, "not connected in time");
    Close(not_connected, status::going_away);
  }
  const PeerError error =
      call.connection == nullptr ? PeerError::kNotSent : PeerError::kMaybeReceived;
  call.callback(Failure(error, "no answer from " + this->endpoint.ToString() + " in time"));
}

void PeerLink::State::CheckIdle(const ConnectionPointer& connection) {
  if (connection == nullptr) {
    return;
  }
  Duration remaining{};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (connection->closed) {
      return;
    }
    remaining = connection->last_used + this->options.idle_timeout - this->loop.Now();
    if (connection->pending > 0) {
      remaining = this->options.idle_timeout;
    }
    connection->retired = connection->retired || remaining <= Duration::zero();
  }
  if (remaining <= Duration::zero()) {
    Close(connection, status::normal);
    return;
  }
  this->loop.RunAfter(
      remaining, [self = this->shared_from_this(), connection] { self->CheckIdle(connection); });
}

void PeerLink::State::CheckHello(const ConnectionPointer& connection) {
  if (connection == nullptr) {
    return;
  }
  bool late = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    late = !connection->ready && !connection->closed;
    this->stats.refused_hello += late ? 1 : 0;
  }
  if (late) {
    this->OnClosed(connection, "no hello in time");
    Close(connection, status::policy_violation);
  }
}

void PeerLink::State::Close(const ConnectionPointer& connection, status::value code) {
  const PeerWebsocketClient::connection_ptr websocket = connection->websocket;
  RunOnStrand(websocket, [websocket, code] {
    websocketpp::lib::error_code ignored;
    websocket->close(code, "", ignored);
  });
}

// The handlers of a websocket own the state, and the pending requests of the state own the
// websocket. After the loop has ended, no event releases either of them.
void PeerLink::State::BreakReferenceCycles() {
  std::vector<ConnectionPointer> open;
  std::map<std::uint64_t, PendingCall> dropped;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::weak_ptr<Connection>& weak : this->connections) {
      if (ConnectionPointer connection = weak.lock()) {
        open.push_back(std::move(connection));
      }
    }
    dropped.swap(this->pending);
    this->current.reset();
  }
  for (const ConnectionPointer& connection : open) {
    if (connection->websocket != nullptr) {
      connection->websocket->set_open_handler(nullptr);
      connection->websocket->set_close_handler(nullptr);
      connection->websocket->set_fail_handler(nullptr);
      connection->websocket->set_message_handler(nullptr);
    }
  }
}

PeerLink::PeerLink(EventLoop& loop, PeerIdentity identity, PeerOptions options,
                   const Endpoint& endpoint)
    : state(std::make_shared<State>(loop, std::move(identity), options, endpoint)) {
  DetectByteOrder();
  this->state->client.clear_access_channels(websocketpp::log::alevel::all);
  this->state->client.clear_error_channels(websocketpp::log::elevel::all);
  this->state->client.init_asio(&loop.Internal().io);
  loop.Internal().RunOnJoin([weak = std::weak_ptr<State>(this->state)] {
    if (const auto ended = weak.lock()) {
      ended->BreakReferenceCycles();
    }
  });
}

PeerLink::~PeerLink() {
  ConnectionPointer open;
  bool connecting = true;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    open = this->state->current;
    connecting = open == nullptr || open->websocket == nullptr;
  }
  if (!connecting) {
    State::Close(open, status::going_away);
  }
}

void PeerLink::Call(const std::string& kind, const std::string& body, Duration timeout,
                    PeerCallback callback) {
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    id = this->state->next_id++;
  }
  PeerFrame request;
  request.type = PeerFrameType::kRequest;
  request.id = id;
  request.kind = kind;
  request.body = body;
  std::optional<std::string> frame = EncodePeerFrame(request);
  if (!frame || frame->size() > kMaxPeerFrameBytes) {
    const std::string reason = frame ? "exceeds a frame" : "is not a JSON text";
    this->state->loop.Post([callback = std::move(callback), reason] {
      callback(Failure(PeerError::kNotSent, "the request " + reason));
    });
    return;
  }
  PendingCall call;
  call.frame = std::move(*frame);
  call.callback = std::move(callback);
  this->state->Start(id, std::move(call), timeout);
}

PeerStats PeerLink::Stats() const {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  PeerStats stats = this->state->stats;
  stats.open = this->state->current != nullptr && this->state->current->ready ? 1 : 0;
  return stats;
}

}  // namespace sycamoredrum
