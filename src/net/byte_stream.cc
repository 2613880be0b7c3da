#include "sycamoredrum/byte_stream.h"

#include <absl/strings/str_cat.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <utility>

#include "event_loop_impl.h"

namespace sycamoredrum {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
constexpr int kListenBacklog = 512;
// Unanswered keep-alive probes after which an idle connection ends. The first one is sent after an
// idle time of one probe interval, so that all of them fit into ByteStreamOptions::peer_timeout.
constexpr int kKeepAliveProbes = 3;
// Pause after a failed accept, for example when the process has no free file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

void SetIntegerOption(tcp::socket& socket, int level, int name, int value) {
  // Errors are ignored: without the option, an unreachable peer is only detected later.
  setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void SetSocketOptions(tcp::socket& socket, const ByteStreamOptions& options) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(options.peer_timeout).count();
  SetIntegerOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout));
  SetIntegerOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  const int interval = std::max(1, static_cast<int>(timeout / 1000 / (kKeepAliveProbes + 1)));
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetIntegerOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  if (options.system_buffer_bytes > 0) {
    const int size = static_cast<int>(options.system_buffer_bytes);
    SetIntegerOption(socket, SOL_SOCKET, SO_SNDBUF, size);
    SetIntegerOption(socket, SOL_SOCKET, SO_RCVBUF, size);
  }
}

class TcpByteStream : public ByteStream, public std::enable_shared_from_this<TcpByteStream> {
 public:
  TcpByteStream(tcp::socket socket, const ByteStreamOptions& options)
      : socket(std::move(socket)), options(options), timer(this->socket.get_executor()) {}

  void SetHooks(ByteStreamHooks new_hooks) override { this->hooks = std::move(new_hooks); }

  void Send(std::string_view bytes) override {
    if (this->closed || this->closing) {
      return;
    }
    if (this->unsent.empty() && this->open) {
      error_code error;
      const std::size_t sent =
          this->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
      if (error && error != boost::asio::error::would_block) {
        this->FailLater(error.message());
        return;
      }
      bytes.remove_prefix(sent);
    }
    if (bytes.empty()) {
      return;
    }
    this->unsent.append(bytes);
    if (this->unsent.size() > this->options.max_unsent_bytes) {
      this->FailLater("the peer does not read");
      return;
    }
    this->WaitToWrite();
  }

  void CloseAfterSending() override {
    this->hooks = {};
    this->closing = true;
    if (this->unsent.empty()) {
      this->Close();
      return;
    }
    this->timer.expires_after(kCloseTimeout);
    this->timer.async_wait([self = this->shared_from_this()](const error_code& cancelled) {
      if (!cancelled) {
        self->Close();
      }
    });
  }

  std::size_t UnsentBytes() const override { return this->unsent.size(); }

  void PauseReading() override { this->paused = true; }

  void ResumeReading() override {
    if (std::exchange(this->paused, false) && this->open && !this->closed && !this->reading) {
      this->WaitToRead();
    }
  }

  void Close() override {
    if (std::exchange(this->closed, true)) {
      return;
    }
    this->hooks = {};
    error_code ignored;
    this->timer.cancel(ignored);
    this->unsent = {};
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
  }

