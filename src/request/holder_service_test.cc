#include "sycamoredrum/holder_service.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <vector>

#include "holder_test_group.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A clock that can be ahead of the scheduler's time, as in a process that resumes after a freeze.
class FreezingClock : public Clock {
 public:
  explicit FreezingClock(const Clock& base) : base(base) {}
  TimePoint Now() const override { return this->base.Now() + this->frozen; }

  const Clock& base;
  Duration frozen{};
};

ExecuteCommand Command(const std::string& statement, bool write, std::uint64_t term = 1) {
  ExecuteCommand command;
  command.database = "orders";
  command.backend_server = "a";
  command.caller_group = "shop";
  command.remaining = seconds(2);
  command.request.write = write;
  command.request.term = term;
  command.request.statements = {statement};
  command.request.fingerprint = statement;
  return command;
}

ExecuteCommand Write(const std::string& id, std::uint64_t term = 1) {
  ExecuteCommand command = Command("ADD x 1", true, term);
  command.request.request_id = id;
  return command;
}

class HolderServiceTest : public testing::Test {
 protected:
  // Runs a command to its end and checks that it is answered exactly once.
  ExecuteAnswer Run(const ExecuteCommand& command, HolderTestGroup& g) {
    std::vector<ExecuteAnswer> answers;
    HolderService holder(g.Hooks(), g.clock, g.clock);
    holder.Execute(command, [&](const ExecuteAnswer& answer) { answers.push_back(answer); });
    g.clock.Advance(seconds(5));
    EXPECT_EQ(answers.size(), 1u);
    EXPECT_EQ(holder.InProgress(), 0u);
    return answers.empty() ? ExecuteAnswer{} : answers.front();
  }
};

// Guards against not_run for a request that ran, against an incomplete result, and against a
// connection of unknown state that stays open.
TEST_F(HolderServiceTest, FaultsBetweenHolderAndBackendServer) {
  struct Case {
    const char* name;
    Fault fault;
    Outcome outcome;
    Reason reason;
    bool ran;
    bool connection_kept;
  };
  const Case cases[] = {
      {"no fault", Fault::kNone, Outcome::kResult, Reason::kNone, true, true},
      {"broken before the request arrives", Fault::kBreakBefore, Outcome::kUnknown,
       Reason::kConnectionLost, false, false},
      {"broken after the request ran", Fault::kBreakAfter, Outcome::kUnknown,
       Reason::kConnectionLost, true, false},
      {"no answer", Fault::kNoReply, Outcome::kUnknown, Reason::kConnectionLost, true, false},
      {"late answer", Fault::kLate, Outcome::kUnknown, Reason::kConnectionLost, true, false},
      {"double answer", Fault::kDuplicateReply, Outcome::kResult, Reason::kNone, true, true},
      {"truncated answer", Fault::kTruncated, Outcome::kUnknown, Reason::kConnectionLost, true,
       false},
  };
  for (const Case& c : cases) {
    HolderTestGroup g;
    g.faults = {c.fault};
    const ExecuteAnswer answer = this->Run(Write("r"), g);
    EXPECT_EQ(answer.outcome, c.outcome) << c.name;
    EXPECT_EQ(answer.reason, c.reason) << c.name;
    EXPECT_EQ(g.Server("a").Get("x").has_value(), c.ran) << c.name;
    EXPECT_EQ(g.pool.Idle(), c.connection_kept ? 1u : 0u) << c.name;
    EXPECT_EQ(g.Server("a").OpenConnections(), g.pool.Total()) << c.name;
  }
}

