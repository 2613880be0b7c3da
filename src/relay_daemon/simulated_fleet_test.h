#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "../leader/fake_store_test.h"
#include "../relay/simulated_database_test.h"
#include "fleet_leader.h"
#include "member_registration.h"
#include "sycamoredrum/store_mirror.h"

namespace sycamoredrum {

using std::chrono::milliseconds;

class SimulatedFleet;

/// One process of the fleet. A restart replaces the object.
class Node {
 public:
  Node(SimulatedFleet& fleet, int number, int incarnation);

  void Tick();
  HeartbeatMessage Heartbeat() const;
  void ReturnGrants();
  void OnAnswer(const HeartbeatAnswer& answer, TimePoint sent);
  RevocationAnswer OnRevocation(const RevocationMessage& message);
  bool MayAcceptGrants() const;
  /// Begins a graceful stop, which takes `drain_time` until the registration is removed.
  void Stop(Duration drain_time);

  SimulatedFleet& fleet;
  const int number;
  MemberRecord self;
  RelayPlatform platform;
  Logger logger;
  Metrics metrics;
  PrimaryGrants grants;
  KnownPrimaries known_primaries;
  std::unique_ptr<FleetLeader> leader;
  std::unique_ptr<StoreMirror> mirror;
  std::unique_ptr<MemberRegistration> registration;
  bool mirror_started = false;
  bool left = false;  ///< Sends no heartbeats; the registration is being removed.
  std::map<std::string, std::uint64_t> members;
  int leader_number = -1;
  TimePoint started;
  TimePoint last_heartbeat;
  TimePoint answered_at;  ///< When the primary last answered this process.
  std::uint64_t answer_epoch = 0;
  std::int64_t answer_stamp = 0;
  TimePoint answer_received;
  std::optional<TimePoint> position_at;  ///< Time of the newest position received from the leader.
  /// Further state of the process and its part in the heartbeats, set by SimulatedFleet::extend.
  std::shared_ptr<void> extension;
  std::function<void(HeartbeatMessage&)> extend_heartbeat;
  std::function<void(const HeartbeatAnswer&, TimePoint sent)> heartbeat_answered;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Several members, the store and one database in virtual time. Checks at each promotion that no
/// member may use another primary.
class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, int size)
      : random(seed), store(this->clock), database(this->clock, "db", 3) {
    for (int i = 0; i < size; ++i) {
      this->frozen_until.push_back(this->clock.Now());
      this->nodes.push_back(nullptr);
      this->StartNode(i);
    }
  }

  void StartNode(int number) {
    this->nodes[static_cast<std::size_t>(number)] =
        std::make_unique<Node>(*this, number, ++this->incarnations);
    if (this->extend) {
      this->extend(*this->nodes[static_cast<std::size_t>(number)]);
    }
  }

  /// Kills a process.
  void StopNode(int number) { this->nodes[static_cast<std::size_t>(number)].reset(); }

  bool Frozen(int number) const {
    return this->clock.Now() < this->frozen_until[static_cast<std::size_t>(number)];
  }

  bool Connected(int a, int b) const {
    return this->links_cut.count({std::min(a, b), std::max(a, b)}) == 0;
  }

  /// Delivers a message after a random delay, unless the link is cut or the receiver is gone.
  void Deliver(int from, int to, const std::function<void(Node&)>& action) {
    // Some messages are delayed so long that they arrive after later decisions.
    const bool long_delay = this->long_message_delays && this->random() % 12 == 0;
    const Duration delay = milliseconds(1 + this->random() % (long_delay ? 2500 : 40));
    this->clock.RunAfter(delay, [this, from, to, action] {
      if (!this->Connected(from, to)) {
        return;
      }
      if (this->Frozen(to)) {
        // The message stays in the receiver's socket buffer.
        this->clock.RunAfter(
            this->frozen_until[static_cast<std::size_t>(to)] - this->clock.Now() + milliseconds(1),
            [this, to, action] { this->Run(to, action); });
        return;
      }
      this->Run(to, action);
    });
  }

  void Run(int to, const std::function<void(Node&)>& action) {
    if (Node* node = this->nodes[static_cast<std::size_t>(to)].get()) {
      action(*node);
    }
  }

