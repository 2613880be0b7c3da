#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sycamoredrum {

enum class PeerFrameType { kChallenge, kHello, kWelcome, kRequest, kAnswer, kError };

/// One message on a peer link. The comment of each field names the types that use it.
struct PeerFrame {
  PeerFrameType type = PeerFrameType::kError;
  int version = 0;          ///< Challenge, hello.
  std::string nonce;        ///< Challenge: nonce of the server. Hello: nonce of the client.
  std::string proof;        ///< Hello, welcome: HMAC over both nonces.
  std::string member;       ///< Hello.
  std::string data_centre;  ///< Hello.
  std::uint64_t id = 0;     ///< Request, answer, error.
  std::string kind;         ///< Request.
  std::string body;         ///< Request, answer: JSON text.
  std::string code;         ///< Error.
  std::string message;      ///< Error.
};

/// Encodes a frame as CBOR. Returns nothing if `body` is not a JSON text.
std::optional<std::string> EncodePeerFrame(const PeerFrame& frame);

/// Decodes a CBOR frame. Returns nothing if `bytes` is not a valid frame.
std::optional<PeerFrame> DecodePeerFrame(const std::string& bytes);

/// Returns 128 random bits in hexadecimal form. Throws std::runtime_error if the system has no
/// random bytes.
std::string MakeNonce();

/// Returns a proof that its sender knows `fleet_key`: an HMAC-SHA256 in hexadecimal form over
/// `role`, both nonces, and the version, member and data centre of the hello. `role` is "client" or
/// "server"; it keeps the proof of one side from being accepted as that of the other.
std::string MakeProof(const std::string& fleet_key, const std::string& role,
                      const std::string& server_nonce, const PeerFrame& hello);

/// Compares two proofs in constant time, so that the duration does not reveal where they differ.
bool SameProof(const std::string& a, const std::string& b);

}  // namespace sycamoredrum