// Guards against a write that is acknowledged although too few copies contain it, or although a
// promotion may already have replaced the primary.
TEST_F(HolderServiceTest, WritesAreAcknowledgedOnlyIfTheRuleIsMet) {
  struct Case {
    const char* name;
    int copies;
    std::function<void(HolderTestGroup&)> prepare;
    Outcome outcome;
    Reason reason;
  };
  const auto fence = [](std::vector<std::string> ids) {
    return [ids](HolderTestGroup& g) {
      for (const std::string& id : ids) {
        g.Server(id).Fence(2, "q");
      }
    };
  };
  const auto fence_copies = [](std::set<std::string> ids) {
    return [ids](HolderTestGroup& g) { g.fence_on_wait = ids; };
  };
  const auto stop_replication = [](HolderTestGroup& g) { g.replicating = false; };
  const auto fail_waits = [](HolderTestGroup& g) { g.waits_fail = true; };
  const Case cases[] = {
      {"one replica confirms", 2, fence({"c"}), Outcome::kResult, Reason::kNone},
      {"both replicas promised a higher term before", 2, fence({"b", "c"}), Outcome::kUnknown,
       Reason::kUnconfirmed},
      {"one copy promised a higher term", 2, fence_copies({"b"}), Outcome::kResult, Reason::kNone},
      {"both copies promised a higher term", 2, fence_copies({"b", "c"}), Outcome::kUnknown,
       Reason::kFenced},
      {"no replica holds the write", 2, stop_replication, Outcome::kUnknown, Reason::kUnconfirmed},
      {"no replica answers", 2, fail_waits, Outcome::kUnknown, Reason::kUnconfirmed},
      {"three copies, one promised a higher term", 3, fence_copies({"c"}), Outcome::kUnknown,
       Reason::kFenced},
      {"one copy, no replica holds the write", 1, stop_replication, Outcome::kResult,
       Reason::kNone},
      {"one copy, both replicas promised a higher term", 1, fence({"b", "c"}), Outcome::kUnknown,
       Reason::kFenced},
      {"one copy, no replica answers", 1, fail_waits, Outcome::kUnknown, Reason::kUnconfirmed},
      {"more copies than backend servers", 4, fence({}), Outcome::kUnknown, Reason::kUnconfirmed},
  };
  for (const Case& c : cases) {
    HolderTestGroup g;
    auto database = std::make_shared<DatabaseConfig>(*g.database);
    database->acknowledge_copies = c.copies;
    g.database = database;
    c.prepare(g);
    const ExecuteAnswer answer = this->Run(Write("r"), g);
    EXPECT_EQ(answer.outcome, c.outcome) << c.name;
    EXPECT_EQ(answer.reason, c.reason) << c.name;
    EXPECT_EQ(g.Server("a").Get("x"), "1") << c.name;
  }
}

// Guards against not_run for a request that may run later, and against unknown for a request that
// certainly had no effect.
TEST_F(HolderServiceTest, RefusedRequestsHaveNoEffect) {
  struct Case {
    const char* name;
    std::function<void(HolderTestGroup&, ExecuteCommand&)> prepare;
    Outcome outcome;
    Reason reason;
  };
  const Case cases[] = {
      {"connection refused", [](auto& g, auto&) { g.refuse_opens = true; }, Outcome::kNotRun,
       Reason::kConnectionRefused},
      {"leaving", [](auto& g, auto&) { g.pool.SetLeaving(true); }, Outcome::kNotRun,
       Reason::kConnectionRefused},
      {"deadline before sending", [](auto&, auto& c) { c.remaining = milliseconds(11); },
       Outcome::kNotRun, Reason::kDeadline},
      {"no time left", [](auto&, auto& c) { c.remaining = Duration::zero(); }, Outcome::kNotRun,
       Reason::kDeadline},
      {"fenced primary", [](auto& g, auto&) { g.Server("a").Fence(2, "q"); }, Outcome::kNotRun,
       Reason::kFenced},
      {"replica", [](auto& g, auto&) { g.Server("a").Follow(2, "b"); }, Outcome::kNotRun,
       Reason::kNoPrimary},
      {"other term", [](auto&, auto& c) { c.request.term = 7; }, Outcome::kNotRun, Reason::kFenced},
      {"behind",
       [](auto&, auto& c) {
         c.request.require = {1, 99};
       },
       Outcome::kNotRun, Reason::kBehind},
      {"other history",
       [](auto&, auto& c) {
         c.request.require = {0, 1};
       },
       Outcome::kNotRun, Reason::kSessionPositionLost},
      {"bad statement", [](auto&, auto& c) { c.request.statements = {"DROP x"}; }, Outcome::kFailed,
       Reason::kStatement},
      {"unknown database", [](auto&, auto& c) { c.database = "quotes"; }, Outcome::kNotRun,
       Reason::kUnknownDatabase},
      {"no pool", [](auto&, auto& c) { c.backend_server = "b"; }, Outcome::kNotRun,
       Reason::kConnectionRefused},
      {"not a single request", [](auto&, auto& c) { c.request.step = TransactionStep::kCommit; },
       Outcome::kNotRun, Reason::kBadRequest},
  };
  for (const Case& c : cases) {
    HolderTestGroup g;
    ExecuteCommand command = Write("r");
    c.prepare(g, command);
    const ExecuteAnswer answer = this->Run(command, g);
    EXPECT_EQ(answer.outcome, c.outcome) << c.name;
    EXPECT_EQ(answer.reason, c.reason) << c.name << ": " << answer.message;
    EXPECT_EQ(g.Server("a").Get("x"), std::nullopt) << c.name;
  }
}

