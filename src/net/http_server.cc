#include <algorithm>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <utility>

#include "event_loop_impl.h"
#include "http_session.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Pause after a failed accept, for example when the process has no free file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Limits the connections that Shutdown still accepts, so that it ends even if clients keep
// connecting. The listen queue of the system holds at most this many.
constexpr int kMaxQueuedConnections = 4096;

}  // namespace

struct HttpServer::State : public std::enable_shared_from_this<HttpServer::State> {
  State(EventLoop& loop, HttpServerLimits limits, HttpServerHooks hooks)
      : loop(loop),
        limits(limits),
        hooks(std::move(hooks)),
        acceptor(boost::asio::make_strand(loop.Internal().io)) {}

  void Accept();
  void AcceptQueued();
  void OnAccept(tcp::socket socket);
  void StartSession(tcp::socket socket, const Endpoint& remote);
  /// Removes the oldest session without a complete request. `mutex` must be held.
  std::shared_ptr<HttpSession> TakeOldestWaiting();
  void OnClosed(std::uint64_t id);
  void Count(HttpSessionEvent event);
  void ReportIfFinished();
  std::vector<std::shared_ptr<HttpSession>> Sessions() const;

  EventLoop& loop;
  const HttpServerLimits limits;
  const HttpServerHooks hooks;
  tcp::acceptor acceptor;  // After Listen, used only on its strand.

  mutable std::mutex mutex;  // Guards the members below; never held while a hook runs.
  std::map<std::uint64_t, std::shared_ptr<HttpSession>> sessions;
  std::uint64_t next_id = 1;
  HttpServerStats stats;
  bool announce_close = false;
  bool stopping = false;
  std::function<void()> done;
};

void HttpServer::State::Accept() {
  this->acceptor.async_accept(
      boost::asio::make_strand(this->loop.Internal().io),
      [self = this->shared_from_this()](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          self->OnAccept(std::move(socket));
          self->Accept();
          return;
        }
        self->loop.RunAfter(kAcceptRetryDelay, [self] {
          boost::asio::dispatch(self->acceptor.get_executor(), [self] {
            if (self->acceptor.is_open()) {
              self->Accept();
            }
          });
        });
      });
}

// Accepts the connections in the listen queue of the system. Closing the listener would reset them
// and lose the requests that their clients may already have sent.
void HttpServer::State::AcceptQueued() {
  error_code error;
  this->acceptor.non_blocking(true, error);
  for (int count = 0; !error && count < kMaxQueuedConnections; ++count) {
    tcp::socket socket(boost::asio::make_strand(this->loop.Internal().io));
    this->acceptor.accept(socket, error);
    if (!error) {
      this->OnAccept(std::move(socket));
    }
  }
}

void HttpServer::State::OnAccept(tcp::socket socket) {
  error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  if (error) {
    return;
  }
  socket.set_option(tcp::no_delay(true), error);
  const Endpoint remote{peer.address().to_string(), peer.port()};
  const bool admitted = !this->hooks.admit || this->hooks.admit(remote);
  if (admitted) {
    this->StartSession(std::move(socket), remote);
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->stats.refused;
}

void HttpServer::State::StartSession(tcp::socket socket, const Endpoint& remote) {
  HttpSessionHooks session_hooks;
  session_hooks.handle = this->hooks.handle;
  session_hooks.closed = [self = this->shared_from_this()](std::uint64_t id) {
    self->OnClosed(id);
  };
  session_hooks.count = [self = this->shared_from_this()](HttpSessionEvent event) {
    self->Count(event);
  };
  std::shared_ptr<HttpSession> session;
  std::shared_ptr<HttpSession> replaced;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->sessions.size() >= this->limits.max_connections && this->limits.replace_oldest) {
      replaced = this->TakeOldestWaiting();
    }
    if (this->stopping || this->sessions.size() >= this->limits.max_connections) {
      ++this->stats.refused;
      return;
    }
    const std::uint64_t id = this->next_id++;
    session = std::make_shared<HttpSession>(std::move(socket), id, remote, this->limits,
                                            std::move(session_hooks));
    this->sessions.emplace(id, session);
    ++this->stats.accepted;
    if (this->announce_close) {
      session->AnnounceClose();
    }
  }
  if (replaced != nullptr) {
    replaced->Close();
  }
  session->Start();
}

