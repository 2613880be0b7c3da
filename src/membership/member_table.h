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

/// What this process believes of the other members, and the rules by which news replaces beliefs:
/// a higher incarnation wins, then the later of alive, suspect, leaving, dead. Of two members with
/// the same datagram endpoint only the one with the higher incarnation lives.
class MemberTable {
 public:
  enum class Change {
    kNone,   ///< The news is what is known already, or older.
    kStale,  ///< The news says that a member lives that is known to be dead.
    kAdded,
    kUpdated,
  };

  struct Entry {
    Member member;
    TimePoint dead_since{};  ///< For dead members.
    TimePoint noticed_at{};  ///< When the member was last told that it is believed dead.
  };

  explicit MemberTable(const Clock& clock) : clock(clock) {}

  /// Takes news. Ids of members whose state changed, the record's own or one at the same endpoint,
  /// are added to `changed`.
  Change Merge(const MemberRecord& record, std::vector<std::string>& changed);

  /// Sets the state of a known member at its present incarnation.
  void SetState(const std::string& id, MemberState state);

  Entry* Find(const std::string& id);
  const Entry* Find(const std::string& id) const;
  const std::map<std::string, Entry>& Entries() const { return this->entries; }

  /// The record as it is sent to others, or nothing if the member is unknown.
  std::optional<MemberRecord> RecordOf(const std::string& id) const;

  /// Ids of the members that are not dead.
  std::vector<std::string> NotDead() const;
  std::size_t CountNotDead() const { return this->by_endpoint.size(); }
  /// Ids of the dead members whose endpoint no other member has taken.
  std::vector<std::string> DeadWithFreeEndpoint() const;
  /// The member at `endpoint` that is not dead, or nullptr.
  const Member* AtEndpoint(const Endpoint& endpoint) const;

  /// Drops dead members that are older than Membership::kDeadRetention.
  void DropOldDead();
  void Clear();

  /// Hashes of the members that are not dead, with `self`, one for each bucket of ids.
  std::vector<std::uint64_t> BucketHashes(const Member& self) const;
  static std::size_t BucketOf(const std::string& id);
  static constexpr std::size_t kBuckets = 64;

 private:
  bool YieldsEndpoint(const Member& member, std::vector<std::string>& changed);
  void Store(const MemberRecord& record);

  const Clock& clock;
  std::map<std::string, Entry> entries;
  std::map<Endpoint, std::string> by_endpoint;  ///< Members that are not dead.
};

}  // namespace sycamoredrum
