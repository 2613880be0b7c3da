#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "command_line.h"
#include "commands.h"
#include "platform_access.h"
#include "sycamoredrum/ticket.h"
#include "text_table.h"
#include "ticket_file.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;

constexpr int kJsonIndent = 2;

int ExitCodeOf(WriteStatus status) {
  switch (status) {
    case WriteStatus::kAccepted:
      return kExitOk;
    case WriteStatus::kConflict:
    case WriteStatus::kGap:
      return kExitConflict;
    case WriteStatus::kInvalid:
      return kExitUsage;
    case WriteStatus::kUnavailable:
      return kExitFailure;
    case WriteStatus::kUnknown:
      return kExitUnknown;
  }
  return kExitFailure;
}

void PrintTicketChanges(const char* label, const Ticket& ticket,
                        const std::vector<std::string>& lines) {
  fmt::print(stderr, "  {} ticket {} \"{}\" of {}:\n", label, ticket.number, ticket.id,
             ticket.author);
  for (const std::string& line : lines) {
    fmt::print(stderr, "    {}\n", line);
  }
}

// Prints what the accepted and the refused ticket each change in the configuration that precedes
// them.
void PrintConflict(const Ticket& accepted, const Ticket& refused, const ConfigurationLog& log) {
  const Configuration before = log.ConfigurationAt(accepted.number - 1);
  PrintTicketChanges("accepted", accepted, DiffTicket(accepted, before));
  PrintTicketChanges("refused", refused, DiffTicket(refused, before));
  fmt::print(stderr, "  the next number is {}\n", log.Number() + 1);
}

void PrintFindings(const std::string& path, const Findings& findings) {
  for (const Finding& finding : findings.Items()) {
    fmt::print(stderr, "{}: {}: {}\n", path, finding.place, finding.reason);
  }
}

int Apply(const std::string& path, PlatformAccess& platform, bool as_json) {
  Findings findings;
  const std::optional<Ticket> ticket = ReadTicketFile(path, findings);
  if (!ticket) {
    fmt::print(stderr, "{}\n", findings.ToString());
    return kExitUsage;
  }
  const WriteResult result = platform.Write(*ticket);
  const bool accepted = result.status == WriteStatus::kAccepted;
  if (as_json) {
    const json text = {{"status", std::string(ToString(result.status))},
                       {"number", ticket->number},
                       {"message", result.message}};
    fmt::print("{}\n", text.dump());
  } else if (accepted) {
    fmt::print("{}: {}\n", ToString(result.status), result.message);
  }
  if (!accepted) {
    fmt::print(stderr, "{}: {}: {}\n", path, ToString(result.status), result.message);
  }
  if (result.winner) {
    PrintConflict(*result.winner, *ticket, platform.Log());
  }
  PrintFindings(path, result.findings);
  return ExitCodeOf(result.status);
}

int Show(const std::string& number_text, const ConfigurationLog& log, bool as_json) {
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(number_text, &number) || number == 0) {
    fmt::print(stderr, "NUMBER: \"{}\" is not a ticket number\n", number_text);
    return kExitUsage;
  }
  const std::optional<Ticket> ticket = log.FindTicket(number);
  if (!ticket) {
    fmt::print(stderr, "ticket {} does not exist; the highest accepted number is {}\n", number,
               log.Number());
    return kExitFailure;
  }
  if (as_json) {
    fmt::print("{}\n", json::parse(SerializeTicket(*ticket)).dump(kJsonIndent));
    return kExitOk;
  }
  fmt::print("ticket {} \"{}\" of {}\n", ticket->number, ticket->id, ticket->author);
  for (const std::string& line : DiffTicket(*ticket, log.ConfigurationAt(number - 1))) {
    fmt::print("  {}\n", line);
  }
  return kExitOk;
}

