#include "history.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sycamoredrum {
namespace {

using testing::IsEmpty;

const std::vector<std::string> kResultsOfOneWrite = {"a/1;", "1"};

Attempt StartedAt(Attempt attempt, int time) {
  attempt.start = std::chrono::steady_clock::time_point(std::chrono::milliseconds(time));
  attempt.end = attempt.start + std::chrono::milliseconds(1);
  return attempt;
}

Attempt Write(int time, Outcome outcome) {
  Attempt attempt;
  attempt.write = true;
  attempt.key = "a";
  attempt.item = ItemText("a", 1);
  attempt.request_id = attempt.answered_request_id = "id-1";
  attempt.outcome = outcome;
  attempt.results = kResultsOfOneWrite;
  return StartedAt(attempt, time);
}

Attempt Read(int time, std::vector<std::string> results) {
  Attempt attempt;
  attempt.proxy = 1;
  attempt.key = "a";
  attempt.outcome = Outcome::kResult;
  attempt.results = std::move(results);
  return StartedAt(attempt, time);
}

Attempt AnsweredAs(const std::string& request_id) {
  Attempt attempt = Write(1, Outcome::kResult);
  attempt.answered_request_id = request_id;
  return attempt;
}

struct Case {
  std::string name;
  std::vector<Attempt> attempts;
  FinalValues values;
  std::vector<Rule> violated;
};

std::vector<Case> Cases() {
  const FinalValues one = {{"a", "a/1;"}, {"count-a", "1"}};
  return {
      {"acknowledged", {Write(1, Outcome::kResult), Read(2, kResultsOfOneWrite)}, one, {}},
      {"read before the write", {Read(1, {"", ""}), Write(2, Outcome::kResult)}, one, {}},
      {"unknown and present", {Write(1, Outcome::kUnknown)}, one, {}},
      {"unknown and absent", {Write(1, Outcome::kUnknown)}, {}, {}},
      {"not run after unknown", {Write(1, Outcome::kUnknown), Write(2, Outcome::kNotRun)}, one, {}},
      {"stale read", {Write(1, Outcome::kResult), Read(2, {"", ""})}, one, {Rule::kStaleOwnRead}},
      {"lost", {Write(1, Outcome::kResult)}, {}, {Rule::kLostWrite}},
      {"run twice",
       {Write(1, Outcome::kUnknown), Write(2, Outcome::kResult)},
       {{"a", "a/1;a/1;"}, {"count-a", "2"}},
       {Rule::kRunTwice}},
      {"not run but present", {Write(1, Outcome::kNotRun)}, one, {Rule::kNotRunHasEffect}},
      {"failed but present", {Write(1, Outcome::kFailed)}, one, {Rule::kNotRunHasEffect}},
      {"counter without item",
       {Write(1, Outcome::kUnknown)},
       {{"count-a", "1"}},
       {Rule::kPartialTransaction}},
      {"counter counted twice",
       {Write(1, Outcome::kResult)},
       {{"a", "a/1;"}, {"count-a", "2"}},
       {Rule::kPartialTransaction}},
      {"answer of another key", {Read(1, {"b/1;", "1"})}, {}, {Rule::kForeignAnswer}},
      {"answer of another request", {AnsweredAs("id-2")}, one, {Rule::kForeignAnswer}},
      {"incomplete answer", {Read(1, {"a/1;"})}, one, {Rule::kForeignAnswer}},
  };
}

// Guards against a checker that accepts histories with violations or rejects correct ones.
TEST(HistoryTest, FindsExactlyTheBrokenRule) {
  for (const Case& item : Cases()) {
    SCOPED_TRACE(item.name);
    std::vector<Rule> violated;
    for (const Violation& violation : CheckHistory(item.attempts, item.values)) {
      violated.push_back(violation.rule);
    }
    EXPECT_EQ(violated, item.violated);
  }
}

// Guards against a check that depends on the order in which threads recorded their attempts.
TEST(HistoryTest, OrdersAttemptsByTheirStart) {
  const FinalValues one = {{"a", "a/1;"}, {"count-a", "1"}};
  const auto found = CheckHistory({Read(2, {"", ""}), Write(1, Outcome::kResult)}, one);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].rule, Rule::kStaleOwnRead);
}

// Guards against a read that is compared with the writes of another session.
TEST(HistoryTest, ComparesReadsWithTheirOwnSession) {
  const FinalValues one = {{"a", "a/1;"}, {"count-a", "1"}};
  Attempt read = Read(2, {"", ""});
  read.caller = 1;
  EXPECT_THAT(CheckHistory({Write(1, Outcome::kResult), read}, one), IsEmpty());
}

}  // namespace
}  // namespace sycamoredrum
