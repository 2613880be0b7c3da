#include "sycamoredrum/ticket.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <tuple>

#include "ticket_json.h"

namespace sycamoredrum {
namespace {

constexpr std::size_t kTicketKeyDigits = 12;

auto Fields(const Ticket& ticket) {
  return std::tie(ticket.number, ticket.id, ticket.author, ticket.databases, ticket.caller_groups,
                  ticket.removed_databases, ticket.removed_caller_groups);
}

nlohmann::json BackendServerToJson(const BackendServerConfig& server) {
  return {{"id", server.id},
          {"vm", server.vm},
          {"data_centre", server.data_centre},
          {"statements", server.statements.ToString()},
          {"control", server.control.ToString()},
          {"connection_cap", server.connection_cap},
          {"leaving", server.leaving}};
}

}  // namespace

bool operator==(const Ticket& a, const Ticket& b) { return Fields(a) == Fields(b); }

std::string TicketKey(std::uint64_t number) {
  return absl::StrFormat("%s%012d", kTicketKeyPrefix, number);
}

std::optional<std::uint64_t> ParseTicketKey(std::string_view key) {
  if (key.substr(0, kTicketKeyPrefix.size()) != kTicketKeyPrefix) {
    return std::nullopt;
  }
  const std::string digits(key.substr(kTicketKeyPrefix.size()));
  const bool all_digits =
      digits.size() == kTicketKeyDigits &&
      std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
  std::uint64_t number = 0;
  if (!all_digits || !absl::SimpleAtoi(digits, &number) || number == 0) {
    return std::nullopt;
  }
  return number;
}

nlohmann::json DatabaseToJson(const DatabaseConfig& database) {
  nlohmann::json servers = nlohmann::json::array();
  for (const BackendServerConfig& server : database.backend_servers) {
    servers.push_back(BackendServerToJson(server));
  }
  return {{"name", database.name},
          {"acknowledge_copies", database.acknowledge_copies},
          {"backend_servers", std::move(servers)}};
}

nlohmann::json CallerGroupToJson(const CallerGroupConfig& group) {
  return {{"name", group.name},           {"token_sha256", group.token_sha256},
          {"databases", group.databases}, {"max_read_age", FormatDuration(group.max_read_age)},
          {"weight", group.weight},       {"max_concurrent", group.max_concurrent}};
}

std::string SerializeTicket(const Ticket& ticket) {
  nlohmann::json json = {{"number", ticket.number}, {"id", ticket.id}, {"author", ticket.author}};
  for (const DatabaseConfig& database : ticket.databases) {
    json["databases"].push_back(DatabaseToJson(database));
  }
  for (const CallerGroupConfig& group : ticket.caller_groups) {
    json["caller_groups"].push_back(CallerGroupToJson(group));
  }
  if (!ticket.removed_databases.empty()) {
    json["removed_databases"] = ticket.removed_databases;
  }
  if (!ticket.removed_caller_groups.empty()) {
    json["removed_caller_groups"] = ticket.removed_caller_groups;
  }
  // Only a ticket that does not come from ParseTicket can contain text that is not UTF-8; invalid
  // bytes are then replaced, since the default handler would throw.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace sycamoredrum
