#include "sycamoredrum/allowance_account.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace sycamoredrum {
namespace {

// Time constant of the rates of demand and admission.
constexpr double kRateSeconds = 1;
// Told to callers whose deadline passed while no holder answered.
constexpr Duration kUnavailableRetryAfter = std::chrono::milliseconds(500);
// Share of the fleet's rate that a relay assumes for itself until it has admitted operations.
constexpr double kMinShare = 0.01;
constexpr int kMaxAhead = 10000;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

double AllowanceAccount::EventRate::PerSecond(TimePoint now) const {
  return this->events * std::exp(-Seconds(now - this->updated) / kRateSeconds) / kRateSeconds;
}

void AllowanceAccount::EventRate::Add(TimePoint now) {
  this->events = this->PerSecond(now) * kRateSeconds + 1;
  this->updated = now;
}

AllowanceAccount::AllowanceAccount(std::string data_centre, AllowanceAccountHooks hooks,
                                   const Clock& clock, Scheduler& scheduler, RandomSource random)
    : data_centre(std::move(data_centre)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)) {}

void AllowanceAccount::RunLater(Duration delay, std::function<void()> action) {
  this->scheduler.RunAfter(delay,
                           [weak = std::weak_ptr<bool>(this->alive), action = std::move(action)] {
                             if (!weak.expired()) {
                               action();
                             }
                           });
}

void AllowanceAccount::Run(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    decision.done(decision.verdict);
  }
}

void AllowanceAccount::SetLimits(const RateLimits& new_limits) {
  std::vector<Decision> decisions;
  for (auto entry = this->organisations.begin(); entry != this->organisations.end();) {
    const auto limit = new_limits.organisations.find(entry->first);
    if (limit != new_limits.organisations.end()) {
      entry->second.limit = limit->second;
      ++entry;
      continue;
    }
    for (Waiter& waiter : entry->second.waiters) {
      decisions.push_back({std::move(waiter.done), AdmissionVerdict{}});
    }
    entry = this->organisations.erase(entry);
  }
  for (const auto& [name, limit] : new_limits.organisations) {
    this->organisations[name].limit = limit;
  }
  Run(decisions);
}

void AllowanceAccount::SetHolders(const std::map<int, SlotHolder>& new_holders) {
  for (const auto& [slot, holder] : new_holders) {
    const auto known = this->holders.find(slot);
    if (known == this->holders.end() || known->second.generation != holder.generation) {
      this->pauses.erase(slot);
    }
  }
  this->holders = new_holders;
  std::vector<Decision> decisions;
  for (auto& [name, organisation] : this->organisations) {
    organisation.failed.clear();
    this->Ask(name, organisation, decisions);
  }
  Run(decisions);
}

void AllowanceAccount::Admit(const std::string& organisation, TimePoint deadline, Done done) {
  const auto entry = this->organisations.find(organisation);
  if (entry == this->organisations.end()) {
    done(AdmissionVerdict{});
    return;
  }
  Organisation& state = entry->second;
  const TimePoint now = this->clock.Now();
  state.demand.Add(now);
  std::vector<Decision> decisions;
  const bool idle = !state.request && state.waiters.empty();
  const bool short_of_tokens =
      this->TokensOf(state) == 0 && idle && this->ShortUntil(organisation, state).has_value();
  if (short_of_tokens || now >= deadline) {
    decisions.push_back({std::move(done), this->Refuse(organisation, state, now < deadline)});
  } else {
    state.waiters.push_back({deadline, std::move(done)});
    this->Serve(organisation, state, decisions);
    this->ScheduleDeadline(organisation, state);
  }
  Run(decisions);
}

int AllowanceAccount::TokensOf(const Organisation& organisation) const {
  const TimePoint now = this->clock.Now();
  int count = 0;
  for (const TokenBatch& tokens : organisation.tokens) {
    count += tokens.expires > now ? tokens.count : 0;
  }
  return count;
}

bool AllowanceAccount::UseToken(Organisation& organisation) {
  const TimePoint now = this->clock.Now();
  while (!organisation.tokens.empty()) {
    TokenBatch& oldest = organisation.tokens.front();
    if (oldest.expires > now && oldest.count > 0) {
      --oldest.count;
      return true;
    }
    organisation.tokens.pop_front();
  }
  return false;
}

void AllowanceAccount::Serve(const std::string& name, Organisation& organisation,
                             std::vector<Decision>& decisions) {
  while (!organisation.waiters.empty() && this->UseToken(organisation)) {
    organisation.admitted.Add(this->clock.Now());
    if (this->hooks.decided) {
      this->hooks.decided(name, true);
    }
    decisions.push_back({std::move(organisation.waiters.front().done), AdmissionVerdict{}});
    organisation.waiters.pop_front();
  }
  this->Ask(name, organisation, decisions);
}

