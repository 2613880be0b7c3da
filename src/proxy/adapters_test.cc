#include <gtest/gtest.h>

#include "backend_connections.h"
#include "backend_control.h"
#include "loopback_fleet_test.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeout = milliseconds(300);
// The operating system uses this source address for connections to all of 127.0.0.0/8.
constexpr char kClientHost[] = "127.0.0.1";

enum class Fault { kNone, kRefused, kCut, kFrozen, kOutage, kLostAnswer, kMalformed };

// Tests the adapters against the stand-ins, with faults of the servers and the network.
class AdaptersTest : public testing::Test {
 protected:
  AdaptersTest()
      : control(fleet.Client()),
        connections(fleet.Loop(), HttpClientOptions()),
        malformed_server(fleet.Loop(), HttpServerLimits(), MalformedAnswerHooks()),
        malformed_port(malformed_server.Listen(Endpoint{"127.0.0.1", 0}).value()) {}

  ~AdaptersTest() override { this->fleet.Join(); }

  // Answers every request with a body that is cut off in the middle.
  static HttpServerHooks MalformedAnswerHooks() {
    HttpServerHooks hooks;
    hooks.handle = [](const HttpRequest&, const HttpRespond& respond) {
      HttpResponse response;
      response.body = R"({"outcome": "cont)";
      respond(response);
    };
    return hooks;
  }

  void ConfigureStandIn(const Endpoint& stand_in, const std::string& name,
                        const nlohmann::json& body) {
    const HttpResult result = this->fleet.Call(stand_in, "POST", "/test/" + name, body.dump());
    ASSERT_TRUE(result.Ok() && result.response.status == 200) << name;
  }

  // Makes the next call fail with `fault`, which the stand-in at `test_port` simulates. Returns the
  // endpoint to call in place of `to`.
  Endpoint InjectFault(Fault fault, const Endpoint& test_port, const Endpoint& to) {
    switch (fault) {
      case Fault::kNone:
        break;
      case Fault::kRefused:
        return Endpoint{"127.0.0.1", 1};
      case Fault::kCut:
        // "*" refuses new requests; open connections are closed for the named host only.
        this->ConfigureStandIn(test_port, "cut",
                               {{"hosts", {"*", kClientHost}}, {"mode", "close"}});
        break;
      case Fault::kFrozen:
        this->ConfigureStandIn(test_port, "freeze", {{"frozen", true}});
        break;
      case Fault::kOutage:
        this->ConfigureStandIn(test_port, "outage", {{"on", true}});
        break;
      case Fault::kLostAnswer:
        this->ConfigureStandIn(test_port, "lose-answers", {{"count", 1}});
        break;
      case Fault::kMalformed:
        return Endpoint{"127.0.0.1", this->malformed_port};
    }
    return to;
  }

  void ClearFault(Fault fault, const Endpoint& test_port) {
    if (fault == Fault::kCut) {
      this->ConfigureStandIn(test_port, "cut", {{"hosts", nlohmann::json::array()}});
    } else if (fault == Fault::kFrozen) {
      this->ConfigureStandIn(test_port, "freeze", {{"frozen", false}});
    } else if (fault == Fault::kOutage) {
      this->ConfigureStandIn(test_port, "outage", {{"on", false}});
    }
  }

  // Returns the result that `call` passes to its callback; a second call of it fails the test.
  template <typename Value>
  Value Await(const std::function<void(std::function<void(const Value&)>)>& call) {
    auto promise = std::make_shared<std::promise<Value>>();
    call([promise](const Value& value) { promise->set_value(value); });
    auto result = promise->get_future();
    EXPECT_EQ(result.wait_for(seconds(20)), std::future_status::ready);
    return result.get();
  }

  LoopbackFleet fleet;
  BackendControl control;
  BackendConnections connections;
  HttpServer malformed_server;
  const std::uint16_t malformed_port;
};

