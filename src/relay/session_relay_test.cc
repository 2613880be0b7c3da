#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "session_relay_fixture_test.h"

namespace sycamoredrum {
namespace {

// Guards against trust in a primary that started again without its log: a new connection brings its
// position, which says nothing of what was acknowledged before.
TEST_F(SessionRelayTest, APositionOfALostLogIsNoProof) {
  TestCaller& writer = this->Open("place");
  for (int i = 0; i < 5; ++i) {
    this->Do(writer, Make(StatementKind::kWrite, "w" + std::to_string(i)));
  }
  const auto before = this->relay->NewestPosition("orders", 1);
  ASSERT_TRUE(before);
  this->database.At(0).log_terms = {1};
  // The write holds the only connection, so the read needs a new one.
  this->database.At(0).work = milliseconds(300);
  writer.session->Handle(Make(StatementKind::kWrite, "slow"));
  TestCaller& reader = this->Open("place");
  reader.session->Handle(Make(StatementKind::kRead, "r"));
  this->Advance(milliseconds(100));
  EXPECT_EQ(this->relay->NewestPosition("orders", 1)->position, before->position);
  EXPECT_EQ(this->relay->NewestPosition("orders", 1)->as_of, before->as_of);
}

// Guards against a route that does not exist being served by some default.
TEST_F(SessionRelayTest, OpensOnlyConfiguredRoutes) {
  EXPECT_EQ(this->relay->Open("unknown", {}), nullptr);
}

TEST_F(SessionRelayTest, WritesRunOnceAtThePrimary) {
  TestCaller& caller = this->Open("place");
  EXPECT_FALSE(this->Do(caller, Make(StatementKind::kWrite, "w1")).error);
  ASSERT_EQ(this->RunsOf("w1").size(), 1U);
  EXPECT_EQ(this->RunsOf("w1")[0].server, "orders-0");
}

// Guards against a write that is sent again after its answer was lost.
TEST_F(SessionRelayTest, LostAnswerOfAWriteIsAnUnknownOutcome) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kRead, "warm"));
  this->database.At(0).lost_answers = 1;
  this->Do(caller, Make(StatementKind::kWrite, "w1"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownOutcome);
  this->Advance(seconds(2));
  EXPECT_EQ(this->RunsOf("w1").size(), 1U);
}

TEST_F(SessionRelayTest, LostAnswerOfACommitIsAnUnknownOutcomeOnlyIfItWrote) {
  for (const bool writes : {true, false}) {
    TestCaller& caller = this->Open("place");
    this->Do(caller, Make(StatementKind::kBegin, "b"));
    this->Do(caller, Make(writes ? StatementKind::kWrite : StatementKind::kRead, "s"));
    this->database.At(0).lost_answers = 1;
    this->Do(caller, Make(StatementKind::kCommit, "c"));
    EXPECT_EQ(caller.LastError(),
              writes ? StatementErrorCode::kUnknownOutcome : StatementErrorCode::kAborted);
    EXPECT_EQ(caller.results.back().state, TransactionState::kNone);
  }
}

TEST_F(SessionRelayTest, LostAnswerOfAReadIsReadElsewhere) {
  TestCaller& caller = this->Open("stock");
  this->Do(caller, Make(StatementKind::kRead, "r0"));
  for (int i = 0; i < 3; ++i) {
    this->database.At(i).lost_answers = i == 2 ? 0 : 1;
  }
  EXPECT_FALSE(this->Do(caller, Make(StatementKind::kRead, "r1")).error);
}

// Guards against reads that see less than the route promises: each must require a position that the
// primary's log had within the allowed age.
TEST_F(SessionRelayTest, ReadsRequireARecentPosition) {
  TestCaller& writer = this->Open("place");
  TestCaller& reader = this->Open("stock");
  this->Do(writer, Make(StatementKind::kWrite, "w1"));
  this->Advance(milliseconds(1600));
  this->Do(writer, Make(StatementKind::kWrite, "w2"));
  this->Do(reader, Make(StatementKind::kRead, "r1"));
  ASSERT_EQ(this->RunsOf("r1").size(), 1U);
  const SimulatedDatabase::Run run = this->RunsOf("r1")[0];
  // w1 was acknowledged more than 1.5 s before, w2 was not.
  EXPECT_GE(run.log_end.index, 2U);
  ASSERT_TRUE(run.required);
  EXPECT_GE(run.required->index, 2U);
}

