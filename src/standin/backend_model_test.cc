#include "backend_model.h"

#include <gtest/gtest.h>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

BackendRequest Write(std::uint64_t term, std::string id, std::string statement) {
  BackendRequest request;
  request.request_id = std::move(id);
  request.fingerprint = statement;
  request.write = true;
  request.term = term;
  request.statements = {std::move(statement)};
  return request;
}

class BackendModelTest : public testing::Test {
 protected:
  void MakePrimary(BackendModel& server, std::uint64_t term) {
    ASSERT_TRUE(server.Fence(term, "p").accepted);
    ASSERT_TRUE(server.Promote(term, "p").accepted);
  }
  void Replicate(BackendModel& from, const std::string& from_id, BackendModel& to) {
    const LogRequest request = to.NextLogRequest();
    to.ApplyLog(from_id, request, from.ReadLog(request));
  }

  ManualClock clock;
  BackendModel a{"a", "orders", 2, clock};
  BackendModel b{"b", "orders", 2, clock};
};

// Guards against running a request id twice, and against returning its recorded results to a
// different request.
TEST_F(BackendModelTest, RequestRecordReturnsTheFirstResults) {
  this->MakePrimary(this->a, 1);
  const auto connection = *this->a.Open();
  const BackendReply first = this->a.Execute(connection, Write(1, "r1", "ADD x 1"));
  const BackendReply second = this->a.Execute(connection, Write(1, "r1", "ADD x 1"));
  EXPECT_EQ(first.error, BackendError::kNone);
  EXPECT_TRUE(second.duplicate);
  EXPECT_EQ(second.results, first.results);
  EXPECT_EQ(second.position, first.position);
  EXPECT_EQ(this->a.Get("x"), "1");
  EXPECT_EQ(this->a.Execute(connection, Write(1, "r1", "ADD x 2")).error,
            BackendError::kRequestIdReused);
}

// Guards against a replaced primary that still accepts writes.
TEST_F(BackendModelTest, FencedPrimaryRefusesWrites) {
  this->MakePrimary(this->a, 1);
  const auto connection = *this->a.Open();
  EXPECT_TRUE(this->a.Fence(2, "q").accepted);
  EXPECT_EQ(this->a.Execute(connection, Write(1, "r", "PUT x 1")).error, BackendError::kFenced);
  EXPECT_FALSE(this->a.Fence(1, "p").accepted);
  EXPECT_FALSE(this->a.Promote(1, "p").accepted);
}

// Guards against a former primary that keeps writes missing from its successor's log.
TEST_F(BackendModelTest, FollowingTruncatesTheUnconfirmedTail) {
  this->MakePrimary(this->a, 1);
  this->b.Follow(1, "a");
  this->Replicate(this->a, "a", this->b);
  const auto connection = *this->a.Open();
  this->a.Execute(connection, Write(1, "r", "PUT x old"));
  this->MakePrimary(this->b, 2);
  EXPECT_TRUE(this->a.Follow(2, "b").accepted);
  this->Replicate(this->b, "b", this->a);
  EXPECT_FALSE(this->a.Get("x").has_value());
  EXPECT_EQ(this->a.Status().history, this->b.Status().history);
  EXPECT_FALSE(this->a.IsOpen(connection));
}

// Guards against a replica that applies entries of the old term after it promised a higher one.
TEST_F(BackendModelTest, PromisedReplicaIgnoresTheOldPrimary) {
  this->MakePrimary(this->a, 1);
  this->b.Follow(1, "a");
  const LogRequest request = this->b.NextLogRequest();
  const LogPage page = this->a.ReadLog(request);
  this->b.Fence(2, "q");
  this->b.ApplyLog("a", request, page);
  EXPECT_EQ(this->b.Status().last_index, 0U);
}

// Guards against reads from a server that lacks the required position.
TEST_F(BackendModelTest, ReadChecksTheRequiredPosition) {
  this->MakePrimary(this->a, 1);
  const auto connection = *this->a.Open();
  BackendRequest read;
  read.statements = {"GET x"};
  read.require = {1, 2};
  EXPECT_EQ(this->a.Execute(connection, read).error, BackendError::kBehind);
  this->a.Execute(connection, Write(1, "", "PUT x 1"));
  EXPECT_EQ(this->a.Execute(connection, read).results, std::vector<std::string>{"1"});
  read.require = {0, 2};
  EXPECT_EQ(this->a.Execute(connection, read).error, BackendError::kNotInHistory);
}

// Guards against a lost update between concurrent transactions, and against opening more
// connections than the cap allows.
TEST_F(BackendModelTest, TransactionsAreIsolatedAndConnectionsCapped) {
  this->MakePrimary(this->a, 1);
  const auto first = *this->a.Open();
  const auto second = *this->a.Open();
  EXPECT_FALSE(this->a.Open().has_value());
  BackendRequest begin = Write(1, "", "ADD x 1");
  begin.step = TransactionStep::kBegin;
  EXPECT_EQ(this->a.Execute(first, begin).results, std::vector<std::string>{"1"});
  EXPECT_EQ(this->a.Execute(second, Write(1, "", "ADD x 5")).results,
            std::vector<std::string>{"5"});
  BackendRequest commit = Write(1, "c", "GET x");
  commit.step = TransactionStep::kCommit;
  EXPECT_EQ(this->a.Execute(first, commit).error, BackendError::kStatement);
  EXPECT_EQ(this->a.Get("x"), "5");
}

}  // namespace
}  // namespace sycamoredrum
