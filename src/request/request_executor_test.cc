#include "sycamoredrum/request_executor.h"

#include <gtest/gtest.h>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

ExecuteAnswer Result(LogPosition position = {1, 9}, bool duplicate = false) {
  ExecuteAnswer answer;
  answer.outcome = Outcome::kResult;
  answer.results = {"v"};
  answer.position = position;
  answer.duplicate = duplicate;
  return answer;
}

ExecuteAnswer Failed() {
  ExecuteAnswer answer;
  answer.outcome = Outcome::kFailed;
  answer.reason = Reason::kStatement;
  return answer;
}

ExecuteAnswer NotRun(Reason reason) { return ExecuteAnswer::NotRun(reason, ""); }
const ExecuteAnswer kUnknown = ExecuteAnswer::Unknown(Reason::kConnectionLost, "");

/// Scripted answer to one attempt; empty: the answer is lost. `next_term` raises the term of the
/// next view, as a promotion does.
struct Attempt {
  std::optional<ExecuteAnswer> answer;
  bool next_term = false;
};

/// An executor whose holders answer from a script. Server p is the primary; l and r are replicas.
struct ExecutorHarness {
  ExecutorHarness() {
    RequestExecutorHooks hooks;
    hooks.view = [this](const std::string&) { return this->View(); };
    hooks.prove = [this](const std::string&, TimePoint not_before, TimePoint, ProveCallback done) {
      ++this->proofs_requested;
      this->proven_at = std::max(this->proven_at, not_before);
      done(this->proof_available ? this->View() : nullptr);
      done(nullptr);
    };
    hooks.send = [this](const ExecuteCommand& command, TimePoint, ExecuteCallback done) {
      this->sent.push_back(command);
      if (this->script.empty()) {
        return;
      }
      const Attempt attempt = this->script.front();
      this->script.erase(this->script.begin());
      this->term += attempt.next_term ? 1 : 0;
      if (attempt.answer) {
        done(*attempt.answer);
        done(Result({9, 9}));
      }
    };
    hooks.database = [this](const std::string&) { return this->config; };
    hooks.max_read_age = [](const std::string&) { return std::make_optional(milliseconds(500)); };
    hooks.new_request_id = [] { return "generated"; };
    hooks.take_retry = [this](const std::string&) { return this->retries-- > 0; };
    this->executor = std::make_unique<RequestExecutor>("east", std::move(hooks), this->clock,
                                                       this->clock, [] { return 7; });
  }

  DatabaseViewPtr View() {
    std::vector<BackendServerView> servers;
    DatabaseConfig database;
    for (const char* id : {"p", "l", "r"}) {
      BackendServerStatus status;
      status.role = id[0] == 'p' ? Role::kPrimary : Role::kReplica;
      status.term = status.promised_term = this->term;
      status.last_index = 20;
      status.history = TermHistory({{1, 1}}).WithTerm(this->term, 15);
      servers.push_back(BackendServerView{id, true, status, this->proven_at});
      database.backend_servers.push_back(BackendServerConfig{});
      database.backend_servers.back().id = id;
    }
    this->config = std::make_shared<const DatabaseConfig>(database);
    DatabaseView view = BuildDatabaseView("d", servers, this->proven_at, std::nullopt);
    if (!this->proof_available) {
      view.proof.reset();
    }
    return std::make_shared<const DatabaseView>(view);
  }

  RequestAnswer Run(CallerRequest request) {
    request.database = "d";
    request.statements = {"S"};
    request.arrival = this->clock.Now();
    request.deadline = request.arrival + milliseconds(2000);
    this->View();
    std::vector<RequestAnswer> answers;
    this->executor->Execute(request, [&](const RequestAnswer& a) { answers.push_back(a); });
    this->clock.Advance(milliseconds(2000));
    EXPECT_EQ(answers.size(), 1U);
    EXPECT_EQ(this->executor->InProgress(), 0U);
    return answers.at(0);
  }

  ManualClock clock;
  std::uint64_t term = 1;
  TimePoint proven_at = this->clock.Now() - milliseconds(100);
  bool proof_available = true;
  int proofs_requested = 0;
  int retries = 100;
  std::vector<Attempt> script;
  std::vector<ExecuteCommand> sent;
  std::shared_ptr<const DatabaseConfig> config;
  std::unique_ptr<RequestExecutor> executor;
};

