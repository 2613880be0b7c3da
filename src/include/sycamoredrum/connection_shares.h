#pragma once

#include <map>
#include <optional>
#include <string>

namespace sycamoredrum {

/// Fraction of a backend server's connection cap that is divided among the processes. The rest is a
/// reserve: the connections of a process that loses power count against the cap until the server
/// notices, while the process that replaces it already opens its own.
inline constexpr double kSharedPartOfCap = 0.85;

/// Minimum share of every process, even if the shares then exceed the cap in total. With that many
/// processes each needs a connection only occasionally and closes it soon, and the server refuses
/// the few connections beyond the cap.
inline constexpr int kMinShare = 2;

/// Splits the connections of one backend server between processes in proportion to their demand,
/// the mean number of statements that run or wait there. Demands differ: the one process of a small
/// data centre serves as many callers as several of a large one. A process whose demand is not
/// known counts with the mean of the others, so that after a restart of all processes the first
/// ones to report do not get everything.
std::map<std::string, int> ShareConnections(
    int cap, const std::map<std::string, std::optional<double>>& demand);

}  // namespace sycamoredrum
