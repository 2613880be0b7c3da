#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "backend_control.h"
#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/database_watcher.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "view_service.h"

namespace sycamoredrum {

/// Runs a DatabaseWatcher for each database that this proxy is a watcher of. Thread-safe.
class WatcherService {
 public:
  struct Dependencies {
    EventLoop& loop;
    std::string member;
    Duration probe_interval;
    const ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    const LeavingSnapshot& leaving;
    ViewService& views;
    ViewTable& view_table;
    BackendControl& control;
    PeerCall call;
    Metrics& metrics;
    Logger& logger;
    RandomSource random;
  };

  explicit WatcherService(Dependencies dependencies);
  ~WatcherService();

  /// Starts, reconfigures and stops watchers. To be called after each change of the configuration
  /// or the membership. Calls must not overlap.
  void Refresh();

  /// Stops all watchers for good. Other members of the fleet take over their duties.
  void Stop();

  /// Adds the events since the last call to the metrics. Called before each scrape.
  void ExportCounters();

  /// Returns the opinion of this process's watcher of `database` as JSON, or "{}" if there is none.
  std::string Opinion(const std::string& database);

 private:
  struct Watched {
    std::shared_ptr<SerialContext> context;
    std::shared_ptr<const DatabaseConfig> config;
    std::unique_ptr<DatabaseWatcher> watcher;
    WatcherCounters exported;  ///< Counters at the last export to the metrics.
  };
  using WatchedPtr = std::shared_ptr<Watched>;

  /// Answers of the other watchers to one request for opinions.
  struct OpinionCollection;

  WatchedPtr StartWatcher(std::shared_ptr<const DatabaseConfig> config,
                          WatcherAssignment assignment);
  void StopWatcher(const std::string& database, const WatchedPtr& watched);
  void ExportWatcherCounters(const std::string& database, Watched& watched);
  WatcherHooks MakeHooks(const std::string& database,
                         const std::shared_ptr<SerialContext>& context);
  /// Sends a request to the control port `control` and passes the status in its answer to `done`.
  using ControlCall =
      std::function<void(const Endpoint& control, const PromotionHooks::StatusCallback& done)>;
  /// Makes `call` for a backend server. `callback` runs in `context`; it receives nothing if the
  /// server is not in the configuration in force.
  void CallControl(const std::string& database, const std::string& server_id,
                   const std::shared_ptr<SerialContext>& context,
                   PromotionHooks::StatusCallback callback, const ControlCall& call);
  PromotionHooks MakeControlHooks(const std::string& database,
                                  const std::shared_ptr<SerialContext>& context);
  void CollectOpinions(const std::string& database, Duration timeout,
                       WatcherHooks::OpinionsCallback callback);
  void HandleRound(const std::string& database, const std::vector<BackendServerView>& servers,
                   TimePoint round_started);
  void HandleGap(const std::string& database, const FailoverGap& gap);
  std::map<std::string, WatchedPtr> RemoveAllWatchers();

  Dependencies dependencies;
  std::mutex mutex;  // Guards the members below; no other lock is taken while it is held.
  std::map<std::string, WatchedPtr> watched;
  bool stopped = false;
};

}  // namespace sycamoredrum
