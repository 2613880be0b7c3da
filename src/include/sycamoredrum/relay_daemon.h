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

/// Makes the platform's hooks on the daemon's event loop. The result must stay valid as long as the
/// loop runs.
using MakeRelayPlatform = std::function<RelayPlatform(EventLoop&, Metrics&, const RelaySettings&)>;

/// Reads the settings again; returns nothing and reports the problems if they are not valid.
using ReloadRelaySettings = std::function<std::optional<RelaySettings>(std::string& problems)>;

/// The relay as a process: listeners, readiness, reload and graceful stop.
///
/// All work runs on one worker. A VM of the target platform has a part of one core, and a
/// statement's work is too short to be worth a lock.
class RelayDaemon {
 public:
  RelayDaemon(RelaySettings settings, const MakeRelayPlatform& make_platform,
              ReloadRelaySettings reload);
  ~RelayDaemon();
  RelayDaemon(const RelayDaemon&) = delete;
  RelayDaemon& operator=(const RelayDaemon&) = delete;

  /// Returns false and sets LastReason() if a listener cannot be opened.
  bool Start();
  /// Waits for the end of the process's stop.
  void Run();
  const std::string& LastReason() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace sycamoredrum
