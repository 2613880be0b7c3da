#pragma once

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "simulated_database_test.h"
#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint64_t kSeed = 20261204;

inline Statement MakeStatement(StatementKind kind, const std::string& id,
                               const std::string& item = "a") {
  Statement statement;
  statement.kind = kind;
  statement.id = id;
  statement.item = item;
  return statement;
}

/// A caller that records the answers to its statements.
struct TestCaller {
  std::shared_ptr<CallerSession> session;
  std::vector<StatementResult> results;
  bool closed = false;  ///< The session has closed the connection.

  StatementErrorCode LastError() const {
    return this->results.empty() || !this->results.back().error ? StatementErrorCode::kOther
                                                                : this->results.back().error->code;
  }
  bool LastSucceeded() const { return !this->results.empty() && !this->results.back().error; }
};

class SessionRelayTest : public testing::Test {
 protected:
  explicit SessionRelayTest(decltype(SessionRelayHooks::admit) admit = nullptr)
      : database(this->clock, "orders", 3),
        grants(this->clock),
        logger(LogLevel::kError, LogFormat::kText, this->clock, [](const std::string&) {}) {
    SessionRelayHooks hooks;
    hooks.open_channel = [this](const BackendServerRecord& record, const std::string& organisation,
                                BackendChannelEvents events) {
      return this->database.Open(record, std::move(events), organisation);
    };
    hooks.admit = std::move(admit);
    hooks.primary_suspected = [this](const std::string&) { ++this->suspicions; };
    this->relay = std::make_unique<SessionRelay>(
        SessionRelayOptions{"dc0"}, hooks, this->grants, this->clock, this->clock,
        [this] { return this->random(); }, this->logger, this->metrics);
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->version = 1;
    configuration->connection_caps["orders"] = 21;
    configuration->transaction_idle_timeout = seconds(3);
    configuration->routes["place"] = Route("place", ReadConsistency::kPrimary, {});
    configuration->routes["stock"] = Route("stock", ReadConsistency::kBounded, milliseconds(1500));
    configuration->routes["quotes"] =
        Route("quotes", ReadConsistency::kReadYourWrites, milliseconds(2500));
    this->relay->SetConfiguration(configuration);
    this->PutServers(this->database.Records());
    this->relay->SetShares({{"orders-0", 10}, {"orders-1", 10}, {"orders-2", 10}});
    this->Grant(0, 1);
  }

  void PutServers(const std::map<std::string, BackendServerRecord>& records) {
    for (const auto& [id, record] : records) {
      this->relay->PutServer(record);
    }
  }

  /// Removes all servers, with what the relay has learned of them, and adds `records`.
  void ReplaceServers(const std::map<std::string, BackendServerRecord>& records) {
    for (const auto& [id, record] : this->database.Records()) {
      this->relay->RemoveServer(id);
    }
    this->PutServers(records);
  }

  static RelayRoute Route(const std::string& name, ReadConsistency consistency, Duration max_age) {
    RelayRoute route;
    route.name = name;
    route.database = "orders";
    route.consistency = consistency;
    route.max_age = max_age;
    route.statement_timeout = seconds(1);
    route.latency_objective = seconds(1);
    return route;
  }

  /// Grants the primary role of server number `server` to this process.
  void Grant(int server, std::uint64_t generation, Duration validity = seconds(60)) {
    this->grants.Renew("orders", PrimaryGrant{this->database.Id(server), generation, 1,
                                              this->clock.Now() + validity});
    this->relay->GrantsChanged();
  }

  TestCaller& Open(const std::string& route, const std::string& key = "") {
    this->callers.push_back(std::make_unique<TestCaller>());
    TestCaller* caller = this->callers.back().get();
    OpenedSession opened = this->relay->Open(
        SessionRequest{route, key}, CallerSessionHooks{[caller](const StatementResult& result) {
                                                         caller->results.push_back(result);
                                                       },
                                                       [caller] {
                                                         caller->closed = true;
                                                         caller->session->OnCallerDisconnected();
                                                       }});
    caller->session = std::move(opened.session);
    return *caller;
  }

  /// Advances the clock by `time` in steps of 10 ms, with a tick after each.
  void Advance(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      this->clock.Advance(milliseconds(10));
      this->relay->Tick();
    }
  }

  /// Sends one statement and advances the clock until its answer or for `limit`.
  const StatementResult& RunStatement(TestCaller& caller, const Statement& statement,
                                      Duration limit = seconds(2)) {
    const std::size_t before = caller.results.size();
    caller.session->Handle(statement);
    for (Duration passed{}; passed < limit && caller.results.size() == before;
         passed += milliseconds(5)) {
      this->clock.Advance(milliseconds(5));
      this->relay->Tick();
    }
    EXPECT_EQ(caller.results.size(), before + 1) << statement.id;
    return caller.results.back();
  }

  /// All executions of the statement `id`, on any server.
  std::vector<SimulatedDatabase::ExecutedStatement> RunsOf(const std::string& id) const {
    std::vector<SimulatedDatabase::ExecutedStatement> found;
    for (const SimulatedDatabase::ExecutedStatement& run : this->database.runs) {
      if (run.id == id) {
        found.push_back(run);
      }
    }
    return found;
  }

  ManualClock clock;
  SimulatedDatabase database;
  PrimaryGrants grants;
  Logger logger;
  Metrics metrics;
  std::mt19937_64 random{kSeed};
  std::unique_ptr<SessionRelay> relay;
  std::vector<std::unique_ptr<TestCaller>> callers;
  int suspicions = 0;
};

}  // namespace sycamoredrum
