#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "organisation_fixture_test.h"

// The tests with the names of the rows cover the table in docs/design/organisations-and-load.md,
// section 1.2, one test for each cell.

namespace sycamoredrum {
namespace {

// Guards against serving a caller whose key is missing or not known.
TEST_F(OrganisationTest, SessionsOfRoutesThatAreNotPublicNeedAKnownKey) {
  for (const std::string& key : {std::string(), std::string("kx"), std::string(600, 'k')}) {
    const OpenedSession opened = this->relay->Open(SessionRequest{"place", key}, {});
    EXPECT_EQ(opened.session, nullptr);
    EXPECT_EQ(opened.refusal.code, StatementErrorCode::kUnauthenticated);
    EXPECT_EQ(opened.refusal.message.find("kx"), std::string::npos);
  }
}

// Guards against connections that run statements of several organisations.
TEST_F(OrganisationTest, StatementsRunOnConnectionsOfTheirOrganisation) {
  TestCaller& a = this->Open("place", "ka");
  TestCaller& b = this->Open("place", "kb");
  TestCaller& known = this->Open("quotes", "ka");
  TestCaller& other = this->Open("quotes", "kx");
  TestCaller& none = this->Open("quotes");
  for (const std::string& round : {std::string("1"), std::string("2")}) {
    this->RunStatement(a, MakeStatement(StatementKind::kWrite, "a" + round));
    this->RunStatement(b, MakeStatement(StatementKind::kWrite, "b" + round));
    this->RunStatement(known, MakeStatement(StatementKind::kWrite, "known" + round));
    this->RunStatement(other, MakeStatement(StatementKind::kWrite, "other" + round));
    this->RunStatement(none, MakeStatement(StatementKind::kWrite, "none" + round));
    EXPECT_EQ(this->OrganisationsOf("a" + round), Runs{"a"});
    EXPECT_EQ(this->OrganisationsOf("b" + round), Runs{"b"});
    EXPECT_EQ(this->OrganisationsOf("known" + round), Runs{"a"});
    EXPECT_EQ(this->OrganisationsOf("other" + round), Runs{""});
    EXPECT_EQ(this->OrganisationsOf("none" + round), Runs{""});
  }
}

// Guards against callers that all reconnect at the same moment.
TEST_F(OrganisationTest, IdleAndRevoked) {
  for (int i = 0; i < 40; ++i) {
    this->Open("place", "ka");
  }
  TestCaller& other = this->Open("place", "kb");
  this->RevokeKeyOfA();
  const auto closed = [this] {
    return std::count_if(this->callers.begin(), this->callers.end(),
                         [](const auto& caller) { return caller->closed; });
  };
  this->Advance(milliseconds(100));
  EXPECT_LT(closed(), 20);
  this->Advance(milliseconds(400));
  EXPECT_EQ(closed(), 40);
  EXPECT_FALSE(other.closed);
}

TEST_F(OrganisationTest, IdleAndMoved) {
  TestCaller& caller = this->Open("place", "ka");
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w1"));
  this->MoveKeyOfAToB();
  this->Advance(seconds(2));
  EXPECT_FALSE(caller.closed);
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w2"));
  EXPECT_EQ(this->OrganisationsOf("w1"), Runs{"a"});
  EXPECT_EQ(this->OrganisationsOf("w2"), Runs{"b"});
}

// Guards against running statements that arrive before the idle session is closed.
TEST_F(OrganisationTest, AboutToStartAndRevoked) {
  TestCaller& caller = this->Open("place", "ka");
  this->RevokeKeyOfA();
  caller.session->Handle(MakeStatement(StatementKind::kWrite, "w"));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnauthenticated);
  EXPECT_TRUE(caller.closed);
  this->Advance(seconds(2));
  EXPECT_TRUE(this->RunsOf("w").empty());
  EXPECT_EQ(caller.results.size(), 1U);
}

// Guards against using an idle connection of the former organisation.
TEST_F(OrganisationTest, AboutToStartAndMoved) {
  TestCaller& caller = this->Open("place", "ka");
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w1"));
  this->MoveKeyOfAToB();
  caller.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w2"));
  this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c"));
  EXPECT_TRUE(caller.LastSucceeded());
  EXPECT_EQ(this->OrganisationsOf("w2"), Runs{"b"});
  EXPECT_EQ(this->OrganisationsOf("c"), Runs{"b"});
}

// The waits are for a connection, for a primary, and for the first connection of a transaction.
TEST_F(OrganisationTest, WaitingAndRevoked) {
  TestCaller& connecting = this->Open("place", "ka");
  connecting.session->Handle(MakeStatement(StatementKind::kWrite, "w1"));
  connecting.session->Handle(MakeStatement(StatementKind::kWrite, "queued"));
  TestCaller& beginning = this->Open("place", "ka");
  beginning.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  beginning.session->Handle(MakeStatement(StatementKind::kWrite, "w2"));
  this->grants.Revoke(1, "orders", 1);
  TestCaller& without_primary = this->Open("place", "ka");
  without_primary.session->Handle(MakeStatement(StatementKind::kWrite, "w3"));
  this->RevokeKeyOfA();
  for (TestCaller* caller : {&connecting, &beginning, &without_primary}) {
    EXPECT_EQ(caller->LastError(), StatementErrorCode::kUnauthenticated);
    EXPECT_TRUE(caller->closed);
  }
  EXPECT_EQ(connecting.results.size(), 2U);
  this->Grant(0, 2);
  this->Advance(seconds(2));
  EXPECT_TRUE(this->database.runs.empty());
}

TEST_F(OrganisationTest, WaitingAndMoved) {
  TestCaller& connecting = this->Open("place", "ka");
  connecting.session->Handle(MakeStatement(StatementKind::kWrite, "w1"));
  TestCaller& beginning = this->Open("place", "ka");
  beginning.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  beginning.session->Handle(MakeStatement(StatementKind::kWrite, "w2"));
  // Waits for the position of the primary's log.
  TestCaller& reading = this->Open("stock", "ka");
  reading.session->Handle(MakeStatement(StatementKind::kRead, "r"));
  this->MoveKeyOfAToB();
  this->Advance(seconds(1));
  for (const char* id : {"w1", "w2", "r"}) {
    EXPECT_EQ(this->OrganisationsOf(id), Runs{"b"}) << id;
  }
  EXPECT_TRUE(connecting.LastSucceeded());
  EXPECT_TRUE(beginning.LastSucceeded());
  EXPECT_TRUE(reading.LastSucceeded());
}

// Guards against a statement without a time limit after it was started again.
TEST_F(OrganisationTest, AStatementThatWasStartedAgainKeepsItsTimeLimit) {
  this->grants.Revoke(1, "orders", 1);
  TestCaller& caller = this->Open("place", "ka");
  caller.session->Handle(MakeStatement(StatementKind::kWrite, "w"));
  this->Advance(milliseconds(500));
  this->MoveKeyOfAToB();
  this->Advance(milliseconds(480));
  EXPECT_TRUE(caller.results.empty());
  this->Advance(milliseconds(40));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kBusy);
}

