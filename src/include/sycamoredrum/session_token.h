#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// What a session must see in one database.
struct SessionPosition {
  LogPosition position;
  bool uncertain = false;  ///< A write of unknown outcome may lie after `position`.
};

bool operator==(const SessionPosition& a, const SessionPosition& b);

/// Positions of a session, one for each database it has used. Immutable.
///
/// Requirements of one database are ordered by position, then by mark, so a merge keeps the mark
/// `uncertain` unless the other side has a larger position. A session that used more than
/// kMaxDatabases databases exceeds the token: it loses all positions, every database becomes
/// uncertain, and later merges and additions keep it so. Dropping only some positions would let a
/// merge with an older token of the session bring back a smaller position without a mark.
class SessionToken {
 public:
  static constexpr std::size_t kMaxDatabases = 16;

  SessionToken() = default;

  /// Requirement of a read. A database that is missing from an incomplete token is uncertain.
  SessionPosition For(std::string_view database) const;

  /// Token that also requires `position` in `database`. The larger position wins. `uncertain`
  /// replaces the mark of the database.
  SessionToken With(const std::string& database, const LogPosition& position, bool uncertain) const;

  /// Token that no longer requires a position in `database` and marks it as uncertain. For a
  /// position that is not in the database's history any more, after the caller has been told.
  SessionToken WithoutPosition(const std::string& database) const;

  /// Token that requires all that `a` and `b` require.
  static SessionToken Merge(const SessionToken& a, const SessionToken& b);

  /// Marks every database as uncertain. Used for a session that presents no token.
  static SessionToken Unproven();

  const std::map<std::string, SessionPosition, std::less<>>& Positions() const {
    return this->positions;
  }
  /// False: databases without a position are uncertain.
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

/// Encodes tokens as base64url of CBOR followed by the first 16 bytes of an HMAC-SHA256.
class SessionTokenCodec {
 public:
  /// Browsers guarantee 4,096 bytes for a cookie with its name and attributes.
  static constexpr std::size_t kMaxTextBytes = 3800;

  /// `fleet_key` is the secret that all proxies share.
  explicit SessionTokenCodec(std::string fleet_key);

  /// A token that would need more than kMaxTextBytes is encoded as an exceeded token.
  std::string Encode(const SessionToken& token) const;

  /// Returns nothing if the text is malformed, too long or has a wrong HMAC; LastReason() then says
  /// why.
  std::optional<SessionToken> Decode(std::string_view text);

  const std::string& LastReason() const { return this->last_reason; }

 private:
  std::string Mac(std::string_view payload) const;
  std::string EncodeAny(const SessionToken& token) const;
  std::optional<std::string> Authenticate(std::string_view text);
  std::optional<SessionToken> Fail(std::string reason);

  std::string fleet_key;
  std::string last_reason;
};

}  // namespace sycamoredrum
