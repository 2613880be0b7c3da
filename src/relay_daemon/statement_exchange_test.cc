#include "statement_exchange.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "statement_messages.h"
#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

ForwardedStatement MakeForwarded(const std::string& text) {
  ForwardedStatement statement;
  statement.session = 7;
  statement.number = 2;
  statement.start = ForwardedStart::kInTransaction;
  statement.route = "orders";
  statement.organisation = "o";
  statement.server = "s-1";
  statement.statement.id = "id-1";
  statement.statement.kind = StatementKind::kExecute;
  statement.statement.name = "put";
  statement.statement.text = text;
  statement.variables = {{"zone", text}};
  statement.prepared_text = "WRITE ?";
  statement.prepared_writes = true;
  statement.last_commit = LogPosition{3, 99};
  statement.time_left = milliseconds(420);
  return statement;
}

// Guards against texts that are changed on the way: callers may send any bytes.
TEST(StatementMessagesTest, StatementsKeepTheirContent) {
  std::string all_bytes;
  for (int byte = 0; byte < 256; ++byte) {
    all_bytes += static_cast<char>(byte);
  }
  for (const std::string& text : {std::string("EXEC put a 1"), std::string("gr\xc3\xbc\xc3\x9f"),
                                  std::string("\xff\x80 a"), all_bytes}) {
    const ForwardedStatement statement = MakeForwarded(text);
    const auto parsed = ParseStatementMessage(ToJson(StatementMessage{"i1", statement}));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->incarnation, "i1");
    EXPECT_EQ(parsed->statement.session, 7U);
    EXPECT_EQ(parsed->statement.number, 2U);
    EXPECT_EQ(parsed->statement.start, ForwardedStart::kInTransaction);
    EXPECT_EQ(parsed->statement.route, "orders");
    EXPECT_EQ(parsed->statement.organisation, "o");
    EXPECT_EQ(parsed->statement.server, "s-1");
    EXPECT_EQ(parsed->statement.statement, statement.statement);
    EXPECT_EQ(parsed->statement.variables, statement.variables);
    EXPECT_EQ(parsed->statement.prepared_text, "WRITE ?");
    EXPECT_TRUE(parsed->statement.prepared_writes);
    EXPECT_EQ(parsed->statement.last_commit, statement.last_commit);
    EXPECT_EQ(parsed->statement.time_left, statement.time_left);
    ForwardAnswer answer;
    answer.outcome = ForwardOutcome::kAnswered;
    answer.result.rows = {text, ""};
    answer.result.receipt = "receipt";
    answer.result.state = TransactionState::kOpen;
    answer.result.position = LogPosition{1, 2};
    const auto result = ParseForwardAnswer(ToJson(answer));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->result.rows, answer.result.rows);
    EXPECT_EQ(result->result.receipt, "receipt");
    EXPECT_EQ(result->result.state, TransactionState::kOpen);
    EXPECT_EQ(result->result.position, answer.result.position);
    EXPECT_FALSE(result->result.error);
  }
}

// Guards against an error code that becomes another one, for example "not run" from "unknown".
TEST(StatementMessagesTest, AnswersKeepTheirContent) {
  for (int code = 0; code <= static_cast<int>(StatementErrorCode::kOther); ++code) {
    ForwardAnswer answer;
    answer.outcome = ForwardOutcome::kAnswered;
    answer.result.error = StatementError{static_cast<StatementErrorCode>(code), "why"};
    const auto parsed = ParseForwardAnswer(ToJson(answer));
    ASSERT_TRUE(parsed && parsed->result.error);
    EXPECT_EQ(parsed->result.error->code, answer.result.error->code);
    EXPECT_EQ(parsed->result.error->message, "why");
  }
  for (const ForwardOutcome outcome :
       {ForwardOutcome::kNotRun, ForwardOutcome::kNoRoom, ForwardOutcome::kUnknown}) {
    ForwardAnswer answer;
    answer.outcome = outcome;
    answer.reason = "why";
    answer.retry_after = milliseconds(30);
    const auto parsed = ParseForwardAnswer(ToJson(answer));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->outcome, outcome);
    EXPECT_EQ(parsed->reason, "why");
    EXPECT_EQ(parsed->retry_after, answer.retry_after);
  }
  EXPECT_FALSE(ParseForwardAnswer(R"({"outcome":"later version"})"));
  EXPECT_FALSE(ParseStatementMessage("{}"));
  EXPECT_FALSE(ParseStatementMessage("[1]"));
}

// Guards against a statement that ran and is told as not run, or that is not tried elsewhere
// although it certainly did not run.
TEST(StatementMessagesTest, TheErrorOfTheLinkTellsWhetherTheStatementMayHaveRun) {
  const auto outcome = [](PeerError error, const std::string& code) {
    PeerAnswer reply;
    reply.error = error;
    reply.code = code;
    return ToForwardAnswer(reply);
  };
  EXPECT_EQ(outcome(PeerError::kNotSent, "").outcome, ForwardOutcome::kNotRun);
  EXPECT_FALSE(outcome(PeerError::kNotSent, "").responded);
  EXPECT_EQ(outcome(PeerError::kMaybeReceived, "").outcome, ForwardOutcome::kUnknown);
  EXPECT_FALSE(outcome(PeerError::kMaybeReceived, "").responded);
  for (const char* code : {"unknown_kind", "stopping", "unreadable"}) {
    EXPECT_EQ(outcome(PeerError::kRefused, code).outcome, ForwardOutcome::kNotRun);
  }
  for (const char* code : {"too_large", "bad_answer", "later_version"}) {
    EXPECT_EQ(outcome(PeerError::kRefused, code).outcome, ForwardOutcome::kUnknown);
  }
  EXPECT_EQ(outcome(PeerError::kNone, "").outcome, ForwardOutcome::kUnknown);
}

