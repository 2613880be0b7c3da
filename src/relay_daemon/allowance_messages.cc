#include "allowance_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

// Most tokens of one request. A relay requests half a second of its demand, so that this is far
// above any real request.
constexpr int kMaxTokens = 1000000;

template <typename Value, typename Decode>
std::optional<Value> Parse(const std::string& text, Decode decode) {
  try {
    return decode(Json::parse(text));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

// Arrays keep the messages short.
Json GenerationsJson(const std::map<int, std::uint64_t>& generations) {
  Json json = Json::array();
  for (const auto& [slot, generation] : generations) {
    json.push_back({slot, generation});
  }
  return json;
}

int ParseSlot(const Json& json) {
  const int slot = json.get<int>();
  if (slot < 0 || slot >= kAllowanceSlots) {
    throw Json::other_error::create(501, "no such slot", &json);
  }
  return slot;
}

std::map<int, std::uint64_t> ParseGenerations(const Json& json) {
  std::map<int, std::uint64_t> generations;
  for (const Json& item : json) {
    generations[ParseSlot(item.at(0))] = item.at(1).get<std::uint64_t>();
  }
  return generations;
}

Endpoint ParseEndpoint(const Json& json) {
  return Endpoint::Parse(json.get<std::string>()).value_or(Endpoint{});
}

int ParseTokens(const Json& json) { return std::clamp(json.get<int>(), 0, kMaxTokens); }

}  // namespace

void to_json(Json& json, const AllowanceHeartbeat& message) {
  json = {{"incarnation", message.incarnation}, {"share", message.processor_share}};
  if (!message.held.empty()) {
    json["held"] = GenerationsJson(message.held);
  }
  if (message.holders_version != 0) {
    json["holders_version"] = message.holders_version;
  }
}

void from_json(const Json& json, AllowanceHeartbeat& message) {
  message.incarnation = json.at("incarnation").get<std::string>();
  message.processor_share = json.at("share").get<double>();
  message.held = ParseGenerations(json.value("held", Json::array()));
  message.holders_version = json.value("holders_version", std::uint64_t{0});
}

void to_json(Json& json, const AllowanceLeases& message) {
  json = {{"leases", GenerationsJson(message.leases)},
          {"holders_version", message.holders_version}};
  if (message.holders) {
    json["holders"] = Json::array();
    for (const auto& [slot, holder] : *message.holders) {
      json["holders"].push_back(
          {slot, holder.generation, holder.member, holder.data_centre, holder.endpoint.ToString()});
    }
  }
}

void from_json(const Json& json, AllowanceLeases& message) {
  message.leases = ParseGenerations(json.at("leases"));
  message.holders_version = json.at("holders_version").get<std::uint64_t>();
  if (json.contains("holders")) {
    message.holders.emplace();
    for (const Json& item : json.at("holders")) {
      (*message.holders)[ParseSlot(item.at(0))] =
          SlotHolder{item.at(2).get<std::string>(), item.at(3).get<std::string>(),
                     ParseEndpoint(item.at(4)), item.at(1).get<std::uint64_t>()};
    }
  }
}

std::string ToJson(const StoredAllowances& stored) {
  Json slots = Json::array();
  for (const SlotRecord& slot : stored.record) {
    slots.push_back({slot.member, slot.incarnation, slot.registration, slot.generation,
                     slot.data_centre, slot.endpoint.ToString()});
  }
  return Json{{"era", stored.era}, {"slots", slots}}.dump();
}

std::optional<StoredAllowances> ParseStoredAllowances(const std::string& text) {
  return Parse<StoredAllowances>(text, [](const Json& json) -> std::optional<StoredAllowances> {
    StoredAllowances stored;
    stored.era = json.at("era").get<std::uint64_t>();
    const Json& slots = json.at("slots");
    if (slots.size() != stored.record.size()) {
      return std::nullopt;
    }
    for (std::size_t i = 0; i < stored.record.size(); ++i) {
      const Json& item = slots.at(i);
      stored.record[i] =
          SlotRecord{item.at(0).get<std::string>(),   item.at(1).get<std::string>(),
                     item.at(2).get<std::uint64_t>(), item.at(3).get<std::uint64_t>(),
                     item.at(4).get<std::string>(),   ParseEndpoint(item.at(5))};
    }
    return stored;
  });
}

std::string ToJson(const AllowanceBatch& batch) {
  Json requests = Json::array();
  for (const AllowanceRequest& request : batch.requests) {
    Json wanted = Json::object();
    for (const auto& [name, tokens] : request.wanted) {
      wanted[name] = {tokens.needed, tokens.ahead};
    }
    requests.push_back({request.slot, request.generation, wanted});
  }
  return Json{{"configuration", batch.configuration}, {"requests", requests}}.dump();
}

std::optional<AllowanceBatch> ParseAllowanceBatch(const std::string& text) {
  return Parse<AllowanceBatch>(text, [](const Json& json) {
    AllowanceBatch batch;
    batch.configuration = json.at("configuration").get<std::uint64_t>();
    for (const Json& item : json.at("requests")) {
      AllowanceRequest request{ParseSlot(item.at(0)), item.at(1).get<std::uint64_t>(), {}};
      for (const auto& [name, tokens] : item.at(2).items()) {
        request.wanted[name] = TokenRequest{ParseTokens(tokens.at(0)), ParseTokens(tokens.at(1))};
      }
      batch.requests.push_back(std::move(request));
    }
    return batch;
  });
}

std::string ToJson(const AllowanceBatchAnswer& answer) {
  Json answers = Json::array();
  for (const AllowanceAnswer& item : answer.answers) {
    Json granted = Json::object();
    for (const auto& [name, tokens] : item.granted) {
      granted[name] = {tokens.granted,
                       std::chrono::duration_cast<microseconds>(tokens.retry_after).count()};
    }
    answers.push_back({item.holds, granted});
  }
  return Json{{"configuration", answer.configuration}, {"answers", answers}}.dump();
}

std::optional<AllowanceBatchAnswer> ParseAllowanceBatchAnswer(const std::string& text) {
  return Parse<AllowanceBatchAnswer>(text, [](const Json& json) {
    AllowanceBatchAnswer answer;
    answer.configuration = json.at("configuration").get<std::uint64_t>();
    for (const Json& item : json.at("answers")) {
      AllowanceAnswer decoded;
      decoded.holds = item.at(0).get<bool>();
      for (const auto& [name, tokens] : item.at(1).items()) {
        decoded.granted[name] =
            TokenAnswer{ParseTokens(tokens.at(0)), microseconds(tokens.at(1).get<std::int64_t>())};
      }
      answer.answers.push_back(std::move(decoded));
    }
    return answer;
  });
}

}  // namespace sycamoredrum
