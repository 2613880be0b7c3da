#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "session_relay_fixture_test.h"
#include "sycamoredrum/forwarded_sessions.h"

namespace sycamoredrum {

class SimulatedRelays;

/// One start of a relay. A stopped one stays in memory, so that late callbacks find it.
struct SimulatedRelay {
  SimulatedRelay(SimulatedRelays& relays, std::string name, std::string incarnation);

  const std::string name;
  const std::string incarnation;
  PrimaryGrants grants;
  Logger logger;
  Metrics metrics;
  std::unique_ptr<SessionRelay> relay;
  std::unique_ptr<ForwardedSessions> sessions;
  TimePoint frozen_until;
  bool stopped = false;
};

/// Several relays, the links between them and one database in virtual time. Each message takes
/// kLatency, can be lost, delayed or sent twice, and waits while its receiver is frozen.
class SimulatedRelays {
 public:
  static constexpr Duration kLatency = milliseconds(2);

  /// The first relay holds no connections; the others do, in all data centres.
  explicit SimulatedRelays(int count, int connection_cap = 3)
      : database(this->clock, "orders", 3), connection_cap(connection_cap) {
    for (int i = 0; i < count; ++i) {
      this->relays.push_back(nullptr);
    }
    for (int i = 0; i < count; ++i) {
      this->Start(i);
    }
  }

  static std::string Name(int number) { return "r" + std::to_string(number); }
  SimulatedRelay& At(int number) { return *this->relays.at(static_cast<std::size_t>(number)); }
  SimulatedRelay* Find(const std::string& name) {
    return this->relays.at(static_cast<std::size_t>(std::stoi(name.substr(1)))).get();
  }

  std::vector<ConnectionHolder> Holders() const {
    std::vector<ConnectionHolder> holders;
    for (std::size_t i = 1; i < this->relays.size(); ++i) {
      for (const char* data_centre : {"dc0", "dc1", "dc2"}) {
        holders.push_back(ConnectionHolder{Name(static_cast<int>(i)), data_centre,
                                           Endpoint{"10.1.0.1", static_cast<std::uint16_t>(i)}, 1});
      }
    }
    return holders;
  }

  std::shared_ptr<const RelayConfiguration> Configuration() const {
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->version = 1;
    configuration->connection_caps["orders"] = this->connection_cap;
    configuration->transaction_idle_timeout = seconds(3);
    for (const auto& [name, consistency] :
         std::map<std::string, ReadConsistency>{{"place", ReadConsistency::kPrimary},
                                                {"stock", ReadConsistency::kBounded},
                                                {"quotes", ReadConsistency::kReadYourWrites}}) {
      RelayRoute route;
      route.name = name;
      route.database = "orders";
      route.consistency = consistency;
      route.max_age = milliseconds(1500);
      route.statement_timeout = seconds(1);
      route.latency_objective = seconds(1);
      configuration->routes[name] = route;
    }
    return configuration;
  }

  /// Starts a relay again, with all that was kept in memory lost.
  void Start(int number) {
    auto relay =
        std::make_unique<SimulatedRelay>(*this, Name(number), std::to_string(++this->incarnations));
    relay->relay->SetConfiguration(this->Configuration());
    for (const auto& [id, record] : this->database.Records()) {
      relay->relay->PutServer(record);
    }
    relay->relay->SetShares({{"orders-0", 10}, {"orders-1", 10}, {"orders-2", 10}});
    relay->relay->SetFleetSize(this->relays.size());
    relay->relay->SetConnectionHolders(this->Holders());
    this->relays[static_cast<std::size_t>(number)] = std::move(relay);
    this->Renew(number);
  }

  /// Extends the grant of the primary and reports its position, as heartbeats do.
  void Renew(int number) {
    SimulatedRelay& relay = this->At(number);
    relay.grants.Renew("orders",
                       PrimaryGrant{this->database.Id(0), 1, 1, this->clock.Now() + seconds(3)});
    if (this->without_positions.count(number) == 0) {
      relay.relay->ObservePosition(
          "orders", 1,
          PositionObservation{SimulatedDatabase::End(this->database.At(0)), this->clock.Now()});
    }
    relay.relay->GrantsChanged();
  }

  /// Ends a process: its connections close, and statements that it was sent stay unanswered.
  void Kill(int number) {
    std::unique_ptr<SimulatedRelay>& relay = this->relays[static_cast<std::size_t>(number)];
    relay->stopped = true;
    for (const auto& [id, record] : this->database.Records()) {
      relay->relay->RemoveServer(id);
    }
    const std::string name = relay->name;
    this->ended.push_back(std::move(relay));
    for (const auto& fail : std::exchange(this->pending[name], {})) {
      this->clock.RunAfter(kLatency, fail);
    }
    for (const auto& other : this->relays) {
      if (other) {
        this->clock.RunAfter(kLatency,
                             [other = other.get(), name] { other->sessions->EndAllOf(name); });
      }
    }
  }

  void Freeze(int number, Duration time) {
    this->At(number).frozen_until = this->clock.Now() + time;
  }

  /// Runs `action` on the relay `name` when it is not frozen, unless it has been killed.
  void RunWhenAwake(SimulatedRelay* relay, std::function<void()> action) {
    if (relay->stopped) {
      return;
    }
    if (relay->frozen_until > this->clock.Now()) {
      this->clock.RunAfter(
          relay->frozen_until - this->clock.Now() + milliseconds(1),
          [this, relay, action = std::move(action)] { this->RunWhenAwake(relay, action); });
      return;
    }
    action();
  }

