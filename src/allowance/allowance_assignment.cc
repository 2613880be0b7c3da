#include "sycamoredrum/allowance_assignment.h"

#include <algorithm>
#include <tuple>

namespace sycamoredrum {
namespace {

// A holder with this number of parts more than another member gives one of them to it.
constexpr int kMaxDifference = 2;

}  // namespace

bool operator==(const SlotRecord& a, const SlotRecord& b) {
  return std::tie(a.member, a.incarnation, a.registration, a.generation, a.data_centre,
                  a.endpoint) ==
         std::tie(b.member, b.incarnation, b.registration, b.generation, b.data_centre, b.endpoint);
}

void AllowanceAssignment::Begin(std::uint64_t new_epoch, const AllowanceRecord& record,
                                std::optional<TimePoint> restored_at, bool uninterrupted) {
  const TimePoint now = this->clock.Now();
  this->epoch = new_epoch;
  this->moved_at = now;
  // A replaced leader may renew leases until its own lease has ended.
  const Duration former = this->leadership_lease + kHolderValidity;
  this->rewrite = uninterrupted;
  if (uninterrupted) {
    // A wait that the last leadership had to keep, for example after a restore of the store, goes
    // on: its state does not contain the holders of before.
    this->assign_from = std::max(this->assign_from, now + kGatherTime);
    for (std::size_t i = 0; i < record.size(); ++i) {
      // The next leader would renew the holder that is in the store.
      this->slots[i].changing = !(record[i] == this->recorded[i]);
      this->slots[i].last_stamp = 0;
    }
    return;
  }
  this->assign_from = now + kGatherTime;
  this->confirm_from = now;
  this->recorded = record;
  this->candidates.clear();
  for (Slot& slot : this->slots) {
    slot = Slot{};
    slot.lease_until = now + former;
  }
  if (restored_at) {
    this->confirm_from = *restored_at + former;
    this->assign_from = std::max(this->assign_from, this->confirm_from);
    this->rewrite = true;
  }
}

std::map<int, std::uint64_t> AllowanceAssignment::OnReport(const AllowanceReport& report,
                                                           std::int64_t stamp) {
  const TimePoint now = this->clock.Now();
  std::map<int, std::uint64_t> granted;
  Candidate& candidate = this->candidates[report.member.member];
  if (!this->Active() || report.member.registration < candidate.member.registration) {
    // The message of an earlier start of the process arrived late.
    return granted;
  }
  candidate = Candidate{report.member, now};
  for (int i = 0; i < kAllowanceSlots; ++i) {
    Slot& slot = this->slots[static_cast<std::size_t>(i)];
    const SlotRecord& record = this->recorded[static_cast<std::size_t>(i)];
    if (record.member != report.member.member) {
      continue;
    }
    const auto held = report.held.find(i);
    const bool reported = held != report.held.end() && held->second == record.generation;
    if (record.incarnation != report.member.incarnation) {
      // A process that registers again keeps its incarnation.
      slot.released = slot.released || report.member.registration > record.registration;
      continue;
    }
    const bool answered = report.epoch_adopted && report.echoed_stamp >= slot.last_stamp;
    if (slot.withdrawn && answered && !reported) {
      slot.released = true;
    }
    const bool confirmed = now >= this->confirm_from || reported;
    if (slot.withdrawn || slot.released || slot.changing || !confirmed) {
      continue;
    }
    const TimePoint until = now + kHolderValidity;
    slot.lease_until = report.epoch_adopted ? until : std::max(slot.lease_until, until);
    slot.last_stamp = stamp;
    granted[i] = record.generation;
  }
  return granted;
}

void AllowanceAssignment::OnReturned(const std::string& member, std::uint64_t registration) {
  const auto candidate = this->candidates.find(member);
  if (candidate != this->candidates.end() &&
      candidate->second.member.registration <= registration) {
    this->candidates.erase(candidate);
  }
  for (int i = 0; i < kAllowanceSlots; ++i) {
    const SlotRecord& record = this->recorded[static_cast<std::size_t>(i)];
    if (record.member == member && registration >= record.registration) {
      this->slots[static_cast<std::size_t>(i)].released = true;
    }
  }
}

bool AllowanceAssignment::Free(int slot) const {
  const Slot& state = this->slots[static_cast<std::size_t>(slot)];
  return this->recorded[static_cast<std::size_t>(slot)].member.empty() || state.released ||
         state.lease_until <= this->clock.Now();
}

AllowanceAssignment::Score AllowanceAssignment::ScoreOf(const AllowanceRecord& record, int slot,
                                                        const AllowanceMember& member) const {
  int neighbours = 0;
  int parts = 0;
  for (int i = 0; i < kAllowanceSlots; ++i) {
    const std::string& holder = record[static_cast<std::size_t>(i)].member;
    if (i == slot || holder.empty()) {
      continue;
    }
    parts += holder == member.member ? 1 : 0;
    const auto known = this->candidates.find(holder);
    const bool near =
        known != this->candidates.end() && known->second.member.data_centre == member.data_centre;
    neighbours += near && GroupOfSlot(i) == GroupOfSlot(slot) ? 1 : 0;
  }
  return Score{member.processor_share < kMinProcessorShare, neighbours, parts};
}

const AllowanceAssignment::Candidate* AllowanceAssignment::Best(const AllowanceRecord& record,
                                                                int slot) const {
  const Candidate* best = nullptr;
  Score best_score;
  for (const auto& [name, candidate] : this->candidates) {
    if (this->clock.Now() - candidate.reported_at > kMaxReportAge) {
      continue;
    }
    const Score score = this->ScoreOf(record, slot, candidate.member);
    if (best == nullptr || score < best_score) {
      best = &candidate;
      best_score = score;
    }
  }
  return best;
}

std::optional<AllowanceRecord> AllowanceAssignment::Next() {
  if (!this->Active() || this->clock.Now() < this->assign_from) {
    return std::nullopt;
  }
  AllowanceRecord next = this->recorded;
  bool changed = this->rewrite;
  // Holders that are gone must not count in the choice of the others.
  for (int i = 0; i < kAllowanceSlots; ++i) {
    if (this->Free(i)) {
      next[static_cast<std::size_t>(i)].member.clear();
    }
  }
  for (int i = 0; i < kAllowanceSlots; ++i) {
    SlotRecord& record = next[static_cast<std::size_t>(i)];
    if (!this->Free(i)) {
      continue;
    }
    const Candidate* const best = this->Best(next, i);
    if (best == nullptr) {
      record = this->recorded[static_cast<std::size_t>(i)];
      continue;
    }
    record = SlotRecord{best->member.member,       best->member.incarnation,
                        best->member.registration, std::max(record.generation + 1, this->epoch),
                        best->member.data_centre,  best->member.endpoint};
    this->slots[static_cast<std::size_t>(i)].changing = true;
    changed = true;
  }
  if (!changed) {
    this->WithdrawParts();
    return std::nullopt;
  }
  return next;
}

// Moves one part of each group at a time: a moved part grants nothing until the holder has given it
// back, and starts empty at the next one.
void AllowanceAssignment::WithdrawParts() {
  const TimePoint now = this->clock.Now();
  const bool pending = std::any_of(this->slots.begin(), this->slots.end(),
                                   [](const Slot& slot) { return slot.withdrawn; });
  if (pending || now - this->moved_at < kMoveInterval) {
    return;
  }
  this->moved_at = now;
  std::optional<int> moved_group;
  for (int i = 0; i < kAllowanceSlots; ++i) {
    if (moved_group == GroupOfSlot(i)) {
      continue;
    }
    const auto holder = this->candidates.find(this->recorded[static_cast<std::size_t>(i)].member);
    const Candidate* const best = this->Best(this->recorded, i);
    if (best == nullptr || holder == this->candidates.end()) {
      continue;
    }
    const auto [low, neighbours, parts] = this->ScoreOf(this->recorded, i, holder->second.member);
    const auto [best_low, best_neighbours, best_parts] =
        this->ScoreOf(this->recorded, i, best->member);
    if (std::tie(best_low, best_neighbours) < std::tie(low, neighbours) ||
        (best_low == low && best_neighbours == neighbours &&
         parts >= best_parts + kMaxDifference)) {
      this->slots[static_cast<std::size_t>(i)].withdrawn = true;
      moved_group = GroupOfSlot(i);
    }
  }
}

void AllowanceAssignment::OnWritten(const AllowanceRecord& record) {
  const TimePoint now = this->clock.Now();
  for (std::size_t i = 0; i < record.size(); ++i) {
    Slot& slot = this->slots[i];
    slot.changing = false;
    if (!(record[i] == this->recorded[i])) {
      slot = Slot{};
      slot.lease_until = now + kHolderValidity;
    }
  }
  this->recorded = record;
  this->rewrite = false;
}

}  // namespace sycamoredrum
