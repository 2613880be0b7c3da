#include "configuration_sources.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

class ConfigurationSourcesTest : public testing::Test {
 protected:
  ManualClock clock;
  std::mt19937_64 engine{1};
  ConfigurationSources sources{"leader", this->clock, [this] { return this->engine(); }};
};

TEST_F(ConfigurationSourcesTest, TheLeaderServesOnlyAFewMembersAtATime) {
  this->sources.SetVersion(2);
  for (std::size_t i = 0; i < ConfigurationSources::kMaxTransfers; ++i) {
    EXPECT_EQ(this->sources.Choose(absl::StrCat("m", i), "a"), "leader");
  }
  EXPECT_FALSE(this->sources.Choose("late", "a"));
  EXPECT_FALSE(this->sources.Choose("m0", "a")) << "is being served";

  this->sources.OnReport("m0", "a", 2);
  EXPECT_EQ(this->sources.Choose("late", "a"), "m0") << "spares the leader";
}

TEST_F(ConfigurationSourcesTest, AMemberOfTheSameDataCentreIsPreferred) {
  this->sources.SetVersion(2);
  this->sources.OnReport("near", "a", 2);
  for (int i = 0; i < 20; ++i) {
    this->sources.OnReport(absl::StrCat("far", i), "b", 2);
  }
  EXPECT_EQ(this->sources.Choose("m", "a"), "near");
}

// Guards against members that fail during a transfer and count as served for ever.
TEST_F(ConfigurationSourcesTest, ATransferThatTakesTooLongNoLongerCounts) {
  this->sources.SetVersion(2);
  for (std::size_t i = 0; i < ConfigurationSources::kMaxTransfers; ++i) {
    this->sources.Choose(absl::StrCat("m", i), "a");
  }
  this->clock.Advance(ConfigurationSources::kTransferTimeout);
  EXPECT_EQ(this->sources.Choose("late", "a"), "leader");
  EXPECT_EQ(this->sources.Choose("m0", "a"), "leader") << "is served once more";
}

TEST_F(ConfigurationSourcesTest, MembersThatLeftOrHaveAnEarlierVersionServeNobody) {
  this->sources.SetVersion(2);
  this->sources.OnReport("old", "a", 1);
  this->sources.OnReport("left", "a", 2);
  this->sources.Remove("left");
  this->sources.OnReport("restarted", "a", 2);
  this->sources.OnReport("restarted", "a", 0);
  EXPECT_EQ(this->sources.Choose("m", "a"), "leader");
  this->sources.OnReport("m", "a", 2);
  this->sources.SetVersion(3);
  EXPECT_EQ(this->sources.Choose("n", "a"), "leader");
}

// A version that only the leader delivers takes fleet size / kMaxTransfers transfers, one after the
// other. Each member sends a heartbeat every 800 ms and one as soon as it has the version.
TEST_F(ConfigurationSourcesTest, AVersionReaches300MembersWithinThreeHeartbeats) {
  constexpr int kMembers = 300;
  const auto transfer_time = milliseconds(150);
  this->sources.SetVersion(2);
  std::map<int, TimePoint> arrives;
  std::set<int> done;
  const TimePoint begin = this->clock.Now();
  for (int step = 0; static_cast<int>(done.size()) < kMembers; ++step) {
    ASSERT_LE(this->clock.Now() - begin, milliseconds(2400)) << done.size();
    for (const auto& [member, at] : arrives) {
      if (at <= this->clock.Now() && done.insert(member).second) {
        this->sources.OnReport(absl::StrCat("m", member), absl::StrCat(member % 6), 2);
      }
    }
    for (int member = step % 80; member < kMembers; member += 80) {
      const std::string name = absl::StrCat("m", member);
      if (done.count(member) == 0 && this->sources.Choose(name, absl::StrCat(member % 6))) {
        arrives.emplace(member, this->clock.Now() + transfer_time);
      }
    }
    this->clock.Advance(milliseconds(10));
  }
}

}  // namespace
}  // namespace sycamoredrum
