#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/allowance.h"

namespace sycamoredrum {

/// Tokens wanted for one organisation.
struct TokenRequest {
  int needed = 0;  ///< Operations that wait for a token.
  int ahead = 0;   ///< Further tokens for operations that are expected.
};

struct TokenAnswer {
  int granted = 0;
  Duration retry_after{};  ///< If `granted` is less than `needed`: when to request tokens again.
};

/// Token bucket of one organisation in one part. Starts empty.
class AllowanceBucket {
 public:
  /// The requesters of an organisation at its limit send up to this number of requests per second
  /// to one holder. A request takes about 0.1 ms of CPU time.
  static constexpr double kMaxRequestsPerSecond = 200;
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

  AllowanceBucket(BucketShape shape, TimePoint now) : shape(shape), filled_at(now) {}

  /// Changes rate and capacity. The content is cut to the capacity and never raised.
  void SetShape(const BucketShape& new_shape, TimePoint now);
  /// Grants the needed tokens as far as there are any. Tokens for later operations are granted from
  /// at most half of the rest, so that one requester does not take all of them.
  TokenAnswer Take(const std::string& requester, const TokenRequest& request, TimePoint now);
  double Content(TimePoint now);

 private:
  void Fill(TimePoint now);
  Duration RetryAfter(const std::string& requester, TimePoint now);

  BucketShape shape;
  double content = 0;
  TimePoint filled_at;
  /// Requesters that got too few tokens, in the present and the last second.
  std::set<std::string> short_now;
  std::set<std::string> short_before;
  TimePoint short_since;
};

/// Request for tokens of one part.
struct AllowanceRequest {
  int slot = 0;
  std::uint64_t generation = 0;
  std::map<std::string, TokenRequest> wanted;  ///< By organisation.
};

/// Answer to an AllowanceRequest. Organisations that the holder has no limit for are left out.
struct AllowanceAnswer {
  bool holds = false;  ///< False: the answering relay does not hold the part in this generation.
  std::map<std::string, TokenAnswer> granted;
};

/// Slots that changed, for the log.
struct SlotChanges {
  std::vector<int> acquired;
  std::vector<int> lost;
};

/// The parts that this relay holds, with their buckets. Not thread-safe. The clock must advance
/// while the VM is suspended.
class AllowanceHolder {
 public:
  AllowanceHolder(AllowanceOptions options, const Clock& clock) : options(options), clock(clock) {}

  /// Sets the limits; ignores a version below the present one.
  void SetLimits(const RateLimits& new_limits);
  /// Replaces the held parts, given as generations by slot. The buckets of a part that was not held
  /// in this generation until now start empty.
  SlotChanges SetLeases(const std::map<int, std::uint64_t>& leases, TimePoint until);
  /// Drops the parts whose lease has expired. Requests are checked against the lease in any case.
  SlotChanges Expire();
  SlotChanges DropAll() { return this->SetLeases({}, this->clock.Now()); }

  AllowanceAnswer Grant(const std::string& requester, const AllowanceRequest& request);
  /// Generations of the held parts, by slot.
  std::map<int, std::uint64_t> Held() const;
  std::uint64_t Version() const { return this->limits.version; }

 private:
  struct Part {
    std::uint64_t generation = 0;
    TimePoint until;
    std::map<std::string, AllowanceBucket> buckets;
  };

  void UpdateBuckets(int slot, Part& part);

  const AllowanceOptions options;
  const Clock& clock;
  RateLimits limits;
  std::map<int, Part> parts;
};

}  // namespace sycamoredrum
