#include "sycamoredrum/connection_pool.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

// The queue knows caller groups only. Appending the organisation makes each pair a group of its
// own.
constexpr char kOrganisationSeparator = '\n';

std::string QueueGroup(const LeaseRequest& request) {
  return request.organisation.empty()
             ? request.caller_group
             : request.caller_group + kOrganisationSeparator + request.organisation;
}

std::string OrganisationOf(const std::string& group) {
  const std::size_t separator = group.find(kOrganisationSeparator);
  return separator == std::string::npos ? "" : group.substr(separator + 1);
}

}  // namespace

ConnectionPool::ConnectionPool(ConnectionPoolHooks hooks, int limit, const Clock& clock,
                               Scheduler& scheduler, std::size_t max_waiting)
    : hooks(std::move(hooks)),
      limit(std::max(limit, 0)),
      clock(clock),
      scheduler(scheduler),
      queue(clock, max_waiting),
      surplus_window_start(clock.Now()),
      refused_until(clock.Now()),
      opens_paused_until(clock.Now()) {}

void ConnectionPool::Acquire(const LeaseRequest& request, LeaseCallback callback) {
  if (this->leaving) {
    callback(LeaseAnswer{LeaseStatus::kLeaving, {}, {}});
    return;
  }
  const std::uint64_t waiter = this->next_number++;
  this->queue.SetParallelism(this->EffectiveLimit());
  const std::string group = QueueGroup(request);
  const QueueVerdict verdict =
      this->queue.Push(QueueEntry{waiter, group, request.weight, request.deadline});
  if (!verdict.accepted) {
    const LeaseStatus status =
        verdict.deadline_missed ? LeaseStatus::kDeadline : LeaseStatus::kQueueFull;
    callback(LeaseAnswer{status, {}, verdict.retry_after});
    return;
  }
  this->waiting.emplace(waiter,
                        Waiter{group, request.organisation, std::move(callback), request.cost});
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
  const auto group = this->leases_by_group.find(connection.caller_group);
  if (--group->second == 0) {
    this->leases_by_group.erase(group);
  }
  connection.lease = 0;
  connection.idle_since = this->clock.Now();
  const bool surplus = this->Total() > static_cast<std::size_t>(this->EffectiveLimit());
  const bool usable =
      state == ConnectionState::kClean && !connection.closed_by_server && !connection.retired;
  if (!usable || surplus || this->leaving) {
    this->Close(lease.connection);
  } else {
    this->idle.push_back(lease.connection);
  }
  this->Dispatch();
}

void ConnectionPool::ConnectionClosed(ConnectionId connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  if (found->second.lease != 0) {
    found->second.closed_by_server = true;
    return;
  }
  this->idle.erase(std::find(this->idle.begin(), this->idle.end(), connection));
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
  std::vector<ConnectionId> unused;
  for (const ConnectionId connection : this->idle) {
    if (now - this->connections.at(connection).idle_since >= limit) {
      unused.push_back(connection);
    }
  }
  for (const ConnectionId connection : unused) {
    this->idle.erase(std::find(this->idle.begin(), this->idle.end(), connection));
    this->Close(connection);
  }
}

void ConnectionPool::CloseSurplus(Duration window) {
  const TimePoint now = this->clock.Now();
  if (now - this->surplus_window_start < window) {
    return;
  }
  const std::size_t closable = this->Total() - std::min<std::size_t>(this->Total(), 1);
  std::size_t surplus = std::min(std::min(this->min_idle, this->idle.size()), closable);
  for (; surplus > 0; --surplus) {
    const ConnectionId connection = this->idle.front();
    this->idle.erase(this->idle.begin());
    this->Close(connection);
  }
  this->min_idle = this->idle.size();
  this->surplus_window_start = now;
}

void ConnectionPool::RetireOrganisation(const std::string& organisation) {
  for (auto& [id, connection] : this->connections) {
    connection.retired = connection.retired || connection.organisation == organisation;
  }
  const auto retired =
      std::stable_partition(this->idle.begin(), this->idle.end(),
                            [this](ConnectionId id) { return !this->connections.at(id).retired; });
  const std::vector<ConnectionId> closing(retired, this->idle.end());
  this->idle.erase(retired, this->idle.end());
  for (const ConnectionId id : closing) {
    this->Close(id);
  }
  this->Dispatch();
}

void ConnectionPool::SetLeaving(bool value) {
  this->leaving = value;
  if (value) {
    for (const ConnectionId connection : std::exchange(this->idle, {})) {
      this->Close(connection);
    }
  }
  this->Dispatch();
}

int ConnectionPool::EffectiveLimit() const {
  return this->InRefusalPause() ? std::min(this->limit, static_cast<int>(this->connections.size()))
                                : this->limit;
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
  while (!this->idle.empty() && !this->leaving) {
    const std::optional<QueueEntry> entry =
        this->queue.Pop([this](const std::string& group) { return this->MayLease(group); });
    if (!entry) {
      return;
    }
    this->Grant(*entry);
  }
}

void ConnectionPool::Grant(const QueueEntry& entry) {
  auto waiter = this->waiting.extract(entry.id);
  const ConnectionId id = this->TakeIdle(waiter.mapped().organisation, waiter.mapped().cost);
  Connection& connection = this->connections.at(id);
  connection.lease = this->next_number++;
  connection.caller_group = entry.caller_group;
  connection.leased_at = this->clock.Now();
  ++this->leases_by_group[entry.caller_group];
  waiter.mapped().callback(LeaseAnswer{LeaseStatus::kGranted, Lease{id, connection.lease}, {}});
}

