// Tests a real relay process with lowered limits against crowds of misbehaving callers, one kind a
// test. They check that the process lives, that its peak memory and its open descriptors stay under
// a bound, that an ordinary request is answered while the crowd's connections are still open, and
// that a message of legal size is served after the crowd has left. They check neither times nor
// which part of the crowd is served.

#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "../../src/net/raw_socket.h"
#include "crowd.h"
#include "limited_relay.h"
#include "standin_users_platform.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWaitLimit = seconds(20);
constexpr milliseconds kCrowdLimit = seconds(8);
// Descriptors that connections to backend servers, the store and the checks of the test itself may
// need in addition to those that the process has open in calm.
constexpr std::size_t kOwnDescriptors = 80;
constexpr std::size_t kLegalBytes = 1'000'000;

const char* const kOpening = "STARTUP place test\r\n";

std::string LargeWrite(std::size_t bytes = kLegalBytes) {
  return "QUERY q WRITE large " + std::string(bytes, 'x') + "\r\n";
}

class MisbehavingCallersTest : public testing::Test {
 protected:
  MisbehavingCallersTest() : platform(3) {
    this->platform.Configure(7, {"place=primary", "quotes=read_your_writes"});
    this->relay = std::make_unique<LimitedRelay>(this->platform.Address());
    EXPECT_TRUE(this->Eventually([this] { return this->relay->IsReady(); }))
        << this->relay->Errors();
    EXPECT_TRUE(this->Eventually([this] { return this->Serves("WRITE a calm"); }));
    this->calm_descriptors = this->relay->OpenDescriptors();
    this->calm_memory = this->relay->PeakMemoryKiB();
  }

  bool Eventually(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      this->Sample();
      poll(nullptr, 0, 20);
    }
    return true;
  }

  /// True if a new session gets the result of this statement.
  bool Serves(const std::string& statement) {
    const RawSocket socket = RawSocket::ConnectTo(LimitedRelay::kCallerPort, this->relay->host);
    if (!socket.Valid()) {
      return false;
    }
    socket.Send(kOpening);
    if (socket.ReceiveUntil("\r\n") != "READY I -\r\n") {
      return false;
    }
    socket.Send("QUERY q " + statement + "\r\n");
    return socket.ReceiveUntil(" -\r\n").find("DONE") != std::string::npos;
  }

  void Sample() {
    this->peak_descriptors = std::max(this->peak_descriptors, this->relay->OpenDescriptors());
  }

  void Run(Crowd& crowd) {
    crowd.Run(kCrowdLimit, [this] { this->Sample(); });
  }

  /// Checks what must hold for every kind of crowd. `descriptors` are those that the limits allow
  /// this crowd.
  void Check(Crowd& crowd, std::size_t descriptors) {
    EXPECT_TRUE(this->Eventually([this] { return this->Serves("WRITE a ordinary"); }))
        << "no ordinary request was answered";
    EXPECT_TRUE(this->Eventually([this] { return this->relay->IsReady(); }));
    crowd.Close();
    EXPECT_TRUE(this->Eventually([this] {
      return this->Serves("WRITE a " + std::string(kLegalBytes, 'y'));
    })) << "no message of legal size was served";
    ASSERT_TRUE(this->relay->Lives()) << this->relay->Errors();
    const std::size_t peak_memory = this->relay->PeakMemoryKiB();
    const std::size_t bound = this->calm_descriptors + descriptors + kOwnDescriptors;
    // The memory limit is that of the whole process, so it includes what is used in calm.
    EXPECT_LE(peak_memory, LimitedRelay::kMemoryLimitKiB);
    EXPECT_LE(this->peak_descriptors, bound);
    std::cout << "memory: calm " << this->calm_memory << " KiB, peak " << peak_memory
              << " KiB, bound " << LimitedRelay::kMemoryLimitKiB << " KiB; descriptors: calm "
              << this->calm_descriptors << ", peak " << this->peak_descriptors << ", bound "
              << bound << '\n';
  }

  void CheckCallers(std::size_t connections, const CrowdBehaviour& behaviour) {
    Crowd crowd(this->relay->host, LimitedRelay::kCallerPort, connections, behaviour);
    this->Run(crowd);
    this->Check(crowd, LimitedRelay::kMaxSessions);
  }

  StandinUsersPlatform platform;
  std::unique_ptr<LimitedRelay> relay;
  std::size_t calm_descriptors = 0;
  std::size_t calm_memory = 0;
  std::size_t peak_descriptors = 0;
};

// The peak memory must not grow with the number of callers that send large messages at once.
TEST_F(MisbehavingCallersTest, MessagesOfLegalSizeInOnePiece) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = LargeWrite();
  behaviour.read = 1024;
  this->CheckCallers(200, behaviour);
}

TEST_F(MisbehavingCallersTest, MessagesOfLegalSizeInSmallPieces) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = LargeWrite();
  behaviour.piece = 1400;
  behaviour.read = 1024;
  this->CheckCallers(200, behaviour);
}

// Messages that never end must not stay in memory.
TEST_F(MisbehavingCallersTest, MessagesThatStopHalfWay) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = "QUERY q WRITE large " + std::string(kLegalBytes, 'x');
  this->CheckCallers(200, behaviour);
}

TEST_F(MisbehavingCallersTest, MessagesFarOverTheLimit) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = std::string(kLegalBytes, 'x');
  behaviour.repetitions = 8;
  this->CheckCallers(100, behaviour);
}

