#include "sycamoredrum/connection_holders.h"

#include <gtest/gtest.h>

#include <string>

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr int kKeys = 4000;

ConnectionHolder Holder(const std::string& member, double share = 1,
                        const std::string& data_centre = "dc") {
  return ConnectionHolder{member, data_centre, Endpoint{"10.0.0.1", 1}, share};
}

std::string Chosen(const ConnectionHolders& holders, const std::string& organisation,
                   TimePoint now = kStart) {
  const ConnectionHolder* holder = holders.Choose("s", "dc", organisation, {}, now);
  return holder == nullptr ? "" : holder->member;
}

std::map<std::string, int> Spread(const ConnectionHolders& holders) {
  std::map<std::string, int> counts;
  for (int i = 0; i < kKeys; ++i) {
    ++counts[Chosen(holders, "organisation-" + std::to_string(i))];
  }
  return counts;
}

TEST(ConnectionHoldersTest, ForwardingAppliesBelowTwoConnectionsForEachRelay) {
  EXPECT_TRUE(ForwardingApplies(73, 115));
  EXPECT_TRUE(ForwardingApplies(5, 3));
  EXPECT_FALSE(ForwardingApplies(6, 3));
  EXPECT_FALSE(ForwardingApplies(21, 1));
}

// Guards against a holder with a small processor that gets as many statements as a large one.
TEST(ConnectionHoldersTest, SpreadsInProportionToTheProcessorShare) {
  ConnectionHolders holders("self");
  holders.Set({Holder("a", 1), Holder("b", 1), Holder("c", 2)});
  const auto counts = Spread(holders);
  EXPECT_NEAR(counts.at("a"), kKeys / 4, kKeys / 25);
  EXPECT_NEAR(counts.at("b"), kKeys / 4, kKeys / 25);
  EXPECT_NEAR(counts.at("c"), kKeys / 2, kKeys / 25);
}

// Guards against a change of the list that makes all organisations open new connections.
TEST(ConnectionHoldersTest, AHolderThatLeavesMovesOnlyItsOwnPart) {
  std::vector<ConnectionHolder> list;
  for (int i = 0; i < 8; ++i) {
    list.push_back(Holder("h" + std::to_string(i)));
  }
  ConnectionHolders before("self");
  before.Set(list);
  list.erase(list.begin() + 3);
  ConnectionHolders after("self");
  after.Set(list);
  int moved = 0;
  for (int i = 0; i < kKeys; ++i) {
    const std::string organisation = std::to_string(i);
    const std::string holder = Chosen(before, organisation);
    if (holder != "h3") {
      EXPECT_EQ(Chosen(after, organisation), holder);
    } else {
      ++moved;
    }
  }
  EXPECT_NEAR(moved, kKeys / 8, kKeys / 40);
}

// Guards against several relays that hold the connections of one organisation to one server.
TEST(ConnectionHoldersTest, AllRelaysChooseTheSameHolder) {
  ConnectionHolders one("x");
  ConnectionHolders other("y");
  one.Set({Holder("a"), Holder("b"), Holder("c")});
  other.Set({Holder("c"), Holder("a"), Holder("b")});
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(Chosen(one, std::to_string(i)), Chosen(other, std::to_string(i)));
  }
}

// Guards against a relay that sends statements to itself.
TEST(ConnectionHoldersTest, AHolderUsesItsOwnConnections) {
  ConnectionHolders holders("a");
  holders.Set({Holder("a"), Holder("other", 1, "elsewhere")});
  EXPECT_EQ(Chosen(holders, "x"), "");
  EXPECT_TRUE(holders.IsHolder("dc"));
  EXPECT_FALSE(holders.IsHolder("elsewhere"));
  EXPECT_EQ(holders.Choose("s", "unknown", "x", {}, kStart), nullptr);
}

// Guards against statements that are lost one after the other at a holder that does not respond.
TEST(ConnectionHoldersTest, AHolderThatDoesNotRespondIsNotChosenForASecond) {
  ConnectionHolders holders("self");
  holders.Set({Holder("a"), Holder("b")});
  const std::string first = Chosen(holders, "x");
  EXPECT_TRUE(holders.MarkUnresponsive(first, kStart));
  EXPECT_FALSE(holders.MarkUnresponsive(first, kStart));
  const std::string second = Chosen(holders, "x", kStart + milliseconds(999));
  EXPECT_NE(second, first);
  EXPECT_NE(second, "");
  EXPECT_EQ(Chosen(holders, "x", kStart + seconds(1)), first);
  // The next list does not make it usable again at once.
  holders.Set({Holder("a"), Holder("b"), Holder("c", 0.0001)});
  EXPECT_NE(Chosen(holders, "x", kStart + milliseconds(500)), first);
  EXPECT_FALSE(holders.AnsweredSince(first, kStart));
  EXPECT_TRUE(holders.MarkAnswered(first, kStart + milliseconds(600)));
  EXPECT_FALSE(holders.MarkAnswered(first, kStart + milliseconds(600)));
  EXPECT_TRUE(holders.AnsweredSince(first, kStart + milliseconds(600)));
  EXPECT_EQ(Chosen(holders, "x", kStart + milliseconds(600)), first);
}

TEST(ConnectionHoldersTest, TheLeaderChoosesTheEightLargestOfEachDataCentre) {
  std::vector<ConnectionHolder> candidates;
  for (int i = 0; i < 12; ++i) {
    const std::string number = std::to_string(10 + i);
    candidates.push_back(Holder("a" + number, i < 4 ? 0.1 : 0.5, "a"));
    candidates.push_back(Holder("b" + number, i == 11 ? 1 : 0.2, "b"));
    candidates.push_back(Holder("c" + number, 1, "c"));
  }
  const auto chosen = ChooseConnectionHolders(candidates, {"a", "b", "d"});
  ASSERT_EQ(chosen.size(), 2 * kMaxHoldersPerDataCentre);
  for (std::size_t i = 0; i < kMaxHoldersPerDataCentre; ++i) {
    EXPECT_EQ(chosen[i].data_centre, "a");
    EXPECT_EQ(chosen[i].processor_share, 0.5);
  }
  EXPECT_EQ(chosen[kMaxHoldersPerDataCentre].member, "b21");
}

}  // namespace
}  // namespace sycamoredrum
