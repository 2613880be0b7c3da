#include "sycamoredrum/primary_authority.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/primary_grants.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kDatabase = "orders";
constexpr Duration kLease = seconds(3);
constexpr Duration kTick = milliseconds(50);
constexpr std::uint64_t kRestoredEra = 2;
constexpr std::uint64_t kRegistration = MakeRevision(kRestoredEra, 7);

/// A new leader, elected right after the store has returned from an older copy, with one registered
/// member and two servers that answer at once.
class PrimaryAuthorityTest : public testing::Test {
 protected:
  PrimaryAuthorityTest()
      : logger(LogLevel::kError, LogFormat::kText, this->clock, [](const std::string&) {}),
        authority(this->MakeHooks(), kLease, this->clock, this->clock, this->logger),
        restored_at(this->clock.Now()) {
    this->SetRole("a", Role::kPrimary, 5);
    this->SetRole("b", Role::kReplica, 5);
    for (const char* name : {"a", "b"}) {
      BackendServerRecord record;
      record.id = name;
      record.database = kDatabase;
      this->authority.PutServer(record);
    }
    this->authority.SetDatabases({{kDatabase, 20}});
    FleetState state;
    state.members = {"registered"};
    state.era_observed_at = this->restored_at;
    this->authority.Begin(MakeRevision(kRestoredEra, 1), state);
  }

  PrimaryAuthorityHooks MakeHooks() {
    PrimaryAuthorityHooks hooks;
    hooks.revoke = [this](const std::string&, std::uint64_t epoch, const std::string& database,
                          std::uint64_t generation, bool, const RevocationCallback& done) {
      if (this->revocations_acknowledged) {
        this->grants.Revoke(epoch, database, generation);
        this->grants.FinishRevocation(database);
      }
      done(RevocationReply{this->revocations_acknowledged, std::nullopt, std::nullopt,
                           kRegistration});
    };
    hooks.probe = [this](const BackendServerRecord& server, Duration,
                         const std::function<void(const BackendProbe&)>& done) {
      done(this->servers[server.id]);
    };
    hooks.store_record = [this](const std::string&, const PrimaryRecord& record, std::uint64_t,
                                const std::function<void(PlatformStatus, std::uint64_t)>& done) {
      if (this->store_refuses && this->store_refuses(record)) {
        done(PlatformStatus::kUnavailable, 0);
        return;
      }
      this->stored = record;
      done(PlatformStatus::kOk, MakeRevision(kRestoredEra, ++this->writes));
    };
    hooks.promote = [this](const std::string&, const std::string& server, std::uint64_t,
                           const std::function<void(PromoteOutcome)>& done) {
      if (this->not_running.count(server) != 0) {
        done(PromoteOutcome::kNotRunning);
        return;
      }
      const std::optional<PrimaryGrant> grant = this->grants.Current(kDatabase);
      EXPECT_FALSE(grant && grant->server != server)
          << "the member may use " << grant->server << " while " << server << " is promoted";
      this->promoted_at[server] = this->clock.Now();
      this->clock.RunAfter(this->promotion_time,
                           [this, server] { this->SetRole(server, Role::kPrimary, ++this->term); });
      done(PromoteOutcome::kAccepted);
    };
    hooks.demote = [](const BackendServerRecord&, std::uint64_t) {};
    hooks.nudge = [] {};
    hooks.leading = [] { return true; };
    hooks.isolated = [] {};
    return hooks;
  }

  void SetRole(const std::string& server, Role role, std::uint64_t term) {
    this->servers[server].outcome = ProbeOutcome::kAnswered;
    this->servers[server].role = role;
    this->servers[server].term = term;
  }

  /// Lets the leader run, with heartbeats of the registered member, until `time` after the restore.
  void RunUntil(Duration time) {
    while (this->clock.Now() < this->restored_at + time) {
      this->authority.Tick();
      MemberReport report;
      report.member = "registered";
      report.registration = kRegistration;
      report.registered = true;
      report.epoch = MakeRevision(kRestoredEra, 1);
      for (const auto& [database, record] : this->authority.OnReport(report).primaries) {
        this->granted.insert(record.server);
        this->granted_generation = record.generation;
      }
      this->clock.Advance(kTick);
    }
  }

