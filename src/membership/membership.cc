#include "sycamoredrum/membership.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "membership_impl.h"

namespace sycamoredrum {
namespace {

constexpr Duration kCleanupPeriod = std::chrono::minutes(1);
// Limits the number of answers when many processes start at once.
constexpr std::size_t kSeedsPerJoin = 3;

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      break;
  }
  return "dead";
}

bool operator==(const Member& a, const Member& b) {
  return a.id == b.id && a.data_centre == b.data_centre &&
         a.datagram_endpoint == b.datagram_endpoint &&
         a.peer_link_endpoint == b.peer_link_endpoint && a.incarnation == b.incarnation &&
         a.state == b.state;
}

Membership::Impl::Impl(Member self, std::string fleet_key, std::vector<Endpoint> seeds,
                       MembershipHooks hooks, const Clock& clock, Scheduler& scheduler,
                       RandomSource random)
    : self(std::move(self)),
      codec(std::move(fleet_key)),
      seeds(std::move(seeds)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)),
      table(clock) {
  this->self.state = MemberState::kAlive;
}

void Membership::Impl::Start() {
  const TimePoint now = this->clock.Now();
  this->last_tick = now;
  // A random phase spreads the probes of processes that start together.
  this->next_probe =
      now + Duration(static_cast<Duration::rep>(this->RandomBelow(Duration(kProbePeriod).count())));
  this->next_join = now;
  this->next_partition_probe = now + kPartitionProbePeriod;
  this->next_exchange = now;
  this->next_cleanup = now + kCleanupPeriod;
  this->updates.Add(this->self.id);
  this->DiscoverMembers();
  this->ScheduleTick();
}

void Membership::Impl::ScheduleTick() {
  this->scheduler.RunAfter(kTickInterval, [this] {
    if (!this->stopped) {
      this->Tick();
      this->ScheduleTick();
    }
  });
}

void Membership::Impl::Tick() {
  this->CheckForPause();
  this->RunProbe();
  this->ExpireSuspicions();
  this->DiscoverMembers();
  this->RunExchange();
  this->DropExpired();
  this->FlushChanged();
}

// After a pause, deadlines have passed although answers could not be received, and queued updates
// are outdated. Pending probes and updates are dropped, suspicions start anew, and a full-state
// exchange fetches the current state.
void Membership::Impl::CheckForPause() {
  const TimePoint now = this->clock.Now();
  const Duration gap = now - std::exchange(this->last_tick, now);
  if (gap <= kPauseThreshold) {
    return;
  }
  ++this->counters.pauses;
  this->probe.reset();
  this->forwarded_probes.clear();
  for (auto& suspicion : this->suspicions) {
    suspicion.second = now + kSuspicionTime;
  }
  this->updates.Clear();
  this->updates.Add(this->self.id);
  this->next_exchange = now;
  this->next_probe = now;
  if (gap >= kDeadRetention / 2) {
    // Other members may have removed the death records of members that are still alive in this
    // table.
    this->table.Clear();
    this->suspicions.clear();
    this->probe_order.clear();
    this->member_changed = true;
    this->next_join = now;
    this->rejoining = true;
    this->first_fresh_sequence = this->next_sequence;
  }
}

void Membership::Impl::FlushChanged() {
  if (std::exchange(this->member_changed, false)) {
    this->hooks.changed();
  }
}

void Membership::Impl::Leave() {
  if (this->self.state == MemberState::kLeaving) {
    return;
  }
  this->self.state = MemberState::kLeaving;
  ++this->self.incarnation;
  this->updates.Add(this->self.id);
  this->member_changed = true;
  for (const std::string& id : this->Sample(this->table.NotDead(), kIndirectProbes)) {
    this->SendPing(this->table.Find(id)->member, this->next_sequence++);
  }
  this->FlushChanged();
}

void Membership::Impl::SetSeeds(std::vector<Endpoint> new_seeds) {
  if (!new_seeds.empty()) {
    this->seeds = std::move(new_seeds);
  }
}

// Probing.

void Membership::Impl::RunProbe() {
  const TimePoint now = this->clock.Now();
  const bool waiting = this->probe && !this->probe->acknowledged;
  if (waiting && !this->probe->indirect && now - this->probe->sent_at >= kProbeTimeout) {
    this->ProbeIndirectly();
  }
  if (now < this->next_probe) {
    return;
  }
  // Counting from now gives every probe a whole period, even if this tick is late.
  this->next_probe = now + kProbePeriod;
  if (waiting) {
    this->Suspect(this->probe->id);
  }
  this->BeginProbe();
}

