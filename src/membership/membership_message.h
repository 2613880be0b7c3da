#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/membership.h"

namespace sycamoredrum {

/// News of one member.
struct MemberRecord {
  Member member;
  std::chrono::seconds dead_for{};  ///< Time since the death became known; 0 for other states.
};

enum class MessageKind {
  kPing = 1,
  kAck = 2,          ///< `target_id` is the member that answered the probe.
  kPingRequest = 3,  ///< Asks the receiver to probe `target`.
  kJoin = 4,         ///< Asks any member for an answer with many records.
};

/// One membership datagram.
struct MembershipMessage {
  MessageKind kind = MessageKind::kPing;
  std::uint64_t sequence = 0;  ///< Chosen by the prober, repeated in the answer.
  Member sender;
  std::uint64_t configuration_number = 0;
  std::string target_id;
  Endpoint target;
  std::vector<MemberRecord> updates;
};

/// Encodes and authenticates messages.
class MembershipCodec {
 public:
  explicit MembershipCodec(std::string fleet_key);

  std::string Encode(const MembershipMessage& message) const;

  /// Bytes that `record` adds to an encoded message.
  static std::size_t EncodedSize(const MemberRecord& record);

  /// Returns nothing for a malformed datagram or a wrong HMAC.
  std::optional<MembershipMessage> Decode(const std::string& datagram) const;

  /// Records of a full-state exchange, without HMAC.
  static std::string EncodeRecords(const std::vector<MemberRecord>& records);
  static std::optional<std::vector<MemberRecord>> DecodeRecords(const std::string& bytes);

 private:
  std::string Authenticator(const char* data, std::size_t size) const;

  std::string fleet_key;
};

}  // namespace sycamoredrum
