#pragma once

#include <cstddef>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Connections to a server are closed after this time without use if there are enough of them.
inline constexpr Duration kUnusedLimit = std::chrono::seconds(10);
/// Shortest time for which an unused connection is kept; covers the pauses of a caller that sends
/// its statements one after the other.
inline constexpr Duration kLeastUnusedLimit = std::chrono::milliseconds(200);

/// Time after which one of `processes` processes closes an unused connection to a server that
/// admits `cap` connections, if it leases `lease_rate` connections to it in a second.
///
/// With fewer than two connections for each process, the processes take turns: a connection that is
/// kept for share / rate after each use is open for at most that share of the time, so that the
/// connections of all processes stay below the cap, and the busy ones reuse theirs as often as that
/// allows.
/// Load pattern: 295 processes, each with a statement for a server every few seconds, and a server
/// that admits 173 connections.
Duration IdleConnectionLimit(int cap, std::size_t processes, double lease_rate);

}  // namespace sycamoredrum
