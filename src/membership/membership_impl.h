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
  /// A probe of one member, direct first and then through others.
  struct Probe {
    std::string id;
    std::uint64_t sequence = 0;
    TimePoint sent_at{};
    bool indirect = false;
    bool acknowledged = false;
  };
  /// A probe made for another member.
  struct Relay {
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

  void LookForMembers();
  void JoinThroughSeeds();
  void LookBeyondCut();
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
  void NoticeDeadSender(const std::string& id);

  void SendJoin(const Endpoint& to);
  void SendPing(const Member& member, std::uint64_t sequence);
  void SendAck(const Endpoint& to, const std::string& receiver_id, std::uint64_t sequence,
               const std::string& target_id, bool many_records);
  /// Completes and sends a message. News of the receiver itself goes first, so that it can refute.
  void Send(const Endpoint& to, const std::string& receiver_id, MembershipMessage message,
            bool many_records = false);
  void AddRandomRecords(std::size_t space, MembershipMessage& message);
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
  bool rejoining = false;                  ///< After a long pause: all members are forgotten.
  std::uint64_t first_fresh_sequence = 0;  ///< First sequence sent since the long pause.
  MemberTable table;
  UpdateQueue updates;
  std::map<std::string, TimePoint> suspicions;  ///< Members and the ends of their suspicions.

  std::uint64_t next_sequence = 1;
  std::optional<Probe> probe;
  std::vector<std::string> ring;  ///< Members still to be probed in this round, last first.
  std::map<std::uint64_t, Relay> relays;

  TimePoint last_tick{};
  TimePoint next_probe{};
  TimePoint next_join{};
  TimePoint next_reunion{};
  TimePoint next_exchange{};
  TimePoint next_cleanup{};
  MembershipCounters counters;
};

}  // namespace sycamoredrum
