#include "sycamoredrum/connection_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoredrum {

ConnectionPool::ConnectionPool(ConnectionPoolHooks hooks, int limit, const Clock& clock,
                               Scheduler& scheduler, std::size_t max_waiting)
    : hooks(std::move(hooks)),
      limit(std::max(limit, 0)),
      clock(clock),
      scheduler(scheduler),
      queue(clock, max_waiting),
      surplus_window_start(clock.Now()),
      refused_until(clock.Now()),
      replacement_refused_until(clock.Now()),
      opens_paused_until(clock.Now()) {}

void ConnectionPool::Acquire(const LeaseRequest& request, LeaseCallback callback) {
  if (this->leaving) {
    callback(LeaseAnswer{LeaseStatus::kLeaving, {}, {}});
    return;
  }
  const std::uint64_t waiter = this->next_number++;
  this->queue.SetParallelism(this->EffectiveLimit());
  const QueueTurn turn{request.caller_group,
                       request.any_organisation ? std::string{} : request.organisation,
                       request.any_organisation};
  const QueueVerdict verdict = this->queue.Push(
      QueueEntry{waiter, turn.caller_group, request.weight, request.deadline, turn.organisation,
                 request.organisation_weight, turn.any_organisation});
  if (!verdict.accepted) {
    const LeaseStatus status =
        verdict.deadline_missed ? LeaseStatus::kDeadline : LeaseStatus::kQueueFull;
    callback(LeaseAnswer{status, {}, verdict.retry_after});
    return;
  }
  this->waiting.emplace(waiter, Waiter{turn, std::move(callback), request.cost});
  if (verdict.displaced) {
    this->Refuse(*verdict.displaced, LeaseStatus::kQueueFull, FairQueue::kMinRetryAfter);
  }
  this->Dispatch();
  if (this->waiting.count(waiter) != 0) {
    this->RunLater(request.deadline - this->clock.Now(),
                   [this, waiter] { this->ExpireWaiter(waiter); });
  }
}

void ConnectionPool::Release(const Lease& lease, ConnectionState state) {
  const auto found = this->connections.find(lease.connection);
  if (found == this->connections.end() || found->second.lease != lease.number ||
      lease.number == 0) {
    return;
  }
  Connection& connection = found->second;
  this->queue.RecordServiceTime(this->clock.Now() - connection.leased_at);
  this->CountHeld(connection.turn, -1);
  connection.lease = 0;
  connection.idle_since = this->clock.Now();
  const bool surplus = this->Total() > static_cast<std::size_t>(this->EffectiveLimit());
  const bool usable = state == ConnectionState::kClean && !connection.close_on_release;
  if (!usable || surplus || this->leaving) {
    this->Close(lease.connection);
  } else {
    this->idle.Add(lease.connection, connection.organisation);
  }
  this->Dispatch();
}

void ConnectionPool::ConnectionClosed(ConnectionId connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  if (found->second.lease != 0) {
    found->second.close_on_release = true;
    return;
  }
  this->idle.Remove(connection);
  this->Close(connection);
  this->Dispatch();
}

void ConnectionPool::SetLimit(int new_limit) {
  this->limit = std::max(new_limit, 0);
  this->CloseSurplusIdle();
  this->Dispatch();
}

void ConnectionPool::CloseUnused(Duration limit) {
  const TimePoint now = this->clock.Now();
  for (const ConnectionId connection : this->idle.All()) {
    if (now - this->connections.at(connection).idle_since >= limit) {
      this->idle.Remove(connection);
      this->Close(connection);
    }
  }
}

void ConnectionPool::CloseSurplus(Duration window) {
  const TimePoint now = this->clock.Now();
  if (now - this->surplus_window_start < window) {
    return;
  }
  const std::size_t closable = this->Total() - std::min<std::size_t>(this->Total(), 1);
  for (const ConnectionId connection : this->idle.EndPeriod(closable)) {
    this->Close(connection);
  }
  this->surplus_window_start = now;
}

void ConnectionPool::SetLeaving(bool value) {
  this->leaving = value;
  if (value) {
    for (const ConnectionId connection : this->idle.All()) {
      this->idle.Remove(connection);
      this->Close(connection);
    }
  }
  this->Dispatch();
}

