// The relay as real processes: two of them in front of a stand-in of the users' platform.

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <poll.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "../../src/net/raw_socket.h"
#include "../support/child_process.h"
#include "standin_users_platform.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;

/// Longest wait for something that a test expects.
constexpr milliseconds kPatience = seconds(15);

std::uint16_t FreePort() { return RawSocket::ListenOnLoopback().LocalEndpoint().port; }

/// A caller's session.
class Caller {
 public:
  Caller(std::uint16_t port, const std::string& route) : socket(RawSocket::ConnectTo(port)) {
    this->socket.Send("STARTUP " + route + " test\r\n");
    this->greeting = this->socket.ReceiveUntil("\r\n");
  }

  /// Answer to a statement, up to its READY line.
  std::string Do(const std::string& text) {
    this->Send({text});
    return this->Receive();
  }

  /// Sends all statements at once.
  void Send(const std::vector<std::string>& statements) {
    std::string bytes;
    for (const std::string& text : statements) {
      bytes += "QUERY q" + std::to_string(this->next++) + " " + text + "\r\n";
    }
    this->socket.Send(bytes);
  }

  std::string Receive() { return this->socket.ReceiveUntil(" -\r\n"); }

  std::string greeting;

 private:
  RawSocket socket;
  int next = 1;
};

class RelayProcess {
 public:
  RelayProcess(const std::string& name, const Endpoint& platform)
      : callers(FreePort()), ready(FreePort()), metrics(FreePort()) {
    const auto local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const std::vector<std::string> arguments = {"relay",
                                                "--member-id=" + name,
                                                "--data-centre=dc1",
                                                "--caller-address=" + local(this->callers),
                                                "--ready-address=" + local(this->ready),
                                                "--peer-address=" + local(FreePort()),
                                                "--metrics-address=" + local(this->metrics),
                                                "--store-address=" + platform.ToString(),
                                                "--duty-address=" + platform.ToString(),
                                                "--stop-grace=4s"};
    this->process = std::make_unique<ChildProcess>(
        SYCAMOREDRUM_PROGRAM, arguments,
        std::vector<std::string>{"SYCAMOREDRUM_FLEET_KEY=key of the relay test"},
        testing::TempDir() + "/relay-" + name + ".err");
  }

  bool Ready() const {
    const RawSocket socket = RawSocket::ConnectTo(this->ready);
    if (!socket.Valid()) {
      return false;
    }
    socket.Send("GET /sycamoredrum/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return socket.ReceiveUntil("\r\n").find(" 200 ") != std::string::npos;
  }

  /// Reads and watches of the store that the process has made.
  int StoreReads() const {
    const RawSocket socket = RawSocket::ConnectTo(this->metrics);
    socket.Send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::istringstream lines(socket.ReceiveUntil("no line has this text"));
    double reads = 0;
    for (std::string line; std::getline(lines, line);) {
      const bool calls = line.rfind("sycamoredrum_platform_calls_total{", 0) == 0;
      const bool read =
          line.find("\"list\"") != std::string::npos || line.find("\"watch\"") != std::string::npos;
      if (calls && read) {
        reads += std::stod(line.substr(line.rfind(' ')));
      }
    }
    return static_cast<int>(reads);
  }

  const std::uint16_t callers;
  const std::uint16_t ready;
  const std::uint16_t metrics;
  std::unique_ptr<ChildProcess> process;
};

template <typename Condition>
bool Eventually(Condition condition, milliseconds patience = kPatience) {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    // Waits on a descriptor that never becomes ready.
    poll(nullptr, 0, 20);
  }
  return true;
}

class RelayTest : public testing::Test {
 protected:
  RelayTest() : platform(3) {
    this->platform.Configure(
        7, {"place=primary", "stock=bounded_staleness", "quotes=read_your_writes"});
    for (const char* name : {"r1", "r2"}) {
      this->relays.push_back(std::make_unique<RelayProcess>(name, this->platform.Address()));
    }
    for (const auto& relay : this->relays) {
      EXPECT_TRUE(Eventually([&relay] { return relay->Ready(); }));
    }
  }

