#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/backend.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration.h"
#include "sycamoredrum/connection_pool.h"
#include "sycamoredrum/request.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Reply of a backend server's control port to `wait`.
struct WaitReply {
  bool contains = false;        ///< The server's log contains the position.
  bool not_in_history = false;  ///< The server's log has another entry at the position.
  std::uint64_t promised_term = 0;
};

/// std::nullopt means that the connection broke or that no reply arrived in time.
using BackendCallback = std::function<void(const std::optional<BackendReply>&)>;
using WaitCallback = std::function<void(const std::optional<WaitReply>&)>;

/// Functions through which a holder reads configuration and reaches pools and backend servers. Late
/// and repeated callbacks are ignored.
struct HolderHooks {
  /// Current configuration of a database; nullptr if there is no such database.
  std::function<std::shared_ptr<const DatabaseConfig>(const std::string& database)> database;
  /// Configured weight of a caller group.
  std::function<int(const std::string& caller_group)> group_weight;
  /// Pool of a backend server; nullptr if this proxy holds no connections to it.
  std::function<ConnectionPool*(const std::string& backend_server)> pool;
  /// Sends a request on a leased connection.
  std::function<void(ConnectionId, const BackendRequest&, Duration timeout, BackendCallback)>
      execute;
  /// Sends `wait` to a backend server, which replies once its log contains the position, or earlier
  /// with `contains` false.
  std::function<void(const BackendServerConfig& backend_server, const LogPosition&,
                     Duration timeout, WaitCallback)>
      wait_position;
  /// Optional. Called before a request waits for a connection; the returned function is called with
  /// the result when the wait ends.
  std::function<std::function<void(const LeaseAnswer&)>(const ExecuteCommand&)> on_wait_start;
};

/// A lease of a connection to `backend_server`.
struct BackendLease {
  std::string backend_server;
  Lease lease;
};

class BackendRequestRunner;

/// Runs single requests, each of which is a whole transaction, on the connections of this proxy.
/// Never retries. Not thread-safe.
class HolderService {
 public:
  HolderService(HolderHooks hooks, const Clock& clock, Scheduler& scheduler);
  ~HolderService();

  /// Calls back exactly once while the service exists. The outcome is kNotRun only if the request
  /// certainly has no effect: it was not sent, or the backend server refused it. A write has the
  /// outcome kResult only if the acknowledgement rule is met, also when its results come from a
  /// request record.
  void Execute(const ExecuteCommand& command, ExecuteCallback callback);

  /// Number of requests that are not answered yet.
  std::size_t InProgress() const;

 private:
  std::shared_ptr<BackendRequestRunner> runner;
};

}  // namespace sycamoredrum
