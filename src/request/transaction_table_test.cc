#include "sycamoredrum/transaction_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "holder_test_group.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kBegin = TransactionStep::kBegin;
constexpr auto kContinue = TransactionStep::kContinue;
constexpr auto kCommit = TransactionStep::kCommit;
constexpr auto kRollback = TransactionStep::kRollback;

// A TransactionTable that uses a HolderTestGroup. Checks that each connection serves one
// transaction at a time and is not used after a fault.
class TableHarness {
 public:
  explicit TableHarness(int limit = 4)
      : group(limit), table(this->CheckedHooks(), "m1", group.clock, group.clock, [this] {
          return ++this->random;
        }) {}

  ExecuteCommand Command(TransactionStep step, const std::string& id,
                         const std::string& statement) {
    ExecuteCommand command;
    command.database = "orders";
    command.backend_server = "a";
    command.caller_group = "shop";
    command.transaction = id;
    command.remaining = seconds(2);
    command.request.step = step;
    command.request.write = true;
    command.request.term = 1;
    command.request.request_id = step == kCommit ? "shop:" + id : "";
    if (!statement.empty()) {
      command.request.statements = {statement};
    }
    return command;
  }

  // Runs one step to its end.
  ExecuteAnswer Run(const ExecuteCommand& command) {
    std::vector<ExecuteAnswer> answers;
    this->table.Execute(command, "entry",
                        [&](const ExecuteAnswer& answer) { answers.push_back(answer); });
    for (int i = 0; i < 300 && answers.empty(); ++i) {
      this->group.clock.Advance(milliseconds(10));
    }
    EXPECT_EQ(answers.size(), 1u);
    return answers.empty() ? ExecuteAnswer{} : answers.front();
  }
  ExecuteAnswer Run(TransactionStep step, const std::string& id,
                    const std::string& statement = "") {
    return this->Run(this->Command(step, id, statement));
  }
  std::string Begin(const std::string& statement = "PUT x 1") {
    return this->Run(kBegin, "", statement).transaction;
  }

  HolderTestGroup group;
  std::map<ConnectionId, std::string> owners;  // Key prefix of the transaction on a connection.
  std::set<ConnectionId> lost;
  std::vector<std::string> violations;
  std::uint64_t random = 0;
  TransactionTable table;

 private:
  HolderHooks CheckedHooks() {
    HolderHooks hooks = this->group.Hooks();
    hooks.execute = [this, send = hooks.execute](ConnectionId id, const BackendRequest& request,
                                                 Duration timeout, BackendCallback callback) {
      this->Check(id, request);
      const Fault fault = this->group.faults.empty() ? Fault::kNone : this->group.faults.front();
      if (fault != Fault::kNone && fault != Fault::kDuplicateReply) {
        this->lost.insert(id);
      }
      send(id, request, timeout, callback);
    };
    return hooks;
  }
  void Check(ConnectionId id, const BackendRequest& request) {
    std::string& owner = this->owners[id];
    const std::string used =
        request.statements.empty() ? owner : request.statements[0].substr(4, 2);
    if (this->lost.count(id) != 0) {
      this->violations.push_back("a lost connection was used again");
    }
    if (request.step == kBegin ? !owner.empty() : owner != used) {
      this->violations.push_back("statements of two transactions on one connection");
    }
    owner = request.step == kCommit || request.step == kRollback ? "" : used;
  }
};

// Guards against a transaction that is applied only in part, and against a commit that is
// acknowledged although the acknowledgement rule is not met.
TEST(TransactionTableTest, CommitsAndRollsBackAsAWhole) {
  TableHarness h;
  const std::string id = h.Begin();
  EXPECT_EQ(id.substr(0, 3), "m1.");
  EXPECT_EQ(h.Run(kContinue, id, "PUT x 2").outcome, Outcome::kResult);
  EXPECT_EQ(h.group.Server("a").Get("x"), std::nullopt);
  EXPECT_EQ(h.Run(kCommit, id).outcome, Outcome::kResult);
  EXPECT_EQ(h.group.Server("a").Get("x"), "2");
  const std::string rolled_back = h.Begin("PUT x 3");
  EXPECT_EQ(h.Run(kRollback, rolled_back).outcome, Outcome::kResult);
  EXPECT_EQ(h.group.Server("a").Get("x"), "2");
  h.group.replicating = false;
  EXPECT_EQ(h.Run(kCommit, h.Begin("PUT x 4")).outcome, Outcome::kUnknown);
  EXPECT_TRUE(h.table.Empty());
  EXPECT_EQ(h.group.pool.Idle(), 1u);
}