TEST_F(SessionRelayTest, AReplicaThatIsBehindIsNotReadFrom) {
  TestCaller& writer = this->Open("place");
  TestCaller& reader = this->Open("quotes");
  this->database.At(1).lag = seconds(30);
  this->database.At(2).lag = seconds(30);
  this->Do(reader, Make(StatementKind::kWrite, "w1"));
  this->Do(writer, Make(StatementKind::kWrite, "w2"));
  this->Do(reader, Make(StatementKind::kRead, "r1"));
  ASSERT_EQ(this->RunsOf("r1").size(), 1U);
  EXPECT_EQ(this->RunsOf("r1")[0].server, "orders-0")
      << "only the primary has this session's write";
}

// Guards against positions of a rolled-back log: after a promotion a session may not wait for them.
TEST_F(SessionRelayTest, PositionsOfAnEarlierGenerationAreNotRequired) {
  TestCaller& caller = this->Open("quotes");
  this->database.At(1).isolated = true;
  this->database.At(2).isolated = true;
  this->Do(caller, Make(StatementKind::kWrite, "w1"));
  this->database.At(0).down = true;
  this->database.At(1).isolated = false;
  this->database.At(2).isolated = false;
  this->database.Promote("orders-1", milliseconds(10));
  this->Advance(milliseconds(50));
  this->Grant(1, 2);
  EXPECT_FALSE(this->Do(caller, Make(StatementKind::kRead, "r1")).error);
}

TEST_F(SessionRelayTest, WithoutAGrantPrimaryStatementsWaitAndAreThenRefused) {
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  TestCaller& caller = this->Open("place");
  caller.session->Handle(Make(StatementKind::kRead, "r1"));
  this->Advance(milliseconds(500));
  EXPECT_TRUE(caller.results.empty());
  this->Grant(1, 2);
  this->database.At(1).role = Role::kPrimary;
  this->Advance(milliseconds(200));
  EXPECT_TRUE(caller.LastSucceeded());

  this->grants.Revoke(1, "orders", 2);
  this->grants.FinishRevocation("orders");
  caller.session->Handle(Make(StatementKind::kRead, "r2"));
  this->Advance(milliseconds(1100));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kBusy);
  EXPECT_TRUE(this->RunsOf("r2").empty()) << "a refusal must be true";
}

// Guards against acknowledging a write of a primary that may have been replaced meanwhile.
TEST_F(SessionRelayTest, AWriteThatOutlivesItsGrantHasAnUnknownOutcome) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kRead, "warm"));
  this->database.At(0).work = milliseconds(300);
  caller.session->Handle(Make(StatementKind::kWrite, "w1"));
  this->Advance(milliseconds(100));
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  this->Advance(milliseconds(400));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownOutcome);
}

// A planned change waits for statements under way before the grant is given back.
TEST_F(SessionRelayTest, AWriteThatEndsBeforeTheRevocationIsAcknowledgedSucceeds) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kRead, "warm"));
  this->database.At(0).work = milliseconds(100);
  caller.session->Handle(Make(StatementKind::kWrite, "w1"));
  this->Advance(milliseconds(20));
  this->grants.Revoke(1, "orders", 1);
  EXPECT_EQ(this->relay->OpenPrimaryWork("orders"), 1U);
  this->Advance(milliseconds(200));
  EXPECT_TRUE(caller.LastSucceeded());
  EXPECT_EQ(this->relay->OpenPrimaryWork("orders"), 0U);
}

TEST_F(SessionRelayTest, TransactionsKeepOneConnection) {
  TestCaller& first = this->Open("place");
  TestCaller& second = this->Open("place");
  this->Do(first, Make(StatementKind::kBegin, "b1"));
  this->Do(second, Make(StatementKind::kBegin, "b2"));
  for (int i = 0; i < 3; ++i) {
    this->Do(first, Make(StatementKind::kWrite, "f" + std::to_string(i)));
    this->Do(second, Make(StatementKind::kWrite, "s" + std::to_string(i)));
  }
  this->Do(first, Make(StatementKind::kCommit, "f3"));
  this->Do(second, Make(StatementKind::kCommit, "s3"));
  std::set<int> connections_of_first;
  std::set<int> connections_of_second;
  for (const SimulatedDatabase::Run& run : this->database.runs) {
    EXPECT_TRUE(run.in_transaction) << run.id;
    (run.id[0] == 'f' ? connections_of_first : connections_of_second).insert(run.connection);
  }
  EXPECT_EQ(connections_of_first.size(), 1U);
  EXPECT_EQ(connections_of_second.size(), 1U);
  EXPECT_NE(connections_of_first, connections_of_second);
}

