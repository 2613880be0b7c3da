#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/allowance.h"
#include "sycamoredrum/allowance_holder.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {

/// Holder of a slot as this relay knows it.
struct SlotHolder {
  std::string member;
  std::string data_centre;
  Endpoint endpoint;
  std::uint64_t generation = 0;
};

struct AllowanceAccountHooks {
  /// Requests tokens of `organisation` from the holder of `slot`. To be answered by OnGranted or
  /// OnFailed, not before it returns.
  std::function<void(int slot, const std::string& organisation, const TokenRequest&)> request;
  /// An operation of an organisation that has a rate was decided.
  std::function<void(const std::string& organisation, bool admitted)> decided = nullptr;
};

/// Tokens that this relay holds, by organisation, and the operations that wait for one. Not
/// thread-safe. The clock must advance while the VM is suspended.
class AllowanceAccount {
 public:
  /// Tokens are requested ahead for this time of the expected operations. Tokens that are not used
  /// within kTokenValidity are lost.
  static constexpr double kAheadSeconds = 0.5;
  /// After this time without an answer, another holder is asked. Covers a round trip between
  /// regions (40 ms) and a slow holder.
  static constexpr Duration kAnswerTimeout = std::chrono::milliseconds(120);
  /// A holder that did not answer is asked last for this time, which doubles with each further
  /// failure up to kMaxFailurePause. Each attempt delays an operation by kAnswerTimeout.
  static constexpr Duration kFailurePause = std::chrono::seconds(1);
  static constexpr Duration kMaxFailurePause = std::chrono::seconds(8);
  /// While no holder answers, requests are repeated after this time.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
  /// After this time a response time is measured again. The first one may include opening the link.
  static constexpr Duration kResponseTimeAge = std::chrono::seconds(30);
  /// Longest time that a refused caller is told to wait, without the random part.
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
  /// Random part of a time to come back, as a share of it.
  static constexpr double kRetrySpread = 0.5;

  AllowanceAccount(std::string data_centre, AllowanceAccountHooks hooks, const Clock& clock,
                   Scheduler& scheduler, RandomSource random);

  /// Sets the organisations that have a rate; all others are admitted without a token.
  void SetLimits(const RateLimits& new_limits);
  void SetHolders(const std::map<int, SlotHolder>& new_holders);

  /// Implements SessionRelayHooks::admit.
  void Admit(const std::string& organisation, TimePoint deadline,
             std::function<void(const AdmissionVerdict&)> done);

  /// The request that was sent at `sent` to the holder of `slot` was answered.
  void OnGranted(int slot, const std::string& organisation, const TokenAnswer& answer,
                 TimePoint sent);
  /// The holder of `slot` did not answer, or does not hold it.
  void OnFailed(int slot, const std::string& organisation);
  /// Adds a measurement of the time between a request to a member and its answer.
  void ObserveResponseTime(const std::string& member, Duration time);

  /// Number of valid tokens.
  std::size_t Tokens() const;
  /// Organisations that this relay has refused operations of, since when without a pause of
  /// kLimitedPause.
  std::map<std::string, TimePoint> Limited() const;
  static constexpr Duration kLimitedPause = std::chrono::seconds(2);

 private:
  using Done = std::function<void(const AdmissionVerdict&)>;
  struct TokenBatch {
    int count = 0;
    TimePoint expires;
  };
  struct Waiter {
    TimePoint deadline;
    Done done;
  };
  struct Request {
    int slot = 0;
    std::uint64_t number = 0;
    TokenRequest wanted;
  };
  struct ResponseTime {
    Duration average{};
    TimePoint updated;
  };
  struct Pause {
    TimePoint until;
    Duration length{};
  };
  /// Exponentially decaying rate of events.
  struct EventRate {
    double events = 0;
    TimePoint updated;

    double PerSecond(TimePoint now) const;
    void Add(TimePoint now);
  };
  struct Organisation {
    RateLimit limit;
    std::deque<TokenBatch> tokens;
    std::deque<Waiter> waiters;
    EventRate demand;
    EventRate admitted;
    std::optional<Request> request;
    std::set<int> failed;  ///< Slots that did not answer the waiting operations.
    /// Slots that had too few tokens, and when to ask them again: for waiting operations, and for
    /// tokens ahead.
    std::map<int, TimePoint> short_until;
    std::map<int, TimePoint> no_ahead_until;
    TimePoint promised_until;               ///< Until then, refused callers were told to come back.
    TimePoint timer_at = TimePoint::max();  ///< Next check of deadlines.
    bool retry_scheduled = false;
    std::optional<TimePoint> limited_since;
    TimePoint refused_at;
  };
  struct Decision {
    Done done;
    AdmissionVerdict verdict;
  };

  void Serve(const std::string& name, Organisation& organisation, std::vector<Decision>& decisions);
  bool UseToken(Organisation& organisation);
  int TokensOf(const Organisation& organisation) const;
  void Ask(const std::string& name, Organisation& organisation, std::vector<Decision>& decisions);
  void Send(const std::string& name, Organisation& organisation, int slot, TokenRequest wanted);
  int Ahead(const Organisation& organisation) const;
  /// The best slot to ask; nothing if all have failed or were short of tokens recently.
  std::optional<int> ChooseSlot(const std::string& name, const Organisation& organisation,
                                bool ahead_only) const;
  /// When the first of the slots that were short may be asked again, if operations must be refused
  /// until then.
  std::optional<TimePoint> ShortUntil(const std::string& name,
                                      const Organisation& organisation) const;
  AdmissionVerdict Refuse(const std::string& name, Organisation& organisation, bool limited);
  void ScheduleDeadline(const std::string& name, Organisation& organisation);
  void CheckDeadlines(const std::string& name);
  void RunLater(Duration delay, std::function<void()> action);
  static void Run(const std::vector<Decision>& decisions);

  const std::string data_centre;
  const AllowanceAccountHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;
  std::map<std::string, Organisation> organisations;
  std::map<int, SlotHolder> holders;
  std::map<int, Pause> pauses;                         ///< Slots whose holder did not answer.
  std::map<std::string, ResponseTime> response_times;  ///< By member.
  std::uint64_t next_request = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
