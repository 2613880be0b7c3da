#include "sycamoredrum/retry_budget.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {

void RetryBudget::RecordRequest(const std::string& caller_group) {
  ++this->CurrentSlot(this->groups[caller_group]).requests;
}

bool RetryBudget::TrySpend(const std::string& caller_group) {
  const TimePoint now = this->clock.Now();
  Group& group = this->groups[caller_group];
  const std::int64_t oldest = this->SlotNumber() - static_cast<std::int64_t>(kSlots) + 1;
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const Slot& slot : group.slots) {
    if (slot.number >= oldest) {
      requests += slot.requests;
      retries += slot.retries;
    }
  }
  const bool within_share = (retries + 1) * 100 <= requests * kRetryPercent;
  const bool first = group.last_retry == TimePoint::min();
  if (!within_share && !first && now - group.last_retry < kMinInterval) {
    return false;
  }
  ++this->CurrentSlot(group).retries;
  group.last_retry = now;
  return true;
}

std::int64_t RetryBudget::SlotNumber() const {
  constexpr Duration kSlotLength = kWindow / kSlots;
  return this->clock.Now().time_since_epoch() / kSlotLength;
}

RetryBudget::Slot& RetryBudget::CurrentSlot(Group& group) const {
  const std::int64_t number = this->SlotNumber();
  Slot& slot = group.slots[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number) {
    slot = Slot{number, 0, 0};
  }
  return slot;
}

Backoff::Backoff(RandomSource random) : random(std::move(random)) {}

Duration Backoff::Next() {
  const auto range = static_cast<std::uint64_t>(this->bound.count()) + 1;
  this->bound = std::min(this->bound * 2, kMaxDelay);
  return Duration(static_cast<Duration::rep>(this->random() % range));
}

}  // namespace sycamoredrum
