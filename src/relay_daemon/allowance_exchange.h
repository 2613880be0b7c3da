#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet_messages.h"
#include "sycamoredrum/allowance_account.h"
#include "sycamoredrum/allowance_holder.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/relay_configuration.h"

namespace sycamoredrum {

struct AllowanceExchangeHooks {
  /// Sends a request of the kind `allowance` to another member. `done` receives the answer, or
  /// nothing if the member did not answer; it is not called before `call` returns.
  std::function<void(const Endpoint& target, const std::string& body,
                     std::function<void(const std::optional<std::string>&)> done)>
      call;
  /// Another member has a later configuration.
  std::function<void()> request_configuration;
};

/// Limits of the organisations of a configuration that have a rate.
RateLimits RateLimitsOf(const RelayConfiguration& configuration);

/// This process's part in the exchange of allowances: requests tokens for its callers' operations,
/// and grants tokens of the parts that it holds. Sends nothing while no organisation has a rate.
/// Not thread-safe.
class AllowanceExchange {
 public:
  /// Minimum interval between two requests to one holder.
  static constexpr Duration kBatchInterval = std::chrono::milliseconds(5);
  /// Covers opening a link between regions: five round trips of 40 ms.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(400);
  /// Organisations with their own label in the metrics: those with the largest rates at the time
  /// when labels were free. All others are counted as `other`.
  static constexpr std::size_t kMaxLabels = 20;
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  /// Organisations named in one log line.
  static constexpr std::size_t kMaxLoggedNames = 5;

  AllowanceExchange(MemberRecord self, double processor_share, AllowanceOptions options,
                    AllowanceExchangeHooks hooks, const Clock& clock, Scheduler& scheduler,
                    RandomSource random, Logger& logger, Metrics& metrics);

  void SetLimits(const RateLimits& new_limits);
  /// Implements SessionRelayHooks::admit.
  void Admit(const std::string& organisation, TimePoint deadline,
             std::function<void(const AdmissionVerdict&)> done) {
    this->account.Admit(organisation, deadline, std::move(done));
  }
  /// Adds this process's part to a heartbeat.
  void AddTo(HeartbeatMessage& message) const;
  /// Processes the answer to a heartbeat that was sent at `sent`. The caller ensures that no later
  /// leader is known.
  void OnAnswer(const HeartbeatAnswer& answer, TimePoint sent);
  /// Answers a request of another member; nothing if it cannot be read.
  std::optional<std::string> OnRequest(const std::string& member, const std::string& body);
  /// Ends the use of all parts, before the process tells the leader that it stops.
  void Stop();
  /// Must be called about every 50 ms.
  void Tick();

  std::map<int, std::uint64_t> Held() const { return this->holder.Held(); }

 private:
  struct Pending {
    Endpoint endpoint;
    std::map<int, AllowanceRequest> requests;  ///< By slot.
    bool scheduled = false;
    TimePoint last_sent;
  };

  void Request(int slot, const std::string& organisation, const TokenRequest& wanted);
  void SendBatch(const std::string& member);
  void OnBatchAnswer(const std::string& member, const AllowanceBatch& batch,
                     const std::optional<AllowanceBatchAnswer>& answer, TimePoint sent);
  AllowanceBatchAnswer Grant(const std::string& member, const AllowanceBatch& batch);
  void LogChanges(const SlotChanges& changes);
  void LogLimited();
  const std::string& LabelOf(const std::string& organisation) const;

  const MemberRecord self;
  const double processor_share;
  const AllowanceExchangeHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  Logger& logger;
  Metrics& metrics;
  AllowanceHolder holder;
  AllowanceAccount account;
  RateLimits limits;
  std::map<int, SlotHolder> holders;
  std::uint64_t holders_version = 0;
  std::map<std::string, Pending> pending;  ///< By member.
  std::uint64_t answer_epoch = 0;
  std::int64_t answer_stamp = 0;
  bool stopped = false;
  TimePoint reported_at;
  std::map<std::string, TimePoint> logged_limited;
  std::set<std::string> labels;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
