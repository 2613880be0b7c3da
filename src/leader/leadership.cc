#include "sycamoredrum/leadership.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {

Leadership::Leadership(const CoordinationStore& store, LeadershipOptions options,
                       LeadershipHooks hooks, const Clock& clock, Scheduler& scheduler,
                       RandomSource random)
    : store(store),
      options(std::move(options)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)),
      deadline(clock.Now()),
      excluded_until(clock.Now()) {}

void Leadership::Start() {
  this->started = true;
  this->EnterElection();
}

bool Leadership::Leading() const {
  return this->phase == Phase::kLeading && this->clock.Now() < this->deadline;
}

void Leadership::RunLater(Duration delay, std::function<void()> action) {
  this->scheduler.RunAfter(delay, [weak = std::weak_ptr<bool>(this->alive), number = this->attempt,
                                   this, action = std::move(action)] {
    if (!weak.expired() && number == this->attempt) {
      action();
    }
  });
}

void Leadership::KeyChanged(const std::optional<KeyValue>& item) {
  this->key = item;
  // A delayed write of an earlier candidacy has the same value but another revision, and members
  // identify the leader by the revision.
  const bool own = item && item->value == this->options.value && item->revision == this->epoch;
  const bool outdated = item && item->revision < this->epoch;
  if (this->phase == Phase::kLeading && !own && !outdated) {
    this->StepDown("the leader's key was removed or taken by another process");
  }
  this->EnterElection();
}

void Leadership::StoreRestored(std::uint64_t era) {
  if (this->phase != Phase::kLeading || era <= EraOf(this->epoch)) {
    return;
  }
  this->StepDown("the store has returned from an older copy");
  this->interrupted_deadline = this->deadline;
  // A new election soon after the loss keeps the members' grants alive.
  this->phase = Phase::kFollowing;
  ++this->attempt;
  this->excluded_until = this->clock.Now();
  this->EnterElection();
}

// True unless another process holds the key.
bool Leadership::KeyAvailable() const {
  return !this->key || this->key->value == this->options.value ||
         this->hooks.is_predecessor(this->key->value) ||
         !this->hooks.names_process(this->key->value);
}

void Leadership::EnterElection() {
  if (!this->started || this->phase != Phase::kFollowing || !this->KeyAvailable()) {
    return;
  }
  // No other process takes the key of an earlier start of this process, so no delay is needed.
  const bool contested = !this->key || !this->hooks.is_predecessor(this->key->value);
  const Duration wait = this->excluded_until - this->clock.Now();
  this->phase = Phase::kCandidate;
  ++this->attempt;
  const auto bound = static_cast<std::uint64_t>(this->options.max_candidate_delay.count()) + 1;
  const Duration random_part(static_cast<std::int64_t>(this->random() % bound));
  const Duration candidate_delay =
      contested ? this->options.min_candidate_delay + random_part : Duration::zero();
  this->RunLater(std::max(wait, Duration::zero()) + candidate_delay, [this] { this->Campaign(); });
}

void Leadership::Retry() {
  this->phase = Phase::kFollowing;
  ++this->attempt;
  this->RunLater(this->options.renew_interval / 4, [this] { this->EnterElection(); });
}

void Leadership::Campaign() {
  if (!this->KeyAvailable()) {
    this->phase = Phase::kFollowing;
    return;
  }
  const TimePoint sent = this->clock.Now();
  this->store.grant_lease(this->options.lease,
                          [this, weak = std::weak_ptr<bool>(this->alive), number = this->attempt,
                           sent](PlatformStatus status, std::uint64_t granted, Duration) {
                            if (weak.expired() || number != this->attempt) {
                              return;
                            }
                            if (status != PlatformStatus::kOk) {
                              this->Retry();
                              return;
                            }
                            this->WriteKey(granted, sent);
                          });
}

void Leadership::WriteKey(std::uint64_t new_lease, TimePoint sent) {
  if (!this->KeyAvailable()) {
    // Another process was elected while this one waited for its lease.
    this->store.end_lease(new_lease, [](PlatformStatus) {});
    this->phase = Phase::kFollowing;
    return;
  }
  this->lease = new_lease;
  const std::uint64_t expected = this->key ? this->key->revision : 0;
  this->store.write(ConditionalWrite{this->options.key, expected, this->options.value, new_lease},
                    {},
                    [this, weak = std::weak_ptr<bool>(this->alive), number = this->attempt, sent](
                        PlatformStatus status, std::uint64_t revision) {
                      if (!weak.expired() && number == this->attempt) {
                        this->OnWriteKeyResult(status, revision, sent);
                      }
                    });
}

