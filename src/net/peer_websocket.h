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

/// Limit of the bytes that wait to be sent on a link. Above it the peer is assumed not to read:
/// PeerLink fails further requests, and PeerServer closes the link.
constexpr std::size_t kMaxPeerUnsentBytes = 4 * kMaxPeerFrameBytes;

/// Maximum size of a frame from a peer that has not proved that it knows the fleet key.
constexpr std::size_t kMaxPeerHelloBytes = std::size_t{16} * 1024;

// websocketpp prescribes the names and types of these constants.
// NOLINTBEGIN(readability-identifier-naming, google-runtime-int)
struct PeerServerConfig : public websocketpp::config::asio {
  // PeerServer raises it to kMaxPeerFrameBytes after the hello.
  static const size_t max_message_size = kMaxPeerHelloBytes;
  // In ms. Limits how long the close handshake with an unreachable peer keeps the link open.
  static const long timeout_close_handshake = 1000;
};

struct PeerClientConfig : public websocketpp::config::asio_client {
  static const size_t max_message_size = kMaxPeerFrameBytes;
  static const long timeout_close_handshake = 1000;
};
// NOLINTEND(readability-identifier-naming, google-runtime-int)

using PeerWebsocketServer = websocketpp::server<PeerServerConfig>;
using PeerWebsocketClient = websocketpp::client<PeerClientConfig>;

/// Must be called before the first frame is sent. websocketpp detects the byte order of the host
/// when it first converts a length, and stores it in a variable without a lock; this call does so
/// before several threads can.
inline void DetectByteOrder() {
  static const std::uint64_t detected = websocketpp::lib::net::_htonll(0);
  static_cast<void>(detected);
}

/// Runs `action` on the strand of `connection`. Code outside the strand must send frames and close
/// connections through this function, because no lock protects the library's count of the bytes
/// that wait to be sent.
template <typename ConnectionPointer, typename Action>
void RunOnStrand(const ConnectionPointer& connection, Action action) {
  boost::asio::post(*connection->get_strand(), std::move(action));
}

/// Returns true if this side closed the connection because of an invalid or too large frame.
template <typename Connection>
bool ClosedByBadFrame(const Connection& connection) {
  const auto code = connection.get_local_close_code();
  return code == websocketpp::close::status::message_too_big ||
         code == websocketpp::close::status::protocol_error ||
         code == websocketpp::close::status::invalid_payload;
}

/// Disables Nagle's algorithm.
template <typename Connection>
void DisableDelay(Connection& connection) {
  boost::system::error_code ignored;
  connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

}  // namespace sycamoredrum
