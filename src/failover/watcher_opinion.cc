#include <nlohmann/json.hpp>
#include <tuple>

#include "sycamoredrum/database_watcher.h"

namespace sycamoredrum {
namespace {

auto Fields(const WatcherOpinion& opinion) {
  return std::tie(opinion.term, opinion.primary, opinion.heard_from_primary_ago, opinion.reachable,
                  opinion.promoting);
}

}  // namespace

bool operator==(const WatcherOpinion& a, const WatcherOpinion& b) { return Fields(a) == Fields(b); }

std::string ToJson(const WatcherOpinion& opinion) {
  nlohmann::json json = {{"term", opinion.term},
                         {"primary", opinion.primary},
                         {"reachable", opinion.reachable},
                         {"promoting", opinion.promoting}};
  if (opinion.heard_from_primary_ago) {
    const auto ago =
        std::chrono::duration_cast<std::chrono::milliseconds>(*opinion.heard_from_primary_ago);
    json["heard_from_primary_ago_ms"] = ago.count();
  }
  return json.dump();
}

std::optional<WatcherOpinion> ParseWatcherOpinion(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    WatcherOpinion opinion;
    opinion.term = json.at("term").get<std::uint64_t>();
    opinion.primary = json.at("primary").get<std::string>();
    opinion.reachable = json.at("reachable").get<bool>();
    opinion.promoting = json.value("promoting", false);
    if (json.contains("heard_from_primary_ago_ms")) {
      opinion.heard_from_primary_ago =
          std::chrono::milliseconds(json.at("heard_from_primary_ago_ms").get<std::int64_t>());
    }
    return opinion;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string_view ToString(PromotionCause cause) {
  switch (cause) {
    case PromotionCause::kPrimaryLost:
      return "primary_lost";
    case PromotionCause::kNoPrimary:
      return "no_primary";
    case PromotionCause::kPromiseAhead:
      return "promise_ahead";
    case PromotionCause::kHandOver:
      return "hand_over";
  }
  return "unknown";
}

}  // namespace sycamoredrum
