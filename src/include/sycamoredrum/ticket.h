#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration.h"
#include "sycamoredrum/finding.h"

namespace sycamoredrum {

/// A change of the configuration: the complete new state of each object that it adds or modifies,
/// and the names of the objects that it removes. The objects' member `ticket` is unused here;
/// Configuration::With sets it.
struct Ticket {
  std::uint64_t number = 0;  ///< 1 for the first ticket of a fleet.
  std::string id;            ///< Unique; distinguishes tickets that compete for the same number.
  std::string author;
  std::vector<DatabaseConfig> databases;
  std::vector<CallerGroupConfig> caller_groups;
  std::vector<std::string> removed_databases;
  std::vector<std::string> removed_caller_groups;
};

bool operator==(const Ticket& a, const Ticket& b);
inline bool operator!=(const Ticket& a, const Ticket& b) { return !(a == b); }

/// Prefix of the platform keys of accepted tickets; the ticket number follows in 12 digits.
inline constexpr std::string_view kTicketKeyPrefix = "sycamoredrum/tickets/";
inline constexpr std::uint64_t kMaxTicketNumber = 999'999'999'999;
/// The platform's key-value service accepts values of up to 1 MB.
inline constexpr std::size_t kMaxTicketBytes = 1'000'000;

/// Key of the ticket `number`. For 0, a key that sorts before the keys of all tickets.
std::string TicketKey(std::uint64_t number);

/// Inverse of TicketKey. Returns nothing for other keys.
std::optional<std::uint64_t> ParseTicketKey(std::string_view key);

/// Parses a ticket in the format of docs/ticket.schema.json. Adds to `findings` every problem that
/// can be detected without the configuration, each with its place, and returns nothing if there is
/// any. An unknown field is a problem; its finding names the known field with the most similar
/// name.
std::optional<Ticket> ParseTicket(std::string_view json, Findings& findings);

/// JSON text from which ParseTicket restores an equal ticket.
std::string SerializeTicket(const Ticket& ticket);

/// Adds the problems that `ticket` would cause as the next ticket after `configuration`: a wrong
/// number, references to databases that would not exist, removal of objects that do not exist, ids,
/// endpoints or tokens that two objects would share, and a change of the backend servers of an
/// existing database by more than one server (added or removed; a server with another id, VM or
/// control endpoint is another server).
void ValidateAgainst(const Ticket& ticket, const Configuration& configuration, Findings& findings);

/// One line for each field or object that `ticket` changes in `configuration`, for operators, in
/// the order of the ticket. Tokens are shown only as "changed".
std::vector<std::string> DiffTicket(const Ticket& ticket, const Configuration& configuration);

/// Parses a whole number with a unit: ns, us, ms, s, m or h, for example "250ms". Returns nothing
/// for other text and for values that a Duration cannot represent.
std::optional<Duration> ParseDuration(std::string_view text);

/// Text of a non-negative duration for ParseDuration: a whole number of the largest unit that
/// represents the duration exactly.
std::string FormatDuration(Duration duration);

}  // namespace sycamoredrum