// Guards against a wrong outcome when a step is lost, and against a connection that stays in use
// after a fault. A step lost before the commit is certainly rolled back; a lost commit is unknown.
TEST(TransactionTableTest, FaultsDuringAStep) {
  struct Case {
    const char* name;
    TransactionStep step;
    Fault fault;
    Outcome outcome;
    bool applied;
  };
  const Case cases[] = {
      {"statement broken", kContinue, Fault::kBreakBefore, Outcome::kNotRun, false},
      {"statement answer lost", kContinue, Fault::kNoReply, Outcome::kNotRun, false},
      {"statement answer late", kContinue, Fault::kLate, Outcome::kNotRun, false},
      {"commit broken before", kCommit, Fault::kBreakBefore, Outcome::kUnknown, false},
      {"commit broken after", kCommit, Fault::kBreakAfter, Outcome::kUnknown, true},
      {"commit answer late", kCommit, Fault::kLate, Outcome::kUnknown, true},
      {"commit answered twice", kCommit, Fault::kDuplicateReply, Outcome::kResult, true},
      {"rollback broken", kRollback, Fault::kBreakBefore, Outcome::kResult, false},
  };
  for (const Case& c : cases) {
    TableHarness h;
    const std::string id = h.Begin();
    h.group.faults = {c.fault};
    EXPECT_EQ(h.Run(c.step, id, c.step == kContinue ? "PUT x 2" : "").outcome, c.outcome) << c.name;
    EXPECT_EQ(h.group.Server("a").Get("x").has_value(), c.applied) << c.name;
    EXPECT_EQ(h.group.pool.Idle(), c.fault == Fault::kDuplicateReply ? 1u : 0u) << c.name;
    EXPECT_EQ(h.Run(kContinue, id, "PUT x 3").reason, Reason::kNoTransaction) << c.name;
    EXPECT_TRUE(h.table.Empty()) << c.name;
  }
}

// Guards against not_run for a repeated commit whose first run may have taken effect.
TEST(TransactionTableTest, RepeatedCommitsAreNeverReportedAsNotRun) {
  TableHarness h;
  const std::string done = h.Begin();
  EXPECT_EQ(h.Run(kCommit, done).outcome, Outcome::kResult);
  EXPECT_EQ(h.Run(kCommit, done).outcome, Outcome::kResult);

  const std::string ran = h.Begin("PUT y 1");
  h.group.faults = {Fault::kBreakAfter};
  EXPECT_EQ(h.Run(kCommit, ran).outcome, Outcome::kUnknown);
  const ExecuteAnswer recorded = h.Run(kCommit, ran);
  EXPECT_EQ(recorded.outcome, Outcome::kResult);
  EXPECT_TRUE(recorded.duplicate);

  const std::string lost = h.Begin("PUT z 1");
  h.group.faults = {Fault::kBreakBefore};
  EXPECT_EQ(h.Run(kCommit, lost).outcome, Outcome::kUnknown);
  EXPECT_EQ(h.Run(kCommit, lost).outcome, Outcome::kUnknown);

  const std::string twice = h.Begin("PUT w 1");
  std::vector<Outcome> outcomes;
  for (int i = 0; i < 2; ++i) {
    h.table.Execute(h.Command(kCommit, twice, ""), "entry",
                    [&](const ExecuteAnswer& answer) { outcomes.push_back(answer.outcome); });
  }
  h.group.clock.Advance(seconds(1));
  EXPECT_EQ(outcomes, (std::vector<Outcome>{Outcome::kResult, Outcome::kResult}));

  h.group.clock.Advance(TransactionTable::kEndRetention);
  EXPECT_EQ(h.Run(kCommit, done).outcome, Outcome::kUnknown);
  EXPECT_EQ(h.Run(kContinue, done).outcome, Outcome::kNotRun);
}

