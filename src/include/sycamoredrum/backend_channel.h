#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/statement.h"

namespace sycamoredrum {

/// One connection to a backend server. Results arrive in the order of the commands.
class BackendChannel {
 public:
  virtual ~BackendChannel() = default;

  /// Sends a command. Its result arrives as BackendChannelEvents::result.
  virtual void Send(const BackendCommand& command) = 0;

  /// Closes the connection; the backend server then rolls back an open transaction. No event
  /// follows.
  virtual void Close() = 0;
};

/// Callbacks of a channel. They run on the event loop, never inside a method of the channel.
struct BackendChannelEvents {
  /// The connection is ready for commands. The argument is the server's log position, if it sent
  /// one.
  std::function<void(std::optional<LogPosition>)> opened;
  /// The server refused the connection; the channel is closed.
  std::function<void(const StatementError&)> refused;
  std::function<void(StatementResult)> result;
  /// The connection ended or could not be opened. Commands without a result have an unknown
  /// outcome.
  std::function<void(const std::string& reason)> closed;
};

/// Starts to open a connection to a backend server, which is told the name of the organisation that
/// uses it. An empty name stands for the relay itself and for callers without an organisation.
using OpenBackendChannel = std::function<std::shared_ptr<BackendChannel>(
    const BackendServerRecord&, const std::string& organisation, BackendChannelEvents)>;

}  // namespace sycamoredrum
