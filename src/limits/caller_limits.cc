#include "sycamoredrum/caller_limits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoredrum {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
// Memory for everything else: about 10 MiB in calm, and the buffers of the connections to backend
// servers, the store and other relays.
constexpr std::size_t kProcessReserve = 24 * kMebibyte;
// Share of the rest that callers may use. The allocator and short-lived copies need the other part.
constexpr double kCallersShare = 0.6;

// Longest time without progress that counts for the choice of the connections to close.
constexpr Duration kLongestCounted = std::chrono::seconds(10);

}  // namespace

std::string_view ToString(BudgetPart part) {
  switch (part) {
    case BudgetPart::kInput:
      return "input";
    case BudgetPart::kStatements:
      return "statements";
    case BudgetPart::kResponses:
      return "responses";
  }
  return "";
}

std::string_view ToString(LimitKind kind) {
  switch (kind) {
    case LimitKind::kOpenSession:
      return "open_session";
    case LimitKind::kUnopenedSessions:
      return "unopened_sessions";
    case LimitKind::kMessageProgress:
      return "message_progress";
    case LimitKind::kAnswerProgress:
      return "answer_progress";
    case LimitKind::kMemory:
      return "memory";
    case LimitKind::kSessions:
      return "sessions";
  }
  return "";
}

void DivideMemory(std::size_t memory_limit, CallerLimitOptions& options) {
  const std::size_t rest =
      std::max(memory_limit / 4, memory_limit - std::min(memory_limit, kProcessReserve));
  const auto callers = static_cast<std::size_t>(static_cast<double>(rest) * kCallersShare);
  options.budget_bytes = callers / 2;
  options.large_messages = std::max<std::size_t>(callers / 2 / CallerLimits::kLargeMessageCost, 1);
}

CallerUsage::CallerUsage(CallerLimits& limits, std::uint64_t id, TimePoint now)
    : limits(limits),
      id(id),
      opened_at(now),
      message_progress(now),
      answer_progress(now),
      last_progress(now) {}

CallerUsage::~CallerUsage() {
  this->closed = true;
  this->limits.unopened.erase(this->id);
  for (const BudgetPart part :
       {BudgetPart::kInput, BudgetPart::kStatements, BudgetPart::kResponses}) {
    this->limits.Set(*this, part, 0);
  }
  this->limits.watched.erase(this->id);
  this->ReleaseLarge();
}

std::size_t CallerUsage::Held() const { return this->held[0] + this->held[1] + this->held[2]; }

// Sessions with some variables and no work in progress need no visits in Tick.
bool CallerUsage::Idle() const {
  return this->opened && !this->waiting && !this->large &&
         this->held[static_cast<std::size_t>(BudgetPart::kInput)] == 0 &&
         this->held[static_cast<std::size_t>(BudgetPart::kResponses)] == 0 &&
         this->Held() <= CallerLimits::kLargeMessageBytes;
}

void CallerUsage::SessionOpened() {
  this->opened = true;
  this->limits.unopened.erase(this->id);
}

void CallerUsage::SetInput(std::size_t bytes) {
  const std::size_t previous = this->held[static_cast<std::size_t>(BudgetPart::kInput)];
  if (previous == 0 && bytes == 0) {
    return;
  }
  if (previous == 0) {
    this->message_progress = this->limits.now;
    this->message_bytes = 0;
  } else if (bytes > previous) {
    this->message_bytes += bytes - previous;
    if (this->message_bytes >= CallerLimits::kMinProgressBytes) {
      this->message_progress = this->limits.now;
      this->message_bytes = 0;
    }
  }
  this->last_progress = std::max(this->last_progress, this->message_progress);
  this->limits.Set(*this, BudgetPart::kInput, bytes);
}