  void Tick() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i] && !this->Frozen(static_cast<int>(i))) {
        this->nodes[i]->Tick();
      }
    }
  }

  void Advance(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(50)) {
      this->clock.Advance(milliseconds(50));
      this->Tick();
    }
  }

  void OnPromote(const std::string& server, std::uint64_t epoch) {
    EXPECT_GE(epoch, this->last_epoch) << "the fencing token decreased";
    this->last_epoch = std::max(this->last_epoch, epoch);
    for (const auto& node : this->nodes) {
      if (!node || node->left) {
        continue;
      }
      for (const auto& [id, other] : this->database.servers) {
        if (id == server) {
          continue;
        }
        const std::optional<PrimaryGrant> grant = node->grants.Current("db");
        const bool usable = grant && grant->server == id;
        EXPECT_FALSE(usable) << "member " << node->number << " may use " << id << " while "
                             << server << " is promoted";
        if (usable) {
          this->Log(node->number, "event=replaced_primary_usable server=" + id);
        }
      }
    }
    ++this->promotions;
    this->database.Promote(server);
  }

  /// Stores a log line with the virtual time. The lines are printed if a check fails.
  void Log(int number, const std::string& line) {
    const auto now = std::chrono::duration_cast<milliseconds>(this->clock.Now().time_since_epoch());
    const std::size_t event = line.find("event=");
    this->lines.push_back(std::to_string(now.count()) + " m" + std::to_string(number) + " " +
                          line.substr(event == std::string::npos ? 0 : event));
  }

  void PrintLog() const;

  std::size_t MembersWithGrant() const {
    return static_cast<std::size_t>(std::count_if(
        this->nodes.begin(), this->nodes.end(),
        [](const auto& node) { return node && node->grants.Current("db").has_value(); }));
  }

  std::mt19937_64 random;
  ManualClock clock;
  FakeStore store;
  SimulatedDatabase database;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<TimePoint> frozen_until;
  std::set<std::pair<int, int>> links_cut;
  std::function<void(Node&)> extend;  ///< Called for each process that starts.
  bool long_message_delays = true;
  int incarnations = 0;
  int promotions = 0;
  std::uint64_t last_epoch = 0;
  std::vector<std::string> lines;
};

inline void SimulatedFleet::PrintLog() const {
  for (const std::string& line : this->lines) {
    std::puts(line.c_str());
  }
  for (const auto& node : this->nodes) {
    if (node) {
      std::printf("m%d epoch %llu leader m%d refuses up to %llu, mirror %s, grant %s\n",
                  node->number, static_cast<unsigned long long>(node->grants.Epoch()),
                  node->leader_number,
                  static_cast<unsigned long long>(node->grants.RevokedGeneration("db")),
                  node->mirror->Synchronized() ? "complete" : "incomplete",
                  node->grants.Current("db") ? "yes" : "no");
    }
  }
}

// The seeds 1 to `count`. The environment may set another count or a single seed.
inline std::vector<std::uint64_t> Seeds(std::uint64_t count) {
  if (const char* other = std::getenv("SYCAMOREDRUM_SEEDS")) {
    count = std::stoull(other);
  }
  if (const char* one = std::getenv("SYCAMOREDRUM_SEED")) {
    return {std::stoull(one)};
  }
  std::vector<std::uint64_t> seeds(count);
  std::iota(seeds.begin(), seeds.end(), 1);
  return seeds;
}

