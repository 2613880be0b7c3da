#include "statement_messages.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;

// Encodes each byte as the character with its number, so that any bytes become UTF-8.
std::string BytesToText(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    if (value < 0x80) {
      text += byte;
    } else {
      text += static_cast<char>(0xC0 | (value >> 6));
      text += static_cast<char>(0x80 | (value & 0x3F));
    }
  }
  return text;
}

std::string TextToBytes(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto value = static_cast<unsigned char>(text[i]);
    if (value < 0x80 || i + 1 == text.size()) {
      bytes += text[i];
    } else {
      ++i;
      bytes +=
          static_cast<char>(((value & 0x03) << 6) | (static_cast<unsigned char>(text[i]) & 0x3F));
    }
  }
  return bytes;
}

/// Converts the texts of one message.
class TextCodec {
 public:
  explicit TextCodec(bool bytes) : bytes(bytes) {}
  std::string Encode(const std::string& text) const {
    return this->bytes ? BytesToText(text) : text;
  }
  std::string Decode(const Json& json) const {
    return this->bytes ? TextToBytes(json.get<std::string>()) : json.get<std::string>();
  }

 private:
  const bool bytes;
};

constexpr const char* kBytesField = "bytes";

// `make` builds the message with the given codec. dump() throws on texts that are not UTF-8.
template <typename Make>
std::string Dump(Make make) {
  try {
    return make(TextCodec(false)).dump();
  } catch (const Json::type_error&) {
    Json json = make(TextCodec(true));
    json[kBytesField] = true;
    return json.dump();
  }
}

