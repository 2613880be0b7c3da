#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "fleet_messages.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/coordination_store.h"
#include "sycamoredrum/log.h"

namespace sycamoredrum {

struct MemberRegistrationHooks {
  /// The store answered the lookup of the registration.
  std::function<void()> store_reachable;
  /// The registration is in the store.
  std::function<void()> registered;
};

/// The registration of this process in the store.
///
/// Each registration is a write of its own, also if the store has one of an earlier start of the
/// process. A removal of the earlier one that takes effect late then finds another revision, and
/// has no effect. Not thread-safe.
class MemberRegistration {
 public:
  /// Minimum interval between two registrations of a member whose registration the leader reports
  /// as missing.
  static constexpr Duration kRegisterAgainInterval = std::chrono::seconds(2);

  MemberRegistration(const CoordinationStore& store, MemberRecord self,
                     MemberRegistrationHooks hooks, const Clock& clock, Scheduler& scheduler,
                     Logger& logger);

  /// Registers the process and retries until it succeeds.
  void Start();
  /// Registers the process again, because the leader does not know its registration.
  void RegisterAgain();
  /// Ends the attempts to register.
  void StopRetrying() { this->stopped = true; }
  /// Removes the registration. `done` runs when the store has answered, or at once if this process
  /// never registered.
  void Remove(const std::function<void()>& done);
  /// Store revision of the registration; 0 before the first one.
  std::uint64_t Revision() const { return this->revision; }

 private:
  void LookUp();
  void OnLookup(const StorePage& page);
  void Write(std::uint64_t expected_revision);
  void Registered(std::uint64_t new_revision);
  void Retry();
  void RunLater(Duration delay, std::function<void()> action);

  const CoordinationStore& store;
  const MemberRecord self;
  const std::string key;
  MemberRegistrationHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  Logger& logger;
  std::uint64_t revision = 0;
  std::optional<TimePoint> registered_at;
  bool registering = false;
  bool stopped = false;
  std::uint64_t round = 0;  ///< Lookups, retries and refusals of earlier rounds are ignored.
  std::size_t lookups_in_flight = 0;
  Duration lookup_retry_delay{};
  std::shared_ptr<bool> alive =
      std::make_shared<bool>(true);  ///< Lets callbacks detect the destruction of the object.
};

}  // namespace sycamoredrum
