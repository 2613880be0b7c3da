#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "sycamoredrum/byte_stream.h"
#include "sycamoredrum/caller_limits.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/relay_settings.h"

namespace sycamoredrum {

/// Options of callers' streams. They bound the memory of the system for each connection.
ByteStreamOptions CallerStreamOptions();

/// Limits of the readiness and metrics ports, whose requests have no body.
HttpServerLimits CheckPortLimits(const RelaySettings& settings);

/// Decides which connections of callers are accepted, applies the limits to them, and reports the
/// limits that were reached.
class CallerAcceptance {
 public:
  /// `logger` and `metrics` are not used before Start.
  CallerAcceptance(const RelaySettings& settings, const Clock& clock, Logger& logger,
                   Metrics& metrics);

  void Start(CallerLimitHooks new_hooks);
  /// No hook is called any more.
  void Stop() { this->limits.Stop(); }

  /// Decides about a new connection while `callers` are open.
  bool MayAccept(std::size_t callers);
  std::unique_ptr<CallerUsage> Add(std::uint64_t number) { return this->limits.Add(number); }
  void SetMaxSessions(std::size_t value) { this->max_sessions = value; }
  /// To be called every 50 ms.
  void Tick();
  void PublishMetrics();

 private:
  void LogReachedLimits();

  Logger& logger;
  Metrics& metrics;
  const Clock& clock;
  std::size_t memory_limit;
  std::size_t descriptor_limit;  ///< Callers' connections that the process's descriptors allow.
  std::size_t max_sessions;
  CallerLimitHooks hooks;
  CallerLimits limits;
  std::array<std::uint64_t, kLimitKinds> logged{};  ///< Hits that were logged.
  TimePoint last_log;
};

}  // namespace sycamoredrum