// Guards against a write that is reported as not run or failed although an attempt may have run,
// against attempts without the request id that prevents a second run, and against giving up
// although a retry could succeed.
TEST(RequestExecutorTest, WriteOutcomes) {
  using Answer = std::optional<ExecuteAnswer>;
  const Answer ok = Result(), failed = Failed(), unknown = kUnknown, lost;
  const Answer fenced = NotRun(Reason::kFenced), refused = NotRun(Reason::kConnectionRefused);
  const Answer full = NotRun(Reason::kQueueFull), no_holder = NotRun(Reason::kHolderUnreachable);
  const Answer not_primary = NotRun(Reason::kNoPrimary);
  const struct {
    const char* name;
    bool idempotent;  // True: without a request id.
    std::vector<Attempt> script;
    Outcome outcome;
    int attempts;
  } cases[] = {
      {"result", false, {{ok}}, Outcome::kResult, 1},
      {"failed", false, {{failed}}, Outcome::kFailed, 1},
      {"queue full", false, {{full}}, Outcome::kNotRun, 1},
      {"fenced once", false, {{fenced, true}, {ok}}, Outcome::kResult, 2},
      {"fenced for good", false, {{fenced}}, Outcome::kNotRun, 1},
      {"refused", false, {{refused}, {ok}}, Outcome::kResult, 2},
      {"no holder", true, {{no_holder}, {ok}}, Outcome::kResult, 2},
      {"not primary", false, {{not_primary, true}, {ok}}, Outcome::kResult, 2},
      {"unknown, result", false, {{unknown}, {ok}}, Outcome::kResult, 2},
      {"unknown, result", true, {{unknown}, {ok}}, Outcome::kResult, 2},
      {"lost, result", false, {{lost}, {ok}}, Outcome::kResult, 2},
      {"unknown, queue full", false, {{unknown}, {full}}, Outcome::kUnknown, 2},
      {"unknown, fenced", false, {{unknown}, {fenced}}, Outcome::kUnknown, 2},
      {"lost, queue full", true, {{lost}, {full}}, Outcome::kUnknown, 2},
      {"unknown, failed, same term", false, {{unknown}, {failed}}, Outcome::kUnknown, 2},
      {"unknown, failed, later term", false, {{unknown, true}, {failed}}, Outcome::kFailed, 2},
      {"unknown, failed in a later term", true, {{unknown, true}, {failed}}, Outcome::kUnknown, 2},
      {"unknown twice, failed",
       false,
       {{unknown, true}, {unknown}, {failed}},
       Outcome::kUnknown,
       3},
  };
  for (const auto& item : cases) {
    ExecutorHarness harness;
    harness.script = item.script;
    CallerRequest request;
    request.idempotent = item.idempotent;
    const RequestAnswer answer = harness.Run(request);
    const std::string name = std::string(item.name) + (request.idempotent ? ", idempotent" : "");
    EXPECT_EQ(answer.answer.outcome, item.outcome) << name;
    EXPECT_EQ(answer.attempts, item.attempts) << name;
    const bool unknown = item.outcome == Outcome::kUnknown;
    const bool result = item.outcome == Outcome::kResult;
    EXPECT_EQ(answer.session.For("d").uncertain, !result) << name;
    EXPECT_EQ(answer.session.Positions().size(), result || unknown ? 1U : 0U) << name;
    for (const ExecuteCommand& command : harness.sent) {
      EXPECT_EQ(command.request.request_id, request.idempotent ? "" : "generated") << name;
      EXPECT_EQ(command.request.fingerprint, harness.sent[0].request.fingerprint) << name;
      EXPECT_TRUE(command.request.write) << name;
      EXPECT_EQ(command.backend_server, "p") << name;
    }
  }
}

// Guards against retries beyond the budget, and against a write that is not reported as unknown
// although the last attempt was still in flight at the deadline.
TEST(RequestExecutorTest, BudgetAndDeadlineBoundRetries) {
  ExecutorHarness harness;
  harness.retries = 0;
  harness.script = {{NotRun(Reason::kConnectionRefused)}, {Result()}};
  EXPECT_EQ(harness.Run({}).answer.outcome, Outcome::kNotRun);
  EXPECT_EQ(harness.sent.size(), 1U);
  ExecutorHarness silent;
  const RequestAnswer answer = silent.Run({});
  EXPECT_EQ(answer.answer.outcome, Outcome::kUnknown);
  EXPECT_EQ(answer.answer.reason, Reason::kDeadline);
  EXPECT_GT(answer.attempts, 1);
}

