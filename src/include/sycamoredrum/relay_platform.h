#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/backend_channel.h"
#include "sycamoredrum/byte_stream.h"
#include "sycamoredrum/coordination_store.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {

/// Opens a session for a caller's connection; returns nothing if no route has the name.
using OpenCallerSession =
    std::function<std::shared_ptr<CallerSession>(const std::string& name, CallerSessionHooks)>;

/// A caller's connection that is being served.
class CallerConnection {
 public:
  virtual ~CallerConnection() = default;

  /// True if it may be closed without loss: nothing was received that is not answered.
  virtual bool Idle() const = 0;
  /// Closes after the unsent bytes are sent.
  virtual void Close() = 0;
  /// Closes as soon as Idle() is true, which may be at once.
  virtual void CloseWhenIdle() = 0;
};

/// What a platform provides for the relay, and the translation between its messages and the types
/// of this project. Implementations translate only; what to do is decided by their users.
struct RelayPlatform {
  CoordinationStore store;
  OpenBackendChannel open_channel;
  std::function<void(const BackendServerRecord&, std::function<void(const BackendProbe&)>)> probe;
  std::function<void(const BackendServerRecord&, std::uint64_t term)> demote;
  /// `holder` and `epoch` identify the leader that asks.
  std::function<void(const std::string& database, const std::string& server,
                     const std::string& holder, std::uint64_t epoch,
                     std::function<void(PromoteOutcome)>)>
      promote;
  std::string configuration_key;  ///< Key of the newest configuration in the store.
  std::string servers_prefix;     ///< Keys of the backend servers' records.
  std::string ready_path;         ///< Path at which the balancer asks whether to send callers.
  /// Both return nothing and set `reason` if the text cannot be used.
  std::function<std::shared_ptr<const RelayConfiguration>(const std::string& text,
                                                          std::string& reason)>
      decode_configuration;
  std::function<std::optional<BackendServerRecord>(const KeyValue& item, std::string& reason)>
      decode_server;
  /// Serves a caller's connection. `closed` runs when the caller or the session ended it;
  /// `reason` is empty if the relay closed it.
  std::function<std::shared_ptr<CallerConnection>(
      std::shared_ptr<ByteStream>, OpenCallerSession,
      std::function<void(const std::string& reason)> closed)>
      serve_caller;
};

}  // namespace sycamoredrum
