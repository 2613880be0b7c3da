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

/// Keeps the configuration in force up to date from the platform and from other members.
/// Thread-safe.
class ConfigurationService {
 public:
  static constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
  /// Numbers whose lag is measured at the same time.
  static constexpr std::size_t kMaxNumbersHeard = 64;

  struct Parts {
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

  explicit ConfigurationService(Parts parts);
  ~ConfigurationService();

  void Start();
  void Stop();

  /// A member's configuration number became known.
  void HandleNumber(const std::string& member, std::uint64_t number);

  /// Answers the peer requests `tickets` and `announce`; bodies are JSON.
  std::string AnswerTickets(const std::string& body);
  void HandleAnnounce(const std::string& member, const std::string& body);

  /// Brings the counters of the synchronisation up to date for a scrape.
  void ExportCounters();

  bool Ready() const { return this->ready; }
  std::uint64_t Number() const { return this->parts.configuration.Get()->Number(); }

 private:
  ConfigurationSyncHooks MakeHooks();
  PlatformClient MakePlatform();
  void Pull(const std::string& member, std::uint64_t after, std::size_t limit,
            ConfigurationSyncHooks::PullCallback done);
  void ObserveLag(std::uint64_t number);
  void HandleChange(const std::shared_ptr<const Configuration>& configuration);

  Parts parts;
  std::shared_ptr<SerialContext> context;
  std::atomic<bool> ready{false};
  ConfigurationLog log;
  /// Numbers above the one in force, and when they were first heard of.
  std::map<std::uint64_t, TimePoint> heard;
  std::unique_ptr<ConfigurationSync> sync;
};

}  // namespace sycamoredrum
