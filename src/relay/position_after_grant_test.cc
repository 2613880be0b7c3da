// What a process learns of the primary's log from answers that arrive around the end of its grant.

#include <gtest/gtest.h>

#include <string>

#include "session_relay_fixture_test.h"

namespace sycamoredrum {
namespace {

class PositionAfterGrantTest : public SessionRelayTest {
 protected:
  /// Begins a read-only transaction at server 0, the only one that is known, under a grant that
  /// ends half a second later.
  TestCaller& Begin(std::uint64_t generation) {
    for (const int replica : {1, 2}) {
      this->relay->RemoveServer(this->database.Id(replica));
    }
    this->Grant(0, generation, milliseconds(500));
    TestCaller& caller = this->Open("place");
    EXPECT_FALSE(
        this->RunStatement(caller, MakeStatement(StatementKind::kBeginReadOnly, "begin")).error);
    EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kRead, "first")).error);
    return caller;
  }
};

// Guards against reads that lack commits older than the route's maximum age: a transaction that
// reads from the former primary goes on after the end of the grant, and its answers passed for
// positions of the present primary.
TEST_F(PositionAfterGrantTest, AnswerInATransactionAfterTheEndOfTheGrantIsNoPositionOfThePrimary) {
  std::uint64_t generation = 1;
  for (const std::string route : {"stock", "quotes"}) {
    TestCaller& transaction = this->Begin(++generation);
    // Longer than the maximum ages, shorter than transactions may be idle.
    this->Advance(milliseconds(2800));
    ASSERT_FALSE(this->grants.Current("orders"));
    EXPECT_FALSE(
        this->RunStatement(transaction, MakeStatement(StatementKind::kRead, "later")).error);
    this->RunStatement(this->Open(route), MakeStatement(StatementKind::kRead, "read" + route));
    EXPECT_TRUE(this->RunsOf("read" + route).empty()) << route;
    transaction.session->OnCallerDisconnected();
  }
}

// Guards against reads at a former primary: the grant ends while the state of the session is being
// set on the connection, and the read-only transaction is begun there all the same. A
// read_your_writes route with a maximum age of 2.5 s may still read there with a recent position.
TEST_F(PositionAfterGrantTest, NoReadOnlyTransactionBeginsAfterTheEndOfTheGrant) {
  std::uint64_t generation = 1;
  for (const std::string route : {"place", "stock"}) {
    for (const int replica : {1, 2}) {
      this->relay->RemoveServer(this->database.Id(replica));
    }
    this->Grant(0, ++generation);
    TestCaller& caller = this->Open(route);
    Statement set = MakeStatement(StatementKind::kSet, "set" + route);
    set.name = "zone" + route;
    set.data = "1";
    this->RunStatement(caller, set);
    this->RunStatement(caller, MakeStatement(StatementKind::kBeginReadOnly, "begin" + route));
    this->database.At(0).work = milliseconds(300);
    caller.session->Handle(MakeStatement(StatementKind::kRead, "read" + route));
    this->Advance(milliseconds(100));
    ASSERT_TRUE(this->RunsOf("read" + route).empty());
    // A revocation ends the grant, and another server becomes the primary.
    ASSERT_TRUE(this->grants.Revoke(1, "orders", generation));
    this->grants.FinishRevocation("orders");
    this->Advance(milliseconds(1500));
    EXPECT_TRUE(this->RunsOf("read" + route).empty()) << route;
    this->database.At(0).work = milliseconds(5);
    caller.session->OnCallerDisconnected();
    this->Advance(milliseconds(100));
  }
}

// Guards against writes on a log without acknowledged commits: the primary restarts under its id
// without its log and still leads. Reads are refused by the position that they require; a write
// carries none, but the new connection tells the end of the log.
TEST_F(PositionAfterGrantTest, NoWriteRunsAtAPrimaryThatRestartedWithoutItsLog) {
  TestCaller& caller = this->Open("place");
  for (int i = 0; i < 20; ++i) {
    ASSERT_FALSE(
        this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w" + std::to_string(i)))
            .error);
  }
  SimulatedDatabase::Server& primary = this->database.At(0);
  primary.down = true;  // Ends the connections.
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "down"));
  primary.log_terms = {1};
  primary.down = false;
  this->Advance(seconds(1));
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "read"));
  EXPECT_TRUE(this->RunsOf("read").empty());
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "write"));
  EXPECT_TRUE(this->RunsOf("write").empty());
}

// Guards against commits that a planned change loses: the answer to a commit arrives after that to
// a later statement, so that the newest observation does not include it.
TEST_F(PositionAfterGrantTest, CommitWithALateAnswerIsReportedWhenItsGrantEnds) {
  TestCaller& writer = this->Open("place");
  TestCaller& reader = this->Open("place");
  this->RunStatement(writer, MakeStatement(StatementKind::kRead, "opens a connection"));
  this->database.At(0).work = milliseconds(100);
  writer.session->Handle(MakeStatement(StatementKind::kWrite, "commit"));
  this->Advance(milliseconds(10));
  this->database.At(0).work = milliseconds(5);
  this->RunStatement(reader, MakeStatement(StatementKind::kRead, "later"));
  ASSERT_EQ(writer.results.size(), 1U);
  this->grants.Revoke(1, "orders", 1);
  this->Advance(milliseconds(200));
  ASSERT_TRUE(writer.LastSucceeded());
  this->grants.FinishRevocation("orders");
  const LogPosition end = SimulatedDatabase::End(this->database.At(0));
  EXPECT_LT(this->relay->NewestPosition("orders", 1)->position, end);
  EXPECT_EQ(this->relay->LastPosition("orders", 1), end);
  EXPECT_EQ(this->relay->LastConfirmed("orders", 1), end);
}

// Guards against the use of a former primary by a process that gets no revocation: a commit whose
// answer arrives after the grant has expired, and a statement that begins then.
TEST_F(PositionAfterGrantTest, NothingIsDoneUnderAnExpiredGrant) {
  this->Grant(0, 2, milliseconds(200));
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "opens a connection"));
  this->database.At(0).work = milliseconds(300);
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "commit"));
  EXPECT_EQ(this->RunsOf("commit").size(), 1U);
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownOutcome);
  EXPECT_FALSE(this->relay->LastConfirmed("orders", 2));
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "next"));
  EXPECT_TRUE(this->RunsOf("next").empty());
}

}  // namespace
}  // namespace sycamoredrum