  Caller Open(int relay, const std::string& route) {
    return Caller(this->relays[static_cast<std::size_t>(relay)]->callers, route);
  }

  /// Writes until it succeeds, as a caller that repeats refused operations does.
  bool WriteEventually(int relay, const std::string& item, const std::string& data) {
    return Eventually([&] {
      Caller caller = this->Open(relay, "place");
      return caller.Do("WRITE " + item + " " + data).find("DONE") != std::string::npos;
    });
  }

  StandinUsersPlatform platform;
  std::vector<std::unique_ptr<RelayProcess>> relays;
};

TEST_F(RelayTest, WritesAreReadThroughTheOtherRelay) {
  Caller writer = this->Open(0, "place");
  EXPECT_EQ(writer.greeting, "READY I -\r\n");
  EXPECT_THAT(writer.Do("WRITE a one"), HasSubstr("DONE proof-i-0\r\nREADY I -"));
  Caller reader = this->Open(1, "place");
  EXPECT_THAT(reader.Do("READ a"), HasSubstr("ROW one\r\nDONE proof-i-0"));
  Caller lookup = this->Open(1, "stock");
  EXPECT_THAT(lookup.Do("READ a"), HasSubstr("ROW one\r\n"));
}

TEST_F(RelayTest, TransactionsAndPreparedStatements) {
  Caller caller = this->Open(0, "quotes");
  EXPECT_EQ(caller.Do("SET mode fast"), "DONE -\r\nREADY I -\r\n");
  EXPECT_EQ(caller.Do("PREPARE s1 WRITE shape"), "DONE -\r\nREADY I -\r\n");
  EXPECT_EQ(caller.Do("BEGIN"), "DONE -\r\nREADY T -\r\n");
  EXPECT_THAT(caller.Do("EXEC s1 b two"), HasSubstr("READY T -"));
  EXPECT_EQ(this->platform.CommitsOf("two"), 0);
  EXPECT_THAT(caller.Do("COMMIT"), HasSubstr("DONE proof-i-0\r\nREADY I -"));
  EXPECT_EQ(this->platform.CommitsOf("two"), 1);
  EXPECT_EQ(caller.Do("BEGIN"), "DONE -\r\nREADY T -\r\n");
  EXPECT_THAT(caller.Do("WRITE b three"), HasSubstr("READY T -"));
  EXPECT_EQ(caller.Do("ROLLBACK"), "DONE -\r\nREADY I -\r\n");
  EXPECT_EQ(this->platform.CommitsOf("three"), 0);
}

TEST_F(RelayTest, UnknownRoutesAndMalformedMessagesAreRefused) {
  EXPECT_THAT(this->Open(0, "nowhere").greeting, HasSubstr("ERR NODB"));
  Caller caller = this->Open(0, "place");
  EXPECT_THAT(caller.Do("NONSENSE"), HasSubstr("ERR MALFORMED"));
}

TEST_F(RelayTest, ADeadPrimaryIsReplaced) {
  ASSERT_TRUE(this->WriteEventually(0, "a", "before"));
  this->platform.KillInstance(0);
  EXPECT_TRUE(this->WriteEventually(1, "a", "after"));
  EXPECT_NE(this->platform.Primary(), 0);
  EXPECT_EQ(this->platform.Promotions(), 1);
  EXPECT_EQ(this->platform.CommitsOf("after"), 1);
}

TEST_F(RelayTest, ADrainingPrimaryIsHandedOver) {
  ASSERT_TRUE(this->WriteEventually(0, "a", "before"));
  this->platform.DrainInstance(0);
  EXPECT_TRUE(Eventually([this] { return this->platform.Primary() != 0; }));
  EXPECT_TRUE(this->WriteEventually(0, "a", "after"));
}

