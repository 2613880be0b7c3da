#include "configuration_update.h"

#include <gtest/gtest.h>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

class ConfigurationUpdateTest : public testing::Test {
 protected:
  ManualClock clock;
  std::string log;
  Logger logger{LogLevel::kInfo, LogFormat::kText, this->clock,
                [this](const std::string& line) { this->log += line; }};
  Metrics metrics;
  ConfigurationUpdate update{this->clock, this->logger, this->metrics};
};

TEST_F(ConfigurationUpdateTest, TheAgeCountsFromTheFirstVersionThatIsNotInUse) {
  this->update.Applied(3);
  this->update.Announce(5, "a");
  this->clock.Advance(milliseconds(400));
  this->update.Announce(8, "b");
  this->clock.Advance(milliseconds(300));
  EXPECT_EQ(this->update.Pending(), 8U);
  EXPECT_EQ(this->update.Age(), milliseconds(700));

  this->update.Applied(5);
  EXPECT_EQ(this->update.Pending(), 8U);
  EXPECT_EQ(this->update.Age(), milliseconds(300));

  this->update.Applied(8);
  EXPECT_EQ(this->update.Pending(), 0U);
  EXPECT_EQ(this->update.Age(), Duration::zero());
}

TEST_F(ConfigurationUpdateTest, AVersionIsOverdueUntilItIsApplied) {
  this->update.Announce(5, "a");
  EXPECT_FALSE(this->update.Overdue());
  this->clock.Advance(ConfigurationUpdate::kMaxWaitForMembers + milliseconds(1));
  EXPECT_TRUE(this->update.Overdue());
  this->update.Applied(5);
  EXPECT_FALSE(this->update.Overdue());
}

// Guards against a fleet that reads a large configuration from the store all at once, while its
// members are still receiving it from each other.
TEST_F(ConfigurationUpdateTest, AVersionThatIsBeingReceivedIsOverdueLater) {
  this->update.Announce(5, "a");
  EXPECT_TRUE(this->update.BeginRequest());
  EXPECT_FALSE(this->update.BeginRequest());
  this->clock.Advance(ConfigurationUpdate::kMaxWaitForMembers + milliseconds(1));
  EXPECT_FALSE(this->update.Overdue());
  this->clock.Advance(ConfigurationUpdate::kMaxTransferTime -
                      ConfigurationUpdate::kMaxWaitForMembers);
  EXPECT_TRUE(this->update.Overdue());
  this->update.EndRequest();
  EXPECT_TRUE(this->update.BeginRequest());
}

TEST_F(ConfigurationUpdateTest, AnEarlierVersionIsNotAwaited) {
  this->update.Applied(8);
  this->update.Announce(5, "a");
  this->update.Announce(8, "a");
  EXPECT_EQ(this->update.Pending(), 0U);
}

// Otherwise a relay that cannot reach its source writes a line each second.
TEST_F(ConfigurationUpdateTest, OnlyTheFirstFailureOfASeriesIsLogged) {
  this->update.Announce(5, "a");
  this->update.RequestFailed("10.0.0.1:80", "no answer in time");
  this->update.RequestFailed("10.0.0.1:80", "no answer in time");
  const std::string event = "configuration_request_failed";
  const std::size_t first = this->log.find(event);
  ASSERT_NE(first, std::string::npos);
  EXPECT_EQ(this->log.find(event, first + 1), std::string::npos);
}

}  // namespace
}  // namespace sycamoredrum
