#include <gtest/gtest.h>
#include <signal.h>

#include <future>

#include "load.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the 10 s between full-state exchanges, since a returning member may be seen again
// only through such an exchange.
constexpr seconds kWaitLimit(30);
constexpr int kWrites = 60;

class ProxiesTest : public testing::Test {
 protected:
  ProxiesTest() : fleet(FleetOptions()) { this->fleet.Start(); }

  /// Proxy that holds a transaction, from its id "<member>.<random>".
  static int HolderOf(const std::string& transaction) {
    const std::string member = transaction.substr(0, transaction.find('.'));
    return std::stoi(member.substr(member.find('-') + 1));
  }

  /// Proxy that holds a transaction begun through proxy 0, and so connections to the primary.
  int HolderOfPrimary() {
    const std::string transaction = this->Begin(0);
    this->fleet.CallerCall(0, "/v1/transactions/" + transaction + "/rollback", json::object());
    return HolderOf(transaction);
  }

  std::string Begin(int proxy) {
    CallerAnswer answer;
    const bool begun = Fleet::WaitUntil(
        [&] {
          answer =
              this->fleet.CallerCall(proxy, "/v1/databases/orders/transactions", json::object());
          return answer.outcome == "result";
        },
        kWaitLimit);
    EXPECT_TRUE(begun) << answer.body.dump();
    return answer.body.value("transaction", "proxy-0.none");
  }

  /// True if every proxy other than `except` (-1: none is left out) reports `count` alive members.
  bool AllSeeAliveMembers(int except, std::size_t count) {
    for (int proxy = 0; proxy < this->fleet.ProxyCount(); ++proxy) {
      const json status = proxy == except ? json() : this->fleet.Status(proxy);
      if (proxy != except && (!status.is_object() || CountAliveMembers(status) != count)) {
        return false;
      }
    }
    return true;
  }

  static std::size_t CountAliveMembers(const json& status) {
    std::size_t count = 0;
    for (const json& member : status.at("members")) {
      count += member.value("state", "") == "alive" ? 1 : 0;
    }
    return count;
  }

  void ExpectCorrect(Load& load) {
    load.Stop();
    const auto violations = load.Check(this->fleet.ActingPrimary("orders", kWaitLimit));
    EXPECT_TRUE(violations.empty()) << Describe(violations);
  }

  void KillAndRestartUnderLoad(int proxy) {
    Load load(this->fleet, LoadOptions());
    ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
    this->fleet.ProxyProcess(proxy).Signal(SIGKILL);
    EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
    this->fleet.StartProxy(proxy);
    const auto ready = [&] {
      const json status = this->fleet.Status(proxy);
      return status.is_object() && status.value("ready", false);
    };
    EXPECT_TRUE(Fleet::WaitUntil(ready, kWaitLimit));
    EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
    this->ExpectCorrect(load);
  }

  Fleet fleet;
};

// Guards against a write that is lost or run twice when its entry proxy is killed.
TEST_F(ProxiesTest, KilledEntryProxyLosesAndRepeatsNothing) {
  const int holder = this->HolderOfPrimary();
  this->KillAndRestartUnderLoad((holder + 2) % this->fleet.ProxyCount());
}

// Guards against a write that is lost or run twice when the holder of its connection is killed.
TEST_F(ProxiesTest, KilledHolderLosesAndRepeatsNothing) {
  this->KillAndRestartUnderLoad(this->HolderOfPrimary());
}

// Guards against a paused proxy that still acts on its old duties when it resumes, after the others
// have taken them over.
TEST_F(ProxiesTest, PausedHolderDoesNotActOnItsOldDuties) {
  const int holder = this->HolderOfPrimary();
  Load load(this->fleet, LoadOptions());
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  this->fleet.ProxyProcess(holder).Signal(SIGSTOP);
  const std::size_t count = this->fleet.ProxyCount();
  EXPECT_TRUE(
      Fleet::WaitUntil([&] { return this->AllSeeAliveMembers(holder, count - 1); }, kWaitLimit));
  EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  this->fleet.ProxyProcess(holder).Signal(SIGCONT);
  EXPECT_TRUE(Fleet::WaitUntil([&] { return this->AllSeeAliveMembers(-1, count); }, kWaitLimit));
  EXPECT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  this->ExpectCorrect(load);
}

