#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sycamoredrum {

enum class PeerFrameType { kChallenge, kHello, kWelcome, kRequest, kAnswer, kError };

/// One message on a peer link. Each type uses some of the fields.
struct PeerFrame {
  PeerFrameType type = PeerFrameType::kError;
  int version = 0;          ///< Challenge, hello.
  std::string nonce;        ///< Challenge: of the server. Hello: of the client.
  std::string proof;        ///< Hello, welcome: HMAC over both nonces.
  std::string member;       ///< Hello.
  std::string data_centre;  ///< Hello.
  std::uint64_t id = 0;     ///< Request, answer, error.
  std::string kind;         ///< Request.
  std::string body;         ///< Request, answer: JSON text.
  std::string code;         ///< Error.
  std::string message;      ///< Error.
};

/// CBOR form. Returns nothing if `body` is not a JSON text.
std::optional<std::string> EncodePeerFrame(const PeerFrame& frame);

/// Inverse of EncodePeerFrame. Returns nothing if the bytes are not such a frame.
std::optional<PeerFrame> DecodePeerFrame(const std::string& bytes);

/// 128 random bits in hexadecimal form.
std::string MakeNonce();

/// Shows that its maker knows `fleet_key`. `role` keeps a server's proof from being used as a
/// client's.
std::string MakeProof(const std::string& fleet_key, const std::string& role,
                      const std::string& server_nonce, const PeerFrame& hello);

/// Compares in constant time.
bool SameProof(const std::string& a, const std::string& b);

}  // namespace sycamoredrum
