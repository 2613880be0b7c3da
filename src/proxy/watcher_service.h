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

/// Runs a DatabaseWatcher for each database that this proxy has the duty to watch. Thread-safe.
class WatcherService {
 public:
  struct Parts {
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

  explicit WatcherService(Parts parts);
  ~WatcherService();

  /// Starts, changes and stops watchers after a change of configuration or membership. Calls are
  /// made one at a time.
  void Refresh();

  /// Stops all watchers; the other members of the fleet take over.
  void Stop();

  /// Brings the counters of the watchers up to date for a scrape.
  void ExportCounters();

  /// JSON form of the opinion of this process's watcher, or "{}" if it does not watch `database`.
  std::string Opinion(const std::string& database);

 private:
  struct Watched {
    std::shared_ptr<SerialContext> context;
    std::shared_ptr<const DatabaseConfig> config;
    std::unique_ptr<DatabaseWatcher> watcher;
    WatcherCounters exported;  ///< Part of the watcher's counters that the metrics contain.
  };
  using WatchedPtr = std::shared_ptr<Watched>;

  /// Opinions that are being collected for one question of a watcher.
  struct Collection;

  WatchedPtr Start(std::shared_ptr<const DatabaseConfig> config, WatcherAssignment assignment);
  void StopOne(const std::string& database, const WatchedPtr& watched);
  void ExportOne(const std::string& database, Watched& watched);
  WatcherHooks MakeHooks(const std::string& database,
                         const std::shared_ptr<SerialContext>& context);
  /// Makes a call on the control port of a backend server; a server that is not configured gives no
  /// status. The callback runs in `context`.
  using ControlCall =
      std::function<void(const Endpoint& control, const PromotionHooks::StatusCallback& done)>;
  void CallControl(const std::string& database, const std::string& server_id,
                   const std::shared_ptr<SerialContext>& context,
                   PromotionHooks::StatusCallback callback, const ControlCall& call);
  PromotionHooks MakeControlHooks(const std::string& database,
                                  const std::shared_ptr<SerialContext>& context);
  void AskOpinions(const std::string& database, Duration timeout,
                   WatcherHooks::OpinionsCallback callback);
  void HandleRound(const std::string& database, const std::vector<BackendServerView>& servers,
                   TimePoint round_started);
  void HandleGap(const std::string& database, const FailoverGap& gap);
  std::map<std::string, WatchedPtr> TakeAll();

  Parts parts;
  std::mutex mutex;  // Guards the members below; no other lock is taken inside it.
  std::map<std::string, WatchedPtr> watched;
  bool stopped = false;
};

}  // namespace sycamoredrum
