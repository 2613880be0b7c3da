#include "sycamoredrum/fair_queue.h"

#include <gtest/gtest.h>

#include <map>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool AnyGroup(const std::string& /*caller_group*/) { return true; }

class FairQueueTest : public testing::Test {
 protected:
  QueueVerdict Push(const std::string& group, int weight = 1, Duration remaining = seconds(2)) {
    return this->queue.Push(
        QueueEntry{this->next_id++, group, weight, this->clock.Now() + remaining});
  }

  ManualClock clock;
  FairQueue queue{clock, 8};
  std::uint64_t next_id = 1;
};

// Guards against a caller group that gets a share other than its weight, whatever the order of
// arrival.
TEST_F(FairQueueTest, ServesGroupsByWeight) {
  for (int i = 0; i < 4; ++i) {
    this->Push("runaway");
  }
  for (int i = 0; i < 4; ++i) {
    this->Push("orders", 3);
  }
  std::string order;
  while (const auto entry = this->queue.Pop(AnyGroup)) {
    order += entry->caller_group.front();
  }
  EXPECT_EQ(order, "rooororr");
}

// Guards against an entry that waits although its deadline cannot be met, and against refusals that
// continue after a slow period because nothing is served and so no new service time is measured.
TEST_F(FairQueueTest, RefusesEntriesThatWouldMissTheirDeadline) {
  this->queue.RecordServiceTime(milliseconds(100));
  this->queue.SetParallelism(2);
  EXPECT_TRUE(this->Push("orders", 1, milliseconds(1)).accepted);
  EXPECT_TRUE(this->Push("orders", 1, milliseconds(50)).accepted);
  const QueueVerdict refused = this->Push("orders", 1, milliseconds(70));
  EXPECT_FALSE(refused.accepted);
  EXPECT_TRUE(refused.deadline_missed);
  EXPECT_EQ(refused.retry_after, milliseconds(30));
  EXPECT_TRUE(this->Push("orders", 1, milliseconds(100)).accepted);
  EXPECT_FALSE(this->Push("orders", 1, milliseconds(0)).accepted);
}

// Guards against refusals of short requests because one transaction held its connection for long.
TEST_F(FairQueueTest, OneLongServiceTimeDoesNotRefuseShortRequests) {
  this->queue.RecordServiceTime(milliseconds(2));
  this->queue.RecordServiceTime(seconds(60));
  this->queue.SetParallelism(10);
  EXPECT_TRUE(this->Push("orders").accepted);
  EXPECT_TRUE(this->Push("orders", 1, milliseconds(50)).accepted);
}

// Guards against a runaway caller group that fills the queue, so that requests of all other groups
// are refused.
TEST_F(FairQueueTest, FullQueueMakesRoomForLessLoadedGroups) {
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(this->Push("runaway").accepted);
  }
  EXPECT_FALSE(this->Push("runaway").accepted);
  const QueueVerdict verdict = this->Push("orders");
  EXPECT_TRUE(verdict.accepted);
  EXPECT_EQ(verdict.displaced, 8u);
  EXPECT_EQ(this->queue.Size(), 8u);
  while (this->Push("orders").accepted) {
  }
  std::map<std::string, int> served;
  while (const auto entry = this->queue.Pop(AnyGroup)) {
    ++served[entry->caller_group];
  }
  EXPECT_EQ(served["orders"], 4);
  EXPECT_EQ(served["runaway"], 4);
}

// Guards against an entry that is served after its owner removed it, and against a group without
// entries that blocks the rotation.
TEST_F(FairQueueTest, RemovedEntriesAreNotServed) {
  this->Push("orders");
  this->Push("stock");
  EXPECT_TRUE(this->queue.OthersWait("orders"));
  EXPECT_TRUE(this->queue.Remove(QueueTurn{"orders", "", false}, 1));
  EXPECT_FALSE(this->queue.Remove(QueueTurn{"orders", "", false}, 1));
  EXPECT_TRUE(this->queue.OthersWait("orders"));
  EXPECT_FALSE(this->queue.OthersWait("stock"));
  EXPECT_FALSE(this->queue.Pop([](const std::string& group) { return group == "orders"; }));
  EXPECT_EQ(this->queue.Pop(AnyGroup)->id, 2u);
  EXPECT_FALSE(this->queue.Pop(AnyGroup));
}