inline Node::Node(SimulatedFleet& fleet, int number, int incarnation)
    : fleet(fleet),
      number(number),
      self{"m" + std::to_string(number), std::to_string(incarnation), "dc",
           Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + number)}},
      logger(LogLevel::kInfo, LogFormat::kText, fleet.clock,
             [&fleet, number](const std::string& line) { fleet.Log(number, line); }),
      grants(fleet.clock),
      started(fleet.clock.Now()),
      last_heartbeat(fleet.clock.Now()),
      answered_at(fleet.clock.Now()),
      answer_received(fleet.clock.Now()) {
  this->platform.store = fleet.store.Hooks(number);
  this->platform.probe = [&fleet](const BackendServerRecord& server, Duration,
                                  const std::function<void(const BackendProbe&)>& done) {
    fleet.database.Probe(server, done);
  };
  this->platform.demote = [](const BackendServerRecord&, std::uint64_t) {};
  this->platform.promote = [&fleet](const std::string&, const std::string& server,
                                    const std::string&, std::uint64_t epoch,
                                    const std::function<void(PromoteOutcome)>& done) {
    fleet.clock.RunAfter(milliseconds(20), [&fleet, server, epoch, done] {
      if (fleet.database.servers.at(server).down) {
        done(PromoteOutcome::kNotRunning);
        return;
      }
      fleet.OnPromote(server, epoch);
      done(PromoteOutcome::kAccepted);
    });
  };
  FleetLeaderHooks hooks;
  hooks.revoke = [this](const std::string& member, const RevocationMessage& message,
                        const std::function<void(const std::optional<RevocationAnswer>&)>& done) {
    const int target = std::stoi(member.substr(1));
    const std::weak_ptr<bool> weak = this->alive;
    const auto respond = [this, weak, done](const RevocationAnswer& answer) {
      if (!weak.expired()) {
        done(answer);
      }
    };
    if (target == this->number) {
      respond(this->OnRevocation(message));
      return;
    }
    this->fleet.Deliver(this->number, target, [this, weak, message, respond](Node& node) {
      const RevocationAnswer answer = node.OnRevocation(message);
      if (!weak.expired()) {
        this->fleet.Deliver(node.number, this->number,
                            [respond, answer](Node&) { respond(answer); });
      }
    });
  };
  hooks.request_heartbeats = [] {};
  hooks.member_record = [&fleet](const std::string& member) -> std::optional<MemberRecord> {
    const std::string key = kMembersPrefix + member;
    const auto item = fleet.store.Items().find(key);
    return item == fleet.store.Items().end() ? std::nullopt : ParseMemberRecord(item->second.value);
  };
  this->leader = std::make_unique<FleetLeader>(
      this->platform, this->self, Duration::zero(), hooks, fleet.clock, fleet.clock,
      [&fleet] { return fleet.random(); }, this->logger, this->metrics);
  this->leader->SetDatabases({{"db", 21}});
  StoreMirrorHooks mirror_hooks;
  mirror_hooks.changed = [this](const StoreEvent& event) {
    if (event.item.key == kLeaderKey) {
      const std::optional<KeyValue> item =
          event.removed ? std::nullopt : std::optional<KeyValue>(event.item);
      if (item) {
        this->grants.Adopt(item->revision);
        if (const std::optional<MemberRecord> record = ParseMemberRecord(item->value)) {
          this->leader_number = std::stoi(record->member.substr(1));
        }
      }
      this->leader->LeaderKeyChanged(item);
    } else if (event.item.key.rfind(kMembersPrefix, 0) == 0) {
      const std::string member = event.item.key.substr(std::string(kMembersPrefix).size());
      if (!event.removed) {
        this->members[member] = event.item.revision;
      } else {
        this->members.erase(member);
      }
      this->leader->SetMembers(this->members);
    }
  };
  mirror_hooks.restored = [this](std::uint64_t era) { this->leader->ObserveStoreEra(era); };
  mirror_hooks.synchronized = [this] {
    this->leader->ObserveStoreEra(this->mirror->Era());
    this->leader->Start();
  };
  mirror_hooks.reachable = [](bool) {};
  this->mirror = std::make_unique<StoreMirror>(
      this->platform.store, StoreMirrorOptions{kFleetPrefix}, mirror_hooks, fleet.clock,
      fleet.clock, [&fleet] { return fleet.random(); });
  MemberRegistrationHooks registration_hooks;
  registration_hooks.store_reachable = [] {};
  registration_hooks.registered = [this] {
    if (!std::exchange(this->mirror_started, true)) {
      this->mirror->Start();
    }
  };
  this->registration = std::make_unique<MemberRegistration>(
      this->platform.store, this->self, registration_hooks, fleet.clock, fleet.clock, this->logger);
  this->registration->Start();
}

inline void Node::Stop(Duration drain_time) {
  this->registration->StopRetrying();
  this->leader->Resign("the process stops", std::chrono::hours(1));
  this->fleet.clock.RunAfter(drain_time, [this, weak = std::weak_ptr<bool>(this->alive)] {
    if (weak.expired()) {
      return;
    }
    const auto end = [this, weak] {
      if (!weak.expired()) {
        this->fleet.StopNode(this->number);
      }
    };
    this->left = true;
    this->grants.DropAll();
    this->ReturnGrants();
    this->fleet.clock.RunAfter(milliseconds(400), end);
    this->registration->Remove(end);
  });
}

