#include "sycamoredrum/grant_holders.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace sycamoredrum {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{};

TEST(GrantHoldersTest, AHolderStaysUntilItsLastGrantEnds) {
  GrantHolders holders;
  holders.AddPredecessorGrants("m", kStart + seconds(7));
  holders.Granted("m", 1, kStart + seconds(4));
  EXPECT_EQ(holders.End("m"), kStart + seconds(7));
  holders.LimitPredecessorGrants("m", kStart + seconds(3));
  EXPECT_EQ(holders.End("m"), kStart + seconds(4));
  holders.ForgetExpired(kStart + seconds(3));
  EXPECT_EQ(holders.HoldersAt(kStart + seconds(3)), std::set<std::string>{"m"});
  EXPECT_TRUE(holders.HoldersAt(kStart + seconds(4)).empty());
}

// Guards against a shorter wait for a member that registers again.
TEST(GrantHoldersTest, RegisteringAgainDoesNotShortenAGrant) {
  GrantHolders holders;
  holders.Granted("m", 1, kStart + seconds(9));
  holders.AddPredecessorGrants("m", kStart + seconds(7));
  EXPECT_EQ(holders.End("m"), kStart + seconds(9));
}

// Guards against a late message of a stopped process that ends the grants of its next start.
TEST(GrantHoldersTest, GivingBackDoesNotEndTheGrantsOfALaterRegistration) {
  GrantHolders holders;
  holders.Granted("m", 2, kStart + seconds(4));
  holders.GaveBack("m", 1);
  EXPECT_EQ(holders.End("m"), kStart + seconds(4));
  holders.GaveBack("m", 2);
  EXPECT_TRUE(holders.HoldersAt(kStart).empty());
}

}  // namespace
}  // namespace sycamoredrum