int AllowanceAccount::Ahead(const Organisation& organisation) const {
  const double expected = organisation.demand.PerSecond(this->clock.Now()) * kAheadSeconds;
  return static_cast<int>(std::min<double>(expected, kMaxAhead));
}

std::optional<int> AllowanceAccount::ChooseSlot(const std::string& name,
                                                const Organisation& organisation,
                                                bool ahead_only) const {
  const TimePoint now = this->clock.Now();
  const auto before = [now](const std::map<int, TimePoint>& times, int slot) {
    const auto found = times.find(slot);
    return found != times.end() && now < found->second;
  };
  std::optional<int> best;
  std::tuple<bool, Duration> best_rank;
  for (int part = 0; part < kAllowanceParts; ++part) {
    const int slot = SlotOf(AllowanceGroupOf(name), part);
    const auto holder = this->holders.find(slot);
    const bool excluded = organisation.failed.count(slot) != 0 ||
                          before(organisation.short_until, slot) ||
                          (ahead_only && before(organisation.no_ahead_until, slot));
    if (holder == this->holders.end() || excluded) {
      continue;
    }
    // Holders without a recent measurement come first, those of the own data centre before others.
    const auto measured = this->response_times.find(holder->second.member);
    const bool known =
        measured != this->response_times.end() && now - measured->second.updated < kResponseTimeAge;
    const bool far = holder->second.data_centre != this->data_centre;
    const Duration time = known ? measured->second.average : Duration(far ? 1 : 0);
    const auto pause = this->pauses.find(slot);
    const bool paused = pause != this->pauses.end() && now < pause->second.until;
    if (paused && ahead_only) {
      // Otherwise the failure of a request for tokens ahead leads to the next one at once.
      continue;
    }
    const std::tuple<bool, Duration> rank{paused, time};
    if (!best || rank < best_rank) {
      best = slot;
      best_rank = rank;
    }
  }
  return best;
}

std::optional<TimePoint> AllowanceAccount::ShortUntil(const std::string& name,
                                                      const Organisation& organisation) const {
  if (this->ChooseSlot(name, organisation, false)) {
    return std::nullopt;
  }
  std::optional<TimePoint> first;
  for (const auto& [slot, until] : organisation.short_until) {
    if (until > this->clock.Now() && this->holders.count(slot) != 0) {
      first = std::min(first.value_or(until), until);
    }
  }
  return first;
}

// Requests tokens if operations wait, or if less than half of the tokens for kAheadSeconds are
// left.
void AllowanceAccount::Ask(const std::string& name, Organisation& organisation,
                           std::vector<Decision>& decisions) {
  if (organisation.request) {
    return;
  }
  TokenRequest wanted{static_cast<int>(organisation.waiters.size()), this->Ahead(organisation)};
  const bool ahead_only = wanted.needed == 0;
  if (ahead_only) {
    organisation.failed.clear();
    const int held = this->TokensOf(organisation);
    wanted.ahead -= held;
    if (wanted.ahead <= held) {
      return;
    }
  }
  if (const std::optional<int> slot = this->ChooseSlot(name, organisation, ahead_only)) {
    this->Send(name, organisation, *slot, wanted);
    return;
  }
  if (ahead_only) {
    return;
  }
  if (this->ShortUntil(name, organisation)) {
    while (!organisation.waiters.empty()) {
      Done done = std::move(organisation.waiters.front().done);
      organisation.waiters.pop_front();
      decisions.push_back({std::move(done), this->Refuse(name, organisation, true)});
    }
    organisation.failed.clear();
    return;
  }
  // No holder is known, or none answered.
  organisation.failed.clear();
  if (!std::exchange(organisation.retry_scheduled, true)) {
    this->RunLater(kRetryInterval, [this, name] {
      const auto entry = this->organisations.find(name);
      if (entry != this->organisations.end()) {
        entry->second.retry_scheduled = false;
        std::vector<Decision> later;
        this->Ask(name, entry->second, later);
        Run(later);
      }
    });
  }
}

void AllowanceAccount::Send(const std::string& name, Organisation& organisation, int slot,
                            TokenRequest wanted) {
  const std::uint64_t number = this->next_request++;
  organisation.request = Request{slot, number, wanted};
  this->RunLater(kAnswerTimeout, [this, name, slot, number] {
    const auto entry = this->organisations.find(name);
    if (entry != this->organisations.end() && entry->second.request &&
        entry->second.request->number == number) {
      this->OnFailed(slot, name);
    }
  });
  this->hooks.request(slot, name, wanted);
}

