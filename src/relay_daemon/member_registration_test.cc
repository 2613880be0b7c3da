#include "member_registration.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "../leader/fake_store_test.h"
#include "fleet_leader.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::seconds;

class MemberRegistrationTest : public testing::Test {
 protected:
  MemberRegistrationTest()
      : fake_store(this->clock),
        store(this->fake_store.Hooks(0)),
        logger(LogLevel::kError, LogFormat::kText, this->clock, [](const std::string&) {}) {}

  std::unique_ptr<MemberRegistration> Start(const std::string& incarnation) {
    const MemberRecord record{"m0", incarnation, "dc", Endpoint{"10.0.0.1", 1000}};
    auto registration = std::make_unique<MemberRegistration>(
        this->store, record, MemberRegistrationHooks{[] {}, [this] { this->OnRegistered(); }},
        this->clock, this->clock, this->logger);
    registration->Start();
    this->clock.Advance(seconds(1));
    return registration;
  }

  void OnRegistered() {
    ++this->registrations;
    this->registered_at = this->clock.Now();
  }

  std::uint64_t Revision() const {
    const auto found = this->fake_store.Items().find(std::string(kMembersPrefix) + "m0");
    return found == this->fake_store.Items().end() ? 0 : found->second.revision;
  }

  ManualClock clock;
  FakeStore fake_store;
  CoordinationStore store;
  Logger logger;
  int registrations = 0;
  TimePoint registered_at;
};

// Guards against a process that uses a primary without being registered: the removal by its former
// start takes effect after the new one has registered.
TEST_F(MemberRegistrationTest, LateRemovalByTheFormerStartHasNoEffect) {
  auto former = this->Start("1");
  this->fake_store.late_writes = 1;
  former->Remove([] {});
  former.reset();
  const auto present = this->Start("2");
  ASSERT_EQ(this->registrations, 2);
  const std::uint64_t registered = this->Revision();
  this->clock.Advance(this->fake_store.late_by + seconds(1));
  EXPECT_NE(registered, 0U);
  EXPECT_EQ(this->Revision(), registered);
}

// Guards against the same after a request of the leader, which may have removed the registration in
// a call whose outcome it does not know.
TEST_F(MemberRegistrationTest, RegisteringAgainChangesTheRevision) {
  const auto registration = this->Start("1");
  const std::uint64_t first = this->Revision();
  this->clock.Advance(MemberRegistration::kRegisterAgainInterval);
  registration->RegisterAgain();
  this->clock.Advance(seconds(1));
  EXPECT_GT(this->Revision(), first);
  EXPECT_EQ(this->registrations, 2);
}

// Guards against a slow common restart while the store loses answers: a process waited for the time
// limit of the call before it tried again.
TEST_F(MemberRegistrationTest, AnotherWriteFollowsSoonAfterALostOne) {
  this->fake_store.late_writes = 1;
  this->fake_store.late_by = seconds(5);
  const TimePoint started_at = this->clock.Now();
  const auto registration = this->Start("1");
  EXPECT_EQ(this->registrations, 1);
  EXPECT_LE(this->registered_at - started_at, std::chrono::milliseconds(400));
  const std::uint64_t first = this->Revision();
  this->clock.Advance(seconds(6));
  EXPECT_EQ(this->registrations, 1);
  EXPECT_EQ(this->Revision(), first);
}

// Guards against a second write for each lost answer.
TEST_F(MemberRegistrationTest, WriteWithALostAnswerIsRecognized) {
  this->fake_store.lost_answers = 1;
  const auto registration = this->Start("1");
  const std::uint64_t first = this->Revision();
  this->clock.Advance(seconds(3));
  EXPECT_EQ(this->registrations, 1);
  EXPECT_NE(first, 0U);
  EXPECT_EQ(this->Revision(), first);
}

}  // namespace
}  // namespace sycamoredrum
