#include "sycamoredrum/datagram.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <mutex>
#include <utility>

#include "event_loop_impl.h"

namespace sycamoredrum {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

}  // namespace

struct DatagramSocket::State : public std::enable_shared_from_this<DatagramSocket::State> {
  State(EventLoop& loop, DatagramHandler handler)
      : handler(std::move(handler)), socket(loop.Internal().io) {}

  void Receive();
  void OnReceived(const error_code& error, std::size_t bytes);

  const DatagramHandler handler;
  // Used only by the receive operation; at most one is in progress.
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  udp::endpoint sender;

  std::mutex mutex;  // Guards the members below; never held while the handler runs.
  udp::socket socket;
  DatagramStats stats;
};

void DatagramSocket::State::Receive() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->socket.is_open()) {
    return;
  }
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [self = this->shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnReceived(error, bytes);
      });
}

void DatagramSocket::State::OnReceived(const error_code& error, std::size_t bytes) {
  if (error == boost::asio::error::operation_aborted) {
    return;
  }
  const bool oversized = bytes > kMaxDatagramBytes;
  // Other errors mean that an earlier datagram from this socket was not delivered, for example
  // because its target port is closed. The socket stays usable.
  if (!error) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++(oversized ? this->stats.oversized : this->stats.received);
  }
  if (!error && !oversized) {
    const Endpoint from{this->sender.address().to_string(), this->sender.port()};
    this->handler(from, std::string(this->buffer.data(), bytes));
  }
  this->Receive();
}

DatagramSocket::DatagramSocket(EventLoop& loop, DatagramHandler handler)
    : state(std::make_shared<State>(loop, std::move(handler))) {}

DatagramSocket::~DatagramSocket() { this->Close(); }

std::optional<std::uint16_t> DatagramSocket::Open(const Endpoint& endpoint) {
  error_code error;
  std::uint16_t port = 0;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    udp::socket& socket = this->state->socket;
    const udp::endpoint local(boost::asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (!error) {
      socket.open(local.protocol(), error);
    }
    if (!error) {
      socket.bind(local, error);
    }
    if (!error) {
      socket.non_blocking(true, error);
    }
    if (error) {
      this->last_reason = "cannot open " + endpoint.ToString() + ": " + error.message();
      error_code ignored;
      socket.close(ignored);
      return std::nullopt;
    }
    port = socket.local_endpoint().port();
  }
  this->state->Receive();
  return port;
}

void DatagramSocket::Send(const Endpoint& to, const std::string& payload) {
  error_code error;
  const udp::endpoint target(boost::asio::ip::make_address(to.host, error), to.port);
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  if (!error && payload.size() > kMaxDatagramBytes) {
    error = boost::asio::error::message_size;
  }
  if (!error) {
    this->state->socket.send_to(boost::asio::buffer(payload), target, 0, error);
  }
  ++(error ? this->state->stats.send_errors : this->state->stats.sent);
}

void DatagramSocket::Close() {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  error_code ignored;
  this->state->socket.close(ignored);
}

DatagramStats DatagramSocket::Stats() const {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  return this->state->stats;
}

}  // namespace sycamoredrum
