#pragma once

#include <cstddef>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Idle timeout of connections to a server whose cap is large enough for all processes.
inline constexpr Duration kMaxIdleTimeout = std::chrono::seconds(10);
/// Shortest idle timeout. It covers the pauses of a caller that sends its statements one after the
/// other.
inline constexpr Duration kMinIdleTimeout = std::chrono::milliseconds(200);

/// Idle timeout of the connections from one of `processes` processes to a server that admits `cap`
/// connections. `lease_rate` is the number of connections to the server that the process leases per
/// second.
///
/// If the cap allows fewer than kMinShare connections for each process, the timeout depends on
/// the rate: a process whose connections are kept for share / lease_rate seconds after each use has
/// at most `share` connections open on average, where `share` is its part of the cap. The
/// connections of all processes together then stay below the cap, and busy processes reuse theirs
/// as often as that allows. An example is 295 processes, each with a statement for the server every
/// few seconds, and a cap of 173.
Duration IdleConnectionTimeout(int cap, std::size_t processes, double lease_rate);

}  // namespace sycamoredrum
