#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/coordination_store.h"

namespace sycamoredrum {

struct LeadershipOptions {
  std::string key;          ///< Key that names the leader.
  std::string member;       ///< Id of this process in the fleet.
  std::string incarnation;  ///< Differs for every start of the process.
  std::string value;        ///< Value of the key while this process leads; unique to this start.
  /// Time to live of the lease in the store. The leader also stops acting this long after the store
  /// last confirmed its leadership.
  Duration lease = std::chrono::seconds(3);
  Duration renew_interval = std::chrono::milliseconds(750);
  /// Upper bound of the random delay before a candidacy, which keeps candidates from writing at the
  /// same time.
  Duration max_candidate_delay = std::chrono::milliseconds(150);
  /// Fixed delay that is added to the random one. Processes with a shorter one are elected first.
  Duration min_candidate_delay = Duration::zero();
};

struct LeadershipHooks {
  /// This process became the leader; `epoch` is greater than that of every earlier leader.
  std::function<void(std::uint64_t epoch)> gained;
  /// This process no longer leads; `reason` is a text for the log.
  std::function<void(const std::string& reason)> lost;
  /// Returns true if `value`, read from the leader's key, was written by an earlier start of this
  /// process. That start has certainly ended.
  std::function<bool(const std::string& value)> is_predecessor;
  /// Returns false if `value`, read from the leader's key, names no process. Another writer left it
  /// there, and any candidate may replace it.
  std::function<bool(const std::string& value)> names_process;
};

/// Leader election by a leased key in the store. Only the fleet's leader may change primaries.
///
/// The store may remove the key before its lease expires, without notifying the leader, and the
/// lease can still be renewed after that. Only a read that returns this process's own value
/// therefore confirms the leadership, for one lease time counted from before the read was sent. A
/// new leader must assume that its predecessor acts until one lease time after the take-over. The
/// clock must also count the time during which the VM is suspended. Not thread-safe.
class Leadership {
 public:
  Leadership(const CoordinationStore& store, LeadershipOptions options, LeadershipHooks hooks,
             const Clock& clock, Scheduler& scheduler, RandomSource random);

  /// Takes part in the election from now on.
  void Start();

  /// To be called with the present state of the leader's key when the watch on it reports a change;
  /// nothing means that the key does not exist.
  void KeyChanged(const std::optional<KeyValue>& item);

  /// To be called when the store has returned from an older copy, in the era `era`, before
  /// KeyChanged() reports the key that it has now. A leader of an earlier era must be elected
  /// again: the store may have lost its key, and members tell the leader by the key's revision.
  void StoreRestored(std::uint64_t era);

  /// True while this process may act as the leader.
  bool Leading() const;
  /// Epoch of this process's leadership; 0 if it does not lead.
  std::uint64_t Epoch() const { return this->Leading() ? this->epoch : 0; }

  /// True if this leadership began before an earlier one of this process would have ended, and the
  /// store's return from an older copy was the only reason for the election. No other process can
  /// have changed a primary between them.
  bool Uninterrupted() const { return this->uninterrupted; }

  /// When the store last confirmed that this process leads.
  TimePoint ConfirmedAt() const { return this->deadline - this->options.lease; }

  /// Ends this process's leadership, if any, and stays out of the election for `pause`.
  void Resign(const std::string& reason, Duration pause);

  /// To be called with the epoch that another process reports; a leader of an earlier epoch steps
  /// down.
  void ObserveEpoch(std::uint64_t other_epoch);

 private:
  enum class Phase { kFollowing, kCandidate, kLeading };

  bool KeyAvailable() const;
  void EnterElection();
  void Campaign();
  void WriteKey(std::uint64_t new_lease, TimePoint sent);
  void OnWriteKeyResult(PlatformStatus status, std::uint64_t revision, TimePoint sent);
  void Renew();
  void Confirm();
  void OnConfirmResult(PlatformStatus status, const StorePage& page, TimePoint sent);
  void BecomeLeader(std::uint64_t new_epoch, TimePoint confirmed_at);
  void StepDown(const std::string& reason);
  void Retry();
  void CheckDeadline();
  void RunLater(Duration delay, std::function<void()> action);

  const CoordinationStore& store;
  LeadershipOptions options;
  LeadershipHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;
  bool started = false;
  Phase phase = Phase::kFollowing;
  std::optional<KeyValue> key;
  std::uint64_t lease = 0;
  std::uint64_t epoch = 0;
  TimePoint deadline;        ///< The leadership ends here unless it is confirmed again.
  TimePoint excluded_until;  ///< No candidacy before this time.
  /// When the leadership that a restore of the store ended would have ended otherwise.
  std::optional<TimePoint> interrupted_deadline;
  bool uninterrupted = false;
  /// Number of the present candidacy or leadership; callbacks of earlier ones are ignored.
  std::uint64_t attempt = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
