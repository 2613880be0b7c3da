#include "holder_list.h"

#include <gtest/gtest.h>

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

class HolderListTest : public testing::Test {
 protected:
  HolderListTest() {
    for (int i = 0; i < 6; ++i) {
      const std::string name = "m" + std::to_string(i);
      this->fleet.members[name] = MemberRecord{
          name, "1", i < 3 ? "a" : "b", Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}};
    }
    this->fleet.connection_caps = {{"orders", 10}};
    this->fleet.data_centres = {"a"};
  }

  void Beat(std::uint64_t epoch, TimePoint now) {
    for (const auto& [name, record] : this->fleet.members) {
      HeartbeatMessage message;
      message.member = name;
      message.processor_share = 0.5;
      this->list.OnHeartbeat(epoch, message, now);
    }
  }

  HeartbeatAnswer Answer(std::uint64_t known_version) const {
    HeartbeatAnswer answer;
    this->list.AddTo(answer, known_version);
    return answer;
  }

  HolderList list;
  HolderList::Fleet fleet;
};

// Guards against lists that change with each heartbeat after a new leader was elected.
TEST_F(HolderListTest, ANewLeaderSendsAListWhenItKnowsTheMembers) {
  this->Beat(1, kStart);
  EXPECT_FALSE(this->list.RefreshDue(kStart + milliseconds(1900)));
  EXPECT_FALSE(this->Answer(5).holders);
  ASSERT_TRUE(this->list.RefreshDue(kStart + seconds(2)));
  this->list.Refresh(this->fleet, kStart + seconds(2));
  const HeartbeatAnswer first = this->Answer(0);
  ASSERT_TRUE(first.holders);
  EXPECT_EQ(first.holders->size(), 3U);
  EXPECT_FALSE(this->Answer(first.holders_version).holders);
  EXPECT_FALSE(this->list.RefreshDue(kStart + milliseconds(2100)));
  // The next leader computes the same version.
  this->Beat(2, kStart + seconds(9));
  EXPECT_FALSE(this->Answer(first.holders_version).holders);
  this->list.Refresh(this->fleet, kStart + seconds(11));
  EXPECT_FALSE(this->Answer(first.holders_version).holders);
}

// Guards against statements that are sent to a relay that has ended or is frozen.
TEST_F(HolderListTest, SilentAndUnknownMembersHoldNothing) {
  this->Beat(1, kStart);
  this->fleet.silent = {"m1"};
  MemberRecord unknown = this->fleet.members.at("m0");
  unknown.member = "new";
  this->fleet.members["new"] = unknown;
  this->list.Refresh(this->fleet, kStart + seconds(2));
  const HeartbeatAnswer answer = this->Answer(0);
  ASSERT_TRUE(answer.holders);
  ASSERT_EQ(answer.holders->size(), 2U);
  EXPECT_EQ((*answer.holders)[0].member, "m0");
  EXPECT_EQ((*answer.holders)[1].member, "m2");
}

// Guards against a change of deployments whose caps are large enough, and against a list that stays
// in use when the fleet has become smaller.
TEST_F(HolderListTest, WhereForwardingDoesNotApplyMembersHaveNoList) {
  this->Beat(1, kStart);
  this->fleet.connection_caps = {{"orders", 12}};
  this->list.Refresh(this->fleet, kStart + seconds(2));
  EXPECT_FALSE(this->Answer(0).holders);
  const HeartbeatAnswer withdrawn = this->Answer(5);
  ASSERT_TRUE(withdrawn.holders);
  EXPECT_TRUE(withdrawn.holders->empty());
  EXPECT_EQ(withdrawn.holders_version, 0U);
}

TEST_F(HolderListTest, HeartbeatsCarryTheListOnlyWhereItIsNeeded) {
  HeartbeatMessage message;
  message.member = "m";
  EXPECT_EQ(ToJson(message).find("processor_share"), std::string::npos);
  EXPECT_EQ(ToJson(message).find("holders"), std::string::npos);
  EXPECT_EQ(ToJson(HeartbeatAnswer()).find("holders"), std::string::npos);
  EXPECT_FALSE(ParseHeartbeat(ToJson(message))->processor_share);
  message.processor_share = 0.084;
  message.holders_version = 18446744073709551615U;
  EXPECT_EQ(ParseHeartbeat(ToJson(message))->processor_share, 0.084);
  EXPECT_EQ(ParseHeartbeat(ToJson(message))->holders_version, message.holders_version);
  this->Beat(1, kStart);
  this->list.Refresh(this->fleet, kStart + seconds(2));
  const HeartbeatAnswer answer = this->Answer(0);
  const auto parsed = ParseHeartbeatAnswer(ToJson(answer));
  ASSERT_TRUE(parsed && parsed->holders);
  EXPECT_EQ(*parsed->holders, *answer.holders);
  EXPECT_EQ(parsed->holders_version, answer.holders_version);
}

}  // namespace
}  // namespace sycamoredrum
