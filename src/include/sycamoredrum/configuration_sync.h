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

/// Answer of a member to a pull of tickets.
struct TicketsAnswer {
  std::uint64_t number = 0;  ///< Configuration number of the answering member.
  std::vector<SerializedTicket> tickets;
};

/// Functions through which ConfigurationSync reaches the rest of the proxy and the other members.
struct ConfigurationSyncHooks {
  using PullCallback = std::function<void(std::optional<TicketsAnswer>)>;

  /// True while this member is one of the platform watchers of the fleet: it then keeps a watch
  /// call open on the platform.
  std::function<bool()> should_watch;
  /// Ids of the other reachable members.
  std::function<std::vector<std::string>()> members;
  /// Sends this member's configuration number to a member. The message may be lost.
  std::function<void(const std::string& member, std::uint64_t number)> announce;
  /// Requests at most `limit` tickets with numbers above `after` from a member. Calls `done` at
  /// most once, with nothing on failure, and never from inside the call.
  std::function<void(const std::string& member, std::uint64_t after, std::size_t limit,
                     PullCallback done)>
      pull;
  /// Called once, when the configuration allows this proxy to become ready.
  std::function<void()> ready;
};

struct ConfigurationSyncCounters {
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_errors = 0;
  std::uint64_t announcements = 0;
  std::uint64_t pulls = 0;
  std::uint64_t failed_pulls = 0;
};

/// Keeps the configuration log of one proxy up to date: reads the platform at the start, watches it
/// while `should_watch` returns true, announces new configuration numbers to other members and
/// pulls missing tickets from members that are ahead. Must outlive the timers that it starts and
/// the calls that it makes. Not thread-safe.
class ConfigurationSync {
 public:
  static constexpr std::size_t kTicketsPerMessage = 64;
  /// Maximum number of members, chosen at random, to which a new configuration number is announced.
  static constexpr std::size_t kAnnouncementFanOut = 3;
  /// Maximum number of members with an unknown configuration number that a starting proxy queries
  /// at each tick during a platform outage.
  static constexpr std::size_t kStartupQueryFanOut = 3;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  /// Interval at which a ready proxy removes peers that are no longer reachable members. A proxy
  /// that is not ready does so at each tick.
  static constexpr Duration kPeerCheckInterval = std::chrono::seconds(10);
  static constexpr Duration kWatchTimeout = std::chrono::seconds(30);
  /// A pull that takes longer counts as failed and no longer blocks pulls from other members.
  static constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
  /// Time after the first received configuration number that a starting proxy waits for the numbers
  /// of all members; then it relies on those received. Longer than a failed probe (one period of
  /// 1 s) plus two message delays.
  static constexpr Duration kPeerReportTimeout = std::chrono::seconds(2);
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
  /// Keeps 5,000 proxies that start during an outage below the platform's 2,000 reads/s.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(4);

  ConfigurationSync(ConfigurationSyncHooks hooks, PlatformClient platform, ConfigurationLog& log,
                    const Clock& clock, Scheduler& scheduler, RandomSource random);

  /// Starts reading the platform and the periodic tick. Call once.
  void Start();

  /// Stops the timers. Answers to calls in progress are still applied.
  void Stop() { this->stopped = true; }

  /// Records the configuration number of a member, received in an announcement or in a membership
  /// message. Pulls the missing tickets if the member is ahead.
  void HandleNumber(const std::string& member, std::uint64_t number);

  /// The answer to another member's pull: the tickets after number `after`, at most `limit` and at
  /// most kTicketsPerMessage.
  TicketsAnswer HandlePull(std::uint64_t after, std::size_t limit) const;

  /// True once the proxy has read all tickets from the platform or, during a platform outage, has
  /// received a peer's configuration number and all tickets up to the highest number reported by a
  /// reachable member. Never becomes false again.
  bool Ready() const { return this->is_ready; }

  const ConfigurationSyncCounters& Counters() const { return this->counters; }

 private:
  struct Peer {
    bool number_known = false;  ///< False if no number was received from it yet.
    std::uint64_t number = 0;
    int failures = 0;
    TimePoint retry_at{};
  };

  void Tick();
  void HandleLogAdvance();
  void Announce();
  std::vector<std::string> PickRandomMembers(std::vector<std::string> candidates,
                                             std::size_t count);

  void ReadOrWatchPlatform();
  void ReadPlatform();
  void HandlePage(PlatformStatus status, const std::vector<KeyValue>& page);
  void WatchPlatform();
  void HandleWatch(PlatformStatus status, const std::vector<KeyValue>& changed);
  void ApplyPlatformTickets(const std::vector<KeyValue>& page);
  void HandlePlatformFailure();
  Duration Backoff(int failures);

  void RemoveUnreachablePeers();
  void ExpirePulls();
  bool IsNumberKnown(const std::string& member) const;
  void QueryMembersWithUnknownNumber();
  void PullFromPeerAhead();
  void Pull(const std::string& member);
  void HandlePullFailure(const std::string& member);
  void HandlePullAnswer(const std::string& member, std::uint64_t number_before,
                        const std::optional<TicketsAnswer>& answer);
  bool PullInProgress() const;
  void UpdateReady();
  bool CanBecomeReadyFromPeers() const;
  void BecomeReady();

  ConfigurationSyncHooks hooks;
  PlatformClient platform;
  ConfigurationLog& log;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;

  bool stopped = false;
  bool is_ready = false;

  bool platform_call_in_flight = false;
  bool platform_fully_read = false;  ///< False if a full read must precede the next watch.
  int platform_failures = 0;
  TimePoint platform_retry_at{};
  std::uint64_t platform_revision = 0;  ///< Highest revision of a ticket read from the platform.

  std::map<std::string, Peer> peers;
  TimePoint peers_checked_at{};
  std::optional<TimePoint> first_number_received_at;
  std::map<std::string, TimePoint> pull_deadlines;  ///< Time-outs of the pulls in progress.
  ConfigurationSyncCounters counters;
};

}  // namespace sycamoredrum
