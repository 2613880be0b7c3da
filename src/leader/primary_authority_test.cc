#include "sycamoredrum/primary_authority.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kDatabase = "orders";
constexpr Duration kLease = seconds(3);
constexpr Duration kTick = milliseconds(50);
constexpr std::uint64_t kRestoredEra = 2;

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
    hooks.revoke = [](const std::string&, std::uint64_t, const std::string&, std::uint64_t, bool,
                      const RevocationCallback& done) { done(true, std::nullopt); };
    hooks.probe = [this](const BackendServerRecord& server,
                         const std::function<void(const BackendProbe&)>& done) {
      done(this->servers[server.id]);
    };
    hooks.store_record = [this](const std::string&, const PrimaryRecord&, std::uint64_t,
                                const std::function<void(PlatformStatus, std::uint64_t)>& done) {
      done(PlatformStatus::kOk, MakeRevision(kRestoredEra, ++this->writes));
    };
    hooks.promote = [this](const std::string&, const std::string& server, std::uint64_t,
                           const std::function<void(PromoteOutcome)>& done) {
      this->promoted_at[server] = this->clock.Now();
      this->SetRole(server, Role::kPrimary, 6);
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
      report.epoch = MakeRevision(kRestoredEra, 1);
      for (const auto& [database, record] : this->authority.OnReport(report).primaries) {
        this->granted.insert(record.server);
      }
      this->clock.Advance(kTick);
    }
  }

  ManualClock clock;
  Logger logger;
  std::map<std::string, BackendProbe> servers;
  std::uint64_t writes = 1;
  std::map<std::string, TimePoint> promoted_at;
  std::set<std::string> granted;  ///< Servers that the member was granted as the primary.
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

// Guards against answers that grow with the number of databases: a leader with 300 members and 300
// databases sent 100,000 positions a second.
TEST_F(PrimaryAuthorityTest, OnlyPositionsOfUsedDatabasesAreSent) {
  this->RunUntil(seconds(8));
  MemberReport report;
  report.member = "registered";
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
    names.insert(report.member);
    this->authority.SetMembers(names);
    with_share += this->authority.OnReport(report).connections.empty() ? 0 : 1;
  }
  EXPECT_LE(with_share, 1U);
  this->clock.Advance(seconds(2));
  MemberReport report;
  report.member = "m0";
  EXPECT_FALSE(this->authority.OnReport(report).connections.empty());
}

}  // namespace
}  // namespace sycamoredrum
