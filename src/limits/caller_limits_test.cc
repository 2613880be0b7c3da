#include "sycamoredrum/caller_limits.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kKibibyte = 1024;

class CallerLimitsTest : public testing::Test {
 protected:
  CallerLimitsTest() { this->Make(CallerLimitOptions{}); }

  void Make(CallerLimitOptions options) {
    options.budget_bytes = 1000 * kKibibyte;
    options.large_messages = 2;
    options.open_session_timeout = seconds(5);
    options.message_progress_timeout = seconds(5);
    options.answer_progress_timeout = seconds(5);
    options.max_unopened = 3;
    CallerLimitHooks hooks;
    hooks.resume = [this](std::uint64_t number) { this->resumed.push_back(number); };
    hooks.close = [this](std::uint64_t number, LimitKind kind) { this->closed[number] = kind; };
    this->limits = std::make_unique<CallerLimits>(options, hooks, this->clock);
  }

  CallerUsage& Open(std::uint64_t number) {
    this->usages[number] = this->limits->Add(number);
    this->usages[number]->SessionOpened();
    return *this->usages[number];
  }

  void Advance(Duration time) {
    for (; time > Duration::zero(); time -= milliseconds(50)) {
      this->clock.Advance(milliseconds(50));
      this->limits->Tick();
    }
  }

  ManualClock clock;
  std::unique_ptr<CallerLimits> limits;
  std::map<std::uint64_t, std::unique_ptr<CallerUsage>> usages;
  std::vector<std::uint64_t> resumed;
  std::map<std::uint64_t, LimitKind> closed;
};

// Guards against connections that use descriptors without ever opening a session, and against the
// end of sessions that are idle for hours.
TEST_F(CallerLimitsTest, SessionsThatDoNotOpenAreClosedAndIdleOnesAreNot) {
  this->Open(1);
  this->usages[2] = this->limits->Add(2);
  this->Advance(seconds(4));
  EXPECT_TRUE(this->closed.empty());
  this->Advance(seconds(2));
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{2, LimitKind::kOpenSession}}));
  this->Advance(seconds(600));
  EXPECT_EQ(this->closed.size(), 1U);
}

// Guards against half-open connections that keep new callers out until their time limit.
TEST_F(CallerLimitsTest, OldestUnopenedConnectionMakesRoom) {
  this->Open(1);
  for (const std::uint64_t number : {2, 3, 4, 5}) {
    this->usages[number] = this->limits->Add(number);
  }
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{2, LimitKind::kUnopenedSessions}}));
  EXPECT_EQ(this->limits->Unopened(), 3U);
}

// Guards against messages that stop half-way or arrive byte by byte, and against the end of a slow
// but steady sender.
TEST_F(CallerLimitsTest, MessagesMustMakeProgress) {
  CallerUsage& steady = this->Open(1);
  CallerUsage& stopped = this->Open(2);
  CallerUsage& dripping = this->Open(3);
  stopped.SetInput(500);
  for (std::size_t second = 1; second <= 20; ++second) {
    steady.SetInput(second * 300);
    dripping.SetInput(second * 20);
    this->Advance(seconds(1));
  }
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{2, LimitKind::kMessageProgress},
                                                              {3, LimitKind::kMessageProgress}}));
}

// Guards against the end of a caller whose message waits because the relay does not read it.
TEST_F(CallerLimitsTest, MessageOfPausedConnectionHasNoTimeLimit) {
  CallerUsage& usage = this->Open(1);
  usage.SetInput(500);
  usage.SetPaused(true);
  this->Advance(seconds(20));
  usage.SetPaused(false);
  this->Advance(seconds(4));
  EXPECT_TRUE(this->closed.empty());
  this->Advance(seconds(2));
  EXPECT_EQ(this->closed.count(1), 1U);
}

// Guards against responses that stay in memory because nobody reads them.
TEST_F(CallerLimitsTest, ResponsesMustBeRead) {
  CallerUsage& steady = this->Open(1);
  CallerUsage& stopped = this->Open(2);
  stopped.SetUnsent(10 * kKibibyte);
  for (std::size_t second = 1; second <= 20; ++second) {
    steady.SetUnsent((100 - second) * kKibibyte);
    this->Advance(seconds(1));
  }
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{2, LimitKind::kAnswerProgress}}));
}

