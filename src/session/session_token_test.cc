#include "sycamoredrum/session_token.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <rapidcheck.h>

#include <array>
#include <nlohmann/json.hpp>

namespace sycamoredrum {
namespace {

// Few names and small positions make it likely that two tokens contain the same database and equal
// positions.
rc::Gen<SessionToken> AnyToken() {
  return rc::gen::exec([] {
    SessionToken token =
        *rc::gen::arbitrary<bool>() ? SessionToken() : SessionToken::AllUncertain();
    const int entries = *rc::gen::element(0, 1, 2, 3, 10);
    for (int i = 0; i < entries; ++i) {
      const std::string database = "d" + std::to_string(*rc::gen::inRange(0, 24));
      const std::uint64_t term = *rc::gen::inRange<std::uint64_t>(0, 3);
      const std::uint64_t index = *rc::gen::inRange<std::uint64_t>(0, 3);
      token = token.With(database, LogPosition{term, index}, *rc::gen::arbitrary<bool>());
    }
    return token;
  });
}

// True if `merged` requires everything that `part` requires. An exceeded token requires at least as
// much as any position: every database is uncertain, so a read must be proven to see every
// acknowledged write.
bool RequiresAtLeast(const SessionToken& merged, const SessionToken& part) {
  if (merged.Exceeded()) {
    return !merged.Complete() && merged.Positions().empty();
  }
  for (int i = 0; i < 24; ++i) {
    const SessionPosition all = merged.For("d" + std::to_string(i));
    const SessionPosition one = part.For("d" + std::to_string(i));
    const bool same_position_loses_flag =
        all.position == one.position && one.uncertain && !all.uncertain;
    if (all.position < one.position || same_position_loses_flag) {
      return false;
    }
  }
  return true;
}

// Guards against a merge whose result depends on the order in which cookies arrive, or that drops a
// position or an uncertain flag.
TEST(SessionTokenTest, MergeIsASemilatticeAndNeverRequiresLess) {
  EXPECT_TRUE(rc::check("merge laws", [] {
    const SessionToken a = *AnyToken();
    const SessionToken b = *AnyToken();
    const SessionToken c = *AnyToken();
    const SessionToken ab = SessionToken::Merge(a, b);
    RC_ASSERT(ab == SessionToken::Merge(b, a));
    RC_ASSERT(SessionToken::Merge(a, a) == a);
    RC_ASSERT(SessionToken::Merge(ab, c) == SessionToken::Merge(a, SessionToken::Merge(b, c)));
    RC_ASSERT(RequiresAtLeast(ab, a));
    RC_ASSERT(RequiresAtLeast(ab, b));
  }));
}

// Guards against an uncertain flag that is cleared by a smaller or equal position, or kept after a
// merge with a larger one.
TEST(SessionTokenTest, LargerPositionDecidesTheUncertainFlag) {
  const SessionToken unknown = SessionToken().With("d", {1, 5}, true);
  EXPECT_TRUE(
      SessionToken::Merge(unknown, SessionToken().With("d", {1, 4}, false)).For("d").uncertain);
  EXPECT_TRUE(
      SessionToken::Merge(unknown, SessionToken().With("d", {1, 5}, false)).For("d").uncertain);
  EXPECT_FALSE(
      SessionToken::Merge(unknown, SessionToken().With("d", {2, 1}, false)).For("d").uncertain);
}

// Guards against a merge with an older token that restores a smaller position than one that was
// dropped.
TEST(SessionTokenTest, TooManyDatabasesMakeAllUncertain) {
  SessionToken token;
  for (std::size_t i = 0; i <= SessionToken::kMaxDatabases; ++i) {
    token = token.With("d" + std::to_string(i), {1, 9}, false);
  }
  const SessionToken older = SessionToken().With("d0", {1, 3}, false);
  EXPECT_FALSE(token.Complete());
  EXPECT_TRUE(SessionToken::Merge(token, older).For("d0").uncertain);
  EXPECT_TRUE(token.With("d0", {1, 9}, false).For("d0").uncertain);
}

// Guards against a field that is lost when a token is encoded for the caller and decoded again.
TEST(SessionTokenCodecTest, DecodeInvertsEncode) {
  EXPECT_TRUE(rc::check("codec", [] {
    SessionTokenCodec codec("key");
    const SessionToken token = *AnyToken();
    RC_ASSERT(codec.Decode(codec.Encode(token)) == std::make_optional(token));
  }));
}

// Guards against accepting a token that the caller has changed in any byte.
TEST(SessionTokenCodecTest, RejectsEveryChangedByte) {
  SessionTokenCodec codec("key");
  const std::string text = codec.Encode(SessionToken().With("orders", {3, 70}, false));
  std::string bytes;
  ASSERT_TRUE(absl::WebSafeBase64Unescape(text, &bytes));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_FALSE(codec.Decode(absl::WebSafeBase64Escape(changed)).has_value()) << i;
  }
  EXPECT_FALSE(SessionTokenCodec("other").Decode(text).has_value());
}

// Encodes `json` with a correct HMAC, also if this version never encodes such a payload.
std::string Signed(const nlohmann::json& json) {
  const std::vector<std::uint8_t> cbor = nlohmann::json::to_cbor(json);
  std::string bytes(cbor.begin(), cbor.end());
  const std::string input = "sycamoredrum session token 1\n" + bytes;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  HMAC(EVP_sha256(), "key", 3, reinterpret_cast<const unsigned char*>(input.data()), input.size(),
       digest.data(), nullptr);
  bytes.append(reinterpret_cast<const char*>(digest.data()), 16);
  return absl::WebSafeBase64Escape(bytes);
}

// Guards against decoding a malformed token with default values, which would drop requirements.
TEST(SessionTokenCodecTest, MalformedTextGivesAReason) {
  const nlohmann::json none = nlohmann::json::object();
  nlohmann::json many = none;
  for (int i = 0; i < 17; ++i) {
    many["d" + std::to_string(i)] = {1, 1, false};
  }
  const auto with = [](const nlohmann::json& p) {
    return Signed({{"c", true}, {"x", false}, {"p", p}});
  };
  const struct {
    std::string text;
    std::string reason;
  } cases[] = {
      {"", "too short"},
      {"AAAA", "too short"},
      {"*not base64*", "base64url"},
      {std::string(SessionTokenCodec::kMaxTextBytes + 1, 'A'), "bytes, at most"},
      {std::string(64, 'A'), "wrong HMAC"},
      {Signed(7), "malformed field"},
      {Signed({{"c", true}, {"x", false}}), "malformed field"},
      {Signed({{"c", 1}, {"x", false}, {"p", none}}), "malformed field"},
      {with(many), "more than 16"},
      {with({{"d", {1, 1}}}), "position of database \"d\""},
      {with({{"d", {-1, 1, false}}}), "position of database \"d\""},
      {with({{"d", {1.5, 1, false}}}), "position of database \"d\""},
  };
  for (const auto& item : cases) {
    SessionTokenCodec codec("key");
    EXPECT_FALSE(codec.Decode(item.text).has_value()) << item.reason;
    EXPECT_NE(codec.LastReason().find(item.reason), std::string::npos) << codec.LastReason();
  }
}

// Guards against a token that callers cannot send back because it exceeds the size of a cookie.
TEST(SessionTokenCodecTest, OversizedTokenIsEncodedAsExceeded) {
  SessionTokenCodec codec("key");
  const SessionToken token = SessionToken().With(std::string(4000, 'n'), {1, 1}, false);
  const std::optional<SessionToken> decoded = codec.Decode(codec.Encode(token));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_TRUE(decoded->Exceeded());
}

}  // namespace
}  // namespace sycamoredrum
