#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "sycamoredrum/peer_link.h"

namespace sycamoredrum {

/// Bytes that wait to be sent on a link. Beyond this the peer does not read, and requests are
/// refused.
constexpr std::size_t kMaxPeerBacklogBytes = 4 * kMaxPeerFrameBytes;

// The names and types of these constants are those of the library's configuration.
// NOLINTBEGIN(readability-identifier-naming, google-runtime-int)
struct PeerServerConfig : public websocketpp::config::asio {
  static const size_t max_message_size = kMaxPeerFrameBytes;
  // A close handshake with a peer that is gone must not keep the link for longer.
  static const long timeout_close_handshake = 1000;
};

struct PeerClientConfig : public websocketpp::config::asio_client {
  static const size_t max_message_size = kMaxPeerFrameBytes;
  static const long timeout_close_handshake = 1000;
};
// NOLINTEND(readability-identifier-naming, google-runtime-int)

using PeerWebsocketServer = websocketpp::server<PeerServerConfig>;
using PeerWebsocketClient = websocketpp::client<PeerClientConfig>;

/// Must be called before the first frame is sent. The library stores the byte order of the machine
/// in a variable without a lock when it first converts a length.
inline void DetectByteOrder() {
  static const std::uint64_t detected = websocketpp::lib::net::_htonll(0);
  static_cast<void>(detected);
}

/// Runs `action` on the strand of `connection`. Sending and closing go through here because the
/// library's count of the bytes that wait to be sent is not protected by a lock.
template <typename ConnectionPointer, typename Action>
void RunOnStrand(const ConnectionPointer& connection, Action action) {
  boost::asio::post(*connection->get_strand(), std::move(action));
}

/// True if the library closed the connection because of a frame that breaks the protocol.
template <typename Connection>
bool ClosedByBadFrame(const Connection& connection) {
  const auto code = connection.get_local_close_code();
  return code == websocketpp::close::status::message_too_big ||
         code == websocketpp::close::status::protocol_error ||
         code == websocketpp::close::status::invalid_payload;
}

template <typename Connection>
void DisableDelay(Connection& connection) {
  boost::system::error_code ignored;
  connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

}  // namespace sycamoredrum