void ConnectionPool::RetireOrganisation(const std::string& organisation) {
  for (const ConnectionId connection : this->idle.Of(organisation)) {
    this->idle.Remove(connection);
    this->Close(connection);
  }
  for (auto& [id, connection] : this->connections) {
    connection.close_on_release |= connection.organisation == organisation;
  }
  for (auto& [number, open] : this->opens) {
    open.retired |= open.turn.organisation == organisation;
  }
  this->opens_by_organisation.erase(organisation);
  this->Dispatch();
}

std::optional<std::string> ConnectionPool::OrganisationOf(ConnectionId connection) const {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? std::nullopt
                                          : std::make_optional(found->second.organisation);
}

int ConnectionPool::EffectiveLimit() const {
  const auto present = static_cast<int>(this->connections.size() + this->replacement_opens);
  return this->InRefusalPause() ? std::min(this->limit, present) : this->limit;
}

// Callbacks may call the pool again. Such calls only request another pass of the loop, so that the
// stack does not grow with the number of waiting requests.
void ConnectionPool::Dispatch() {
  this->dispatch_again = true;
  if (this->dispatching) {
    return;
  }
  this->dispatching = true;
  while (std::exchange(this->dispatch_again, false)) {
    this->GrantIdle();
    this->StartOpens();
    this->RefuseWithoutConnections();
  }
  this->dispatching = false;
}

void ConnectionPool::GrantIdle() {
  while (!this->idle.Empty() && !this->leaving) {
    const bool may_open = this->OpenAdmitted() && (this->HasRoom() || this->MayReplaceIdle());
    const std::optional<QueueTurn> turn =
        this->queue.Next([this](const std::string& group) { return this->MayLease(group); },
                         [this, may_open](const std::string& organisation, bool any) {
                           return (this->HasIdle(organisation, any) ||
                                   (may_open && this->OpenNeeded(organisation))) &&
                                  this->MayLease(organisation, any);
                         });
    if (!turn) {
      return;
    }
    if (this->HasIdle(turn->organisation, turn->any_organisation)) {
      this->queue.Charge(*turn);
      const QueueEntry entry = *this->queue.TakeCharged(*turn);
      const std::string* organisation = entry.any_organisation ? nullptr : &entry.organisation;
      this->Grant(entry, this->idle.Take(organisation, this->waiting.at(entry.id).cost));
      continue;
    }
    const bool replacement = !this->HasRoom();
    if (replacement) {
      this->Close(this->idle.TakeOldest());
    }
    this->StartOpen(*turn, replacement);
  }
}

// The only place that leases a connection.
void ConnectionPool::Grant(const QueueEntry& entry, ConnectionId connection) {
  auto waiter = this->waiting.extract(entry.id);
  Connection& leased = this->connections.at(connection);
  if (!entry.any_organisation && leased.organisation != entry.organisation) {
    ++this->organisation_mismatches;
    this->Close(connection);
    waiter.mapped().callback(
        LeaseAnswer{LeaseStatus::kConnectionRefused, {}, FairQueue::kMinRetryAfter});
    return;
  }
  leased.lease = this->next_number++;
  leased.turn = waiter.mapped().turn;
  leased.leased_at = this->clock.Now();
  this->CountHeld(leased.turn, 1);
  waiter.mapped().callback(LeaseAnswer{LeaseStatus::kGranted, Lease{connection, leased.lease}, {}});
}

bool ConnectionPool::HasIdle(const std::string& organisation, bool any_organisation) const {
  return any_organisation ? !this->idle.Empty() : this->idle.Has(organisation);
}

bool ConnectionPool::OpenAdmitted() const {
  const std::size_t concurrent = this->single_open_only ? 1 : kMaxConcurrentOpens;
  return !this->leaving && this->opens.size() < concurrent &&
         this->clock.Now() >= this->opens_paused_until;
}

bool ConnectionPool::OpenNeeded(const std::string& organisation) const {
  const auto found = this->opens_by_organisation.find(organisation);
  const std::size_t opening = found == this->opens_by_organisation.end() ? 0 : found->second;
  // Requests for any organisation open a connection for none.
  const std::size_t for_any = organisation.empty() ? this->queue.SizeForAny() : 0;
  return opening < this->queue.Size(organisation) + for_any;
}

