#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/membership.h"

namespace sycamoredrum {

/// State of one member as it is sent to others.
struct MemberRecord {
  Member member;
  std::chrono::seconds dead_for{};  ///< Time since the declaration of death; 0 for other states.
};

enum class MessageKind {
  kPing = 1,
  kAck = 2,          ///< Answers a ping; `target_id` is the member that was probed.
  kPingRequest = 3,  ///< Requests that the receiver ping `target` on behalf of the sender.
  kJoin = 4,         ///< Requests an ack that also carries records of random members.
};

/// One membership datagram.
struct MembershipMessage {
  MessageKind kind = MessageKind::kPing;
  std::uint64_t sequence = 0;  ///< Chosen by the sender of a request; the ack repeats it.
  Member sender;
  std::uint64_t configuration_number = 0;
  std::string target_id;
  Endpoint target;
  std::vector<MemberRecord> updates;
};

/// Encodes messages as CBOR and authenticates them with an HMAC under the fleet key.
class MembershipCodec {
 public:
  explicit MembershipCodec(std::string fleet_key);

  std::string Encode(const MembershipMessage& message) const;

  /// Number of bytes that `record` adds to an encoded message.
  static std::size_t EncodedSize(const MemberRecord& record);

  /// Returns nothing for a malformed datagram or a wrong HMAC.
  std::optional<MembershipMessage> Decode(const std::string& datagram) const;

  /// Encode and decode the records of a full-state exchange, without HMAC. DecodeRecords returns
  /// nothing for malformed input.
  static std::string EncodeRecords(const std::vector<MemberRecord>& records);
  static std::optional<std::vector<MemberRecord>> DecodeRecords(const std::string& bytes);

 private:
  std::string Authenticator(const char* data, std::size_t size) const;

  std::string fleet_key;
};

}  // namespace sycamoredrum
