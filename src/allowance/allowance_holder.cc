#include "sycamoredrum/allowance_holder.h"

#include <algorithm>
#include <cmath>

namespace sycamoredrum {
namespace {

constexpr Duration kShortageTime = std::chrono::seconds(1);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void AllowanceBucket::Fill(TimePoint now) {
  const double passed = std::chrono::duration<double>(now - this->filled_at).count();
  this->filled_at = now;
  this->content = std::min(this->shape.capacity, this->content + this->shape.rate * passed);
}

void AllowanceBucket::SetShape(const BucketShape& new_shape, TimePoint now) {
  this->Fill(now);
  this->shape = new_shape;
  this->content = std::min(this->content, this->shape.capacity);
}

double AllowanceBucket::Content(TimePoint now) {
  this->Fill(now);
  return this->content;
}

TokenAnswer AllowanceBucket::Take(const std::string& requester, const TokenRequest& request,
                                  TimePoint now) {
  this->Fill(now);
  TokenAnswer answer;
  answer.granted = static_cast<int>(std::min<double>(request.needed, std::floor(this->content)));
  this->content -= answer.granted;
  if (answer.granted < request.needed || this->content < 1) {
    answer.retry_after = this->RetryAfter(requester, now);
  }
  if (answer.granted == request.needed) {
    // A single token is granted as well: otherwise the tokens of a small bucket would be lost.
    const double spare = std::max(std::floor(this->content / 2), std::min(1.0, this->content));
    const int ahead = static_cast<int>(std::min<double>(request.ahead, std::floor(spare)));
    this->content -= ahead;
    answer.granted += ahead;
  }
  return answer;
}

// Spreads the requests of all relays that get too few tokens over time.
Duration AllowanceBucket::RetryAfter(const std::string& requester, TimePoint now) {
  if (now - this->short_since >= kShortageTime) {
    const bool recent = now - this->short_since < 2 * kShortageTime;
    this->short_before = recent ? std::move(this->short_now) : std::set<std::string>();
    this->short_now.clear();
    this->short_since = now;
  }
  this->short_now.insert(requester);
  if (this->shape.rate <= 0) {
    return kMaxRetryAfter;
  }
  const auto requesters =
      static_cast<double>(std::max(this->short_now.size(), this->short_before.size()));
  const double next_token = std::max(0.0, 1 - this->content) / this->shape.rate;
  return std::clamp<Duration>(
      FromSeconds(std::min(10.0, std::max(next_token, requesters / kMaxRequestsPerSecond))),
      kMinRetryAfter, kMaxRetryAfter);
}

void AllowanceHolder::SetLimits(const RateLimits& new_limits) {
  if (new_limits.version < this->limits.version) {
    return;
  }
  this->limits = new_limits;
  for (auto& [slot, part] : this->parts) {
    this->UpdateBuckets(slot, part);
  }
}

void AllowanceHolder::UpdateBuckets(int slot, Part& part) {
  const TimePoint now = this->clock.Now();
  for (auto bucket = part.buckets.begin(); bucket != part.buckets.end();) {
    const bool limited = this->limits.organisations.count(bucket->first) != 0;
    bucket = limited ? std::next(bucket) : part.buckets.erase(bucket);
  }
  for (const auto& [name, limit] : this->limits.organisations) {
    if (AllowanceGroupOf(name) == GroupOfSlot(slot)) {
      const BucketShape shape = ShapeOfPart(limit, this->options, PartOfSlot(slot));
      const auto [bucket, added] = part.buckets.try_emplace(name, shape, now);
      if (!added) {
        bucket->second.SetShape(shape, now);
      }
    }
  }
}

SlotChanges AllowanceHolder::SetLeases(const std::map<int, std::uint64_t>& leases,
                                       TimePoint until) {
  SlotChanges changes = this->Expire();
  for (auto part = this->parts.begin(); part != this->parts.end();) {
    const auto lease = leases.find(part->first);
    const bool held = lease != leases.end() && lease->second == part->second.generation;
    if (held) {
      part->second.until = std::max(part->second.until, until);
      ++part;
    } else {
      changes.lost.push_back(part->first);
      part = this->parts.erase(part);
    }
  }
  if (until <= this->clock.Now()) {
    return changes;
  }
  for (const auto& [slot, generation] : leases) {
    const auto [part, added] = this->parts.try_emplace(slot, Part{generation, until, {}});
    if (added) {
      this->UpdateBuckets(slot, part->second);
      changes.acquired.push_back(slot);
    }
  }
  return changes;
}

SlotChanges AllowanceHolder::Expire() {
  SlotChanges changes;
  for (auto part = this->parts.begin(); part != this->parts.end();) {
    if (part->second.until <= this->clock.Now()) {
      changes.lost.push_back(part->first);
      part = this->parts.erase(part);
    } else {
      ++part;
    }
  }
  return changes;
}

AllowanceAnswer AllowanceHolder::Grant(const std::string& requester,
                                       const AllowanceRequest& request) {
  AllowanceAnswer answer;
  const TimePoint now = this->clock.Now();
  const auto part = this->parts.find(request.slot);
  if (part == this->parts.end() || part->second.generation != request.generation ||
      part->second.until <= now) {
    return answer;
  }
  answer.holds = true;
  for (const auto& [name, wanted] : request.wanted) {
    const auto bucket = part->second.buckets.find(name);
    if (bucket != part->second.buckets.end()) {
      answer.granted[name] = bucket->second.Take(requester, wanted, now);
    }
  }
  return answer;
}

std::map<int, std::uint64_t> AllowanceHolder::Held() const {
  std::map<int, std::uint64_t> result;
  for (const auto& [slot, part] : this->parts) {
    if (part.until > this->clock.Now()) {
      result[slot] = part.generation;
    }
  }
  return result;
}

}  // namespace sycamoredrum