  ManualClock clock;
  Logger logger;
  std::map<std::string, BackendProbe> servers;
  std::uint64_t writes = 1;
  PrimaryRecord stored;  ///< Last record in the store.
  std::function<bool(const PrimaryRecord&)> store_refuses;
  std::uint64_t term = 5;  ///< Of the last promotion.
  bool revocations_acknowledged = true;
  Duration promotion_time = Duration::zero();
  std::set<std::string> not_running;  ///< Servers that the platform refuses to promote.
  PrimaryGrants grants{this->clock};  ///< Of the member.
  std::map<std::string, TimePoint> promoted_at;
  std::set<std::string> granted;         ///< Servers that the member was granted as the primary.
  std::uint64_t granted_generation = 0;  ///< Of the last grant.
  PrimaryAuthority authority;
  const TimePoint restored_at;
};

TEST_F(PrimaryAuthorityTest, NoServerIsPromotedWhileAMemberWithALostRegistrationMayUseThePrimary) {
  // The former leader may lead, and grant the primary, for one lease time after the restore.
  const Duration lost_grants = kLease + PrimaryAuthority::kGrantValidity;
  this->RunUntil(lost_grants - seconds(2));
  ASSERT_EQ(this->granted, std::set<std::string>{"a"});
  this->servers["a"].outcome = ProbeOutcome::kNotListening;
  this->RunUntil(lost_grants + seconds(3));
  ASSERT_EQ(this->promoted_at.count("b"), 1U);
  EXPECT_GE(this->promoted_at["b"] - this->restored_at, lost_grants);
}

TEST_F(PrimaryAuthorityTest, PrimaryOfBeforeAPromotionThatTakesEffectAfterTheRestoreIsNotGranted) {
  // The former leader requests the promotion at the end of its lease.
  const Duration last_promotion = kLease + PrimaryAuthority::kPromotionCallLimit;
  this->RunUntil(last_promotion - kTick);
  this->SetRole("b", Role::kPrimary, 6);
  this->RunUntil(last_promotion + seconds(3));
  EXPECT_EQ(this->granted, std::set<std::string>{"b"});
}

// Guards against reads at a replaced primary that has not noticed its replacement: the restored
// store lacks the record of its successor, which has crashed and comes back with its log.
TEST_F(PrimaryAuthorityTest, PrimaryOfAnEarlierTermIsNotGrantedWhileAServerIsDownAfterARestore) {
  BackendServerRecord record;
  record.id = "c";
  record.database = kDatabase;
  this->authority.PutServer(record);
  this->servers["a"].received = LogPosition{5, 10};
  this->servers["b"].received = LogPosition{6, 11};
  this->servers["c"].outcome = ProbeOutcome::kNotListening;
  this->RunUntil(kLease + PrimaryAuthority::kPromotionCallLimit + seconds(6));
  EXPECT_EQ(this->granted, std::set<std::string>{"b"});
  EXPECT_EQ(this->promoted_at.count("b"), 1U);
}

// Guards against answers that grow with the number of databases: a leader with 300 members and 300
// databases sent 100,000 positions a second.
TEST_F(PrimaryAuthorityTest, OnlyPositionsOfUsedDatabasesAreSent) {
  this->RunUntil(seconds(8));
  MemberReport report;
  report.member = "registered";
  report.registered = true;
  EXPECT_EQ(this->authority.OnReport(report).positions.count(kDatabase), 1U);
  report.used_databases.emplace();
  EXPECT_TRUE(this->authority.OnReport(report).positions.empty());
  report.used_databases->insert(kDatabase);
  EXPECT_EQ(this->authority.OnReport(report).positions.count(kDatabase), 1U);
}

// Guards against a computation for each member that registers; in a large fleet a leader that has
// just begun did nothing else.
TEST_F(PrimaryAuthorityTest, SharesAreNotComputedForEachNewMember) {
  constexpr int kMembers = 200;
  this->RunUntil(seconds(1));
  std::set<std::string> names;
  std::size_t with_share = 0;
  for (int i = 0; i < kMembers; ++i) {
    MemberReport report;
    report.member = "m" + std::to_string(i);
    report.registered = true;
    names.insert(report.member);
    this->authority.SetMembers(names);
    with_share += this->authority.OnReport(report).connections.empty() ? 0 : 1;
  }
  EXPECT_LE(with_share, 1U);
  this->clock.Advance(seconds(2));
  MemberReport report;
  report.member = "m0";
  report.registered = true;
  EXPECT_FALSE(this->authority.OnReport(report).connections.empty());
}

