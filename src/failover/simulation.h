#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "backend_model.h"
#include "sycamoredrum/database_watcher.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {

/// Size of the simulated group, and delays and losses of its network.
struct SimulationOptions {
  std::uint64_t seed = 1;
  Duration link_delay = std::chrono::milliseconds(5);     ///< One-way, between data centres.
  Duration local_delay = std::chrono::microseconds(200);  ///< One-way, inside a data centre.
  Duration jitter{};       ///< Greatest additional one-way delay, uniformly distributed.
  double loss = 0;         ///< Probability that a message is lost.
  int servers = 3;         ///< One in each data centre.
  int watchers = 3;        ///< Watcher i runs in the data centre of server i.
  bool same_rank = false;  ///< Gives all watchers rank 0, so that they promote concurrently.
  WatcherTimings timings;
};

/// Simulates in virtual time one database with its servers, watchers, replication and a stream of
/// writes. Checks, on every change of a server, that no term has two primaries and that no primary
/// lacks a write that a majority confirmed in an earlier term.
class Simulation {
 public:
  using Action = std::function<void()>;

  explicit Simulation(SimulationOptions options);
  ~Simulation();

  static std::string ServerId(int server);
  static std::string WatcherId(int watcher);

  /// Advances the virtual time.
  void Run(Duration time);
  /// Runs until `condition` holds, at most for `limit`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // Faults. A node is the id of a server or watcher.
  void Kill(int server);  ///< Connections are refused until Restart. The state survives.
  void Restart(int server);
  /// Queues the node's timers and incoming messages until Unfreeze, which runs the timers first.
  void Freeze(const std::string& node);
  void Unfreeze(const std::string& node);
  void Cut(const std::string& a, const std::string& b);  ///< Drops messages in both directions.
  void Isolate(const std::string& node);                 ///< Cuts the node from every other one.
  void Heal();                                           ///< Removes all cuts.
  void Reconnect(const std::string& node);               ///< Removes the cuts of this node.
  /// Removes cuts and message loss, ends the leaving of servers, and restarts and unfreezes all
  /// nodes.
  void HealEverything();
  void SetLoss(double share) { this->options.loss = share; }
  void StopWrites() { this->writes_stopped = true; }
  void SetLeaving(int server, bool leaving);
  /// Loses this many of the next answers to `promote`.
  void LosePromoteAnswers(int count) { this->promote_answers_to_lose = count; }
  /// Calls `action` when the next `promote` is about to be sent. The call is sent afterwards, but
  /// only once the sender is not frozen.
  void InterceptPromote(Action action) { this->intercept_promote = std::move(action); }

  // State.
  ManualClock& Time() { return this->clock; }
  DatabaseWatcher& Watcher(int watcher) { return *this->watchers.at(watcher); }
  BackendModel& Server(int server) { return *this->servers.at(server).model; }
  /// Running server that acts as primary in the highest term, or -1. Ignores cuts.
  int Primary() const;
  /// Highest term in which a server has become primary, or 0.
  std::uint64_t HighestTerm() const;
  /// Number of terms in which a server has become primary.
  int PromotionCount() const { return static_cast<int>(this->primary_of_term.size()); }
  const std::vector<FailoverGap>& Gaps() const { return this->gaps; }
  int RoundsReported() const { return this->rounds_reported; }
  std::size_t ConfirmedWrites() const { return this->confirmed; }
  std::optional<TimePoint> LastConfirmedAt() const { return this->last_confirmed_at; }
  std::uint64_t LastConfirmedTerm() const { return this->last_confirmed_term; }
  bool AllServersFollowPrimary() const;
  /// True if every server's log contains every confirmed write. Holds only some time after
  /// StopWrites, when replication has finished.
  bool AllServersHoldConfirmedWrites() const;
  /// Descriptions of all violated guarantees so far.
  const std::vector<std::string>& Violations() const { return this->violations; }

  /// Starts a promotion attempt by `watcher` in `term`, without the conditions that a
  /// DatabaseWatcher checks first. An empty `hand_over_from` means a failover.
  void ForcePromotion(int watcher, std::uint64_t term, const std::string& hand_over_from);

 private:
  class NodeScheduler;
  struct SimulatedServer {
    std::unique_ptr<BackendModel> model;
    bool killed = false;
    std::uint64_t last_role_term = 0;  ///< Last term checked in which it was primary.
    std::uint64_t connection = 0;      ///< Connection of the simulated writer.
  };
  struct PendingWrite {
    LogPosition position;
    std::set<int> stored_on;  ///< Servers that contained it before they promised a higher term.
  };

  /// Number at the end of the node's id.
  static int DataCentre(const std::string& node) { return node.back() - '0'; }
  int Index(const std::string& server) const { return DataCentre(server); }
  bool IsCut(const std::string& a, const std::string& b) const;
  Duration Delay(const std::string& a, const std::string& b);
  void Send(const std::string& from, const std::string& to, Action action);
  void Deliver(const std::string& to, Action action);
  void RunTimer(const std::string& node, Action action);
  void Call(const std::string& from, const std::string& server,
            std::function<BackendServerStatus(BackendModel&)> operation,
            PromotionHooks::StatusCallback callback, bool lose_answer = false);
  PromotionHooks ControlHooks(const std::string& watcher);
  WatcherHooks HooksOf(int watcher);
  void CollectOpinions(int requester, Duration timeout, WatcherHooks::OpinionsCallback callback);
  void PullLog(int replica);
  void WriteOnce();
  /// `attempt` consists of the term and the proposer.
  void CheckPromote(const std::string& server, const std::string& attempt);
  void CheckServer(int server);
  void CheckRoles(int server);
  void CheckWrites(int server);
  void ConfirmWrite(const PendingWrite& write);

  SimulationOptions options;
  std::mt19937_64 random;
  ManualClock clock;
  std::vector<SimulatedServer> servers;
  std::map<std::string, std::unique_ptr<NodeScheduler>> schedulers;
  std::vector<std::unique_ptr<DatabaseWatcher>> watchers;
  std::vector<std::unique_ptr<Promotion>> forced;
  std::set<std::string> frozen;
  std::map<std::string, std::deque<Action>> queued_messages;  ///< Messages for frozen nodes.
  std::map<std::string, std::deque<Action>> queued_timers;    ///< Timers of frozen nodes.
  std::set<std::pair<std::string, std::string>> cuts;
  std::set<std::string> leaving;
  int promote_answers_to_lose = 0;
  Action intercept_promote;

  std::map<std::uint64_t, int> primary_of_term;
  std::map<std::string, std::string> promoted_by_attempt;  ///< Server by term and proposer.
  std::vector<PendingWrite> pending_writes;
  std::vector<LogPosition> confirmed_positions;
  std::size_t confirmed = 0;
  std::optional<TimePoint> last_confirmed_at;
  std::uint64_t last_confirmed_term = 0;
  std::uint64_t next_write = 1;
  bool writes_stopped = false;
  int rounds_reported = 0;
  std::vector<FailoverGap> gaps;
  std::vector<std::string> violations;
};

}  // namespace sycamoredrum