TEST_F(SessionRelayTest, ATransactionIsAbortedWhenItsPrimaryIsReplaced) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kBegin, "b"));
  this->Do(caller, Make(StatementKind::kWrite, "w"));
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  this->Do(caller, Make(StatementKind::kCommit, "c"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
  EXPECT_TRUE(this->RunsOf("c").empty());
}

TEST_F(SessionRelayTest, AFailedTransactionTakesOnlyItsEnd) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kBegin, "b"));
  this->Do(caller, Make(StatementKind::kWrite, "w"));
  this->database.At(0).lost_answers = 1;
  this->Do(caller, Make(StatementKind::kRead, "r"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
  EXPECT_EQ(caller.results.back().state, TransactionState::kFailed);
  this->Do(caller, Make(StatementKind::kRead, "r2"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kMalformed);
  EXPECT_FALSE(this->Do(caller, Make(StatementKind::kRollback, "x")).error);
  EXPECT_EQ(caller.results.back().state, TransactionState::kNone);
}

TEST_F(SessionRelayTest, IdleTransactionsAreRolledBack) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kBegin, "b"));
  this->Do(caller, Make(StatementKind::kWrite, "w"));
  this->Advance(seconds(4));
  EXPECT_EQ(this->relay->OpenTransactions(), 0U);
  this->Do(caller, Make(StatementKind::kCommit, "c"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
  EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, 1U);
}

TEST_F(SessionRelayTest, ACallerThatLeavesInATransactionRollsBack) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kBegin, "b"));
  this->Do(caller, Make(StatementKind::kWrite, "w"));
  caller.session->CallerGone();
  caller.session.reset();
  this->Advance(milliseconds(100));
  // The connection is free again and outside a transaction.
  TestCaller& next = this->Open("place");
  this->Do(next, Make(StatementKind::kRead, "r"));
  EXPECT_FALSE(this->RunsOf("r")[0].in_transaction);
  EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, 1U);
}

// Guards against a caller that leaves while its connection is still being prepared.
TEST_F(SessionRelayTest, ACallerThatLeavesBeforeItsStatementIsSentDoesNotRunIt) {
  TestCaller& caller = this->Open("place");
  Statement set = Make(StatementKind::kSet, "s");
  set.name = "zone";
  set.data = "1";
  this->Do(caller, set);
  caller.session->Handle(Make(StatementKind::kWrite, "w"));
  this->clock.Advance(milliseconds(13));
  caller.session->CallerGone();
  this->Advance(milliseconds(500));
  EXPECT_TRUE(this->RunsOf("w").empty());
}

// Guards against values of one session that reach another one on the same connection.
TEST_F(SessionRelayTest, SessionVariablesFollowTheirSession) {
  TestCaller& first = this->Open("place");
  TestCaller& second = this->Open("place");
  Statement set = Make(StatementKind::kSet, "s");
  set.name = "mode";
  set.data = "fast";
  this->Do(first, set);
  for (int round = 0; round < 3; ++round) {
    this->Do(first, Make(StatementKind::kRead, "f"));
    this->Do(second, Make(StatementKind::kRead, "g"));
  }
  for (const SimulatedDatabase::Run& run : this->database.runs) {
    const std::map<std::string, std::string> expected =
        run.id == "f" ? std::map<std::string, std::string>{{"mode", "fast"}}
                      : std::map<std::string, std::string>{};
    EXPECT_EQ(run.variables, expected) << run.id;
  }
}

// Guards against prepared statements of different sessions that have the same name.
TEST_F(SessionRelayTest, PreparedNamesOfDifferentSessionsDoNotCollide) {
  TestCaller& reader = this->Open("place");
  TestCaller& writer = this->Open("place");
  Statement prepare = Make(StatementKind::kPrepare, "p");
  prepare.name = "s1";
  prepare.shape = "one";
  this->Do(reader, prepare);
  prepare.shape = "two";
  prepare.writes = true;
  this->Do(writer, prepare);
  Statement execute = Make(StatementKind::kExecute, "er");
  execute.name = "s1";
  this->Do(reader, execute);
  execute.id = "ew";
  this->Do(writer, execute);
  ASSERT_EQ(this->RunsOf("er").size(), 1U);
  ASSERT_EQ(this->RunsOf("ew").size(), 1U);
  EXPECT_NE(this->RunsOf("er")[0].name, this->RunsOf("ew")[0].name);
  EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, 2U) << "one of them wrote";
}

