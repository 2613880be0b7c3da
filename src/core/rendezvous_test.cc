#include "sycamoredrum/rendezvous.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sycamoredrum {
namespace {

// Guards against duties moving between live members when another member leaves.
TEST(RendezvousTest, RemovingACandidateKeepsTheOrderOfTheOthers) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  for (const char* key : {"orders", "stock", "quotes"}) {
    std::vector<std::string> expected = RankByRendezvous(key, all);
    expected.erase(std::find(expected.begin(), expected.end(), "c"));
    EXPECT_EQ(RankByRendezvous(key, {"e", "d", "b", "a"}), expected);
  }
}

// Guards against processes that assign a duty to different members because they compute the order
// for different counts.
TEST(RendezvousTest, TopIsAPrefixOfTheWholeOrder) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  for (std::size_t count = 0; count <= 6; ++count) {
    std::vector<std::string> expected = RankByRendezvous("orders", all);
    expected.resize(std::min(count, expected.size()));
    EXPECT_EQ(TopByRendezvous("orders", all, count), expected);
  }
}

}  // namespace
}  // namespace sycamoredrum
