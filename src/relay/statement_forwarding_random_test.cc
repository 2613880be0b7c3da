#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulated_relays_test.h"

namespace sycamoredrum {
namespace {

/// A caller that runs random operations one after the other and records what it was told.
class RandomCaller {
 public:
  struct Told {
    Statement statement;
    std::optional<StatementResult> result;
    std::vector<std::string> transaction;  ///< Ids of its statements, if this is a commit.
  };

  RandomCaller(SimulatedRelays& relays, int relay, const std::string& name)
      : relays(relays), relay(&relays.At(relay)), name(name) {
    const char* routes[] = {"place", "stock", "quotes"};
    this->session =
        relays.At(relay)
            .relay
            ->Open(SessionRequest{routes[relays.random() % 3], ""},
                   CallerSessionHooks{
                       [this](const StatementResult& result) { this->OnReply(result); }, [] {}})
            .session;
  }

  /// Sends the next statement if none is in progress.
  void Continue() {
    if (!this->Active() || (!this->told.empty() && !this->told.back().result)) {
      return;
    }
    if (this->in_transaction) {
      const bool commit = this->told.back().statement.kind != StatementKind::kBegin &&
                          this->relays.random() % 3 == 0;
      if (this->relays.random() % 20 == 0) {
        this->in_transaction = false;
        this->Send(StatementKind::kRollback);
      } else if (commit) {
        this->in_transaction = false;
        this->Send(StatementKind::kCommit);
        this->told.back().transaction = this->transaction;
      } else {
        this->Send(this->relays.random() % 2 == 0 ? StatementKind::kRead : StatementKind::kWrite);
        this->transaction.push_back(this->told.back().statement.id);
      }
      return;
    }
    switch (this->relays.random() % 3) {
      case 0:
        this->transaction.clear();
        this->Send(StatementKind::kBegin);
        break;
      case 1:
        this->Send(StatementKind::kRead);
        break;
      default:
        this->Send(StatementKind::kWrite);
        break;
    }
  }

  bool Active() const { return !this->gone && !this->relay->stopped; }

  void Leave() {
    this->gone = true;
    this->session->OnCallerDisconnected();
  }

  std::vector<Told> told;
  bool gone = false;

 private:
  void Send(StatementKind kind) {
    this->told.push_back(
        Told{MakeStatement(kind, this->name + "." + std::to_string(this->told.size())), {}, {}});
    const Statement statement = this->told.back().statement;
    this->session->Handle(statement);
  }

  void OnReply(const StatementResult& result) {
    ASSERT_FALSE(this->told.back().result) << "two answers to " << this->told.back().statement.id;
    this->told.back().result = result;
    this->in_transaction = result.state == TransactionState::kOpen;
    if (result.state == TransactionState::kFailed) {
      // Only the end of a failed transaction is accepted.
      this->relays.clock.RunAfter(milliseconds(1), [this] {
        if (!this->gone && this->told.back().result) {
          this->Send(StatementKind::kRollback);
        }
      });
    }
  }

