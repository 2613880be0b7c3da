#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// Answer of a member that was asked for tickets.
struct TicketsAnswer {
  std::uint64_t number = 0;  ///< Number of the answering member.
  std::vector<SerializedTicket> tickets;
};

struct ConfigurationSyncHooks {
  using PullCallback = std::function<void(std::optional<TicketsAnswer>)>;

  /// True while this member has the duty to hold a watch on the platform.
  std::function<bool()> should_watch;
  /// Ids of the other reachable members.
  std::function<std::vector<std::string>()> members;
  /// Tells a member this member's number. May be lost.
  std::function<void(const std::string& member, std::uint64_t number)> announce;
  /// Asks a member for at most `limit` tickets after number `after`. Calls back at most once, with
  /// nothing on failure, never from inside the call.
  std::function<void(const std::string& member, std::uint64_t after, std::size_t limit,
                     PullCallback done)>
      pull;
  /// Called once, when this proxy may become ready.
  std::function<void()> ready;
};

struct ConfigurationSyncCounters {
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_errors = 0;
  std::uint64_t announcements = 0;
  std::uint64_t pulls = 0;
  std::uint64_t failed_pulls = 0;
};

/// Keeps the log of one proxy up to date: reads the platform at the start, watches it while the
/// duty says so, announces new numbers to other members and pulls missing tickets from members that
/// are ahead. Must outlive its timers and calls. Not thread-safe.
class ConfigurationSync {
 public:
  static constexpr std::size_t kTicketsPerMessage = 64;
  static constexpr std::size_t kAnnouncementFanOut = 3;
  /// Members that a starting proxy asks for their number at each tick during an outage.
  static constexpr std::size_t kStartupQuestions = 3;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  /// Interval of dropping peers that are no longer members, once the proxy is ready.
  static constexpr Duration kPeerCheckInterval = std::chrono::seconds(10);
  static constexpr Duration kWatchTimeout = std::chrono::seconds(30);
  /// A pull that takes longer does not hold up pulls from other members.
  static constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
  /// Time that a starting proxy gives all members to tell their number before it relies on those
  /// that did. Longer than a failed probe (one period of 1 s) and two message delays.
  static constexpr Duration kSettleTime = std::chrono::seconds(2);
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
  /// Keeps 5,000 proxies that start in an outage below the platform's 2,000 reads/s.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(4);

  ConfigurationSync(ConfigurationSyncHooks hooks, PlatformClient platform, ConfigurationLog& log,
                    const Clock& clock, Scheduler& scheduler, RandomSource random);

  /// Begins to read the platform. Call once.
  void Start();

  /// Stops the timers; later answers are still applied.
  void Stop() { this->stopped = true; }

  /// A member's number became known, from an announcement or from a membership message. Pulls the
  /// missing tickets if the member is ahead.
  void HandleNumber(const std::string& member, std::uint64_t number);

  /// Answers a member that asks for tickets.
  TicketsAnswer HandlePull(std::uint64_t after, std::size_t limit) const;

  /// True once the proxy has read the platform, or has heard from a peer during an outage and holds
  /// the highest number that a reachable member told. Never false again.
  bool Ready() const { return this->is_ready; }

  const ConfigurationSyncCounters& Counters() const { return this->counters; }

 private:
  struct Peer {
    bool heard = false;  ///< False if only failed pulls are known of it.
    std::uint64_t number = 0;
    int failures = 0;
    TimePoint retry_at{};
  };

  void Tick();
  void LogAdvanced();
  void Announce();
  std::vector<std::string> PickMembers(std::vector<std::string> candidates, std::size_t count);

  void UsePlatform();
  void ReadPlatform();
  void HandlePage(PlatformStatus status, const std::vector<KeyValue>& page);
  void WatchPlatform();
  void HandleWatch(PlatformStatus status, const std::vector<KeyValue>& changed);
  void TakePlatformTickets(const std::vector<KeyValue>& page);
  void PlatformFailed();
  Duration Backoff(int failures);

  void ForgetLostPeers();
  void ExpirePulls();
  bool Heard(const std::string& member) const;
  void AskUnheardMembers();
  void PullFromPeerAhead();
  void Pull(const std::string& member);
  void PullFailed(const std::string& member);
  void HandlePulled(const std::string& member, std::uint64_t number_before,
                    const std::optional<TicketsAnswer>& answer);
  bool PullInProgress() const;
  void UpdateReady();
  bool PeersAllowReady() const;
  void BecomeReady();

  ConfigurationSyncHooks hooks;
  PlatformClient platform;
  ConfigurationLog& log;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;

  bool stopped = false;
  bool is_ready = false;

  bool platform_call_waiting = false;
  bool platform_read = false;  ///< The log holds all that the platform held at the last full read.
  int platform_failures = 0;
  TimePoint platform_retry_at{};
  std::uint64_t platform_revision = 0;  ///< Highest revision of a ticket read from the platform.

  std::map<std::string, Peer> peers;
  TimePoint peers_checked_at{};
  std::optional<TimePoint> first_peer_at;
  std::map<std::string, TimePoint> pulls_until;  ///< Members asked, with the time of giving up.
  ConfigurationSyncCounters counters;
};

}  // namespace sycamoredrum
