#include "sycamoredrum/connection_shares.h"

#include <gtest/gtest.h>

#include <numeric>

namespace sycamoredrum {
namespace {

int Sum(const std::map<std::string, int>& shares) {
  return std::accumulate(shares.begin(), shares.end(), 0,
                         [](int sum, const auto& share) { return sum + share.second; });
}

// One process has more than half of the demand.
TEST(ConnectionSharesTest, FollowTheDemand) {
  const auto shares =
      ShareConnections(21, {{"a", 0.5}, {"b", 0.5}, {"c", 0.5}, {"d", 1}, {"e", 1}, {"f", 4}});
  EXPECT_LE(Sum(shares), 21);
  EXPECT_GE(shares.at("f"), 8) << "it has more than half of the demand";
}

TEST(ConnectionSharesTest, AreEvenWithoutDemand) {
  const auto shares = ShareConnections(43, {{"a", 0}, {"b", 0}, {"c", 0}, {"d", 0}});
  for (const auto& [process, share] : shares) {
    EXPECT_EQ(share, 9) << process;
  }
}

TEST(ConnectionSharesTest, ExceedTheSharedPartOnlyByMinimumShares) {
  for (int cap = 1; cap < 70; ++cap) {
    for (int processes = 1; processes < 90; processes += 7) {
      std::map<std::string, std::optional<double>> demand;
      for (int i = 0; i < processes; ++i) {
        demand["p" + std::to_string(i)] = (i * 37 % 11) / 3.0;
      }
      EXPECT_LE(Sum(ShareConnections(cap, demand)),
                std::max(static_cast<int>(cap * kSharedPartOfCap), 1) + processes * kMinShare);
    }
  }
}

// After a restart of all processes, two of eight have reported their demand; the others must still
// get a share.
TEST(ConnectionSharesTest, UnknownDemandCountsAsTheMean) {
  const auto shares = ShareConnections(43, {{"a", 12},
                                            {"b", 8},
                                            {"c", std::nullopt},
                                            {"d", std::nullopt},
                                            {"e", std::nullopt},
                                            {"f", std::nullopt},
                                            {"g", std::nullopt},
                                            {"h", std::nullopt}});
  EXPECT_LE(Sum(shares), 43);
  EXPECT_GE(shares.at("h"), 4);
  EXPECT_GT(shares.at("a"), shares.at("b"));
}

// With more processes than connections, each with an occasional statement, a strict split of the
// cap would leave most processes without a connection.
TEST(ConnectionSharesTest, EveryOneOfManyProcessesMayOpenAConnection) {
  std::map<std::string, std::optional<double>> demand;
  for (int i = 0; i < 78; ++i) {
    demand["p" + std::to_string(100 + i)] = i < 10 ? 2.0 : 0.0;
  }
  for (const auto& [process, share] : ShareConnections(61, demand)) {
    EXPECT_GE(share, kMinShare) << process;
  }
}

}  // namespace
}  // namespace sycamoredrum