  SimulatedRelays& relays;
  const SimulatedRelay* const relay;
  const std::string name;
  std::shared_ptr<CallerSession> session;
  bool in_transaction = false;
  std::vector<std::string> transaction;
};

struct Findings {
  int twice = 0;    ///< Writes and commits that ran more than once.
  int split = 0;    ///< Transactions with statements on several connections.
  int made_up = 0;  ///< Results of statements that did not run, or wrong receipts.
  int untrue = 0;   ///< Outcomes that contradict what ran.
  int answered = 0;
  int unknown = 0;
  int aborted = 0;
};

Findings Check(const SimulatedRelays& relays,
               const std::vector<std::unique_ptr<RandomCaller>>& callers) {
  Findings findings;
  std::map<std::string, std::vector<SimulatedDatabase::ExecutedStatement>> runs;
  for (const SimulatedDatabase::ExecutedStatement& run : relays.database.runs) {
    runs[run.id].push_back(run);
  }
  for (const auto& caller : callers) {
    for (const RandomCaller::Told& told : caller->told) {
      const auto& ran = runs[told.statement.id];
      const StatementKind kind = told.statement.kind;
      const bool effect = kind == StatementKind::kWrite || kind == StatementKind::kCommit;
      const bool reaches_server = effect || kind == StatementKind::kRead;
      findings.twice += effect && ran.size() > 1 ? 1 : 0;
      if (!told.result || !reaches_server) {
        continue;
      }
      if (!told.result->error) {
        ++findings.answered;
        findings.made_up += ran.empty() ? 1 : 0;
        const bool known_receipt = std::any_of(ran.begin(), ran.end(), [&told](const auto& run) {
          return told.result->receipt == "receipt of " + run.server;
        });
        findings.made_up += known_receipt ? 0 : 1;
      } else if (told.result->error->code == StatementErrorCode::kUnknownOutcome) {
        ++findings.unknown;
      } else if (kind == StatementKind::kCommit) {
        ++findings.aborted;
        // A transaction without writes has no effect, whether its commit ran or not.
        const bool wrote = std::any_of(
            told.transaction.begin(), told.transaction.end(), [&runs](const std::string& id) {
              return !runs[id].empty() && runs[id][0].kind == StatementKind::kWrite;
            });
        findings.untrue += !ran.empty() && wrote ? 1 : 0;
      } else if (kind == StatementKind::kWrite && !ran.empty()) {
        // kAborted: it ran in a transaction that was rolled back.
        findings.untrue += told.result->error->code == StatementErrorCode::kAborted ? 0 : 1;
      }
      if (kind == StatementKind::kCommit && !ran.empty()) {
        for (const std::string& id : told.transaction) {
          const bool same = !runs[id].empty() && runs[id].back().connection == ran[0].connection &&
                            runs[id].back().in_transaction;
          findings.split += same ? 0 : 1;
        }
      }
    }
  }
  return findings;
}

// Guards against combinations of failures that no other test has: lost, late and duplicate
// messages, relays that freeze, end and start again, callers that leave.
class StatementForwardingRandomTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(StatementForwardingRandomTest, NothingRunsTwiceAndOutcomesAreTrue) {
  constexpr int kRelays = 5;
  constexpr int kSteps = 1200;
  SimulatedRelays relays(kRelays);
  relays.random.seed(GetParam());
  relays.lose_one_in = 60;
  relays.duplicate_one_in = 10;
  relays.delay_one_in = 20;
  std::vector<std::unique_ptr<RandomCaller>> callers;
  std::map<int, int> restart_at;
  for (int step = 0; step < kSteps; ++step) {
    const int number = static_cast<int>(relays.random() % kRelays);
    const bool runs = restart_at.count(number) == 0;
    switch (relays.random() % 60) {
      case 0:
        if (runs) {
          relays.Freeze(number, milliseconds(relays.random() % 1500));
        }
        break;
      case 1:
        if (runs && restart_at.size() < 2) {
          relays.Kill(number);
          restart_at[number] = step + 20 + static_cast<int>(relays.random() % 100);
        }
        break;
      case 2:
        if (runs) {
          relays.At(number).sessions->StopAccepting();
          relays.At(number).relay->AbortTransactions("stop");
        }
        break;
      case 3:
        if (!callers.empty()) {
          callers[relays.random() % callers.size()]->Leave();
        }
        break;
      default:
        break;
    }
    for (auto restart = restart_at.begin(); restart != restart_at.end();) {
      if (restart->second <= step) {
        relays.Start(restart->first);
        restart = restart_at.erase(restart);
      } else {
        ++restart;
      }
    }
    const auto active = std::count_if(callers.begin(), callers.end(),
                                      [](const auto& caller) { return caller->Active(); });
    constexpr int kCallers = 40;
    if (active < kCallers) {
      if (restart_at.count(number) == 0) {
        callers.push_back(
            std::make_unique<RandomCaller>(relays, number, "c" + std::to_string(callers.size())));
      }
    }
    for (const auto& caller : callers) {
      if (relays.random() % 2 == 0) {
        caller->Continue();
      }
    }
    relays.Advance(milliseconds(10));
  }
  relays.Advance(seconds(8));
  const Findings findings = Check(relays, callers);
  EXPECT_EQ(findings.twice, 0);
  EXPECT_EQ(findings.split, 0);
  EXPECT_EQ(findings.made_up, 0);
  EXPECT_EQ(findings.untrue, 0);
  // The failures must not be so frequent that nothing is checked.
  EXPECT_GT(findings.answered, 500);
  EXPECT_GT(findings.unknown, 0);
  EXPECT_GT(findings.aborted, 0);
  EXPECT_GT(relays.sent, 500);
  for (const auto& relay : relays.relays) {
    if (relay) {
      EXPECT_EQ(relay->sessions->Count(), 0U) << "a session was left open";
    }
  }
}

std::vector<std::uint64_t> RandomSeeds() {
  std::uint64_t count = 12;
  if (const char* other = std::getenv("SYCAMOREDRUM_SEEDS")) {
    count = std::stoull(other);
  }
  if (const char* one = std::getenv("SYCAMOREDRUM_SEED")) {
    return {std::stoull(one)};
  }
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

INSTANTIATE_TEST_SUITE_P(Seeds, StatementForwardingRandomTest, testing::ValuesIn(RandomSeeds()));

}  // namespace
}  // namespace sycamoredrum
