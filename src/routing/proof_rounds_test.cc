#include "sycamoredrum/proof_rounds.h"

#include <gtest/gtest.h>

#include <set>

#include "backend_model.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

class ProofRoundsTest : public testing::Test {
 protected:
  ProofRoundsTest() {
    EXPECT_TRUE(this->a.Fence(1, "p").accepted);
    EXPECT_TRUE(this->b.Fence(1, "p").accepted);
    EXPECT_TRUE(this->a.Promote(1, "p").accepted);
  }

  ProofRoundHooks Hooks() {
    ProofRoundHooks hooks;
    hooks.status = [this](const std::string& server, Duration timeout, auto callback) {
      const milliseconds delay(5);
      if (this->disconnected.count(server) != 0) {
        this->clock.RunAfter(timeout, [callback] { callback(std::nullopt); });
        return;
      }
      this->clock.RunAfter(delay, [this, server, callback] {
        BackendModel& model = server == "a" ? this->a : server == "b" ? this->b : this->c;
        callback(model.Status());
      });
    };
    hooks.proven = [](const DatabaseView&) {};
    return hooks;
  }

  void Prove(Duration limit) {
    this->rounds.Prove(
        this->clock.Now(), this->clock.Now() + limit,
        [this](const std::optional<DatabaseView>& view) { this->answers.push_back(view); });
  }

  ManualClock clock;
  BackendModel a{"a", "orders", 20, clock};
  BackendModel b{"b", "orders", 20, clock};
  BackendModel c{"c", "orders", 20, clock};
  std::set<std::string> disconnected;
  std::vector<std::optional<DatabaseView>> answers;
  ProofRounds rounds{"orders", {"a", "b", "c"}, this->Hooks(), clock, clock};
};

// Guards against a separate round of status calls for each waiting read.
TEST_F(ProofRoundsTest, RequestsThatWaitTogetherShareARound) {
  for (int i = 0; i < 10; ++i) {
    this->Prove(milliseconds(100));
  }
  this->clock.Advance(milliseconds(50));
  EXPECT_EQ(this->answers.size(), 10U);
  EXPECT_EQ(this->rounds.Rounds(), 1U);
  EXPECT_EQ(this->answers[0]->proof->position, (LogPosition{1, 1}));
}

// Guards against an answer whose proof is older than the arrival of the read.
TEST_F(ProofRoundsTest, ARoundThatStartedEarlierDoesNotAnswerALaterRequest) {
  this->Prove(milliseconds(100));
  this->clock.Advance(milliseconds(2));
  const TimePoint arrival = this->clock.Now();
  this->Prove(milliseconds(100));
  this->clock.Advance(milliseconds(50));
  ASSERT_EQ(this->answers.size(), 2U);
  EXPECT_GE(this->answers[1]->proof->proven_at, arrival);
  EXPECT_EQ(this->rounds.Rounds(), 2U);
}

// Guards against a proof without a majority, and against waiting past the deadline.
TEST_F(ProofRoundsTest, ProvesOnlyWithThePrimaryAndAMajority) {
  struct Case {
    std::set<std::string> disconnected;
    bool fence_replicas;
    bool proven;
  };
  const Case cases[] = {
      {{"c"}, false, true}, {{"b", "c"}, false, false}, {{"a"}, false, false}, {{}, true, false}};
  for (const Case& test : cases) {
    this->disconnected = test.disconnected;
    if (test.fence_replicas) {
      this->b.Fence(2, "q");
      this->c.Fence(2, "q");
    }
    this->answers.clear();
    this->Prove(milliseconds(300));
    this->clock.Advance(milliseconds(300));
    ASSERT_EQ(this->answers.size(), 1U);
    EXPECT_EQ(this->answers[0].has_value(), test.proven) << test.disconnected.size();
    this->clock.Advance(std::chrono::seconds(2));
  }
}

}  // namespace
}  // namespace sycamoredrum
