#include "sycamoredrum/datagram.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <thread>

namespace sycamoredrum {
namespace {

constexpr std::chrono::seconds kTestLimit{10};

class DatagramTest : public testing::Test {
 protected:
  void SetUp() override {
    const auto port = this->receiver.Open(Endpoint{"127.0.0.1", 0});
    ASSERT_TRUE(port.has_value()) << this->receiver.LastReason();
    this->target = Endpoint{"127.0.0.1", *port};
  }
  void TearDown() override {
    this->loop.Stop();
    this->loop.Join();
  }

  EventLoop loop{2};
  std::promise<std::pair<Endpoint, std::string>> first;
  DatagramSocket receiver{this->loop, [this](const Endpoint& from, const std::string& payload) {
                            this->first.set_value({from, payload});
                          }};
  DatagramSocket sender{this->loop, [](const Endpoint&, const std::string&) {}};
  Endpoint target;
};

// Guards against altered payloads, a wrong sender address, and sending datagrams that are too large
// and would be fragmented.
TEST_F(DatagramTest, DeliversUpToTheLimit) {
  const auto port = this->sender.Open(Endpoint{"127.0.0.1", 0});
  ASSERT_TRUE(port.has_value());
  std::string payload(kMaxDatagramBytes, 'x');
  payload[5] = '\0';
  this->sender.Send(this->target, payload + "x");
  this->sender.Send(Endpoint{"no-number", 1}, "x");
  EXPECT_EQ(this->sender.Stats().send_errors, 2U);
  this->sender.Send(this->target, payload);
  auto received = this->first.get_future();
  ASSERT_EQ(received.wait_for(kTestLimit), std::future_status::ready);
  const auto [from, bytes] = received.get();
  EXPECT_EQ(from, (Endpoint{"127.0.0.1", *port}));
  EXPECT_EQ(bytes, payload);
}

// Guards against an oversized datagram that is delivered truncated or stops the socket from
// receiving.
TEST_F(DatagramTest, OversizedDatagramsAreDropped) {
  const int raw = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->target.port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const std::string large(5000, 'x');
  for (const std::string& payload : {large, std::string("ok")}) {
    sendto(raw, payload.data(), payload.size(), 0, reinterpret_cast<sockaddr*>(&address),
           sizeof(address));
  }
  close(raw);
  auto received = this->first.get_future();
  ASSERT_EQ(received.wait_for(kTestLimit), std::future_status::ready);
  EXPECT_EQ(received.get().second, "ok");
  EXPECT_EQ(this->receiver.Stats().oversized, 1U);
}

// Guards against a socket that stops receiving after the system reports that the target of an
// earlier send is unreachable.
TEST_F(DatagramTest, SurvivesAnUnreachableTarget) {
  EXPECT_FALSE(this->sender.Open(Endpoint{"no-number", 0}).has_value());
  ASSERT_TRUE(this->sender.Open(Endpoint{"127.0.0.1", 0}).has_value());
  DatagramSocket closed(this->loop, [](const Endpoint&, const std::string&) {});
  const Endpoint unreachable{"127.0.0.1", *closed.Open(Endpoint{"127.0.0.1", 0})};
  closed.Close();
  this->receiver.Send(unreachable, "x");
  this->receiver.Send(unreachable, "x");
  this->sender.Send(this->target, "still here");
  auto received = this->first.get_future();
  ASSERT_EQ(received.wait_for(kTestLimit), std::future_status::ready);
  EXPECT_EQ(received.get().second, "still here");
}

}  // namespace
}  // namespace sycamoredrum
