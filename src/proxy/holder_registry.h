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

/// The pools of the backend servers whose connections this proxy holds, and the requests that run
/// on them. Thread-safe.
class HolderRegistry {
 public:
  static constexpr Duration kOpenTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kSampleInterval = std::chrono::seconds(1);

  struct Parts {
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

  explicit HolderRegistry(Parts parts);
  ~HolderRegistry();

  /// Creates, resizes and drains pools after a change of configuration, membership or VM list.
  void Refresh();

  /// Runs a command that came through the entry proxy `entry`. `callback` runs on a worker, under
  /// the registry's mutex; it must not call the registry.
  void Execute(ExecuteCommand command, const std::string& entry, ExecuteCallback callback);

  /// The entry proxy is dead; its interactive transactions are rolled back.
  void MemberGone(const std::string& entry);

  /// Refuses new interactive transactions.
  void StopTransactions();

  /// True if no request and no transaction is in progress.
  bool Idle();

  /// JSON list of the pools, for operators.
  std::string DescribePools();

 private:
  struct Held {
    std::unique_ptr<ConnectionPool> pool;
    bool wanted = true;  ///< False: the duty moved away; the pool goes when its leases end.
  };

  HolderHooks MakeHooks();
  void ExecuteOnConnection(ConnectionId connection, const BackendRequest& request, Duration timeout,
                           BackendCallback callback);
  std::function<void(const LeaseAnswer&)> ObserveWait(const ExecuteCommand& command);
  void RunCommand(const ExecuteCommand& command, const std::string& entry,
                  const ExecuteCallback& callback);
  ConnectionPoolHooks MakePoolHooks(const BackendServerConfig& server, const std::string& database);
  void RefreshServer(const DatabaseConfig& database, const BackendServerConfig& server);
  void DropUnwantedPools();
  void Sample();

  Parts parts;
  std::shared_ptr<SerialContext> context;
  std::map<std::string, Held> pools;
  /// Trace parent of the last command on each leased connection.
  std::map<ConnectionId, std::string> trace_parents;
  std::string step_trace_parent;  ///< Of the step of an open transaction that is being started.
  std::unique_ptr<HolderService> service;
  std::unique_ptr<TransactionTable> transactions;
};

}  // namespace sycamoredrum
