#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sycamoredrum/statement_forwarding.h"

namespace sycamoredrum {

/// Body of the request `statement` between relays.
struct StatementMessage {
  std::string incarnation;  ///< Of the sender.
  ForwardedStatement statement;
};

/// Texts of statements and results may be any bytes; a message with bytes that are not UTF-8 is
/// sent in an encoding of its own.
std::string ToJson(const StatementMessage& message);
std::optional<StatementMessage> ParseStatementMessage(const std::string& json);

/// Body of the request `end`. Session 0 does not exist: the message then only opens the link.
struct EndMessage {
  std::string incarnation;  ///< Of the sender.
  std::uint64_t session = 0;
};

std::string ToJson(const EndMessage& message);
std::optional<EndMessage> ParseEndMessage(const std::string& json);

/// Answer to the request `statement`.
std::string ToJson(const ForwardAnswer& answer);
std::optional<ForwardAnswer> ParseForwardAnswer(const std::string& json);

}  // namespace sycamoredrum