// Guards against an error for a write that has run.
TEST_F(OrganisationTest, InFlightAndRevoked) {
  TestCaller& caller = this->Open("place", "ka");
  this->SendSlowly(caller, MakeStatement(StatementKind::kWrite, "w"));
  this->RevokeKeyOfA();
  EXPECT_FALSE(caller.closed);
  this->Advance(milliseconds(200));
  ASSERT_EQ(caller.results.size(), 1U);
  EXPECT_TRUE(caller.LastSucceeded());
  EXPECT_TRUE(caller.closed);
}

TEST_F(OrganisationTest, InFlightAndMoved) {
  TestCaller& caller = this->Open("place", "ka");
  this->SendSlowly(caller, MakeStatement(StatementKind::kWrite, "w1"));
  caller.session->Handle(MakeStatement(StatementKind::kWrite, "w2"));
  this->MoveKeyOfAToB();
  this->Advance(milliseconds(500));
  ASSERT_EQ(caller.results.size(), 2U);
  EXPECT_FALSE(caller.results[0].error);
  EXPECT_FALSE(caller.results[1].error);
  EXPECT_EQ(this->OrganisationsOf("w1"), Runs{"a"});
  EXPECT_EQ(this->OrganisationsOf("w2"), Runs{"b"});
}

// Guards against a retry under the former organisation.
TEST_F(OrganisationTest, ARetryAfterAMoveRunsForTheNewOrganisation) {
  TestCaller& caller = this->Open("place", "ka");
  this->database.At(0).busy_answers = 1;
  this->SendSlowly(caller, MakeStatement(StatementKind::kWrite, "w"));
  this->MoveKeyOfAToB();
  this->Advance(milliseconds(500));
  EXPECT_TRUE(caller.LastSucceeded());
  EXPECT_EQ(this->OrganisationsOf("w"), Runs{"b"});
}

