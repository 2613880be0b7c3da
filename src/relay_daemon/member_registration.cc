#include "member_registration.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "fleet_leader.h"

namespace sycamoredrum {
namespace {

constexpr Duration kRegistrationRetryDelay = std::chrono::milliseconds(300);
// First and longest time without an answer after which the lookup of the registration is repeated.
// The first exceeds the response time of a store that is sixty times slower than usual.
constexpr Duration kLookupRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kMaxLookupRetryDelay = std::chrono::milliseconds(1000);

}  // namespace

MemberRegistration::MemberRegistration(const CoordinationStore& store, MemberRecord self,
                                       MemberRegistrationHooks hooks, const Clock& clock,
                                       Scheduler& scheduler, Logger& logger)
    : store(store),
      self(std::move(self)),
      key(absl::StrCat(kMembersPrefix, this->self.member)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      logger(logger) {}

void MemberRegistration::Start() {
  this->registering = true;
  ++this->round;
  this->lookup_retry_delay = kLookupRetryDelay;
  this->LookUp();
}

// The lookup is repeated while earlier ones are in flight, because the store may have recovered
// since they were sent. The first answer counts. This shortens the start when all processes restart
// just before the end of an outage in which the store accepts calls but does not answer.
void MemberRegistration::LookUp() {
  ++this->lookups_in_flight;
  this->store.list(this->key,
                   [this, weak = std::weak_ptr<bool>(this->alive), sent_in = this->round](
                       PlatformStatus status, const StorePage& page) {
                     if (weak.expired()) {
                       return;
                     }
                     --this->lookups_in_flight;
                     if (sent_in != this->round) {
                       return;
                     }
                     if (status == PlatformStatus::kOk) {
                       ++this->round;
                       this->OnLookup(page);
                     } else if (this->lookups_in_flight == 0) {
                       ++this->round;
                       this->Retry();
                     }
                   });
  this->RunLater(this->lookup_retry_delay, [this, sent_in = this->round] {
    if (sent_in == this->round && !this->stopped) {
      this->lookup_retry_delay = std::min(this->lookup_retry_delay * 3 / 2, kMaxLookupRetryDelay);
      this->LookUp();
    }
  });
}

void MemberRegistration::OnLookup(const StorePage& page) {
  this->hooks.store_reachable();
  const auto found = std::find_if(page.items.begin(), page.items.end(),
                                  [this](const KeyValue& item) { return item.key == this->key; });
  const std::optional<MemberRecord> known =
      found == page.items.end() ? std::nullopt : ParseMemberRecord(found->value);
  const bool own = known && known->incarnation == this->self.incarnation;
  if (own && found->revision != this->revision) {
    // Written by a call of this process whose answer was lost.
    this->Registered(found->revision);
    return;
  }
  this->Write(found == page.items.end() ? 0 : found->revision);
}

// Without an answer for a while, another lookup and write follow. At most one of the writes takes
// effect, because both depend on the same revision; the first success counts.
void MemberRegistration::Write(std::uint64_t expected_revision) {
  this->store.write(ConditionalWrite{this->key, expected_revision, ToJson(this->self), 0}, {},
                    [this, weak = std::weak_ptr<bool>(this->alive), sent_in = this->round](
                        PlatformStatus status, std::uint64_t written) {
                      if (weak.expired()) {
                        return;
                      }
                      if (status == PlatformStatus::kOk && this->registering) {
                        this->Registered(written);
                      } else if (status != PlatformStatus::kOk && sent_in == this->round) {
                        this->Retry();
                      }
                    });
  this->RunLater(kLookupRetryDelay, [this, sent_in = this->round] {
    if (sent_in == this->round && this->registering && !this->stopped) {
      this->Start();
    }
  });
}

void MemberRegistration::Retry() {
  this->RunLater(kRegistrationRetryDelay, [this, sent_in = this->round] {
    if (sent_in == this->round && !this->stopped) {
      this->Start();
    }
  });
}

void MemberRegistration::Registered(std::uint64_t new_revision) {
  this->registering = false;
  ++this->round;
  this->registered_at = this->clock.Now();
  this->revision = new_revision;
  this->logger.Info("member_registered", {{"incarnation", this->self.incarnation},
                                          {"revision", absl::StrCat(new_revision)}});
  this->hooks.registered();
}

void MemberRegistration::RegisterAgain() {
  const bool recent =
      this->registered_at && this->clock.Now() - *this->registered_at < kRegisterAgainInterval;
  if (!this->registering && !this->stopped && !recent) {
    this->logger.Warning("registration_missing", {{"member", this->self.member}});
    this->Start();
  }
}

void MemberRegistration::Remove(const std::function<void()>& done) {
  if (this->revision == 0) {
    this->RunLater(Duration::zero(), done);
    return;
  }
  this->store.write(ConditionalWrite{this->key, this->revision, std::nullopt, 0}, {},
                    [done](PlatformStatus, std::uint64_t) { done(); });
}

void MemberRegistration::RunLater(Duration delay, std::function<void()> action) {
  this->scheduler.RunAfter(delay,
                           [weak = std::weak_ptr<bool>(this->alive), action = std::move(action)] {
                             if (!weak.expired()) {
                               action();
                             }
                           });
}

}  // namespace sycamoredrum
