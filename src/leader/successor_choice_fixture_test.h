#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/primary_authority.h"

namespace sycamoredrum {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* kDatabase = "orders";
inline constexpr const char* kMember = "relay";
inline constexpr const char* kIdleMember = "idle";  ///< Sends no statements.
inline constexpr std::uint64_t kRegistration = 1;
inline constexpr Duration kStep = milliseconds(10);
inline constexpr Duration kTick = milliseconds(50);
inline constexpr Duration kHeartbeat = milliseconds(100);
inline constexpr Duration kPromotionTime = milliseconds(300);
inline constexpr Duration kNever = std::chrono::hours(1);
/// Shortest time in use within which requests must be served again after a failure.
inline constexpr Duration kRecoveryLimit = seconds(12);

/// A primary and its replicas, a leader, a member that writes continuously and an idle one.
class SuccessorChoiceTest : public testing::Test {
 protected:
  struct Server {
    BackendServerRecord record;
    Role role = Role::kReplica;
    std::uint64_t term = 1;
    std::vector<std::uint64_t> log = {1};  ///< Term of each entry.
    TimePoint down_until;                  ///< No process listens.
    TimePoint silent_until;                ///< Answers nothing.
    TimePoint busy_until;                  ///< Has no capacity for status requests.
    TimePoint deaf_until;                  ///< A replica receives nothing.
    bool silent_to_leader = false;
    Duration answer_time = milliseconds(10);
  };

  SuccessorChoiceTest() { this->Start(3, 1); }

  void Start(int servers, int synchronous_replicas) {
    // Calls in progress end first.
    this->authority.reset();
    this->clock.Advance(seconds(10));
    this->lines.clear();
    this->servers.clear();
    this->confirmed.clear();
    this->rolled_back.clear();
    this->grant.reset();
    this->registration = kRegistration;
    this->revoked_generation = 0;
    this->member_cut_until = this->clock.Now();
    this->member_silent_until = this->clock.Now();
    this->observed.reset();
    this->last_confirmed.reset();
    this->answered_at.reset();
    this->synchronous_replicas = synchronous_replicas;
    this->serving_records_lost = false;
    this->writing = true;
    this->lost = 0;
    this->idle_newest.reset();
    this->authority = std::make_unique<PrimaryAuthority>(this->MakeHooks(), seconds(3), this->clock,
                                                         this->clock, this->logger);
    for (int i = 0; i < servers; ++i) {
      Server server;
      server.record.id = this->Id(i);
      server.record.database = kDatabase;
      server.role = i == 0 ? Role::kPrimary : Role::kReplica;
      this->servers[server.record.id] = server;
      this->authority->PutServer(server.record);
    }
    this->authority->SetDatabases({{kDatabase, 20}});
    this->authority->SetSynchronousReplicas({{kDatabase, synchronous_replicas}});
    FleetState state;
    state.members = {kMember, kIdleMember};
    state.era_observed_at = this->clock.Now();
    this->epoch = 1;
    this->authority->Begin(this->epoch, state);
    this->Run(seconds(2));
  }

  static std::string Id(int number) { return "s" + std::to_string(number); }
  Server& At(int number) { return this->servers.at(Id(number)); }

  static LogPosition End(const Server& server) {
    return LogPosition{server.log.back(), server.log.size()};
  }

  static bool Contains(const Server& server, const LogPosition& position) {
    return position.index <= server.log.size() && server.log[position.index - 1] == position.term;
  }

  // Compares the confirmed commits with the log that callers read from now on.
  void StartReading(const Server& primary) {
    for (const LogPosition& position : this->confirmed) {
      if (!Contains(primary, position)) {
        this->rolled_back.insert(position);
      } else if (this->rolled_back.count(position) != 0) {
        ++this->revived;
      }
    }
  }

  bool Running(const Server& server) const { return this->clock.Now() >= server.down_until; }
  bool Answers(const Server& server) const {
    return this->Running(server) && this->clock.Now() >= server.silent_until;
  }