bool CallerUsage::RequestLarge() {
  if (this->large || this->closed) {
    return true;
  }
  if (!std::exchange(this->waiting, true)) {
    this->limits.large_queue.push_back(this->id);
    this->limits.Watch(*this);
    // Grants at once if there is room, without a call of `resume` for this connection.
    if (this->limits.large_queue.size() == 1 &&
        this->limits.large_in_use < this->limits.options.large_messages) {
      this->limits.large_queue.pop_front();
      this->waiting = false;
      this->large = true;
      ++this->limits.large_in_use;
      this->limits.shared_used -= this->Held();
      return true;
    }
  }
  return false;
}

void CallerUsage::ReleaseLarge() {
  if (!std::exchange(this->large, false)) {
    return;
  }
  --this->limits.large_in_use;
  this->limits.shared_used += this->Held();
  this->limits.GrantLarge();
}

void CallerUsage::AddStatement(std::size_t bytes) {
  this->limits.Set(*this, BudgetPart::kStatements,
                   this->held[static_cast<std::size_t>(BudgetPart::kStatements)] + bytes);
}

void CallerUsage::RemoveStatement(std::size_t bytes) {
  this->last_progress = this->limits.now;
  this->limits.Set(*this, BudgetPart::kStatements,
                   this->held[static_cast<std::size_t>(BudgetPart::kStatements)] - bytes);
}

void CallerUsage::SetUnsent(std::size_t bytes) {
  const std::size_t previous = this->held[static_cast<std::size_t>(BudgetPart::kResponses)];
  if (previous == 0 && bytes == 0) {
    return;
  }
  if (previous == 0) {
    this->answer_progress = this->limits.now;
    this->answer_bytes = 0;
  } else if (bytes < previous) {
    this->answer_bytes += previous - bytes;
    if (this->answer_bytes >= CallerLimits::kMinProgressBytes) {
      this->answer_progress = this->limits.now;
      this->answer_bytes = 0;
    }
  }
  this->last_progress = std::max(this->last_progress, this->answer_progress);
  this->limits.Set(*this, BudgetPart::kResponses, bytes);
}

void CallerUsage::SetPaused(bool value) {
  if (this->paused && !value) {
    this->message_progress = this->limits.now;
    this->message_bytes = 0;
  }
  this->paused = value;
}

CallerLimits::CallerLimits(CallerLimitOptions options, CallerLimitHooks hooks, const Clock& clock)
    : options(options), hooks(std::move(hooks)), clock(clock), now(clock.Now()) {}

CallerLimits::~CallerLimits() = default;

std::unique_ptr<CallerUsage> CallerLimits::Add(std::uint64_t connection) {
  std::unique_ptr<CallerUsage> usage(new CallerUsage(*this, connection, this->now));
  if (this->unopened.size() >= this->options.max_unopened && !this->unopened.empty()) {
    this->Close(*this->unopened.begin()->second, LimitKind::kUnopenedSessions);
  }
  this->unopened[connection] = usage.get();
  this->watched[connection] = usage.get();
  return usage;
}

void CallerLimits::Watch(CallerUsage& usage) {
  if (!usage.closed) {
    this->watched[usage.id] = &usage;
  }
}

void CallerLimits::Set(CallerUsage& usage, BudgetPart part, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(part);
  if (usage.closed) {
    bytes = 0;  // Its memory was released in the hook `close`.
  }
  const std::size_t previous = std::exchange(usage.held[index], bytes);
  if (previous == bytes) {
    return;
  }
  this->used[index] = this->used[index] - previous + bytes;
  if (!usage.large) {
    this->shared_used = this->shared_used - previous + bytes;
  }
  // A statement alone needs no watching: the session ends it after its own time limit. It is
  // watched if it holds enough to matter when the memory is short.
  if (bytes > previous && (part != BudgetPart::kStatements || usage.Held() > kLargeMessageBytes)) {
    this->Watch(usage);
  }
  if (bytes > previous && this->shared_used > this->options.budget_bytes) {
    this->CloseForMemory();
  }
}

