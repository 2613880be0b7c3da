#include "allowance_messages.h"

#include <gtest/gtest.h>

#include <memory>

#include "allowance_exchange.h"
#include "fleet_messages.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

TEST(AllowanceMessagesTest, HeartbeatsAndAnswersKeepTheirContent) {
  HeartbeatMessage message;
  message.allowance = AllowanceHeartbeat{"i", 0.25, {{3, 17}}, 9};
  const auto parsed = ParseHeartbeat(ToJson(message));
  ASSERT_TRUE(parsed && parsed->allowance);
  EXPECT_EQ(parsed->allowance->incarnation, "i");
  EXPECT_EQ(parsed->allowance->processor_share, 0.25);
  EXPECT_EQ(parsed->allowance->held, message.allowance->held);
  EXPECT_EQ(parsed->allowance->holders_version, 9U);
  HeartbeatAnswer answer;
  answer.allowance = AllowanceLeases{
      {{3, 17}}, 10, std::map<int, SlotHolder>{{3, {"m", "dc", Endpoint{"10.0.0.1", 7}, 17}}}};
  const auto parsed_answer = ParseHeartbeatAnswer(ToJson(answer));
  ASSERT_TRUE(parsed_answer && parsed_answer->allowance && parsed_answer->allowance->holders);
  EXPECT_EQ(parsed_answer->allowance->leases, answer.allowance->leases);
  const SlotHolder& holder = parsed_answer->allowance->holders->at(3);
  EXPECT_EQ(holder.endpoint, (Endpoint{"10.0.0.1", 7}));
  EXPECT_EQ(holder.generation, 17U);
}

TEST(AllowanceMessagesTest, RequestsAndRecordsKeepTheirContent) {
  const AllowanceBatch batch{5, {{23, 8, {{"a", {2, 30}}, {"b", {1, 0}}}}}};
  const auto parsed = ParseAllowanceBatch(ToJson(batch));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->configuration, 5U);
  EXPECT_EQ(parsed->requests.at(0).generation, 8U);
  EXPECT_EQ(parsed->requests.at(0).wanted.at("a").ahead, 30);
  const AllowanceBatchAnswer answer{6, {{true, {{"a", {1, milliseconds(40)}}}}}};
  const auto parsed_answer = ParseAllowanceBatchAnswer(ToJson(answer));
  ASSERT_TRUE(parsed_answer);
  EXPECT_EQ(parsed_answer->answers.at(0).granted.at("a").retry_after, milliseconds(40));
  StoredAllowances stored;
  stored.era = 3;
  stored.record[4] = SlotRecord{"m", "i", 7, 8, "dc", Endpoint{"10.0.0.1", 7}};
  const auto parsed_record = ParseStoredAllowances(ToJson(stored));
  ASSERT_TRUE(parsed_record);
  EXPECT_EQ(parsed_record->era, 3U);
  EXPECT_EQ(parsed_record->record, stored.record);
}

// A part number outside the range would be used as an index.
TEST(AllowanceMessagesTest, InvalidMessagesAreDropped) {
  EXPECT_FALSE(ParseAllowanceBatch(R"({"configuration":1,"requests":[[24,1,{}]]})"));
  EXPECT_FALSE(ParseAllowanceBatch(R"({"configuration":1,"requests":[[-1,1,{}]]})"));
  EXPECT_FALSE(ParseStoredAllowances(R"({"era":0,"slots":[]})"));
  EXPECT_FALSE(ParseStoredAllowances("{}"));
  HeartbeatMessage message;
  message.allowance = AllowanceHeartbeat{"i", 1, {{24, 1}}, 0};
  EXPECT_FALSE(ParseHeartbeat(ToJson(message)));
}

