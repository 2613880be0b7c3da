#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// End of a request's time. If `progress` is not zero, each received part of the response moves it
/// to at least this time after the receipt, but not beyond `total`.
struct HttpDeadline {
  TimePoint call;
  Duration progress{};
  TimePoint total;
};

/// Implementation of HttpConnection. Operations run on the strand of its socket; `open` and `busy`
/// may be read by any thread.
class HttpConnection::Stream : public std::enable_shared_from_this<HttpConnection::Stream> {
 public:
  Stream(EventLoop& loop, HttpClientOptions options, Endpoint endpoint);

  void Connect(TimePoint deadline, HttpCallback callback);
  void Send(const HttpRequest& request, const HttpDeadline& deadline, HttpCallback callback);
  void Close();
  bool IsOpen() const { return this->open; }

 private:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void StartConnect(HttpCallback callback);
  void StartSend(HttpCallback callback);
  void ReadResponse(HttpCallback callback);
  void ReadPart(HttpCallback callback);
  void OnResponse(const HttpCallback& callback);
  void Fail(HttpError error, const std::string& message, const HttpCallback& callback);
  /// Returns false if the idle connection is readable, which means that the server closed it or
  /// sent data without a request.
  bool NothingToRead();
  /// Closes the connection if it becomes readable while it is idle.
  void WatchIdle();

  const HttpClientOptions options;
  const Endpoint endpoint;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  Message message;
  HttpDeadline deadline;  ///< Of the request in progress.
  std::atomic<bool> open{false};
  std::atomic<bool> busy{false};  ///< Connect or Send is in progress.
  bool closed = false;            ///< Closed or failed; used only on the strand.
};

}  // namespace sycamoredrum
