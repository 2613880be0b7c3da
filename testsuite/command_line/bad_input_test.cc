#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "command_run.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using testing::HasSubstr;

// Nothing listens on port 9 of loopback addresses.
constexpr char kUnusedAddress[] = "127.0.0.1:9";

struct BadInputCase {
  std::vector<std::string> arguments;  ///< With the placeholders of Expand.
  std::vector<std::string> environment;
  int exit_code;
  std::vector<std::string> errors;  ///< Texts that must all be on standard error.
};

class BadInputTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet = std::make_unique<Fleet>(SmallFleet());
    fleet->Start();
    WriteTickets();
  }
  static void TearDownTestSuite() { fleet.reset(); }

  static void WriteTickets() {
    const auto write = [](const std::string& name, const json& ticket) {
      WriteFile(fleet->Folder(), name, ticket.dump());
    };
    write("taken", fleet->Ticket(1, "late"));
    write("gap", fleet->Ticket(7, "early"));
    json bad = fleet->Ticket(2, "bad");
    bad["databases"][0]["backend_servers"][0]["connection_cap"] = 0;
    bad["caller_groups"][0]["wieght"] = 2;
    write("bad", bad);
    json dangling = fleet->Ticket(2, "dangling");
    dangling["caller_groups"][0]["databases"] = {"orders", "missing"};
    dangling["removed_caller_groups"] = {"nobody"};
    write("dangling", dangling);
    json moved = fleet->Ticket(2, "moved");
    moved["databases"][0]["backend_servers"][0]["control"] = "127.0.0.1:7002";
    write("moved", moved);
    write("same_id", fleet->Ticket(2, "first"));
    write("valid", fleet->Ticket(2, "second"));
    WriteFile(fleet->Folder(), "text", "not a ticket");
  }

  // Replaces {P} by the address of the platform, {A} by the admin address of the proxy, {N} by an
  // address without a listener and {F} by the folder of the files.
  static std::string Expand(std::string text) {
    const std::vector<std::pair<std::string, std::string>> replacements = {
        {"{P}", fleet->PlatformAddress().ToString()},
        {"{A}", fleet->AdminAddress(0).ToString()},
        {"{N}", kUnusedAddress},
        {"{F}", fleet->Folder()}};
    for (const auto& [name, value] : replacements) {
      for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name)) {
        text.replace(at, name.size(), value);
      }
    }
    return text;
  }

  static std::string ListAcceptedTickets() {
    return fleet
        ->Call(fleet->PlatformAddress(), "GET", "/v1/list?prefix=sycamoredrum%2F&after=&limit=64")
        .response.body;
  }

  static void ExpectRejected(const BadInputCase& bad) {
    std::vector<std::string> arguments;
    for (const std::string& argument : bad.arguments) {
      arguments.push_back(Expand(argument));
    }
    const std::string before = ListAcceptedTickets();
    EXPECT_THAT(before, HasSubstr("sycamoredrum/tickets/000000000001"));
    const CommandRun run = RunBinary(arguments, bad.environment, fleet->Folder());
    const std::string name = testing::PrintToString(bad.arguments);
    EXPECT_EQ(run.exit_code, bad.exit_code) << name << run.errors;
    for (const std::string& error : bad.errors) {
      EXPECT_THAT(run.errors, HasSubstr(Expand(error))) << name;
    }
    EXPECT_EQ(ListAcceptedTickets(), before) << name;
    const json status = fleet->Status(0);
    EXPECT_TRUE(status.value("ready", false)) << name;
    EXPECT_EQ(status.value("configuration_number", 0), 1) << name;
  }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> BadInputTest::fleet;

// Guards against a command that acts on an invalid command line or reports success for it.
TEST_F(BadInputTest, CommandLines) {
  const std::vector<BadInputCase> cases = {
      {{}, {}, 2, {"Usage: sycamoredrum COMMAND"}},
      {{"stats"}, {}, 2, {"there is no command \"stats\""}},
      {{"version", "now"}, {}, 2, {"command line: version takes no words"}},
      {{"status"}, {}, 2, {"--admin-address: is required", "usage: sycamoredrum status"}},
      {{"status", "--admin-address=a"},
       {},
       2,
       {"--admin-address: \"a\" is not an address of the form IP:PORT"}},
      {{"status"},
       {"SYCAMOREDRUM_ADMIN_ADDRESS=x:0,y"},
       2,
       {"SYCAMOREDRUM_ADMIN_ADDRESS: \"x:0\" is not", "SYCAMOREDRUM_ADMIN_ADDRESS: \"y\" is not"}},
      {{"status", "--admin={A}"}, {}, 2, {"command line: unrecognised option"}},
      {{"status", "--admin-address={A}", "all"}, {}, 2, {"status takes no words"}},
      {{"status", "--admin-address={N},{A}"}, {}, 1, {"{N}: cannot be reached"}},
      {{"route", "--admin-address={A}"},
       {},
       2,
       {"--caller-group: is required", "--database: is required"}},
      {{"route", "--caller-group=nobody", "--database=orders", "--admin-address={A}"},
       {},
       1,
       {"{A}: there is no caller group \"nobody\""}},
      {{"route", "--caller-group=testers", "--database=a&b", "--admin-address={A}"},
       {},
       1,
       {"{A}: there is no database \"a&b\""}},
      {{"drain"}, {}, 2, {"--admin-address: is required"}},
      {{"drain", "--admin-address={A},{A}"}, {}, 2, {"--admin-address: takes one address"}},
      {{"drain", "--admin-address={A}", "--admin-address={A}"}, {}, 2, {"command line: option"}},
      {{"drain", "--admin-address={A}", "now"}, {}, 2, {"drain takes no words"}},
      {{"drain", "--admin-address={N}"}, {}, 1, {"{N}: cannot be reached"}},
  };
  for (const BadInputCase& bad : cases) {
    ExpectRejected(bad);
  }
}

