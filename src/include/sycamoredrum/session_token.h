#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// The commits that the reads of a session must see in one database.
struct SessionPosition {
  LogPosition position;    ///< Reads must see all commits up to here.
  bool uncertain = false;  ///< A write of unknown outcome may lie after `position`.
};

bool operator==(const SessionPosition& a, const SessionPosition& b);

/// The positions that a session requires, one for each database that it has used. Immutable.
///
/// Requirements on one database are ordered by position, then by the flag `uncertain` (true is
/// larger). A merge takes the larger one, so `uncertain` is kept unless the other token has a
/// larger position.
///
/// A session that has used more than kMaxDatabases databases gets an exceeded token: it contains no
/// positions, every database is uncertain, and later merges and additions do not change it. If only
/// some positions were dropped, a merge with an older token of the session could bring back a
/// smaller position that is not flagged as uncertain.
class SessionToken {
 public:
  static constexpr std::size_t kMaxDatabases = 16;

  SessionToken() = default;

  /// Requirement on reads of `database`. A database that an incomplete token does not contain is
  /// uncertain.
  SessionPosition For(std::string_view database) const;

  /// Returns a token that also requires `position` in `database`, or the present position if that
  /// is larger. `uncertain` replaces the flag of the database.
  SessionToken With(const std::string& database, const LogPosition& position, bool uncertain) const;

  /// Returns a token that requires no position in `database` and flags it as uncertain. To be used
  /// when the required position is no longer in the database's log, after the caller was notified.
  SessionToken WithoutPosition(const std::string& database) const;

  /// Returns a token that requires everything that `a` and `b` require.
  static SessionToken Merge(const SessionToken& a, const SessionToken& b);

  /// Returns a token without positions for which every database is uncertain. Used for a session
  /// that sent no valid token.
  static SessionToken AllUncertain();

  const std::map<std::string, SessionPosition, std::less<>>& Positions() const {
    return this->positions;
  }
  /// If false, databases without a position are uncertain.
  bool Complete() const { return this->complete; }
  /// True if the session used more than kMaxDatabases databases.
  bool Exceeded() const { return this->exceeded; }

 private:
  friend class SessionTokenCodec;

  std::map<std::string, SessionPosition, std::less<>> positions;
  bool complete = true;
  bool exceeded = false;

  static SessionToken ExceededToken();
};

bool operator==(const SessionToken& a, const SessionToken& b);

/// Encodes tokens as base64url of a CBOR map followed by the first 16 bytes of its HMAC-SHA256.
class SessionTokenCodec {
 public:
  /// Leaves room for the cookie's name and attributes: browsers accept at least 4,096 bytes in all.
  static constexpr std::size_t kMaxTextBytes = 3800;

  /// `fleet_key` is the secret that all proxies share.
  explicit SessionTokenCodec(std::string fleet_key);

  /// Encodes `token`. One whose text would exceed kMaxTextBytes is encoded as an exceeded token.
  std::string Encode(const SessionToken& token) const;

  /// Returns nothing if `text` is malformed, longer than kMaxTextBytes, or has a wrong HMAC;
  /// LastReason() then returns the reason.
  std::optional<SessionToken> Decode(std::string_view text);

  /// Reason of the last failed Decode.
  const std::string& LastReason() const { return this->last_reason; }

 private:
  std::string ComputeMac(std::string_view payload) const;
  /// Encodes without the limit kMaxTextBytes.
  std::string EncodeUnchecked(const SessionToken& token) const;
  /// Checks the HMAC and returns the CBOR payload.
  std::optional<std::string> Authenticate(std::string_view text);
  std::optional<SessionToken> Fail(std::string reason);

  std::string fleet_key;
  std::string last_reason;
};

}  // namespace sycamoredrum
