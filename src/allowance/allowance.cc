#include "sycamoredrum/allowance.h"

#include <algorithm>

namespace sycamoredrum {
namespace {

// Smallest capacity of all parts together, as time of the rate. With less, a bucket is full between
// two requests, and the tokens of that time are lost: relays request tokens for 0.25 to 0.5 s.
constexpr double kMinCapacitySeconds = 0.2;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

int AllowanceGroupOf(const std::string& organisation) {
  // FNV-1a; std::hash may differ between builds.
  std::uint64_t hash = 14695981039346656037ULL;
  for (const char c : organisation) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return static_cast<int>((hash ^ (hash >> 32)) % kAllowanceGroups);
}

double OperationsPerWindow(const RateLimit& limit, const AllowanceOptions& options) {
  return (limit.rate * Seconds(options.window) + limit.burst) * (1 + options.tolerance) +
         options.slack;
}

BucketShape ShapeOfPart(const RateLimit& limit, const AllowanceOptions& options, int part) {
  const double granting_time = Seconds(options.window + kTokenValidity);
  const double allowed = OperationsPerWindow(limit, options);
  for (int parts = kAllowanceParts; parts > 0; --parts) {
    const double min_capacity = std::max<double>(parts, limit.rate * kMinCapacitySeconds);
    const double max_capacity = std::max(min_capacity, limit.burst + options.slack);
    const double rate = std::min(limit.rate, (allowed - min_capacity) / granting_time);
    const bool sufficient = rate >= limit.rate / 2 || (parts == 1 && rate >= 0);
    if (sufficient) {
      const double capacity = std::min(max_capacity, allowed - rate * granting_time);
      return part < parts ? BucketShape{rate / parts, capacity / parts} : BucketShape{};
    }
  }
  return BucketShape{};
}

}  // namespace sycamoredrum
