#include "http_session.h"

#include <absl/strings/match.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "http_syntax.h"

namespace sycamoredrum {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadChunkBytes = 4096;
// Limits for the input that is read and discarded after the last response (lingering close). The
// client may still be sending, and closing a socket with unread bytes resets the connection, which
// may destroy the response before the client has read it.
constexpr std::size_t kMaxLingerBytes = std::size_t{4} * 1024 * 1024;
constexpr std::chrono::milliseconds kLingerTime{1000};
// Time after which Drain closes a connection without a request. A request may be in transit, and a
// client whose request reaches a closed connection cannot know whether it ran.
constexpr std::chrono::milliseconds kDrainGrace{500};

// Response to a request whose handler gave none that can be sent.
HttpResponse UnknownOutcome(const std::string& reason, const std::string& message) {
  HttpResponse response;
  response.status = 500;
  response.body =
      nlohmann::json{{"outcome", "unknown"}, {"reason", reason}, {"message", message}}.dump();
  return response;
}

// Passes the first response to the session. Sends status 500 if the handler destroys all copies of
// its respond callback without calling one.
class Responder {
 public:
  explicit Responder(std::weak_ptr<HttpSession> session) : session(std::move(session)) {}
  ~Responder() { this->Send(UnknownOutcome("no_response", "the handler gave no response")); }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Send(HttpResponse response) {
    if (this->used.exchange(true)) {
      return;
    }
    if (const std::shared_ptr<HttpSession> target = this->session.lock()) {
      target->Respond(std::move(response));
    }
  }

 private:
  std::weak_ptr<HttpSession> session;
  std::atomic<bool> used{false};
};

// True if the end of the body is known. A body of another transfer coding than "chunked" is not
// decoded, and would be read as the next request.
template <typename Message>
bool HasKnownLength(const Message& message) {
  const auto codings = message.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return true;
  }
  const auto value = codings.first->value();
  return std::next(codings.first) == codings.second &&
         absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()), "chunked");
}

// Response to a request that is rejected before it reaches the handler.
HttpResponse ErrorResponse(int status, const std::string& reason, const std::string& message) {
  HttpResponse response;
  response.status = status;
  response.body =
      nlohmann::json{{"outcome", "not_run"}, {"reason", reason}, {"message", message}}.dump();
  response.close = true;
  return response;
}

}  // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::uint64_t id, Endpoint remote,
                         const HttpServerLimits& limits, HttpSessionHooks hooks)
    : id(id),
      remote(std::move(remote)),
      limits(limits),
      hooks(std::move(hooks)),
      stream(std::move(socket)),
      drain_timer(this->stream.get_executor()) {}

void HttpSession::Start() {
  boost::asio::dispatch(this->stream.get_executor(),
                        [self = this->shared_from_this()] { self->WaitForRequest(); });
}

void HttpSession::Drain() {
  boost::asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
    self->close_after_response = true;
    self->drain_timer.expires_after(kDrainGrace);
    self->drain_timer.async_wait([self](const boost::system::error_code& error) {
      if (!error && self->phase == Phase::kIdle && !self->HasUnreadInput()) {
        self->Finish();
      }
    });
  });
}

void HttpSession::AnnounceClose() {
  boost::asio::post(this->stream.get_executor(),
                    [self = this->shared_from_this()] { self->close_after_response = true; });
}

void HttpSession::Close() {
  boost::asio::post(this->stream.get_executor(),
                    [self = this->shared_from_this()] { self->Finish(); });
}

void HttpSession::Respond(HttpResponse answer) {
  if (!AreHeaders(answer.headers)) {
    answer = UnknownOutcome("invalid_response", "a header has a character that ends it");
  }
  boost::asio::post(this->stream.get_executor(),
                    [self = this->shared_from_this(), answer = std::move(answer)] {
                      if (self->phase == Phase::kHandling) {
                        self->Write(answer);
                      }
                    });
}

bool HttpSession::HasUnreadInput() {
  boost::system::error_code error;
  return this->buffer.size() > 0 || this->stream.socket().available(error) > 0;
}

void HttpSession::WaitForRequest() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->phase = Phase::kIdle;
  if (this->buffer.size() > 0) {
    this->ReadRequest();
    return;
  }
  if (this->limits.idle_timeout > Duration::zero()) {
    this->stream.expires_after(this->limits.idle_timeout);
  } else {
    this->stream.expires_never();
  }
  this->stream.async_read_some(
      this->buffer.prepare(kReadChunkBytes),
      [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
        if (error || self->phase == Phase::kClosed) {
          self->Finish();
          return;
        }
        self->buffer.commit(bytes);
        self->ReadRequest();
      });
}