// Guards against an `uncertain` flag that a duplicate answer clears, although its recorded position
// may be older than other writes, and against a flag that is never cleared.
TEST(RequestExecutorTest, WritesUpdateTheSession) {
  const struct {
    SessionPosition before;
    ExecuteAnswer answer;
    SessionPosition after;
  } cases[] = {
      {{{1, 3}, false}, Result({1, 9}), {{1, 9}, false}},
      {{{1, 3}, true}, Result({1, 9}), {{1, 9}, false}},
      {{{1, 3}, true}, Result({1, 9}, true), {{1, 9}, true}},
      {{{2, 3}, true}, Result({1, 9}), {{2, 3}, true}},
      {{{1, 3}, false}, NotRun(Reason::kQueueFull), {{1, 3}, false}},
  };
  for (const auto& item : cases) {
    ExecutorHarness harness;
    harness.script = {{item.answer}};
    CallerRequest request;
    request.session = SessionToken().With("d", item.before.position, item.before.uncertain);
    EXPECT_EQ(harness.Run(request).session.For("d"), item.after);
  }
}

// Guards against a stale read, against a read that is refused although another server can serve it,
// and against a session whose `uncertain` flag is never cleared.
TEST(RequestExecutorTest, ReadOutcomes) {
  constexpr Outcome result = Outcome::kResult;
  const std::optional<SessionToken> none;
  const std::optional<ExecuteAnswer> ok = Result(), behind = NotRun(Reason::kBehind), lost;
  const auto other = NotRun(Reason::kSessionPositionLost), full = NotRun(Reason::kQueueFull);
  const SessionToken known = SessionToken().With("d", {1, 3}, false);
  const SessionToken later = SessionToken().With("d", {1, 25}, false);
  const SessionToken uncertain = SessionToken().With("d", {1, 3}, true);
  const struct {
    const char* name;
    std::optional<SessionToken> session;
    bool unconfirmed;
    std::vector<Attempt> script;
    Outcome outcome;
    LogPosition require;
    bool requests_proof;
    LogPosition position_after;
  } cases[] = {
      {"within the age", known, false, {{Result({1, 30})}}, result, {1, 20}, false, {1, 3}},
      {"own later write", later, false, {{Result({1, 30})}}, result, {1, 25}, false, {1, 25}},
      {"uncertain", uncertain, false, {{Result({1, 30})}}, result, {1, 20}, true, {1, 30}},
      {"unconfirmed", known, true, {{Result({0, 0})}}, result, {1, 20}, true, {1, 20}},
      {"no token", none, false, {{Result({1, 20})}}, result, {1, 20}, true, {1, 20}},
      {"behind", known, false, {{behind}, {ok}}, result, {1, 20}, false, {1, 3}},
      {"unknown", known, false, {{kUnknown}, {ok}}, result, {1, 20}, false, {1, 3}},
      {"lost", known, false, {{lost}, {ok}}, result, {1, 20}, false, {1, 3}},
      {"full", known, false, {{full}, {ok}}, result, {1, 20}, false, {1, 3}},
      {"other history", known, false, {{other}, {ok}}, result, {1, 20}, true, {1, 3}},
      {"failed", known, false, {{Failed()}}, Outcome::kFailed, {1, 20}, false, {1, 3}},
  };
  for (const auto& item : cases) {
    ExecutorHarness harness;
    harness.script = item.script;
    CallerRequest request;
    request.read_only = true;
    request.session = item.session;
    request.unconfirmed = item.unconfirmed;
    const RequestAnswer answer = harness.Run(request);
    EXPECT_EQ(answer.answer.outcome, item.outcome) << item.name;
    EXPECT_EQ(harness.sent.back().request.require, item.require) << item.name;
    EXPECT_FALSE(harness.sent.back().request.write) << item.name;
    EXPECT_EQ(harness.sent.size(), item.script.size()) << item.name;
    EXPECT_EQ(harness.proofs_requested > 0, item.requests_proof) << item.name;
    EXPECT_EQ(answer.session.For("d"), (SessionPosition{item.position_after, false})) << item.name;
  }
}