// Guards against a read from a lagging replica that misses the session's own writes, also if the
// read goes through another proxy.
TEST_F(ProxiesTest, LaggingReplicaServesNoStaleOwnRead) {
  const std::string primary = this->fleet.ActingPrimary("orders", kWaitLimit);
  const std::vector<std::string> servers = this->fleet.BackendServers("orders");
  // Only one replica lags, since the other one has to confirm the writes.
  const std::string& lagging = servers[0] == primary ? servers[1] : servers[0];
  this->fleet.SetTestSwitch(this->fleet.ControlAddress(lagging), "lag", {{"ms", 300}});
  Load load(this->fleet, LoadOptions());
  EXPECT_TRUE(load.WaitForWrites(4 * kWrites, kWaitLimit));
  this->ExpectCorrect(load);
}

// Guards against a write that runs twice because the primary's answer to its first run was lost.
TEST_F(ProxiesTest, LostAnswersOfThePrimaryRepeatNothing) {
  Load load(this->fleet, LoadOptions());
  ASSERT_TRUE(load.WaitForWrites(kWrites, kWaitLimit));
  const std::string primary = this->fleet.ActingPrimary("orders", kWaitLimit);
  this->fleet.SetTestSwitch(this->fleet.ControlAddress(primary), "lose-answers", {{"count", 20}});
  EXPECT_TRUE(load.WaitForWrites(2 * kWrites, kWaitLimit));
  this->ExpectCorrect(load);
}

/// When the holder of an open transaction is killed.
struct KillTime {
  std::string name;
  bool commit_sent;
};

class KilledTransactionTest : public ProxiesTest, public testing::WithParamInterface<KillTime> {
 protected:
  CallerAnswer Commit(int entry, const std::string& transaction) {
    return this->fleet.CallerCall(entry, "/v1/transactions/" + transaction + "/commit",
                                  json::object());
  }

  /// Sends the commit, kills the holder while the commit waits at the backend server, and returns
  /// the answer.
  CallerAnswer CommitAndKill(int entry, const std::string& transaction) {
    const Endpoint control =
        this->fleet.ControlAddress(this->fleet.ActingPrimary("orders", kWaitLimit));
    this->fleet.SetTestSwitch(control, "statement-delay", {{"ms", 500}});
    auto commit = std::async(std::launch::async, [&] { return this->Commit(entry, transaction); });
    const auto sent = [&] {
      return this->fleet.Status(entry).value("requests_in_progress", 0) > 0;
    };
    EXPECT_TRUE(Fleet::WaitUntil(sent, kWaitLimit));
    this->fleet.ProxyProcess(HolderOf(transaction)).Signal(SIGKILL);
    CallerAnswer answer = commit.get();
    this->fleet.SetTestSwitch(control, "statement-delay", {{"ms", 0}});
    return answer;
  }
};

// Guards against a commit answer that contradicts the stored data, and against a transaction that
// takes effect in part, when its holder is killed before or during the commit.
TEST_P(KilledTransactionTest, AnswerMatchesItsAtomicOutcome) {
  const int holder = this->HolderOfPrimary();
  const int entry = (holder + 2) % this->fleet.ProxyCount();
  const std::string transaction = this->Begin(entry);
  ASSERT_EQ(HolderOf(transaction), holder);
  const json body = {{"statements", {"APPEND list x;", "ADD count-list 1"}}};
  const CallerAnswer run =
      this->fleet.CallerCall(entry, "/v1/transactions/" + transaction + "/execute", body);
  ASSERT_EQ(run.outcome, "result") << run.body.dump();
  CallerAnswer answer;
  if (GetParam().commit_sent) {
    answer = this->CommitAndKill(entry, transaction);
  } else {
    this->fleet.ProxyProcess(holder).Signal(SIGKILL);
    answer = this->Commit(entry, transaction);
  }
  EXPECT_TRUE(answer.outcome == "unknown" || answer.outcome == "not_run") << answer.body.dump();
  std::printf("commit was answered with %s\n", answer.body.dump().c_str());
  // The transaction's effects are read after a later write is acknowledged, since that write
  // has a later log position than anything of the transaction.
  const auto write_later = [&] {
    return this->fleet.Execute(entry, "orders", {{"statements", {"PUT later x"}}}).outcome ==
           "result";
  };
  EXPECT_TRUE(Fleet::WaitUntil(write_later, kWaitLimit));
  const std::string primary = this->fleet.ActingPrimary("orders", kWaitLimit);
  const std::string list = this->fleet.Value(primary, "list");
  const std::string count = this->fleet.Value(primary, "count-list");
  EXPECT_EQ(list.empty(), count.empty());
  if (answer.outcome == "not_run") {
    EXPECT_EQ(list, "");
  }
}

INSTANTIATE_TEST_SUITE_P(KillTimes, KilledTransactionTest,
                         testing::Values(KillTime{"before_commit", false},
                                         KillTime{"during_commit", true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace sycamoredrum
