#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "sycamoredrum/allowance.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Holder of one part as recorded in the store.
struct SlotRecord {
  std::string member;              ///< Empty: the part has had no holder yet.
  std::string incarnation;         ///< Start of the member's process.
  std::uint64_t registration = 0;  ///< Revision of its registration when it was chosen.
  std::uint64_t generation = 0;    ///< Grows with each change of the holder.
  std::string data_centre{};
  Endpoint endpoint{};
};

bool operator==(const SlotRecord& a, const SlotRecord& b);

using AllowanceRecord = std::array<SlotRecord, kAllowanceSlots>;

/// What the leader knows of a member that may hold parts.
struct AllowanceMember {
  std::string member;
  std::string incarnation;
  std::uint64_t registration = 0;
  std::string data_centre{};
  double processor_share = 1.0;
  Endpoint endpoint{};
};

/// One heartbeat of a member.
struct AllowanceReport {
  AllowanceMember member;
  bool epoch_adopted = false;     ///< The member accepts no earlier leader any more.
  std::int64_t echoed_stamp = 0;  ///< Stamp of the last answer of this leader that it received.
  std::map<int, std::uint64_t> held;
};

/// Assigns the parts to relays; part of the leader. A part gets another holder only when the lease
/// of the former holder has expired, when that has given the part back, or when its process has
/// ended, and only after the change is recorded in the store. Not thread-safe.
class AllowanceAssignment {
 public:
  /// Members with less are chosen only if there are no others: each request takes about 0.1 ms of
  /// CPU time.
  static constexpr double kMinProcessorShare = 0.2;
  /// Time after the begin of a leadership in which members report, before parts are assigned.
  static constexpr Duration kGatherTime = std::chrono::milliseconds(300);
  /// A member is chosen only if its last report is younger.
  static constexpr Duration kMaxReportAge = std::chrono::seconds(2);
  /// Minimum interval between moves of parts whose holder could be a better one.
  static constexpr Duration kMoveInterval = std::chrono::seconds(1);

  /// `leadership_lease` is the time for which a replaced leader may still renew leases.
  AllowanceAssignment(Duration leadership_lease, const Clock& clock)
      : leadership_lease(leadership_lease), clock(clock) {}

  /// Begins a leadership. `record` is the assignment in the store. If the store returned from an
  /// older copy, `restored_at` is when this process first observed that; parts may then have
  /// holders that the record does not contain. If `uninterrupted`, the state of the last leadership
  /// is kept.
  void Begin(std::uint64_t epoch, const AllowanceRecord& record,
             std::optional<TimePoint> restored_at, bool uninterrupted);
  void End() { this->epoch = 0; }
  bool Active() const { return this->epoch != 0; }

  /// Processes a heartbeat and returns the generations of the parts that the member may hold, by
  /// slot. `stamp` identifies the answer; it grows.
  std::map<int, std::uint64_t> OnReport(const AllowanceReport& report, std::int64_t stamp);
  /// The member has ended the use of its parts.
  void OnReturned(const std::string& member, std::uint64_t registration);

  /// Returns an assignment to be written to the store, if the present one must change. One write
  /// may be in progress at a time.
  std::optional<AllowanceRecord> Next();
  /// The store contains `record` after the write.
  void OnWritten(const AllowanceRecord& record);
  /// The write has failed or may take effect later. The parts that it concerns are renewed only
  /// after another write has excluded that.
  void OnUnresolved() { this->rewrite = true; }

  const AllowanceRecord& Record() const { return this->recorded; }

 private:
  struct Slot {
    TimePoint lease_until;
    bool released = false;        ///< The recorded holder does not use the part any more.
    bool withdrawn = false;       ///< The holder is to give the part back.
    bool changing = false;        ///< A write of another holder is in progress.
    std::int64_t last_stamp = 0;  ///< Of the last answer that contained the part.
  };
  struct Candidate {
    AllowanceMember member;
    TimePoint reported_at;
  };
  /// Lower values are better.
  using Score = std::tuple<bool, int, int>;

  bool Free(int slot) const;
  const Candidate* Best(const AllowanceRecord& record, int slot) const;
  Score ScoreOf(const AllowanceRecord& record, int slot, const AllowanceMember& member) const;
  void WithdrawParts();

  const Duration leadership_lease;
  const Clock& clock;
  std::uint64_t epoch = 0;
  AllowanceRecord recorded;
  std::array<Slot, kAllowanceSlots> slots;
  std::map<std::string, Candidate> candidates;
  TimePoint assign_from;
  TimePoint confirm_from;  ///< Before, only parts that their holder reports are renewed.
  TimePoint moved_at;
  bool rewrite = false;  ///< The store may contain an older assignment.
};

}  // namespace sycamoredrum