// The limit of queued statements counts statements, which says nothing about their size.
TEST_F(MisbehavingCallersTest, LargePipelinedMessagesWithoutReading) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = LargeWrite();
  behaviour.repetitions = 60;
  // Without it, the backend servers of the test answer faster than the crowd sends.
  this->platform.SetStatementTime(milliseconds(50));
  this->CheckCallers(6, behaviour);
}

TEST_F(MisbehavingCallersTest, SmallPipelinedMessagesWithoutReading) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = "QUERY q BEGIN\r\nQUERY q ROLLBACK\r\n";
  behaviour.repetitions = 5000;
  behaviour.receive_buffer = 4096;
  this->CheckCallers(200, behaviour);
}

TEST_F(MisbehavingCallersTest, LargeAnswersThatAreNotRead) {
  ASSERT_TRUE(this->Eventually([this] { return this->Serves(LargeWrite().substr(8, 900'000)); }));
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = "QUERY q READ large\r\n";
  // The system's send buffer takes up to 4 MiB for each connection before the relay must hold more.
  behaviour.repetitions = 20;
  behaviour.receive_buffer = 4096;
  behaviour.linger = seconds(3);
  this->CheckCallers(150, behaviour);
}

TEST_F(MisbehavingCallersTest, LargeAnswersThatAreReadSlowly) {
  ASSERT_TRUE(this->Eventually([this] { return this->Serves(LargeWrite().substr(8, 900'000)); }));
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = "QUERY q READ large\r\n";
  // The system's send buffer takes up to 4 MiB for each connection before the relay must hold more.
  behaviour.repetitions = 20;
  behaviour.read = 16;
  behaviour.pause = milliseconds(20);
  behaviour.receive_buffer = 4096;
  this->CheckCallers(150, behaviour);
}

// Slow senders hold a session each, which must not keep ordinary callers out.
TEST_F(MisbehavingCallersTest, MessagesThatArriveVerySlowly) {
  CrowdBehaviour behaviour;
  behaviour.opening = kOpening;
  behaviour.repeated = "QUERY q WRITE a " + std::string(kLegalBytes, 'x');
  behaviour.piece = 1;
  behaviour.pause = milliseconds(50);
  this->CheckCallers(LimitedRelay::kMaxSessions + 20, behaviour);
}

// Connections that open no session must neither use up the descriptors nor keep callers out.
TEST_F(MisbehavingCallersTest, ConnectionsThatNeverOpenASession) {
  Crowd crowd(this->relay->host, LimitedRelay::kCallerPort, LimitedRelay::kMaxSessions + 150, {});
  this->Run(crowd);
  this->Check(crowd, LimitedRelay::kMaxUnopenedSessions);
}

TEST_F(MisbehavingCallersTest, FirstMessagesThatStopHalfWay) {
  CrowdBehaviour behaviour;
  behaviour.opening = "STARTUP pla";
  Crowd crowd(this->relay->host, LimitedRelay::kCallerPort, LimitedRelay::kMaxSessions + 150,
              behaviour);
  this->Run(crowd);
  this->Check(crowd, LimitedRelay::kMaxUnopenedSessions);
}

TEST_F(MisbehavingCallersTest, ConnectionsThatCloseAtOnce) {
  for (int round = 0; round < 20; ++round) {
    CrowdBehaviour behaviour;
    behaviour.opening = round % 2 == 0 ? "" : kOpening;
    Crowd crowd(this->relay->host, LimitedRelay::kCallerPort, 100, behaviour);
    this->Run(crowd);
  }
  Crowd none(this->relay->host, LimitedRelay::kCallerPort, 0, {});
  this->Check(none, LimitedRelay::kMaxSessions);
}

// Half requests must not keep the readiness check of the load balancer out.
TEST_F(MisbehavingCallersTest, HalfRequestsOnTheReadinessPort) {
  CrowdBehaviour behaviour;
  behaviour.opening = "GET /sycamoredrum/readyz HTTP/1.1\r\nHost: ";
  Crowd crowd(this->relay->host, LimitedRelay::kReadyPort, 300, behaviour);
  this->Run(crowd);
  this->Check(crowd, LimitedRelay::kMaxHttpConnections);
}

TEST_F(MisbehavingCallersTest, HalfRequestsOnTheMetricsPort) {
  CrowdBehaviour behaviour;
  behaviour.opening = "POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n";
  behaviour.repeated = std::string(900'000, 'x');
  Crowd crowd(this->relay->host, LimitedRelay::kMetricsPort, 300, behaviour);
  this->Run(crowd);
  this->Check(crowd, LimitedRelay::kMaxHttpConnections);
}

// A connection that has not proved that it knows the fleet key must not send large frames.
TEST_F(MisbehavingCallersTest, LargeFramesOnThePeerPort) {
  CrowdBehaviour behaviour;
  behaviour.opening =
      "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
  // Header of a masked binary frame of 4 MiB, with a mask of zeros.
  behaviour.opening += std::string("\x82\xff\x00\x00\x00\x00\x00\x40\x00\x00\x00\x00\x00\x00", 14);
  behaviour.repeated = std::string(kLegalBytes, 'x');
  behaviour.repetitions = 4;
  behaviour.linger = seconds(2);
  Crowd crowd(this->relay->host, LimitedRelay::kPeerPort, 40, behaviour);
  this->Run(crowd);
  this->Check(crowd, 40);
}

}  // namespace
}  // namespace sycamoredrum