TEST_F(OrganisationTest, ARetryAfterARevocationDoesNotRun) {
  TestCaller& caller = this->Open("place", "ka");
  this->database.At(0).busy_answers = 1;
  this->SendSlowly(caller, MakeStatement(StatementKind::kWrite, "w"));
  this->RevokeKeyOfA();
  this->Advance(milliseconds(500));
  EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnauthenticated);
  EXPECT_TRUE(caller.closed);
  EXPECT_TRUE(this->RunsOf("w").empty());
}

TEST_F(OrganisationTest, BetweenStatementsOfATransactionAndRevoked) {
  for (const StatementKind kind :
       {StatementKind::kWrite, StatementKind::kCommit, StatementKind::kRollback}) {
    this->SetKeys({{"a", {"ka"}}, {"b", {"kb"}}});
    const LogPosition before = SimulatedDatabase::End(this->database.At(0));
    TestCaller& caller = this->OpenTransactionOfA();
    this->RevokeKeyOfA();
    EXPECT_EQ(this->relay->OpenTransactions(), 0U);
    this->Advance(seconds(1));
    EXPECT_FALSE(caller.closed);
    caller.session->Handle(MakeStatement(kind, "next"));
    EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnauthenticated);
    EXPECT_TRUE(caller.closed);
    EXPECT_TRUE(this->RunsOf("next").empty());
    EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)), before);
  }
}

// Guards against connections of revoked callers that stay open for ever.
TEST_F(OrganisationTest, ARevokedCallerInATransactionThatSendsNothingIsClosed) {
  TestCaller& caller = this->OpenTransactionOfA();
  this->RevokeKeyOfA();
  this->Advance(seconds(4));
  EXPECT_TRUE(caller.closed);
}

TEST_F(OrganisationTest, BetweenStatementsOfATransactionAndMoved) {
  for (const StatementKind kind :
       {StatementKind::kWrite, StatementKind::kCommit, StatementKind::kSet}) {
    this->SetKeys({{"a", {"ka"}}, {"b", {"kb"}}});
    const LogPosition before = SimulatedDatabase::End(this->database.At(0));
    TestCaller& caller = this->OpenTransactionOfA();
    this->MoveKeyOfAToB();
    EXPECT_EQ(this->relay->OpenTransactions(), 0U);
    this->RunStatement(caller, MakeStatement(kind, "next"));
    EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
    EXPECT_TRUE(this->RunsOf("next").empty());
    EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)), before);
    if (kind != StatementKind::kCommit) {
      EXPECT_EQ(caller.results.back().state, TransactionState::kFailed);
      this->RunStatement(caller, MakeStatement(StatementKind::kRollback, "r"));
      EXPECT_TRUE(caller.LastSucceeded());
    }
    const std::string id = "after" + std::to_string(static_cast<int>(kind));
    this->RunStatement(caller, MakeStatement(StatementKind::kWrite, id));
    EXPECT_EQ(this->OrganisationsOf(id), Runs{"b"});
  }
}

