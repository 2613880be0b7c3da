#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Tracks which members may hold grants of the leader or its predecessors, and until when.
///
/// Invariant: no server is promoted while a member may use another one under a grant. A member is
/// therefore tracked until its grants have expired or it has given them back itself. It does not
/// matter whether its registration is removed, it is silent, it registers again, or this process
/// begins another leadership.
///
/// A leader does not know the grants of its predecessors. It finds their holders by their
/// registrations, so that a member gets grants only under a registration that it knows to be in
/// the store and that no pending call can remove. Not thread-safe.
class GrantHolders {
 public:
  /// Grants of earlier leaders may be used by `member` until `end`.
  void AddPredecessorGrants(const std::string& member, TimePoint end);
  /// `member` no longer accepts grants of earlier leaders; those that it holds end by `end`.
  void LimitPredecessorGrants(const std::string& member, TimePoint end);
  /// `member` receives grants that may be used until `end`. `registration` is the revision of its
  /// registration.
  void Granted(const std::string& member, std::uint64_t registration, TimePoint end);
  /// The process that registered with revision `registration` has ended the use of all its grants
  /// and accepts no others. Has no effect on the grants of a later registration.
  void GaveBack(const std::string& member, std::uint64_t registration);
  /// When the last grant of `member` ends; the earliest time if it holds none.
  TimePoint End(const std::string& member) const;
  /// Members with grants that end after `time`.
  std::set<std::string> HoldersAt(TimePoint time) const;
  /// Revision of the registration under which `member` has received grants; 0 if it holds none of
  /// this process.
  std::uint64_t Registration(const std::string& member) const;
  /// Forgets the members whose grants have ended by `now`. Returns when the last of these ended, or
  /// the earliest time.
  TimePoint ForgetExpired(TimePoint now);

 private:
  struct Holder {
    TimePoint granted_until = TimePoint::min();       ///< End of this process's grants.
    TimePoint predecessors_until = TimePoint::min();  ///< End of the grants of earlier leaders.
    std::uint64_t registration = 0;  ///< Latest registration under which it received grants.
  };

  static TimePoint End(const Holder& holder);

  std::map<std::string, Holder> holders;
};

}  // namespace sycamoredrum
