#include "holder_list.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace sycamoredrum {
namespace {

std::uint64_t VersionOf(const std::vector<ConnectionHolder>& holders) {
  if (holders.empty()) {
    return 0;
  }
  std::string text;
  for (const ConnectionHolder& holder : holders) {
    absl::StrAppend(&text, holder.member, "\n", holder.data_centre, "\n",
                    holder.endpoint.ToString(), "\n", holder.processor_share, "\n");
  }
  return std::max<std::uint64_t>(std::hash<std::string>()(text), 1);
}

}  // namespace

void HolderList::OnHeartbeat(std::uint64_t leader_epoch, const HeartbeatMessage& message,
                             TimePoint now) {
  if (this->epoch != leader_epoch) {
    *this = HolderList();
    this->epoch = leader_epoch;
    this->began = now;
  }
  if (message.processor_share) {
    this->shares[message.member] = *message.processor_share;
  }
}

bool HolderList::RefreshDue(TimePoint now) const {
  return now - this->began >= kSettleTime &&
         (!this->refreshed || now - *this->refreshed >= kRefreshInterval);
}

void HolderList::Refresh(const Fleet& fleet, TimePoint now) {
  this->refreshed = now;
  this->holders.clear();
  const bool applies = std::any_of(
      fleet.connection_caps.begin(), fleet.connection_caps.end(),
      [&fleet](const auto& cap) { return ForwardingApplies(cap.second, fleet.members.size()); });
  if (applies) {
    std::vector<ConnectionHolder> candidates;
    for (const auto& [name, record] : fleet.members) {
      const auto share = this->shares.find(name);
      if (share != this->shares.end() && fleet.silent.count(name) == 0) {
        candidates.push_back(
            ConnectionHolder{name, record.data_centre, record.endpoint, share->second});
      }
    }
    this->holders = ChooseConnectionHolders(candidates, fleet.data_centres);
  }
  this->version = VersionOf(this->holders);
}

void HolderList::AddTo(HeartbeatAnswer& answer, std::uint64_t known_version) const {
  if (this->refreshed && this->version != known_version) {
    answer.holders = this->holders;
    answer.holders_version = this->version;
  }
}

}  // namespace sycamoredrum