// Guards against a fault at a control port after which the callback is not called or receives a
// status.
TEST_F(AdaptersTest, BackendControlReportsEveryFault) {
  using Status = std::optional<BackendServerStatus>;
  using Position = std::optional<PositionAnswer>;
  for (const Fault fault :
       {Fault::kNone, Fault::kRefused, Fault::kCut, Fault::kFrozen, Fault::kMalformed}) {
    SCOPED_TRACE(static_cast<int>(fault));
    const Endpoint to = this->InjectFault(fault, this->fleet.Control(0), this->fleet.Control(0));
    const Status status =
        this->Await<Status>([&](auto done) { this->control.Status(to, kTimeout, done); });
    const Position position = this->Await<Position>(
        [&](auto done) { this->control.Wait(to, LogPosition(), kTimeout, done); });
    const Status fenced =
        this->Await<Status>([&](auto done) { this->control.Fence(to, 1, "test", done); });
    EXPECT_EQ(status.has_value(), fault == Fault::kNone);
    EXPECT_EQ(position.has_value(), fault == Fault::kNone);
    EXPECT_EQ(fenced.has_value(), fault == Fault::kNone);
    this->ClearFault(fault, this->fleet.Control(0));
  }
}

// Guards against a reply that is reported for a request whose connection failed, and against an
// attempt to open a connection that never ends.
TEST_F(AdaptersTest, BackendConnectionsReportEveryFault) {
  using Reply = std::optional<BackendReply>;
  const struct {
    Fault fault;
    OpenStatus open;
    bool answered;
  } cases[] = {
      {Fault::kNone, OpenStatus::kOpened, true},
      {Fault::kRefused, OpenStatus::kUnreachable, false},
      {Fault::kCut, OpenStatus::kOpened, false},
      {Fault::kFrozen, OpenStatus::kOpened, false},
      {Fault::kLostAnswer, OpenStatus::kOpened, false},
      {Fault::kMalformed, OpenStatus::kOpened, false},
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(static_cast<int>(test.fault));
    const bool other_endpoint = test.fault == Fault::kRefused || test.fault == Fault::kMalformed;
    const Endpoint to = other_endpoint ? this->InjectFault(test.fault, this->fleet.Control(0),
                                                           this->fleet.Statements(0))
                                       : this->fleet.Statements(0);
    const OpenResult open = this->Await<OpenResult>(
        [&](auto done) { this->connections.Open(to, "orders", seconds(2), done); });
    ASSERT_EQ(open.status, test.open);
    if (!other_endpoint) {
      this->InjectFault(test.fault, this->fleet.Control(0), to);
    }
    BackendRequest request;
    request.statements = {"GET key"};
    const Reply reply = this->Await<Reply>(
        [&](auto done) { this->connections.Execute(open.connection, request, kTimeout, done); });
    EXPECT_EQ(reply.has_value(), test.answered);
    this->connections.Close(open.connection);
    this->ClearFault(test.fault, this->fleet.Control(0));
  }
}

// Guards against a write with a lost answer being reported as one without effect.
TEST_F(AdaptersTest, PlatformDistinguishesUnavailableFromUnknown) {
  const struct {
    Fault fault;
    PlatformStatus status;
  } cases[] = {
      {Fault::kNone, PlatformStatus::kOk},
      {Fault::kRefused, PlatformStatus::kUnavailable},
      {Fault::kCut, PlatformStatus::kUnknown},
      {Fault::kFrozen, PlatformStatus::kUnknown},
      {Fault::kOutage, PlatformStatus::kUnavailable},
      {Fault::kLostAnswer, PlatformStatus::kUnknown},
      {Fault::kMalformed, PlatformStatus::kUnknown},
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(static_cast<int>(test.fault));
    const Endpoint to =
        this->InjectFault(test.fault, this->fleet.Platform(), this->fleet.Platform());
    const PlatformClient platform =
        MakePlatformClient(this->fleet.Client(), to, [](const std::string&, const std::string&) {});
    const std::string key = "test/" + std::to_string(static_cast<int>(test.fault));
    std::promise<PlatformStatus> written;
    platform.put(key, "value", 0,
                 [&](PlatformStatus status, std::uint64_t) { written.set_value(status); });
    EXPECT_EQ(written.get_future().get(), test.status);
    this->ClearFault(test.fault, this->fleet.Platform());
    std::promise<PlatformStatus> read;
    platform.get(key, [&](PlatformStatus status, const std::optional<KeyValue>&) {
      read.set_value(status);
    });
    if (test.fault == Fault::kLostAnswer) {
      EXPECT_EQ(read.get_future().get(), PlatformStatus::kOk);
    } else {
      read.get_future().wait();
    }
  }
}

}  // namespace
}  // namespace sycamoredrum
