#include "membership_message.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr int kMessageVersion = 1;
constexpr std::size_t kAuthenticatorBytes = 16;

using Json = nlohmann::json;

Json RecordToJson(const MemberRecord& record) {
  const Member& member = record.member;
  // To save bytes, the peer link's host is left empty if it equals the datagram host.
  const bool same_host = member.peer_link_endpoint.host == member.datagram_endpoint.host;
  return Json::array(
      {member.id, member.data_centre, member.datagram_endpoint.host, member.datagram_endpoint.port,
       same_host ? "" : member.peer_link_endpoint.host, member.peer_link_endpoint.port,
       member.incarnation, static_cast<int>(member.state), record.dead_for.count()});
}

std::uint16_t PortFrom(const Json& json) {
  const auto port = json.get<std::uint64_t>();
  if (port > std::numeric_limits<std::uint16_t>::max()) {
    throw std::out_of_range("port");
  }
  return static_cast<std::uint16_t>(port);
}

template <typename Enum>
Enum EnumFrom(const Json& json, Enum first, Enum last) {
  const auto value = json.get<std::int64_t>();
  if (value < static_cast<std::int64_t>(first) || value > static_cast<std::int64_t>(last)) {
    throw std::out_of_range("enumeration");
  }
  return static_cast<Enum>(value);
}

MemberRecord RecordFrom(const Json& json) {
  MemberRecord record;
  Member& member = record.member;
  member.id = json.at(0).get<std::string>();
  member.data_centre = json.at(1).get<std::string>();
  member.datagram_endpoint = Endpoint{json.at(2).get<std::string>(), PortFrom(json.at(3))};
  const auto peer_host = json.at(4).get<std::string>();
  member.peer_link_endpoint =
      Endpoint{peer_host.empty() ? member.datagram_endpoint.host : peer_host, PortFrom(json.at(5))};
  member.incarnation = json.at(6).get<std::uint64_t>();
  member.state = EnumFrom(json.at(7), MemberState::kAlive, MemberState::kDead);
  record.dead_for = std::chrono::seconds(json.at(8).get<std::uint32_t>());
  if (member.id.empty()) {
    throw std::invalid_argument("empty id");
  }
  return record;
}

std::vector<MemberRecord> RecordsFrom(const Json& json) {
  std::vector<MemberRecord> records;
  records.reserve(json.size());
  for (const Json& item : json) {
    records.push_back(RecordFrom(item));
  }
  return records;
}

Json RecordsToJson(const std::vector<MemberRecord>& records) {
  Json list = Json::array();
  for (const MemberRecord& record : records) {
    list.push_back(RecordToJson(record));
  }
  return list;
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Json FromCbor(const char* data, std::size_t size) {
  return Json::from_cbor(data, data + size, /*strict=*/true, /*allow_exceptions=*/false);
}

MembershipMessage MessageFrom(const Json& json) {
  if (json.at(0) != kMessageVersion) {
    throw std::invalid_argument("version");
  }
  MembershipMessage message;
  message.kind = EnumFrom(json.at(1), MessageKind::kPing, MessageKind::kJoin);
  message.sequence = json.at(2).get<std::uint64_t>();
  message.sender = RecordFrom(json.at(3)).member;
  message.configuration_number = json.at(4).get<std::uint64_t>();
  message.target_id = json.at(5).get<std::string>();
  message.target = Endpoint{json.at(6).get<std::string>(), PortFrom(json.at(7))};
  message.updates = RecordsFrom(json.at(8));
  return message;
}

}  // namespace

MembershipCodec::MembershipCodec(std::string fleet_key) : fleet_key(std::move(fleet_key)) {}

std::string MembershipCodec::Authenticator(const char* data, std::size_t size) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int digest_size = 0;
  HMAC(EVP_sha256(), this->fleet_key.data(), static_cast<int>(this->fleet_key.size()),
       reinterpret_cast<const unsigned char*>(data), size, digest.data(), &digest_size);
  return std::string(digest.begin(), digest.begin() + kAuthenticatorBytes);
}

std::string MembershipCodec::Encode(const MembershipMessage& message) const {
  const Json json =
      Json::array({kMessageVersion, static_cast<int>(message.kind), message.sequence,
                   RecordToJson(MemberRecord{message.sender, {}}), message.configuration_number,
                   message.target_id, message.target.host, message.target.port,
                   RecordsToJson(message.updates)});
  const std::string body = ToCbor(json);
  return body + this->Authenticator(body.data(), body.size());
}

std::size_t MembershipCodec::EncodedSize(const MemberRecord& record) {
  return ToCbor(RecordToJson(record)).size();
}

std::optional<MembershipMessage> MembershipCodec::Decode(const std::string& datagram) const {
  if (datagram.size() <= kAuthenticatorBytes) {
    return std::nullopt;
  }
  const std::size_t body_size = datagram.size() - kAuthenticatorBytes;
  const std::string expected = this->Authenticator(datagram.data(), body_size);
  if (CRYPTO_memcmp(expected.data(), datagram.data() + body_size, kAuthenticatorBytes) != 0) {
    return std::nullopt;
  }
  try {
    return MessageFrom(FromCbor(datagram.data(), body_size));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string MembershipCodec::EncodeRecords(const std::vector<MemberRecord>& records) {
  return ToCbor(RecordsToJson(records));
}

std::optional<std::vector<MemberRecord>> MembershipCodec::DecodeRecords(const std::string& bytes) {
  const Json json = FromCbor(bytes.data(), bytes.size());
  if (!json.is_array()) {
    return std::nullopt;
  }
  try {
    return RecordsFrom(json);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamoredrum
