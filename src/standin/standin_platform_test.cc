#include <gtest/gtest.h>

#include "child_process.h"
#include "standin_client.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class StandinPlatformTest : public testing::Test {
 protected:
  HttpResult Put(const std::string& key, int expected, const std::string& value,
                 const std::string& extra_query = "") {
    const std::string target =
        "/v1/kv?key=" + key + "&expected_revision=" + std::to_string(expected) + extra_query;
    return this->client.Call(this->platform, "PUT", target, value);
  }
  json Get(const std::string& target) {
    return this->client.CallJson(this->platform, "GET", target);
  }
  void Test(const std::string& name, const json& body) {
    this->client.CallJson(this->platform, "POST", "/test/" + name, body);
  }

  ChildProcess process{{STANDIN_PLATFORM, "--listen", "127.0.0.1:0"}};
  Endpoint platform{"127.0.0.1", this->process.Port("listen")};
  StandinClient client;
};

// Guards against two writes that succeed with the same expected revision, and against lists and
// watches that miss keys.
TEST_F(StandinPlatformTest, ComparesSwapsListsAndWatches) {
  ASSERT_EQ(this->process.FirstLine().substr(0, 6), "ready ");
  EXPECT_EQ(this->Put("t/1", 0, "one").response.status, 200);
  EXPECT_EQ(this->Put("t/1", 0, "two").response.status, 409);
  EXPECT_EQ(this->Put("t/2", 0, "two").response.status, 200);
  EXPECT_EQ(this->Get("/v1/kv?key=t/1")["value"], "one");
  EXPECT_EQ(this->Get("/v1/kv?key=t/9")["error"], "not_found");
  EXPECT_EQ(this->Get("/v1/list?prefix=t/&after=t/1&limit=5")["items"].size(), 1U);
  EXPECT_EQ(this->Get("/v1/watch?prefix=t/&after_revision=1&timeout_ms=9000")["items"].size(), 1U);
  EXPECT_TRUE(this->Get("/v1/watch?prefix=t/&after_revision=2&timeout_ms=20")["items"].empty());
  const std::string watch = "/v1/watch?prefix=t/&after_revision=2&timeout_ms=9000";
  auto waiting = std::async(std::launch::async, [&] { return this->Get(watch); });
  this->client.Eventually([&] { return this->Get("/test/calls")["watch"] == 3; });
  this->Put("t/3", 0, "three");
  EXPECT_EQ(waiting.get()["items"][0]["key"], "t/3");
  const json calls = this->Get("/test/calls");
  EXPECT_EQ(calls["put"], 4);
  EXPECT_EQ(calls["get"], 2);
  EXPECT_EQ(calls["watch"], 3);
}

// Guards against a key that remains after its lease has expired, and against using or renewing an
// expired lease.
TEST_F(StandinPlatformTest, LeasesExpireWithTheirKeys) {
  const json lease =
      this->client.CallJson(this->platform, "POST", "/v1/leases", {{"ttl_ms", 60}})["lease"];
  const std::string id = lease.get<std::string>();
  EXPECT_EQ(this->Put("held", 0, "x", "&lease=" + id).response.status, 200);
  EXPECT_TRUE(this->client.Eventually(
      [&] { return this->Get("/v1/kv?key=held").value("error", "") == "not_found"; }));
  EXPECT_EQ(this->Put("held", 0, "x", "&lease=" + id).response.status, 409);
  EXPECT_EQ(
      this->client.CallJson(this->platform, "POST", "/v1/leases/renew", {{"lease", id}})["error"],
      "lease_expired");
}

// Guards against test switches that do not produce the fault they simulate.
TEST_F(StandinPlatformTest, SwitchesLoseAnswersRefuseAndDelay) {
  this->Test("lose-answers", {{"count", 1}});
  EXPECT_EQ(this->Put("k", 0, "v").error, HttpError::kMaybeReceived);
  EXPECT_EQ(this->Get("/v1/kv?key=k")["value"], "v");
  this->Test("outage", {{"on", true}});
  EXPECT_EQ(this->Put("k", 1, "w").response.status, 503);
  this->Test("outage", {{"on", false}});
  EXPECT_EQ(this->Get("/v1/kv?key=k")["value"], "v");
  this->Test("slow", {{"ms", 60000}});
  EXPECT_FALSE(this->client.Call(this->platform, "GET", "/v1/kv?key=k", "", milliseconds(50)).Ok());
  this->Test("slow", {{"ms", 0}});
  const json vm = {{"id", "v"}, {"host", "127.0.0.1"}, {"data_centre", "x"}, {"leaving", true}};
  this->Test("vms", {{"revision", 7}, {"vms", {vm}}, {"lag_ms", 40}});
  EXPECT_EQ(this->Get("/v1/vms")["revision"], 0);
  EXPECT_TRUE(this->client.Eventually([&] { return this->Get("/v1/vms")["revision"] == 7; }));
  EXPECT_EQ(this->Get("/v1/vms")["vms"][0]["leaving"], true);
  EXPECT_EQ(this->process.Terminate(), 0);
}

}  // namespace
}  // namespace sycamoredrum
