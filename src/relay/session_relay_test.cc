#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "session_relay_fixture_test.h"

namespace sycamoredrum {
namespace {

// Guards against using the position of a primary that restarted without its log. Such a server
// sends its small position on a new connection, although larger positions were acknowledged before.
// Guards against lost commits after a promotion: a repeated request to end the grant, whose first
// answer was lost, was answered without a position.
TEST_F(SessionRelayTest, LastPositionIsKnownAfterTheEndOfTheGrant) {
  this->relay->ObservePosition("orders", 1, {LogPosition{1, 30}, this->clock.Now()});
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  EXPECT_EQ(this->relay->LastPosition("orders", 1), (LogPosition{1, 30}));
  EXPECT_EQ(this->relay->LastPosition("orders", 3), (LogPosition{1, 30}));
  EXPECT_FALSE(this->relay->LastPosition("orders", 0));
}

TEST_F(SessionRelayTest, APositionOfALostLogIsIgnored) {
  TestCaller& writer = this->Open("place");
  for (int i = 0; i < 5; ++i) {
    this->RunStatement(writer, MakeStatement(StatementKind::kWrite, "w" + std::to_string(i)));
  }
  const auto before = this->relay->NewestPosition("orders", 1);
  ASSERT_TRUE(before);
  this->database.At(0).log_terms = {1};
  // The write holds the only connection, so the read needs a new one.
  this->database.At(0).work = milliseconds(300);
  writer.session->Handle(MakeStatement(StatementKind::kWrite, "slow"));
  TestCaller& reader = this->Open("place");
  reader.session->Handle(MakeStatement(StatementKind::kRead, "r"));
  this->Advance(milliseconds(100));
  EXPECT_EQ(this->relay->NewestPosition("orders", 1)->position, before->position);
  EXPECT_EQ(this->relay->NewestPosition("orders", 1)->as_of, before->as_of);
}

// Guards against serving an unknown route with a default configuration.
TEST_F(SessionRelayTest, OpensOnlyConfiguredRoutes) {
  EXPECT_EQ(this->relay->Open(SessionRequest{"unknown", ""}, {}).session, nullptr);
}

TEST_F(SessionRelayTest, WritesRunOnceAtThePrimary) {
  TestCaller& caller = this->Open("place");
  EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w1")).error);
  ASSERT_EQ(this->RunsOf("w1").size(), 1U);
  EXPECT_EQ(this->RunsOf("w1")[0].server, "orders-0");
}

// Guards against retrying a write whose answer was lost: it may have run.
TEST_F(SessionRelayTest, LostAnswerOfAWriteIsAnUnknownOutcome) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "warm"));
  this->database.At(0).lost_answers = 1;
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w1"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownOutcome);
  this->Advance(seconds(2));
  EXPECT_EQ(this->RunsOf("w1").size(), 1U);
}

TEST_F(SessionRelayTest, LostAnswerOfACommitIsAnUnknownOutcomeOnlyIfItWrote) {
  for (const bool writes : {true, false}) {
    TestCaller& caller = this->Open("place");
    this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
    this->RunStatement(caller,
                       MakeStatement(writes ? StatementKind::kWrite : StatementKind::kRead, "s"));
    this->database.At(0).lost_answers = 1;
    this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c"));
    EXPECT_EQ(caller.LastError(),
              writes ? StatementErrorCode::kUnknownOutcome : StatementErrorCode::kAborted);
    EXPECT_EQ(caller.results.back().state, TransactionState::kNone);
  }
}

TEST_F(SessionRelayTest, AReadWithALostAnswerIsRetriedElsewhere) {
  TestCaller& caller = this->Open("stock");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r0"));
  for (int i = 0; i < 3; ++i) {
    this->database.At(i).lost_answers = i == 2 ? 0 : 1;
  }
  EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r1")).error);
}

// Guards against reads that are older than the route's maximum age: each read must require a
// position that the primary's log had within that age.
TEST_F(SessionRelayTest, ReadsRequireARecentPosition) {
  TestCaller& writer = this->Open("place");
  TestCaller& reader = this->Open("stock");
  this->RunStatement(writer, MakeStatement(StatementKind::kWrite, "w1"));
  this->Advance(milliseconds(1600));
  this->RunStatement(writer, MakeStatement(StatementKind::kWrite, "w2"));
  this->RunStatement(reader, MakeStatement(StatementKind::kRead, "r1"));
  ASSERT_EQ(this->RunsOf("r1").size(), 1U);
  const SimulatedDatabase::ExecutedStatement run = this->RunsOf("r1")[0];
  // w1 was acknowledged more than the maximum age of 1.5 s before the read, w2 was not.
  EXPECT_GE(run.log_end.index, 2U);
  ASSERT_TRUE(run.required);
  EXPECT_GE(run.required->index, 2U);
}

