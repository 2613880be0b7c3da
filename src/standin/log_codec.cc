#include "log_codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

std::optional<TermHistory> ParseHistory(const std::string& text) {
  std::vector<TermStart> starts;
  const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const std::string& part : parts) {
    const std::pair<std::string, std::string> numbers = absl::StrSplit(part, ':');
    TermStart start;
    if (!absl::SimpleAtoi(numbers.first, &start.term) ||
        !absl::SimpleAtoi(numbers.second, &start.first_index)) {
      return std::nullopt;
    }
    starts.push_back(start);
  }
  return TermHistory(std::move(starts));
}

nlohmann::json EntryToJson(const LogEntry& entry) {
  nlohmann::json json = {{"term", entry.term}, {"changes", entry.changes}};
  if (entry.record) {
    json["record"] = {{"request_id", entry.record->request_id},
                      {"fingerprint", entry.record->fingerprint},
                      {"results", entry.record->results}};
  }
  return json;
}

LogEntry EntryFromJson(const nlohmann::json& json) {
  LogEntry entry;
  entry.term = json.at("term").get<std::uint64_t>();
  entry.changes = json.at("changes").get<std::map<std::string, std::string>>();
  if (json.contains("record")) {
    const nlohmann::json& record = json.at("record");
    entry.record = RequestRecord{record.at("request_id").get<std::string>(),
                                 record.at("fingerprint").get<std::string>(),
                                 record.at("results").get<std::vector<std::string>>()};
  }
  return entry;
}

}  // namespace

std::string LogTarget(const LogRequest& request, Duration wait) {
  const std::string history =
      absl::StrJoin(request.history.Starts(), ",", [](std::string* out, const TermStart& start) {
        absl::StrAppend(out, start.term, ":", start.first_index);
      });
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  return absl::StrCat("/v1/log?after=", request.last_index, "&term=", request.term,
                      "&history=", PercentEncode(history), "&wait_ms=", wait_ms);
}

std::optional<LogRequest> ParseLogTarget(const HttpRequest& request) {
  LogRequest parsed;
  const std::optional<TermHistory> history =
      ParseHistory(request.QueryParameter("history").value_or(""));
  if (!absl::SimpleAtoi(request.QueryParameter("after").value_or(""), &parsed.last_index) ||
      !absl::SimpleAtoi(request.QueryParameter("term").value_or(""), &parsed.term) || !history) {
    return std::nullopt;
  }
  parsed.history = *history;
  return parsed;
}

std::string ToJson(const LogPage& page) {
  nlohmann::json entries = nlohmann::json::array();
  for (const LogEntry& entry : page.entries) {
    entries.push_back(EntryToJson(entry));
  }
  return nlohmann::json{{"served", page.served},
                        {"common_index", page.common_index},
                        {"last_index", page.last_index},
                        {"entries", entries}}
      .dump();
}

std::optional<LogPage> ParseLogPage(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  try {
    LogPage page;
    page.served = json.at("served").get<bool>();
    page.common_index = json.at("common_index").get<std::uint64_t>();
    page.last_index = json.at("last_index").get<std::uint64_t>();
    for (const nlohmann::json& entry : json.at("entries")) {
      page.entries.push_back(EntryFromJson(entry));
    }
    return page;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamoredrum
