#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "organisation_fixture_test.h"

namespace sycamoredrum {
namespace {

class AdmissionTest : public OrganisationTest {
 protected:
  struct Request {
    std::string organisation;
    TimePoint deadline;
    std::function<void(const AdmissionVerdict&)> done;
  };

  AdmissionTest()
      : OrganisationTest([this](const std::string& organisation, TimePoint deadline,
                                std::function<void(const AdmissionVerdict&)> done) {
          this->requests.push_back(Request{organisation, deadline, done});
          if (this->immediate) {
            done(*this->immediate);
          }
        }) {}

  std::vector<Request> requests;
  std::optional<AdmissionVerdict> immediate = AdmissionVerdict{};
};

// Guards against counting an operation more than once, or not at all.
TEST_F(AdmissionTest, EachOperationIsAdmittedOnce) {
  TestCaller& caller = this->Open("place", "ka");
  // The server refuses twice, so that the relay makes three attempts.
  this->database.At(0).busy_answers = 2;
  this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
  ASSERT_TRUE(caller.LastSucceeded());
  EXPECT_EQ(this->requests.size(), 1U);
  EXPECT_EQ(this->requests[0].organisation, "a");
  for (const StatementKind kind : {StatementKind::kBegin, StatementKind::kWrite,
                                   StatementKind::kRead, StatementKind::kCommit}) {
    this->RunStatement(caller, MakeStatement(kind, "t"));
    ASSERT_TRUE(caller.LastSucceeded());
  }
  EXPECT_EQ(this->requests.size(), 2U);
  this->RunStatement(caller, MakeStatement(StatementKind::kSet, "s"));
  this->RunStatement(this->Open("quotes"), MakeStatement(StatementKind::kWrite, "public"));
  EXPECT_EQ(this->requests.size(), 2U);
}

TEST_F(AdmissionTest, TheDeadlineIsHalfOfTheLatencyObjective) {
  this->immediate.reset();
  this->Open("place", "ka").session->Handle(MakeStatement(StatementKind::kWrite, "w"));
  this->Open("place", "ka").session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  ASSERT_EQ(this->requests.size(), 2U);
  for (const Request& request : this->requests) {
    EXPECT_EQ(request.deadline, this->clock.Now() + milliseconds(500));
  }
}

// Guards against an open transaction whose begin was refused.
TEST_F(AdmissionTest, AnOperationThatIsNotAdmittedDoesNotRun) {
  TestCaller& caller = this->Open("place", "ka");
  for (const bool at_once : {true, false}) {
    for (const StatementKind kind : {StatementKind::kBegin, StatementKind::kWrite}) {
      const AdmissionVerdict refused{false, milliseconds(730)};
      this->immediate = at_once ? std::optional(refused) : std::nullopt;
      caller.session->Handle(MakeStatement(kind, "x"));
      if (!at_once) {
        this->requests.back().done(refused);
      }
      EXPECT_EQ(caller.LastError(), StatementErrorCode::kBusy);
      EXPECT_EQ(caller.results.back().error->message.rfind("retry after 730 ms: ", 0), 0U);
      EXPECT_EQ(caller.results.back().state, TransactionState::kNone);
      EXPECT_TRUE(caller.session->Idle());
    }
  }
  this->Advance(seconds(1));
  EXPECT_TRUE(this->database.runs.empty());
  EXPECT_EQ(this->relay->OpenTransactions(), 0U);
}

// Guards against statements of a transaction that run before its begin was admitted.
TEST_F(AdmissionTest, StatementsWaitForTheAdmissionOfTheirTransaction) {
  this->immediate.reset();
  TestCaller& caller = this->Open("place", "ka");
  for (const StatementKind kind :
       {StatementKind::kBegin, StatementKind::kWrite, StatementKind::kCommit}) {
    caller.session->Handle(MakeStatement(kind, "t"));
  }
  this->Advance(milliseconds(100));
  EXPECT_TRUE(caller.results.empty());
  this->requests.at(0).done(AdmissionVerdict{});
  this->Advance(milliseconds(200));
  ASSERT_EQ(caller.results.size(), 3U);
  EXPECT_TRUE(caller.LastSucceeded());
  EXPECT_EQ(this->RunsOf("t").size(), 2U);
  EXPECT_EQ(this->requests.size(), 1U);
}

// Guards against use of a session or relay that has ended.
TEST_F(AdmissionTest, AnAnswerMayComeAfterTheEndOfItsSession) {
  this->immediate.reset();
  TestCaller& leaving = this->Open("place", "ka");
  leaving.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  leaving.session->OnCallerDisconnected();
  TestCaller& destroyed = this->Open("place", "ka");
  destroyed.session->Handle(MakeStatement(StatementKind::kWrite, "w1"));
  destroyed.session->OnCallerDisconnected();
  destroyed.session.reset();
  TestCaller& late = this->Open("place", "ka");
  late.session->Handle(MakeStatement(StatementKind::kWrite, "w2"));
  TestCaller& stopped = this->Open("place", "ka");
  stopped.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  this->Advance(seconds(1));
  EXPECT_EQ(late.LastError(), StatementErrorCode::kBusy);
  TestCaller& last = this->Open("place", "ka");
  last.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  this->relay->StopAcceptingStatements("stops");
  EXPECT_EQ(last.LastError(), StatementErrorCode::kBusy);
  for (std::size_t i = 0; i < 3; ++i) {
    this->requests.at(i).done(AdmissionVerdict{});
  }
  EXPECT_EQ(this->relay->OpenTransactions(), 0U);
  this->Advance(seconds(1));
  EXPECT_TRUE(this->database.runs.empty());
  TestCaller& after = this->Open("place", "ka");
  after.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  EXPECT_EQ(after.LastError(), StatementErrorCode::kBusy);
  this->relay.reset();
  for (const Request& request : this->requests) {
    request.done(AdmissionVerdict{});
  }
}

// Guards against using up the permission of one organisation for another one's operation.
TEST_F(AdmissionTest, AnOperationThatWaitsWhenItsKeyMovesIsAdmittedForTheNewOrganisation) {
  this->immediate.reset();
  TestCaller& begin = this->Open("place", "ka");
  begin.session->Handle(MakeStatement(StatementKind::kBegin, "b"));
  TestCaller& write = this->Open("place", "ka");
  write.session->Handle(MakeStatement(StatementKind::kWrite, "w"));
  this->requests.at(1).done(AdmissionVerdict{});
  this->MoveKeyOfAToB();
  ASSERT_EQ(this->requests.size(), 4U);
  EXPECT_EQ(this->requests[2].organisation, "b");
  EXPECT_EQ(this->requests[3].organisation, "b");
  this->requests[0].done(AdmissionVerdict{});
  EXPECT_TRUE(begin.results.empty());
  this->requests[2].done(AdmissionVerdict{});
  this->requests[3].done(AdmissionVerdict{});
  EXPECT_TRUE(begin.LastSucceeded());
  this->Advance(milliseconds(500));
  EXPECT_EQ(this->OrganisationsOf("w"), Runs{"b"});
}

}  // namespace
}  // namespace sycamoredrum
