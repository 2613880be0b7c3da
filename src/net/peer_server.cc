#include <algorithm>
#include <mutex>
#include <utility>

#include "event_loop_impl.h"
#include "peer_frame.h"
#include "peer_websocket.h"
#include "sycamoredrum/peer_link.h"

namespace sycamoredrum {
namespace {

using websocketpp::connection_hdl;
namespace status = websocketpp::close::status;

/// One link of a PeerServer.
struct PeerSession {
  connection_hdl handle;
  std::string nonce;   ///< Sent to the peer in the challenge.
  bool ready = false;  ///< The hello was accepted.
  PeerFrame hello;
  int in_progress = 0;  ///< Requests that are not answered yet.
  TimePoint last_activity;
};

PeerFrame ErrorFrame(std::uint64_t id, const std::string& code, const std::string& message) {
  PeerFrame frame;
  frame.type = PeerFrameType::kError;
  frame.id = id;
  frame.code = code;
  frame.message = message;
  return frame;
}

}  // namespace

struct PeerServer::State : public std::enable_shared_from_this<PeerServer::State> {
  using SessionPointer = std::shared_ptr<PeerSession>;

  State(EventLoop& loop, PeerIdentity identity, PeerOptions options,
        std::map<std::string, PeerHandler> handlers)
      : loop(loop),
        identity(std::move(identity)),
        options(options),
        handlers(std::move(handlers)) {}

  void OnOpen(const connection_hdl& handle);
  void OnClose(const connection_hdl& handle);
  void OnMessage(const connection_hdl& handle, const std::string& bytes, bool binary);
  void OnHello(const SessionPointer& session, const PeerFrame& hello);
  void OnRequest(const SessionPointer& session, const PeerFrame& request);
  void Respond(const SessionPointer& session, std::uint64_t id, const PeerReply& reply);
  void Send(const SessionPointer& session, const PeerFrame& frame);
  void Close(const connection_hdl& handle, status::value code);
  void CloseBadFrame(const connection_hdl& handle);
  void CheckHello(const std::weak_ptr<PeerSession>& weak);
  void CheckIdle(const std::weak_ptr<PeerSession>& weak);
  void ReportIfFinished();
  SessionPointer Find(const connection_hdl& handle);

  EventLoop& loop;
  const PeerIdentity identity;
  const PeerOptions options;
  const std::map<std::string, PeerHandler> handlers;
  PeerWebsocketServer endpoint;

  std::mutex mutex;  // Guards the members below and all sessions; not held while a handler runs.
  std::map<connection_hdl, SessionPointer, std::owner_less<connection_hdl>> sessions;
  PeerStats stats;
  bool stopping = false;
  std::function<void()> done;
};

PeerServer::State::SessionPointer PeerServer::State::Find(const connection_hdl& handle) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->sessions.find(handle);
  return found == this->sessions.end() ? nullptr : found->second;
}

void PeerServer::State::OnOpen(const connection_hdl& handle) {
  auto session = std::make_shared<PeerSession>();
  session->handle = handle;
  session->nonce = MakeNonce();
  session->last_activity = this->loop.Now();
  bool admitted = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    admitted = !this->stopping && this->sessions.size() < this->options.max_links;
    if (admitted) {
      this->sessions[handle] = session;
    }
  }
  if (!admitted) {
    this->Close(handle, status::try_again_later);
    return;
  }
  DisableDelay(*this->endpoint.get_con_from_hdl(handle));
  PeerFrame challenge;
  challenge.type = PeerFrameType::kChallenge;
  challenge.version = kPeerProtocolVersion;
  challenge.nonce = session->nonce;
  this->Send(session, challenge);
  const std::weak_ptr<PeerSession> weak = session;
  this->loop.RunAfter(this->options.hello_timeout,
                      [self = this->shared_from_this(), weak] { self->CheckHello(weak); });
  this->loop.RunAfter(this->options.idle_timeout,
                      [self = this->shared_from_this(), weak] { self->CheckIdle(weak); });
}

void PeerServer::State::OnClose(const connection_hdl& handle) {
  websocketpp::lib::error_code error;
  const auto connection = this->endpoint.get_con_from_hdl(handle, error);
  std::optional<std::string> ended_member;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto ended = this->sessions.extract(handle);
    if (!error && ClosedByBadFrame(*connection)) {
      ++this->stats.bad_frames;
    }
    if (this->options.links_ended && !ended.empty() && ended.mapped()->ready) {
      const std::string& member = ended.mapped()->hello.member;
      const bool others =
          std::any_of(this->sessions.begin(), this->sessions.end(), [&member](const auto& entry) {
            return entry.second->ready && entry.second->hello.member == member;
          });
      ended_member = others ? std::nullopt : std::optional(member);
    }
  }
  if (ended_member) {
    this->options.links_ended(*ended_member);
  }
  this->ReportIfFinished();
}

