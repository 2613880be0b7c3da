#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// A request that waits for a connection.
struct QueueEntry {
  std::uint64_t id = 0;  ///< Chosen by the owner of the queue; unique among waiting entries.
  std::string caller_group;
  int weight = 1;  ///< Share of the caller group; values below 1 count as 1.
  TimePoint deadline;
  std::string organisation = {};  ///< Organisation within the caller group; may be empty.
  int organisation_weight = 1;    ///< Share of the organisation; values below 1 count as 1.
  /// The entry is served for no particular organisation, in a turn of its own.
  bool any_organisation = false;
};

/// Identifies entries that are served in the order of their arrival.
struct QueueTurn {
  std::string caller_group;
  std::string organisation;
  bool any_organisation = false;
};

/// Answer to FairQueue::Push.
struct QueueVerdict {
  bool accepted = false;
  bool deadline_missed = false;  ///< Refused because the entry would wait beyond its deadline.
  Duration retry_after{};        ///< Refused: when another attempt is likely to succeed.
  std::optional<std::uint64_t> displaced;  ///< Id of the entry that was removed to make room.
};

/// Bounded queue that serves caller groups by deficit round robin, and the organisations within a
/// group in the same way: in each round, as many entries of a group are served as its weight, and
/// in each round of a group, as many entries of an organisation as its weight. Not thread-safe.
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

  /// True if entries of an organisation may be served now.
  using OrganisationFilter =
      std::function<bool(const std::string& organisation, bool any_organisation)>;

  explicit FairQueue(const Clock& clock, std::size_t max_entries = kDefaultMaxEntries);

  /// Adds an entry unless its estimated wait ends after its deadline. If the queue is full, the
  /// newest entry of the organisation with the most entries relative to its weight is removed, from
  /// the group in which it has the most relative to the group's weight. If that is the organisation
  /// of the new entry, the group with most of its entries relative to its weight makes room, unless
  /// that is the group of the new entry. An entry that would be served next is refused only if its
  /// deadline has passed.
  QueueVerdict Push(const QueueEntry& entry);

  /// Returns whose entry is served next among the groups and organisations that pass the filters. A
  /// group that does not pass goes to the end of the rotation. An organisation that does not pass
  /// keeps its place, so that it is served as soon as it passes.
  std::optional<QueueTurn> Next(const GroupFilter& group_filter,
                                const OrganisationFilter& organisation_filter);

  /// As Next, but leaves the rotation unchanged.
  std::optional<QueueTurn> Peek(const GroupFilter& group_filter,
                                const OrganisationFilter& organisation_filter) const;

  /// Counts one entry of the turn as served without removing it.
  void Charge(const QueueTurn& turn);

  /// Removes and returns the next entry of a turn that has been charged, if there is one.
  std::optional<QueueEntry> TakeCharged(const QueueTurn& turn);

  /// Removes and returns the next entry of any organisation among the groups that pass `filter`.
  std::optional<QueueEntry> Pop(const GroupFilter& filter);

  /// Removes an entry. Returns false if it is not in the queue.
  bool Remove(const QueueTurn& turn, std::uint64_t id);

  /// Adds one measured time for which a served entry occupied a connection.
  void RecordServiceTime(Duration measured);

  /// Sets the number of entries that are served at the same time; used to estimate waits.
  void SetParallelism(int connections);

  /// Expected time until `entry` would be served if it were added. Zero until a service time has
  /// been measured. Does not include the time to open connections.
  Duration EstimateWait(const QueueEntry& entry) const;

  /// True if a group other than `caller_group` has entries.
  bool OthersWait(const std::string& caller_group) const;

  /// True if an organisation other than `organisation` has entries in a group that passes `filter`.
  /// Entries for any organisation do not count.
  bool OtherOrganisationsWait(const std::string& organisation, const GroupFilter& filter) const;
  bool OtherOrganisationsWait(const std::string& organisation) const;

  bool SeveralOrganisationsWait() const { return this->organisations.size() > 1; }

  std::size_t Size() const { return this->size; }
  /// Number of entries of an organisation, without those for any organisation.
  std::size_t Size(const std::string& organisation) const;
  /// Number of entries for any organisation.
  std::size_t SizeForAny() const { return this->size_for_any; }

 private:
  /// Name of the organisation, and whether the entries are for any organisation.
  using OrganisationKey = std::pair<std::string, bool>;
  struct Organisation {
    int weight = 1;
    int deficit = 0;  ///< Entries that may still be served in this round of the group.
    std::deque<QueueEntry> entries;
    std::list<const OrganisationKey*>::iterator position;  ///< In the rotation of the group.
  };
  struct Group {
    int weight = 1;
    int deficit = 0;  ///< Entries of the group that may still be served in this round.
    std::size_t size = 0;
    std::map<OrganisationKey, Organisation> organisations;  ///< Only those with entries.
    std::list<const OrganisationKey*> rotation;             ///< In order of service.
    std::list<std::string>::iterator position;              ///< In the rotation of the queue.
  };
  struct Total {
    std::size_t entries = 0;
    int weight = 1;
  };

  static std::optional<QueueTurn> TurnIn(const std::string& name, const Group& group,
                                         const OrganisationFilter& filter);
  /// Number of entries that count for the organisation in displacement; those for any organisation
  /// count for the empty one.
  static std::size_t Load(const Group& group, const std::string& organisation);
  void ChargeIn(Group& group, Organisation& organisation);
  std::size_t EntriesAhead(const QueueEntry& entry) const;
  std::optional<std::uint64_t> MakeRoom(const QueueEntry& entry);
  /// The organisation with the most entries relative to its weight; empty if there is none.
  std::string MostLoadedOrganisation() const;
  std::uint64_t DisplaceNewest(const std::string& caller_group, const std::string& organisation);
  void CountRemoved(const std::string& caller_group, const OrganisationKey& key);

  const Clock& clock;
  std::size_t max_entries;
  std::size_t size = 0;
  std::size_t size_for_any = 0;
  int parallelism = 1;
  Duration service_time{};              ///< Moving average; zero: not measured.
  std::map<std::string, Group> groups;  ///< Only groups with entries.
  std::list<std::string> rotation;      ///< Each group with entries once, in order of service.
  std::map<std::string, Total> organisations;  ///< Over all groups; only those with entries.
};

}  // namespace sycamoredrum
