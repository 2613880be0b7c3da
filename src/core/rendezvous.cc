#include "sycamoredrum/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sycamoredrum {

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates) {
  const std::uint64_t key_hash = XXH3_64bits(key.data(), key.size());
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(candidates.size());
  for (std::string& candidate : candidates) {
    const std::uint64_t weight = XXH3_64bits_withSeed(candidate.data(), candidate.size(), key_hash);
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) { return a > b; });
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& entry : weighted) {
    ranked.push_back(std::move(entry.second));
  }
  return ranked;
}

}  // namespace sycamoredrum