inline void Node::ReturnGrants() {
  if (this->leader_number < 0 || this->leader_number == this->number) {
    return;
  }
  HeartbeatMessage message;
  message.member = this->self.member;
  message.registration = this->registration->Revision();
  message.grants_returned = true;
  this->fleet.Deliver(this->number, this->leader_number,
                      [message](Node& leading) { leading.leader->OnHeartbeat(message); });
}

inline bool Node::MayAcceptGrants() const {
  return this->mirror->Synchronized() ||
         this->fleet.clock.Now() - this->started > LeadershipOptions{}.lease;
}

inline HeartbeatMessage Node::Heartbeat() const {
  const TimePoint now = this->fleet.clock.Now();
  HeartbeatMessage message;
  message.member = this->self.member;
  message.registration = this->registration->Revision();
  message.epoch = this->grants.Epoch();
  message.primaries_version = this->known_primaries.VersionFor(message.epoch);
  if (this->answer_stamp != 0 && this->answer_epoch == message.epoch) {
    message.echoed_stamp = this->answer_stamp;
    message.echo_held = now - this->answer_received;
  }
  DatabaseReportMessage& report = message.databases["db"];
  report.revoked_generation = this->grants.RevokedGeneration("db");
  if (const auto grant = this->grants.Current("db")) {
    report.generation = grant->generation;
    report.answered_age = now - this->answered_at;
  }
  if (this->extend_heartbeat) {
    this->extend_heartbeat(message);
  }
  return message;
}

inline void Node::OnAnswer(const HeartbeatAnswer& answer, TimePoint sent) {
  if (this->left) {
    return;
  }
  if (!answer.registered) {
    this->registration->RegisterAgain();
  }
  if (answer.epoch == 0 || !this->MayAcceptGrants() || !this->grants.Adopt(answer.epoch)) {
    return;
  }
  this->answer_epoch = answer.epoch;
  this->answer_stamp = answer.stamp;
  this->answer_received = this->fleet.clock.Now();
  for (const auto& [name, position] : answer.positions) {
    this->position_at = sent - position.age;
  }
  for (const auto& [name, record] : this->known_primaries.Update(answer)) {
    this->grants.Renew(name, PrimaryGrant{record.server, record.generation, answer.epoch,
                                          sent + PrimaryAuthority::kGrantValidity});
  }
  if (this->heartbeat_answered) {
    this->heartbeat_answered(answer, sent);
  }
}

inline RevocationAnswer Node::OnRevocation(const RevocationMessage& message) {
  this->leader->ObserveEpoch(message.epoch);
  RevocationAnswer answer;
  const bool older_call = this->leader->PromotionInFlight() && !this->leader->Leading();
  if (!older_call && this->grants.Revoke(message.epoch, message.database, message.generation)) {
    this->grants.FinishRevocation(message.database);
    answer.acknowledged = true;
    answer.registration = this->registration->Revision();
  }
  return answer;
}

inline void Node::Tick() {
  const TimePoint now = this->fleet.clock.Now();
  for (const auto& [id, record] : this->fleet.database.Records()) {
    this->leader->PutServer(record);
  }
  this->leader->Tick();
  if (const auto grant = this->grants.Current("db")) {
    const SimulatedDatabase::Server& server = this->fleet.database.servers.at(grant->server);
    this->answered_at = server.silent || server.down ? this->answered_at : now;
  }
  if (this->left || this->leader_number < 0 || now - this->last_heartbeat < milliseconds(500)) {
    return;
  }
  this->last_heartbeat = now;
  if (this->leader_number == this->number) {
    this->OnAnswer(this->leader->OnHeartbeat(this->Heartbeat()), now);
    return;
  }
  const int from = this->number;
  this->fleet.Deliver(from, this->leader_number,
                      [message = this->Heartbeat(), from, now,
                       incarnation = this->self.incarnation](Node& leading) {
                        const HeartbeatAnswer answer = leading.leader->OnHeartbeat(message);
                        leading.fleet.Deliver(leading.number, from,
                                              [answer, now, incarnation](Node& node) {
                                                // Answers to an earlier incarnation are lost.
                                                if (node.self.incarnation == incarnation) {
                                                  node.OnAnswer(answer, now);
                                                }
                                              });
                      });
}

}  // namespace sycamoredrum
