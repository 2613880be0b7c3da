#include <gtest/gtest.h>

#include "read_placement.h"
#include "sycamoredrum/freshness_window.h"
#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/primary_grants.h"
#include "sycamoredrum/server_directory.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(int ms) { return TimePoint(std::chrono::hours(1)) + milliseconds(ms); }

TEST(FreshnessWindowTest, ReturnsTheOldestObservationThatIsFreshEnough) {
  FreshnessWindow window;
  for (int i = 0; i < 20; ++i) {
    window.Observe(1, {LogPosition{1, static_cast<std::uint64_t>(i + 1)}, At(i * 100)});
  }
  const auto position = window.OldestSince(At(550));
  ASSERT_TRUE(position);
  EXPECT_EQ(position->index, 7U);
  EXPECT_FALSE(window.OldestSince(At(1950)));
}

// Guards against requiring positions that a promotion removed from the log.
TEST(FreshnessWindowTest, ANewGenerationDiscardsEarlierPositions) {
  FreshnessWindow window;
  window.Observe(1, {LogPosition{1, 50}, At(0)});
  window.StartGeneration(2);
  EXPECT_FALSE(window.OldestSince(At(0)));
  window.Observe(1, {LogPosition{1, 60}, At(10)});
  EXPECT_FALSE(window.Newest());
}

// Guards against lost commits after a promotion: the answer to a commit arrived after that to a
// later statement, and its position was not reported with the end of the grant.
TEST(FreshnessWindowTest, LastPositionIncludesAnswersThatArriveLate) {
  FreshnessWindow window;
  EXPECT_FALSE(window.Last());
  window.Observe(1, {LogPosition{1, 50}, At(100)});
  window.Observe(1, {LogPosition{1, 51}, At(40)});
  EXPECT_EQ(window.Last(), (LogPosition{1, 51}));
  window.Observe(1, {LogPosition{1, 49}, At(120)});
  EXPECT_EQ(window.Last(), (LogPosition{1, 51}));
  window.StartGeneration(2);
  EXPECT_FALSE(window.Last());
}

TEST(FreshnessWindowTest, FrequentObservationsAreMerged) {
  FreshnessWindow window;
  for (int i = 0; i < 1000; ++i) {
    window.Observe(1, {LogPosition{1, static_cast<std::uint64_t>(i + 1)}, At(i)});
  }
  ASSERT_TRUE(window.Newest());
  EXPECT_EQ(window.Newest()->position.index, 1000U);
  // After merges, OldestSince still never returns an observation from before `since`.
  for (int since = 0; since < 1000; since += 7) {
    const auto position = window.OldestSince(At(since));
    ASSERT_TRUE(position);
    EXPECT_GE(position->index, static_cast<std::uint64_t>(since + 1));
  }
}

class PrimaryGrantsTest : public testing::Test {
 protected:
  PrimaryGrant MakeGrant(std::uint64_t generation, std::uint64_t epoch) const {
    return PrimaryGrant{"s", generation, epoch, this->clock.Now() + seconds(5)};
  }
  ManualClock clock;
  PrimaryGrants grants{this->clock};
};

TEST_F(PrimaryGrantsTest, GrantsExpire) {
  this->grants.Renew("db", this->MakeGrant(1, 1));
  EXPECT_TRUE(this->grants.Current("db"));
  this->clock.Advance(seconds(5));
  EXPECT_FALSE(this->grants.Current("db"));
  EXPECT_FALSE(this->grants.StillValid("db", 1));
}

// Guards against a heartbeat answer that arrives after the revocation and would renew the revoked
// grant.
TEST_F(PrimaryGrantsTest, ARevokedGenerationIsNotRenewed) {
  this->grants.Renew("db", this->MakeGrant(3, 1));
  EXPECT_TRUE(this->grants.Revoke(1, "db", 3));
  EXPECT_FALSE(this->grants.Current("db"));
  EXPECT_TRUE(this->grants.StillValid("db", 3)) << "statements in flight may end";
  this->grants.FinishRevocation("db");
  EXPECT_FALSE(this->grants.StillValid("db", 3));
  this->grants.Renew("db", this->MakeGrant(3, 1));
  EXPECT_FALSE(this->grants.Current("db"));
  EXPECT_FALSE(this->grants.StillValid("db", 3)) << "a write in flight must not be acknowledged";
  this->grants.Renew("db", this->MakeGrant(4, 1));
  EXPECT_TRUE(this->grants.Current("db"));
}

// Guards against a former leader that has not detected its replacement yet.
TEST_F(PrimaryGrantsTest, EarlierEpochsAreRejected) {
  EXPECT_TRUE(this->grants.Adopt(7));
  this->grants.Renew("db", this->MakeGrant(1, 6));
  EXPECT_FALSE(this->grants.Current("db"));
  EXPECT_FALSE(this->grants.Revoke(6, "db", 1));
  EXPECT_FALSE(this->grants.Adopt(6));
}

