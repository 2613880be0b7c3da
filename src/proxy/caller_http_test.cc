#include "caller_http.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;

const DeadlineRule kRule{seconds(2), seconds(30)};
const TimePoint kNow{std::chrono::hours(1)};

HttpRequest Post(const std::string& target, const std::string& body, HttpHeaders headers = {}) {
  HttpRequest http;
  http.method = "POST";
  http.target = target;
  http.headers = std::move(headers);
  http.body = body;
  return http;
}

std::optional<CallerCall> Read(const HttpRequest& http, Findings& findings) {
  return ReadCallerCall(http, SessionTokenCodec("0123456789abcdef"), kRule, kNow, findings);
}

// Guards against malformed requests that are accepted, or reported without the place of the error.
TEST(CallerHttpTest, BadRequestsNameThePlace) {
  const std::string path = "/v1/databases/orders/execute";
  const std::string good = R"({"statements":["GET x"]})";
  struct Case {
    HttpRequest http;
    std::string finding;
  };
  const Case cases[] = {
      {Post(path, ""), "body: must be a JSON object"},
      {Post(path, "[1]"), "body: must be a JSON object"},
      {Post(path, "{}"), "statements: is required"},
      {Post(path, R"({"statements":[]})"), "statements: must be a list of 1 to 1024 texts"},
      {Post(path, R"({"statements":["GET x",2]})"), "statements[1]: must be a text"},
      {Post(path, R"({"statements":["GET x"],"read_only":1})"), "read_only: must be true or false"},
      {Post(path, R"({"statements":["GET x"],"readonly":true})"), "readonly: is not a known field"},
      {Post("/v1/databases/orders/x", good), "path: must end with"},
      {Post("/v1/databases/orders", good), "path: is not known"},
      {Post("/v1/transactions/abc/commit", ""), "path: \"abc\" is not a transaction id"},
      {Post(path, good, {{"Sycamoredrum-Deadline-Ms", "-1"}}), "Sycamoredrum-Deadline-Ms: must be"},
      {Post(path, good, {{"Idempotency-Key", std::string(129, 'x')}}), "Idempotency-Key: must be"},
      {Post(path, good, {{"Idempotency-Key", "a b"}}), "Idempotency-Key: must be"},
      {Post(path, good, {{"Sycamoredrum-Session", "forged"}}), "Sycamoredrum-Session:"},
  };
  for (const Case& test : cases) {
    Findings findings;
    EXPECT_FALSE(Read(test.http, findings).has_value()) << test.finding;
    EXPECT_THAT(findings.ToString(), HasSubstr(test.finding));
  }
}

// Guards against a deadline beyond the configured limit.
TEST(CallerHttpTest, DeadlineIsBounded) {
  Findings findings;
  const auto call = Read(Post("/v1/databases/orders/execute", R"({"statements":["GET x"]})",
                              {{"Sycamoredrum-Deadline-Ms", "99999999"}}),
                         findings);
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->request.deadline, kNow + seconds(30));
}

// Guards against concurrent answers that delete each other's positions: an answer may expire only
// the cookies whose positions its own cookie includes.
TEST(CallerHttpTest, AnswersExpireOnlyMergedCookies) {
  const SessionTokenCodec codec("0123456789abcdef");
  const SessionToken first = SessionToken().With("orders", {1, 5}, false);
  const SessionToken second = SessionToken().With("stock", {1, 7}, false);
  Findings findings;
  const auto call = Read(
      Post("/v1/databases/orders/execute", R"({"statements":["PUT x 1"]})",
           {{"Cookie", "other=1; sd-a=" + codec.Encode(first) + "; sd-b=" + codec.Encode(second)}}),
      findings);
  ASSERT_TRUE(call.has_value()) << findings.ToString();
  EXPECT_EQ(call->request.session, SessionToken::Merge(first, second));
  RequestAnswer answer;
  answer.answer.outcome = Outcome::kResult;
  answer.session = call->request.session->With("orders", {1, 9}, false);
  const HttpResponse response = WriteCallerAnswer(*call, answer, codec, "sd-c", "t");
  const auto cookies = FindHeaders(response.headers, "Set-Cookie");
  ASSERT_EQ(cookies.size(), 3U);
  EXPECT_THAT(std::string(cookies[0]), HasSubstr("sd-c=" + codec.Encode(answer.session)));
  EXPECT_EQ(cookies[1], "sd-a=; Path=/; Max-Age=0");
  EXPECT_EQ(cookies[2], "sd-b=; Path=/; Max-Age=0");
}

// Guards against a forged or outdated cookie that makes a read accept stale data.
TEST(CallerHttpTest, UnreadableCookiesMakeTheSessionUncertain) {
  Findings findings;
  const auto call = Read(Post("/v1/databases/orders/execute", R"({"statements":["GET x"]})",
                              {{"Cookie", "sd-a=forged"}}),
                         findings);
  ASSERT_TRUE(call.has_value());
  EXPECT_TRUE(call->request.session->For("orders").uncertain);
}

// Guards against a status code that promises a caller more than the outcome does.
TEST(CallerHttpTest, StatusFollowsOutcomeAndReason) {
  struct Case {
    Outcome outcome;
    Reason reason;
    int status;
  };
  const Case cases[] = {{Outcome::kResult, Reason::kNone, 200},
                        {Outcome::kUnknown, Reason::kUnconfirmed, 504},
                        {Outcome::kFailed, Reason::kStatement, 422},
                        {Outcome::kNotRun, Reason::kQueueFull, 429},
                        {Outcome::kNotRun, Reason::kNoPrimary, 503},
                        {Outcome::kNotRun, Reason::kRequestIdReused, 409}};
  const SessionTokenCodec codec("0123456789abcdef");
  for (const Case& test : cases) {
    RequestAnswer answer;
    answer.answer.outcome = test.outcome;
    answer.answer.reason = test.reason;
    answer.answer.retry_after = milliseconds(120);
    const HttpResponse response = WriteCallerAnswer(CallerCall(), answer, codec, "sd-c", "t");
    EXPECT_EQ(response.status, test.status) << ToString(test.reason);
    EXPECT_EQ(nlohmann::json::parse(response.body).at("outcome"), ToString(test.outcome));
    EXPECT_EQ(FindHeader(response.headers, "Retry-After"), "1");
  }
}

// Guards against a transaction id that does not identify the connection of the transaction.
TEST(CallerHttpTest, TransactionHandlesRoundTrip) {
  const TransactionHandle handle{"p1.0f", "orders-1", "orders"};
  const auto parsed = TransactionHandle::Parse(handle.ToString());
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->transaction, "p1.0f");
  EXPECT_EQ(parsed->backend_server, "orders-1");
  EXPECT_EQ(parsed->database, "orders");
}

}  // namespace
}  // namespace sycamoredrum
