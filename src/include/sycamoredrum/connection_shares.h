#pragma once

#include <map>
#include <optional>
#include <string>

namespace sycamoredrum {

/// Part of a backend server's connection cap that is given out. A process that loses power leaves
/// its connections open until the server notices, and its successor needs others meanwhile.
inline constexpr double kSharedPartOfCap = 0.85;

/// Share that every process gets, even if the shares then exceed the cap. With many processes each
/// needs a connection only now and then, and closes it soon; the server refuses the few too many.
inline constexpr int kLeastShare = 2;

/// Splits the connections of one backend server between processes by their demand, the mean number
/// of statements that run or wait there. A process whose demand is not known counts as the mean of
/// the others.
/// Load patterns: one process of a small data centre takes as many callers as several of a large
/// one; all processes restart, and the first ones to report would get the shares of the others.
std::map<std::string, int> ShareConnections(
    int cap, const std::map<std::string, std::optional<double>>& demand);

}  // namespace sycamoredrum
