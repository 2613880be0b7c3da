#include <absl/strings/str_split.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>

#include "simulated_group_test.h"
#include "sycamoredrum/request_executor.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

// With 5, the default 100 cases of rapidcheck take half a minute under AddressSanitizer.
constexpr std::uint64_t kSimulationsPerCase = 5;

/// Number of events of each kind in all simulations; 0 means that a check was not exercised.
struct Totals {
  int acknowledged = 0, unknown = 0, not_run = 0, duplicates = 0, reads = 0, promotions = 0;
};
Totals totals;

/// A write of the session and the outcomes of all its transmissions.
struct SessionWrite {
  std::vector<Outcome> outcomes;
  bool acknowledged = false;     ///< A proxy reported a result.
  bool result_received = false;  ///< The caller received that answer.
};

/// One session that sends parallel reads and writes through two proxies.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : group(this->clock, seed) {
    const int max_age = static_cast<int>(this->group.Random()() % 3) * 200;
    for (int i = 0; i < kProxies; ++i) {
      this->executors.push_back(std::make_unique<RequestExecutor>(
          "west", this->Hooks(i, milliseconds(max_age)), this->clock, this->clock,
          [this] { return this->group.Random()(); }));
      this->group.Every(milliseconds(100), [this, i] {
        this->Refresh(i, this->clock.Now(), [](const DatabaseViewPtr&) {});
      });
    }
  }

  void Run() {
    this->clock.Advance(milliseconds(300));
    for (int i = 0; i < 150; ++i) {
      this->clock.Advance(this->group.Delay(60));
      if (this->group.Chance(3)) {
        this->session.reset();
        ++this->token_losses;
      }
      if (this->group.Chance(50)) {
        this->Read();
      } else if (!this->writes.empty() && this->group.Chance(30)) {
        this->Write(this->group.Random()() % this->writes.size());
      } else {
        this->writes.emplace_back();
        this->Write(this->writes.size() - 1);
      }
    }
    this->clock.Advance(milliseconds(500));
    this->group.StopFaults();
    this->clock.Advance(milliseconds(8000));
    totals.promotions += this->group.Promotions();
    this->CheckFinalState();
  }

  std::vector<std::string> errors;

 private:
  RequestExecutorHooks Hooks(int proxy, milliseconds max_age) {
    RequestExecutorHooks hooks;
    hooks.view = [this, proxy](const std::string&) { return this->views[proxy]; };
    hooks.prove = [this, proxy](const std::string&, TimePoint not_before, TimePoint,
                                ProveCallback done) { this->Refresh(proxy, not_before, done); };
    hooks.send = [this, proxy](const ExecuteCommand& command, TimePoint deadline,
                               ExecuteCallback done) {
      this->group.Send(proxy, command, deadline, done);
    };
    hooks.database = [](const std::string&) {
      DatabaseConfig config;
      for (const char* id : {"a", "b", "c"}) {
        config.backend_servers.emplace_back();
        config.backend_servers.back().id = id;
      }
      return std::make_shared<const DatabaseConfig>(config);
    };
    hooks.max_read_age = [max_age](const std::string&) { return std::make_optional(max_age); };
    hooks.new_request_id = [this] { return absl::StrCat("generated-", ++this->next_id); };
    hooks.take_retry = [this](const std::string&) { return this->group.Chance(80); };
    return hooks;
  }

  void Refresh(int proxy, TimePoint not_before, const ProveCallback& done) {
    if (this->group.Chance(5)) {
      return;
    }
    const TimePoint started = this->clock.Now();
    this->group.Probe(proxy, [=](const std::vector<BackendServerView>& servers) {
      const auto previous = this->views[proxy] ? this->views[proxy]->proof : std::nullopt;
      const auto view =
          std::make_shared<const DatabaseView>(BuildDatabaseView("d", servers, started, previous));
      this->views[proxy] = view;
      const bool proven = view->proof && view->proof->proven_at >= not_before;
      done(proven ? view : nullptr);
    });
  }

  CallerRequest Request(std::string statement) {
    CallerRequest request;
    request.database = "d";
    request.statements = {std::move(statement)};
    request.arrival = this->clock.Now();
    request.deadline = request.arrival + this->group.Delay(this->group.Chance(30) ? 100 : 1500);
    if (!this->group.Chance(10)) {
      request.session = this->session;
    }
    return request;
  }

  RequestExecutor& RandomExecutor() {
    return *this->executors[this->group.Random()() % this->executors.size()];
  }

  // Merges the answer's token into the session. Returns false if the caller lost its tokens after
  // it sent the request; the answer is lost with them.
  bool Receive(int losses_at_send, const RequestAnswer& answer) {
    if (losses_at_send != this->token_losses) {
      return false;
    }
    this->session =
        this->session ? SessionToken::Merge(*this->session, answer.session) : answer.session;
    return true;
  }

  void Write(std::size_t number) {
    CallerRequest request = this->Request(absl::StrCat("APPEND k ", number, ","));
    request.request_id = absl::StrCat("write-", number);
    const int losses_at_send = this->token_losses;
    this->RandomExecutor().Execute(
        request, [this, number, losses_at_send](const RequestAnswer& answer) {
          SessionWrite& write = this->writes[number];
          write.outcomes.push_back(answer.answer.outcome);
          const bool result = answer.answer.outcome == Outcome::kResult;
          write.acknowledged = write.acknowledged || result;
          totals.acknowledged += result ? 1 : 0;
          totals.unknown += answer.answer.outcome == Outcome::kUnknown ? 1 : 0;
          totals.not_run += answer.answer.outcome == Outcome::kNotRun ? 1 : 0;
          totals.duplicates += answer.answer.duplicate ? 1 : 0;
          if (this->group.Chance(5)) {
            this->unconfirmed = true;
            return;
          }
          const bool received = this->Receive(losses_at_send, answer);
          write.result_received = write.result_received || (received && result);
        });
  }

  void Read() {
    CallerRequest request = this->Request("GET k");
    request.read_only = true;
    request.unconfirmed = this->unconfirmed;
    const bool proven = request.unconfirmed || !request.session;
    std::vector<std::size_t> expected;
    for (std::size_t i = 0; i < this->writes.size(); ++i) {
      if (proven ? this->writes[i].acknowledged : this->writes[i].result_received) {
        expected.push_back(i);
      }
    }
    const int losses_at_send = this->token_losses;
    this->RandomExecutor().Execute(request, [=](const RequestAnswer& answer) {
      const bool received = this->Receive(losses_at_send, answer);
      if (answer.answer.outcome != Outcome::kResult) {
        return;
      }
      ++totals.reads;
      this->unconfirmed = this->unconfirmed && !(proven && received);
      for (const std::size_t number : expected) {
        if (Count(answer.answer.results.at(0), number) == 0) {
          this->errors.push_back(absl::StrCat("stale read without write ", number));
        }
      }
    });
  }

  static std::ptrdiff_t Count(const std::string& value, std::size_t number) {
    const std::vector<std::string> numbers = absl::StrSplit(value, ',');
    return std::count(numbers.begin(), numbers.end(), absl::StrCat(number));
  }

  void CheckFinalState() {
    const std::string value = this->group.FinalValue();
    for (std::size_t i = 0; i < this->writes.size(); ++i) {
      const std::vector<Outcome>& outcomes = this->writes[i].outcomes;
      const std::ptrdiff_t count = Count(value, i);
      const auto all = [&](Outcome outcome) {
        return std::all_of(outcomes.begin(), outcomes.end(),
                           [&](Outcome each) { return each == outcome; });
      };
      if (count > 1) {
        this->errors.push_back(absl::StrCat("write ", i, " ran ", count, " times"));
      }
      if (this->writes[i].acknowledged && count == 0) {
        this->errors.push_back(absl::StrCat("acknowledged write ", i, " is lost"));
      }
      if ((all(Outcome::kNotRun) || all(Outcome::kFailed)) && count > 0) {
        this->errors.push_back(absl::StrCat("refused write ", i, " was applied"));
      }
      if (outcomes.empty()) {
        this->errors.push_back(absl::StrCat("write ", i, " has no answer"));
      }
    }
  }

  ManualClock clock;
  SimulatedGroup group;
  std::array<DatabaseViewPtr, kProxies> views;
  std::vector<std::unique_ptr<RequestExecutor>> executors;
  std::vector<SessionWrite> writes;
  std::optional<SessionToken> session;
  bool unconfirmed = false;
  int token_losses = 0;  ///< How often the caller lost its tokens.
  int next_id = 0;
};

// Guards against a read that misses a write of its own session, a second run of a non-idempotent
// request, the loss of an acknowledged write, and not_run for a request that took effect. The
// simulation has replication lag, promotions, lost, late and repeated messages, and parallel
// requests of one session through two proxies.
TEST(RequestExecutorSimulationTest, GuaranteesHoldInRandomInterleavings) {
  EXPECT_TRUE(rc::check("random interleavings", [] {
    const auto seed = *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
    for (std::uint64_t i = 0; i < kSimulationsPerCase; ++i) {
      RC_LOG() << "simulation seed " << seed + i << std::endl;
      Simulation simulation(seed + i);
      simulation.Run();
      RC_ASSERT(simulation.errors == std::vector<std::string>());
    }
  }));
  std::printf("acknowledged %d, unknown %d, not_run %d, duplicates %d, reads %d, promotions %d\n",
              totals.acknowledged, totals.unknown, totals.not_run, totals.duplicates, totals.reads,
              totals.promotions);
  for (const int total : {totals.acknowledged, totals.unknown, totals.not_run, totals.duplicates,
                          totals.reads, totals.promotions}) {
    EXPECT_GT(total, 0);
  }
}

}  // namespace
}  // namespace sycamoredrum