TEST_F(RelayTest, AKilledLeaderIsFollowedByAnother) {
  for (const auto& relay : this->relays) {
    ASSERT_TRUE(this->WriteEventually(relay == this->relays[0] ? 0 : 1, "a", "before"));
  }
  // Either of them may lead; the one that is left must serve after the other is gone.
  this->relays[0]->process->Signal(SIGKILL);
  EXPECT_TRUE(this->WriteEventually(1, "a", "meanwhile"));
  this->platform.KillInstance(0);
  EXPECT_TRUE(this->WriteEventually(1, "a", "after"));
}

TEST_F(RelayTest, ServiceGoesOnWhileTheStoreIsDown) {
  ASSERT_TRUE(this->WriteEventually(0, "a", "before"));
  this->platform.SetStoreDown(true);
  Caller caller = this->Open(0, "place");
  EXPECT_THAT(caller.Do("WRITE a during"), HasSubstr("DONE"));
  this->platform.SetStoreDown(false);
  EXPECT_TRUE(this->WriteEventually(0, "a", "after"));
}

TEST_F(RelayTest, ARelayWithoutLeaderAndStoreRefusesEarlyAndLeavesTheRotation) {
  ASSERT_TRUE(this->WriteEventually(0, "a", "before"));
  this->platform.SetStoreDown(true);
  for (const auto& relay : this->relays) {
    EXPECT_TRUE(Eventually([&relay] { return !relay->Ready(); }));
  }
  Caller caller = this->Open(0, "place");
  EXPECT_THAT(caller.Do("WRITE a during"), HasSubstr("ERR BUSY retry after"));
  EXPECT_EQ(this->platform.CommitsOf("during"), 0);
  this->platform.SetStoreDown(false);
  EXPECT_TRUE(this->WriteEventually(0, "a", "after"));
  for (const auto& relay : this->relays) {
    EXPECT_TRUE(Eventually([&relay] { return relay->Ready(); }));
  }
}

// Load pattern: every member of a large fleet reads what the leader reads as well. A member that
// hears the leader gets the records of the instances from it, and acts on them.
TEST_F(RelayTest, AMemberThatHearsTheLeaderHardlyReadsTheStore) {
  ASSERT_TRUE(this->WriteEventually(0, "a", "before"));
  const auto reads = [this] {
    return std::pair(this->relays[0]->StoreReads(), this->relays[1]->StoreReads());
  };
  // In its first seconds a process reads the records itself.
  constexpr int kReadsOfTheStart = 25;
  ASSERT_TRUE(Eventually([&] {
    const auto [first, second] = reads();
    return std::max(first, second) >= kReadsOfTheStart;
  }));
  // The leader reads its key and the records about three times a second, a member two keys every
  // 10 s. One that read the records as well would make six reads meanwhile.
  constexpr int kReadsOfTheLeader = 24;
  constexpr int kMostReadsOfAMember = 4;
  const std::pair<int, int> start = reads();
  std::pair<int, int> made;
  ASSERT_TRUE(Eventually(
      [&] {
        const auto [first, second] = reads();
        made = std::pair(first - start.first, second - start.second);
        return std::max(made.first, made.second) >= kReadsOfTheLeader;
      },
      kPatience * 2));
  EXPECT_LE(std::min(made.first, made.second), kMostReadsOfAMember);
  this->platform.DrainInstance(0);
  EXPECT_TRUE(Eventually([this] { return this->platform.Primary() != 0; }));
  EXPECT_TRUE(this->WriteEventually(0, "a", "through the first"));
  EXPECT_TRUE(this->WriteEventually(1, "a", "through the second"));
  // The member that is left reads the store itself again.
  const std::size_t leader = made.first > made.second ? 0 : 1;
  this->relays[leader]->process->Signal(SIGKILL);
  const int other = leader == 0 ? 1 : 0;
  EXPECT_TRUE(this->WriteEventually(other, "a", "without the leader"));
  const int primary = this->platform.Primary();
  this->platform.DrainInstance(primary);
  EXPECT_TRUE(Eventually([&] { return this->platform.Primary() != primary; }));
}

