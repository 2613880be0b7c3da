#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "sycamoredrum/backend.h"
#include "sycamoredrum/connection_pool.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// Database connections of this process to the statement ports of backend servers
/// (docs/backend-interface.md), by connection id. Thread-safe; callbacks run on workers of the
/// loop, never from inside a method.
class BackendConnections {
 public:
  using ReplyCallback = std::function<void(const std::optional<BackendReply>&)>;

  BackendConnections(EventLoop& loop, HttpClientOptions options);

  /// Connects to a statement port and opens a database connection on it, both within `timeout`.
  void Open(const Endpoint& statements, const std::string& database, Duration timeout,
            OpenCallback callback);

  /// Runs a request. The callback receives nothing if the connection failed or the timeout
  /// expired; the connection must then be closed.
  void Execute(ConnectionId connection, const BackendRequest& request, Duration timeout,
               ReplyCallback callback);

  void Close(ConnectionId connection);

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  void SendOpen(const ConnectionPtr& connection, const std::string& database, Duration timeout,
                OpenCallback callback);
  ConnectionId Add(ConnectionPtr connection);
  ConnectionPtr Find(ConnectionId connection);

  EventLoop& loop;
  const HttpClientOptions options;
  std::mutex mutex;  // Guards the members below.
  absl::flat_hash_map<ConnectionId, ConnectionPtr> connections;
  ConnectionId next_connection = 1;
};

}  // namespace sycamoredrum
