#include "sycamoredrum/promotion.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {

Promotion::Promotion(PromotionRequest request, PromotionHooks hooks, DoneCallback done,
                     PromotionTimings timings, const Clock& clock, Scheduler& scheduler)
    : request(std::move(request)),
      hooks(std::move(hooks)),
      done(std::move(done)),
      timings(timings),
      clock(clock),
      scheduler(scheduler) {
  this->result.term = this->request.term;
}

// The callback ignores failed calls, answers after destruction, and answers to calls of an earlier
// phase. An answer that is processed after the phase's deadline, which happens only if this process
// was paused, counts as a timeout of the phase.
template <typename Method>
PromotionHooks::StatusCallback Promotion::OnAnswer(Phase expected, const std::string& server,
                                                   Method method) {
  const std::weak_ptr<bool> guard = this->alive;
  return [this, guard, expected, server, method](const std::optional<BackendServerStatus>& status) {
    if (guard.expired() || this->phase != expected || !status) {
      return;
    }
    if (this->clock.Now() > this->phase_deadline) {
      this->OnPhaseTimeout(expected);
      return;
    }
    (this->*method)(server, *status);
  };
}

void Promotion::RunInPhase(Phase expected, Duration delay, std::function<void()> action) {
  const std::weak_ptr<bool> guard = this->alive;
  this->scheduler.RunAfter(delay, [this, guard, expected, action = std::move(action)] {
    if (!guard.expired() && this->phase == expected) {
      action();
    }
  });
}

void Promotion::EnterPhase(Phase next, Duration limit) {
  this->phase = next;
  this->phase_started = this->clock.Now();
  this->phase_deadline = this->phase_started + limit;
  this->RunInPhase(next, limit, [this, next] { this->OnPhaseTimeout(next); });
}

void Promotion::Start() {
  if (!this->IsHandOver()) {
    this->StartFencing();
    return;
  }
  this->EnterPhase(Phase::kFencingPrimary, this->timings.fence_timeout);
  this->SendPrimaryFence();
}

void Promotion::SendPrimaryFence() {
  const std::string& primary = this->request.hand_over_from;
  this->hooks.fence(primary, this->request.term, this->request.proposer,
                    this->OnAnswer(this->phase, primary, &Promotion::OnPrimaryFenced));
  this->RunInPhase(this->phase, this->timings.resend_interval,
                   [this] { this->SendPrimaryFence(); });
}

void Promotion::OnPrimaryFenced(const std::string& server, const BackendServerStatus& status) {
  if (!status.accepted) {
    this->FinishRefused(status);
    return;
  }
  this->fenced[server] = status;
  this->final_position = status.LastPosition();
  const TimePoint started = this->phase_started;
  this->EnterPhase(Phase::kCatchingUp, this->timings.catch_up_timeout);
  this->phase_started = started;
  this->PollCatchUp();
}

void Promotion::PollCatchUp() {
  for (const std::string& server : this->request.backend_servers) {
    if (server != this->request.hand_over_from && !this->IsAvoided(server)) {
      this->hooks.status(server, this->OnAnswer(this->phase, server, &Promotion::OnCatchUpStatus));
    }
  }
  this->RunInPhase(this->phase, this->timings.catch_up_poll, [this] { this->PollCatchUp(); });
}

void Promotion::OnCatchUpStatus(const std::string& server, const BackendServerStatus& status) {
  if (!status.Contains(this->final_position)) {
    return;
  }
  this->caught_up = server;
  this->StartFencing();
}

void Promotion::StartFencing() {
  if (this->IsHandOver()) {
    this->result.catch_up_time = this->clock.Now() - this->phase_started;
  }
  this->EnterPhase(Phase::kFencing, this->timings.fence_timeout);
  this->SendFences();
}

void Promotion::SendFences() {
  for (const std::string& server : this->request.backend_servers) {
    if (this->fenced.count(server) == 0) {
      this->hooks.fence(server, this->request.term, this->request.proposer,
                        this->OnAnswer(this->phase, server, &Promotion::OnFenced));
    }
  }
  this->RunInPhase(this->phase, this->timings.resend_interval, [this] { this->SendFences(); });
}

