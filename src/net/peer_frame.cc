#include "peer_frame.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sycamoredrum {
namespace {

using nlohmann::json;

// The CBOR parser recurses into nested values. Without a limit, a small frame of nested arrays
// would overflow the stack.
constexpr int kMaxNesting = 64;
constexpr int kNonceBytes = 16;

// Parser callbacks that stop parsing at arrays and objects nested deeper than kMaxNesting.
class NestingLimitHandler : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++this->depth <= kMaxNesting; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return this->depth-- > 0; }
  bool start_array(std::size_t) override { return ++this->depth <= kMaxNesting; }
  bool end_array() override { return this->depth-- > 0; }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override {
    return false;
  }

 private:
  int depth = 0;
};

// Reads a text that MakeProof encodes as JSON. Throws json::exception if it is not UTF-8, which the
// CBOR parser does not check.
std::string ReadText(const json& value) {
  static_cast<void>(value.dump());
  return value.get<std::string>();
}

PeerFrame ReadFrame(const json& message) {
  PeerFrame frame;
  if (message.contains("challenge")) {
    const json& challenge = message.at("challenge");
    frame.type = PeerFrameType::kChallenge;
    frame.version = challenge.at("version").get<int>();
    frame.nonce = ReadText(challenge.at("nonce"));
  } else if (message.contains("hello")) {
    const json& hello = message.at("hello");
    frame.type = PeerFrameType::kHello;
    frame.version = hello.at("version").get<int>();
    frame.member = ReadText(hello.at("member"));
    frame.data_centre = ReadText(hello.at("data_centre"));
    frame.nonce = ReadText(hello.at("nonce"));
    frame.proof = hello.at("proof").get<std::string>();
  } else if (message.contains("welcome")) {
    frame.type = PeerFrameType::kWelcome;
    frame.proof = message.at("welcome").at("proof").get<std::string>();
  } else if (message.contains("kind")) {
    frame.type = PeerFrameType::kRequest;
    frame.id = message.at("id").get<std::uint64_t>();
    frame.kind = message.at("kind").get<std::string>();
    frame.body = message.at("body").dump();
  } else if (message.contains("error")) {
    frame.type = PeerFrameType::kError;
    frame.id = message.at("id").get<std::uint64_t>();
    frame.code = message.at("error").at("code").get<std::string>();
    frame.message = message.at("error").at("message").get<std::string>();
  } else {
    frame.type = PeerFrameType::kAnswer;
    frame.id = message.at("id").get<std::uint64_t>();
    frame.body = message.at("body").dump();
  }
  return frame;
}

json WriteFrame(const PeerFrame& frame) {
  switch (frame.type) {
    case PeerFrameType::kChallenge:
      return {{"challenge", {{"version", frame.version}, {"nonce", frame.nonce}}}};
    case PeerFrameType::kHello:
      return {{"hello",
               {{"version", frame.version},
                {"member", frame.member},
                {"data_centre", frame.data_centre},
                {"nonce", frame.nonce},
                {"proof", frame.proof}}}};
    case PeerFrameType::kWelcome:
      return {{"welcome", {{"proof", frame.proof}}}};
    case PeerFrameType::kRequest:
      return {{"id", frame.id}, {"kind", frame.kind}, {"body", json::parse(frame.body)}};
    case PeerFrameType::kAnswer:
      return {{"id", frame.id}, {"body", json::parse(frame.body)}};
    case PeerFrameType::kError:
      break;
  }
  return {{"id", frame.id}, {"error", {{"code", frame.code}, {"message", frame.message}}}};
}

}  // namespace

std::optional<std::string> EncodePeerFrame(const PeerFrame& frame) {
  try {
    std::string bytes;
    json::to_cbor(WriteFrame(frame), nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<PeerFrame> DecodePeerFrame(const std::string& bytes) {
  NestingLimitHandler handler;
  if (!json::sax_parse(bytes, &handler, json::input_format_t::cbor)) {
    return std::nullopt;
  }
  try {
    return ReadFrame(json::from_cbor(bytes));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string MakeNonce() {
  unsigned char bytes[kNonceBytes];
  if (RAND_bytes(bytes, kNonceBytes) != 1) {
    throw std::runtime_error("no random bytes are available");
  }
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(bytes), kNonceBytes));
}

std::string MakeProof(const std::string& fleet_key, const std::string& role,
                      const std::string& server_nonce, const PeerFrame& hello) {
  // Encoding as a JSON array delimits the parts, so that different parts never give the same text.
  const std::string text =
      json{role, server_nonce, hello.nonce, hello.version, hello.member, hello.data_centre}.dump();
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), fleet_key.data(), static_cast<int>(fleet_key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest, &size);
  return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(digest), size));
}

bool SameProof(const std::string& a, const std::string& b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace sycamoredrum