void Leadership::OnWriteKeyResult(PlatformStatus status, std::uint64_t revision, TimePoint sent) {
  switch (status) {
    case PlatformStatus::kOk:
      this->BecomeLeader(revision, sent);
      return;
    case PlatformStatus::kUnknown:
      // The write may have taken effect; a read of the key shows whether it did.
      this->Confirm();
      return;
    default:
      // Another candidate wrote first, or the lease ended; the watch will report the present key.
      this->Retry();
      return;
  }
}

void Leadership::BecomeLeader(std::uint64_t new_epoch, TimePoint confirmed_at) {
  this->uninterrupted =
      this->interrupted_deadline && this->clock.Now() < *this->interrupted_deadline;
  this->interrupted_deadline.reset();
  this->phase = Phase::kLeading;
  this->epoch = new_epoch;
  this->deadline = confirmed_at + this->options.lease;
  this->RunLater(this->options.renew_interval, [this] { this->Renew(); });
  this->CheckDeadline();
  this->hooks.gained(new_epoch);
}

void Leadership::CheckDeadline() {
  if (this->phase != Phase::kLeading) {
    return;
  }
  const Duration left = this->deadline - this->clock.Now();
  if (left <= Duration::zero()) {
    this->StepDown("the store has not confirmed the leadership in time");
    return;
  }
  this->RunLater(left, [this] { this->CheckDeadline(); });
}

void Leadership::Renew() {
  this->store.renew_lease(this->lease, [this, weak = std::weak_ptr<bool>(this->alive),
                                        number = this->attempt](PlatformStatus) {
    if (weak.expired() || number != this->attempt) {
      return;
    }
    // A lease that is not found belonged to an earlier era, or has ended together with the key.
    this->Confirm();
  });
}

void Leadership::Confirm() {
  const TimePoint sent = this->clock.Now();
  this->store.list(this->options.key,
                   [this, weak = std::weak_ptr<bool>(this->alive), number = this->attempt, sent](
                       PlatformStatus status, const StorePage& page) {
                     if (!weak.expired() && number == this->attempt) {
                       this->OnConfirmResult(status, page, sent);
                     }
                   });
}

void Leadership::OnConfirmResult(PlatformStatus status, const StorePage& page, TimePoint sent) {
  if (status != PlatformStatus::kOk) {
    if (this->phase == Phase::kLeading) {
      this->RunLater(this->options.renew_interval / 2, [this] { this->Renew(); });
    } else {
      this->Retry();
    }
    return;
  }
  const auto own = std::find_if(page.items.begin(), page.items.end(), [this](const KeyValue& item) {
    return item.key == this->options.key && item.value == this->options.value;
  });
  if (this->phase == Phase::kLeading && EraOf(page.revision) > EraOf(this->epoch)) {
    const auto present =
        std::find_if(page.items.begin(), page.items.end(),
                     [this](const KeyValue& item) { return item.key == this->options.key; });
    this->key = present == page.items.end() ? std::nullopt : std::optional<KeyValue>(*present);
    this->StoreRestored(EraOf(page.revision));
    return;
  }
  if (own == page.items.end()) {
    if (this->phase == Phase::kLeading) {
      this->StepDown("the leader's key no longer names this process");
    } else {
      this->Retry();
    }
    return;
  }
  if (this->phase != Phase::kLeading) {
    this->BecomeLeader(own->revision, sent);
    return;
  }
  if (own->revision != this->epoch) {
    this->StepDown("the leader's key was written again");
    return;
  }
  this->deadline = std::max(this->deadline, sent + this->options.lease);
  this->RunLater(this->options.renew_interval, [this] { this->Renew(); });
}

void Leadership::StepDown(const std::string& reason) {
  this->phase = Phase::kFollowing;
  this->interrupted_deadline.reset();
  ++this->attempt;
  // The store removes the key together with the lease, if the key still belongs to this lease.
  this->store.end_lease(this->lease, [](PlatformStatus) {});
  this->excluded_until = this->clock.Now() + this->options.renew_interval;
  this->hooks.lost(reason);
  this->EnterElection();
}

void Leadership::Resign(const std::string& reason, Duration pause) {
  const bool led = this->phase == Phase::kLeading;
  this->interrupted_deadline.reset();
  this->excluded_until = this->clock.Now() + pause;
  if (led) {
    this->StepDown(reason);
    this->excluded_until = this->clock.Now() + pause;
  }
  this->phase = Phase::kFollowing;
  ++this->attempt;
  this->RunLater(pause, [this] { this->EnterElection(); });
}

void Leadership::ObserveEpoch(std::uint64_t other_epoch) {
  if (other_epoch > this->epoch) {
    this->interrupted_deadline.reset();
  }
  if (this->phase == Phase::kLeading && other_epoch > this->epoch) {
    this->StepDown("another process leads in a later epoch");
  }
}

}  // namespace sycamoredrum