// Guards against a second run of a request with the same id, and against the acknowledgement of a
// recorded result that no other copy contains.
TEST_F(HolderServiceTest, DuplicatesAreConfirmedByTheSameRule) {
  HolderTestGroup g;
  g.replicating = false;
  EXPECT_EQ(this->Run(Write("r"), g).outcome, Outcome::kUnknown);
  EXPECT_EQ(this->Run(Write("r"), g).outcome, Outcome::kUnknown);
  g.replicating = true;
  const ExecuteAnswer answer = this->Run(Write("r"), g);
  EXPECT_EQ(answer.outcome, Outcome::kResult);
  EXPECT_TRUE(answer.duplicate);
  EXPECT_EQ(g.Server("a").Get("x"), "1");
}

// Guards against the acknowledgement of a request record of an earlier term while no majority
// contains an entry of the current term: a server without the record but with a higher last term
// could still be promoted.
TEST_F(HolderServiceTest, RecordsOfEarlierTermsNeedAnEntryOfTheCurrentTerm) {
  HolderTestGroup g;
  EXPECT_EQ(this->Run(Write("r"), g).outcome, Outcome::kResult);
  g.Replicate("b");
  g.Replicate("c");
  g.replicating = false;
  g.PromoteA(2);
  EXPECT_EQ(this->Run(Write("r", 2), g).outcome, Outcome::kUnknown);
  g.replicating = true;
  const ExecuteAnswer answer = this->Run(Write("r", 2), g);
  EXPECT_EQ(answer.outcome, Outcome::kResult);
  EXPECT_EQ(answer.position.term, 1u);
  EXPECT_EQ(g.Server("a").Get("x"), "1");
}

// Guards against a read that waits for other copies, and against not_run for a read whose
// connection broke after it was sent.
TEST_F(HolderServiceTest, ReadsAreAnsweredWithoutConfirmation) {
  HolderTestGroup g;
  g.waits_fail = true;
  const ExecuteAnswer answer = this->Run(Command("GET x", false), g);
  EXPECT_EQ(answer.outcome, Outcome::kResult);
  EXPECT_EQ(answer.results.size(), 1u);
  EXPECT_EQ(answer.position, (LogPosition{1, 1}));
  EXPECT_EQ(answer.backend_server, "a");
  g.faults = {Fault::kBreakAfter};
  EXPECT_EQ(this->Run(Command("GET x", false), g).outcome, Outcome::kUnknown);
}

// Guards against a connection that stays leased while its write waits for copies.
TEST_F(HolderServiceTest, ConnectionIsFreeWhileTheWriteIsConfirmed) {
  HolderTestGroup g(1);
  g.replicating = false;
  HolderService holder(g.Hooks(), g.clock, g.clock);
  std::optional<ExecuteAnswer> write;
  std::optional<ExecuteAnswer> read;
  holder.Execute(Write("r"), [&](const ExecuteAnswer& answer) { write = answer; });
  holder.Execute(Command("GET x", false), [&](const ExecuteAnswer& answer) { read = answer; });
  g.clock.Advance(milliseconds(30));
  EXPECT_FALSE(write);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->results.front(), "1");
  EXPECT_EQ(holder.InProgress(), 1u);
}

// Guards against a request that is sent after its deadline by a process that was frozen, when its
// timers have not run yet.
TEST_F(HolderServiceTest, NothingIsSentAfterAFreezePastTheDeadline) {
  HolderTestGroup g;
  FreezingClock freezing(g.clock);
  HolderService holder(g.Hooks(), freezing, g.clock);
  std::optional<ExecuteAnswer> answer;
  holder.Execute(Write("r"), [&](const ExecuteAnswer& given) { answer = given; });
  freezing.frozen = seconds(3);
  g.clock.Advance(milliseconds(20));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->reason, Reason::kDeadline);
  EXPECT_TRUE(g.requests_by_connection.empty());
  EXPECT_EQ(g.pool.Idle(), 1u);
}

// Guards against waits that multiply when a lost connection is reported twice.
TEST_F(HolderServiceTest, LostWaitsAreRepeatedOnceEach) {
  HolderTestGroup g;
  g.waits_fail = true;
  ExecuteCommand command = Write("r");
  command.remaining = milliseconds(220);
  EXPECT_EQ(this->Run(command, g).outcome, Outcome::kUnknown);
  EXPECT_GE(g.waits, 4);
  EXPECT_LE(g.waits, 10);  // Two servers, at most one wait per 50 ms on each.
}

// Guards against an answer from a service that was destroyed.
TEST_F(HolderServiceTest, AnswersAfterTheServiceEndedAreDropped) {
  HolderTestGroup g;
  int answers = 0;
  {
    HolderService holder(g.Hooks(), g.clock, g.clock);
    holder.Execute(Write("r"), [&](const ExecuteAnswer&) { ++answers; });
    g.clock.Advance(milliseconds(13));
  }
  g.clock.Advance(seconds(5));
  EXPECT_EQ(answers, 0);
}

}  // namespace
}  // namespace sycamoredrum
