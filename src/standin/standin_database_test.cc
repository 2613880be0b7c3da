#include <gtest/gtest.h>

#include "child_process.h"
#include "standin_client.h"
#include "sycamoredrum/backend.h"
#include "sycamoredrum/status.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct Server {
  explicit Server(const std::string& id)
      : process({STANDIN_DATABASE, "--id", id, "--database", "orders", "--vm", "vm-" + id,
                 "--data-centre", "x", "--statements", "127.0.0.1:0", "--control", "127.0.0.1:0",
                 "--cap", "2", "--open-delay", "1ms"}),
        statements{"127.0.0.1", this->process.Port("statements")},
        control{"127.0.0.1", this->process.Port("control")} {}

  ChildProcess process;
  Endpoint statements;
  Endpoint control;
};

class StandinDatabaseTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(this->a.process.FirstLine().substr(0, 6), "ready ");
    const json peers = {{"a", this->a.control.ToString()}, {"b", this->b.control.ToString()}};
    this->client.CallJson(this->a.control, "POST", "/test/peers", peers);
    this->client.CallJson(this->b.control, "POST", "/test/peers", peers);
    this->MakePrimary(this->a, 1);
    this->Follow(this->b, 1, "a");
  }
  void MakePrimary(const Server& server, int term) {
    const json body = {{"term", term}, {"proposer", "p"}};
    EXPECT_EQ(this->client.CallJson(server.control, "POST", "/v1/fence", body)["accepted"], true);
    EXPECT_EQ(this->client.CallJson(server.control, "POST", "/v1/promote", body)["role"],
              "primary");
  }
  void Follow(const Server& server, int term, const std::string& primary) {
    const json body = {{"term", term}, {"primary", primary}};
    EXPECT_EQ(this->client.CallJson(server.control, "POST", "/v1/follow", body)["accepted"], true);
  }
  json Test(const Server& server, const std::string& name, const json& body) {
    return this->client.CallJson(server.control, "POST", "/test/" + name, body);
  }
  json Wait(const Server& server, int term, int index, int timeout_ms) {
    const json body = {{"position", {{"term", term}, {"index", index}}},
                       {"timeout_ms", timeout_ms}};
    return this->client.CallJson(server.control, "POST", "/v1/wait", body);
  }
  std::string Value(const Server& server, const std::string& key) {
    return this->client.CallJson(server.control, "GET", "/test/value?key=" + key)
        .value("value", "");
  }
  json Stats(const Server& server) {
    return this->client.CallJson(server.control, "GET", "/test/stats");
  }
  static std::string Write(int term, const std::string& id, const std::string& statement) {
    BackendRequest request;
    request.request_id = id;
    request.fingerprint = statement;
    request.write = true;
    request.term = static_cast<std::uint64_t>(term);
    request.statements = {statement};
    return ToJson(request);
  }

  Server a{"a"};
  Server b{"b"};
  StandinClient client;
};

// Guards against replicas that miss log entries, a former primary that keeps unreplicated entries,
// and waiting for a position that can no longer be reached.
TEST_F(StandinDatabaseTest, ReplicatesAndTruncatesAfterAPromotion) {
  auto connection = this->client.Connect(this->a.statements);
  EXPECT_EQ(this->client.Send(*connection, "/v1/execute", Write(1, "1", "PUT x 1")).response.status,
            200);
  EXPECT_EQ(this->Wait(this->b, 1, 2, 5000)["outcome"], "contained");
  EXPECT_EQ(this->Value(this->b, "x"), "1");
  const json fence = {{"term", 2}, {"proposer", "q"}};
  this->client.CallJson(this->b.control, "POST", "/v1/fence", fence);
  this->client.Send(*connection, "/v1/execute", Write(1, "2", "PUT x lost"));
  EXPECT_EQ(this->Wait(this->b, 1, 3, 50)["outcome"], "timeout");
  this->client.CallJson(this->b.control, "POST", "/v1/promote", fence);
  EXPECT_EQ(this->Wait(this->b, 1, 3, 5000)["outcome"], "not_in_history");
  this->Follow(this->a, 2, "b");
  EXPECT_EQ(this->Wait(this->a, 2, 3, 5000)["outcome"], "contained");
  EXPECT_EQ(this->Value(this->a, "x"), "1");
  EXPECT_TRUE(this->client.Eventually([&] { return !connection->IsOpen(); }));
}