int List(const ConfigurationLog& log, bool as_json) {
  json list = json::array();
  TextTable table({"NUMBER", "ID", "AUTHOR", "DATABASES", "CALLER GROUPS", "REMOVED"});
  for (std::uint64_t number = 1; number <= log.Number(); ++number) {
    const std::optional<Ticket> ticket = log.FindTicket(number);
    if (!ticket) {
      continue;
    }
    const std::size_t removed =
        ticket->removed_databases.size() + ticket->removed_caller_groups.size();
    table.AddRow({std::to_string(number), ticket->id, ticket->author,
                  std::to_string(ticket->databases.size()),
                  std::to_string(ticket->caller_groups.size()), std::to_string(removed)});
    list.push_back({{"number", number},
                    {"id", ticket->id},
                    {"author", ticket->author},
                    {"databases", ticket->databases.size()},
                    {"caller_groups", ticket->caller_groups.size()},
                    {"removed", removed}});
  }
  fmt::print("{}", as_json ? list.dump() + "\n" : table.ToString());
  return kExitOk;
}

void PrintChanges(const Ticket& ticket, const Configuration& before, const Findings& findings,
                  bool as_json) {
  const std::vector<std::string> lines = DiffTicket(ticket, before);
  if (as_json) {
    const json text = {{"number", ticket.number}, {"changes", lines}, {"valid", findings.Empty()}};
    fmt::print("{}\n", text.dump());
    return;
  }
  for (const std::string& line : lines) {
    fmt::print("{}\n", line);
  }
}

int Diff(const std::string& path, const ConfigurationLog& log, bool as_json) {
  Findings findings;
  const std::optional<Ticket> ticket = ReadTicketFile(path, findings);
  if (!ticket) {
    fmt::print(stderr, "{}\n", findings.ToString());
    return kExitUsage;
  }
  const std::optional<Ticket> accepted = log.FindTicket(ticket->number);
  if (accepted && *accepted != *ticket) {
    fmt::print(stderr, "{}: conflict: number {} is taken\n", path, ticket->number);
    PrintConflict(*accepted, *ticket, log);
    return kExitConflict;
  }
  const Configuration before = accepted ? log.ConfigurationAt(ticket->number - 1) : *log.Current();
  ValidateAgainst(*ticket, before, findings);
  const std::uint64_t same_id = accepted ? 0 : log.FindNumberOfId(ticket->id);
  if (same_id != 0) {
    findings.Add("id", fmt::format("is already used by ticket {}", same_id));
  }
  PrintChanges(*ticket, before, findings, as_json);
  PrintFindings(path, findings);
  return findings.Empty() ? kExitOk : kExitUsage;
}

bool IsKnownAction(const std::vector<std::string>& positional_arguments) {
  const std::string action = positional_arguments.empty() ? "" : positional_arguments[0];
  const bool takes_word = action == "apply" || action == "show" || action == "diff";
  return (takes_word && positional_arguments.size() == 2) ||
         (action == "list" && positional_arguments.size() == 1);
}

int Run(const std::vector<std::string>& positional_arguments, PlatformAccess& platform,
        bool as_json) {
  if (positional_arguments[0] == "apply") {
    return Apply(positional_arguments[1], platform, as_json);
  }
  if (!platform.ReadTickets()) {
    fmt::print(stderr, "{}\n", platform.LastReason());
    return kExitFailure;
  }
  if (positional_arguments[0] == "show") {
    return Show(positional_arguments[1], platform.Log(), as_json);
  }
  if (positional_arguments[0] == "diff") {
    return Diff(positional_arguments[1], platform.Log(), as_json);
  }
  return List(platform.Log(), as_json);
}

}  // namespace

int RunTicketCommand(const std::vector<std::string>& arguments) {
  CommandLine line(
      "ticket (apply FILE | diff FILE | show NUMBER | list) --platform-address=IP:PORT [--json]",
      "apply gets a ticket accepted; diff shows what it would change and checks it; show and list "
      "show accepted tickets.");
  line.AddText("platform-address", "Address of the platform's key-value service")
      .AddSwitch("json", "Print JSON");
  if (const std::optional<int> exit_code = line.Parse(arguments)) {
    return *exit_code;
  }
  Findings findings;
  const Endpoint endpoint = line.Address("platform-address", findings);
  if (!IsKnownAction(line.PositionalArguments())) {
    findings.Add("command line", "expects apply FILE, diff FILE, show NUMBER or list");
  }
  if (!findings.Empty()) {
    return line.ReportUsage(findings);
  }
  PlatformAccess platform(endpoint);
  return Run(line.PositionalArguments(), platform, line.Has("json"));
}

}  // namespace sycamoredrum
