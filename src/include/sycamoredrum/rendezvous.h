#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoredrum {

/// Orders `candidates` by rendezvous (highest random weight) hashing for `key`, best first. Every
/// process computes the same order from the same candidates, and removing one candidate moves no
/// other.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          const std::vector<std::string>& candidates);

/// The first `count` entries of that order, or all if there are fewer. Costs one hash for each
/// candidate and no copy of those that are not returned.
std::vector<std::string> TopByRendezvous(std::string_view key,
                                         const std::vector<std::string>& candidates,
                                         std::size_t count);

}  // namespace sycamoredrum
