#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/fair_queue.h"

namespace sycamoredrum {

/// Number of a database connection, unique in the process and never used twice.
using ConnectionId = std::uint64_t;

enum class OpenStatus {
  kOpened,
  kRefused,      ///< The backend server's connection cap is reached.
  kUnreachable,  ///< No connection could be made.
};

struct OpenResult {
  OpenStatus status = OpenStatus::kUnreachable;
  ConnectionId connection = 0;  ///< Only for kOpened.
};

using OpenCallback = std::function<void(const OpenResult&)>;

/// Side effects of a ConnectionPool.
struct ConnectionPoolHooks {
  /// Opens a connection for `organisation` (see LeaseRequest) and calls back once. The pool ignores
  /// a second callback, and treats an open without an answer after kOpenTimeout as unreachable; it
  /// closes connections that are reported later.
  std::function<void(const std::string& organisation, OpenCallback)> open;
  /// Closes a connection; the backend server rolls back its transaction.
  std::function<void(ConnectionId)> close;
};

struct LeaseRequest {
  std::string caller_group;
  int weight = 1;  ///< Share of the caller group in the queue.
  TimePoint deadline;
  /// Optional. Returns the cost of using an idle connection; the cheapest one is leased. If not
  /// set, the most recently released one is leased.
  std::function<int(ConnectionId)> cost = nullptr;
  /// Organisation for which the connection is used; empty if there is none. A connection that was
  /// opened for one organisation is never leased for another one.
  std::string organisation = {};
  int organisation_weight = 1;  ///< Share of the organisation within the caller group.
  /// The connection may belong to any organisation. Only for statements of the relay itself that
  /// read no data and change no state of the connection.
  bool any_organisation = false;
};

enum class LeaseStatus {
  kGranted,
  kQueueFull,
  kDeadline,           ///< The deadline passed, or the estimated wait is longer.
  kConnectionRefused,  ///< No connection is open, and the backend server refuses to open one.
  kUnreachable,        ///< No connection is open, and none can be made.
  kLeaving,            ///< The backend server is leaving.
};

/// Exclusive right to use a connection until it is released.
struct Lease {
  ConnectionId connection = 0;
  std::uint64_t number = 0;  ///< Differs for every lease.
};

struct LeaseAnswer {
  LeaseStatus status = LeaseStatus::kUnreachable;
  Lease lease;             ///< Only for kGranted.
  Duration retry_after{};  ///< Refusals: when another attempt is likely to succeed.
};

using LeaseCallback = std::function<void(const LeaseAnswer&)>;

enum class ConnectionState {
  kClean,   ///< No transaction is open and no answer is outstanding.
  kBroken,  ///< Anything else; the connection is closed.
};

/// The connections of one holder to one backend server. A connection has at most one owner, and is
/// closed and never leased again if its state is not known. While several caller groups wait, none
/// of them gets more than three quarters of the connections. Not thread-safe; callbacks may run
/// inside any method and may call the pool again, but must not destroy it.
class ConnectionPool {
 public:
  /// Maximum number of opens in progress; bounds the load on a backend server that becomes
  /// reachable again.
  static constexpr std::size_t kMaxConcurrentOpens = 4;
  /// After a refused open the pool starts no other for this time, and then opens one connection at
  /// a time until the server admits one. The pause is short compared with the seconds that a server
  /// takes to detect the end of a process, and bounds the refusals to four a second for each
  /// holder.
  static constexpr Duration kRefusalPause = std::chrono::milliseconds(250);
  /// Pause after an attempt to reach a server has failed; without it, waiting requests would cause
  /// attempts in a tight loop.
  static constexpr Duration kUnreachablePause = std::chrono::milliseconds(100);
  static constexpr Duration kOpenTimeout = std::chrono::seconds(1);

  ConnectionPool(ConnectionPoolHooks hooks, int limit, const Clock& clock, Scheduler& scheduler,
                 std::size_t max_waiting = FairQueue::kDefaultMaxEntries);