TEST_F(SessionRelayTest, ExecutingAnUnknownNameIsRefused) {
  TestCaller& caller = this->Open("place");
  Statement execute = Make(StatementKind::kExecute, "e");
  execute.name = "missing";
  this->Do(caller, execute);
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownStatement);
}

TEST_F(SessionRelayTest, ARemovedServerIsNotUsedAnyMore) {
  TestCaller& caller = this->Open("stock");
  this->Do(caller, Make(StatementKind::kRead, "warm"));
  auto records = this->database.Records();
  records.erase("orders-1");
  this->relay->SetServers(records);
  for (int i = 0; i < 10; ++i) {
    this->Do(caller, Make(StatementKind::kRead, "r" + std::to_string(i)));
    EXPECT_NE(this->RunsOf("r" + std::to_string(i))[0].server, "orders-1");
  }
}

TEST_F(SessionRelayTest, ADrainingServerGetsNoNewReads) {
  TestCaller& caller = this->Open("stock");
  this->Do(caller, Make(StatementKind::kRead, "warm"));
  auto records = this->database.Records();
  records["orders-2"].state = BackendServerState::kDraining;
  this->relay->SetServers(records);
  for (int i = 0; i < 10; ++i) {
    this->Do(caller, Make(StatementKind::kRead, "r" + std::to_string(i)));
    EXPECT_NE(this->RunsOf("r" + std::to_string(i))[0].server, "orders-2");
  }
}

TEST_F(SessionRelayTest, ARouteThatWasRemovedIsRefusedFromTheNextTransaction) {
  TestCaller& caller = this->Open("place");
  this->Do(caller, Make(StatementKind::kBegin, "b"));
  this->Do(caller, Make(StatementKind::kWrite, "w"));
  auto changed = std::make_shared<RelayConfiguration>(*this->relay->Configuration());
  changed->version = 2;
  changed->routes.erase("place");
  this->relay->SetConfiguration(changed);
  EXPECT_FALSE(this->Do(caller, Make(StatementKind::kCommit, "c")).error);
  this->Do(caller, Make(StatementKind::kRead, "r"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownDatabase);
}

// Guards against a stop that closes sessions whose statement has no answer: what waits did not run,
// and what was sent is still answered.
TEST_F(SessionRelayTest, AStopRefusesWhatWaitsAndLetsTheRestEnd) {
  this->database.At(0).work = milliseconds(200);
  TestCaller& running = this->Open("place");
  running.session->Handle(Make(StatementKind::kWrite, "running"));
  this->Advance(milliseconds(100));
  TestCaller& waiting = this->Open("place");
  this->relay->SetShares({{"orders-0", 1}});
  waiting.session->Handle(Make(StatementKind::kWrite, "waiting"));
  this->relay->StopTaking("the proxy stops");
  EXPECT_EQ(waiting.LastError(), StatementErrorCode::kBusy);
  EXPECT_TRUE(running.results.empty());
  TestCaller& late = this->Open("place");
  late.session->Handle(Make(StatementKind::kWrite, "late"));
  EXPECT_EQ(late.LastError(), StatementErrorCode::kBusy);
  this->Advance(milliseconds(300));
  EXPECT_TRUE(running.LastSucceeded());
  EXPECT_TRUE(this->RunsOf("waiting").empty());
  EXPECT_TRUE(this->RunsOf("late").empty());
}

// Each statement that a server still runs at the end of a stop gets an answer that is true.
TEST_F(SessionRelayTest, TheEndOfAStopAnswersWhatIsStillRunning) {
  for (int i = 0; i < 3; ++i) {
    this->database.At(i).work = seconds(30);
  }
  const auto start = [this](const std::string& route, StatementKind kind) -> TestCaller& {
    TestCaller& caller = this->Open(route);
    caller.session->Handle(Make(kind, route));
    return caller;
  };
  TestCaller& writer = start("place", StatementKind::kWrite);
  TestCaller& reader = start("place", StatementKind::kRead);
  TestCaller& transaction = this->Open("quotes");
  transaction.session->Handle(Make(StatementKind::kBegin, "b"));
  transaction.session->Handle(Make(StatementKind::kWrite, "t"));
  this->Advance(milliseconds(300));
  ASSERT_EQ(transaction.results.size(), 1U);
  this->relay->EndStatements("the proxy stops");
  EXPECT_EQ(writer.LastError(), StatementErrorCode::kUnknownOutcome);
  EXPECT_EQ(reader.LastError(), StatementErrorCode::kTimeout);
  EXPECT_EQ(transaction.LastError(), StatementErrorCode::kAborted);
}

}  // namespace
}  // namespace sycamoredrum
