#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership_message.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/membership.h"

namespace sycamoredrum {

/// The latest known record of every other member, and the rules by which a received record replaces
/// it: the higher incarnation wins, then the later state in the order alive, suspect, leaving,
/// dead. Of two members with the same datagram endpoint, the one with the lower incarnation is
/// dead.
class MemberTable {
 public:
  enum class Change {
    kNone,   ///< The record equals the known one or is older.
    kStale,  ///< The record says that a member is not dead, but its death is known.
    kAdded,
    kUpdated,
  };

  struct Entry {
    Member member;
    TimePoint dead_since{};         ///< Set for dead members only.
    TimePoint death_notified_at{};  ///< When the member was last notified of its own death record.
  };

  explicit MemberTable(const Clock& clock) : clock(clock) {}

  /// Merges a received record. Appends the ids of the members whose record changed to `changed`:
  /// the member of `record`, and another member that loses the same endpoint to it.
  Change Merge(const MemberRecord& record, std::vector<std::string>& changed);

  /// Sets the state of a member and keeps its incarnation. Does nothing if the member is unknown.
  void SetState(const std::string& id, MemberState state);

  Entry* Find(const std::string& id);
  const Entry* Find(const std::string& id) const;
  const std::map<std::string, Entry>& Entries() const { return this->entries; }

  /// The record as it is sent to others, or nothing if the member is unknown.
  std::optional<MemberRecord> RecordOf(const std::string& id) const;

  /// Ids of the members that are not dead.
  std::vector<std::string> NotDead() const;
  std::size_t CountNotDead() const { return this->by_endpoint.size(); }
  /// Ids of the dead members whose endpoint is not used by a member that is not dead.
  std::vector<std::string> DeadWithFreeEndpoint() const;
  /// The member at `endpoint` that is not dead, or nullptr.
  const Member* AtEndpoint(const Endpoint& endpoint) const;

  /// Removes the members that have been dead for Membership::kDeadRetention or longer.
  void DropExpiredDeadMembers();
  void Clear();

  /// One hash for each bucket of ids, over `self` and the members that are not dead. Suspicions do
  /// not affect it.
  std::vector<std::uint64_t> BucketHashes(const Member& self) const;
  static std::size_t BucketOf(const std::string& id);
  static constexpr std::size_t kBuckets = 64;

 private:
  bool LosesEndpointConflict(const Member& member, std::vector<std::string>& changed);
  void Store(const MemberRecord& record);

  const Clock& clock;
  std::map<std::string, Entry> entries;
  std::map<Endpoint, std::string> by_endpoint;  ///< Ids of the members that are not dead.
};

}  // namespace sycamoredrum
