#include "sycamoredrum/proof_rounds.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {

ProofRounds::ProofRounds(std::string database, std::vector<std::string> backend_servers,
                         ProofRoundHooks hooks, const Clock& clock, Scheduler& scheduler)
    : database(std::move(database)),
      backend_servers(std::move(backend_servers)),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler) {}

void ProofRounds::Prove(TimePoint not_before, TimePoint deadline, Callback callback) {
  const std::uint64_t waiter = this->next_waiter++;
  this->waiters.emplace(waiter, Waiter{not_before, std::move(callback)});
  this->RunAfter(deadline - this->clock.Now(), [this, waiter] { this->Expire(waiter); });
  if (this->HasProofSince(not_before)) {
    this->RunAfter(Duration::zero(), [this] { this->AnswerWaiters(); });
    return;
  }
  // An open round that started before `not_before` cannot satisfy this request; the next one starts
  // when it ends.
  if (!this->round_open) {
    this->StartRound();
  }
}

void ProofRounds::Offer(const DatabaseView& view) {
  const bool newer = view.proof && (!this->latest || !this->latest->proof ||
                                    view.proof->proven_at > this->latest->proof->proven_at);
  if (!newer && this->latest && this->latest->term >= view.term) {
    return;
  }
  this->latest = view;
  this->AnswerWaiters();
}

bool ProofRounds::HasProofSince(TimePoint not_before) const {
  return this->latest && this->latest->proof && this->latest->proof->proven_at >= not_before;
}

void ProofRounds::StartRound() {
  const std::uint64_t round = ++this->rounds;
  this->round_open = true;
  this->round_started = this->clock.Now();
  this->round_servers.clear();
  for (const std::string& server : this->backend_servers) {
    const BackendServerView* known = this->latest ? this->latest->Find(server) : nullptr;
    BackendServerView view;
    view.id = server;
    this->round_servers.push_back(known != nullptr ? *known : view);
  }
  for (const std::string& server : this->backend_servers) {
    this->hooks.status(server, kStatusTimeout,
                       [this, round, server, weak = std::weak_ptr<bool>(this->alive)](
                           const std::optional<BackendServerStatus>& status) {
                         if (!weak.expired()) {
                           this->HandleStatus(round, server, status);
                         }
                       });
  }
  this->RunAfter(kStatusTimeout, [this, round] { this->RetryRound(round); });
}

void ProofRounds::HandleStatus(std::uint64_t round, const std::string& server,
                               const std::optional<BackendServerStatus>& status) {
  if (round != this->rounds) {
    return;
  }
  const auto found = std::find_if(this->round_servers.begin(), this->round_servers.end(),
                                  [&](const BackendServerView& view) { return view.id == server; });
  found->reachable = status.has_value();
  if (status) {
    found->status = status;
    found->observed_at = this->round_started;
  }
  const std::optional<FreshnessProof> previous =
      this->latest ? this->latest->proof : std::optional<FreshnessProof>();
  DatabaseView view =
      BuildDatabaseView(this->database, this->round_servers, this->round_started, previous);
  const bool proven = view.proof && view.proof->proven_at >= this->round_started;
  if (!proven) {
    return;
  }
  this->round_open = false;
  this->latest = std::move(view);
  this->hooks.proven(*this->latest);
  this->AnswerWaiters();
}

void ProofRounds::RetryRound(std::uint64_t round) {
  if (round == this->rounds && this->round_open) {
    this->round_open = false;
    this->RunAfter(kRetryInterval, [this] { this->AnswerWaiters(); });
  }
}

void ProofRounds::AnswerWaiters() {
  std::vector<Callback> answered;
  for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
    if (this->HasProofSince(waiter->second.not_before)) {
      answered.push_back(std::move(waiter->second.callback));
      waiter = this->waiters.erase(waiter);
    } else {
      ++waiter;
    }
  }
  if (!this->waiters.empty() && !this->round_open) {
    this->StartRound();
  }
  const std::optional<DatabaseView> view = this->latest;
  for (const Callback& callback : answered) {
    callback(view);
  }
}

void ProofRounds::Expire(std::uint64_t waiter) {
  auto node = this->waiters.extract(waiter);
  if (!node.empty()) {
    node.mapped().callback(std::nullopt);
  }
}

void ProofRounds::RunAfter(Duration delay, std::function<void()> action) {
  this->scheduler.RunAfter(delay,
                           [weak = std::weak_ptr<bool>(this->alive), action = std::move(action)] {
                             if (!weak.expired()) {
                               action();
                             }
                           });
}

}  // namespace sycamoredrum
