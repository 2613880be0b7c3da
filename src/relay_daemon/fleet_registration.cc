#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "fleet_member.h"

namespace sycamoredrum {
namespace {

constexpr Duration kRegistrationRetryDelay = std::chrono::milliseconds(300);
// First and longest time without an answer after which the lookup of the registration is repeated.
// The first exceeds the response time of a store that is sixty times slower than usual.
constexpr Duration kLookupRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kMaxLookupRetryDelay = std::chrono::milliseconds(1000);

}  // namespace

// A member registers before it reads the leader's key. So a later leader finds the registration,
// and the member finds an earlier leader by the key.
void FleetMember::Register() {
  this->registering = true;
  ++this->registration_round;
  this->lookup_retry_delay = kLookupRetryDelay;
  this->LookUpRegistration();
}

// The lookup is repeated while earlier ones are in flight, because the store may have recovered
// since they were sent. The first answer counts. This shortens the start when all processes restart
// just before the end of an outage in which the store accepts calls but does not answer.
void FleetMember::LookUpRegistration() {
  const std::string key = absl::StrCat(kMembersPrefix, this->self.member);
  ++this->lookups_in_flight;
  this->platform.store.list(key, [this, key, round = this->registration_round](
                                     PlatformStatus status, const StorePage& page) {
    --this->lookups_in_flight;
    if (round != this->registration_round) {
      return;
    }
    if (status == PlatformStatus::kOk) {
      ++this->registration_round;
      this->OnRegistrationLookup(key, page);
    } else if (this->lookups_in_flight == 0) {
      ++this->registration_round;
      this->RetryRegistration();
    }
  });
  this->loop.RunAfter(this->lookup_retry_delay, [this, round = this->registration_round] {
    if (round == this->registration_round && !this->leaving) {
      this->lookup_retry_delay = std::min(this->lookup_retry_delay * 3 / 2, kMaxLookupRetryDelay);
      this->LookUpRegistration();
    }
  });
}

void FleetMember::OnRegistrationLookup(const std::string& key, const StorePage& page) {
  this->hooks.store_reachable();
  const auto found = std::find_if(page.items.begin(), page.items.end(),
                                  [&key](const KeyValue& item) { return item.key == key; });
  const std::optional<MemberRecord> known =
      found == page.items.end() ? std::nullopt : ParseMemberRecord(found->value);
  if (known && known->endpoint == this->self.endpoint) {
    // Registered before a restart of this process, or by a write whose answer was lost.
    this->Registered(found->revision);
    return;
  }
  this->WriteRegistration(found == page.items.end() ? 0 : found->revision);
}

void FleetMember::WriteRegistration(std::uint64_t revision) {
  const std::string key = absl::StrCat(kMembersPrefix, this->self.member);
  this->platform.store.write(ConditionalWrite{key, revision, ToJson(this->self), 0}, {},
                             [this](PlatformStatus status, std::uint64_t written) {
                               if (status == PlatformStatus::kOk) {
                                 this->Registered(written);
                               } else {
                                 this->RetryRegistration();
                               }
                             });
}

void FleetMember::RetryRegistration() {
  this->loop.RunAfter(kRegistrationRetryDelay, [this] {
    if (!this->leaving) {
      this->Register();
    }
  });
}

void FleetMember::Registered(std::uint64_t revision) {
  this->registering = false;
  this->registered_at = this->clock.Now();
  this->own_revision = revision;
  this->logger.Info("member_registered", {{"incarnation", this->self.incarnation},
                                          {"revision", absl::StrCat(revision)}});
  if (!std::exchange(this->mirror_started, true)) {
    this->leader_mirror.Start();
    this->members_mirror.Start();
  }
}

// The leader removes the registration of a member that sent no heartbeat for long.
void FleetMember::RegisterAgain() {
  const bool recent =
      this->registered_at && this->clock.Now() - *this->registered_at < kRegisterAgainInterval;
  if (!this->registering && !this->leaving && !recent) {
    this->logger.Warning("registration_missing", {{"member", this->self.member}});
    this->Register();
  }
}

void FleetMember::OnLeaderKey(const StoreEvent& event) {
  if (event.item.key != kLeaderKey) {
    return;
  }
  const std::optional<KeyValue> item =
      event.removed ? std::nullopt : std::optional<KeyValue>(event.item);
  if (item) {
    // From now on, grants of earlier leaders are rejected.
    this->grants.Adopt(item->revision);
    if (const std::optional<MemberRecord> record = ParseMemberRecord(item->value)) {
      this->SetLeader(*record, item->revision);
    }
  }
  this->leader_role.LeaderKeyChanged(item);
}

void FleetMember::OnMemberKey(const StoreEvent& event) {
  const std::string& key = event.item.key;
  if (!absl::StartsWith(key, kMembersPrefix)) {
    return;
  }
  const std::string member = key.substr(std::string_view(kMembersPrefix).size());
  if (event.removed) {
    const auto known = this->member_revisions.find(member);
    const bool lost =
        known != this->member_revisions.end() && EraOf(known->second) < EraOf(event.item.revision);
    if (!lost) {
      this->members.erase(member);
    }
    this->member_revisions.erase(member);
  } else if (const std::optional<MemberRecord> record = ParseMemberRecord(event.item.value)) {
    if (this->members.count(member) == 0) {
      this->links_to_open.insert(member);
    }
    this->members[member] = *record;
    this->member_revisions[member] = event.item.revision;
  }
  // Deferred until all events of a store answer are applied, so that the leader role never receives
  // an incomplete list.
  if (!std::exchange(this->members_changed, true)) {
    this->loop.Post([this] {
      this->members_changed = false;
      this->leader_role.SetMembers(this->member_revisions);
    });
  }
}

void FleetMember::OnStoreRestored(const std::string& keys, std::uint64_t era) {
  this->logger.Warning("store_restored", {{"keys", keys}, {"era", absl::StrCat(era)}});
  this->leader_role.ObserveStoreEra(era);
}

// Forgets the members that have not registered again after the store has lost their registrations.
void FleetMember::ForgetLostMembers() {
  for (auto member = this->members.begin(); member != this->members.end();) {
    const bool known = this->member_revisions.count(member->first) != 0 ||
                       this->leader_role.IsMember(member->first);
    member = known ? std::next(member) : this->members.erase(member);
  }
}

void FleetMember::SetLeader(const MemberRecord& record, std::uint64_t epoch) {
  if (epoch <= this->leader_epoch) {
    return;
  }
  this->leader = record;
  this->leader_epoch = epoch;
  this->answer_stamp = 0;
  this->reported_answer_times.clear();
  this->heartbeat_wanted = true;
  this->logger.Info("leader_changed", {{"leader", record.member}, {"epoch", absl::StrCat(epoch)}});
  this->SendHeartbeat();
}

}  // namespace sycamoredrum