TEST_F(RelayTest, ANewConfigurationIsInForceEverywhere) {
  this->platform.Configure(9, {"place=primary", "added=primary"});
  for (const int relay : {0, 1}) {
    EXPECT_TRUE(Eventually([&] { return this->Open(relay, "added").greeting == "READY I -\r\n"; }));
    EXPECT_THAT(this->Open(relay, "stock").greeting, HasSubstr("ERR NODB"));
  }
}

TEST_F(RelayTest, AGracefulStopEndsOpenTransactionsFirst) {
  Caller caller = this->Open(0, "place");
  EXPECT_THAT(caller.Do("BEGIN"), HasSubstr("READY T"));
  EXPECT_THAT(caller.Do("WRITE a last"), HasSubstr("READY T"));
  this->relays[0]->process->Signal(SIGTERM);
  EXPECT_TRUE(Eventually([this] { return !this->relays[0]->Ready(); }));
  EXPECT_THAT(caller.Do("COMMIT"), HasSubstr("DONE proof-i-0"));
  EXPECT_EQ(this->relays[0]->process->Wait(seconds(6)), 0);
  EXPECT_EQ(this->platform.CommitsOf("last"), 1);
}

// Cause of a broken rule: a caller left its failed transaction late in the stop and sent a
// statement at once; the process ended before the answer.
TEST_F(RelayTest, AStatementThatIsSentLateInAStopIsAnswered) {
  ASSERT_TRUE(this->WriteEventually(0, "a", "before"));
  Caller caller = this->Open(0, "place");
  EXPECT_THAT(caller.Do("BEGIN"), HasSubstr("READY T"));
  EXPECT_THAT(caller.Do("WRITE a lost"), HasSubstr("READY T"));
  this->platform.SetWorkTime(milliseconds(600));
  this->relays[0]->process->Signal(SIGTERM);
  // The grace is 4 s: open transactions end after 2 s, and the process after about 3.5 s.
  constexpr milliseconds kLateInTheStop(3200);
  poll(nullptr, 0, static_cast<int>(kLateInTheStop.count()));
  caller.Send({"ROLLBACK", "READ a"});
  // Both answers may arrive at once.
  std::string answers = caller.Receive();
  answers += caller.Receive();
  EXPECT_THAT(answers, HasSubstr("DONE -\r\nREADY I -\r\nERR BUSY")) << "not every answer came";
  EXPECT_THAT(answers, testing::EndsWith("READY I -\r\n"));
  EXPECT_EQ(this->relays[0]->process->Wait(seconds(6)), 0);
  EXPECT_EQ(this->platform.CommitsOf("lost"), 0);
}

// Guards against a promotion while a relay that stops still uses the primary: the leader waits only
// for registered members.
TEST_F(RelayTest, ARelayStaysRegisteredUntilItsLastTransactionHasEnded) {
  const std::string key = "sycamoredrum/members/r1";
  Caller caller = this->Open(0, "place");
  EXPECT_THAT(caller.Do("BEGIN"), HasSubstr("READY T"));
  EXPECT_THAT(caller.Do("WRITE a last"), HasSubstr("READY T"));
  ASSERT_TRUE(this->platform.HasKey(key));
  this->relays[0]->process->Signal(SIGTERM);
  EXPECT_TRUE(Eventually([this] { return !this->relays[0]->Ready(); }));
  constexpr milliseconds kWhileTheTransactionIsOpen(500);
  poll(nullptr, 0, static_cast<int>(kWhileTheTransactionIsOpen.count()));
  EXPECT_TRUE(this->platform.HasKey(key));
  EXPECT_THAT(caller.Do("COMMIT"), HasSubstr("DONE proof-i-0"));
  EXPECT_EQ(this->relays[0]->process->Wait(seconds(6)), 0);
  EXPECT_FALSE(this->platform.HasKey(key));
}

}  // namespace
}  // namespace sycamoredrum
