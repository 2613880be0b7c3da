#pragma once

#include <functional>
#include <optional>
#include <string>

#include "sycamoredrum/http.h"
#include "sycamoredrum/status.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Answer of a backend server to `POST /v1/wait`.
struct PositionAnswer {
  bool contains = false;
  bool not_in_history = false;
  std::uint64_t promised_term = 0;
};

/// Calls on the control ports of backend servers (docs/backend-interface.md). Thread-safe.
class BackendControl {
 public:
  using StatusCallback = std::function<void(const std::optional<BackendServerStatus>&)>;
  using PositionCallback = std::function<void(const std::optional<PositionAnswer>&)>;

  /// Timeout of fence, promote and follow.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
  /// Added to the time that a server may wait for a position, to cover the round trip.
  static constexpr Duration kWaitAllowance = std::chrono::milliseconds(200);

  explicit BackendControl(HttpClient& client) : client(client) {}

  /// In all methods, the callback runs on a worker of the loop and receives nothing if the call
  /// failed.
  void Status(const Endpoint& control, Duration timeout, StatusCallback callback);
  void Fence(const Endpoint& control, std::uint64_t term, const std::string& proposer,
             StatusCallback callback);
  void Promote(const Endpoint& control, std::uint64_t term, const std::string& proposer,
               StatusCallback callback);
  void Follow(const Endpoint& control, std::uint64_t term, const std::string& primary,
              StatusCallback callback);
  void Wait(const Endpoint& control, const LogPosition& position, Duration timeout,
            PositionCallback callback);

 private:
  void Post(const Endpoint& control, const std::string& target, std::string body,
            StatusCallback callback);

  HttpClient& client;
};

}  // namespace sycamoredrum