void PeerServer::State::OnMessage(const connection_hdl& handle, const std::string& bytes,
                                  bool binary) {
  const SessionPointer session = this->Find(handle);
  if (session == nullptr) {
    return;
  }
  bool ready = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    session->last_activity = this->loop.Now();
    ready = session->ready;
  }
  const std::optional<PeerFrame> frame = binary ? DecodePeerFrame(bytes) : std::nullopt;
  if (frame && frame->type == PeerFrameType::kHello && !ready) {
    this->OnHello(session, *frame);
  } else if (frame && frame->type == PeerFrameType::kRequest && ready) {
    this->OnRequest(session, *frame);
  } else {
    this->CloseBadFrame(handle);
  }
}

void PeerServer::State::OnHello(const SessionPointer& session, const PeerFrame& hello) {
  const std::string expected = MakeProof(this->identity.fleet_key, "client", session->nonce, hello);
  const bool accepted = hello.version == kPeerProtocolVersion && SameProof(expected, hello.proof);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    session->ready = accepted;
    session->hello = hello;
    ++(accepted ? this->stats.opened : this->stats.refused_hello);
  }
  if (!accepted) {
    this->Close(session->handle, status::policy_violation);
    return;
  }
  websocketpp::lib::error_code error;
  // This runs on the strand of the connection, in its message handler.
  if (const auto connection = this->endpoint.get_con_from_hdl(session->handle, error)) {
    connection->set_max_message_size(kMaxPeerFrameBytes);
  }
  PeerFrame welcome;
  welcome.type = PeerFrameType::kWelcome;
  welcome.proof = MakeProof(this->identity.fleet_key, "server", session->nonce, hello);
  this->Send(session, welcome);
}

void PeerServer::State::OnRequest(const SessionPointer& session, const PeerFrame& frame) {
  const auto handler = this->handlers.find(frame.kind);
  if (handler == this->handlers.end()) {
    this->Send(session, ErrorFrame(frame.id, "unknown_kind", "unknown kind " + frame.kind));
    return;
  }
  PeerRequest request;
  bool refused = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    refused = this->stopping;
    session->in_progress += refused ? 0 : 1;
    request.member = session->hello.member;
    request.data_centre = session->hello.data_centre;
  }
  if (refused) {
    this->Send(session, ErrorFrame(frame.id, "stopping", "the peer is stopping"));
    return;
  }
  request.kind = frame.kind;
  request.body = frame.body;
  handler->second(request, [self = this->shared_from_this(), session, id = frame.id](
                               const PeerReply& reply) { self->Respond(session, id, reply); });
}

void PeerServer::State::Respond(const SessionPointer& session, std::uint64_t id,
                                const PeerReply& reply) {
  PeerFrame answer;
  answer.type = PeerFrameType::kAnswer;
  answer.id = id;
  answer.body = reply.body;
  this->Send(session,
             reply.error_code.empty() ? answer : ErrorFrame(id, reply.error_code, reply.message));
  bool finished = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    session->last_activity = this->loop.Now();
    --session->in_progress;
    finished = this->stopping && session->in_progress == 0;
  }
  if (finished) {
    this->Close(session->handle, status::going_away);
  }
}

void PeerServer::State::Send(const SessionPointer& session, const PeerFrame& frame) {
  std::optional<std::string> bytes = EncodePeerFrame(frame);
  if (!bytes) {
    bytes = EncodePeerFrame(ErrorFrame(frame.id, "bad_answer", "the answer is not a JSON text"));
  } else if (bytes->size() > kMaxPeerFrameBytes) {
    bytes = EncodePeerFrame(ErrorFrame(frame.id, "too_large", "the answer exceeds a frame"));
  }
  websocketpp::lib::error_code error;
  const auto connection = this->endpoint.get_con_from_hdl(session->handle, error);
  if (error) {
    return;
  }
  RunOnStrand(connection, [connection, bytes = std::move(*bytes)] {
    if (connection->get_buffered_amount() > kMaxPeerUnsentBytes) {
      websocketpp::lib::error_code ignored;
      connection->close(status::try_again_later, "", ignored);
      return;
    }
    connection->send(bytes, websocketpp::frame::opcode::binary);
  });
}