TEST_F(SessionRelayTest, ALaggingReplicaIsNotReadFrom) {
  TestCaller& writer = this->Open("place");
  TestCaller& reader = this->Open("quotes");
  this->database.At(1).lag = seconds(30);
  this->database.At(2).lag = seconds(30);
  this->RunStatement(reader, MakeStatement(StatementKind::kWrite, "w1"));
  this->RunStatement(writer, MakeStatement(StatementKind::kWrite, "w2"));
  this->RunStatement(reader, MakeStatement(StatementKind::kRead, "r1"));
  ASSERT_EQ(this->RunsOf("r1").size(), 1U);
  EXPECT_EQ(this->RunsOf("r1")[0].server, "orders-0")
      << "only the primary has this session's write";
}

// Guards against requiring positions of a rolled-back log: after a promotion, no server may ever
// reach them.
// Guards against a session that does not see its own commit: a hand-over is given up while this
// process is cut off, and it learns of the next generation together with an older position.
TEST_F(SessionRelayTest, OwnCommitIsRequiredUnderALaterGenerationOfTheSameLog) {
  for (int replica : {1, 2}) {
    this->database.At(replica).lag = seconds(5);
  }
  this->Advance(milliseconds(100));
  const TimePoint observed_at = this->clock.Now();
  const LogPosition before = SimulatedDatabase::End(this->database.At(0));
  TestCaller& caller = this->Open("quotes");
  ASSERT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w")).error);
  const LogPosition commit = SimulatedDatabase::End(this->database.At(0));
  this->Grant(0, 2);
  this->relay->ObservePosition("orders", 2, PositionObservation{before, observed_at});
  // Reads prefer the replicas, which answer faster.
  this->database.At(0).work = milliseconds(300);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kRead, id)).error);
    for (const auto& run : this->RunsOf(id)) {
      EXPECT_GE(run.log_end, commit) << run.server;
    }
  }
}

TEST_F(SessionRelayTest, PositionsOfAnEarlierGenerationAreNotRequired) {
  TestCaller& caller = this->Open("quotes");
  this->database.At(1).isolated = true;
  this->database.At(2).isolated = true;
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w1"));
  this->database.At(0).down = true;
  this->database.At(1).isolated = false;
  this->database.At(2).isolated = false;
  this->database.Promote("orders-1", milliseconds(10));
  this->Advance(milliseconds(50));
  this->Grant(1, 2);
  EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r1")).error);
}

TEST_F(SessionRelayTest, WithoutAGrantPrimaryStatementsWaitAndAreThenRefused) {
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  TestCaller& caller = this->Open("place");
  caller.session->Handle(MakeStatement(StatementKind::kRead, "r1"));
  this->Advance(milliseconds(500));
  EXPECT_TRUE(caller.results.empty());
  this->Grant(1, 2);
  this->database.At(1).role = Role::kPrimary;
  this->Advance(milliseconds(200));
  EXPECT_TRUE(caller.LastSucceeded());

  this->grants.Revoke(1, "orders", 2);
  this->grants.FinishRevocation("orders");
  caller.session->Handle(MakeStatement(StatementKind::kRead, "r2"));
  this->Advance(milliseconds(1100));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kBusy);
  EXPECT_TRUE(this->RunsOf("r2").empty()) << "a refused statement must not run";
}

// Guards against acknowledging a write that ran on a primary that may have been replaced since.
TEST_F(SessionRelayTest, AWriteThatOutlivesItsGrantHasAnUnknownOutcome) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "warm"));
  this->database.At(0).work = milliseconds(300);
  caller.session->Handle(MakeStatement(StatementKind::kWrite, "w1"));
  this->Advance(milliseconds(100));
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  this->Advance(milliseconds(400));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownOutcome);
}

// In a planned change of the primary, the revocation is acknowledged only after the statements in
// flight have ended.
TEST_F(SessionRelayTest, AWriteThatEndsBeforeTheRevocationIsAcknowledgedSucceeds) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "warm"));
  this->database.At(0).work = milliseconds(100);
  caller.session->Handle(MakeStatement(StatementKind::kWrite, "w1"));
  this->Advance(milliseconds(20));
  this->grants.Revoke(1, "orders", 1);
  EXPECT_EQ(this->relay->SessionsOnPrimary("orders"), 1U);
  this->Advance(milliseconds(200));
  EXPECT_TRUE(caller.LastSucceeded());
  EXPECT_EQ(this->relay->SessionsOnPrimary("orders"), 0U);
}

