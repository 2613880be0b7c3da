#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

enum class MemberState {
  kAlive,
  kSuspect,  ///< Did not answer a probe; counts as live until it is declared dead.
  kLeaving,  ///< Finishes its requests; gets no duties while any member is live.
  kDead,
};

/// Name of a state: "alive", "suspect", "leaving" or "dead".
std::string_view ToString(MemberState state);

/// Identity, endpoints and state of one proxy process.
struct Member {
  std::string id;  ///< Unique in the fleet at any one time.
  std::string data_centre;
  Endpoint datagram_endpoint;   ///< UDP endpoint of membership datagrams.
  Endpoint peer_link_endpoint;  ///< TCP endpoint of peer links.
  /// Start time in milliseconds; a member raises its own to refute a suspicion and when it leaves.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  bool IsLive() const {
    return this->state == MemberState::kAlive || this->state == MemberState::kSuspect;
  }
};

bool operator==(const Member& a, const Member& b);

struct MembershipHooks {
  /// Sends one datagram of at most Membership::kMaxDatagramBytes. May lose, delay or repeat it.
  std::function<void(const Endpoint& to, const std::string& datagram)> send;
  /// The state of a member changed, or a member was added or removed.
  std::function<void()> changed;
  /// Configuration number of this process, for outgoing messages.
  std::function<std::uint64_t()> configuration_number;
  /// A message from `member` carried its configuration number.
  std::function<void(const std::string& member, std::uint64_t number)>
      configuration_number_received;
  /// Starts a full-state exchange with `member`: sends it ExportDigest(), receives its
  /// ExportState() and passes that to MergeState().
  std::function<void(const std::string& member)> exchange;
};

struct MembershipCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t datagrams_refused = 0;  ///< Malformed, or with a wrong HMAC.
  std::uint64_t suspicions = 0;         ///< Raised by this process after a failed probe.
  /// Times this process raised its incarnation to override a record.
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;  ///< Times this process detected that it had been paused.
};

/// The SWIM membership protocol for one process, without I/O. Datagrams are CBOR followed by the
/// first 16 bytes of an HMAC-SHA256 under the fleet key. Must outlive its timers. Not thread-safe.
class Membership {
 public:
  static constexpr std::size_t kMaxDatagramBytes = 1200;
  static constexpr std::size_t kIndirectProbes = 3;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr Duration kProbePeriod = std::chrono::seconds(1);
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
  static constexpr Duration kSuspicionTime = std::chrono::seconds(3);
  static constexpr Duration kExchangePeriod = std::chrono::seconds(10);
  /// Interval between messages to a seed and a dead member, which find the members on the other
  /// side of a healed network partition.
  static constexpr Duration kPartitionProbePeriod = std::chrono::seconds(10);
  /// If no tick runs for longer than this, the process was paused. Shorter than the suspicion time,
  /// so that no suspicion expires while its refutation could not be received.
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);
  /// Records of dead members are kept for this time, so that older records cannot make them live
  /// again. At the fleet size expected in two years (docs/design.md, section 1) these are about
  /// 2,500 records.
  static constexpr Duration kDeadRetention = std::chrono::hours(24);

  /// `self` is this process; `self.incarnation` is its start time in milliseconds and `self.state`
  /// is ignored. `fleet_key` is the secret that all proxies share.
  Membership(Member self, std::string fleet_key, std::vector<Endpoint> seeds, MembershipHooks hooks,
             const Clock& clock, Scheduler& scheduler, RandomSource random);
  ~Membership();

  /// Contacts the seeds and begins to probe. Call once.
  void Start();

  /// Stops the timers. Datagrams are still answered.
  void Stop();

  /// Announces that this process is leaving. Cannot be undone.
  void Leave();

  /// Replaces the seeds. An empty list is ignored.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// Handles a datagram that came from `from`.
  void HandleDatagram(const Endpoint& from, const std::string& datagram);

  /// Hashes over the records of this process and of the members that are not dead; the input of
  /// another member's ExportState().
  std::string ExportDigest() const;

  /// The records that may differ from those of the sender of `digest`, and always this process's
  /// own; all records if the digest is empty or malformed. Carries no HMAC: peer links authenticate
  /// their peers.
  std::string ExportState(const std::string& digest) const;

  /// Merges the result of another member's ExportState(). Returns false if it is malformed; nothing
  /// is merged then. After a pause of at least half of kDeadRetention, `state` is ignored until an
  /// answer to a message sent after the pause has arrived.
  bool MergeState(const std::string& state);

  /// The record of this process that is sent to others.
  const Member& Self() const;

  /// All members that are not dead, including this process, ordered by id.
  std::vector<Member> Members() const;

  /// Ids of the live and leaving members, excluding this process.
  std::vector<std::string> Others() const;

  /// The member with this id, or nullptr. Dead members are found for kDeadRetention.
  const Member* Find(const std::string& id) const;

  const MembershipCounters& Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace sycamoredrum
