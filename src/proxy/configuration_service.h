#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/configuration_sync.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// Keeps the configuration in force up to date with the tickets of the platform and of other
/// members. Thread-safe.
class ConfigurationService {
 public:
  static constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
  /// Limit of the configuration numbers whose lag is measured at the same time.
  static constexpr std::size_t kMaxTrackedNumbers = 64;

  struct Dependencies {
    EventLoop& loop;
    std::string member;
    std::string data_centre;
    ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    PlatformClient platform;
    PeerCall call;
    Metrics& metrics;
    Logger& logger;
    RandomSource random;
    /// Called on a worker, without a lock, after the configuration changed.
    std::function<void()> changed;
  };

  explicit ConfigurationService(Dependencies dependencies);
  ~ConfigurationService();

  void Start();
  void Stop();

  /// To be called when a member's configuration number becomes known.
  void HandleNumber(const std::string& member, std::uint64_t number);

  /// Handle the peer requests `tickets` and `announce`. Bodies and answers are JSON.
  std::string AnswerTickets(const std::string& body);
  void HandleAnnounce(const std::string& member, const std::string& body);

  /// Exports the counters of the synchronisation to the metrics. Called before each scrape.
  void ExportCounters();

  /// True once the configuration is complete enough to serve callers. Never false again.
  bool Ready() const { return this->ready; }
  std::uint64_t Number() const { return this->dependencies.configuration.Get()->Number(); }

 private:
  ConfigurationSyncHooks MakeHooks();
  /// Returns a platform client whose callbacks run in `context`.
  PlatformClient MakePlatform();
  void Pull(const std::string& member, std::uint64_t after, std::size_t limit,
            ConfigurationSyncHooks::PullCallback done);
  void ObserveLag(std::uint64_t number);
  void HandleChange(const std::shared_ptr<const Configuration>& configuration);

  Dependencies dependencies;
  std::shared_ptr<SerialContext> context;
  std::atomic<bool> ready{false};
  ConfigurationLog log;
  /// Configuration numbers above the one in force, and when this process first received them.
  std::map<std::uint64_t, TimePoint> first_seen;
  std::unique_ptr<ConfigurationSync> sync;
};

}  // namespace sycamoredrum