void Promotion::OnFenced(const std::string& server, const BackendServerStatus& status) {
  if (!status.accepted) {
    this->FinishRefused(status);
    return;
  }
  this->fenced[server] = status;
  if (this->fenced.size() >= this->Majority()) {
    this->ContinueWithMajority();
  }
}

void Promotion::ContinueWithMajority() {
  const bool all = this->fenced.size() == this->request.backend_servers.size();
  // No server can hold more than a fenced replica that contains the last position of the fenced old
  // primary, so there is no need to wait for further answers.
  const bool has_final_position = this->fenced.count(this->caught_up) != 0;
  if (all || has_final_position) {
    this->StartPromoting();
    return;
  }
  if (!this->slow_wait_running) {
    this->slow_wait_running = true;
    this->RunInPhase(this->phase, this->timings.slow_fence_wait,
                     [this] { this->StartPromoting(); });
  }
}

bool Promotion::IsAvoided(const std::string& server) const {
  const std::vector<std::string>& avoid = this->request.avoid;
  return std::find(avoid.begin(), avoid.end(), server) != avoid.end();
}

// Preferences decide only between equal log positions: of a fenced majority, only the server with
// the highest position is certain to hold every confirmed write.
bool Promotion::IsBetterCandidate(const BackendServerStatus& a,
                                  const BackendServerStatus& b) const {
  if (a.LastPosition() != b.LastPosition()) {
    return a.LastPosition() > b.LastPosition();
  }
  const auto preference = [this](const BackendServerStatus& status) {
    const std::string& server = status.backend_server;
    if (server == this->request.hand_over_from || this->IsAvoided(server)) {
      return 0;
    }
    return server == this->request.preferred ? 2 : 1;
  };
  return preference(a) > preference(b);
}

void Promotion::StartPromoting() {
  const auto best = std::max_element(
      this->fenced.begin(), this->fenced.end(),
      [this](const auto& a, const auto& b) { return this->IsBetterCandidate(b.second, a.second); });
  this->candidate = best->first;
  this->result.fence_time = this->clock.Now() - this->phase_started;
  this->EnterPhase(Phase::kPromoting, this->timings.promote_timeout);
  this->SendPromote();
}

void Promotion::SendPromote() {
  this->hooks.promote(this->candidate, this->request.term, this->request.proposer,
                      this->OnAnswer(this->phase, this->candidate, &Promotion::OnPromoted));
  this->RunInPhase(this->phase, this->timings.resend_interval, [this] { this->SendPromote(); });
}

void Promotion::OnPromoted(const std::string& server, const BackendServerStatus& status) {
  if (!status.accepted) {
    this->FinishRefused(status);
    return;
  }
  this->result.primary = server;
  this->result.promote_time = this->clock.Now() - this->phase_started;
  for (const std::string& other : this->request.backend_servers) {
    if (other != server) {
      this->hooks.follow(other, this->request.term, server,
                         [](const std::optional<BackendServerStatus>&) {});
    }
  }
  this->Finish(PromotionOutcome::kPromoted);
}

void Promotion::OnPhaseTimeout(Phase expired) {
  switch (expired) {
    case Phase::kCatchingUp:
      // No replica caught up in time. The old primary has the highest position and may be promoted
      // again.
      this->StartFencing();
      return;
    case Phase::kFencingPrimary:
    case Phase::kFencing:
      this->Finish(PromotionOutcome::kNoMajority);
      return;
    case Phase::kPromoting:
      this->Finish(PromotionOutcome::kTimeout);
      return;
    case Phase::kDone:
      return;
  }
}

void Promotion::FinishRefused(const BackendServerStatus& status) {
  this->result.higher_term = status.promised_term;
  this->Finish(PromotionOutcome::kRefused);
}

void Promotion::Finish(PromotionOutcome outcome) {
  this->phase = Phase::kDone;
  this->result.outcome = outcome;
  this->done(this->result);
}

}  // namespace sycamoredrum