  void Send(SimulatedRelay* from, const ConnectionHolder& holder,
            const ForwardedStatement& statement, Duration timeout, ForwardCallback done) {
    if (from->stopped) {
      return;
    }
    ++this->sent;
    const auto once = std::make_shared<ForwardCallback>(std::move(done));
    const auto finish = [this, from, once](const ForwardAnswer& answer) {
      this->RunWhenAwake(from, [once, answer] {
        if (const ForwardCallback callback = std::exchange(*once, nullptr)) {
          callback(answer);
        }
      });
    };
    const auto fail = [finish](ForwardOutcome outcome) {
      ForwardAnswer answer;
      answer.outcome = outcome;
      answer.reason = "the link";
      finish(answer);
    };
    SimulatedRelay* to = this->Find(holder.member);
    if (to == nullptr || this->unreachable.count(holder.member) != 0) {
      this->clock.RunAfter(kLatency, [fail] { fail(ForwardOutcome::kNotRun); });
      return;
    }
    this->pending[holder.member].push_back([fail] { fail(ForwardOutcome::kUnknown); });
    this->clock.RunAfter(timeout, [fail] { fail(ForwardOutcome::kUnknown); });
    const int copies = this->Happens(this->duplicate_one_in) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->lose_requests > 0 || this->Happens(this->lose_one_in)) {
        this->lose_requests -= this->lose_requests > 0 ? 1 : 0;
        continue;
      }
      this->clock.RunAfter(this->Delay(), [this, from, to, statement, finish] {
        this->RunWhenAwake(to, [this, from, to, statement, finish] {
          to->sessions->Handle(
              from->name, from->incarnation, statement,
              [this, to, finish](const ForwardAnswer& answer) {
                if (to->stopped || this->lose_answers > 0 || this->Happens(this->lose_one_in)) {
                  this->lose_answers -= this->lose_answers > 0 ? 1 : 0;
                  return;
                }
                this->clock.RunAfter(this->Delay(), [finish, answer] { finish(answer); });
              });
        });
      });
    }
  }

  void SendEnd(SimulatedRelay* from, const ConnectionHolder& holder, std::uint64_t session) {
    SimulatedRelay* to = this->Find(holder.member);
    if (from->stopped || to == nullptr || this->unreachable.count(holder.member) != 0 ||
        this->Happens(this->lose_one_in)) {
      return;
    }
    this->clock.RunAfter(this->Delay(), [this, from, to, session] {
      this->RunWhenAwake(
          to, [from, to, session] { to->sessions->End(from->name, from->incarnation, session); });
    });
  }

  /// Advances in steps of 5 ms, with a tick of each relay that is not frozen after each step.
  void Advance(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(5)) {
      this->clock.Advance(milliseconds(5));
      for (std::size_t i = 0; i < this->relays.size(); ++i) {
        SimulatedRelay* relay = this->relays[i].get();
        if (relay == nullptr || relay->frozen_until > this->clock.Now()) {
          continue;
        }
        relay->relay->Tick();
        relay->sessions->Tick();
        if (++this->ticks % 100 == 0 || passed == Duration::zero()) {
          this->Renew(static_cast<int>(i));
        }
      }
    }
  }

  Duration Delay() {
    return this->Happens(this->delay_one_in) ? milliseconds(this->random() % 1500) : kLatency;
  }
  bool Happens(std::uint64_t one_in) { return one_in != 0 && this->random() % one_in == 0; }

  ManualClock clock;
  SimulatedDatabase database;
  const int connection_cap;
  std::mt19937_64 random{kSeed};
  std::vector<std::unique_ptr<SimulatedRelay>> ended;
  std::vector<std::unique_ptr<SimulatedRelay>> relays;
  std::map<std::string, std::vector<std::function<void()>>> pending;
  std::set<std::string> unreachable;  ///< Relays to which nothing can be sent.
  std::set<int> without_positions;    ///< Relays that get no positions from the leader.
  int lose_requests = 0;
  int lose_answers = 0;
  std::uint64_t lose_one_in = 0;
  std::uint64_t duplicate_one_in = 0;
  std::uint64_t delay_one_in = 0;
  int sent = 0;  ///< Statements that were passed to the links.
  int incarnations = 0;
  std::uint64_t ticks = 0;
};

inline SimulatedRelay::SimulatedRelay(SimulatedRelays& relays, std::string name,
                                      std::string incarnation)
    : name(std::move(name)),
      incarnation(std::move(incarnation)),
      grants(relays.clock),
      logger(LogLevel::kError, LogFormat::kText, relays.clock, [](const std::string&) {}),
      frozen_until(relays.clock.Now()) {
  SessionRelayHooks hooks;
  hooks.open_channel = [&relays](const BackendServerRecord& record, const std::string&,
                                 BackendChannelEvents events) {
    return relays.database.Open(record, std::move(events));
  };
  hooks.primary_suspected = [](const std::string&) {};
  hooks.forward = [this, &relays](const ConnectionHolder& holder,
                                  const ForwardedStatement& statement, Duration timeout,
                                  ForwardCallback done) {
    relays.Send(this, holder, statement, timeout, std::move(done));
  };
  hooks.end_forwarded = [this, &relays](const ConnectionHolder& holder, std::uint64_t session) {
    relays.SendEnd(this, holder, session);
  };
  this->relay = std::make_unique<SessionRelay>(
      SessionRelayOptions{"dc0", this->name}, hooks, this->grants, relays.clock, relays.clock,
      [&relays] { return relays.random(); }, this->logger, this->metrics);
  this->sessions = std::make_unique<ForwardedSessions>(*this->relay, relays.clock, this->metrics);
}

}  // namespace sycamoredrum
