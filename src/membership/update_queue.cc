#include "update_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr std::size_t kTransmissionFactor = 4;

bool Contains(const std::vector<MemberRecord>& records, const std::string& id) {
  return std::any_of(records.begin(), records.end(),
                     [&id](const MemberRecord& record) { return record.member.id == id; });
}

}  // namespace

std::size_t UpdateQueue::TransmissionLimit(std::size_t member_count) {
  const double digits = std::ceil(std::log10(static_cast<double>(member_count + 1)));
  return kTransmissionFactor * std::max<std::size_t>(1, static_cast<std::size_t>(digits));
}

void UpdateQueue::Take(
    std::size_t space, std::size_t member_count,
    const std::function<std::optional<MemberRecord>(const std::string&)>& record_of,
    std::vector<MemberRecord>& updates) {
  std::vector<std::pair<std::size_t, std::string>> ordered;
  ordered.reserve(this->transmissions.size());
  for (const auto& [id, count] : this->transmissions) {
    ordered.emplace_back(count, id);
  }
  std::sort(ordered.begin(), ordered.end());
  const std::size_t limit = TransmissionLimit(member_count);
  for (const auto& [count, id] : ordered) {
    const std::optional<MemberRecord> record = record_of(id);
    if (!record || count >= limit) {
      this->transmissions.erase(id);
      continue;
    }
    const std::size_t size = MembershipCodec::EncodedSize(*record);
    if (size > space) {
      break;
    }
    if (!Contains(updates, id)) {
      updates.push_back(*record);
      space -= size;
      ++this->transmissions[id];
    }
  }
}

}  // namespace sycamoredrum
