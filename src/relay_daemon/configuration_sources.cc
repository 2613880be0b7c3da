#include "configuration_sources.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {

ConfigurationSources::ConfigurationSources(std::string leader, const Clock& clock,
                                           RandomSource random)
    : leader(std::move(leader)), clock(clock), random(std::move(random)) {}

void ConfigurationSources::SetVersion(std::uint64_t new_version) {
  this->version = new_version;
  this->sources.clear();
  this->by_data_centre.clear();
  this->all.clear();
  this->transfers.clear();
  this->receivers.clear();
}

void ConfigurationSources::OnReport(const std::string& member, const std::string& data_centre,
                                    std::uint64_t reported) {
  if (reported < this->version) {
    this->RemoveSource(member);  // The process has started again.
    return;
  }
  this->EndTransfer(member);
  if (member != this->leader && this->sources.emplace(member, data_centre).second) {
    this->by_data_centre[data_centre].push_back(member);
    this->all.push_back(member);
  }
}

std::optional<std::string> ConfigurationSources::Choose(const std::string& member,
                                                        const std::string& data_centre) {
  const auto present = this->transfers.find(member);
  if (present != this->transfers.end()) {
    if (this->clock.Now() < present->second.ends) {
      return std::nullopt;
    }
    this->EndTransfer(member);
  }
  std::optional<std::string> source = this->Sample(this->by_data_centre[data_centre]);
  if (!source) {
    source = this->Sample(this->all);
  }
  if (!source && this->HasCapacity(this->leader)) {
    source = this->leader;
  }
  if (source) {
    this->transfers[member] = Transfer{*source, this->clock.Now() + kTransferTimeout};
    this->receivers[*source].insert(member);
  }
  return source;
}

std::optional<std::string> ConfigurationSources::Sample(const std::vector<std::string>& members) {
  for (int i = 0; i < kSamples && !members.empty(); ++i) {
    const std::string& candidate = members[this->random() % members.size()];
    if (this->HasCapacity(candidate)) {
      return candidate;
    }
  }
  return std::nullopt;
}

bool ConfigurationSources::HasCapacity(const std::string& source) {
  const auto found = this->receivers.find(source);
  if (found == this->receivers.end() || found->second.size() < kMaxTransfers) {
    return true;
  }
  const std::set<std::string> served = found->second;
  for (const std::string& receiver : served) {
    if (this->clock.Now() >= this->transfers.at(receiver).ends) {
      this->EndTransfer(receiver);
    }
  }
  return this->receivers[source].size() < kMaxTransfers;
}

void ConfigurationSources::EndTransfer(const std::string& receiver) {
  const auto found = this->transfers.find(receiver);
  if (found != this->transfers.end()) {
    this->receivers[found->second.source].erase(receiver);
    this->transfers.erase(found);
  }
}

void ConfigurationSources::Remove(const std::string& member) {
  this->EndTransfer(member);
  this->RemoveSource(member);
}

void ConfigurationSources::RemoveSource(const std::string& member) {
  const auto found = this->sources.find(member);
  if (found == this->sources.end()) {
    return;
  }
  const auto erase = [&member](std::vector<std::string>& members) {
    members.erase(std::remove(members.begin(), members.end(), member), members.end());
  };
  erase(this->by_data_centre[found->second]);
  erase(this->all);
  this->sources.erase(found);
}

}  // namespace sycamoredrum
