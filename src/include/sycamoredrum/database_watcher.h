#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/database_view.h"
#include "sycamoredrum/promotion.h"

namespace sycamoredrum {

/// What one watcher knows about the primary of a database. Sent to other watchers of the database,
/// which use it to confirm or to withhold a promotion.
struct WatcherOpinion {
  std::uint64_t term = 0;  ///< Term of `primary`, to which all statements about it refer.
  std::string primary;     ///< Id of the primary; empty if none is known.
  /// Time since the primary last answered a probe of this watcher; nothing if it never did.
  std::optional<Duration> heard_from_primary_ago;
  bool reachable = false;  ///< The primary answers probes and acts in `term`.
  bool promoting = false;  ///< The watcher is running a promotion attempt.
};

bool operator==(const WatcherOpinion& a, const WatcherOpinion& b);

/// JSON form sent between proxies. The parser returns nothing if a required field is missing or has
/// the wrong type.
std::string ToJson(const WatcherOpinion& opinion);
std::optional<WatcherOpinion> ParseWatcherOpinion(const std::string& json);

/// Why a watcher started a promotion.
enum class PromotionCause {
  kPrimaryLost,   ///< The primary does not answer probes.
  kNoPrimary,     ///< No reachable server acts as primary, or a majority has promised higher terms.
  kPromiseAhead,  ///< A server has promised a higher term and cannot follow the primary any more.
  kHandOver,      ///< The primary is leaving and a replica can take over its role.
};

/// Name used in logs and metrics, for example "primary_lost".
std::string_view ToString(PromotionCause cause);

/// Timeline of one completed promotion, in local time of the watcher that made it.
struct FailoverGap {
  PromotionCause cause = PromotionCause::kPrimaryLost;
  std::string primary;            ///< Id of the new primary.
  std::uint64_t term = 0;         ///< Term of the new primary.
  TimePoint primary_answered_at;  ///< Last answer of the old primary to this watcher.
  TimePoint suspected_at;         ///< The cause was detected.
  TimePoint started_at;           ///< The first attempt started.
  TimePoint promoted_at;          ///< The new primary confirmed the promotion.
  int attempts = 0;               ///< Includes the successful one.

  Duration Detection() const { return this->suspected_at - this->primary_answered_at; }
  Duration Decision() const { return this->started_at - this->suspected_at; }
  Duration PromotionTime() const { return this->promoted_at - this->started_at; }
};

/// Events since the watcher was created.
struct WatcherCounters {
  std::uint64_t rounds = 0;         ///< Completed probe rounds.
  std::uint64_t probes = 0;         ///< Includes repeated probes between rounds.
  std::uint64_t failed_probes = 0;  ///< Timeouts, reported failures and invalid answers.
  std::uint64_t suspicions = 0;     ///< Servers that became suspected.
  std::uint64_t held_back = 0;      ///< Promotions withheld after the opinions were collected.
  std::uint64_t attempts = 0;       ///< Promotion attempts, whatever their outcome.
  std::uint64_t promoted = 0;       ///< Successful attempts, including hand-overs.
  std::uint64_t hand_overs = 0;     ///< Successful hand-overs.
  std::uint64_t refused = 0;        ///< Attempts that ended with kRefused.
  std::uint64_t no_majority = 0;    ///< Attempts that ended with kNoMajority.
  std::uint64_t timeouts = 0;       ///< Attempts that ended with kTimeout.
  std::uint64_t follows = 0;        ///< `follow` calls sent after probe rounds.
  std::uint64_t pauses = 0;         ///< Probe rounds that a pause of this process delayed.
};

/// Times and limits of failure detection and promotion (docs/design.md, section 5.1).
struct WatcherTimings {
  Duration probe_interval = std::chrono::milliseconds(100);  ///< Between starts of probe rounds.
  Duration min_probe_timeout = std::chrono::milliseconds(150);
  Duration max_probe_timeout = std::chrono::milliseconds(1000);
  int failures_to_suspect = 3;  ///< Consecutive failed probes that make a server suspected.
  /// A watcher of rank n starts a promotion n times this long after its conditions hold, so that
  /// the watchers do not start at the same time. Also spreads the retries of failed attempts.
  Duration rank_delay = std::chrono::milliseconds(200);
  /// Back-off between failovers: the wait starts at the minimum and doubles up to the maximum while
  /// each promotion follows the previous one within the window.
  Duration min_promotion_wait = std::chrono::seconds(2);
  Duration max_promotion_wait = std::chrono::seconds(30);
  Duration promotion_repeat_window = std::chrono::minutes(1);
  /// Time for which a promise above the primary's term must last before it causes a promotion.
  /// Longer than a failover attempt lasts, because an attempt in progress causes such promises.
  Duration promise_ahead_time = std::chrono::seconds(3);
  /// While the primary has been silent for less than this time, a replica that still has contact
  /// with it prevents a promotion. Afterwards, the agreement of another watcher is needed.
  Duration max_replica_hold = std::chrono::milliseconds(1500);
  /// Longest time for which a watcher that is ready to promote gives way to another's attempt.
  Duration give_way_time = std::chrono::seconds(1);
  Duration hand_over_retry = std::chrono::seconds(5);  ///< Wait between attempts at a hand-over.
  /// Greatest replication lag of a replica that can take over in a hand-over.
  Duration max_hand_over_lag = std::chrono::seconds(1);
  PromotionTimings promotion;
};

/// The backend servers to watch, and the rank of this watcher. Replaced as a whole by Reconfigure.
struct WatcherAssignment {
  std::vector<std::string> backend_servers;  ///< Ids of all backend servers of the database.
  int rank = 0;  ///< Index of this watcher among the database's watchers, in rendezvous order.
};

/// Calls that a DatabaseWatcher makes to the outside. A hook may invoke its callback late, twice or
/// never, but not before the hook has returned. A hook must not call back into the watcher.
struct WatcherHooks {
  using OpinionsCallback = std::function<void(const std::vector<WatcherOpinion>&)>;