// Guards against commits that are lost because a member whose registration was removed goes on
// using a replaced primary. It makes no difference that the member registers again meanwhile.
TEST_F(PrimaryAuthorityTest, PromotionWaitsForAMemberWhoseRegistrationWasRemoved) {
  for (const bool registers_again : {false, true}) {
    const Duration removal = this->clock.Now() - this->restored_at + seconds(20);
    this->RunUntil(removal);
    const std::string primary = *this->granted.rbegin();
    const std::string other = primary == "a" ? "b" : "a";
    const TimePoint granted_at = this->clock.Now() - kTick;
    this->promoted_at.clear();
    this->granted.clear();
    this->authority.SetMembers({});
    if (registers_again) {
      this->authority.SetMembers({"registered"});
    }
    this->servers[primary].outcome = ProbeOutcome::kNotListening;
    this->revocations_acknowledged = false;
    while (this->promoted_at.empty() && this->clock.Now() < granted_at + seconds(20)) {
      this->authority.Tick();
      this->clock.Advance(kTick);
    }
    ASSERT_EQ(this->promoted_at.count(other), 1U) << registers_again;
    EXPECT_GE(this->promoted_at[other] - granted_at, PrimaryAuthority::kGrantValidity)
        << registers_again;
    this->servers[primary].outcome = ProbeOutcome::kAnswered;
    this->servers[primary].role = Role::kReplica;
    this->servers[primary].term = this->servers[other].term;
    this->revocations_acknowledged = true;
    this->authority.SetMembers({"registered"});
  }
}

// Guards against commits that are lost after a change of the leader: the former one had granted the
// promoted server, but the store refused to note that it serves. The next leader repeats the
// promotion, which fails as the server has crashed, and promotes another one.
TEST_F(PrimaryAuthorityTest, ResumedPromotionEndsTheGrantsOfItsOwnGeneration) {
  const std::uint64_t generation = (kRestoredEra << PrimaryAuthority::kGenerationBits) + 3;
  const std::uint64_t next_epoch = MakeRevision(kRestoredEra, 50);
  this->clock.Advance(seconds(20));
  this->grants.Renew(kDatabase, PrimaryGrant{"b", generation, next_epoch - 1,
                                             this->clock.Now() + PrimaryAuthority::kGrantValidity});
  this->not_running = {"b"};
  FleetState state;
  state.members = {"registered"};
  state.era_observed_at = this->restored_at;
  state.records[kDatabase] = PrimaryRecord{"b", generation, false, 6, kRestoredEra, true};
  state.revisions[kDatabase] = MakeRevision(kRestoredEra, 40);
  this->authority.Begin(next_epoch, state);
  for (int i = 0; i < 100 && this->promoted_at.empty(); ++i) {
    this->authority.Tick();
    this->clock.Advance(kTick);
  }
  EXPECT_EQ(this->promoted_at.count("a"), 1U);
}

// Guards against a pause of the database at each later change of the leader: the store refuses once
// to note that the promoted server serves, and each new leader repeats the promotion.
TEST_F(PrimaryAuthorityTest, RefusedNoteThatTheServerServesIsRepeated) {
  this->RunUntil(seconds(20));
  this->servers["a"].outcome = ProbeOutcome::kNotListening;
  const TimePoint refused_until = this->clock.Now() + seconds(3);
  this->store_refuses = [this, refused_until](const PrimaryRecord& record) {
    return record.serving && this->clock.Now() < refused_until;
  };
  this->RunUntil(seconds(22));
  ASSERT_EQ(this->stored.server, "b");
  EXPECT_FALSE(this->stored.serving);
  this->RunUntil(seconds(20) + seconds(3) + PrimaryAuthority::kRecordRefreshInterval + 2 * kTick);
  EXPECT_TRUE(this->stored.serving);
}