TEST(ReadPlacementTest, PrefersTheShortestExpectedTime) {
  struct Case {
    const char* what;
    std::vector<PlacementCandidate> candidates;
    std::optional<std::size_t> expected;
  };
  const auto server = [](int ms, std::size_t outstanding, bool primary = false,
                         bool usable = true) {
    PlacementCandidate candidate;
    candidate.response_time = milliseconds(ms);
    candidate.outstanding = outstanding;
    candidate.primary = primary;
    candidate.usable = usable;
    return candidate;
  };
  const std::vector<Case> cases = {
      {"the fastest", {server(30, 0), server(10, 0), server(20, 0)}, 1},
      {"a slow server without a queue over a fast one with a long queue",
       {server(20, 12), server(60, 0)},
       1},
      {"a replica over an equally fast primary", {server(20, 0, true), server(20, 0)}, 1},
      {"the primary over a much slower replica", {server(20, 0, true), server(100, 0)}, 0},
      {"only usable servers", {server(5, 0, false, false), server(50, 9)}, 1},
      {"nothing if no server is usable", {server(5, 0, false, false)}, std::nullopt},
  };
  for (const Case& entry : cases) {
    EXPECT_EQ(PlaceRead(entry.candidates, {}), entry.expected) << entry.what;
  }
}

class ServerDirectoryTest : public testing::Test {
 protected:
  static BackendServerRecord Record(const std::string& id) {
    BackendServerRecord record;
    record.id = id;
    record.database = "db";
    return record;
  }
  ManualClock clock;
  std::vector<std::string> reported;
  ServerDirectory directory{
      this->clock,
      {[this](const BackendServerRecord& record) { this->reported.push_back("+" + record.id); },
       [this](const std::string& id) { this->reported.push_back("-" + id); }}};
};

// Guards against work for all servers at each change of one: with 900 servers whose records arrive
// one by one, a process did nothing else for its first seconds.
TEST_F(ServerDirectoryTest, OnlyChangedServersAreReported) {
  std::map<std::string, BackendServerRecord> records;
  for (const char* id : {"a", "b", "c"}) {
    records[id] = Record(id);
    this->directory.Put(records[id]);
  }
  EXPECT_EQ(this->reported, (std::vector<std::string>{"+a", "+b", "+c"}));
  this->reported.clear();
  records["b"].endpoint.port = 2;
  records.erase("c");
  records["d"] = Record("d");
  this->directory.Replace(records);
  EXPECT_EQ(this->reported, (std::vector<std::string>{"-c", "+b", "+d"}));
}

TEST_F(ServerDirectoryTest, EqualRecordsHaveTheSameFingerprint) {
  ServerDirectory other(this->clock,
                        {[](const BackendServerRecord&) {}, [](const std::string&) {}});
  for (const char* id : {"a", "b"}) {
    this->directory.Put(Record(id));
  }
  EXPECT_NE(this->directory.Fingerprint(), other.Fingerprint());
  other.Replace(this->directory.Records());
  EXPECT_EQ(this->directory.Fingerprint(), other.Fingerprint());
  BackendServerRecord changed = Record("b");
  changed.state = BackendServerState::kDraining;
  other.Put(changed);
  EXPECT_NE(this->directory.Fingerprint(), other.Fingerprint());
}

// Guards against removing servers whose records expired during an outage of the store.
TEST_F(ServerDirectoryTest, AServerIsKeptIfItsRecordReturnsInTime) {
  this->directory.SetStoreReachable(true);
  this->directory.Put(Record("a"));
  this->directory.Remove("a");
  this->clock.Advance(seconds(2));
  this->directory.Tick();
  this->directory.Put(Record("a"));
  this->clock.Advance(seconds(2));
  this->directory.Tick();
  EXPECT_EQ(this->directory.Records().size(), 1U);
  EXPECT_EQ(this->reported, std::vector<std::string>{"+a"});
}

TEST_F(ServerDirectoryTest, RemovalsWaitForTheStore) {
  this->directory.Put(Record("a"));
  this->directory.Remove("a");
  this->clock.Advance(seconds(20));
  this->directory.Tick();
  EXPECT_EQ(this->directory.Records().size(), 1U);
  this->directory.SetStoreReachable(true);
  this->clock.Advance(ServerDirectory::kRemovalDelay);
  this->directory.Tick();
  EXPECT_TRUE(this->directory.Records().empty());
}

TEST_F(ServerDirectoryTest, ADrainingServerIsRemovedAtOnce) {
  BackendServerRecord record = Record("a");
  record.state = BackendServerState::kDraining;
  this->directory.Put(record);
  this->directory.Remove("a");
  EXPECT_TRUE(this->directory.Records().empty());
}

// Guards against statements to a server that is about to stop: a restored store holds the record
// from before the server began to drain.
TEST_F(ServerDirectoryTest, AnOlderRecordDoesNotMakeADrainingServerReady) {
  BackendServerRecord ready = Record("a");
  ready.started_at_ms = 1000;
  BackendServerRecord draining = ready;
  draining.state = BackendServerState::kDraining;
  this->directory.Put(ready);
  this->directory.Put(draining);
  this->directory.Put(ready);
  EXPECT_EQ(this->directory.Records().at("a").state, BackendServerState::kDraining);
  this->directory.Remove("a");
  this->directory.Put(ready);
  EXPECT_TRUE(this->directory.Records().empty() ||
              this->directory.Records().at("a").state == BackendServerState::kDraining);
  ready.started_at_ms = 2000;
  this->directory.Put(ready);
  EXPECT_EQ(this->directory.Records().at("a").state, BackendServerState::kReady);
}

}  // namespace
}  // namespace sycamoredrum
