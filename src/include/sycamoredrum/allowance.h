#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Rate limit of one organisation over the whole fleet, in operations.
struct RateLimit {
  double rate = 0;   ///< Operations per second; positive.
  double burst = 0;  ///< Operations.
};

inline bool operator==(const RateLimit& a, const RateLimit& b) {
  return std::tie(a.rate, a.burst) == std::tie(b.rate, b.burst);
}
inline bool operator!=(const RateLimit& a, const RateLimit& b) { return !(a == b); }

/// Limits of all organisations that have a rate, by name, as of one version of the configuration.
struct RateLimits {
  std::uint64_t version = 0;
  std::map<std::string, RateLimit> organisations;
};

/// Settings of the limit that holds for any window of time.
struct AllowanceOptions {
  Duration window = std::chrono::seconds(5);
  double tolerance = 0.1;
  double slack = 20;  ///< Operations.
};

/// Organisations are divided into groups by a hash of their names. Each group has parts, each of
/// which one relay holds. A slot is one part of one group.
inline constexpr int kAllowanceGroups = 8;
inline constexpr int kAllowanceParts = 3;
inline constexpr int kAllowanceSlots = kAllowanceGroups * kAllowanceParts;

/// A token admits one operation for this time from the sending of the request for it, by the clock
/// of the requester.
inline constexpr Duration kTokenValidity = std::chrono::seconds(1);
/// Validity of a holder's lease, from the sending of the heartbeat that renewed it.
inline constexpr Duration kHolderValidity = std::chrono::seconds(6);

inline constexpr int SlotOf(int group, int part) { return group * kAllowanceParts + part; }
inline constexpr int GroupOfSlot(int slot) { return slot / kAllowanceParts; }
inline constexpr int PartOfSlot(int slot) { return slot % kAllowanceParts; }

/// Group of an organisation; the same in all processes.
int AllowanceGroupOf(const std::string& organisation);

/// Greatest number of operations that may run in any window of `options.window`.
double OperationsPerWindow(const RateLimit& limit, const AllowanceOptions& options);

/// Rate and capacity of the token bucket of one part.
struct BucketShape {
  double rate = 0;      ///< Tokens per second.
  double capacity = 0;  ///< Tokens.
};

/// Shape of the bucket of `part`, 0 to kAllowanceParts - 1.
///
/// Invariant: for all windows, the operations that run are at most OperationsPerWindow().
/// An operation that runs at `a` uses a token that was requested after `a` - kTokenValidity, hence
/// granted in (`a` - kTokenValidity, `a`]. The operations of a window W are therefore at most the
/// tokens granted in W + kTokenValidity. A bucket with rate r and capacity c, which starts empty
/// with each holder, grants at most c + r T in any time T, also across a change of its holder,
/// because the next holder starts after the lease of the former one. With C and R as the sums of c
/// and r over the parts, C + R (W + kTokenValidity) <= OperationsPerWindow() is sufficient.
///
/// R is the rate of the organisation if C then has at least kMinCapacityTime of it and one token
/// for each part; otherwise C has this size and R is lowered. A limit that is too low for one token
/// in each part is held by fewer parts.
BucketShape ShapeOfPart(const RateLimit& limit, const AllowanceOptions& options, int part);

}  // namespace sycamoredrum