bool ConnectionPool::HasIdle(const std::string& organisation) const {
  return std::any_of(this->idle.begin(), this->idle.end(), [&](ConnectionId id) {
    return this->connections.at(id).organisation == organisation;
  });
}

void ConnectionPool::CloseIdleOfOthers(const std::string& organisation) {
  const auto found = std::find_if(this->idle.begin(), this->idle.end(), [&](ConnectionId id) {
    return this->connections.at(id).organisation != organisation;
  });
  if (found != this->idle.end()) {
    const ConnectionId id = *found;
    this->idle.erase(found);
    this->Close(id);
  }
}

ConnectionId ConnectionPool::TakeIdle(const std::string& organisation,
                                      const std::function<int(ConnectionId)>& cost) {
  auto chosen = std::prev(this->idle.end());
  while (this->connections.at(*chosen).organisation != organisation) {
    --chosen;
  }
  if (cost) {
    // From the last released to the first; of equal costs, the last released connection is chosen.
    int lowest = cost(*chosen);
    for (auto candidate = chosen; candidate != this->idle.begin() && lowest > 0;) {
      --candidate;
      if (this->connections.at(*candidate).organisation != organisation) {
        continue;
      }
      const int value = cost(*candidate);
      if (value < lowest) {
        lowest = value;
        chosen = candidate;
      }
    }
  }
  const ConnectionId id = *chosen;
  this->idle.erase(chosen);
  this->min_idle = std::min(this->min_idle, this->idle.size());
  return id;
}

bool ConnectionPool::MayLease(const std::string& caller_group) const {
  if (!this->HasIdle(OrganisationOf(caller_group))) {
    return false;
  }
  if (!this->queue.OthersWait(caller_group)) {
    return true;
  }
  const int share = std::max(this->EffectiveLimit() * 3 / 4, 1);
  const auto held = this->leases_by_group.find(caller_group);
  return held == this->leases_by_group.end() || held->second < share;
}

void ConnectionPool::StartOpens() {
  const std::string organisation =
      this->waiting.empty() ? "" : this->waiting.begin()->second.organisation;
  if (!this->waiting.empty() && this->Total() >= static_cast<std::size_t>(this->EffectiveLimit())) {
    this->CloseIdleOfOthers(organisation);
  }
  const std::size_t concurrent = this->single_open_only ? 1 : kMaxConcurrentOpens;
  while (!this->leaving && this->opens.size() < concurrent &&
         this->opens.size() < this->queue.Size() &&
         this->Total() < static_cast<std::size_t>(this->EffectiveLimit()) &&
         this->clock.Now() >= this->opens_paused_until) {
    this->StartOpen();
  }
}

void ConnectionPool::StartOpen() {
  const std::uint64_t open = this->next_number++;
  this->opens.insert(open);
  const std::weak_ptr<bool> guard = this->alive;
  const std::function<void(ConnectionId)> close = this->hooks.close;
  const std::string organisation =
      this->waiting.empty() ? "" : this->waiting.begin()->second.organisation;
  this->RunLater(kOpenTimeout, [this, open, organisation] {
    this->FinishOpen(open, organisation, OpenResult{OpenStatus::kUnreachable, 0});
  });
  this->hooks.open(organisation,
                   [this, guard, open, close, organisation](const OpenResult& result) {
                     if (!guard.expired()) {
                       this->FinishOpen(open, organisation, result);
                     } else if (result.status == OpenStatus::kOpened) {
                       close(result.connection);
                     }
                   });
}

void ConnectionPool::FinishOpen(std::uint64_t open, const std::string& organisation,
                                const OpenResult& result) {
  const bool expected = this->opens.erase(open) != 0;
  const bool opened = result.status == OpenStatus::kOpened;
  if (!expected) {
    // The answer of a timed-out open, or a second answer.
    if (opened && this->connections.count(result.connection) == 0) {
      this->hooks.close(result.connection);
    }
    return;
  }
  this->last_open = result.status;
  this->single_open_only = result.status == OpenStatus::kRefused;
  if (opened) {
    Connection connection;
    connection.organisation = organisation;
    connection.idle_since = this->clock.Now();
    this->connections.emplace(result.connection, connection);
    this->idle.push_back(result.connection);
    this->CloseSurplusIdle();
  } else if (result.status == OpenStatus::kRefused) {
    this->PauseAfterRefusal();
  } else {
    this->opens_paused_until = this->clock.Now() + kUnreachablePause;
    this->RunLater(kUnreachablePause, [this] { this->Dispatch(); });
  }
  this->Dispatch();
}

// The open connections are kept: the server has reached its cap and would not admit others in their
// place.
void ConnectionPool::PauseAfterRefusal() {
  this->refused_until = this->clock.Now() + kRefusalPause;
  this->RunLater(kRefusalPause, [this] { this->Dispatch(); });
}

void ConnectionPool::CloseSurplusIdle() {
  const auto allowed = static_cast<std::size_t>(this->leaving ? 0 : this->EffectiveLimit());
  while (!this->idle.empty() && this->Total() > allowed) {
    const ConnectionId connection = this->idle.front();
    this->idle.erase(this->idle.begin());
    this->Close(connection);
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
  this->queue.Remove(found.mapped().caller_group, waiter);
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
