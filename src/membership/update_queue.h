#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership_message.h"

namespace sycamoredrum {

/// Members whose news is passed on with other messages, each a bounded number of times.
class UpdateQueue {
 public:
  /// Queues the news of a member, with all its transmissions ahead.
  void Add(const std::string& id) { this->transmissions[id] = 0; }
  void Clear() { this->transmissions.clear(); }
  std::size_t Size() const { return this->transmissions.size(); }

  /// Appends news to `updates` while it fits in `space` bytes, the least transmitted first, and
  /// counts the transmissions. `record_of` returns the present record of a member. Members in
  /// `updates` are skipped. Each news is sent a number of times that grows with the logarithm of
  /// `member_count`.
  void Take(std::size_t space, std::size_t member_count,
            const std::function<std::optional<MemberRecord>(const std::string&)>& record_of,
            std::vector<MemberRecord>& updates);

  /// Transmissions of one news in a fleet of `member_count`.
  static std::size_t TransmissionLimit(std::size_t member_count);

 private:
  std::map<std::string, std::size_t> transmissions;
};

}  // namespace sycamoredrum