class OrganisationQueueTest : public FairQueueTest {
 protected:
  QueueVerdict PushFor(const std::string& group, const std::string& organisation, int weight = 1,
                       int organisation_weight = 1, Duration remaining = seconds(2)) {
    return this->queue.Push(QueueEntry{this->next_id++, group, weight,
                                       this->clock.Now() + remaining, organisation,
                                       organisation_weight});
  }
};

// Guards against organisations that change the share of their route, and against an organisation
// that gets a share of it other than its weight.
TEST_F(OrganisationQueueTest, ServesRoutesAndOrganisationsByWeight) {
  for (int i = 0; i < 4; ++i) {
    this->PushFor("place", "a", 2, 1);
  }
  this->PushFor("place", "b", 2, 3);
  this->PushFor("place", "b", 2, 3);
  this->PushFor("stock", "c");
  this->PushFor("stock", "d");
  std::string order;
  while (const auto entry = this->queue.Pop(AnyGroup)) {
    order += entry->organisation;
  }
  EXPECT_EQ(order, "abcbadaa");
}

// Guards against an organisation that loses its place because it could not be served for a moment.
TEST_F(OrganisationQueueTest, SkippedOrganisationKeepsItsPlace) {
  for (const char* const organisation : {"a", "b", "c"}) {
    this->PushFor("place", organisation);
    this->PushFor("place", organisation);
  }
  const auto next = [this](const std::string& except) {
    return this->queue
        .Next(AnyGroup, [&except](const std::string& name, bool) { return name != except; })
        ->organisation;
  };
  EXPECT_EQ(next("a"), "b");
  this->queue.Charge(QueueTurn{"place", "b", false});
  EXPECT_EQ(this->queue.TakeCharged(QueueTurn{"place", "b", false})->id, 3u);
  EXPECT_EQ(next("a"), "c");
  EXPECT_EQ(next(""), "a");
}

// Guards against the displacement of small organisations by one that fills the queue, also from
// another route.
TEST_F(OrganisationQueueTest, FullQueueDisplacesTheOrganisationWithTheMostEntries) {
  for (int i = 0; i < 3; ++i) {
    this->PushFor("place", "small" + std::to_string(i));
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(this->PushFor("stock", "large", 8).accepted);
  }
  EXPECT_FALSE(this->PushFor("stock", "large", 8).accepted);
  EXPECT_EQ(this->PushFor("place", "small3").displaced, 8u);
  EXPECT_EQ(this->PushFor("stock", "small4", 8).displaced, 7u);
  EXPECT_EQ(this->queue.Size("large"), 3u);
  EXPECT_FALSE(this->PushFor("place", "large").accepted);
  EXPECT_EQ(this->queue.Size("large"), 3u);
}

// Guards against the refusal of a small organisation because of the entries of a large one, which
// are not served before it.
TEST_F(OrganisationQueueTest, EstimatedWaitCountsOneRoundOfOtherOrganisations) {
  this->queue.RecordServiceTime(milliseconds(100));
  for (int i = 0; i < 6; ++i) {
    this->PushFor("place", "large");
  }
  EXPECT_TRUE(this->PushFor("place", "small", 1, 1, milliseconds(100)).accepted);
  EXPECT_FALSE(this->PushFor("place", "small", 1, 1, milliseconds(250)).accepted);
  EXPECT_TRUE(this->PushFor("place", "small", 1, 1, milliseconds(300)).accepted);
}

}  // namespace
}  // namespace sycamoredrum
