#include "allowance_leader.h"

#include <gtest/gtest.h>

#include "../leader/fake_store_test.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kLeader = "sycamoredrum/leader";

/// A leader with a store and the members m0 and m1.
class AllowanceLeaderTest : public testing::Test {
 protected:
  void SetUp() override {
    this->store.Put(kLeader, "leader");
    this->Begin();
    this->Heartbeat("m0");
    this->Tick(seconds(1));
    ASSERT_EQ(this->Heartbeat("m0")->leases.size(), static_cast<std::size_t>(kAllowanceSlots));
  }

  void Begin() {
    this->epoch = this->store.Items().at(kLeader).revision;
    StorePage page;
    for (const auto& [key, item] : this->store.Items()) {
      page.items.push_back(item);
    }
    this->leader.Begin(this->epoch, page, this->clock.Now(), false);
  }

  std::optional<AllowanceLeases> Heartbeat(const std::string& member) {
    HeartbeatMessage message;
    message.member = member;
    message.registration = 1;
    message.epoch = this->epoch;
    message.allowance = AllowanceHeartbeat{"i", 1, {}, 0};
    HeartbeatAnswer answer;
    answer.epoch = this->epoch;
    answer.stamp = this->clock.Now().time_since_epoch().count();
    this->leader.OnHeartbeat(message, answer);
    return answer.allowance;
  }

  void Tick(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(50)) {
      this->clock.Advance(milliseconds(50));
      this->leader.Tick();
    }
  }

  std::string StoredHolder() const {
    return ParseStoredAllowances(this->store.Items().at(kAllowancesKey).value)->record[0].member;
  }

  ManualClock clock;
  FakeStore store{this->clock};
  CoordinationStore hooks = this->store.Hooks(0);
  Logger logger{LogLevel::kError, LogFormat::kText, this->clock, [](const std::string&) {}};
  AllowanceLeader leader{this->hooks, kLeader,
                         [](const std::string& member) -> std::optional<MemberRecord> {
                           return MemberRecord{member, "i", "dc", Endpoint{"10.0.0.1", 7}};
                         },
                         this->clock, this->logger};
  std::uint64_t epoch = 0;
};

// Guards against a holder that is told before a later leader could learn of it.
TEST_F(AllowanceLeaderTest, AHolderIsToldOnlyAfterTheRecordIsStored) {
  this->clock.Advance(seconds(7));
  this->store.down = true;
  this->Heartbeat("m1");
  this->Tick(seconds(1));
  EXPECT_TRUE(this->Heartbeat("m1")->leases.empty());
  this->store.down = false;
  this->Tick(seconds(1));
  EXPECT_EQ(this->StoredHolder(), "m1");
  EXPECT_FALSE(this->Heartbeat("m1")->leases.empty());
}

// Guards against two holders: the store answered a write with an unknown outcome, and it takes
// effect after the record was read again. The next leader would renew the holder in the store.
TEST_F(AllowanceLeaderTest, TheFormerHolderIsNotRenewedWhileAWriteIsUnresolved) {
  this->clock.Advance(seconds(7));
  this->Heartbeat("m1");
  this->store.late_writes = 100;
  this->store.late_by = milliseconds(1300);
  for (int step = 0; step < 60; ++step) {
    this->Tick(milliseconds(50));
    const bool former = !this->Heartbeat("m0")->leases.empty();
    EXPECT_FALSE(former && this->StoredHolder() != "m0") << step;
  }
}

// A leader whose key was taken must not change the holders, although it does not know yet.
TEST_F(AllowanceLeaderTest, AReplacedLeaderCannotChangeTheHolders) {
  this->store.Put(kLeader, "other");
  this->clock.Advance(seconds(7));
  this->Heartbeat("m1");
  this->Tick(seconds(5));
  EXPECT_EQ(this->StoredHolder(), "m0");
  EXPECT_TRUE(this->Heartbeat("m1")->leases.empty());
}

// The holders cannot be known from a record that another writer has replaced.
TEST_F(AllowanceLeaderTest, AnUnreadableRecordIsReplacedAfterAllLeasesHaveEnded) {
  this->store.Put(kAllowancesKey, "{}");
  this->Begin();
  for (int step = 0; step < 88; ++step) {
    this->Tick(milliseconds(100));
    EXPECT_TRUE(this->Heartbeat("m1")->leases.empty()) << step;
  }
  this->Tick(seconds(1));
  EXPECT_EQ(this->StoredHolder(), "m1");
}

}  // namespace
}  // namespace sycamoredrum