TEST_F(SessionRelayTest, TransactionsKeepOneConnection) {
  TestCaller& first = this->Open("place");
  TestCaller& second = this->Open("place");
  this->RunStatement(first, MakeStatement(StatementKind::kBegin, "b1"));
  this->RunStatement(second, MakeStatement(StatementKind::kBegin, "b2"));
  for (int i = 0; i < 3; ++i) {
    this->RunStatement(first, MakeStatement(StatementKind::kWrite, "f" + std::to_string(i)));
    this->RunStatement(second, MakeStatement(StatementKind::kWrite, "s" + std::to_string(i)));
  }
  this->RunStatement(first, MakeStatement(StatementKind::kCommit, "f3"));
  this->RunStatement(second, MakeStatement(StatementKind::kCommit, "s3"));
  std::set<int> connections_of_first;
  std::set<int> connections_of_second;
  for (const SimulatedDatabase::ExecutedStatement& run : this->database.runs) {
    EXPECT_TRUE(run.in_transaction) << run.id;
    (run.id[0] == 'f' ? connections_of_first : connections_of_second).insert(run.connection);
  }
  EXPECT_EQ(connections_of_first.size(), 1U);
  EXPECT_EQ(connections_of_second.size(), 1U);
  EXPECT_NE(connections_of_first, connections_of_second);
}

TEST_F(SessionRelayTest, ATransactionIsAbortedWhenItsPrimaryIsReplaced) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  this->grants.Revoke(1, "orders", 1);
  this->grants.FinishRevocation("orders");
  this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
  EXPECT_TRUE(this->RunsOf("c").empty());
}

TEST_F(SessionRelayTest, AFailedTransactionAcceptsOnlyItsEnd) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  this->database.At(0).lost_answers = 1;
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
  EXPECT_EQ(caller.results.back().state, TransactionState::kFailed);
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r2"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kMalformed);
  EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kRollback, "x")).error);
  EXPECT_EQ(caller.results.back().state, TransactionState::kNone);
}

TEST_F(SessionRelayTest, IdleTransactionsAreRolledBack) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  this->Advance(seconds(4));
  EXPECT_EQ(this->relay->OpenTransactions(), 0U);
  this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
  EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, 1U);
}

TEST_F(SessionRelayTest, ADisconnectRollsBackTheOpenTransaction) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  caller.session->OnCallerDisconnected();
  caller.session.reset();
  this->Advance(milliseconds(100));
  // The connection is released and no transaction is open on it.
  TestCaller& next = this->Open("place");
  this->RunStatement(next, MakeStatement(StatementKind::kRead, "r"));
  EXPECT_FALSE(this->RunsOf("r")[0].in_transaction);
  EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, 1U);
}

// Guards against sending a statement whose caller disconnected while the backend connection was
// still being prepared.
TEST_F(SessionRelayTest, AStatementIsNotRunIfItsCallerDisconnectsBeforeItIsSent) {
  TestCaller& caller = this->Open("place");
  Statement set = MakeStatement(StatementKind::kSet, "s");
  set.name = "zone";
  set.data = "1";
  this->RunStatement(caller, set);
  caller.session->Handle(MakeStatement(StatementKind::kWrite, "w"));
  this->clock.Advance(milliseconds(13));
  caller.session->OnCallerDisconnected();
  this->Advance(milliseconds(500));
  EXPECT_TRUE(this->RunsOf("w").empty());
}

// Guards against variables of one session that stay set when another one uses the same connection.
TEST_F(SessionRelayTest, SessionVariablesApplyOnlyToTheirSession) {
  TestCaller& first = this->Open("place");
  TestCaller& second = this->Open("place");
  Statement set = MakeStatement(StatementKind::kSet, "s");
  set.name = "mode";
  set.data = "fast";
  this->RunStatement(first, set);
  for (int round = 0; round < 3; ++round) {
    this->RunStatement(first, MakeStatement(StatementKind::kRead, "f"));
    this->RunStatement(second, MakeStatement(StatementKind::kRead, "g"));
  }
  for (const SimulatedDatabase::ExecutedStatement& run : this->database.runs) {
    const std::map<std::string, std::string> expected =
        run.id == "f" ? std::map<std::string, std::string>{{"mode", "fast"}}
                      : std::map<std::string, std::string>{};
    EXPECT_EQ(run.variables, expected) << run.id;
  }
}

// Guards against mixing up prepared statements of different sessions that have the same name.
TEST_F(SessionRelayTest, PreparedNamesOfDifferentSessionsDoNotCollide) {
  TestCaller& reader = this->Open("place");
  TestCaller& writer = this->Open("place");
  Statement prepare = MakeStatement(StatementKind::kPrepare, "p");
  prepare.name = "s1";
  prepare.prepared_text = "one";
  this->RunStatement(reader, prepare);
  prepare.prepared_text = "two";
  prepare.writes = true;
  this->RunStatement(writer, prepare);
  Statement execute = MakeStatement(StatementKind::kExecute, "er");
  execute.name = "s1";
  this->RunStatement(reader, execute);
  execute.id = "ew";
  this->RunStatement(writer, execute);
  ASSERT_EQ(this->RunsOf("er").size(), 1U);
  ASSERT_EQ(this->RunsOf("ew").size(), 1U);
  EXPECT_NE(this->RunsOf("er")[0].name, this->RunsOf("ew")[0].name);
  EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, 2U) << "one of them wrote";
}