  /// Calls back exactly once, with a lease or with a refusal. No connection is used on behalf of a
  /// refused request.
  void Acquire(const LeaseRequest& request, LeaseCallback callback);

  /// Ends a lease. A lease that has already ended is ignored.
  void Release(const Lease& lease, ConnectionState state);

  /// Reports that the backend server closed a connection.
  void ConnectionClosed(ConnectionId connection);

  /// Sets the number of connections that this holder may open. Connections above it are closed when
  /// they are idle.
  void SetLimit(int new_limit);

  /// Closes connections that have been idle for `limit`.
  void CloseUnused(Duration limit);

  /// Closes as many idle connections as were idle throughout `window`, but keeps one connection. To
  /// be called often; acts once in each window. When a VM loses power, its connections count
  /// against the server's cap until the server notices, while the restarted process needs new ones.
  void CloseSurplus(Duration window);

  /// Closes the idle connections of the organisation, and its leased ones when they are released.
  void RetireOrganisation(const std::string& organisation);

  /// While set, no lease is granted, waiting requests are refused and connections are closed as
  /// soon as they are released.
  void SetLeaving(bool value);

  /// Limit of the connections; during the pause after a refused open, at most the number of those
  /// that are open.
  int EffectiveLimit() const;
  /// Connections that are open or being opened.
  std::size_t Total() const { return this->connections.size() + this->opens.size(); }
  std::size_t Idle() const { return this->idle.size(); }
  std::size_t Leased() const { return this->connections.size() - this->idle.size(); }
  std::size_t Opening() const { return this->opens.size(); }
  std::size_t Waiting() const { return this->waiting.size(); }

 private:
  struct Connection {
    std::uint64_t lease = 0;  ///< Number of the present lease; 0: idle.
    std::string caller_group;
    std::string organisation = {};
    TimePoint leased_at;
    TimePoint idle_since;
    bool closed_by_server = false;
    bool retired = false;  ///< To be closed when it is released.
  };
  struct Waiter {
    std::string caller_group;
    std::string organisation;
    LeaseCallback callback;
    std::function<int(ConnectionId)> cost;
  };

  void Dispatch();
  void GrantIdle();
  void Grant(const QueueEntry& entry);
  ConnectionId TakeIdle(const std::string& organisation,
                        const std::function<int(ConnectionId)>& cost);
  bool HasIdle(const std::string& organisation) const;
  void CloseIdleOfOthers(const std::string& organisation);
  void StartOpens();
  void StartOpen();
  void FinishOpen(std::uint64_t open, const std::string& organisation, const OpenResult& result);
  void RefuseWithoutConnections();
  void RefuseAll(LeaseStatus status, Duration retry_after);
  void Refuse(std::uint64_t waiter, LeaseStatus status, Duration retry_after);
  void ExpireWaiter(std::uint64_t waiter);
  void PauseAfterRefusal();
  bool InRefusalPause() const { return this->clock.Now() < this->refused_until; }
  void CloseSurplusIdle();
  void Close(ConnectionId connection);
  bool MayLease(const std::string& caller_group) const;
  void RunLater(Duration delay, std::function<void()> action);

  ConnectionPoolHooks hooks;
  int limit;
  const Clock& clock;
  Scheduler& scheduler;
  FairQueue queue;
  bool leaving = false;
  std::map<ConnectionId, Connection> connections;
  std::vector<ConnectionId> idle;  ///< In order of release.
  std::size_t min_idle = 0;        ///< Fewest idle connections since `surplus_window_start`.
  TimePoint surplus_window_start;
  std::set<std::uint64_t> opens;  ///< Numbers of the opens in progress.
  std::map<std::uint64_t, Waiter> waiting;
  std::map<std::string, int> leases_by_group;
  TimePoint refused_until;        ///< End of the pause after a refused open.
  bool single_open_only = false;  ///< The last answer to an open was a refusal.
  TimePoint opens_paused_until;
  OpenStatus last_open = OpenStatus::kUnreachable;
  std::uint64_t next_number = 1;
  bool dispatching = false;
  bool dispatch_again = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the pool.
};

}  // namespace sycamoredrum