// After a failed open, one connection is replaced at a time, and after a refused replacement none
// until the pause ends. Otherwise a server that admits no connections would cost all idle ones.
bool ConnectionPool::MayReplaceIdle() const {
  return !this->idle.Empty() && this->Total() <= static_cast<std::size_t>(this->EffectiveLimit()) &&
         (this->last_open == OpenStatus::kOpened || this->opens.empty()) &&
         this->clock.Now() >= this->replacement_refused_until;
}

bool ConnectionPool::BelowShare(const HeldConnections& held, const std::string& name) const {
  const auto found = held.find(name);
  return found == held.end() || found->second < std::max(this->EffectiveLimit() * 3 / 4, 1);
}

bool ConnectionPool::MayLease(const std::string& caller_group) const {
  return !this->queue.OthersWait(caller_group) ||
         this->BelowShare(this->held_by_group, caller_group);
}

// Organisations that wait only in groups that must wait themselves could not use the connection.
bool ConnectionPool::MayLease(const std::string& organisation, bool any_organisation) const {
  return any_organisation || this->BelowShare(this->held_by_organisation, organisation) ||
         !this->queue.OtherOrganisationsWait(
             organisation, [this](const std::string& group) { return this->MayLease(group); });
}

void ConnectionPool::CountHeld(const QueueTurn& turn, int change) {
  const auto count = [change](HeldConnections& held, const std::string& name) {
    const auto entry = held.try_emplace(name, 0).first;
    entry->second += change;
    if (entry->second == 0) {
      held.erase(entry);
    }
  };
  count(this->held_by_group, turn.caller_group);
  if (!turn.any_organisation) {
    count(this->held_by_organisation, turn.organisation);
  }
}

void ConnectionPool::StartOpens() {
  while (this->OpenAdmitted() && this->HasRoom()) {
    // If only one organisation waits, it does not matter for which group a connection is opened.
    const std::optional<QueueTurn> turn = this->queue.Peek(
        [this](const std::string& group) {
          return !this->queue.SeveralOrganisationsWait() || this->MayLease(group);
        },
        [this](const std::string& organisation, bool any) {
          return this->OpenNeeded(organisation) && this->MayLease(organisation, any);
        });
    if (!turn) {
      return;
    }
    this->StartOpen(*turn, false);
  }
}

// Opens are charged only while several organisations wait: a connection for the only one that waits
// serves whichever group is next when it is open.
void ConnectionPool::StartOpen(const QueueTurn& turn, bool replacement) {
  const std::uint64_t number = this->next_number++;
  const bool charged = this->queue.OtherOrganisationsWait(turn.organisation);
  if (charged) {
    this->queue.Charge(turn);
    this->CountHeld(turn, 1);
  }
  this->opens.emplace(number, Open{turn, charged, replacement, false});
  ++this->opens_by_organisation[turn.organisation];
  this->replacement_opens += replacement ? 1 : 0;
  const std::weak_ptr<bool> guard = this->alive;
  const std::function<void(ConnectionId)> close = this->hooks.close;
  this->RunLater(kOpenTimeout, [this, number] {
    this->FinishOpen(number, OpenResult{OpenStatus::kUnreachable, 0});
  });
  this->hooks.open(turn.organisation, [this, guard, number, close](const OpenResult& result) {
    if (!guard.expired()) {
      this->FinishOpen(number, result);
    } else if (result.status == OpenStatus::kOpened) {
      close(result.connection);
    }
  });
}

void ConnectionPool::FinishOpen(std::uint64_t number, const OpenResult& result) {
  const auto finished = this->opens.extract(number);
  const bool opened = result.status == OpenStatus::kOpened;
  if (finished.empty()) {
    // The answer of a timed-out open, or a second answer.
    if (opened && this->connections.count(result.connection) == 0) {
      this->hooks.close(result.connection);
    }
    return;
  }
  const Open& open = finished.mapped();
  const std::string& organisation = open.turn.organisation;
  if (open.charged) {
    this->CountHeld(open.turn, -1);
  }
  this->replacement_opens -= open.replacement ? 1 : 0;
  if (!open.retired && --this->opens_by_organisation.at(organisation) == 0) {
    this->opens_by_organisation.erase(organisation);
  }
  this->last_open = result.status;
  this->single_open_only = result.status == OpenStatus::kRefused;
  if (opened && open.retired) {
    this->hooks.close(result.connection);
  } else if (opened) {
    Connection connection;
    connection.organisation = organisation;
    connection.idle_since = this->clock.Now();
    this->connections.emplace(result.connection, connection);
    this->idle.Add(result.connection, organisation);
    this->CloseSurplusIdle();
    this->GrantOpened(open, result.connection);
  } else if (result.status == OpenStatus::kRefused) {
    this->PauseAfterRefusal(open.replacement);
  } else {
    this->opens_paused_until = this->clock.Now() + kUnreachablePause;
    this->RunLater(kUnreachablePause, [this] { this->Dispatch(); });
  }
  this->Dispatch();
}

