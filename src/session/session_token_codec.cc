#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "sycamoredrum/session_token.h"

namespace sycamoredrum {
namespace {

constexpr std::size_t kMacBytes = 16;

// Prefix of the HMAC input. It prevents other messages that are signed with the fleet key from
// being accepted as tokens.
constexpr std::string_view kMacContext = "sycamoredrum session token 1\n";

// Fields of the CBOR map.
constexpr const char* kComplete = "c";
constexpr const char* kExceeded = "x";
constexpr const char* kPositions = "p";
// Elements of one entry of kPositions: term, index, uncertain.
constexpr std::size_t kEntryFields = 3;

nlohmann::json EntryToJson(const SessionPosition& entry) {
  return {entry.position.term, entry.position.index, entry.uncertain};
}

std::optional<SessionPosition> EntryFromJson(const nlohmann::json& json) {
  const bool valid = json.is_array() && json.size() == kEntryFields &&
                     json[0].is_number_unsigned() && json[1].is_number_unsigned() &&
                     json[2].is_boolean();
  if (!valid) {
    return std::nullopt;
  }
  SessionPosition entry;
  entry.position.term = json[0].get<std::uint64_t>();
  entry.position.index = json[1].get<std::uint64_t>();
  entry.uncertain = json[2].get<bool>();
  return entry;
}

bool HasFields(const nlohmann::json& json) {
  return json.is_object() && json.contains(kComplete) && json[kComplete].is_boolean() &&
         json.contains(kExceeded) && json[kExceeded].is_boolean() && json.contains(kPositions) &&
         json[kPositions].is_object();
}

}  // namespace

SessionTokenCodec::SessionTokenCodec(std::string fleet_key) : fleet_key(std::move(fleet_key)) {}

std::string SessionTokenCodec::ComputeMac(std::string_view payload) const {
  std::string input(kMacContext);
  input.append(payload);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int digest_bytes = 0;
  HMAC(EVP_sha256(), this->fleet_key.data(), static_cast<int>(this->fleet_key.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data(),
       &digest_bytes);
  return std::string(reinterpret_cast<const char*>(digest.data()), kMacBytes);
}

std::string SessionTokenCodec::EncodeUnchecked(const SessionToken& token) const {
  nlohmann::json positions = nlohmann::json::object();
  for (const auto& [database, entry] : token.positions) {
    positions[database] = EntryToJson(entry);
  }
  const nlohmann::json json = {
      {kComplete, token.complete}, {kExceeded, token.exceeded}, {kPositions, positions}};
  const std::vector<std::uint8_t> cbor = nlohmann::json::to_cbor(json);
  std::string bytes(cbor.begin(), cbor.end());
  bytes.append(this->ComputeMac(bytes));
  return absl::WebSafeBase64Escape(bytes);
}

std::string SessionTokenCodec::Encode(const SessionToken& token) const {
  std::string text = this->EncodeUnchecked(token);
  if (text.size() > kMaxTextBytes) {
    return this->EncodeUnchecked(SessionToken::ExceededToken());
  }
  return text;
}

std::optional<SessionToken> SessionTokenCodec::Fail(std::string reason) {
  this->last_reason = std::move(reason);
  return std::nullopt;
}

std::optional<std::string> SessionTokenCodec::Authenticate(std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    this->last_reason = "session token has " + std::to_string(text.size()) + " bytes, at most " +
                        std::to_string(kMaxTextBytes) + " are accepted";
    return std::nullopt;
  }
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes)) {
    this->last_reason = "session token is not base64url";
    return std::nullopt;
  }
  if (bytes.size() <= kMacBytes) {
    this->last_reason = "session token is too short";
    return std::nullopt;
  }
  const std::string mac = bytes.substr(bytes.size() - kMacBytes);
  bytes.resize(bytes.size() - kMacBytes);
  if (CRYPTO_memcmp(mac.data(), this->ComputeMac(bytes).data(), kMacBytes) != 0) {
    this->last_reason = "session token has a wrong HMAC";
    return std::nullopt;
  }
  return bytes;
}

std::optional<SessionToken> SessionTokenCodec::Decode(std::string_view text) {
  const std::optional<std::string> payload = this->Authenticate(text);
  if (!payload) {
    return std::nullopt;
  }
  const nlohmann::json json = nlohmann::json::from_cbor(*payload, /*strict=*/true,
                                                        /*allow_exceptions=*/false);
  if (!HasFields(json)) {
    return this->Fail("session token has a missing or malformed field");
  }
  if (json[kPositions].size() > SessionToken::kMaxDatabases) {
    return this->Fail("session token names more than " +
                      std::to_string(SessionToken::kMaxDatabases) + " databases");
  }
  if (json[kExceeded].get<bool>()) {
    return SessionToken::ExceededToken();
  }
  SessionToken token;
  token.complete = json[kComplete].get<bool>();
  for (const auto& item : json[kPositions].items()) {
    const std::optional<SessionPosition> entry = EntryFromJson(item.value());
    if (!entry) {
      return this->Fail("session token has a malformed position of database \"" + item.key() +
                        "\"");
    }
    token.positions.emplace(item.key(), *entry);
  }
  return token;
}

}  // namespace sycamoredrum
