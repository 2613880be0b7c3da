#pragma once

#include <map>
#include <string>

namespace sycamoredrum {

/// Part of a backend server's connection cap that is given out. A process that loses power leaves
/// its connections open until the server notices, and its successor needs others meanwhile.
inline constexpr double kSharedPartOfCap = 0.85;

/// Splits the connections of one backend server between processes. Each gets one, as far as they
/// suffice, and the rest follows the demand: the mean number of statements that run or wait there.
/// Load pattern: one process of a small data centre takes as many callers as several of a large
/// one.
std::map<std::string, int> ShareConnections(int cap, const std::map<std::string, double>& demand);

}  // namespace sycamoredrum