void Membership::Impl::BeginProbe() {
  this->probe.reset();
  const std::string id = this->NextTarget();
  if (id.empty()) {
    return;
  }
  this->probe = Probe{id, this->next_sequence++, this->clock.Now(), false, false};
  this->SendPing(this->table.Find(id)->member, this->probe->sequence);
}

// Successive calls return every member once, in random order, before one is repeated. This bounds
// the time until a failure is detected. Returns an empty id if there are no members.
std::string Membership::Impl::NextTarget() {
  if (this->probe_order.empty()) {
    std::vector<std::string> all = this->table.NotDead();
    const std::size_t count = all.size();
    this->probe_order = this->Sample(std::move(all), count);
  }
  while (!this->probe_order.empty()) {
    std::string id = std::move(this->probe_order.back());
    this->probe_order.pop_back();
    const MemberTable::Entry* entry = this->table.Find(id);
    if (entry != nullptr && entry->member.state != MemberState::kDead) {
      return id;
    }
  }
  return "";
}

void Membership::Impl::ProbeIndirectly() {
  this->probe->indirect = true;
  const MemberTable::Entry* target = this->table.Find(this->probe->id);
  if (target == nullptr) {
    return;
  }
  std::vector<std::string> helpers = this->table.NotDead();
  helpers.erase(std::remove(helpers.begin(), helpers.end(), this->probe->id), helpers.end());
  for (const std::string& id : this->Sample(std::move(helpers), kIndirectProbes)) {
    MembershipMessage message;
    message.kind = MessageKind::kPingRequest;
    message.sequence = this->probe->sequence;
    message.target_id = this->probe->id;
    message.target = target->member.datagram_endpoint;
    this->Send(this->table.Find(id)->member.datagram_endpoint, id, std::move(message));
  }
}

void Membership::Impl::Suspect(const std::string& id) {
  const MemberTable::Entry* entry = this->table.Find(id);
  if (entry == nullptr || entry->member.state == MemberState::kDead) {
    return;
  }
  if (entry->member.state == MemberState::kAlive) {
    ++this->counters.suspicions;
    this->table.SetState(id, MemberState::kSuspect);
    this->HandleChange(id);
  }
  // A leaving member keeps that state while it is suspected; others are only informed of its death.
  this->suspicions.emplace(id, this->clock.Now() + kSuspicionTime);
  this->SendPing(this->table.Find(id)->member, this->next_sequence++);
}

void Membership::Impl::ExpireSuspicions() {
  for (auto suspicion = this->suspicions.begin(); suspicion != this->suspicions.end();) {
    if (suspicion->second > this->clock.Now()) {
      ++suspicion;
      continue;
    }
    const std::string id = suspicion->first;
    suspicion = this->suspicions.erase(suspicion);
    this->table.SetState(id, MemberState::kDead);
    this->HandleChange(id);
  }
}

// Discovery of members.

void Membership::Impl::DiscoverMembers() {
  const TimePoint now = this->clock.Now();
  if (this->table.CountNotDead() == 0 && now >= this->next_join) {
    this->next_join = now + kProbePeriod;
    this->JoinThroughSeeds();
  }
  if (now >= this->next_partition_probe) {
    this->next_partition_probe = now + kPartitionProbePeriod;
    this->ProbeAcrossPartition();
  }
}

void Membership::Impl::JoinThroughSeeds() {
  std::vector<Endpoint> candidates = this->seeds;
  candidates.erase(std::remove(candidates.begin(), candidates.end(), this->self.datagram_endpoint),
                   candidates.end());
  for (std::size_t i = 0; i < kSeedsPerJoin && !candidates.empty(); ++i) {
    const std::size_t picked = this->RandomBelow(candidates.size());
    this->SendJoin(candidates[picked]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(picked));
  }
}

// During a network partition each side declares the other dead, and dead members are not probed.
// Messages to a seed and a dead member find them again after the partition has healed.
void Membership::Impl::ProbeAcrossPartition() {
  std::vector<Endpoint> seeds_without_member;
  for (const Endpoint& seed : this->seeds) {
    if (seed != this->self.datagram_endpoint && this->table.AtEndpoint(seed) == nullptr) {
      seeds_without_member.push_back(seed);
    }
  }
  if (!seeds_without_member.empty()) {
    this->SendJoin(seeds_without_member[this->RandomBelow(seeds_without_member.size())]);
  }
  for (const std::string& id : this->Sample(this->table.DeadWithFreeEndpoint(), 1)) {
    this->SendPing(this->table.Find(id)->member, this->next_sequence++);
  }
}