class StatementExchangeTest : public testing::Test {
 protected:
  struct Request {
    std::string kind;
    std::string body;
    Duration timeout;
    PeerCallback callback;
  };

  StatementExchangeTest()
      : grants(this->clock),
        logger(LogLevel::kError, LogFormat::kText, this->clock, [](const std::string&) {}),
        relay(
            SessionRelayOptions{"dc", "m"}, SessionRelayHooks{}, this->grants, this->clock,
            this->clock, [] { return 0; }, this->logger, this->metrics),
        sessions(this->relay, this->clock, this->metrics),
        exchange("i1", this->MakeHooks(), this->sessions) {}

  StatementExchangeHooks MakeHooks() {
    StatementExchangeHooks hooks;
    hooks.call = [this](const Endpoint&, const std::string& kind, const std::string& body,
                        Duration timeout, PeerCallback callback) {
      this->requests.push_back(Request{kind, body, timeout, std::move(callback)});
    };
    hooks.link_open = [this](const Endpoint&) { return this->link_open; };
    return hooks;
  }

  void Send() {
    this->exchange.Send(this->holder, MakeForwarded("EXEC put a 1"), milliseconds(500),
                        [this](const ForwardAnswer& answer) { this->answers.push_back(answer); });
  }

  void Answer(std::size_t request, PeerError error) {
    PeerAnswer answer;
    answer.error = error;
    answer.body = "null";
    const PeerCallback callback = this->requests.at(request).callback;
    callback(answer);
  }

  ManualClock clock;
  PrimaryGrants grants;
  Metrics metrics;
  Logger logger;
  SessionRelay relay;
  ForwardedSessions sessions;
  const ConnectionHolder holder{"h", "dc", Endpoint{"10.0.0.1", 1}, 1};
  std::vector<Request> requests;
  std::vector<ForwardAnswer> answers;
  bool link_open = false;
  StatementExchange exchange;
};

// Guards against a write with an unknown outcome because its holder cannot be reached at all.
TEST_F(StatementExchangeTest, AStatementIsSentOnlyOnAnOpenLink) {
  this->Send();
  ASSERT_EQ(this->requests.size(), 1U);
  EXPECT_EQ(this->requests[0].kind, "end");
  EXPECT_EQ(ParseEndMessage(this->requests[0].body)->session, 0U);
  EXPECT_EQ(this->requests[0].timeout, StatementExchange::kConnectTimeout);
  // The link may have been opened after all, but the statement was not sent on it.
  this->Answer(0, PeerError::kMaybeReceived);
  ASSERT_EQ(this->answers.size(), 1U);
  EXPECT_EQ(this->answers[0].outcome, ForwardOutcome::kNotRun);
  EXPECT_FALSE(this->answers[0].responded);
  EXPECT_EQ(this->requests.size(), 1U);

  this->Send();
  this->Answer(1, PeerError::kNone);
  ASSERT_EQ(this->requests.size(), 3U);
  EXPECT_EQ(this->requests[2].kind, "statement");
  this->link_open = true;
  this->Send();
  ASSERT_EQ(this->requests.size(), 4U);
  EXPECT_EQ(this->requests[3].kind, "statement");
  EXPECT_EQ(this->requests[3].timeout, milliseconds(500));
  this->Answer(3, PeerError::kMaybeReceived);
  EXPECT_EQ(this->answers.back().outcome, ForwardOutcome::kUnknown);
  EXPECT_EQ(this->requests.size(), 4U);
}

// Guards against a transaction that stays open at the holder because one message was lost.
TEST_F(StatementExchangeTest, TheEndOfATransactionIsRepeated) {
  this->exchange.End(this->holder, 7);
  this->Answer(0, PeerError::kMaybeReceived);
  this->Answer(1, PeerError::kNotSent);
  ASSERT_EQ(this->requests.size(), 3U);
  EXPECT_EQ(ParseEndMessage(this->requests[2].body)->session, 7U);
  this->Answer(2, PeerError::kNotSent);
  EXPECT_EQ(this->requests.size(), 3U);
}

TEST_F(StatementExchangeTest, RequestsOfOtherRelaysReachTheSessions) {
  const auto handlers = this->exchange.Handlers();
  std::vector<PeerReply> replies;
  const auto respond = [&replies](const PeerReply& reply) { replies.push_back(reply); };
  PeerRequest request;
  request.member = "other";
  request.body = "[]";
  handlers.at("statement")(request, respond);
  handlers.at("end")(request, respond);
  EXPECT_EQ(replies.at(0).error_code, "unreadable");
  EXPECT_EQ(replies.at(1).error_code, "unreadable");
  ForwardedStatement statement = MakeForwarded("EXEC put a 1");
  request.body = ToJson(StatementMessage{"i2", statement});
  handlers.at("statement")(request, respond);
  // No such transaction is open.
  EXPECT_EQ(ParseForwardAnswer(replies.at(2).body)->result.error->code,
            StatementErrorCode::kAborted);
  statement.start = ForwardedStart::kBegin;
  statement.number = 1;
  request.body = ToJson(StatementMessage{"i2", statement});
  handlers.at("statement")(request, respond);
  // The holder has no configuration yet.
  EXPECT_EQ(ParseForwardAnswer(replies.at(3).body)->outcome, ForwardOutcome::kNotRun);
  request.body = ToJson(EndMessage{"i2", 7});
  handlers.at("end")(request, respond);
  EXPECT_EQ(replies.at(4).error_code, "");
}

}  // namespace
}  // namespace sycamoredrum
