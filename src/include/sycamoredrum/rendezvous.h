#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sycamoredrum {

/// Orders `candidates` by rendezvous (highest random weight) hashing for `key`, best first. Every
/// process computes the same order from the same candidates, and removing one candidate moves no
/// other.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates);

}  // namespace sycamoredrum
