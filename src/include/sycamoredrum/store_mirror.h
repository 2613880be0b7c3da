#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/coordination_store.h"

namespace sycamoredrum {

struct StoreMirrorOptions {
  std::string prefix;
  /// How long the store may keep a watch open without an event. A lost connection is detected after
  /// this time plus the store client's own timeout.
  Duration watch_timeout = std::chrono::seconds(2);
  /// Minimum time between the starts of two watches. It bounds the number of calls; without it a
  /// key that changes often would cause one call for each change.
  Duration watch_interval = std::chrono::milliseconds(0);
  /// Replaces `watch_timeout` while `StoreMirrorHooks::relaxed` returns true. If not set, the
  /// mirror makes no calls during that time.
  std::optional<Duration> relaxed_watch_timeout = std::nullopt;
};

struct StoreMirrorHooks {
  /// A key was written or removed.
  std::function<void(const StoreEvent&)> changed;
  /// The copy is complete for the first time.
  std::function<void()> synchronized;
  /// The store became reachable (true) or unreachable (false) for this mirror.
  std::function<void(bool)> reachable;
  /// Optional. The copy was updated from a list of all keys with the prefix.
  std::function<void(const std::map<std::string, KeyValue>& items)> listed = nullptr;
  /// Optional. Returns true while the content of the keys also arrives by another way, so that the
  /// mirror can make fewer calls. It saves load on the store when, for example, 80 processes watch
  /// keys that change 20 times a second.
  std::function<bool()> relaxed = nullptr;
  /// Optional. Returns false while the copy is not needed; the mirror then makes no calls, and
  /// lists all keys again afterwards. It saves load on the store when, for example, 300 processes
  /// start within a second and each registration completes the watches of all others.
  std::function<bool()> wanted = nullptr;
  /// Optional. Upper bound of the retry delay, instead of kMaxRetryDelay. A large fleet, for
  /// example of 300 processes, needs a longer one to limit the retries while the store is down.
  std::function<Duration()> max_retry_delay = nullptr;
  /// Optional. The store has returned from an older copy, in a new era. Called before the changes
  /// of the local copy that follow from it are reported.
  std::function<void(std::uint64_t era)> restored = nullptr;
};

/// Local copy of all keys with a prefix, kept up to date by list and watch. Not thread-safe.
class StoreMirror {
 public:
  /// Delay before the first retry of a failed call; doubled up to kMaxRetryDelay and jittered, so
  /// that the members of a fleet do not retry at the same moment.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
  /// A list without an answer for this time may be lost; covers a round trip to another region.
  static constexpr Duration kListOverdueAfter = std::chrono::milliseconds(100);
  /// A mirror that makes no calls checks this often whether it must resume them.
  static constexpr Duration kPauseCheckInterval = std::chrono::milliseconds(250);

  StoreMirror(const CoordinationStore& store, StoreMirrorOptions options, StoreMirrorHooks hooks,
              const Clock& clock, Scheduler& scheduler, RandomSource random);

  /// Starts the mirror. It makes calls from now on while `StoreMirrorHooks::wanted` allows them.
  void Start();
  /// If the mirror makes no calls at present, checks at once whether it must resume them.
  void Wake();
  /// To be called when the store is known to answer. Sends the first list again if its answer is
  /// overdue, without waiting for earlier calls to end. It speeds up processes that restarted just
  /// before the end of an outage of the store, whose first call still waits for its timeout.
  void ResendOverdueList();

  const std::map<std::string, KeyValue>& Items() const { return this->items; }
  /// True once the copy has been complete.
  bool Synchronized() const { return this->synchronized; }
  /// True if the last call that ended was successful.
  bool Reachable() const { return this->reachable; }
  /// Era of the store in which the copy was last updated.
  std::uint64_t Era() const { return EraOf(this->revision); }
  /// When a call last succeeded.
  TimePoint LastSuccess() const { return this->last_success; }

 private:
  void Pause();
  void List();
  void OnList(std::uint64_t number, PlatformStatus status, const StorePage& page);
  void Watch();
  bool Relaxed() const { return this->hooks.relaxed && this->hooks.relaxed(); }
  bool Wanted() const { return !this->hooks.wanted || this->hooks.wanted(); }
  void OnWatch(WatchStatus status, const StorePage& page);
  void Apply(const StoreEvent& event);
  void Succeeded();
  void Failed();
  void RunLater(Duration delay, void (StoreMirror::*step)());

  const CoordinationStore& store;
  StoreMirrorOptions options;
  StoreMirrorHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;
  std::map<std::string, KeyValue> items;
  std::uint64_t revision = 0;
  bool synchronized = false;
  bool reachable = false;
  bool must_list = true;
  std::uint64_t pause = 0;  ///< Number of the present pause without calls; 0: calls are made.
  std::uint64_t next_pause = 1;
  std::uint64_t list_number = 0;        ///< Number of the last list that was sent.
  std::uint64_t last_settled_list = 0;  ///< Answers to lists up to this number are ignored.
  std::size_t lists_in_flight = 0;
  TimePoint list_started;
  TimePoint last_success;
  TimePoint watch_started;
  Duration retry_delay = kMinRetryDelay;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the mirror.
};

}  // namespace sycamoredrum
