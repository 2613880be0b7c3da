#include "member_table.h"

#include <xxhash.h>

#include <tuple>
#include <utility>

namespace sycamoredrum {
namespace {

// True if record `a` replaces record `b` of the same member.
bool IsNewer(const Member& a, const Member& b) {
  return std::tie(a.incarnation, a.state) > std::tie(b.incarnation, b.state);
}

std::uint64_t HashOf(const Member& member) {
  // A suspicion ends within seconds, so it does not count as a difference between two members.
  const bool leaving = member.state == MemberState::kLeaving;
  const std::uint64_t seed = member.incarnation * 2 + (leaving ? 1 : 0);
  return XXH3_64bits_withSeed(member.id.data(), member.id.size(), seed);
}

}  // namespace

MemberTable::Change MemberTable::Merge(const MemberRecord& record,
                                       std::vector<std::string>& changed) {
  const Member& member = record.member;
  const bool dead = member.state == MemberState::kDead;
  if (dead && record.dead_for >= Membership::kDeadRetention) {
    return Change::kNone;
  }
  const Entry* known = this->Find(member.id);
  if (known != nullptr && !IsNewer(member, known->member)) {
    const bool known_dead = known->member.state == MemberState::kDead;
    return known_dead && !dead ? Change::kStale : Change::kNone;
  }
  const bool added = known == nullptr || known->member.state == MemberState::kDead;
  MemberRecord stored = record;
  if (!dead && this->LosesEndpointConflict(member, changed)) {
    stored.member.state = MemberState::kDead;
  }
  this->Store(stored);
  changed.push_back(member.id);
  return added && stored.member.state != MemberState::kDead ? Change::kAdded : Change::kUpdated;
}

// Returns true if another member keeps the endpoint of `member`. Otherwise any other member that
// has that endpoint is marked dead.
bool MemberTable::LosesEndpointConflict(const Member& member, std::vector<std::string>& changed) {
  const Member* other = this->AtEndpoint(member.datagram_endpoint);
  if (other == nullptr || other->id == member.id) {
    return false;
  }
  if (std::tie(other->incarnation, other->id) > std::tie(member.incarnation, member.id)) {
    return true;
  }
  changed.push_back(other->id);
  this->SetState(other->id, MemberState::kDead);
  return false;
}

void MemberTable::Store(const MemberRecord& record) {
  Entry& entry = this->entries[record.member.id];
  const auto owner = this->by_endpoint.find(entry.member.datagram_endpoint);
  if (owner != this->by_endpoint.end() && owner->second == record.member.id) {
    this->by_endpoint.erase(owner);
  }
  entry.member = record.member;
  if (record.member.state == MemberState::kDead) {
    entry.dead_since = this->clock.Now() - record.dead_for;
  } else {
    this->by_endpoint[record.member.datagram_endpoint] = record.member.id;
  }
}

void MemberTable::SetState(const std::string& id, MemberState state) {
  const Entry* entry = this->Find(id);
  if (entry != nullptr) {
    Member member = entry->member;
    member.state = state;
    this->Store(MemberRecord{std::move(member), {}});
  }
}

MemberTable::Entry* MemberTable::Find(const std::string& id) {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second;
}

const MemberTable::Entry* MemberTable::Find(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second;
}

std::optional<MemberRecord> MemberTable::RecordOf(const std::string& id) const {
  const Entry* entry = this->Find(id);
  if (entry == nullptr) {
    return std::nullopt;
  }
  MemberRecord record{entry->member, {}};
  if (entry->member.state == MemberState::kDead) {
    record.dead_for =
        std::chrono::duration_cast<std::chrono::seconds>(this->clock.Now() - entry->dead_since);
  }
  return record;
}

std::vector<std::string> MemberTable::NotDead() const {
  std::vector<std::string> ids;
  ids.reserve(this->by_endpoint.size());
  for (const auto& owner : this->by_endpoint) {
    ids.push_back(owner.second);
  }
  return ids;
}

std::vector<std::string> MemberTable::DeadWithFreeEndpoint() const {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : this->entries) {
    const bool dead = entry.member.state == MemberState::kDead;
    if (dead && this->AtEndpoint(entry.member.datagram_endpoint) == nullptr) {
      ids.push_back(id);
    }
  }
  return ids;
}

const Member* MemberTable::AtEndpoint(const Endpoint& endpoint) const {
  const auto owner = this->by_endpoint.find(endpoint);
  return owner == this->by_endpoint.end() ? nullptr : &this->entries.at(owner->second).member;
}

void MemberTable::DropExpiredDeadMembers() {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    const bool old = entry->second.member.state == MemberState::kDead &&
                     this->clock.Now() - entry->second.dead_since >= Membership::kDeadRetention;
    entry = old ? this->entries.erase(entry) : std::next(entry);
  }
}

void MemberTable::Clear() {
  this->entries.clear();
  this->by_endpoint.clear();
}

std::size_t MemberTable::BucketOf(const std::string& id) {
  return XXH3_64bits(id.data(), id.size()) % kBuckets;
}

std::vector<std::uint64_t> MemberTable::BucketHashes(const Member& self) const {
  std::vector<std::uint64_t> hashes(kBuckets);
  hashes[BucketOf(self.id)] ^= HashOf(self);
  for (const auto& [id, entry] : this->entries) {
    if (entry.member.state != MemberState::kDead) {
      hashes[BucketOf(id)] ^= HashOf(entry.member);
    }
  }
  return hashes;
}

}  // namespace sycamoredrum
