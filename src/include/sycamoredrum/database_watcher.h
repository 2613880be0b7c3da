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

/// What one watcher knows about the primary of a database.
struct WatcherOpinion {
  std::uint64_t term = 0;  ///< Term of `primary`; an opinion counts only for its own term.
  std::string primary;     ///< Empty if no primary is known.
  std::optional<Duration> heard_from_primary_ago;  ///< Nothing if it was never heard.
  bool reachable = false;  ///< The primary answers probes and acts in `term`.
  bool promoting = false;  ///< The watcher is making a promotion attempt.
};

bool operator==(const WatcherOpinion& a, const WatcherOpinion& b);

/// JSON form sent between proxies. The parser returns nothing if a required field is missing or has
/// the wrong type.
std::string ToJson(const WatcherOpinion& opinion);
std::optional<WatcherOpinion> ParseWatcherOpinion(const std::string& json);

/// Why a watcher started a promotion.
enum class PromotionCause {
  kPrimaryLost,   ///< The primary is silent.
  kNoPrimary,     ///< No reachable server acts as primary, or a majority has promised higher terms.
  kPromiseAhead,  ///< A server has promised a higher term and therefore cannot follow.
  kHandOver,      ///< The primary is leaving.
};

/// Name used in logs and metrics, for example "primary_lost".
std::string_view ToString(PromotionCause cause);

/// Times of one completed promotion, local to the watcher that made it.
struct FailoverGap {
  PromotionCause cause = PromotionCause::kPrimaryLost;
  std::string primary;
  std::uint64_t term = 0;
  TimePoint primary_answered_at;  ///< Last answer of the old primary to this watcher.
  TimePoint suspected_at;         ///< The cause was first seen.
  TimePoint started_at;           ///< The first attempt started.
  TimePoint promoted_at;
  int attempts = 0;

  Duration Detection() const { return this->suspected_at - this->primary_answered_at; }
  Duration Decision() const { return this->started_at - this->suspected_at; }
  Duration PromotionTime() const { return this->promoted_at - this->started_at; }
};

struct WatcherCounters {
  std::uint64_t rounds = 0;
  std::uint64_t probes = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t held_back = 0;  ///< Promotions prevented by the opinion of another observer.
  std::uint64_t attempts = 0;
  std::uint64_t promoted = 0;  ///< Includes hand-overs.
  std::uint64_t hand_overs = 0;
  std::uint64_t refused = 0;
  std::uint64_t no_majority = 0;
  std::uint64_t timeouts = 0;
  std::uint64_t follows = 0;
  std::uint64_t pauses = 0;  ///< Times at which this process was found to have been paused.
};

/// Constants of docs/design.md, section 5.1.
struct WatcherTimings {
  Duration probe_interval = std::chrono::milliseconds(100);
  Duration min_probe_timeout = std::chrono::milliseconds(150);
  Duration max_probe_timeout = std::chrono::milliseconds(1000);
  int failures_to_suspect = 3;
  Duration rank_delay = std::chrono::milliseconds(200);
  Duration min_promotion_wait = std::chrono::seconds(2);
  Duration max_promotion_wait = std::chrono::seconds(30);
  Duration promotion_repeat_window = std::chrono::minutes(1);
  /// A promise above the primary's term is left alone for this long, which is longer than an
  /// attempt lasts.
  Duration promise_ahead_time = std::chrono::seconds(3);
  /// Longest time for which a watcher that is ready to promote gives way to another's attempt.
  /// Longest time for which replicas that hear from a silent primary hold a promotion back. After
  /// it, the agreement of another watcher is needed.
  Duration max_replica_hold = std::chrono::milliseconds(1500);
  Duration give_way_time = std::chrono::seconds(1);
  Duration hand_over_retry = std::chrono::seconds(5);
  Duration max_hand_over_lag = std::chrono::seconds(1);  ///< Greatest lag of a usable replica.
  PromotionTimings promotion;
};

/// What a watcher has to watch. Replaced as a whole by Reconfigure.
struct WatcherAssignment {
  std::vector<std::string> backend_servers;  ///< Ids of the whole group.
  int rank = 0;  ///< Place of this watcher in rendezvous order among the database's watchers.
};

/// Side effects of a DatabaseWatcher. Callbacks may come late, twice or never, but not from inside
/// the hook. A hook must not call back into the watcher.
struct WatcherHooks {
  using OpinionsCallback = std::function<void(const std::vector<WatcherOpinion>&)>;

  /// Asks for a status. A failure reported before `timeout` (a refused connection) counts at once.
  std::function<void(const std::string& server, Duration timeout, PromotionHooks::StatusCallback)>
      probe;
  /// Collects the opinions of the database's other watchers and answers once all are there, or
  /// after `timeout` with those that came. If it never answers, there is no other watcher.
  std::function<void(Duration timeout, OpinionsCallback)> ask_opinions;
  PromotionHooks control;
  std::function<bool(const std::string& server)> is_leaving;
  /// Called at the end of each probe round. `round_started` is the time before the first probe.
  std::function<void(const std::vector<BackendServerView>& servers, TimePoint round_started)>
      on_round;
  std::function<void(const FailoverGap&)> on_gap;  ///< Called after each promotion by this watcher.
};

/// Watches one database: probes its backend servers, detects the failure of its primary, and
/// promotes a replica (docs/design.md, section 5.1). Several watchers may run for one database;
/// safety comes from the terms alone. Not thread-safe; hooks are called with the caller's lock
/// held.
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

  /// Ends probing and abandons a promotion in progress. No hook is called afterwards.
  void Stop();

  /// Takes effect with the next round. A changed list of backend servers abandons a promotion in
  /// progress, because its majority was counted in the old list.
  void Reconfigure(WatcherAssignment assignment);

  /// Answer for other watchers that ask.
  WatcherOpinion Opinion() const;

  const WatcherCounters& Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace sycamoredrum