std::shared_ptr<HttpSession> HttpServer::State::TakeOldestWaiting() {
  const auto found =
      std::find_if(this->sessions.begin(), this->sessions.end(),
                   [](const auto& entry) { return entry.second->WaitsForRequest(); });
  if (found == this->sessions.end()) {
    return nullptr;
  }
  std::shared_ptr<HttpSession> session = found->second;
  this->sessions.erase(found);
  ++this->stats.refused;
  return session;
}

void HttpServer::State::OnClosed(std::uint64_t id) {
  if (this->hooks.closed) {
    this->hooks.closed(id);
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sessions.erase(id);
  }
  this->ReportIfFinished();
}

void HttpServer::State::Count(HttpSessionEvent event) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  switch (event) {
    case HttpSessionEvent::kMalformed:
      ++this->stats.malformed;
      break;
    case HttpSessionEvent::kTooLarge:
      ++this->stats.too_large;
      break;
    case HttpSessionEvent::kTimedOut:
      ++this->stats.timed_out;
      break;
  }
}

void HttpServer::State::ReportIfFinished() {
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

std::vector<std::shared_ptr<HttpSession>> HttpServer::State::Sessions() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::shared_ptr<HttpSession>> all;
  for (const auto& entry : this->sessions) {
    all.push_back(entry.second);
  }
  return all;
}

HttpServer::HttpServer(EventLoop& loop, HttpServerLimits limits, HttpServerHooks hooks)
    : state(std::make_shared<State>(loop, limits, std::move(hooks))) {}

HttpServer::~HttpServer() {
  // Sessions and the server state own each other; clearing the table breaks the reference cycle.
  std::map<std::uint64_t, std::shared_ptr<HttpSession>> sessions;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    sessions.swap(this->state->sessions);
  }
  error_code ignored;
  this->state->acceptor.close(ignored);
}

std::optional<std::uint16_t> HttpServer::Listen(const Endpoint& endpoint) {
  error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.host, error);
  const tcp::endpoint local(address, endpoint.port);
  tcp::acceptor& acceptor = this->state->acceptor;
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    this->last_reason = "cannot listen on " + endpoint.ToString() + ": " + error.message();
    error_code ignored;
    acceptor.close(ignored);
    return std::nullopt;
  }
  const std::uint16_t port = acceptor.local_endpoint().port();
  boost::asio::dispatch(acceptor.get_executor(), [state = this->state] { state->Accept(); });
  return port;
}

void HttpServer::AnnounceClose() {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->announce_close = true;
  }
  for (const auto& session : this->state->Sessions()) {
    session->AnnounceClose();
  }
}

void HttpServer::Shutdown(std::function<void()> done) {
  boost::asio::post(this->state->acceptor.get_executor(),
                    [state = this->state, done = std::move(done)]() mutable {
                      error_code ignored;
                      state->AcceptQueued();
                      state->acceptor.close(ignored);
                      {
                        const std::lock_guard<std::mutex> lock(state->mutex);
                        state->stopping = true;
                        state->done = std::move(done);
                      }
                      for (const auto& session : state->Sessions()) {
                        session->Drain();
                      }
                      state->ReportIfFinished();
                    });
}

void HttpServer::CloseConnection(std::uint64_t connection_id) {
  for (const auto& session : this->state->Sessions()) {
    if (session->Id() == connection_id) {
      session->Close();
    }
  }
}

void HttpServer::CloseConnectionsFrom(const std::string& host) {
  for (const auto& session : this->state->Sessions()) {
    if (session->Remote().host == host) {
      session->Close();
    }
  }
}

HttpServerStats HttpServer::Stats() const {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  HttpServerStats stats = this->state->stats;
  stats.open = this->state->sessions.size();
  return stats;
}

}  // namespace sycamoredrum