// Tokens of an answer that arrives after kAnswerTimeout are used as well.
void AllowanceAccount::OnGranted(int slot, const std::string& organisation,
                                 const TokenAnswer& answer, TimePoint sent) {
  const auto entry = this->organisations.find(organisation);
  if (entry == this->organisations.end()) {
    return;
  }
  Organisation& state = entry->second;
  const TimePoint now = this->clock.Now();
  if (answer.granted > 0 && now < sent + kTokenValidity) {
    state.tokens.push_back({answer.granted, sent + kTokenValidity});
  }
  this->pauses.erase(slot);
  if (state.request && state.request->slot == slot) {
    if (answer.granted < state.request->wanted.needed) {
      state.short_until[slot] = now + answer.retry_after;
    }
    if (answer.granted < state.request->wanted.needed + state.request->wanted.ahead) {
      state.no_ahead_until[slot] = now + std::max<Duration>(answer.retry_after, kRetryInterval);
    }
    state.request.reset();
  }
  std::vector<Decision> decisions;
  this->Serve(organisation, state, decisions);
  Run(decisions);
}

void AllowanceAccount::OnFailed(int slot, const std::string& organisation) {
  const auto entry = this->organisations.find(organisation);
  if (entry == this->organisations.end() || !entry->second.request ||
      entry->second.request->slot != slot) {
    return;
  }
  const TimePoint now = this->clock.Now();
  Pause& pause = this->pauses[slot];
  if (now >= pause.until) {
    pause.length = std::clamp<Duration>(pause.length * 2, kFailurePause, kMaxFailurePause);
    pause.until = now + pause.length;
  }
  entry->second.request.reset();
  entry->second.failed.insert(slot);
  std::vector<Decision> decisions;
  this->Ask(organisation, entry->second, decisions);
  Run(decisions);
}

void AllowanceAccount::ObserveResponseTime(const std::string& member, Duration time) {
  const TimePoint now = this->clock.Now();
  ResponseTime& known = this->response_times[member];
  const bool recent = now - known.updated < kResponseTimeAge;
  known.average = recent ? known.average + (time - known.average) / 8 : time;
  known.updated = now;
}

// Refused callers are told to come back one after the other, at the rate at which this relay has
// recently admitted operations.
AdmissionVerdict AllowanceAccount::Refuse(const std::string& name, Organisation& organisation,
                                          bool limited) {
  const TimePoint now = this->clock.Now();
  if (this->hooks.decided) {
    this->hooks.decided(name, false);
  }
  Duration wait = kUnavailableRetryAfter;
  if (limited) {
    const bool pause = now - organisation.refused_at > kLimitedPause;
    organisation.limited_since =
        organisation.limited_since && !pause ? *organisation.limited_since : now;
    organisation.refused_at = now;
    const double rate =
        std::max(organisation.admitted.PerSecond(now), organisation.limit.rate * kMinShare);
    const TimePoint room = this->ShortUntil(name, organisation).value_or(now);
    const TimePoint earliest = std::max({now, room, organisation.promised_until});
    organisation.promised_until =
        std::min(earliest + FromSeconds(1 / std::max(rate, 0.1)), now + Duration(kMaxRetryAfter));
    wait = organisation.promised_until - now;
  }
  const double spread = static_cast<double>(this->random() % 1024) / 1024 * kRetrySpread;
  return AdmissionVerdict{false, wait + FromSeconds(Seconds(wait) * spread)};
}

void AllowanceAccount::ScheduleDeadline(const std::string& name, Organisation& organisation) {
  TimePoint first = TimePoint::max();
  for (const Waiter& waiter : organisation.waiters) {
    first = std::min(first, waiter.deadline);
  }
  if (first < organisation.timer_at) {
    organisation.timer_at = first;
    this->RunLater(first - this->clock.Now(), [this, name] { this->CheckDeadlines(name); });
  }
}

void AllowanceAccount::CheckDeadlines(const std::string& name) {
  const auto entry = this->organisations.find(name);
  if (entry == this->organisations.end()) {
    return;
  }
  Organisation& organisation = entry->second;
  const TimePoint now = this->clock.Now();
  std::vector<Decision> decisions;
  std::deque<Waiter> remaining;
  for (Waiter& waiter : organisation.waiters) {
    if (waiter.deadline <= now) {
      decisions.push_back({std::move(waiter.done), this->Refuse(name, organisation, false)});
    } else {
      remaining.push_back(std::move(waiter));
    }
  }
  organisation.waiters = std::move(remaining);
  organisation.timer_at = TimePoint::max();
  this->ScheduleDeadline(name, organisation);
  Run(decisions);
}

std::size_t AllowanceAccount::Tokens() const {
  std::size_t count = 0;
  for (const auto& [name, organisation] : this->organisations) {
    count += static_cast<std::size_t>(this->TokensOf(organisation));
  }
  return count;
}

std::map<std::string, TimePoint> AllowanceAccount::Limited() const {
  std::map<std::string, TimePoint> result;
  const TimePoint now = this->clock.Now();
  for (const auto& [name, organisation] : this->organisations) {
    if (organisation.limited_since && now - organisation.refused_at <= kLimitedPause) {
      result[name] = *organisation.limited_since;
    }
  }
  return result;
}

}  // namespace sycamoredrum
