#pragma once

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sycamoredrum/allowance_account.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks the number of operations in any window of time. Operations are added in order of time.
class WindowCounter {
 public:
  void Add(TimePoint at) { this->times.push_back(at); }

  /// Greatest number of operations in any window that begins at or after `from`.
  std::size_t Most(Duration window, TimePoint from = TimePoint()) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < this->times.size(); ++i) {
      while (this->times[i] - this->times[first] > window) {
        ++first;
      }
      most = this->times[first] >= from ? std::max(most, i + 1 - first) : most;
    }
    return most;
  }

  std::size_t Between(TimePoint from, TimePoint to) const {
    const auto count = std::count_if(this->times.begin(), this->times.end(),
                                     [&](TimePoint at) { return at >= from && at < to; });
    return static_cast<std::size_t>(count);
  }

 private:
  std::vector<TimePoint> times;
};

/// Relays that request tokens from fixed holders in virtual time. The parts of each group are held
/// by the relays 0, 1 and 2.
class AllowanceFleet {
 public:
  struct Relay {
    std::unique_ptr<AllowanceAccount> account;
    std::unique_ptr<AllowanceHolder> holder;
    bool dead = false;
    bool silent = false;  ///< Requests get no answer.
    int waiting = 0;
  };

  AllowanceFleet(int size, RateLimits limits, std::uint64_t seed = 1, AllowanceOptions options = {})
      : options(options), random(seed), limits(std::move(limits)) {
    for (int i = 0; i < size; ++i) {
      this->relays.emplace_back();
      this->Start(i);
    }
    this->ShareHolders();
  }

  void Start(int number) {
    Relay& relay = this->relays[static_cast<std::size_t>(number)];
    ++this->generation;
    relay.dead = false;
    relay.holder = std::make_unique<AllowanceHolder>(this->options, this->clock);
    relay.holder->SetLimits(this->limits);
    AllowanceAccountHooks hooks;
    hooks.request = [this, number](int slot, const std::string& name, const TokenRequest& wanted) {
      this->Request(number, slot, name, wanted);
    };
    relay.account =
        std::make_unique<AllowanceAccount>("dc" + std::to_string(number % 6), hooks, this->clock,
                                           this->clock, [this] { return this->random(); });
    relay.account->SetLimits(this->limits);
    this->Renew();
  }

  void ShareHolders() {
    std::map<int, SlotHolder> holders;
    for (int slot = 0; slot < kAllowanceSlots; ++slot) {
      const int member = PartOfSlot(slot) % static_cast<int>(this->relays.size());
      holders[slot] = SlotHolder{std::to_string(member), "dc" + std::to_string(member % 6),
                                 Endpoint{}, this->generation};
    }
    for (Relay& relay : this->relays) {
      relay.account->SetHolders(holders);
    }
    this->Renew();
  }

  void Renew() {
    for (std::size_t i = 0; i < this->relays.size() && i < kAllowanceParts; ++i) {
      std::map<int, std::uint64_t> leases;
      for (int group = 0; group < kAllowanceGroups; ++group) {
        leases[SlotOf(group, static_cast<int>(i))] = this->generation;
      }
      if (this->relays[i].holder && !this->relays[i].dead) {
        this->relays[i].holder->SetLeases(leases, this->clock.Now() + kHolderValidity);
      }
    }
  }

  void SetLimits(const RateLimits& changed) {
    this->limits = changed;
    for (Relay& relay : this->relays) {
      relay.holder->SetLimits(changed);
      relay.account->SetLimits(changed);
    }
  }

  void Request(int from, int slot, const std::string& name, const TokenRequest& wanted) {
    ++this->messages;
    const TimePoint sent = this->clock.Now();
    const int to = PartOfSlot(slot) % static_cast<int>(this->relays.size());
    const Duration delay =
        from == to ? Duration(milliseconds(1)) : milliseconds(3 + (from + to) % 6);
    const auto at = [this](int number) -> Relay& {
      return this->relays[static_cast<std::size_t>(number)];
    };
    const std::uint64_t used = this->generation;
    this->clock.RunAfter(delay, [=] {
      if (at(to).silent) {
        return;
      }
      if (at(to).dead) {
        this->clock.RunAfter(delay, [=] { at(from).account->OnFailed(slot, name); });
        return;
      }
      const AllowanceAnswer answer = at(to).holder->Grant(
          std::to_string(from), AllowanceRequest{slot, used, {{name, wanted}}});
      this->clock.RunAfter(delay, [=] {
        const auto granted = answer.granted.find(name);
        if (!answer.holds || granted == answer.granted.end()) {
          at(from).account->OnFailed(slot, name);
          return;
        }
        at(from).account->ObserveResponseTime(std::to_string(to), 2 * delay);
        at(from).account->OnGranted(slot, name, granted->second, sent);
      });
    });
  }

  void Operation(int relay, const std::string& name) {
    ++this->offered;
    const TimePoint arrived = this->clock.Now();
    this->relays[static_cast<std::size_t>(relay)].account->Admit(
        name, arrived + milliseconds(500), [this, name, arrived](const AdmissionVerdict& verdict) {
          this->longest_wait = std::max(this->longest_wait, this->clock.Now() - arrived);
          this->long_waits += this->clock.Now() - arrived >= AllowanceAccount::kAnswerTimeout;
          if (verdict.admitted) {
            this->admitted[name].Add(this->clock.Now());
          } else {
            this->refused[name].Add(this->clock.Now());
            this->retry_times.push_back(verdict.retry_after);
          }
        });
  }

  /// Operations of a Poisson process at random relays from `first` to `last`.
  void Load(const std::string& name, double per_second, Duration time, int first, int last) {
    std::exponential_distribution<double> gap(per_second);
    const TimePoint end = this->clock.Now() + time;
    TimePoint renewed = this->clock.Now();
    while (this->clock.Now() < end) {
      const auto step =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->random)));
      this->clock.Advance(std::min<Duration>(step, end - this->clock.Now()));
      if (this->clock.Now() - renewed > milliseconds(500)) {
        renewed = this->clock.Now();
        this->Renew();
      }
      const int count = last - first + 1;
      this->Operation(first + static_cast<int>(this->random() % static_cast<unsigned>(count)),
                      name);
    }
  }

  void Idle(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(500)) {
      this->clock.Advance(milliseconds(500));
      this->Renew();
    }
  }

  const AllowanceOptions options;
  std::mt19937_64 random;
  ManualClock clock;
  RateLimits limits;
  std::vector<Relay> relays;
  std::uint64_t generation = 0;
  std::size_t messages = 0;
  std::size_t offered = 0;
  Duration longest_wait{};
  int long_waits = 0;  ///< Operations that waited for AllowanceAccount::kAnswerTimeout.
  std::map<std::string, WindowCounter> admitted;
  std::map<std::string, WindowCounter> refused;
  std::vector<Duration> retry_times;
};

}  // namespace sycamoredrum