void HttpSession::ReadRequest() {
  this->phase = Phase::kReading;
  this->parser.emplace();
  this->parser->body_limit(this->limits.max_body_bytes);
  this->parser->header_limit(static_cast<std::uint32_t>(this->limits.max_header_bytes));
  this->stream.expires_after(this->limits.request_timeout);
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](const boost::system::error_code& error,
                                                     std::size_t) { self->OnRequest(error); });
}

void HttpSession::OnRequest(const boost::system::error_code& error) {
  if (this->phase == Phase::kClosed) {
    return;
  }
  if (error) {
    this->RejectRequest(error);
  } else if (!HasKnownLength(this->parser->get())) {
    this->hooks.count(HttpSessionEvent::kMalformed);
    this->Write(ErrorResponse(400, "malformed_request", "the transfer coding is not supported"));
  } else {
    this->HandleRequest();
  }
}

void HttpSession::RejectRequest(const boost::system::error_code& error) {
  if (error == http::error::body_limit) {
    this->hooks.count(HttpSessionEvent::kTooLarge);
    this->Write(ErrorResponse(413, "too_large", "the body is larger than the limit"));
  } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    this->hooks.count(HttpSessionEvent::kTooLarge);
    this->Write(ErrorResponse(431, "headers_too_large", "the headers are larger than the limit"));
  } else if (error == beast::error::timeout) {
    this->hooks.count(HttpSessionEvent::kTimedOut);
    this->Finish();
  } else if (error.category() == http::make_error_code(http::error::bad_method).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message) {
    this->hooks.count(HttpSessionEvent::kMalformed);
    this->Write(ErrorResponse(400, "malformed_request", error.message()));
  } else {
    this->Finish();
  }
}

void HttpSession::HandleRequest() {
  const auto& message = this->parser->get();
  HttpRequest request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  for (const auto& field : message) {
    request.headers.push_back(
        HttpHeader{field.name_string().to_string(), field.value().to_string()});
  }
  request.body = message.body();
  request.remote = this->remote;
  request.connection_id = this->id;
  if (!message.keep_alive()) {
    this->close_after_response = true;
  }
  this->phase = Phase::kHandling;
  this->stream.expires_never();
  auto responder = std::make_shared<Responder>(this->weak_from_this());
  this->hooks.handle(request,
                     [responder](HttpResponse answer) { responder->Send(std::move(answer)); });
}

void HttpSession::Write(const HttpResponse& answer) {
  this->phase = Phase::kWriting;
  this->close_after_response = this->close_after_response || answer.close;
  this->response = Response(static_cast<http::status>(answer.status), 11);
  this->response.set(http::field::content_type, "application/json");
  for (const HttpHeader& header : answer.headers) {
    if (absl::EqualsIgnoreCase(header.name, "Content-Type")) {
      this->response.set(header.name, header.value);
    } else {
      this->response.insert(header.name, header.value);
    }
  }
  this->response.body() = answer.body;
  this->response.keep_alive(!this->close_after_response);
  this->response.prepare_payload();
  this->stream.expires_after(this->limits.request_timeout);
  http::async_write(this->stream, this->response,
                    [self = this->shared_from_this()](const boost::system::error_code& error,
                                                      std::size_t) { self->OnWritten(error); });
}

void HttpSession::OnWritten(const boost::system::error_code& error) {
  if (error || this->phase == Phase::kClosed) {
    this->Finish();
    return;
  }
  // If the close was requested after this response was prepared, the next response announces it.
  if (this->response.keep_alive()) {
    this->parser.reset();
    this->WaitForRequest();
    return;
  }
  this->phase = Phase::kLingering;
  boost::system::error_code ignored;
  this->stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  this->stream.expires_after(kLingerTime);
  this->Linger();
}

void HttpSession::Linger() {
  this->buffer.clear();
  this->stream.async_read_some(
      this->buffer.prepare(kReadChunkBytes),
      [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
        self->lingered_bytes += bytes;
        if (error || self->lingered_bytes > kMaxLingerBytes) {
          self->Finish();
        } else {
          self->Linger();
        }
      });
}

void HttpSession::Finish() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->phase = Phase::kClosed;
  this->stream.close();
  this->hooks.closed(this->id);
}

}  // namespace sycamoredrum
