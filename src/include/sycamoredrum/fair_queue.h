#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// A request that waits for a connection.
struct QueueEntry {
  std::uint64_t id = 0;  ///< Chosen by the owner of the queue; unique among waiting entries.
  std::string caller_group;
  int weight = 1;  ///< Share of the caller group; values below 1 count as 1.
  TimePoint deadline;
};

/// Answer to FairQueue::Push.
struct QueueVerdict {
  bool accepted = false;
  bool deadline_missed = false;  ///< Refused because the entry would wait beyond its deadline.
  Duration retry_after{};        ///< Refused: when another attempt is likely to succeed.
  std::optional<std::uint64_t> displaced;  ///< Id of the entry that was removed to make room.
};

/// Bounded queue that serves caller groups by deficit round robin: in each round, as many entries
/// of a group are served as its weight. Not thread-safe.
class FairQueue {
 public:
  static constexpr std::size_t kDefaultMaxEntries = 1024;
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

  /// Upper bound of a service time sample. One interactive transaction can hold its connection for
  /// a minute; uncapped, it would raise the estimated wait so much that entries are refused which
  /// would be served in time.
  static constexpr Duration kMaxServiceTimeSample = std::chrono::seconds(1);

  /// True if entries of a caller group may be served now.
  using GroupFilter = std::function<bool(const std::string& caller_group)>;

  explicit FairQueue(const Clock& clock, std::size_t max_entries = kDefaultMaxEntries);

  /// Adds an entry unless its estimated wait ends after its deadline. If the queue is full, the
  /// newest entry of the group with the most entries relative to its weight is removed, unless that
  /// is the group of the new entry. An entry that would be served next is refused only if its
  /// deadline has passed.
  QueueVerdict Push(const QueueEntry& entry);

  /// Removes and returns the next entry among the groups that pass `filter`.
  std::optional<QueueEntry> Pop(const GroupFilter& filter);

  /// Removes an entry. Returns false if it is not in the queue.
  bool Remove(const std::string& caller_group, std::uint64_t id);

  /// Adds one measured time for which a served entry occupied a connection.
  void RecordServiceTime(Duration measured);

  /// Sets the number of entries that are served at the same time; used to estimate waits.
  void SetParallelism(int connections);

  /// Expected time until a new entry of the group would be served. Zero until a service time has
  /// been measured.
  Duration EstimateWait(const std::string& caller_group, int weight) const;

  /// True if a group other than `caller_group` has entries.
  bool OthersWait(const std::string& caller_group) const;

  std::size_t Size() const { return this->size; }

 private:
  struct Group {
    int weight = 1;
    int deficit = 0;  ///< Entries of the group that may still be served in this round.
    std::deque<QueueEntry> entries;
  };

  std::size_t EntriesAhead(const std::string& caller_group, int weight) const;
  std::optional<std::uint64_t> MakeRoom(const QueueEntry& entry);
  void EraseIfEmpty(const std::string& caller_group);

  const Clock& clock;
  std::size_t max_entries;
  std::size_t size = 0;
  int parallelism = 1;
  Duration service_time{};              ///< Moving average; zero: not measured.
  std::map<std::string, Group> groups;  ///< Only groups with entries.
  std::deque<std::string> rotation;     ///< Each group with entries once, in order of service.
};

}  // namespace sycamoredrum