TEST_F(OrganisationTest, InFlightInATransactionAndRevoked) {
  for (const StatementKind kind : {StatementKind::kWrite, StatementKind::kCommit}) {
    this->SetKeys({{"a", {"ka"}}, {"b", {"kb"}}});
    this->database.At(0).work = milliseconds(5);
    const std::uint64_t before = SimulatedDatabase::End(this->database.At(0)).index;
    TestCaller& caller = this->OpenTransactionOfA();
    this->SendSlowly(caller, MakeStatement(kind, "slow"));
    this->RevokeKeyOfA();
    EXPECT_EQ(caller.results.size(), 2U);
    this->Advance(milliseconds(300));
    EXPECT_TRUE(caller.LastSucceeded());
    const bool commit = kind == StatementKind::kCommit;
    EXPECT_EQ(caller.closed, commit);
    if (!commit) {
      caller.session->Handle(MakeStatement(StatementKind::kCommit, "c"));
      EXPECT_EQ(caller.LastError(), StatementErrorCode::kUnauthenticated);
      EXPECT_TRUE(caller.closed);
    }
    this->Advance(seconds(1));
    EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, before + (commit ? 1 : 0));
  }
}

TEST_F(OrganisationTest, InFlightInATransactionAndMoved) {
  for (const StatementKind kind : {StatementKind::kWrite, StatementKind::kCommit}) {
    this->SetKeys({{"a", {"ka"}}, {"b", {"kb"}}});
    this->database.At(0).work = milliseconds(5);
    const std::uint64_t before = SimulatedDatabase::End(this->database.At(0)).index;
    TestCaller& caller = this->OpenTransactionOfA();
    this->SendSlowly(caller, MakeStatement(kind, "slow"));
    this->MoveKeyOfAToB();
    this->Advance(milliseconds(300));
    EXPECT_TRUE(caller.LastSucceeded());
    EXPECT_FALSE(caller.closed);
    const bool commit = kind == StatementKind::kCommit;
    EXPECT_EQ(SimulatedDatabase::End(this->database.At(0)).index, before + (commit ? 1 : 0));
    if (!commit) {
      this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c"));
      EXPECT_EQ(caller.LastError(), StatementErrorCode::kAborted);
    }
    const std::string id = "after" + std::to_string(static_cast<int>(kind));
    this->RunStatement(caller, MakeStatement(StatementKind::kWrite, id));
    EXPECT_EQ(this->OrganisationsOf(id), Runs{"b"});
  }
}

// Guards against connections of a removed organisation that serve the next one of the same name.
TEST_F(OrganisationTest, AnOrganisationThatWasAddedAgainGetsNewConnections) {
  TestCaller& caller = this->Open("place", "ka");
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w1"));
  this->SetKeys({{"b", {"kb"}}});
  this->SetKeys({{"a", {"ka"}}, {"b", {"kb"}}});
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w2"));
  ASSERT_TRUE(caller.LastSucceeded());
  EXPECT_NE(this->RunsOf("w1")[0].connection, this->RunsOf("w2")[0].connection);
}

// Guards against closing sessions when only the organisations' other fields change.
TEST_F(OrganisationTest, AnUnchangedKeyChangesNothing) {
  TestCaller& caller = this->OpenTransactionOfA();
  this->SetKeys({{"a", {"ka", "ka2"}}, {"c", {"kc"}}});
  this->RunStatement(caller, MakeStatement(StatementKind::kCommit, "c"));
  EXPECT_TRUE(caller.LastSucceeded());
}

// Guards against closing a session that needs no key.
TEST_F(OrganisationTest, ARevokedKeyOfAPublicRouteContinuesWithoutAnOrganisation) {
  TestCaller& caller = this->Open("quotes", "ka");
  this->RevokeKeyOfA();
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  EXPECT_EQ(this->OrganisationsOf("w"), Runs{""});
  this->Advance(seconds(1));
  EXPECT_FALSE(caller.closed);
}

}  // namespace
}  // namespace sycamoredrum