  /// Requests the status of `server`. A failure that is reported before `timeout`, for example a
  /// refused connection, counts at once.
  std::function<void(const std::string& server, Duration timeout, PromotionHooks::StatusCallback)>
      probe;
  /// Collects the opinions of the database's other watchers. Invokes the callback when all have
  /// arrived, or after `timeout` with those that have. If the callback is never invoked, the
  /// watcher continues as if there were no other watchers.
  std::function<void(Duration timeout, OpinionsCallback)> collect_opinions;
  PromotionHooks control;  ///< Calls on the control ports of the backend servers.
  /// True if the server is about to be taken out of service, so that its role is handed over.
  std::function<bool(const std::string& server)> is_leaving;
  /// Called at the end of each probe round. `round_started` is the time before the first probe.
  std::function<void(const std::vector<BackendServerView>& servers, TimePoint round_started)>
      on_round;
  std::function<void(const FailoverGap&)> on_gap;  ///< Called after each promotion by this watcher.
};

/// Watches one database: probes its backend servers, detects the failure of its primary, and
/// promotes a replica (docs/design.md, section 5.1). Several watchers may run for one database;
/// that no term has two primaries depends on the terms alone, not on the watchers' agreement. Not
/// thread-safe; hooks are called with the caller's lock held.
class DatabaseWatcher {
 public:
  /// `member` is the id of this proxy.
  DatabaseWatcher(std::string database, std::string member, WatcherAssignment assignment,
                  WatcherHooks hooks, WatcherTimings timings, const Clock& clock,
                  Scheduler& scheduler, RandomSource random);
  ~DatabaseWatcher();
  DatabaseWatcher(const DatabaseWatcher&) = delete;
  DatabaseWatcher& operator=(const DatabaseWatcher&) = delete;

  /// Starts the first probe round. Called once.
  void Start();

  /// Ends probing and abandons a promotion in progress. Calls no hook afterwards.
  void Stop();

  /// Replaces the assignment; the next probe round uses it. A changed list of backend servers
  /// abandons a promotion in progress, because its majority was counted in the old list.
  void Reconfigure(WatcherAssignment assignment);

  /// The present opinion of this watcher, for other watchers that request it.
  WatcherOpinion Opinion() const;

  const WatcherCounters& Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace sycamoredrum
