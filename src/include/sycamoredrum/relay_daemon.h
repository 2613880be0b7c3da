#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/relay_platform.h"
#include "sycamoredrum/relay_settings.h"

namespace sycamoredrum {

/// Creates the platform's hooks, which run on the daemon's event loop. The daemon destroys the
/// result before the loop.
using MakeRelayPlatform = std::function<RelayPlatform(EventLoop&, Metrics&, const RelaySettings&)>;

/// Reloads the settings. Returns nothing if they are invalid and then describes the errors in
/// `problems`.
using ReloadRelaySettings = std::function<std::optional<RelaySettings>(std::string& problems)>;

/// The relay process: opens the listeners, reports readiness, reloads settings and stops
/// gracefully.
///
/// All work runs on one worker thread. A VM of the target platform has only part of a core, and the
/// work per statement is too short to justify locking.
class RelayDaemon {
 public:
  RelayDaemon(RelaySettings settings, const MakeRelayPlatform& make_platform,
              ReloadRelaySettings reload);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  /// Opens the listeners and starts serving. Returns false and sets LastReason() if a listener
  /// cannot be opened.
  bool Start();
  /// Blocks until the graceful stop has finished.
  void Run();
  const std::string& LastReason() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace sycamoredrum
