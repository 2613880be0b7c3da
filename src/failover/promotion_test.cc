#include "sycamoredrum/promotion.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "backend_model.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

constexpr Duration kDelay = std::chrono::milliseconds(5);

// Servers "a", "b" and "c"; `fence` and `promote` take 5 ms each way.
class PromotionTest : public testing::Test {
 protected:
  using Callback = PromotionHooks::StatusCallback;

  void Answer(const std::string& server, const BackendServerStatus& status, Callback callback) {
    if (this->silent.count(server) == 0) {
      this->clock.RunAfter(kDelay, [callback, status] { callback(status); });
    }
  }
  PromotionHooks Hooks() {
    PromotionHooks hooks;
    hooks.fence = [this](const std::string& server, std::uint64_t term, const std::string& by,
                         Callback callback) {
      this->clock.RunAfter(kDelay, [=] {
        if (this->down.count(server) == 0) {
          this->Answer(server, this->servers.at(server).Fence(term, by), callback);
        }
      });
    };
    hooks.promote = [this](const std::string& server, std::uint64_t term, const std::string& by,
                           Callback callback) {
      ++this->promote_calls;
      this->clock.RunAfter(kDelay, [=] {
        this->Answer(server, this->servers.at(server).Promote(term, by), callback);
      });
    };
    hooks.follow = [this](const std::string& server, std::uint64_t term, const std::string& primary,
                          Callback) { this->servers.at(server).Follow(term, primary); };
    hooks.status = [this](const std::string& server, Callback callback) {
      this->Answer(server, this->servers.at(server).Status(), callback);
    };
    return hooks;
  }
  std::unique_ptr<Promotion> Make(std::uint64_t term, const std::string& proposer) {
    PromotionRequest request;
    request.backend_servers = {"a", "b", "c"};
    request.proposer = proposer;
    request.term = term;
    request.hand_over_from = this->hand_over_from;
    return std::make_unique<Promotion>(
        request, this->Hooks(), [this](const PromotionResult& r) { this->results.push_back(r); },
        PromotionTimings(), this->clock, this->clock);
  }
  PromotionResult RunAttempt(std::uint64_t term, const std::string& proposer) {
    const auto promotion = this->Make(term, proposer);
    promotion->Start();
    this->clock.Advance(std::chrono::seconds(5));
    return this->results.empty() ? PromotionResult{} : this->results.back();
  }
  void WriteAt(const std::string& server, std::uint64_t term) {
    BackendRequest request;
    request.write = true;
    request.term = term;
    request.statements = {"ADD x 1"};
    BackendModel& model = this->servers.at(server);
    ASSERT_EQ(model.Execute(*model.Open(), request).error, BackendError::kNone);
  }
  void Replicate(const std::string& from, const std::string& to) {
    const LogRequest request = this->servers.at(to).NextLogRequest();
    this->servers.at(to).ApplyLog(from, request, this->servers.at(from).ReadLog(request));
  }

  ManualClock clock;
  std::map<std::string, BackendModel> servers = {{"a", {"a", "orders", 20, clock}},
                                                 {"b", {"b", "orders", 20, clock}},
                                                 {"c", {"c", "orders", 20, clock}}};
  std::set<std::string> down;    // `fence` calls do not arrive.
  std::set<std::string> silent;  // Calls take effect, but their answers are lost.
  std::string hand_over_from;
  int promote_calls = 0;
  std::vector<PromotionResult> results;
};

// Guards against the promotion of a server that lacks confirmed writes, which would lose them.
TEST_F(PromotionTest, PromotesTheMostAdvancedOfTheFencedServers) {
  this->RunAttempt(1, "p");
  const std::string first = this->results.back().primary;
  const std::string ahead = first == "c" ? "b" : "c";
  this->WriteAt(first, 1);
  this->Replicate(first, ahead);
  this->down = {first};
  const PromotionResult result = this->RunAttempt(2, "q");
  EXPECT_EQ(result.outcome, PromotionOutcome::kPromoted);
  EXPECT_EQ(result.primary, ahead);
  EXPECT_EQ(result.fence_time, 2 * kDelay + PromotionTimings().slow_fence_wait);
}

// Guards against attempts that never end, end twice, or report a wrong outcome.
TEST_F(PromotionTest, EndsOnceInEveryFault) {
  struct Case {
    const char* name;
    std::set<std::string> down;
    std::set<std::string> silent;
    std::uint64_t promised;
    PromotionOutcome outcome;
  };
  const Case cases[] = {
      {"all answer", {}, {}, 0, PromotionOutcome::kPromoted},
      {"one down", {"a"}, {}, 0, PromotionOutcome::kPromoted},
      {"two down", {"a", "b"}, {}, 0, PromotionOutcome::kNoMajority},
      {"answers of two lost", {}, {"b", "c"}, 0, PromotionOutcome::kNoMajority},
      {"higher term promised", {}, {}, 900, PromotionOutcome::kRefused},
      {"same term promised to another", {}, {}, 50, PromotionOutcome::kRefused},
  };
  std::uint64_t term = 10;
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    this->results.clear();
    this->promote_calls = 0;
    this->down = c.down;
    this->silent = c.silent;
    term = c.promised == 50 ? 901 : term + 1;
    const std::uint64_t promised = c.promised == 50 ? term : c.promised;
    if (promised != 0) {
      this->servers.at("b").Fence(promised, "other");
    }
    const PromotionResult result = this->RunAttempt(term, "p" + std::to_string(term));
    EXPECT_EQ(this->results.size(), 1u);
    EXPECT_EQ(result.outcome, c.outcome);
    EXPECT_EQ(result.higher_term, promised);
    EXPECT_EQ(this->promote_calls > 0, c.outcome == PromotionOutcome::kPromoted);
  }
}

// Guards against an attempt that fails, or promotes a second server, when an answer to `promote` is
// lost.
TEST_F(PromotionTest, RepeatsPromoteOfTheSameServerAfterALostAnswer) {
  const auto promotion = this->Make(1, "p");
  promotion->Start();
  this->clock.Advance(2 * kDelay);
  this->silent = {"a", "b", "c"};
  this->clock.Advance(std::chrono::milliseconds(50));
  this->silent.clear();
  this->clock.Advance(std::chrono::seconds(1));
  ASSERT_EQ(this->results.size(), 1u);
  EXPECT_EQ(this->results[0].outcome, PromotionOutcome::kPromoted);
  EXPECT_EQ(this->promote_calls, 2);
}

// Guards against a hand-over that promotes a replica without the primary's last writes, and against
// a group that is left without a primary because no replica caught up in time.
TEST_F(PromotionTest, HandOverKeepsTheLastWrites) {
  this->RunAttempt(1, "p");
  const std::string primary = this->results.back().primary;
  const std::string replica = primary == "c" ? "b" : "c";
  this->hand_over_from = primary;
  for (const bool catches_up : {false, true}) {
    const std::uint64_t term = this->results.back().term;
    this->WriteAt(primary, term);
    const auto promotion = this->Make(term + 1, "h" + std::to_string(term));
    promotion->Start();
    this->clock.Advance(std::chrono::milliseconds(500));
    if (catches_up) {
      this->Replicate(primary, replica);
    }
    this->clock.Advance(std::chrono::seconds(2));
    EXPECT_EQ(this->results.back().outcome, PromotionOutcome::kPromoted);
    EXPECT_EQ(this->results.back().primary, catches_up ? replica : primary);
    EXPECT_EQ(this->servers.at(this->results.back().primary).Get("x"), catches_up ? "2" : "1");
  }
}

}  // namespace
}  // namespace sycamoredrum
