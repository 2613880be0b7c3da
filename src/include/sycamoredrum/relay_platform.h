#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/backend_channel.h"
#include "sycamoredrum/byte_stream.h"
#include "sycamoredrum/caller_limits.h"
#include "sycamoredrum/coordination_store.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {

/// Opens a session for a caller's connection; see SessionRelay::Open.
using OpenCallerSession = std::function<OpenedSession(const SessionRequest&, CallerSessionHooks)>;

/// An open connection of a caller.
class CallerConnection {
 public:
  virtual ~CallerConnection() = default;

  /// True if the connection can be closed without loss: every received request is answered.
  virtual bool Idle() const = 0;
  /// Sends the buffered output, then closes.
  virtual void Close() = 0;
  /// Closes as soon as Idle() is true, possibly immediately.
  virtual void CloseWhenIdle() = 0;
  /// The connection may read again; see CallerLimitHooks::resume.
  virtual void ResumeReading() = 0;
  /// Closes the socket and releases what the connection holds. If the caller has a request of which
  /// nothing was sent to a backend server, and only that, it is told so. The session does not end
  /// before Close, because it may be in use.
  virtual void Drop() = 0;
};

/// Services that a platform provides to the relay, and the conversion between its messages and the
/// types of this project. Implementations only convert; decisions are left to the code that uses
/// them.
struct RelayPlatform {
  /// Owns what the functions below use, such as connections. It must be destroyed before the event
  /// loop.
  std::shared_ptr<const void> implementation;
  CoordinationStore store;
  OpenBackendChannel open_channel;
  /// Requests the status of a backend server; see PrimaryAuthorityHooks::probe.
  std::function<void(const BackendServerRecord&, Duration timeout,
                     std::function<void(const BackendProbe&)>)>
      probe;
  /// Notifies a backend server that it was replaced as the primary by one of a later `term`.
  std::function<void(const BackendServerRecord&, std::uint64_t term)> demote;
  /// Makes `server` the primary of `database`. `holder` and `epoch` identify the leader that
  /// requests it.
  std::function<void(const std::string& database, const std::string& server,
                     const std::string& holder, std::uint64_t epoch,
                     std::function<void(PromoteOutcome)>)>
      promote;
  std::string configuration_key;  ///< Store key of the latest configuration.
  std::string servers_prefix;     ///< Prefix of the store keys of the backend servers' records.
  std::string ready_path;         ///< HTTP path of the load balancer's readiness check.
  /// This and `decode_server` return nothing and set `reason` if the text is invalid. `previous` is
  /// the directory of organisations in use, or null.
  std::function<std::shared_ptr<const RelayConfiguration>(
      const std::string& text, std::string& reason, const OrganisationDirectory* previous)>
      decode_configuration;
  std::function<std::optional<BackendServerRecord>(const KeyValue& item, std::string& reason)>
      decode_server;
  /// Serves a caller's connection. `closed` runs when the caller or the session has ended the
  /// connection; `reason` is empty if the relay closed it. The connection reports to `usage` what
  /// it holds.
  std::function<std::shared_ptr<CallerConnection>(
      std::shared_ptr<ByteStream>, std::unique_ptr<CallerUsage> usage, OpenCallerSession,
      std::function<void(const std::string& reason)> closed)>
      serve_caller;
};

}  // namespace sycamoredrum