TEST_F(SessionRelayTest, ExecutingAnUnknownNameIsRefused) {
  TestCaller& caller = this->Open("place");
  Statement execute = MakeStatement(StatementKind::kExecute, "e");
  execute.name = "missing";
  this->RunStatement(caller, execute);
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownStatement);
}

TEST_F(SessionRelayTest, ARemovedServerIsNotUsedAnyMore) {
  TestCaller& caller = this->Open("stock");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "warm"));
  this->relay->RemoveServer("orders-1");
  for (int i = 0; i < 10; ++i) {
    this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r" + std::to_string(i)));
    EXPECT_NE(this->RunsOf("r" + std::to_string(i))[0].server, "orders-1");
  }
}

TEST_F(SessionRelayTest, ADrainingServerGetsNoNewReads) {
  TestCaller& caller = this->Open("stock");
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "warm"));
  BackendServerRecord record = this->database.Records().at("orders-2");
  record.state = BackendServerState::kDraining;
  this->relay->PutServer(record);
  for (int i = 0; i < 10; ++i) {
    this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r" + std::to_string(i)));
    EXPECT_NE(this->RunsOf("r" + std::to_string(i))[0].server, "orders-2");
  }
}

TEST_F(SessionRelayTest, ARouteThatWasRemovedIsRefusedFromTheNextTransaction) {
  TestCaller& caller = this->Open("place");
  this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  auto changed = std::make_shared<RelayConfiguration>(*this->relay->Configuration());
  changed->version = 2;
  changed->routes.erase("place");
  this->relay->SetConfiguration(changed);
  EXPECT_FALSE(this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c")).error);
  this->RunStatement(caller, MakeStatement(StatementKind::kRead, "r"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnknownDatabase);
}

// Guards against a stop that closes sessions without an answer to their statement. Unsent
// statements are refused without being run, and sent ones still get their result.
TEST_F(SessionRelayTest, AStopRefusesUnsentStatementsAndFinishesSentOnes) {
  this->database.At(0).work = milliseconds(200);
  TestCaller& running = this->Open("place");
  running.session->Handle(MakeStatement(StatementKind::kWrite, "running"));
  this->Advance(milliseconds(100));
  TestCaller& waiting = this->Open("place");
  this->relay->SetShares({{"orders-0", 1}});
  waiting.session->Handle(MakeStatement(StatementKind::kWrite, "waiting"));
  this->relay->StopAcceptingStatements("the proxy stops");
  EXPECT_EQ(waiting.LastError(), StatementErrorCode::kBusy);
  EXPECT_TRUE(running.results.empty());
  TestCaller& late = this->Open("place");
  late.session->Handle(MakeStatement(StatementKind::kWrite, "late"));
  EXPECT_EQ(late.LastError(), StatementErrorCode::kBusy);
  this->Advance(milliseconds(300));
  EXPECT_TRUE(running.LastSucceeded());
  EXPECT_TRUE(this->RunsOf("waiting").empty());
  EXPECT_TRUE(this->RunsOf("late").empty());
}

// At the end of a graceful stop, each statement that still runs is answered with an error that does
// not claim more than is known of its outcome.
TEST_F(SessionRelayTest, TheEndOfAStopAnswersRunningStatements) {
  for (int i = 0; i < 3; ++i) {
    this->database.At(i).work = seconds(30);
  }
  const auto start = [this](const std::string& route, StatementKind kind) -> TestCaller& {
    TestCaller& caller = this->Open(route);
    caller.session->Handle(MakeStatement(kind, route));
    return caller;
  };
  TestCaller& writer = start("place", StatementKind::kWrite);
  TestCaller& reader = start("place", StatementKind::kRead);
  TestCaller& transaction = this->Open("quotes");
  transaction.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  transaction.session->Handle(MakeStatement(StatementKind::kWrite, "t"));
  this->Advance(milliseconds(300));
  ASSERT_EQ(transaction.results.size(), 1U);
  this->relay->EndStatements("the proxy stops");
  EXPECT_EQ(writer.LastError(), StatementErrorCode::kUnknownOutcome);
  EXPECT_EQ(reader.LastError(), StatementErrorCode::kTimeout);
  EXPECT_EQ(transaction.LastError(), StatementErrorCode::kAborted);
}

}  // namespace
}  // namespace sycamoredrum
