#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet_messages.h"
#include "sycamoredrum/allowance_assignment.h"
#include "sycamoredrum/coordination_store.h"
#include "sycamoredrum/log.h"

namespace sycamoredrum {

/// Key of the assignment of the parts in the store.
inline constexpr const char* kAllowancesKey = "sycamoredrum/allowances";

/// The leader's part of the exchange of allowances: records the assignment in the store before it
/// is announced in heartbeat answers. Writes nothing while no member has an organisation with a
/// rate. Not thread-safe.
class AllowanceLeader {
 public:
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

  /// `member_record` returns the registration of a member, or nothing if it is not known.
  AllowanceLeader(const CoordinationStore& store, std::string leader_key,
                  std::function<std::optional<MemberRecord>(const std::string&)> member_record,
                  const Clock& clock, Logger& logger);

  /// Begins a leadership; `page` contains the items of the fleet. `era_observed_at` and
  /// `uninterrupted` as in FleetState.
  void Begin(std::uint64_t new_epoch, const StorePage& page, TimePoint era_observed_at,
             bool uninterrupted);
  void End();
  /// Processes the member's part of a heartbeat and adds the leader's part to the answer, which
  /// has its epoch and stamp.
  void OnHeartbeat(const HeartbeatMessage& message, HeartbeatAnswer& answer);
  void OnReturned(const std::string& member, std::uint64_t registration) {
    this->assignment.OnReturned(member, registration);
  }
  /// Must be called about every 50 ms while this process leads.
  void Tick();

 private:
  void Resolve(const StoredAllowances& wanted, const std::string& value);
  void OnWritten(const StoredAllowances& stored, std::uint64_t written);
  void OnUnresolved();

  const CoordinationStore& store;
  const std::string leader_key;
  const std::function<std::optional<MemberRecord>(const std::string&)> member_record;
  const Clock& clock;
  Logger& logger;
  AllowanceAssignment assignment;
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;  ///< Of the record in the store; 0: there is none.
  bool write_in_progress = false;
  TimePoint next_write;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
