#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership_message.h"

namespace sycamoredrum {

/// Members whose records are sent along with other messages (gossip), each a bounded number of
/// times.
class UpdateQueue {
 public:
  /// Queues the record of a member and resets its count of transmissions.
  void Add(const std::string& id) { this->transmissions[id] = 0; }
  void Clear() { this->transmissions.clear(); }
  std::size_t Size() const { return this->transmissions.size(); }

  /// Appends queued records to `updates` while they fit in `space` bytes, the least transmitted
  /// first, and counts the transmissions. `record_of` returns the current record of a member.
  /// Members that are already in `updates` are skipped. A member leaves the queue after
  /// TransmissionLimit(member_count) transmissions.
  void Take(std::size_t space, std::size_t member_count,
            const std::function<std::optional<MemberRecord>(const std::string&)>& record_of,
            std::vector<MemberRecord>& updates);

  /// How often one record is sent in a fleet of `member_count`. Grows with its logarithm.
  static std::size_t TransmissionLimit(std::size_t member_count);

 private:
  std::map<std::string, std::size_t> transmissions;  ///< Number of transmissions by member id.
};

}  // namespace sycamoredrum