  PrimaryAuthorityHooks MakeHooks() {
    PrimaryAuthorityHooks hooks;
    hooks.revoke = [this](const std::string& member, std::uint64_t, const std::string&,
                          std::uint64_t generation, bool, const RevocationCallback& done) {
      if (member != kMember) {
        done(RevocationReply{true, this->idle_newest, std::nullopt, kRegistration});
        return;
      }
      this->clock.RunAfter(milliseconds(5), [this, generation, done] {
        if (this->clock.Now() < this->member_silent_until ||
            this->clock.Now() < this->member_cut_until) {
          return;
        }
        const std::optional<LogPosition> newest =
            this->observed ? std::optional(this->observed->position) : std::nullopt;
        this->revoked_generation = std::max(this->revoked_generation, generation);
        if (this->grant && this->grant->generation <= generation) {
          this->grant.reset();
        }
        done(RevocationReply{true, newest, this->last_confirmed, this->registration});
      });
    };
    hooks.probe = [this](const BackendServerRecord& record, Duration timeout,
                         const std::function<void(const BackendProbe&)>& done) {
      const Server& server = this->servers.at(record.id);
      const bool answers =
          !server.silent_to_leader && (this->Answers(server) || !this->Running(server));
      const Duration delay = answers ? std::min(server.answer_time, timeout) : timeout;
      this->clock.RunAfter(delay, [this, id = record.id, done, answers] {
        const Server& present = this->servers.at(id);
        BackendProbe probe;
        if (!this->Running(present)) {
          probe.outcome = ProbeOutcome::kNotListening;
        } else if (answers && this->Answers(present)) {
          probe.outcome = this->clock.Now() < present.busy_until ? ProbeOutcome::kBusy
                                                                 : ProbeOutcome::kAnswered;
        }
        if (probe.outcome == ProbeOutcome::kAnswered) {
          probe.role = present.role;
          probe.term = present.term;
          probe.received = End(present);
        }
        done(probe);
      });
    };
    hooks.store_record = [this](const std::string&, const PrimaryRecord& record, std::uint64_t,
                                const std::function<void(PlatformStatus, std::uint64_t)>& done) {
      if (record.serving && this->serving_records_lost) {
        done(PlatformStatus::kUnknown, 0);
        return;
      }
      this->stored = record;
      done(PlatformStatus::kOk, ++this->revision);
    };
    hooks.promote = [this](const std::string&, const std::string& server, std::uint64_t,
                           const std::function<void(PromoteOutcome)>& done) {
      const bool refused = this->clock.Now() < this->promotion_refused_until && server == "s1";
      if (refused || !this->Running(this->servers.at(server))) {
        done(PromoteOutcome::kNotRunning);
        return;
      }
      this->clock.RunAfter(kPromotionTime, [this, server] { this->Promote(server); });
      done(PromoteOutcome::kAccepted);
    };
    hooks.demote = [this](const BackendServerRecord& record, std::uint64_t term) {
      Server& server = this->servers.at(record.id);
      if (this->Answers(server) && server.term < term) {
        server.role = Role::kReplica;
      }
    };
    hooks.nudge = [] {};
    hooks.leading = [] { return true; };
    hooks.isolated = [] {};
    return hooks;
  }

  // Replicas that were ahead are rolled back once they receive the new primary's log.
  void Promote(const std::string& id) {
    Server& successor = this->servers.at(id);
    std::uint64_t latest = 0;
    for (const auto& [name, server] : this->servers) {
      latest = std::max(latest, server.term);
    }
    if (!this->Running(successor) ||
        (successor.role == Role::kPrimary && successor.term == latest)) {
      return;
    }
    this->promoted.push_back(id);
    this->promoted_at = this->clock.Now();
    for (const LogPosition& position : this->confirmed) {
      this->lost += Contains(successor, position) ? 0 : 1;
    }
    successor.role = Role::kPrimary;
    successor.term = latest + 1;
    for (auto& [name, server] : this->servers) {
      if (name == id) {
        continue;
      }
      server.role = this->Running(server) ? server.role : Role::kReplica;
      if (this->Running(server) && this->clock.Now() >= server.deaf_until) {
        server.log.resize(std::min(server.log.size(), successor.log.size()));
      }
    }
  }

  // Sends the log of the primary `id` to the replicas. Returns how many have received it.
  int Replicate(const std::string& id) {
    const Server& primary = this->servers.at(id);
    int received = 0;
    for (auto& [name, server] : this->servers) {
      const bool receives = server.role == Role::kReplica && this->Running(server) &&
                            this->clock.Now() >= server.deaf_until;
      if (receives && primary.role == Role::kPrimary && this->Running(primary)) {
        server.log = primary.log;
        server.term = primary.term;
        ++received;
      }
    }
    return received;
  }

  // Appends an entry at the granted primary. It is confirmed once enough replicas have received it.
  void Write() {
    if (!this->grant || this->clock.Now() >= this->grant_until ||
        this->clock.Now() < this->member_silent_until) {
      return;
    }
    Server& primary = this->servers.at(this->grant->server);
    if (!this->Answers(primary) || primary.role != Role::kPrimary) {
      return;
    }
    primary.log.push_back(primary.term);
    if (this->Replicate(this->grant->server) >= this->synchronous_replicas) {
      this->confirmed.push_back(End(primary));
      this->last_confirmed = End(primary);
    }
    // The answers to reads show entries that are not confirmed yet.
    this->observed = PositionObservation{End(primary), this->clock.Now()};
    this->answered_at = this->clock.Now();
  }

