#include <algorithm>
#include <utility>

#include "membership_impl.h"

namespace sycamoredrum {

void Membership::Impl::HandleDatagram(const Endpoint& from, const std::string& datagram) {
  this->CheckForPause();
  const std::optional<MembershipMessage> message = this->codec.Decode(datagram);
  if (!message) {
    ++this->counters.datagrams_refused;
    return;
  }
  if (message->sender.id == this->self.id) {
    // Sent by an earlier process with the same id.
    this->MergeOwnRecord(message->sender);
    return;
  }
  if (this->rejoining && !this->HandleWhileRejoining(from, *message)) {
    this->FlushChanged();
    return;
  }
  this->HandleSender(*message);
  for (const MemberRecord& record : message->updates) {
    this->Merge(record);
  }
  switch (message->kind) {
    case MessageKind::kPing:
    case MessageKind::kJoin:
      this->HandlePing(from, *message);
      break;
    case MessageKind::kAck:
      this->HandleAck(*message);
      break;
    case MessageKind::kPingRequest:
      this->HandlePingRequest(from, *message);
      break;
  }
  this->FlushChanged();
}

// Returns whether `message` is to be handled as usual. The socket may hold datagrams that were sent
// before or during a long pause. Only an answer to a message that was sent after the pause is
// certainly recent; it ends the rejoining.
bool Membership::Impl::HandleWhileRejoining(const Endpoint& from,
                                            const MembershipMessage& message) {
  if (message.kind == MessageKind::kAck && message.sequence >= this->first_fresh_sequence) {
    this->rejoining = false;
    return true;
  }
  if (message.kind == MessageKind::kPing) {
    this->HandlePing(from, message);
    this->SendJoin(from);
  }
  return false;
}

void Membership::Impl::HandleSender(const MembershipMessage& message) {
  this->Merge(MemberRecord{message.sender, {}});
  const MemberTable::Entry* entry = this->table.Find(message.sender.id);
  const bool current = entry != nullptr && message.sender.incarnation >= entry->member.incarnation;
  if (current && entry->member.state != MemberState::kDead) {
    this->hooks.configuration_number_received(message.sender.id, message.configuration_number);
  }
  if (current && entry->member.state == MemberState::kLeaving) {
    // A suspicion of a leaving member is never sent to others, so the member cannot refute it. Any
    // message from it shows that it still runs.
    this->suspicions.erase(message.sender.id);
  }
}

void Membership::Impl::HandlePing(const Endpoint& from, const MembershipMessage& message) {
  this->SendAck(from, message.sender.id, message.sequence, this->self.id,
                message.kind == MessageKind::kJoin);
}

void Membership::Impl::HandleAck(const MembershipMessage& message) {
  if (this->probe && this->probe->sequence == message.sequence &&
      this->probe->id == message.target_id) {
    this->probe->acknowledged = true;
  }
  const auto forwarded = this->forwarded_probes.find(message.sequence);
  if (forwarded != this->forwarded_probes.end() &&
      forwarded->second.target_id == message.target_id) {
    const ForwardedProbe answered = forwarded->second;
    this->forwarded_probes.erase(forwarded);
    this->SendAck(answered.requester, "", answered.requester_sequence, answered.target_id, false);
  }
  this->NotifySenderDeclaredDead(message.sender.id);
}

// Pings a member that sent an ack although it was declared dead. The ping carries the member's
// death record, so that the member can refute it. The sender of a ping receives that record in the
// ack instead.
void Membership::Impl::NotifySenderDeclaredDead(const std::string& id) {
  MemberTable::Entry* entry = this->table.Find(id);
  if (entry == nullptr || entry->member.state != MemberState::kDead ||
      this->clock.Now() - entry->death_notified_at < kProbePeriod) {
    return;
  }
  entry->death_notified_at = this->clock.Now();
  this->SendPing(entry->member, this->next_sequence++);
}

void Membership::Impl::HandlePingRequest(const Endpoint& from, const MembershipMessage& message) {
  const std::uint64_t sequence = this->next_sequence++;
  this->forwarded_probes[sequence] =
      ForwardedProbe{from, message.sequence, message.target_id, this->clock.Now() + kProbePeriod};
  MembershipMessage ping;
  ping.kind = MessageKind::kPing;
  ping.sequence = sequence;
  this->Send(message.target, message.target_id, std::move(ping));
}

// Merging of received records.

void Membership::Impl::Merge(const MemberRecord& record) {
  if (record.member.id == this->self.id) {
    this->MergeOwnRecord(record.member);
    return;
  }
  MemberRecord update = record;
  if (this->ClaimsOwnEndpoint(record.member)) {
    update.member.state = MemberState::kDead;
  }
  std::vector<std::string> changed;
  const MemberTable::Change change = this->table.Merge(update, changed);
  if (change == MemberTable::Change::kStale) {
    // Some member still holds an older record, so the death record is queued again.
    this->updates.Add(record.member.id);
  }
  if (change == MemberTable::Change::kAdded) {
    const std::size_t place = this->RandomBelow(this->probe_order.size() + 1);
    this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(place),
                             record.member.id);
  }
  for (const std::string& id : changed) {
    this->HandleChange(id);
  }
}