// Guards against statements at a draining primary until it ends: the leader is lost as the primary
// begins to drain, and the next one counts from its election. It cannot promote another server yet,
// because the lost process might still use the primary.
TEST_F(PrimaryAuthorityTest, ANewLeaderKnowsForHowLongThePrimaryHasBeenDraining) {
  this->RunUntil(seconds(20));
  BackendServerRecord draining;
  draining.id = "a";
  draining.database = kDatabase;
  draining.state = BackendServerState::kDraining;
  this->authority.End();
  this->authority.PutServer(draining);
  const TimePoint drain_began = this->clock.Now();
  this->clock.Advance(seconds(3));
  FleetState state;
  state.members = {"registered", "lost"};
  state.era_observed_at = this->restored_at;
  state.records[kDatabase] = this->stored;
  state.revisions[kDatabase] = MakeRevision(kRestoredEra, 40);
  this->authority.Begin(MakeRevision(kRestoredEra, 50), state);
  while (this->clock.Now() < drain_began + seconds(9)) {
    this->authority.Tick();
    MemberReport report;
    report.member = "registered";
    report.registration = kRegistration;
    report.registered = true;
    report.epoch = MakeRevision(kRestoredEra, 50);
    const GrantSet grants = this->authority.OnReport(report);
    const auto grant = grants.primaries.find(kDatabase);
    const bool usable = grant != grants.primaries.end() && grant->second.server == "a";
    EXPECT_TRUE(!usable ||
                this->clock.Now() <= drain_began + PrimaryAuthority::kStopUseAfter + kTick);
    this->clock.Advance(kTick);
  }
}

// Guards against the use of a former primary that has not noticed its replacement: the primary of
// the latest term has crashed, and the former one is promoted again and claims to lead before that
// has taken effect.
TEST_F(PrimaryAuthorityTest, FormerPrimaryIsGrantedOnlyAfterItsPromotionHasTakenEffect) {
  this->RunUntil(seconds(20));
  this->granted.clear();
  this->not_running = {"a"};
  this->servers["a"].outcome = ProbeOutcome::kNotListening;
  this->SetRole("b", Role::kPrimary, this->term);
  this->promotion_time = milliseconds(300);
  FleetState state;
  state.members = {"registered"};
  state.era_observed_at = this->restored_at;
  state.records[kDatabase] =
      PrimaryRecord{"a", this->stored.generation + 1, false, this->term, kRestoredEra, true};
  state.revisions[kDatabase] = MakeRevision(kRestoredEra, 40);
  this->authority.Begin(MakeRevision(kRestoredEra, 50), state);
  while (this->granted.count("b") == 0 && this->clock.Now() < this->restored_at + seconds(30)) {
    this->RunUntil(this->clock.Now() - this->restored_at + kTick);
  }
  ASSERT_EQ(this->granted.count("b"), 1U);
  EXPECT_GE(this->clock.Now() - this->promoted_at["b"], this->promotion_time);
}

// Guards against commits that are lost after a hand-over that was given up because a member did not
// answer: the primary crashes before it has resumed, and another server is promoted while that
// member may use it.
TEST_F(PrimaryAuthorityTest, CrashAfterAHandOverThatWasGivenUpWaitsForTheMemberThatDidNotAnswer) {
  this->RunUntil(seconds(20));
  ASSERT_EQ(this->granted, std::set<std::string>{"a"});
  const std::uint64_t generation = this->granted_generation;
  this->grants.Renew(kDatabase,
                     PrimaryGrant{"a", generation, MakeRevision(kRestoredEra, 1),
                                  this->clock.Now() - kTick + PrimaryAuthority::kGrantValidity});
  this->revocations_acknowledged = false;
  this->not_running = {"a"};
  BackendServerRecord draining;
  draining.id = "a";
  draining.database = kDatabase;
  draining.state = BackendServerState::kDraining;
  this->authority.PutServer(draining);
  for (int i = 0; i < 200 && this->promoted_at.empty(); ++i) {
    this->authority.Tick();
    this->clock.Advance(kTick);
  }
  EXPECT_EQ(this->promoted_at.count("b"), 1U);
}

TEST_F(PrimaryAuthorityTest, PromotionDoesNotWaitForAMemberThatGaveItsGrantsBack) {
  this->RunUntil(seconds(20));
  ASSERT_EQ(this->granted, std::set<std::string>{"a"});
  this->authority.SetMembers({});
  this->authority.OnGrantsGivenBack("registered", kRegistration);
  this->servers["a"].outcome = ProbeOutcome::kNotListening;
  const TimePoint failed_at = this->clock.Now();
  while (this->promoted_at.empty() && this->clock.Now() < failed_at + seconds(20)) {
    this->authority.Tick();
    this->clock.Advance(kTick);
  }
  ASSERT_EQ(this->promoted_at.count("b"), 1U);
  EXPECT_LE(this->promoted_at["b"] - failed_at, seconds(2));
}

}  // namespace
}  // namespace sycamoredrum
