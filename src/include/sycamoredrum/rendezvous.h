#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sycamoredrum {

/// Orders `candidates` by rendezvous (highest random weight) hashing for `key`, highest weight
/// first. Every process computes the same order from the same candidates, and removing one
/// candidate does not change the order of the others.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          const std::vector<std::string>& candidates);

/// The first `count` entries of the order of RankByRendezvous, or all if there are fewer. Computes
/// one hash for each candidate and copies only those that are returned.
std::vector<std::string> TopByRendezvous(std::string_view key,
                                         const std::vector<std::string>& candidates,
                                         std::size_t count);

}  // namespace sycamoredrum
