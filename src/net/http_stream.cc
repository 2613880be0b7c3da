#include "http_stream.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <utility>

#include "event_loop_impl.h"
#include "http_syntax.h"

namespace sycamoredrum {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

HttpResult Failure(HttpError error, std::string message) {
  HttpResult result;
  result.error = error;
  result.message = std::move(message);
  return result;
}

// Opens the socket and binds it to `local_host`, if that is not empty.
error_code OpenSocket(tcp::socket& socket, const tcp::endpoint& peer,
                      const std::string& local_host) {
  error_code error;
  socket.open(peer.protocol(), error);
  if (error || local_host.empty()) {
    return error;
  }
  const auto address = boost::asio::ip::make_address(local_host, error);
  if (!error) {
    // Leaves the choice of the local port to connect, so that connections to different peers can
    // share a port.
    const int enabled = 1;
    setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled,
               sizeof(enabled));
    socket.bind(tcp::endpoint(address, 0), error);
  }
  return error;
}

}  // namespace

HttpConnection::Stream::Stream(EventLoop& loop, HttpClientOptions options, Endpoint endpoint)
    : options(std::move(options)),
      endpoint(std::move(endpoint)),
      stream(boost::asio::make_strand(loop.Internal().io)) {}

void HttpConnection::Stream::Connect(TimePoint deadline, HttpCallback callback) {
  boost::asio::post(this->stream.get_executor(), [self = this->shared_from_this(), deadline,
                                                  callback = std::move(callback)]() mutable {
    if (self->open || self->closed || self->busy.exchange(true)) {
      callback(Failure(HttpError::kNotSent, "the connection was already used"));
      return;
    }
    self->stream.expires_at(deadline);
    self->StartConnect(std::move(callback));
  });
}

void HttpConnection::Stream::StartConnect(HttpCallback callback) {
  error_code error;
  const auto address = boost::asio::ip::make_address(this->endpoint.host, error);
  const tcp::endpoint peer(address, this->endpoint.port);
  if (!error) {
    error = OpenSocket(this->stream.socket(), peer, this->options.local_host);
  }
  if (error) {
    this->Fail(HttpError::kNotSent, error.message(), callback);
    return;
  }
  this->stream.async_connect(peer, [self = this->shared_from_this(),
                                    callback = std::move(callback)](const error_code& failure) {
    if (failure || self->closed) {
      const std::string reason = failure ? failure.message() : "the connection was closed";
      self->Fail(HttpError::kNotSent,
                 "cannot connect to " + self->endpoint.ToString() + ": " + reason, callback);
      return;
    }
    error_code ignored;
    self->stream.socket().set_option(tcp::no_delay(true), ignored);
    self->open = true;
    self->busy = false;
    self->WatchIdle();
    callback(HttpResult{});
  });
}

void HttpConnection::Stream::Send(const HttpRequest& request, const HttpDeadline& deadline,
                                  HttpCallback callback) {
  boost::asio::post(
      this->stream.get_executor(), [self = this->shared_from_this(), request, deadline,
                                    callback = std::move(callback)]() mutable {
        if (!self->open) {
          callback(Failure(HttpError::kNotSent, "the connection is not open"));
          return;
        }
        if (!IsSingleMessage(request)) {
          callback(Failure(HttpError::kNotSent,
                           "the method, the target or a header has a character that ends it"));
          return;
        }
        if (self->busy.exchange(true)) {
          callback(Failure(HttpError::kNotSent, "another request is in progress"));
          return;
        }
        if (!self->NothingToRead()) {
          self->Fail(HttpError::kNotSent, "the connection was closed by the other side", callback);
          return;
        }
        self->message = Message(http::string_to_verb(request.method), request.target, 11);
        self->message.method_string(request.method);
        self->message.set(http::field::host, self->endpoint.ToString());
        for (const HttpHeader& header : request.headers) {
          self->message.insert(header.name, header.value);
        }
        self->message.body() = request.body;
        self->message.prepare_payload();
        self->deadline = deadline;
        self->stream.expires_at(deadline.call);
        self->StartSend(std::move(callback));
      });
}

void HttpConnection::Stream::StartSend(HttpCallback callback) {
  http::async_write(
      this->stream, this->message,
      [self = this->shared_from_this(), callback = std::move(callback)](const error_code& error,
                                                                        std::size_t) mutable {
        if (error || self->closed) {
          const std::string reason = error ? error.message() : "the connection was closed";
          self->Fail(HttpError::kMaybeReceived, "sending failed: " + reason, callback);
          return;
        }
        self->ReadResponse(std::move(callback));
      });
}

void HttpConnection::Stream::ReadResponse(HttpCallback callback) {
  this->parser.emplace();
  this->parser->body_limit(this->options.max_response_bytes);
  this->ReadPart(std::move(callback));
}

void HttpConnection::Stream::ReadPart(HttpCallback callback) {
  http::async_read_some(
      this->stream, this->buffer, *this->parser,
      [self = this->shared_from_this(), callback = std::move(callback)](const error_code& error,
                                                                        std::size_t) mutable {
        if (error || self->closed) {
          const std::string reason = error ? error.message() : "the connection was closed";
          self->Fail(HttpError::kMaybeReceived, "no complete response: " + reason, callback);
          return;
        }
        if (self->parser->is_done()) {
          self->OnResponse(callback);
          return;
        }
        if (self->deadline.progress > Duration::zero()) {
          const TimePoint extended = std::chrono::steady_clock::now() + self->deadline.progress;
          self->stream.expires_at(
              std::max(self->deadline.call, std::min(extended, self->deadline.total)));
        }
        self->ReadPart(std::move(callback));
      });
}

void HttpConnection::Stream::OnResponse(const HttpCallback& callback) {
  const auto& received = this->parser->get();
  HttpResult result;
  result.response.status = static_cast<int>(received.result_int());
  for (const auto& field : received) {
    result.response.headers.push_back(
        HttpHeader{field.name_string().to_string(), field.value().to_string()});
  }
  result.response.body = received.body();
  const bool reusable = received.keep_alive() && this->buffer.size() == 0;
  result.response.close = !reusable;
  this->parser.reset();
  this->stream.expires_never();
  this->busy = false;
  if (reusable) {
    this->WatchIdle();
  } else {
    this->open = false;
    this->closed = true;
    this->stream.close();
  }
  callback(result);
}

void HttpConnection::Stream::Fail(HttpError error, const std::string& message,
                                  const HttpCallback& callback) {
  this->open = false;
  this->closed = true;
  this->stream.close();
  this->busy = false;
  callback(Failure(error, message));
}

void HttpConnection::Stream::Close() {
  boost::asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
    self->open = false;
    self->closed = true;
    self->stream.close();
  });
}

bool HttpConnection::Stream::NothingToRead() {
  char byte = 0;
  const int descriptor = this->stream.socket().native_handle();
  const ssize_t received = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The handler holds only a weak reference, so that an idle connection is destroyed with its owner.
// A wait that is still pending when the next request starts completes when the response to that
// request arrives, and is then ignored.
void HttpConnection::Stream::WatchIdle() {
  this->stream.socket().async_wait(tcp::socket::wait_read,
                                   [weak = this->weak_from_this()](const error_code& error) {
                                     const std::shared_ptr<Stream> self = weak.lock();
                                     if (error || self == nullptr || self->busy || !self->open) {
                                       return;
                                     }
                                     if (!self->NothingToRead()) {
                                       self->open = false;
                                       self->closed = true;
                                       self->stream.close();
                                     }
                                   });
}

}  // namespace sycamoredrum