  void Heartbeat() {
    MemberReport idle;
    idle.member = kIdleMember;
    idle.registration = kRegistration;
    idle.registered = true;
    idle.epoch = this->epoch;
    this->authority->OnReport(idle);
    if (this->clock.Now() < this->member_silent_until ||
        this->clock.Now() < this->member_cut_until) {
      return;
    }
    MemberReport report;
    report.member = kMember;
    report.registration = this->registration;
    report.registered = true;
    report.epoch = this->epoch;
    DatabaseReport& database = report.databases[kDatabase];
    database.revoked_generation = this->revoked_generation;
    if (this->grant) {
      database.generation = this->grant->generation;
      database.newest = this->observed;
      database.answered_at = this->answered_at;
    }
    const GrantSet grants = this->authority->OnReport(report);
    const auto found = grants.primaries.find(kDatabase);
    if (found != grants.primaries.end() && found->second.generation > this->revoked_generation) {
      if (!this->grant || this->grant->generation != found->second.generation) {
        this->observed.reset();
        this->last_confirmed.reset();
        this->StartReading(this->servers.at(found->second.server));
      }
      this->grant = found->second;
      this->grant_until = this->clock.Now() + PrimaryAuthority::kGrantValidity;
    }
  }

  void Run(Duration time) {
    const TimePoint end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      this->clock.Advance(kStep);
      const auto passed = this->clock.Now().time_since_epoch();
      if (this->writing && passed % (2 * kStep) == Duration::zero()) {
        this->Write();
      }
      if (passed % kTick == Duration::zero()) {
        this->authority->Tick();
      }
      if (passed % kHeartbeat == Duration::zero()) {
        this->Heartbeat();
      }
    }
  }

  /// Runs until a server is promoted, and returns how long it took; kNever without a promotion.
  Duration RunUntilPromoted(Duration limit) {
    const TimePoint start = this->clock.Now();
    const std::size_t before = this->promoted.size();
    while (this->promoted.size() == before && this->clock.Now() < start + limit) {
      this->Run(kStep);
    }
    return this->promoted.size() == before ? kNever : this->clock.Now() - start;
  }

  /// Lets replica 2 lack the last commits, which replica 1 has, and crashes the primary.
  void CrashWhileOneReplicaLags() {
    this->At(2).deaf_until = this->clock.Now() + kNever;
    this->Run(seconds(1));
    ASSERT_LT(End(this->At(2)), End(this->At(1)));
    this->At(0).down_until = this->clock.Now() + kNever;
  }

  bool Logged(const std::string& text) const {
    return std::any_of(this->lines.begin(), this->lines.end(), [&](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  }

  void Drain(Server& server, bool draining) {
    server.record.state = draining ? BackendServerState::kDraining : BackendServerState::kReady;
    if (this->authority) {
      this->authority->PutServer(server.record);
    }
  }

  void FailRandomly(Server& server, std::mt19937_64& random) {
    const TimePoint until = this->clock.Now() + milliseconds(100 + random() % 2400);
    switch (random() % 7) {
      case 0:
        server.down_until = until;
        break;
      case 1:
        server.silent_until = until;
        break;
      case 2:
        server.busy_until = until;
        break;
      case 3:
        server.deaf_until = until;
        break;
      case 4:
        server.answer_time = milliseconds(5 + random() % 900);
        break;
      case 5:
        server.answer_time = milliseconds(10);
        break;
      case 6:
        this->Drain(server, true);
        this->clock.RunAfter(until - this->clock.Now() + seconds(3), [this, id = server.record.id] {
          this->Drain(this->servers.at(id), false);
        });
        break;
      default:
        break;
    }
  }

  ManualClock clock;
  Logger logger{LogLevel::kInfo, LogFormat::kText, this->clock,
                [this](const std::string& line) { this->lines.push_back(line); }};
  std::vector<std::string> lines;
  std::map<std::string, Server> servers;
  int synchronous_replicas = 0;
  std::vector<LogPosition> confirmed;
  std::vector<std::string> promoted;
  TimePoint promoted_at;
  int lost = 0;                       ///< Confirmed commits that a promoted server lacked.
  std::set<LogPosition> rolled_back;  ///< Confirmed commits that a granted primary lacked.
  int revived = 0;                    ///< Those that a primary granted later had.
  bool writing = true;
  std::optional<PrimaryRecord> grant;  ///< Of the member.
  TimePoint grant_until;
  std::uint64_t revoked_generation = 0;
  TimePoint member_silent_until;      ///< Neither writes nor answers.
  TimePoint member_cut_until;         ///< Cannot reach the leader.
  TimePoint promotion_refused_until;  ///< For s1.
  std::optional<PositionObservation> observed;
  std::optional<LogPosition> last_confirmed;  ///< In the generation of the grant.
  std::optional<TimePoint> answered_at;
  bool serving_records_lost = false;  ///< The store is down when a record would say that it serves.
  std::optional<LogPosition> idle_newest;  ///< Newest position that the idle member knows.
  std::uint64_t epoch = 1;
  std::uint64_t registration = kRegistration;  ///< Of the member's process.
  PrimaryRecord stored;
  std::uint64_t revision = 1;
  std::unique_ptr<PrimaryAuthority> authority;
};

}  // namespace sycamoredrum
