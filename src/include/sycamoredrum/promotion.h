#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/status.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Result of one promotion attempt.
enum class PromotionOutcome {
  kPromoted,    ///< The candidate is primary in the term of the attempt.
  kRefused,     ///< A backend server has promised this term to another proposer, or a higher term.
  kNoMajority,  ///< No majority, or not the primary in a hand-over, accepted the fence in time.
  kTimeout,     ///< The candidate did not answer the promotion in time; it may be primary.
};

/// One attempt to install a primary in `term`.
struct PromotionRequest {
  std::string database;
  std::vector<std::string> backend_servers;  ///< Ids of all backend servers of the database.
  /// Must be unique for each attempt. With a repeated id and term, a delayed `promote` of an
  /// earlier attempt could create a second primary in the same term.
  std::string proposer;
  std::uint64_t term = 0;
  std::string hand_over_from;      ///< Primary that gives up its role; empty in a failover.
  std::vector<std::string> avoid;  ///< Servers that lose ties, for example leaving ones.
  std::string preferred;           ///< Server that wins ties among the servers not avoided.
};

/// Time limits and intervals of one attempt.
struct PromotionTimings {
  Duration resend_interval = std::chrono::milliseconds(100);  ///< Between repeats of a call.
  /// Limit for fencing a majority, and before it for fencing the old primary in a hand-over.
  Duration fence_timeout = std::chrono::milliseconds(1000);
  /// Longest wait for the remaining fence answers once a majority has answered. Covers a round trip
  /// with a one-way delay of 5 ms and 40 ms of jitter.
  Duration slow_fence_wait = std::chrono::milliseconds(50);
  Duration promote_timeout = std::chrono::milliseconds(500);  ///< For the candidate's answer.
  /// Hand-over: longest wait for a replica that holds all writes of the old primary.
  Duration catch_up_timeout = std::chrono::milliseconds(1000);
  Duration catch_up_poll = std::chrono::milliseconds(10);  ///< Hand-over: between `status` calls.
};

/// Outcome of one attempt and the duration of its phases.
struct PromotionResult {
  PromotionOutcome outcome = PromotionOutcome::kNoMajority;
  std::string primary;            ///< Set if kPromoted.
  std::uint64_t term = 0;         ///< Term of the attempt.
  std::uint64_t higher_term = 0;  ///< Set if kRefused: promised term that caused the refusal.
  Duration catch_up_time{};       ///< Hand-over: fencing the old primary and catch-up of a replica.
  Duration fence_time{};
  Duration promote_time{};
};

/// Calls on the control ports of backend servers. A callback receives nothing if the call failed. A
/// hook may invoke its callback late, twice or never, but not before the hook has returned.
struct PromotionHooks {
  using StatusCallback = std::function<void(const std::optional<BackendServerStatus>&)>;

  std::function<void(const std::string& server, std::uint64_t term, const std::string& proposer,
                     StatusCallback)>
      fence;
  std::function<void(const std::string& server, std::uint64_t term, const std::string& proposer,
                     StatusCallback)>
      promote;
  std::function<void(const std::string& server, std::uint64_t term, const std::string& primary,
                     StatusCallback)>
      follow;
  std::function<void(const std::string& server, StatusCallback)> status;  ///< Only in hand-overs.
};

/// State machine of one promotion attempt (docs/design.md, section 5.1): fences a majority, chooses
/// the fenced server with the highest log position, promotes it and sends `follow` to the others. A
/// hand-over first fences the old primary and waits until a replica holds all of its log. `follow`
/// is sent once; the watchers repeat it for servers that stay in a lower term. Not thread-safe.
/// Destroying the object abandons the attempt; calls in flight may still take effect.
class Promotion {
 public:
  using DoneCallback = std::function<void(const PromotionResult&)>;

  /// `done` is called at most once and must not destroy the Promotion.
  Promotion(PromotionRequest request, PromotionHooks hooks, DoneCallback done,
            PromotionTimings timings, const Clock& clock, Scheduler& scheduler);
  Promotion(const Promotion&) = delete;
  Promotion& operator=(const Promotion&) = delete;

  /// Sends the first calls. Called once.
  void Start();

 private:
  enum class Phase { kFencingPrimary, kCatchingUp, kFencing, kPromoting, kDone };
  using Fenced = std::map<std::string, BackendServerStatus>;

  /// Callback that passes an answer to `method` only while the attempt is in phase `expected`.
  template <typename Method>
  PromotionHooks::StatusCallback OnAnswer(Phase expected, const std::string& server, Method method);
  /// Runs `action` after `delay` if the attempt is then still in phase `expected`.
  void RunInPhase(Phase expected, Duration delay, std::function<void()> action);

  std::size_t Majority() const { return this->request.backend_servers.size() / 2 + 1; }
  bool IsHandOver() const { return !this->request.hand_over_from.empty(); }
  bool IsAvoided(const std::string& server) const;
  /// True if `a` is to be promoted rather than `b`.
  bool IsBetterCandidate(const BackendServerStatus& a, const BackendServerStatus& b) const;

  void EnterPhase(Phase next, Duration limit);
  void SendPrimaryFence();
  void OnPrimaryFenced(const std::string& server, const BackendServerStatus& status);
  void PollCatchUp();
  void OnCatchUpStatus(const std::string& server, const BackendServerStatus& status);
  void StartFencing();
  void SendFences();
  void OnFenced(const std::string& server, const BackendServerStatus& status);
  void ContinueWithMajority();
  void StartPromoting();
  void SendPromote();
  void OnPromoted(const std::string& server, const BackendServerStatus& status);
  void OnPhaseTimeout(Phase expired);
  void FinishRefused(const BackendServerStatus& status);
  void Finish(PromotionOutcome outcome);

  PromotionRequest request;
  PromotionHooks hooks;
  DoneCallback done;
  PromotionTimings timings;
  const Clock& clock;
  Scheduler& scheduler;

  Phase phase = Phase::kFencing;
  TimePoint phase_started;
  TimePoint phase_deadline;
  bool slow_wait_running = false;
  Fenced fenced;
  LogPosition final_position;  ///< Hand-over: last position of the fenced old primary.
  std::string caught_up;       ///< Hand-over: replica whose log contains `final_position`.
  std::string candidate;
  PromotionResult result;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
