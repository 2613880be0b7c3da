#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/http.h"

namespace sycamoredrum {

enum class HttpSessionEvent { kMalformed, kTooLarge, kTimedOut };

/// Callbacks from a session to its server.
struct HttpSessionHooks {
  std::function<void(const HttpRequest&, HttpRespond)> handle;
  std::function<void(std::uint64_t connection_id)> closed;  ///< Called once, as the last hook.
  std::function<void(HttpSessionEvent)> count;              ///< Updates HttpServerStats.
};

/// One connection of an HttpServer. The public functions are thread-safe. All data members except
/// `id` and `remote` are used only on the strand of the socket.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket, std::uint64_t id, Endpoint remote,
              const HttpServerLimits& limits, HttpSessionHooks hooks);

  void Start();
  /// Closes the connection after the response to the current request or, if it is idle, after a
  /// grace period for a request that is in transit.
  void Drain();
  /// Adds "Connection: close" to the next response, after which the connection is closed.
  void AnnounceClose();
  void Close();
  void Respond(HttpResponse response);

  /// True if no request was received completely that is not answered yet. Thread-safe.
  bool WaitsForRequest() const {
    const Phase present = this->phase;
    return present == Phase::kIdle || present == Phase::kReading || present == Phase::kLingering;
  }

  std::uint64_t Id() const { return this->id; }
  const Endpoint& Remote() const { return this->remote; }

 private:
  /// kHandling: the handler has not responded yet. kLingering: the last response was sent, and
  /// input is discarded.
  enum class Phase { kIdle, kReading, kHandling, kWriting, kLingering, kClosed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  /// True if bytes of a request were received, in `buffer` or in the socket.
  bool HasUnreadInput();
  void WaitForRequest();
  void ReadRequest();
  void OnRequest(const boost::system::error_code& error);
  void HandleRequest();
  void RejectRequest(const boost::system::error_code& error);
  void Write(const HttpResponse& response);
  void OnWritten(const boost::system::error_code& error);
  /// Reads and discards input until the client closes or a limit is reached.
  void Linger();
  /// Closes the socket and reports it to the server.
  void Finish();

  const std::uint64_t id;
  const Endpoint remote;
  const HttpServerLimits limits;
  HttpSessionHooks hooks;
  boost::beast::tcp_stream stream;
  boost::asio::steady_timer drain_timer;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  Response response;
  std::atomic<Phase> phase{Phase::kIdle};
  bool close_after_response = false;
  std::size_t lingered_bytes = 0;
};

}  // namespace sycamoredrum