  void Connect(const Endpoint& endpoint, Duration timeout) {
    error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.host, error);
    if (error) {
      this->FailLater(error.message());
      return;
    }
    this->timer.expires_after(timeout);
    this->timer.async_wait([self = this->shared_from_this()](const error_code& cancelled) {
      if (!cancelled && !self->open) {
        self->Fail("the connection was not made in time");
      }
    });
    this->socket.async_connect(
        tcp::endpoint(address, endpoint.port),
        [self = this->shared_from_this()](const error_code& failure) { self->Connected(failure); });
  }

  void Start() {
    SetSocketOptions(this->socket, this->options);
    this->open = true;
    this->WaitToRead();
  }

 private:
  void Connected(const error_code& failure) {
    if (this->closed) {
      return;
    }
    if (failure) {
      this->Fail(failure.message());
      return;
    }
    error_code ignored;
    this->timer.cancel(ignored);
    this->Start();
    if (this->hooks.connected) {
      this->hooks.connected();
    }
    if (!this->unsent.empty()) {
      this->WaitToWrite();
    }
  }

  void WaitToRead() {
    this->reading = true;
    this->socket.async_wait(tcp::socket::wait_read,
                            [self = this->shared_from_this()](const error_code& error) {
                              self->reading = false;
                              if (!self->closed && !self->paused) {
                                self->Read(error);
                              }
                            });
  }

  void Read(const error_code& wait_error) {
    static thread_local std::array<char, kReadBufferBytes> buffer;
    error_code error = wait_error;
    std::size_t size = 0;
    if (!error) {
      size = this->socket.read_some(boost::asio::buffer(buffer), error);
    }
    if (error == boost::asio::error::would_block) {
      this->WaitToRead();
      return;
    }
    if (error) {
      this->Fail(error.message());
      return;
    }
    if (this->hooks.received) {
      // The copy keeps the hook alive: it may close the stream, which destroys `hooks`.
      const auto received = this->hooks.received;
      try {
        received(std::string_view(buffer.data(), size));
      } catch (const std::exception& unexpected) {
        // Invalid data from one peer must not end the process and with it all other streams.
        this->Fail(absl::StrCat(kUnexpectedError, unexpected.what()));
      }
    }
    if (!this->closed && !this->paused && !this->reading) {
      this->WaitToRead();
    }
  }

  void WaitToWrite() {
    // Nothing to do if a wait is pending. Before the connection is made, `writing` stays false, so
    // that Connected can start the wait.
    if (std::exchange(this->writing, true) || !this->open) {
      this->writing = this->open;
      return;
    }
    this->socket.async_wait(tcp::socket::wait_write,
                            [self = this->shared_from_this()](const error_code& error) {
                              self->writing = false;
                              if (!self->closed) {
                                self->Write(error);
                              }
                            });
  }

  void Write(const error_code& wait_error) {
    error_code error = wait_error;
    std::size_t sent = 0;
    if (!error) {
      sent = this->socket.write_some(boost::asio::buffer(this->unsent), error);
    }
    if (error && error != boost::asio::error::would_block) {
      this->Fail(error.message());
      return;
    }
    this->unsent.erase(0, sent);
    if (this->unsent.empty()) {
      this->unsent = {};  // Releases the memory of a large response.
    }
    if (!this->unsent.empty()) {
      this->WaitToWrite();
    } else if (this->closing) {
      this->Close();
    }
    if (sent > 0 && this->hooks.sent) {
      // The copy keeps the hook alive: it may close the stream, which destroys `hooks`.
      const auto report = this->hooks.sent;
      report();
    }
  }

  void FailLater(const std::string& reason) {
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this(), reason] { self->Fail(reason); });
  }

  void Fail(const std::string& reason) {
    if (this->closed) {
      return;
    }
    const auto report = this->hooks.closed;
    this->Close();
    if (report) {
      report(reason);
    }
  }

  tcp::socket socket;
  ByteStreamOptions options;
  boost::asio::steady_timer timer;
  ByteStreamHooks hooks;
  std::string unsent;
  bool open = false;     // The connection was established.
  bool paused = false;   // PauseReading was called.
  bool reading = false;  // A wait until the socket is readable is pending.
  bool writing = false;  // A wait until the socket is writable is pending.
  bool closing = false;  // CloseAfterSending was called.
  bool closed = false;
};

}  // namespace

std::shared_ptr<ByteStream> ConnectByteStream(EventLoop& loop, const Endpoint& endpoint,
                                              Duration timeout, const ByteStreamOptions& options,
                                              ByteStreamHooks hooks) {
  auto stream = std::make_shared<TcpByteStream>(tcp::socket(loop.Internal().io), options);
  stream->SetHooks(std::move(hooks));
  stream->Connect(endpoint, timeout);
  return stream;
}

struct ByteStreamServer::State : std::enable_shared_from_this<ByteStreamServer::State> {
  State(EventLoop& loop, ByteStreamOptions options,
        std::function<void(std::shared_ptr<ByteStream>)> accepted)
      : loop(loop), options(options), accepted(std::move(accepted)), acceptor(loop.Internal().io) {}

  void Accept() {
    this->acceptor.async_accept(
        [self = this->shared_from_this()](const error_code& error, tcp::socket socket) {
          if (self->stopped) {
            return;
          }
          if (error) {
            self->loop.RunAfter(kAcceptRetryDelay, [self] {
              if (!self->stopped) {
                self->Accept();
              }
            });
            return;
          }
          auto stream = std::make_shared<TcpByteStream>(std::move(socket), self->options);
          self->accepted(stream);
          stream->Start();
          self->Accept();
        });
  }

  EventLoop& loop;
  ByteStreamOptions options;
  std::function<void(std::shared_ptr<ByteStream>)> accepted;
  tcp::acceptor acceptor;
  bool stopped = false;
};

ByteStreamServer::ByteStreamServer(EventLoop& loop, ByteStreamOptions options,
                                   std::function<void(std::shared_ptr<ByteStream>)> accepted)
    : state(std::make_shared<State>(loop, options, std::move(accepted))) {}

ByteStreamServer::~ByteStreamServer() { this->Stop(); }

std::optional<std::uint16_t> ByteStreamServer::Listen(const Endpoint& endpoint) {
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
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    this->last_reason = "cannot listen on " + endpoint.ToString() + ": " + error.message();
    return std::nullopt;
  }
  return acceptor.local_endpoint().port();
}

void ByteStreamServer::Accept() { this->state->Accept(); }

void ByteStreamServer::Stop() {
  this->state->stopped = true;
  error_code ignored;
  this->state->acceptor.close(ignored);
}

}  // namespace sycamoredrum