// Guards against the use of a transaction by another caller group or by a second concurrent
// request, and against a refusal that ends the transaction.
TEST(TransactionTableTest, RefusedStepsLeaveTheTransactionOpen) {
  struct Case {
    const char* name;
    std::function<void(ExecuteCommand&)> change;
    Reason reason;
  };
  const Case cases[] = {
      {"other group", [](auto& c) { c.caller_group = "mill"; }, Reason::kNoTransaction},
      {"unknown id", [](auto& c) { c.transaction += "0"; }, Reason::kNoTransaction},
      {"deadline", [](auto& c) { c.remaining = Duration::zero(); }, Reason::kDeadline},
      {"single", [](auto& c) { c.request.step = TransactionStep::kSingle; }, Reason::kBadRequest},
  };
  TableHarness h;
  const std::string id = h.Begin();
  for (const Case& c : cases) {
    ExecuteCommand command = h.Command(kContinue, id, "PUT x 2");
    c.change(command);
    const ExecuteAnswer answer = h.Run(command);
    EXPECT_EQ(answer.outcome, Outcome::kNotRun) << c.name;
    EXPECT_EQ(answer.reason, c.reason) << c.name;
  }
  h.table.Execute(h.Command(kContinue, id, "PUT x 3"), "entry", [](const ExecuteAnswer&) {});
  EXPECT_EQ(h.Run(kContinue, id, "PUT x 4").reason, Reason::kTooManyRequests);
  h.group.clock.Advance(milliseconds(5));
  EXPECT_EQ(h.Run(kCommit, id).outcome, Outcome::kResult);
  EXPECT_EQ(h.group.Server("a").Get("x"), "3");
}

// Guards against a transaction that holds a connection, which is scarce, without a time limit.
TEST(TransactionTableTest, TimeLimitsRollBackTransactions) {
  TableHarness h;
  const std::string idle = h.Begin();
  h.group.clock.Advance(TransactionTable::kIdleLimit + milliseconds(5));
  EXPECT_TRUE(h.table.Empty());
  EXPECT_EQ(h.group.pool.Idle(), 1u);
  EXPECT_EQ(h.Run(kCommit, idle).outcome, Outcome::kNotRun);
  for (const bool running : {false, true}) {
    const std::string busy = h.Begin();
    for (int i = 0; i < 8; ++i) {
      EXPECT_EQ(h.Run(kContinue, busy, "PUT x 1").outcome, Outcome::kResult);
      h.group.clock.Advance(seconds(7));
    }
    ExecuteCommand last = h.Command(kContinue, busy, "PUT x 1");
    last.remaining = seconds(30);
    h.group.faults = {running ? Fault::kNoReply : Fault::kNone};
    h.table.Execute(last, "entry", [](const ExecuteAnswer&) {});
    h.group.clock.Advance(seconds(4));
    EXPECT_TRUE(h.table.Empty()) << running;
    EXPECT_EQ(h.group.Server("a").Get("x"), std::nullopt);
  }
}

// Guards against a write that a read-only transaction drops without an error, and against a begin
// that is answered from a request record without opening a transaction.
TEST(TransactionTableTest, StepsFollowTheBegin) {
  TableHarness h;
  ExecuteCommand read_only = h.Command(kBegin, "", "GET x");
  read_only.request.write = false;
  const std::string id = h.Run(read_only).transaction;
  EXPECT_EQ(h.Run(kContinue, id, "PUT x 1").outcome, Outcome::kFailed);
  const std::string first = h.Begin("PUT x 2");
  EXPECT_EQ(h.Run(kCommit, first).outcome, Outcome::kResult);
  ExecuteCommand begin = h.Command(kBegin, "", "PUT x 3");
  begin.request.request_id = "shop:" + first;
  EXPECT_EQ(h.Run(kCommit, h.Run(begin).transaction).outcome, Outcome::kResult);
  EXPECT_EQ(h.group.Server("a").Get("x"), "3");
}