void CallerLimits::CloseForMemory() {
  if (std::exchange(this->closing, true)) {
    return;
  }
  std::vector<std::pair<double, CallerUsage*>> holders;
  for (const auto& [id, usage] : this->watched) {
    if (!usage->large && usage->Held() > 0) {
      // The least time makes the size decide between connections that all made progress just now.
      // The greatest time keeps sessions that are idle for hours from being closed before floods.
      const Duration without_progress = std::min(this->now - usage->last_progress, kLongestCounted);
      const double seconds = std::chrono::duration<double>(without_progress).count() + 0.05;
      holders.emplace_back(static_cast<double>(usage->Held()) * seconds, usage);
    }
  }
  std::sort(holders.begin(), holders.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  // A connection may end only in its own close hook, so the pointers stay valid.
  for (const auto& [score, usage] : holders) {
    if (this->shared_used <= this->options.budget_bytes) {
      break;
    }
    this->Close(*usage, LimitKind::kMemory);
  }
  this->closing = false;
}

void CallerLimits::Close(CallerUsage& usage, LimitKind kind) {
  if (std::exchange(usage.closed, true)) {
    return;
  }
  this->Count(kind);
  this->unopened.erase(usage.id);
  this->watched.erase(usage.id);
  for (const BudgetPart part :
       {BudgetPart::kInput, BudgetPart::kStatements, BudgetPart::kResponses}) {
    this->Set(usage, part, 0);
  }
  if (this->hooks.close) {
    this->hooks.close(usage.id, kind);
  }
  usage.ReleaseLarge();
}

void CallerLimits::GrantLarge() {
  while (!this->large_queue.empty() && this->large_in_use < this->options.large_messages) {
    const auto found = this->watched.find(this->large_queue.front());
    this->large_queue.pop_front();
    if (found == this->watched.end() || !found->second->waiting) {
      continue;
    }
    CallerUsage& usage = *found->second;
    usage.waiting = false;
    usage.large = true;
    ++this->large_in_use;
    this->shared_used -= usage.Held();
    usage.last_progress = this->now;
    if (this->hooks.resume) {
      this->hooks.resume(usage.id);
    }
  }
}

const LimitKind* CallerLimits::Reached(const CallerUsage& usage) const {
  static constexpr LimitKind kOpen = LimitKind::kOpenSession;
  static constexpr LimitKind kMessage = LimitKind::kMessageProgress;
  static constexpr LimitKind kAnswer = LimitKind::kAnswerProgress;
  static constexpr LimitKind kShort = LimitKind::kMemory;
  if (!usage.opened) {
    return this->now - usage.opened_at > this->options.open_session_timeout ? &kOpen : nullptr;
  }
  const bool receives = usage.held[static_cast<std::size_t>(BudgetPart::kInput)] > 0;
  if (receives && !usage.paused &&
      this->now - usage.message_progress > this->options.message_progress_timeout) {
    return &kMessage;
  }
  if (usage.held[static_cast<std::size_t>(BudgetPart::kResponses)] > 0 &&
      this->now - usage.answer_progress > this->options.answer_progress_timeout) {
    return &kAnswer;
  }
  if (usage.large && !this->large_queue.empty()) {
    const bool message_stalled =
        receives && !usage.paused && this->now - usage.message_progress > kStalledAfter;
    const bool answer_stalled = usage.held[static_cast<std::size_t>(BudgetPart::kResponses)] > 0 &&
                                this->now - usage.answer_progress > kStalledAfter;
    return message_stalled || answer_stalled ? &kShort : nullptr;
  }
  return nullptr;
}

void CallerLimits::Tick() {
  this->now = this->clock.Now();
  std::vector<std::pair<CallerUsage*, LimitKind>> reached;
  for (auto entry = this->watched.begin(); entry != this->watched.end();) {
    if (entry->second->Idle()) {
      entry = this->watched.erase(entry);
      continue;
    }
    if (const LimitKind* kind = this->Reached(*entry->second)) {
      reached.emplace_back(entry->second, *kind);
    }
    ++entry;
  }
  for (const auto& [usage, kind] : reached) {
    this->Close(*usage, kind);
  }
}

}  // namespace sycamoredrum