// While several organisations wait, a new connection is leased to the turn or at least to the
// organisation for which it was opened. In the order of the queue, another organisation could
// replace it before it is used, and the two would close each other's connections for ever.
void ConnectionPool::GrantOpened(const Open& open, ConnectionId connection) {
  if (!this->idle.Contains(connection)) {
    return;
  }
  std::optional<QueueEntry> entry;
  if (open.charged) {
    entry = this->queue.TakeCharged(open.turn);
  }
  if (!entry && this->queue.OtherOrganisationsWait(open.turn.organisation)) {
    const std::optional<QueueTurn> turn =
        this->queue.Peek([this](const std::string& group) { return this->MayLease(group); },
                         [this, &open](const std::string& organisation, bool any) {
                           return !any && organisation == open.turn.organisation &&
                                  this->MayLease(organisation, any);
                         });
    if (turn) {
      this->queue.Charge(*turn);
      entry = this->queue.TakeCharged(*turn);
    }
  }
  if (entry) {
    this->idle.Remove(connection);
    this->Grant(*entry, connection);
  }
}

// The open connections are kept: the server has reached its cap and would not admit others in their
// place.
void ConnectionPool::PauseAfterRefusal(bool replacement) {
  this->refused_until = this->clock.Now() + kRefusalPause;
  if (replacement) {
    this->replacement_refused_until = this->refused_until;
  }
  this->RunLater(kRefusalPause, [this] { this->Dispatch(); });
}

void ConnectionPool::CloseSurplusIdle() {
  const auto allowed = static_cast<std::size_t>(this->leaving ? 0 : this->EffectiveLimit());
  while (!this->idle.Empty() && this->Total() > allowed) {
    this->Close(this->idle.TakeOldest());
  }
}

// Refuses all waiting requests if no connection is open or being opened that could serve them.
void ConnectionPool::RefuseWithoutConnections() {
  if (this->leaving) {
    this->RefuseAll(LeaseStatus::kLeaving, Duration::zero());
  } else if (this->Total() == 0 && this->queue.Size() > 0) {
    const bool unreachable = this->last_open == OpenStatus::kUnreachable && this->limit > 0;
    this->RefuseAll(unreachable ? LeaseStatus::kUnreachable : LeaseStatus::kConnectionRefused,
                    unreachable ? kUnreachablePause : kRefusalPause);
  }
}

void ConnectionPool::RefuseAll(LeaseStatus status, Duration retry_after) {
  std::vector<std::uint64_t> waiters;
  for (const auto& [waiter, unused] : this->waiting) {
    waiters.push_back(waiter);
  }
  for (const std::uint64_t waiter : waiters) {
    this->Refuse(waiter, status, retry_after);
  }
}

void ConnectionPool::Refuse(std::uint64_t waiter, LeaseStatus status, Duration retry_after) {
  auto found = this->waiting.extract(waiter);
  if (found.empty()) {
    return;
  }
  this->queue.Remove(found.mapped().turn, waiter);
  found.mapped().callback(LeaseAnswer{status, {}, retry_after});
}

void ConnectionPool::ExpireWaiter(std::uint64_t waiter) {
  this->Refuse(waiter, LeaseStatus::kDeadline, FairQueue::kMinRetryAfter);
  this->Dispatch();
}

void ConnectionPool::Close(ConnectionId connection) {
  this->connections.erase(connection);
  this->hooks.close(connection);
}

void ConnectionPool::RunLater(Duration delay, std::function<void()> action) {
  const std::weak_ptr<bool> guard = this->alive;
  this->scheduler.RunAfter(delay, [guard, action = std::move(action)] {
    if (!guard.expired()) {
      action();
    }
  });
}

}  // namespace sycamoredrum
