#include "sycamoredrum/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamoredrum {

StoreMirror::StoreMirror(const CoordinationStore& store, StoreMirrorOptions options,
                         StoreMirrorHooks hooks, const Clock& clock, Scheduler& scheduler,
                         RandomSource random)
    : store(store),
      options(std::move(options)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)),
      last_success(clock.Now()),
      watch_started(clock.Now()) {}

void StoreMirror::Start() { this->Watch(); }

void StoreMirror::RunLater(Duration delay, void (StoreMirror::*step)()) {
  this->scheduler.RunAfter(delay, [this, step, weak = std::weak_ptr<bool>(this->alive)] {
    if (!weak.expired()) {
      (this->*step)();
    }
  });
}

void StoreMirror::List() {
  const std::uint64_t number = ++this->list_number;
  ++this->lists_in_flight;
  this->list_started = this->clock.Now();
  this->store.list(this->options.prefix, [this, weak = std::weak_ptr<bool>(this->alive), number](
                                             PlatformStatus status, const StorePage& page) {
    if (!weak.expired()) {
      this->OnList(number, status, page);
    }
  });
}

void StoreMirror::ResendOverdueList() {
  const bool overdue = this->clock.Now() - this->list_started > kListOverdueAfter;
  if (!this->synchronized && this->lists_in_flight > 0 && overdue) {
    this->List();
  }
}

void StoreMirror::OnList(std::uint64_t number, PlatformStatus status, const StorePage& page) {
  --this->lists_in_flight;
  if (number <= this->last_settled_list) {
    return;
  }
  // An answer of an earlier era was overtaken by one that shows the restored store.
  if (status != PlatformStatus::kOk || EraOf(page.revision) < this->Era()) {
    if (this->lists_in_flight == 0) {
      this->last_settled_list = this->list_number;
      this->Failed();
    }
    return;
  }
  this->last_settled_list = this->list_number;
  this->Succeeded();
  if (this->synchronized && EraOf(page.revision) > this->Era() && this->hooks.restored) {
    this->hooks.restored(EraOf(page.revision));
  }
  std::set<std::string> present;
  for (const KeyValue& item : page.items) {
    present.insert(item.key);
    const auto known = this->items.find(item.key);
    if (known == this->items.end() || known->second.revision != item.revision) {
      this->Apply(StoreEvent{item, false});
    }
  }
  std::vector<std::string> removed;
  for (const auto& [key, item] : this->items) {
    if (present.count(key) == 0) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    this->Apply(StoreEvent{KeyValue{key, "", page.revision}, true});
  }
  this->revision = page.revision;
  this->must_list = false;
  if (!std::exchange(this->synchronized, true)) {
    this->hooks.synchronized();
  }
  if (this->hooks.listed) {
    this->hooks.listed(this->items);
  }
  this->Watch();
}

void StoreMirror::Pause() {
  // The store may have discarded the changes of the pause by its end.
  this->must_list = true;
  this->pause = this->next_pause++;
  this->scheduler.RunAfter(kPauseCheckInterval,
                           [this, number = this->pause, weak = std::weak_ptr<bool>(this->alive)] {
                             if (!weak.expired() && number == this->pause) {
                               this->Wake();
                             }
                           });
}

void StoreMirror::Wake() {
  if (std::exchange(this->pause, 0) != 0) {
    this->Watch();
  }
}

void StoreMirror::Watch() {
  const bool relaxed = this->synchronized && this->reachable && this->Relaxed();
  if (!this->Wanted() || (relaxed && !this->options.relaxed_watch_timeout)) {
    this->Pause();
    return;
  }
  if (this->must_list) {
    this->List();
    return;
  }
  this->watch_started = this->clock.Now();
  this->store.watch(
      this->options.prefix, this->revision,
      relaxed ? *this->options.relaxed_watch_timeout : this->options.watch_timeout,
      [this, weak = std::weak_ptr<bool>(this->alive)](WatchStatus status, const StorePage& page) {
        if (!weak.expired()) {
          this->OnWatch(status, page);
        }
      });
}

void StoreMirror::OnWatch(WatchStatus status, const StorePage& page) {
  if (status == WatchStatus::kUnavailable) {
    // The store may return from an older copy. A watch that waits would not show its new era.
    this->must_list = true;
    this->Failed();
    return;
  }
  this->Succeeded();
  if (status == WatchStatus::kHistoryLost) {
    this->must_list = true;
    this->List();
    return;
  }
  for (const StoreEvent& event : page.events) {
    this->Apply(event);
  }
  this->revision = std::max(this->revision, page.revision);
  const Duration pause = this->options.watch_interval - (this->clock.Now() - this->watch_started);
  if (pause > Duration::zero()) {
    this->RunLater(pause, &StoreMirror::Watch);
  } else {
    this->Watch();
  }
}

void StoreMirror::Apply(const StoreEvent& event) {
  const auto known = this->items.find(event.item.key);
  if (event.removed) {
    if (known == this->items.end()) {
      return;
    }
    this->items.erase(known);
  } else {
    if (known != this->items.end() && known->second.revision >= event.item.revision) {
      return;
    }
    this->items[event.item.key] = event.item;
  }
  this->hooks.changed(event);
}

void StoreMirror::Succeeded() {
  this->last_success = this->clock.Now();
  this->retry_delay = kMinRetryDelay;
  if (!std::exchange(this->reachable, true)) {
    this->hooks.reachable(true);
  }
}

void StoreMirror::Failed() {
  if (std::exchange(this->reachable, false)) {
    this->hooks.reachable(false);
  }
  // Half of the delay is fixed and half is random.
  const auto half = this->retry_delay.count() / 2;
  const Duration delay(
      half + static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(half + 1)));
  const Duration limit =
      this->hooks.max_retry_delay ? this->hooks.max_retry_delay() : kMaxRetryDelay;
  this->retry_delay = std::min(this->retry_delay * 2, limit);
  this->RunLater(delay, &StoreMirror::Watch);
}

}  // namespace sycamoredrum