// Guards against memory that grows with the number of connections, and against the choice of
// ordinary connections or of those that make progress.
TEST_F(CallerLimitsTest, ShortMemoryClosesLargestHolderWithoutProgress) {
  CallerUsage& ordinary = this->Open(1);
  CallerUsage& stopped = this->Open(2);
  CallerUsage& fresh = this->Open(3);
  ordinary.AddStatement(2 * kKibibyte);
  stopped.SetUnsent(300 * kKibibyte);
  this->Advance(seconds(2));
  fresh.SetUnsent(690 * kKibibyte);
  EXPECT_TRUE(this->closed.empty());
  this->Open(4).SetInput(20 * kKibibyte);
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{2, LimitKind::kMemory}}));
  EXPECT_EQ(this->limits->Used(BudgetPart::kResponses), 690 * kKibibyte);
}

// Guards against the copies of many large messages at the same time.
TEST_F(CallerLimitsTest, LargeMessagesWaitForEachOther) {
  EXPECT_TRUE(this->Open(1).RequestLarge());
  EXPECT_TRUE(this->Open(2).RequestLarge());
  EXPECT_FALSE(this->Open(3).RequestLarge());
  EXPECT_FALSE(this->Open(4).RequestLarge());
  this->usages[1]->ReleaseLarge();
  EXPECT_EQ(this->resumed, std::vector<std::uint64_t>{3});
  EXPECT_TRUE(this->usages[3]->HasLarge());
  this->usages.erase(2);
  EXPECT_EQ(this->resumed, (std::vector<std::uint64_t>{3, 4}));
}

// Guards against senders that stop half-way and so keep all others from sending large messages.
TEST_F(CallerLimitsTest, StalledLargeMessageGivesWayToThoseThatWait) {
  for (const std::uint64_t number : {1, 2}) {
    CallerUsage& usage = this->Open(number);
    usage.SetInput(40 * kKibibyte);
    EXPECT_TRUE(usage.RequestLarge());
  }
  this->Advance(seconds(3));
  EXPECT_TRUE(this->closed.empty());
  this->usages[1]->SetInput(80 * kKibibyte);
  EXPECT_FALSE(this->Open(3).RequestLarge());
  this->Advance(milliseconds(100));
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{2, LimitKind::kMemory}}));
  EXPECT_EQ(this->resumed, std::vector<std::uint64_t>{3});
}

// Guards against callers that keep the permission for large messages by not reading their answers.
TEST_F(CallerLimitsTest, LargeMessageWithUnreadAnswersGivesWayToThoseThatWait) {
  EXPECT_TRUE(this->Open(1).RequestLarge());
  EXPECT_TRUE(this->Open(2).RequestLarge());
  this->usages[1]->SetUnsent(90 * kKibibyte);
  EXPECT_FALSE(this->Open(3).RequestLarge());
  this->Advance(seconds(2));
  EXPECT_EQ(this->closed, (std::map<std::uint64_t, LimitKind>{{1, LimitKind::kMemory}}));
  EXPECT_EQ(this->resumed, std::vector<std::uint64_t>{3});
}

// Guards against memory that counts as used after its connection has ended.
TEST_F(CallerLimitsTest, EndedConnectionsHoldNothing) {
  CallerUsage& usage = this->Open(1);
  usage.SetInput(10);
  usage.AddStatement(20);
  usage.SetUnsent(30);
  this->usages.clear();
  EXPECT_EQ(this->limits->Used(BudgetPart::kInput), 0U);
  EXPECT_EQ(this->limits->Used(BudgetPart::kStatements), 0U);
  EXPECT_EQ(this->limits->Used(BudgetPart::kResponses), 0U);
}

// Guards against a default that leaves a small VM without large messages or exceeds its memory.
TEST(DivideMemoryTest, SmallestMachine) {
  CallerLimitOptions options;
  DivideMemory(112'000'000, options);
  EXPECT_GE(options.large_messages, 4U);
  EXPECT_LE(options.budget_bytes + options.large_messages * CallerLimits::kLargeMessageCost,
            std::size_t{60'000'000});
  DivideMemory(1'000'000, options);
  EXPECT_EQ(options.large_messages, 1U);
}

}  // namespace
}  // namespace sycamoredrum