// Guards against transactions of a failed entry proxy that keep their connections, and against the
// interruption of a commit that was sent.
TEST(TransactionTableTest, FailedEntryProxyAbortsItsTransactionsExceptSentCommits) {
  TableHarness h;
  h.Begin("PUT x 1");
  const std::string committing = h.Begin("PUT y 1");
  Outcome outcome = Outcome::kNotRun;
  h.table.Execute(h.Command(kCommit, committing, ""), "entry",
                  [&](const ExecuteAnswer& answer) { outcome = answer.outcome; });
  Reason begin_reason = Reason::kNone;
  h.table.Execute(h.Command(kBegin, "", "PUT z 1"), "entry",
                  [&](const ExecuteAnswer& answer) { begin_reason = answer.reason; });
  h.table.MemberGone("other");
  EXPECT_EQ(h.table.Size(), 2u);
  h.table.MemberGone("entry");
  EXPECT_EQ(h.table.Size(), 1u);
  h.group.clock.Advance(seconds(1));
  EXPECT_EQ(outcome, Outcome::kResult);
  EXPECT_EQ(begin_reason, Reason::kNoTransaction);
  EXPECT_TRUE(h.table.Empty());
  EXPECT_EQ(h.group.Server("a").Get("x"), std::nullopt);
  EXPECT_EQ(h.group.Server("a").OpenConnections(), h.group.pool.Idle());
}

// Guards against a stop that interrupts an open transaction or admits a new one.
TEST(TransactionTableTest, StopLetsOpenTransactionsFinish) {
  TableHarness h;
  const std::string id = h.Begin();
  h.table.Stop();
  EXPECT_EQ(h.Run(kBegin, "", "PUT x 2").reason, Reason::kStopping);
  EXPECT_FALSE(h.table.Empty());
  EXPECT_EQ(h.Run(kCommit, id).outcome, Outcome::kResult);
  EXPECT_TRUE(h.table.Empty());
}

// Guards, under random interleavings and faults, against statements of different transactions on
// one connection, against the use of a lost connection, and against outcomes that contradict the
// stored data.
RC_GTEST_PROP(TransactionTableProperty, TransactionsNeverMix, ()) {
  TableHarness h(2);
  std::vector<std::string> ids(6);
  std::vector<ExecuteAnswer> commits(6);
  std::set<int> begun;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 40)));
  for (const auto& [number, event] : steps) {
    const std::string key = "k" + std::to_string(number);
    std::string& id = ids[static_cast<std::size_t>(number)];
    ExecuteAnswer& commit = commits[static_cast<std::size_t>(number)];
    if (event >= 32) {
      h.group.faults.push_back(static_cast<Fault>(event % 6));
    }
    if (event % 8 == 7) {
      h.table.MemberGone("entry" + std::to_string(number % 2));
    }
    const std::string entry = "entry" + std::to_string(number % 2);
    // One begin for each number: the keys of a number belong to one transaction.
    if (begun.insert(number).second) {
      h.table.Execute(h.Command(kBegin, "", "PUT " + key + "a 1"), entry,
                      [&id](const ExecuteAnswer& answer) { id = answer.transaction; });
    } else if (id.empty()) {
      h.group.clock.Advance(milliseconds(1));
    } else if (event % 4 != 3) {
      h.table.Execute(h.Command(kContinue, id, "PUT " + key + "b 1"), entry,
                      [](const ExecuteAnswer&) {});
    } else if (commit.outcome != Outcome::kResult) {
      h.table.Execute(h.Command(kCommit, id, ""), entry,
                      [&commit](const ExecuteAnswer& answer) { commit = answer; });
    }
    h.group.clock.Advance(milliseconds(event));
  }
  h.group.faults.clear();
  h.group.clock.Advance(seconds(70));
  RC_ASSERT(h.violations.empty());
  RC_ASSERT(h.table.Empty());
  RC_ASSERT(h.group.Server("a").OpenConnections() == h.group.pool.Idle());
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const bool applied = h.group.Server("a").Get("k" + std::to_string(i) + "a").has_value();
    RC_ASSERT(commits[i].outcome != Outcome::kResult || applied);
    RC_ASSERT(commits[i].outcome != Outcome::kNotRun || !applied);
  }
}

}  // namespace
}  // namespace sycamoredrum