void PeerServer::State::Close(const connection_hdl& handle, status::value code) {
  websocketpp::lib::error_code error;
  const auto connection = this->endpoint.get_con_from_hdl(handle, error);
  if (error) {
    return;
  }
  RunOnStrand(connection, [connection, code] {
    websocketpp::lib::error_code ignored;
    connection->close(code, "", ignored);
  });
}

void PeerServer::State::CloseBadFrame(const connection_hdl& handle) {
  this->Close(handle, status::protocol_error);
}

void PeerServer::State::CheckHello(const std::weak_ptr<PeerSession>& weak) {
  const SessionPointer session = weak.lock();
  if (session == nullptr) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (session->ready) {
      return;
    }
    ++this->stats.refused_hello;
  }
  this->Close(session->handle, status::policy_violation);
}

void PeerServer::State::CheckIdle(const std::weak_ptr<PeerSession>& weak) {
  const SessionPointer session = weak.lock();
  if (session == nullptr) {
    return;
  }
  Duration remaining{};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    remaining = session->last_activity + this->options.idle_timeout - this->loop.Now();
    if (session->in_progress > 0) {
      remaining = this->options.idle_timeout;
    }
  }
  if (remaining <= Duration::zero()) {
    this->Close(session->handle, status::normal);
    return;
  }
  this->loop.RunAfter(remaining,
                      [self = this->shared_from_this(), weak] { self->CheckIdle(weak); });
}

void PeerServer::State::ReportIfFinished() {
  std::function<void()> callback;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopping && this->sessions.empty()) {
      callback = std::exchange(this->done, nullptr);
    }
  }
  if (callback) {
    callback();
  }
}

PeerServer::PeerServer(EventLoop& loop, PeerIdentity identity, PeerOptions options,
                       std::map<std::string, PeerHandler> handlers)
    : state(std::make_shared<State>(loop, std::move(identity), options, std::move(handlers))) {
  DetectByteOrder();
  PeerWebsocketServer& endpoint = this->state->endpoint;
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&loop.Internal().io);
  endpoint.set_reuse_addr(true);
  // The state owns the endpoint, so a handler that owned the state would form a reference cycle.
  const std::weak_ptr<State> weak = this->state;
  endpoint.set_open_handler([weak](const connection_hdl& handle) {
    if (const auto self = weak.lock()) {
      self->OnOpen(handle);
    }
  });
  endpoint.set_close_handler([weak](const connection_hdl& handle) {
    if (const auto self = weak.lock()) {
      self->OnClose(handle);
    }
  });
  endpoint.set_message_handler(
      [weak](const connection_hdl& handle, const PeerWebsocketServer::message_ptr& message) {
        const auto self = weak.lock();
        if (self != nullptr) {
          const bool binary = message->get_opcode() == websocketpp::frame::opcode::binary;
          self->OnMessage(handle, message->get_payload(), binary);
        }
      });
}

PeerServer::~PeerServer() = default;

std::optional<std::uint16_t> PeerServer::Listen(const Endpoint& listen_endpoint) {
  PeerWebsocketServer& endpoint = this->state->endpoint;
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(listen_endpoint.host, address_error);
  websocketpp::lib::error_code error;
  if (address_error) {
    this->last_reason = "\"" + listen_endpoint.host + "\" is not an IP number";
    return std::nullopt;
  }
  endpoint.listen(boost::asio::ip::tcp::endpoint(address, listen_endpoint.port), error);
  if (!error) {
    endpoint.start_accept(error);
  }
  if (error) {
    this->last_reason = "cannot listen on " + listen_endpoint.ToString() + ": " + error.message();
    return std::nullopt;
  }
  boost::system::error_code ignored;
  return endpoint.get_local_endpoint(ignored).port();
}

void PeerServer::Shutdown(std::function<void()> done) {
  std::vector<connection_hdl> idle;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->stopping = true;
    this->state->done = std::move(done);
    for (const auto& [handle, session] : this->state->sessions) {
      if (session->in_progress == 0) {
        idle.push_back(handle);
      }
    }
  }
  for (const connection_hdl& handle : idle) {
    this->state->Close(handle, status::going_away);
  }
  this->state->loop.Post([state = this->state] { state->ReportIfFinished(); });
}

PeerStats PeerServer::Stats() const {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  PeerStats stats = this->state->stats;
  stats.open = this->state->sessions.size();
  return stats;
}

}  // namespace sycamoredrum
