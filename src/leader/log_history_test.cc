#include "log_history.h"

#include <gtest/gtest.h>

namespace sycamoredrum {
namespace {

TEST(LogHistoryTest, EntriesBeyondTheStartOfALaterTermAreRolledBack) {
  const TermHistory history({{2, 51}, {4, 80}});
  EXPECT_FALSE(HasRolledBackEntries(history, LogPosition{1, 50}));
  EXPECT_TRUE(HasRolledBackEntries(history, LogPosition{1, 51}));
  EXPECT_FALSE(HasRolledBackEntries(history, LogPosition{2, 79}));
  EXPECT_TRUE(HasRolledBackEntries(history, LogPosition{2, 80}));
  EXPECT_TRUE(HasRolledBackEntries(history, LogPosition{3, 70})) << "no entry of term 3 is left";
  EXPECT_FALSE(HasRolledBackEntries(history, LogPosition{4, 200}));
  EXPECT_FALSE(HasRolledBackEntries(history, LogPosition{5, 90}));
  EXPECT_FALSE(HasRolledBackEntries(history, LogPosition{}));
  EXPECT_FALSE(HasRolledBackEntries(TermHistory(), LogPosition{1, 7}));
}

TEST(LogHistoryTest, EntriesFromBeforeALaterTermAreShared) {
  const TermHistory history({{2, 51}, {4, 80}});
  EXPECT_EQ(SharedEntries(history, LogPosition{1, 60}), 50U);
  EXPECT_EQ(SharedEntries(history, LogPosition{2, 90}), 79U);
  EXPECT_EQ(SharedEntries(history, LogPosition{2, 60}), 60U);
  EXPECT_EQ(SharedEntries(history, LogPosition{4, 99}), 99U);
}

TEST(LogHistoryTest, TermsBetweenThatOfAPromotedServerAndItsOwnAreRolledBack) {
  const TermHistory history = AfterPromotion(TermHistory({{4, 80}}), 5, LogPosition{2, 90});
  EXPECT_TRUE(HasRolledBackEntries(history, LogPosition{4, 85}));
  EXPECT_TRUE(HasRolledBackEntries(history, LogPosition{4, 120}));
  EXPECT_FALSE(HasRolledBackEntries(history, LogPosition{2, 85}));
  EXPECT_TRUE(HasRolledBackEntries(history, LogPosition{2, 91}));
}

TEST(LogHistoryTest, APromotionEndsTheTermsAfterTheEndOfTheLog) {
  const TermHistory history({{2, 51}, {4, 80}});
  EXPECT_EQ(AfterPromotion(history, 5, LogPosition{4, 99}),
            TermHistory({{2, 51}, {4, 80}, {5, 100}}));
  EXPECT_EQ(AfterPromotion(history, 5, LogPosition{2, 60}), TermHistory({{2, 51}, {5, 61}}));
  EXPECT_EQ(AfterPromotion(history, 4, LogPosition{4, 99}), history);
  EXPECT_EQ(AfterPromotion(history, 5, LogPosition{3, 70}), TermHistory({{3, 70}, {5, 71}}));
  EXPECT_EQ(AfterPromotion(history, 5, LogPosition{1, 40}), TermHistory({{1, 40}, {5, 41}}));
  EXPECT_EQ(AfterPromotion(history, 5, LogPosition{}), TermHistory({{5, 1}}));
}

TEST(LogHistoryTest, OnlyTheLatestTermsAreKept) {
  TermHistory history;
  for (std::uint64_t term = 1; term <= 100; ++term) {
    history = AfterPromotion(history, term, LogPosition{term - 1, term * 10});
  }
  EXPECT_EQ(history.Starts().size(), 16U);
  EXPECT_EQ(history.Starts().back(), (TermStart{100, 1001}));
}

}  // namespace
}  // namespace sycamoredrum