// Guards against a read without a freshness proof, and against a read that is served although the
// session's last write was lost.
TEST(RequestExecutorTest, ReadsThatMustBeRefused) {
  ExecutorHarness unproven;
  unproven.proof_available = false;
  CallerRequest read;
  read.read_only = true;
  EXPECT_EQ(unproven.Run(read).answer.reason, Reason::kNoFreshnessProof);
  EXPECT_TRUE(unproven.sent.empty());
  ExecutorHarness lost;
  lost.term = 2;
  read.session = SessionToken().With("d", {1, 17}, false);
  const RequestAnswer refusal = lost.Run(read);
  EXPECT_EQ(refusal.answer.reason, Reason::kSessionPositionLost);
  EXPECT_TRUE(lost.sent.empty());
  // Guards against a session whose reads are all refused after a failover.
  read.session = refusal.session;
  lost.script = {{Result()}};
  EXPECT_TRUE(read.session->For("d").uncertain);
  EXPECT_EQ(lost.Run(read).answer.outcome, Outcome::kResult);
  EXPECT_GT(lost.proofs_requested, 0);
}

// Guards against a step of a transaction that runs twice, and against a commit or a statement that
// is reported as not run although it may have run.
TEST(RequestExecutorTest, TransactionStepsAreSentOnce) {
  const std::optional<ExecuteAnswer> lost;
  const struct {
    TransactionStep step;
    std::optional<ExecuteAnswer> answer;
    Outcome outcome;
    bool carries_id;
  } cases[] = {
      {TransactionStep::kBegin, Result(), Outcome::kResult, false},
      {TransactionStep::kBegin, NotRun(Reason::kFenced), Outcome::kNotRun, false},
      {TransactionStep::kBegin, kUnknown, Outcome::kNotRun, false},
      {TransactionStep::kBegin, lost, Outcome::kNotRun, false},
      {TransactionStep::kContinue, kUnknown, Outcome::kUnknown, false},
      {TransactionStep::kContinue, lost, Outcome::kUnknown, false},
      {TransactionStep::kContinue, NotRun(Reason::kConnectionLost), Outcome::kNotRun, false},
      {TransactionStep::kCommit, Result(), Outcome::kResult, true},
      {TransactionStep::kCommit, kUnknown, Outcome::kUnknown, true},
      {TransactionStep::kCommit, lost, Outcome::kUnknown, true},
      {TransactionStep::kCommit, NotRun(Reason::kFenced), Outcome::kNotRun, true},
      {TransactionStep::kRollback, lost, Outcome::kUnknown, false},
  };
  for (const auto& item : cases) {
    ExecutorHarness harness;
    harness.script = {{item.answer}, {Result()}};
    CallerRequest request;
    request.step = item.step;
    request.transaction = "t";
    request.backend_server = "p";
    request.session = SessionToken().With("d", {1, 3}, false);
    const RequestAnswer answer = harness.Run(request);
    EXPECT_EQ(answer.answer.outcome, item.outcome) << ToString(item.step);
    EXPECT_EQ(harness.sent.size(), 1U) << ToString(item.step);
    EXPECT_EQ(!harness.sent[0].request.request_id.empty(), item.carries_id) << ToString(item.step);
    const bool unknown_commit = item.carries_id && item.outcome == Outcome::kUnknown;
    EXPECT_EQ(answer.session.For("d").uncertain, unknown_commit) << ToString(item.step);
  }
}

// Guards against timers and late answers that use an executor after its destruction.
TEST(RequestExecutorTest, DestructionDropsPendingWork) {
  ExecutorHarness harness;
  harness.View();
  CallerRequest request;
  request.database = "d";
  request.arrival = harness.clock.Now();
  request.deadline = request.arrival + milliseconds(100);
  harness.executor->Execute(request, [](const RequestAnswer&) { FAIL(); });
  EXPECT_EQ(harness.executor->InProgress(), 1U);
  harness.executor.reset();
  harness.clock.Advance(milliseconds(200));
}

}  // namespace
}  // namespace sycamoredrum