void Membership::Impl::RunExchange() {
  if (this->clock.Now() < this->next_exchange || this->table.CountNotDead() == 0) {
    return;
  }
  this->next_exchange = this->clock.Now() + kExchangePeriod;
  for (const std::string& id : this->Sample(this->table.NotDead(), 1)) {
    this->hooks.exchange(id);
  }
}

void Membership::Impl::DropExpired() {
  const TimePoint now = this->clock.Now();
  for (auto forwarded = this->forwarded_probes.begin();
       forwarded != this->forwarded_probes.end();) {
    forwarded = forwarded->second.expires_at <= now ? this->forwarded_probes.erase(forwarded)
                                                    : std::next(forwarded);
  }
  if (now >= this->next_cleanup) {
    this->next_cleanup = now + kCleanupPeriod;
    this->table.DropExpiredDeadMembers();
  }
}

// Full-state exchange.

std::string Membership::Impl::ExportDigest() const {
  const std::vector<std::uint64_t> hashes = this->table.BucketHashes(this->self);
  std::string digest;
  for (const std::uint64_t hash : hashes) {
    for (int shift = 0; shift < 64; shift += 8) {
      digest.push_back(static_cast<char>((hash >> shift) & 0xFFU));
    }
  }
  return digest;
}

std::string Membership::Impl::ExportState(const std::string& digest) const {
  const std::string own = this->ExportDigest();
  const bool all = digest.size() != own.size();
  const auto differs = [&](const std::string& id) {
    const std::size_t offset = MemberTable::BucketOf(id) * sizeof(std::uint64_t);
    return all ||
           digest.compare(offset, sizeof(std::uint64_t), own, offset, sizeof(std::uint64_t)) != 0;
  };
  std::vector<MemberRecord> records = {MemberRecord{this->self, {}}};
  for (const auto& entry : this->table.Entries()) {
    if (differs(entry.first)) {
      records.push_back(*this->table.RecordOf(entry.first));
    }
  }
  return MembershipCodec::EncodeRecords(records);
}

bool Membership::Impl::MergeState(const std::string& state) {
  const auto records = MembershipCodec::DecodeRecords(state);
  if (!records) {
    return false;
  }
  this->CheckForPause();
  if (this->rejoining) {
    return true;
  }
  for (const MemberRecord& record : *records) {
    this->Merge(record);
  }
  this->FlushChanged();
  return true;
}

// Membership forwards its calls to Membership::Impl.

Membership::Membership(Member self, std::string fleet_key, std::vector<Endpoint> seeds,
                       MembershipHooks hooks, const Clock& clock, Scheduler& scheduler,
                       RandomSource random)
    : impl(std::make_unique<Impl>(std::move(self), std::move(fleet_key), std::move(seeds),
                                  std::move(hooks), clock, scheduler, std::move(random))) {}

Membership::~Membership() = default;

void Membership::Start() { this->impl->Start(); }
void Membership::Stop() { this->impl->Stop(); }
void Membership::Leave() { this->impl->Leave(); }
void Membership::SetSeeds(std::vector<Endpoint> seeds) { this->impl->SetSeeds(std::move(seeds)); }

void Membership::HandleDatagram(const Endpoint& from, const std::string& datagram) {
  this->impl->HandleDatagram(from, datagram);
}

std::string Membership::ExportDigest() const { return this->impl->ExportDigest(); }

std::string Membership::ExportState(const std::string& digest) const {
  return this->impl->ExportState(digest);
}

bool Membership::MergeState(const std::string& state) { return this->impl->MergeState(state); }

const Member& Membership::Self() const { return this->impl->Self(); }

std::vector<Member> Membership::Members() const {
  std::vector<Member> members = {this->impl->Self()};
  for (const auto& entry : this->impl->Table().Entries()) {
    if (entry.second.member.state != MemberState::kDead) {
      members.push_back(entry.second.member);
    }
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  return members;
}

std::vector<std::string> Membership::Others() const { return this->impl->Table().NotDead(); }

const Member* Membership::Find(const std::string& id) const {
  if (id == this->impl->Self().id) {
    return &this->impl->Self();
  }
  const MemberTable::Entry* entry = this->impl->Table().Find(id);
  return entry == nullptr ? nullptr : &entry->member;
}

const MembershipCounters& Membership::Counters() const { return this->impl->Counters(); }

}  // namespace sycamoredrum
