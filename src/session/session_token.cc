#include "sycamoredrum/session_token.h"

#include <algorithm>
#include <tuple>

namespace sycamoredrum {
namespace {

bool LessDemanding(const SessionPosition& a, const SessionPosition& b) {
  return std::tie(a.position, a.uncertain) < std::tie(b.position, b.uncertain);
}

}  // namespace

bool operator==(const SessionPosition& a, const SessionPosition& b) {
  return std::tie(a.position, a.uncertain) == std::tie(b.position, b.uncertain);
}

bool operator==(const SessionToken& a, const SessionToken& b) {
  return a.Positions() == b.Positions() && a.Complete() == b.Complete() &&
         a.Exceeded() == b.Exceeded();
}

SessionPosition SessionToken::For(std::string_view database) const {
  const auto found = this->positions.find(database);
  if (found != this->positions.end()) {
    return found->second;
  }
  SessionPosition missing;
  missing.uncertain = !this->complete;
  return missing;
}

SessionToken SessionToken::With(const std::string& database, const LogPosition& position,
                                bool uncertain) const {
  if (this->exceeded) {
    return *this;
  }
  SessionToken token = *this;
  SessionPosition& entry = token.positions[database];
  entry.position = std::max(entry.position, position);
  entry.uncertain = uncertain;
  return token.positions.size() > kMaxDatabases ? ExceededToken() : token;
}

SessionToken SessionToken::WithoutPosition(const std::string& database) const {
  SessionToken token = *this;
  if (!this->exceeded) {
    token.positions[database] = SessionPosition{LogPosition(), true};
  }
  return token;
}

SessionToken SessionToken::Merge(const SessionToken& a, const SessionToken& b) {
  if (a.exceeded || b.exceeded) {
    return ExceededToken();
  }
  SessionToken merged;
  merged.complete = a.complete && b.complete;
  for (const SessionToken* side : {&a, &b}) {
    for (const auto& item : side->positions) {
      const SessionPosition in_a = a.For(item.first);
      const SessionPosition in_b = b.For(item.first);
      merged.positions[item.first] = std::max(in_a, in_b, LessDemanding);
    }
  }
  return merged.positions.size() > kMaxDatabases ? ExceededToken() : merged;
}

SessionToken SessionToken::AllUncertain() {
  SessionToken token;
  token.complete = false;
  return token;
}

SessionToken SessionToken::ExceededToken() {
  SessionToken token = AllUncertain();
  token.exceeded = true;
  return token;
}

}  // namespace sycamoredrum