/// A relay whose requests to the holder `other` are recorded.
class AllowanceBatchTest : public testing::Test {
 protected:
  AllowanceBatchTest() {
    AllowanceExchangeHooks hooks;
    hooks.call = [this](const Endpoint&, const std::string& body,
                        const std::function<void(const std::optional<std::string>&)>& done) {
      this->sent.push_back(body);
      this->answers.push_back(done);
    };
    hooks.request_configuration = [this] { ++this->configuration_requests; };
    this->exchange = std::make_unique<AllowanceExchange>(
        MemberRecord{"self", "i", "dc", Endpoint{}}, 1, AllowanceOptions{}, hooks, this->clock,
        this->clock, [] { return 0; }, this->logger, this->metrics);
    RateLimits limits{4, {}};
    for (int i = 0; i < 30; ++i) {
      limits.organisations["o" + std::to_string(i)] = RateLimit{10.0 + i, 10};
    }
    this->exchange->SetLimits(limits);
    HeartbeatAnswer answer;
    answer.epoch = 1;
    answer.stamp = 1;
    answer.allowance = AllowanceLeases{{}, 1, std::map<int, SlotHolder>{}};
    for (int slot = 0; slot < kAllowanceSlots; ++slot) {
      (*answer.allowance->holders)[slot] = SlotHolder{"other", "dc", Endpoint{"10.0.0.1", 7}, 1};
    }
    this->exchange->OnAnswer(answer, this->clock.Now());
  }

  void Admit(int organisation) {
    this->exchange->Admit("o" + std::to_string(organisation), this->clock.Now() + milliseconds(50),
                          [](const AdmissionVerdict&) {});
  }

  ManualClock clock;
  Logger logger{LogLevel::kError, LogFormat::kText, this->clock, [](const std::string&) {}};
  Metrics metrics;
  std::vector<std::string> sent;
  std::vector<std::function<void(const std::optional<std::string>&)>> answers;
  int configuration_requests = 0;
  std::unique_ptr<AllowanceExchange> exchange;
};

// Guards against a message for each operation: a holder takes about 0.1 ms for each message.
TEST_F(AllowanceBatchTest, RequestsToOneHolderAreSentTogetherAtMostEvery5Milliseconds) {
  for (int i = 0; i < 10; ++i) {
    this->Admit(i);
  }
  this->clock.Advance(milliseconds(1));
  ASSERT_EQ(this->sent.size(), 1U);
  for (int i = 10; i < 20; ++i) {
    this->Admit(i);
    this->clock.Advance(std::chrono::microseconds(300));
  }
  EXPECT_EQ(this->sent.size(), 1U);
  this->clock.Advance(milliseconds(5));
  ASSERT_EQ(this->sent.size(), 2U);
  std::size_t organisations = 0;
  for (const std::string& body : this->sent) {
    const std::optional<AllowanceBatch> batch = ParseAllowanceBatch(body);
    ASSERT_TRUE(batch);
    for (const AllowanceRequest& request : batch->requests) {
      organisations += request.wanted.size();
    }
  }
  EXPECT_EQ(organisations, 20U);
}

TEST_F(AllowanceBatchTest, ALaterConfigurationOfAnotherMemberIsRequested) {
  this->exchange->OnRequest("other", ToJson(AllowanceBatch{4, {}}));
  EXPECT_EQ(this->configuration_requests, 0);
  this->exchange->OnRequest("other", ToJson(AllowanceBatch{5, {}}));
  EXPECT_EQ(this->configuration_requests, 1);
}

// Guards against a label for each of thousands of organisations.
TEST_F(AllowanceBatchTest, TheNumberOfLabelsIsBounded) {
  for (int i = 0; i < 30; ++i) {
    this->Admit(i);
  }
  this->clock.Advance(milliseconds(60));
  EXPECT_EQ(this->metrics.Value(Metric::kOrganisationOperations, {"o29", "rate"}), 1);
  EXPECT_EQ(this->metrics.Value(Metric::kOrganisationOperations, {"other", "rate"}), 10);
}

}  // namespace
}  // namespace sycamoredrum
