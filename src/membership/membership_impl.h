#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "member_table.h"
#include "membership_message.h"
#include "sycamoredrum/membership.h"
#include "update_queue.h"

namespace sycamoredrum {

/// State and protocol logic of Membership.
class Membership::Impl {
 public:
  Impl(Member self, std::string fleet_key, std::vector<Endpoint> seeds, MembershipHooks hooks,
       const Clock& clock, Scheduler& scheduler, RandomSource random);

  void Start();
  void Stop() { this->stopped = true; }
  void Leave();
  void SetSeeds(std::vector<Endpoint> new_seeds);
  void HandleDatagram(const Endpoint& from, const std::string& datagram);
  std::string ExportDigest() const;
  std::string ExportState(const std::string& digest) const;
  bool MergeState(const std::string& state);

  const Member& Self() const { return this->self; }
  const MemberTable& Table() const { return this->table; }
  const MembershipCounters& Counters() const { return this->counters; }

 private:
  /// A probe of one member: a direct ping, then pings through other members if it is not answered
  /// within kProbeTimeout.
  struct Probe {
    std::string id;
    std::uint64_t sequence = 0;
    TimePoint sent_at{};
    bool indirect = false;
    bool acknowledged = false;
  };
  /// A ping sent on behalf of `requester`, which could not reach the target itself.
  struct ForwardedProbe {
    Endpoint requester;
    std::uint64_t requester_sequence = 0;
    std::string target_id;
    TimePoint expires_at{};
  };

  void ScheduleTick();
  void Tick();
  void CheckForPause();
  void FlushChanged();

  void RunProbe();
  void BeginProbe();
  void ProbeIndirectly();
  std::string NextTarget();
  void ExpireSuspicions();
  void Suspect(const std::string& id);

  void DiscoverMembers();
  void JoinThroughSeeds();
  void ProbeAcrossPartition();
  void RunExchange();
  void DropExpired();

  void Merge(const MemberRecord& record);
  void HandleChange(const std::string& id);
  void MergeOwnRecord(const Member& record);
  bool ClaimsOwnEndpoint(const Member& record);
  void Refute(std::uint64_t incarnation);

  bool HandleWhileRejoining(const Endpoint& from, const MembershipMessage& message);
  void HandleSender(const MembershipMessage& message);
  void HandlePing(const Endpoint& from, const MembershipMessage& message);
  void HandleAck(const MembershipMessage& message);
  void HandlePingRequest(const Endpoint& from, const MembershipMessage& message);
  void NotifySenderDeclaredDead(const std::string& id);

  void SendJoin(const Endpoint& to);
  void SendPing(const Member& member, std::uint64_t sequence);
  void SendAck(const Endpoint& to, const std::string& receiver_id, std::uint64_t sequence,
               const std::string& target_id, bool include_random_records);
  /// Adds the sender, the configuration number and queued updates to a message, and sends it. If
  /// the receiver is suspect or dead, its own record is the first one, so that the receiver can
  /// refute it.
  void Send(const Endpoint& to, const std::string& receiver_id, MembershipMessage message,
            bool include_random_records = false);
  void AddRandomRecords(std::size_t limit, MembershipMessage& message);
  std::optional<MemberRecord> RecordOf(const std::string& id) const;
  std::vector<std::string> Sample(std::vector<std::string> ids, std::size_t count);
  std::uint64_t RandomBelow(std::uint64_t bound) { return this->random() % bound; }

  Member self;
  MembershipCodec codec;
  std::vector<Endpoint> seeds;
  MembershipHooks hooks;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;

  bool stopped = false;
  bool member_changed = false;
  /// Set when the table is cleared after a long pause. Reset by an answer to a message that was
  /// sent after the pause.
  bool rejoining = false;
  std::uint64_t first_fresh_sequence = 0;  ///< First sequence sent since the long pause.
  MemberTable table;
  UpdateQueue updates;
  /// Ids of suspected members, and when each is declared dead.
  std::map<std::string, TimePoint> suspicions;

  std::uint64_t next_sequence = 1;
  std::optional<Probe> probe;
  /// Members still to be probed in this round; the last one is next.
  std::vector<std::string> probe_order;
  std::map<std::uint64_t, ForwardedProbe> forwarded_probes;

  TimePoint last_tick{};
  TimePoint next_probe{};
  TimePoint next_join{};
  TimePoint next_partition_probe{};
  TimePoint next_exchange{};
  TimePoint next_cleanup{};
  MembershipCounters counters;
};

}  // namespace sycamoredrum
