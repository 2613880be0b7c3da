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
  /// How long the store may hold a watch. A connection that went silent is noticed after this time
  /// and the client's own timeout.
  Duration watch_timeout = std::chrono::seconds(2);
  /// Least time between two watches, because each call has a price and a key that changes often
  /// would otherwise cause one call for each change.
  Duration watch_interval = std::chrono::milliseconds(0);
  /// Replaces `watch_timeout` while the mirror is relaxed. Without it, a relaxed mirror makes no
  /// calls.
  std::optional<Duration> relaxed_watch_timeout = std::nullopt;
};

struct StoreMirrorHooks {
  /// A key was written or removed.
  std::function<void(const StoreEvent&)> changed;
  /// The copy is complete for the first time.
  std::function<void()> synchronized;
  /// The store became reachable (true) or unreachable (false) for this mirror.
  std::function<void(bool)> reachable;
  /// Optional. The copy was compared with all keys of the store.
  std::function<void(const std::map<std::string, KeyValue>& items)> listed = nullptr;
  /// Optional. True while what the keys say also arrives in another way, so that fewer calls do.
  /// Load pattern: 80 processes that watch keys which change 20 times a second.
  std::function<bool()> relaxed = nullptr;
  /// Optional. False while nobody needs the copy; the mirror then makes no calls, and reads all
  /// keys again afterwards. Load pattern: 300 processes start within a second, and each
  /// registration wakes the watches of all others.
  std::function<bool()> wanted = nullptr;
  /// Optional. Longest pause after failed calls, instead of kMaxRetryDelay.
  /// Load pattern: the store is down, and 300 processes go on asking for it.
  std::function<Duration()> max_retry_delay = nullptr;
};

/// Local copy of all keys with a prefix, kept up to date by list and watch. Not thread-safe.
class StoreMirror {
 public:
  /// Pause after a failed call; doubled up to kMaxRetryDelay and jittered, so that a fleet does not
  /// return to the store at the same moment.
  static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
  /// A list without an answer for this time may be lost; covers the way to another region and back.
  static constexpr Duration kListPatience = std::chrono::milliseconds(100);
  /// A mirror that makes no calls looks this often whether that is still so.
  static constexpr Duration kRelaxedCheck = std::chrono::milliseconds(250);

  StoreMirror(const CoordinationStore& store, StoreMirrorOptions options, StoreMirrorHooks hooks,
              const Clock& clock, Scheduler& scheduler, RandomSource random);

  /// The mirror makes calls from now on, if it is wanted.
  void Start();
  /// Looks at once whether calls are wanted again, if the mirror makes none at present.
  void Wake();
  /// The store is known to answer now: asks for the first list again if it has not arrived, without
  /// waiting for the end of earlier calls.
  /// Load pattern: all processes restart just before the end of an outage of the store.
  void Hurry();

  const std::map<std::string, KeyValue>& Items() const { return this->items; }
  bool Synchronized() const { return this->synchronized; }
  bool Reachable() const { return this->reachable; }
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
  void Later(Duration delay, void (StoreMirror::*step)());

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
  std::uint64_t pause = 0;  ///< Number of the present pause without calls; 0: there is none.
  std::uint64_t next_pause = 1;
  std::uint64_t list_number = 0;  ///< Of the last list that was asked for.
  std::uint64_t lists_ended = 0;  ///< Answers to lists up to this number are too late.
  std::size_t lists_under_way = 0;
  TimePoint list_started;
  TimePoint last_success;
  TimePoint watch_started;
  Duration retry_delay = kMinRetryDelay;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the mirror.
};

}  // namespace sycamoredrum