void Membership::Impl::HandleChange(const std::string& id) {
  this->member_changed = true;
  this->updates.Add(id);
  const MemberState state = this->table.Find(id)->member.state;
  if (state == MemberState::kSuspect) {
    this->suspicions.insert_or_assign(id, this->clock.Now() + kSuspicionTime);
  } else {
    this->suspicions.erase(id);
  }
}

void Membership::Impl::MergeOwnRecord(const Member& record) {
  const bool needs_refutation =
      record.incarnation > this->self.incarnation ||
      (record.incarnation == this->self.incarnation && record.state > this->self.state);
  if (needs_refutation) {
    this->Refute(record.incarnation);
  }
}

// True if `record` is of an earlier process at this process's endpoint, with another id. If the
// clock of that process was ahead, this process takes a higher incarnation and thus wins the
// endpoint at every member.
bool Membership::Impl::ClaimsOwnEndpoint(const Member& record) {
  if (record.datagram_endpoint != this->self.datagram_endpoint ||
      record.state == MemberState::kDead) {
    return false;
  }
  if (record.incarnation >= this->self.incarnation) {
    this->Refute(record.incarnation);
  }
  return true;
}

void Membership::Impl::Refute(std::uint64_t incarnation) {
  ++this->counters.refutations;
  this->self.incarnation = incarnation + 1;
  this->updates.Add(this->self.id);
}

// Sending.

void Membership::Impl::SendPing(const Member& member, std::uint64_t sequence) {
  MembershipMessage message;
  message.kind = MessageKind::kPing;
  message.sequence = sequence;
  this->Send(member.datagram_endpoint, member.id, std::move(message));
}

void Membership::Impl::SendJoin(const Endpoint& to) {
  MembershipMessage message;
  message.kind = MessageKind::kJoin;
  message.sequence = this->next_sequence++;
  this->Send(to, "", std::move(message));
}

void Membership::Impl::SendAck(const Endpoint& to, const std::string& receiver_id,
                               std::uint64_t sequence, const std::string& target_id,
                               bool include_random_records) {
  MembershipMessage message;
  message.kind = MessageKind::kAck;
  message.sequence = sequence;
  message.target_id = target_id;
  this->Send(to, receiver_id, std::move(message), include_random_records);
}

void Membership::Impl::Send(const Endpoint& to, const std::string& receiver_id,
                            MembershipMessage message, bool include_random_records) {
  message.sender = this->self;
  message.configuration_number = this->hooks.configuration_number();
  const std::optional<MemberRecord> receiver = this->table.RecordOf(receiver_id);
  const bool receiver_needs_record = receiver && (receiver->member.state == MemberState::kSuspect ||
                                                  receiver->member.state == MemberState::kDead);
  if (receiver_needs_record) {
    message.updates.push_back(*receiver);
  }
  // The length of the list of updates takes up to 2 more bytes than that of an empty list.
  constexpr std::size_t kListLengthBytes = 2;
  const std::size_t used = this->codec.Encode(message).size() + kListLengthBytes;
  const std::size_t space = used >= kMaxDatagramBytes ? 0 : kMaxDatagramBytes - used;
  this->updates.Take(
      space, this->table.CountNotDead() + 1,
      [this](const std::string& id) { return this->RecordOf(id); }, message.updates);
  if (include_random_records) {
    this->AddRandomRecords(kMaxDatagramBytes, message);
  }
  const std::string datagram = this->codec.Encode(message);
  ++this->counters.datagrams_sent;
  this->counters.bytes_sent += datagram.size();
  this->hooks.send(to, datagram);
}

// Adds records of random members while the encoded message has at most `limit` bytes, so that a new
// member learns of others from the first answer.
void Membership::Impl::AddRandomRecords(std::size_t limit, MembershipMessage& message) {
  constexpr std::size_t kMaxRandomRecords = 32;
  constexpr std::size_t kListLengthBytes = 2;
  std::size_t used = this->codec.Encode(message).size() + kListLengthBytes;
  for (const std::string& id : this->Sample(this->table.NotDead(), kMaxRandomRecords)) {
    const MemberRecord record = *this->table.RecordOf(id);
    used += MembershipCodec::EncodedSize(record);
    if (used > limit) {
      return;
    }
    message.updates.push_back(record);
  }
}

std::optional<MemberRecord> Membership::Impl::RecordOf(const std::string& id) const {
  return id == this->self.id ? MemberRecord{this->self, {}} : this->table.RecordOf(id);
}

std::vector<std::string> Membership::Impl::Sample(std::vector<std::string> ids, std::size_t count) {
  const std::size_t picked = std::min(count, ids.size());
  for (std::size_t i = 0; i < picked; ++i) {
    std::swap(ids[i], ids[i + this->RandomBelow(ids.size() - i)]);
  }
  ids.resize(picked);
  return ids;
}

}  // namespace sycamoredrum
