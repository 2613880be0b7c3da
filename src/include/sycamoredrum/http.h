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

/// Headers in message order. Names are case-insensitive and may repeat.
using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header `name`, or an empty string if there is none.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Returns the values of all headers `name` in message order.
std::vector<std::string_view> FindHeaders(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  /// Servers: all headers received. Clients: additional headers; Host, Content-Length and
  /// Connection are set by the client.
  HttpHeaders headers;
  std::string body;
  Endpoint remote;  ///< Servers: remote address of the connection. Unused by clients.
  std::uint64_t connection_id = 0;  ///< Servers: identifies the connection. Unused by clients.

  /// Returns the target without its query.
  std::string_view Path() const;

  /// Returns the percent-decoded value of the query parameter `name`, or nothing if it is missing.
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

/// Percent-encodes everything but letters, digits and "-._~".
std::string PercentEncode(std::string_view text);

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;  ///< Servers: additional ones; Content-Length and Connection are added.
  std::string body;     ///< Servers: sent as application/json unless `headers` has a Content-Type.
  bool close = false;   ///< Servers: close the connection after this response.
};

/// Sends the response to a request. May be called at any later time and from any thread; only the
/// first call has an effect. If all copies are destroyed without a call, the server responds with
/// status 500.
using HttpRespond = std::function<void(HttpResponse)>;

struct HttpServerLimits {
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// Time limit from the first byte of a request to its last one, and again for sending a response.
  Duration request_timeout = std::chrono::seconds(10);
  /// Time after which a connection without a request is closed. Zero: no limit.
  Duration idle_timeout = std::chrono::seconds(60);
  std::size_t max_connections = 10000;
  /// At `max_connections`, close the oldest connection without a complete request instead of
  /// refusing the new one.
  bool replace_oldest = false;
};

/// All hooks run on workers of the loop while the server holds no lock. The hooks of one connection
/// run one after the other, those of different connections concurrently.
struct HttpServerHooks {
  /// Required. Handles one request; a connection has at most one request at a time.
  std::function<void(const HttpRequest&, HttpRespond)> handle;
  /// Optional. Returns false to close the new connection without a response.
  std::function<bool(const Endpoint& remote)> admit;
  /// Optional. Called once for each accepted connection, after either side has closed it.
  std::function<void(std::uint64_t connection_id)> closed;
};

/// Counters since the server was created, and the current number of open connections.
struct HttpServerStats {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;    ///< Connections above `max_connections` or not admitted.
  std::uint64_t malformed = 0;  ///< Requests rejected with status 400.
  std::uint64_t too_large = 0;  ///< Requests rejected with status 413 or 431.
  std::uint64_t timed_out = 0;  ///< Connections closed by `request_timeout`.
  std::size_t open = 0;
};

/// HTTP/1.1 server with keep-alive. Malformed requests are rejected with status 400, bodies above
/// the limit with 413 and headers above the limit with 431. Each rejection has a JSON body
/// {"outcome": "not_run", "reason", "message"} and closes the connection.
///
/// Thread-safe. Its mutex is never held while a hook runs, and no other lock is taken while it is
/// held. Destroy the server after Shutdown has called `done` or after EventLoop::Join.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpServerLimits limits, HttpServerHooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept connections and returns the port, which is chosen by the system if
  /// `endpoint.port` is 0. Returns nothing on failure; LastReason() then gives the cause.
  std::optional<std::uint16_t> Listen(const Endpoint& endpoint);

  /// Adds "Connection: close" to every response from now on. Connections are still accepted.
  void AnnounceClose();

  /// Stops accepting connections, lets requests in progress finish and closes their connections.
  /// Connections without a request are closed after 500 ms, because a request may be in transit.
  /// `done` runs on a worker when no connection is left. May be called once.
  void Shutdown(std::function<void()> done);

  /// Closes a connection at once, without a response to a request in progress.
  void CloseConnection(std::uint64_t connection_id);

  /// Closes all connections from the IP address `host` at once.
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
  kNotSent,        ///< No byte of the request was sent; it certainly had no effect.
  kMaybeReceived,  ///< The server may have received the request; its effect is unknown.
};

/// Result of a request. `response` is complete if `error` is kNone, and empty otherwise; a
/// truncated response is an error.
struct HttpResult {
  HttpError error = HttpError::kNone;
  std::string message;  ///< Cause of the failure; empty on success.
  HttpResponse response;

  bool Ok() const { return this->error == HttpError::kNone; }
};

using HttpCallback = std::function<void(const HttpResult&)>;

struct HttpClientOptions {
  std::string local_host;  ///< Local IP address to connect from; empty: chosen by the system.
  std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_idle_per_endpoint = 16;  ///< Not used by HttpConnection.
  /// Idle connections are not reused after this time. It is shorter than the idle timeout of
  /// servers, so that the client does not send on a connection that the server is closing.
  Duration max_idle = std::chrono::seconds(20);  ///< Not used by HttpConnection.
};

/// Time limits of a call. A response that arrives steadily may take longer than `call`, so that a
/// large one can be received over a slow link.
struct HttpTimeLimits {
  Duration call{};  ///< For connecting, sending and receiving.
  /// From the receipt of a part of the response to that of the next one. Zero: only `call` counts.
  Duration progress{};
  Duration total{};  ///< For the whole call if `progress` is not zero.
};

/// HTTP/1.1 client that keeps idle connections for reuse. A request is sent at most once: after any
/// part of it was sent, it is never retried on another connection.
///
/// Thread-safe. Its mutex is never held while a callback runs. May be destroyed while calls are in
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
  /// As above, with the limits of `limits`.
  void Call(const Endpoint& endpoint, const HttpRequest& request, const HttpTimeLimits& limits,
            HttpCallback callback);

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// One TCP connection that carries one request at a time. After any error, timeout or truncated
/// response it is closed and is not opened again.
///
/// Thread-safe, without a mutex. The destructor closes the connection; the callback of an operation
/// in progress then receives an error.
class HttpConnection {
 public:
  HttpConnection(EventLoop& loop, HttpClientOptions options, const Endpoint& endpoint);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects. `callback` receives an empty response on success, and kNotSent on failure. A
  /// second call fails.
  void Connect(Duration timeout, HttpCallback callback);

  /// Sends `request` on this connection. Fails with kNotSent if the connection is not open, if the
  /// server closed it while it was idle, or if another request is in progress.
  void Send(const HttpRequest& request, Duration timeout, HttpCallback callback);

  /// Closes the connection; a request in progress fails.
  void Close();

  /// Returns false before Connect has succeeded, after Close, and once this process has received
  /// the server's close of an idle connection.
  bool IsOpen() const;

 private:
  class Stream;
  std::shared_ptr<Stream> stream;
  friend class HttpClient;
};

}  // namespace sycamoredrum