template <typename Value, typename Decode>
std::optional<Value> Parse(const std::string& text, Decode decode) {
  try {
    const Json json = Json::parse(text);
    return decode(json, TextCodec(json.value(kBytesField, false)));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::int64_t ToWire(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

Json PositionJson(const LogPosition& position) {
  return Json::array({position.term, position.index});
}

LogPosition ParsePosition(const Json& json) {
  return LogPosition{json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()};
}

template <typename Value>
using Names = std::array<std::pair<Value, const char*>, 4>;

constexpr Names<StatementKind> kKinds = {{{StatementKind::kRead, "read"},
                                          {StatementKind::kWrite, "write"},
                                          {StatementKind::kExecute, "execute"},
                                          {StatementKind::kCommit, "commit"}}};
constexpr Names<ForwardedStart> kStarts = {{{ForwardedStart::kNoTransaction, "none"},
                                            {ForwardedStart::kBegin, "begin"},
                                            {ForwardedStart::kBeginReadOnly, "begin_read"},
                                            {ForwardedStart::kInTransaction, "in"}}};
constexpr Names<ForwardOutcome> kOutcomes = {{{ForwardOutcome::kAnswered, "answered"},
                                              {ForwardOutcome::kNotRun, "not_run"},
                                              {ForwardOutcome::kNoRoom, "no_room"},
                                              {ForwardOutcome::kUnknown, "unknown"}}};
constexpr std::array<std::pair<TransactionState, const char*>, 3> kStates = {
    {{TransactionState::kNone, "none"},
     {TransactionState::kOpen, "open"},
     {TransactionState::kFailed, "failed"}}};

template <typename Table, typename Value>
const char* NameOf(const Table& table, Value value) {
  for (const auto& [known, name] : table) {
    if (known == value) {
      return name;
    }
  }
  return "";
}

// Returns nothing for an unknown name: a later version may have added it.
template <typename Table>
auto ValueOf(const Table& table, const std::string& name) {
  using Value = typename Table::value_type::first_type;
  for (const auto& [value, known] : table) {
    if (name == known) {
      return std::optional<Value>(value);
    }
  }
  return std::optional<Value>();
}

StatementErrorCode ParseErrorCode(const std::string& name) {
  static const std::map<std::string, StatementErrorCode> codes = [] {
    std::map<std::string, StatementErrorCode> result;
    for (int code = 0; code <= static_cast<int>(StatementErrorCode::kOther); ++code) {
      const auto value = static_cast<StatementErrorCode>(code);
      result.emplace(std::string(ToString(value)), value);
    }
    return result;
  }();
  const auto found = codes.find(name);
  return found == codes.end() ? StatementErrorCode::kOther : found->second;
}

}  // namespace

std::string ToJson(const StatementMessage& message) {
  const ForwardedStatement& statement = message.statement;
  return Dump([&](const TextCodec& codec) {
    Json json = {{"from", message.incarnation},
                 {"session", statement.session},
                 {"number", statement.number},
                 {"start", NameOf(kStarts, statement.start)},
                 {"route", codec.Encode(statement.route)},
                 {"server", codec.Encode(statement.server)},
                 {"id", codec.Encode(statement.statement.id)},
                 {"kind", NameOf(kKinds, statement.statement.kind)},
                 {"text", codec.Encode(statement.statement.text)},
                 {"left", ToWire(statement.time_left)}};
    if (!statement.organisation.empty()) {
      json["organisation"] = codec.Encode(statement.organisation);
    }
    if (statement.statement.kind == StatementKind::kExecute) {
      json["name"] = codec.Encode(statement.statement.name);
      json["prepared"] = {codec.Encode(statement.prepared_text), statement.prepared_writes};
    }
    for (const auto& [name, value] : statement.variables) {
      json["variables"].push_back({codec.Encode(name), codec.Encode(value)});
    }
    if (statement.last_commit) {
      json["commit"] = PositionJson(*statement.last_commit);
    }
    return json;
  });
}

std::optional<StatementMessage> ParseStatementMessage(const std::string& text) {
  return Parse<StatementMessage>(
      text, [](const Json& json, const TextCodec& codec) -> std::optional<StatementMessage> {
        StatementMessage message;
        ForwardedStatement& statement = message.statement;
        message.incarnation = json.at("from").get<std::string>();
        statement.session = json.at("session").get<std::uint64_t>();
        statement.number = json.at("number").get<std::uint64_t>();
        const auto start = ValueOf(kStarts, json.at("start").get<std::string>());
        const auto kind = ValueOf(kKinds, json.at("kind").get<std::string>());
        if (!start || !kind || statement.session == 0 || statement.number == 0) {
          return std::nullopt;
        }
        statement.start = *start;
        statement.statement.kind = *kind;
        statement.route = codec.Decode(json.at("route"));
        statement.server = codec.Decode(json.at("server"));
        statement.statement.id = codec.Decode(json.at("id"));
        statement.statement.text = codec.Decode(json.at("text"));
        statement.time_left = microseconds(json.at("left").get<std::int64_t>());
        if (json.contains("organisation")) {
          statement.organisation = codec.Decode(json.at("organisation"));
        }
        if (*kind == StatementKind::kExecute) {
          statement.statement.name = codec.Decode(json.at("name"));
          statement.prepared_text = codec.Decode(json.at("prepared").at(0));
          statement.prepared_writes = json.at("prepared").at(1).get<bool>();
        }
        if (json.contains("variables")) {
          for (const Json& variable : json.at("variables")) {
            statement.variables[codec.Decode(variable.at(0))] = codec.Decode(variable.at(1));
          }
        }
        if (json.contains("commit")) {
          statement.last_commit = ParsePosition(json.at("commit"));
        }
        return message;
      });
}

std::string ToJson(const EndMessage& message) {
  return Json{{"from", message.incarnation}, {"session", message.session}}.dump();
}

std::optional<EndMessage> ParseEndMessage(const std::string& text) {
  return Parse<EndMessage>(text, [](const Json& json, const TextCodec&) {
    return EndMessage{json.at("from").get<std::string>(), json.at("session").get<std::uint64_t>()};
  });
}

std::string ToJson(const ForwardAnswer& answer) {
  return Dump([&](const TextCodec& codec) {
    Json json = {{"outcome", NameOf(kOutcomes, answer.outcome)}};
    if (answer.outcome != ForwardOutcome::kAnswered) {
      json["reason"] = codec.Encode(answer.reason);
      json["retry_after"] = ToWire(answer.retry_after);
      return json;
    }
    const StatementResult& result = answer.result;
    json["state"] = NameOf(kStates, result.state);
    for (const std::string& row : result.rows) {
      json["rows"].push_back(codec.Encode(row));
    }
    if (!result.receipt.empty()) {
      json["receipt"] = codec.Encode(result.receipt);
    }
    if (result.error) {
      json["error"] = {std::string(ToString(result.error->code)),
                       codec.Encode(result.error->message)};
    }
    if (result.position) {
      json["position"] = PositionJson(*result.position);
    }
    return json;
  });
}

std::optional<ForwardAnswer> ParseForwardAnswer(const std::string& text) {
  return Parse<ForwardAnswer>(
      text, [](const Json& json, const TextCodec& codec) -> std::optional<ForwardAnswer> {
        ForwardAnswer answer;
        answer.responded = true;
        const auto outcome = ValueOf(kOutcomes, json.at("outcome").get<std::string>());
        if (!outcome) {
          return std::nullopt;
        }
        answer.outcome = *outcome;
        if (*outcome != ForwardOutcome::kAnswered) {
          answer.reason = codec.Decode(json.at("reason"));
          answer.retry_after = microseconds(json.at("retry_after").get<std::int64_t>());
          return answer;
        }
        StatementResult& result = answer.result;
        const auto state = ValueOf(kStates, json.at("state").get<std::string>());
        if (!state) {
          return std::nullopt;
        }
        result.state = *state;
        if (json.contains("rows")) {
          for (const Json& row : json.at("rows")) {
            result.rows.push_back(codec.Decode(row));
          }
        }
        if (json.contains("receipt")) {
          result.receipt = codec.Decode(json.at("receipt"));
        }
        if (json.contains("error")) {
          result.error = StatementError{ParseErrorCode(json.at("error").at(0).get<std::string>()),
                                        codec.Decode(json.at("error").at(1))};
        }
        if (json.contains("position")) {
          result.position = ParsePosition(json.at("position"));
        }
        return answer;
      });
}

}  // namespace sycamoredrum
