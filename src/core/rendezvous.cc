#include "sycamoredrum/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sycamoredrum {

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          const std::vector<std::string>& candidates) {
  return TopByRendezvous(key, candidates, candidates.size());
}

std::vector<std::string> TopByRendezvous(std::string_view key,
                                         const std::vector<std::string>& candidates,
                                         std::size_t count) {
  using Weighted = std::pair<std::uint64_t, const std::string*>;
  const std::uint64_t key_hash = XXH3_64bits(key.data(), key.size());
  std::vector<Weighted> weighted;
  weighted.reserve(candidates.size());
  for (const std::string& candidate : candidates) {
    weighted.emplace_back(XXH3_64bits_withSeed(candidate.data(), candidate.size(), key_hash),
                          &candidate);
  }
  const auto ranks_higher = [](const Weighted& a, const Weighted& b) {
    return a.first != b.first ? a.first > b.first : *a.second > *b.second;
  };
  const std::size_t kept = std::min(count, weighted.size());
  const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(weighted.begin(), middle, weighted.end(), ranks_higher);
  std::vector<std::string> top;
  top.reserve(kept);
  for (auto entry = weighted.begin(); entry != middle; ++entry) {
    top.push_back(*entry->second);
  }
  return top;
}

}  // namespace sycamoredrum
