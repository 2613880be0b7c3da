#pragma once

#include <map>
#include <memory>
#include <string>

#include "backend_connections.h"
#include "backend_control.h"
#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/connection_pool.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/holder_service.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/trace.h"
#include "sycamoredrum/transaction_table.h"

namespace sycamoredrum {

/// The connection pools of the backend servers that this proxy is a holder of, and the requests
/// that run on them. Thread-safe.
class HolderRegistry {
 public:
  static constexpr Duration kOpenTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kSampleInterval = std::chrono::seconds(1);

  struct Dependencies {
    EventLoop& loop;
    std::string member;
    const ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    const LeavingSnapshot& leaving;
    BackendConnections& connections;
    BackendControl& control;
    Metrics& metrics;
    Tracer& tracer;
    RandomSource random;
  };

  explicit HolderRegistry(Dependencies dependencies);
  ~HolderRegistry();

  /// Creates, resizes and drains pools. To be called after each change of the configuration, the
  /// membership or the set of leaving VMs.
  void Refresh();

  /// Runs a command. `entry` is the id of the member that received the caller's request. `callback`
  /// runs on a worker under the registry's mutex, so it must not call the registry.
  void Execute(ExecuteCommand command, const std::string& entry, ExecuteCallback callback);

  /// Rolls back the interactive transactions of the entry proxy `entry`, which died or left the
  /// fleet.
  void MemberGone(const std::string& entry);

  /// Refuses new interactive transactions from now on.
  void StopTransactions();

  /// True if no request and no transaction is in progress.
  bool Idle();

  /// Returns the state of the pools as a JSON list, for operators.
  std::string DescribePools();

 private:
  struct HeldPool {
    std::unique_ptr<ConnectionPool> pool;
    /// False if this proxy is no longer a holder; the pool is removed once it is drained.
    bool assigned = true;
  };

  HolderHooks MakeHooks();
  void ExecuteOnConnection(ConnectionId connection, const BackendRequest& request, Duration timeout,
                           BackendCallback callback);
  std::function<void(const LeaseAnswer&)> ObserveWait(const ExecuteCommand& command);
  void RunCommand(const ExecuteCommand& command, const std::string& entry,
                  const ExecuteCallback& callback);
  ConnectionPoolHooks MakePoolHooks(const BackendServerConfig& server, const std::string& database);
  void RefreshServer(const DatabaseConfig& database, const BackendServerConfig& server);
  void RemoveUnassignedPools();
  /// Repeats every kSampleInterval: exports the gauges of the pools and removes drained pools.
  void SampleMetrics();

  Dependencies dependencies;
  std::shared_ptr<SerialContext> context;
  std::map<std::string, HeldPool> pools;
  /// Trace parent of the command that last used each leased connection.
  std::map<ConnectionId, std::string> trace_parents;
  /// Trace parent of the transaction step that RunCommand is starting; otherwise empty.
  std::string step_trace_parent;
  std::unique_ptr<HolderService> service;
  std::unique_ptr<TransactionTable> transactions;
};

}  // namespace sycamoredrum
