#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <string_view>
#include <utility>

#include "fleet_member.h"

namespace sycamoredrum {

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