// Guards against a ticket that is applied, wholly or in part, although it must be refused, and
// against an error message that does not say what to correct.
TEST_F(BadInputTest, Tickets) {
  const std::string platform = "--platform-address={P}";
  const std::vector<BadInputCase> cases = {
      {{"ticket"}, {}, 2, {"--platform-address: is required", "command line: expects apply FILE"}},
      {{"ticket", "apply", platform}, {}, 2, {"command line: expects apply FILE"}},
      {{"ticket", "remove", "1", platform}, {}, 2, {"command line: expects apply FILE"}},
      {{"ticket", "list", "1", platform}, {}, 2, {"command line: expects apply FILE"}},
      {{"ticket", "apply", "{F}/none", platform}, {}, 2, {"{F}/none: cannot be read"}},
      {{"ticket", "apply", "{F}", platform}, {}, 2, {"{F}: cannot be read"}},
      {{"ticket", "apply", "{F}/text", platform}, {}, 2, {"{F}/text: ticket: is not valid JSON"}},
      {{"ticket", "apply", "{F}/bad", platform},
       {},
       2,
       {"{F}/bad: databases[0].backend_servers[0].connection_cap: 0 is not in the range",
        "{F}/bad: caller_groups[0].wieght: unknown field"}},
      {{"ticket", "apply", "{F}/dangling", platform},
       {},
       2,
       {"{F}/dangling: invalid: ticket 2 is not valid",
        "{F}/dangling: caller_groups[0].databases[1]: database \"missing\" does not exist",
        "{F}/dangling: removed_caller_groups[0]: caller group \"nobody\" does not exist"}},
      {{"ticket", "apply", "{F}/moved", platform},
       {},
       2,
       {"{F}/moved: databases[0].backend_servers: adds 1 and removes 1 servers"}},
      {{"ticket", "apply", "{F}/same_id", platform}, {}, 2, {"id: is already used by ticket 1"}},
      {{"ticket", "apply", "{F}/taken", platform},
       {},
       3,
       {"{F}/taken: conflict: number 1 was taken by ticket \"first\" of test",
        "accepted ticket 1 \"first\" of test:\n    database orders: added with 1",
        "refused ticket 1 \"late\" of test:\n    database orders: added with 1",
        "the next number is 2"}},
      {{"ticket", "apply", "{F}/gap", platform},
       {},
       3,
       {"{F}/gap: gap: ticket 7 cannot be accepted: ticket 6 does not exist"}},
      {{"ticket", "apply", "{F}/valid"},
       {std::string("SYCAMOREDRUM_PLATFORM_ADDRESS=") + kUnusedAddress},
       1,
       {"unavailable", "ticket 2 was not written"}},
      {{"ticket", "diff", "{F}/taken", platform}, {}, 3, {"accepted ticket 1", "refused ticket 1"}},
      {{"ticket", "diff", "{F}/gap", platform}, {}, 2, {"{F}/gap: number: must be 2"}},
      {{"ticket", "diff", "{F}/moved", platform}, {}, 2, {"majorities of the old and the new"}},
      {{"ticket", "show", "2", platform},
       {},
       1,
       {"ticket 2 does not exist; the highest accepted number is 1"}},
      {{"ticket", "show", "two", platform}, {}, 2, {"NUMBER: \"two\" is not a ticket number"}},
      {{"ticket", "list", "--platform-address={N}"}, {}, 1, {"{N}: the platform is unavailable"}},
  };
  for (const BadInputCase& bad : cases) {
    ExpectRejected(bad);
  }
}

// Guards against a proxy that starts with invalid, misspelled or repeated settings, and against a
// check that reports only the first problem.
TEST_F(BadInputTest, Settings) {
  const std::vector<BadInputCase> cases = {
      {{"check"}, {}, 2, {"--member-id: is required", "--fleet-key: is required"}},
      {{"check", "--worker=4", "--seed=x", "--workers=0"},
       {},
       2,
       {"--worker: is not a setting", "--seed: is not a setting"}},
      {{"check", "--workers=0", "--drain-delay=1"},
       {"SYCAMOREDRUM_FLEET_KEY=short", "SYCAMOREDRUM_SEEDS=a,b"},
       2,
       {"--workers: \"0\" is not a number from 1 to 256", "--drain-delay: \"1\" is not a duration",
        "SYCAMOREDRUM_FLEET_KEY: must have at least 16 bytes",
        "SYCAMOREDRUM_SEEDS: \"a\" is not an address", "SYCAMOREDRUM_SEEDS: \"b\" is not"}},
      {{"check", "--workers=1", "--workers=2"}, {}, 2, {"--workers: is given more than once"}},
      {{"check", "proxy"}, {}, 2, {"command line: unexpected word \"proxy\""}},
      {{"check", "--ticket"}, {}, 2, {"command line: the required argument for option"}},
      {{"check", "--ticket={F}/none", "--settings"},
       {},
       2,
       {"--member-id: is required", "{F}/none: cannot be read"}},
      {{"check", "--ticket={F}/bad", "--ticket={F}/text"},
       {},
       2,
       {"connection_cap: 0 is not in the range", "{F}/text: ticket: is not valid JSON"}},
      {{"proxy", "--workers=0"}, {}, 2, {"--workers: \"0\" is not", "--member-id: is required"}},
      {{"proxy", "--worker=1"}, {}, 2, {"command line: unrecognised option '--worker=1'"}},
  };
  for (const BadInputCase& bad : cases) {
    ExpectRejected(bad);
  }
}

}  // namespace
}  // namespace sycamoredrum
