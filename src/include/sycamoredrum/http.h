#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Headers in the order of the message; names are compared without case and may repeat.
using HttpHeaders = std::vector<HttpHeader>;

/// Value of the first header `name`, or an empty text.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Values of all headers `name`, in order.
std::vector<std::string_view> FindHeaders(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  /// Servers: all headers received. Clients: additional headers; Host, Content-Length and
  /// Connection are set by the client.
  HttpHeaders headers;
  std::string body;
  Endpoint remote;                  ///< Servers: address of the caller. Unused by clients.
  std::uint64_t connection_id = 0;  ///< Servers: the TCP connection. Unused by clients.

  /// The target without its query.
  std::string_view Path() const;

  /// Percent-decoded value of the query parameter `name`. Returns nothing if it is missing.
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

/// Percent-encodes everything but letters, digits and "-._~".
std::string PercentEncode(std::string_view text);

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;  ///< Servers: additional headers; Content-Length and Connection are set.
  std::string body;     ///< Servers send it as application/json unless `headers` name another type.
  bool close = false;   ///< Servers: close the connection after this response.
};

/// Sends the response to a request. May be called later and by any thread; only the first call has
/// an effect. If all copies are destroyed without a call, the server answers with status 500.
using HttpRespond = std::function<void(HttpResponse)>;

struct HttpServerLimits {
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// From the first byte of a request to its last one, and for the sending of a response.
  Duration request_timeout = std::chrono::seconds(10);
  /// For a connection without a request. Zero: no limit.
  Duration idle_timeout = std::chrono::seconds(60);
  std::size_t max_connections = 10000;
};

/// All hooks run on workers of the loop, without a lock, and concurrently for different
/// connections. The hooks for one connection run one after the other.
struct HttpServerHooks {
  /// Required. Handles one request; a connection has at most one request at a time.
  std::function<void(const HttpRequest&, HttpRespond)> handle;
  /// Optional. False: the new connection is closed without an answer.
  std::function<bool(const Endpoint& remote)> admit;
  /// Optional. The connection was closed by either side; called once for each connection.
  std::function<void(std::uint64_t connection_id)> closed;
};

/// Counters since the start, and the present number of connections.
struct HttpServerStats {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;    ///< Connections over the limit or not admitted.
  std::uint64_t malformed = 0;  ///< Requests answered with 400.
  std::uint64_t too_large = 0;  ///< Requests answered with 413 or 431.
  std::uint64_t timed_out = 0;  ///< Connections closed by `request_timeout`.
  std::size_t open = 0;
};

/// HTTP/1.1 server with keep-alive. Malformed requests get status 400, too large bodies 413 and too
/// large headers 431, each with a JSON body {"outcome": "not_run", "reason", "message"}, and the
/// connection is closed.
///
/// Thread-safe. One mutex, which is never held while a hook runs and inside which no other lock is
/// taken. Destroy the server after Shutdown has reported the end or after EventLoop::Join.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerLimits limits, HttpServerHooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept connections and returns the port, which is chosen by the system if
  /// `endpoint.port` is 0. Returns nothing on failure; LastReason() then says why.
  std::optional<std::uint16_t> Listen(const Endpoint& endpoint);

  /// From now on every response carries "Connection: close". Connections are still accepted.
  void AnnounceClose();

  /// Stops accepting, lets requests in progress finish and closes their connections. Connections
  /// without a request are closed after 500 ms, because a request may be on its way. `done` runs on
  /// a worker when no connection is left. May be called once.
  void Shutdown(std::function<void()> done);

  /// Closes a connection at once, without an answer to its request.
  void CloseConnection(std::uint64_t connection_id);

  /// Closes all connections from an IP number at once.
  void CloseConnectionsFrom(const std::string& host);

  HttpServerStats Stats() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct State;
  std::shared_ptr<State> state;
  std::string last_reason;
};

enum class HttpError {
  kNone,
  kNotSent,        ///< Nothing of the request was sent; it certainly had no effect.
  kMaybeReceived,  ///< The request may have been received; its effect is unknown.
};

/// Result of a request. `response` is complete if `error` is kNone and empty otherwise; a truncated
/// response is an error.
struct HttpResult {
  HttpError error = HttpError::kNone;
  std::string message;  ///< Why the request failed.
  HttpResponse response;

  bool Ok() const { return this->error == HttpError::kNone; }
};

using HttpCallback = std::function<void(const HttpResult&)>;

struct HttpClientOptions {
  std::string local_host;  ///< IP number to send from; empty: chosen by the system.
  std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_idle_per_endpoint = 16;  ///< Not used by HttpConnection.
  /// Unused connections are not reused after this time. Shorter than the idle timeout of servers.
  Duration max_idle = std::chrono::seconds(20);  ///< Not used by HttpConnection.
};

/// HTTP/1.1 client that keeps idle connections for reuse. A request is sent at most once: it is
/// never repeated on another connection.
///
/// Thread-safe. One mutex, never held while a callback runs. May be destroyed while calls are in
/// progress; their callbacks still run.
class HttpClient {
 public:
  HttpClient(EventLoop& loop, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `request` and calls `callback` exactly once, on a worker, never inside Call itself. The
  /// timeout covers connecting, sending and receiving.
  void Call(const Endpoint& endpoint, const HttpRequest& request, Duration timeout,
            HttpCallback callback);

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// One TCP connection, used for one request at a time. After any error, timeout or truncated
/// response the connection is closed and stays closed.
///
/// Thread-safe, without a mutex. The destructor closes the connection; a callback that is still
/// due runs with an error.
class HttpConnection {
 public:
  HttpConnection(EventLoop& loop, HttpClientOptions options, const Endpoint& endpoint);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects; `callback` receives an empty response or the error kNotSent.
  void Connect(Duration timeout, HttpCallback callback);

  /// Sends `request` on this connection. Fails with kNotSent if the connection is not open, if it
  /// was closed by the other side while it was idle, or while another request is in progress.
  void Send(const HttpRequest& request, Duration timeout, HttpCallback callback);

  /// Closes the connection; a request in progress ends with an error.
  void Close();

  /// False before Connect has succeeded, after Close, and as soon as the other side's close of an
  /// idle connection has reached this process.
  bool IsOpen() const;

 private:
  class Stream;
  std::shared_ptr<Stream> stream;
  friend class HttpClient;
};

}  // namespace sycamoredrum