// Guards against a lagging replica that applies entries too early, or that reports a silent primary
// while only its applying lags.
TEST_F(StandinDatabaseTest, LagDelaysEntriesButNotTheHeartbeat) {
  this->Wait(this->b, 1, 1, 5000);
  this->Test(this->b, "lag", {{"ms", 60000}});
  auto connection = this->client.Connect(this->a.statements);
  this->client.Send(*connection, "/v1/execute", Write(1, "", "PUT x 1"));
  EXPECT_EQ(this->Wait(this->b, 1, 2, 700)["outcome"], "timeout");
  const auto status = ParseBackendServerStatus(
      this->client.Call(this->b.control, "GET", "/v1/status").response.body);
  ASSERT_TRUE(status && status->primary_silence);
  EXPECT_LT(*status->primary_silence, milliseconds(600));
  this->Test(this->b, "lag", {{"ms", 0}});
  EXPECT_EQ(this->Wait(this->b, 1, 2, 5000)["outcome"], "contained");
}

// Guards against running requests on connections that were not opened or exceed the cap, and
// against a transaction that remains after its connection has closed.
TEST_F(StandinDatabaseTest, ConnectionsAreOpenedCappedAndRolledBack) {
  auto unopened = this->client.Connect(this->a.statements, /*open=*/false);
  EXPECT_EQ(this->client.Send(*unopened, "/v1/execute", Write(1, "", "PUT x 1")).response.status,
            409);
  auto first = this->client.Connect(this->a.statements);
  auto second = this->client.Connect(this->a.statements);
  auto third = this->client.Connect(this->a.statements, /*open=*/false);
  const HttpResult refusal = this->client.Send(*third, "/v1/open", "");
  EXPECT_EQ(refusal.response.status, 503);
  EXPECT_NE(refusal.response.body.find("too_many_connections"), std::string::npos);
  json begin = json::parse(Write(1, "", "PUT y 1"));
  begin["transaction"] = "begin";
  EXPECT_EQ(this->client.Send(*first, "/v1/execute", begin.dump()).response.status, 200);
  first.reset();
  EXPECT_TRUE(
      this->client.Eventually([&] { return this->Stats(this->a)["open_connections"] == 1; }));
  EXPECT_EQ(this->Value(this->a, "y"), "");
  EXPECT_EQ(this->Stats(this->a)["peak_connections"], 2);
}

// Guards against test switches that do not produce the fault they simulate.
TEST_F(StandinDatabaseTest, SwitchesFreezeCutDelayAndLoseAnswers) {
  auto connection = this->client.Connect(this->a.statements);
  this->Test(this->a, "freeze", json::object());
  auto late = this->client.SendAsync(*connection, "/v1/execute", Write(1, "", "PUT x 1"));
  EXPECT_EQ(this->client.Call(this->a.control, "GET", "/v1/status", "", milliseconds(50)).error,
            HttpError::kMaybeReceived);
  EXPECT_EQ(this->Value(this->a, "x"), "");
  this->Test(this->a, "freeze", {{"frozen", false}});
  EXPECT_EQ(late.get().response.status, 200);

  this->Test(this->a, "lose-answers", {{"count", 1}});
  EXPECT_EQ(this->client.Send(*connection, "/v1/execute", Write(1, "r", "ADD n 1")).error,
            HttpError::kMaybeReceived);
  connection = this->client.Connect(this->a.statements);
  const HttpResult repeated =
      this->client.Send(*connection, "/v1/execute", Write(1, "r", "ADD n 1"));
  EXPECT_TRUE(ParseBackendReply(repeated.response.body)->duplicate);
  EXPECT_EQ(this->Value(this->a, "n"), "1");

  this->Test(this->a, "statement-delay", {{"ms", 60000}});
  EXPECT_EQ(this->client.Send(*connection, "/v1/execute", Write(1, "", "PUT x 2"), milliseconds(50))
                .error,
            HttpError::kMaybeReceived);

  this->Test(this->a, "cut", {{"hosts", {"127.0.0.1"}}, {"mode", "close"}});
  EXPECT_FALSE(this->client.Call(this->a.control, "GET", "/v1/status").Ok());
  this->Test(this->a, "cut", {{"hosts", json::array()}});
  EXPECT_TRUE(this->client.Call(this->a.control, "GET", "/v1/status").Ok());
  EXPECT_EQ(this->a.process.Terminate(), 0);
}

}  // namespace
}  // namespace sycamoredrum
