#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <nlohmann/json.hpp>

#include "command_run.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::seconds;
using testing::HasSubstr;

constexpr seconds kInForceTimeout(10);

// Guards against a command that fails or prints wrong data on a working fleet.
TEST(CommandsTest, EveryCommandWorksOnASmallFleet) {
  Fleet fleet(SmallFleet());
  fleet.Start();
  const std::vector<std::string> environment = {
      "SYCAMOREDRUM_ADMIN_ADDRESS=" + fleet.AdminAddress(0).ToString(),
      "SYCAMOREDRUM_PLATFORM_ADDRESS=" + fleet.PlatformAddress().ToString()};
  const auto run = [&](const std::vector<std::string>& arguments) {
    CommandRun result = RunBinary(arguments, environment, fleet.Folder());
    EXPECT_EQ(result.exit_code, 0) << testing::PrintToString(arguments) << result.errors;
    return result.output;
  };
  const auto run_json = [&](std::vector<std::string> arguments) {
    arguments.emplace_back("--json");
    return json::parse(run(arguments), nullptr, /*allow_exceptions=*/false);
  };

  EXPECT_THAT(run({"version"}), HasSubstr("sycamoredrum "));
  EXPECT_TRUE(run_json({"version"}).contains("version"));
  const std::string help = run({"help"});
  for (const char* command : {"proxy", "check", "ticket", "status", "route", "drain", "version"}) {
    EXPECT_THAT(help, HasSubstr(std::string("\n  ") + command));
    EXPECT_THAT(run({command, "--help"}), HasSubstr("Usage: sycamoredrum " + std::string(command)));
  }

  json ticket = fleet.Ticket(2, "second");
  ticket["caller_groups"][0]["weight"] = 3;
  const std::string path = WriteFile(fleet.Folder(), "second.json", ticket.dump());
  EXPECT_EQ(run({"check", "--ticket=" + path}), "valid\n");
  EXPECT_EQ(run_json({"check", "--ticket=" + path}).value("valid", false), true);
  EXPECT_EQ(run({"ticket", "diff", path}),
            "database orders: unchanged\ncaller group testers: weight 1 -> 3\n");
  EXPECT_EQ(run({"ticket", "apply", path}), "accepted: ticket 2 is accepted\n");
  EXPECT_EQ(run_json({"ticket", "apply", path}).value("status", ""), "accepted");
  EXPECT_EQ(run_json({"ticket", "diff", path}).value("valid", false), true);
  EXPECT_THAT(run({"ticket", "show", "2"}), HasSubstr("caller group testers: weight 1 -> 3"));
  EXPECT_EQ(run_json({"ticket", "show", "2"}).value("id", ""), "second");
  EXPECT_THAT(run({"ticket", "list"}), HasSubstr("2       second  test"));
  EXPECT_EQ(run_json({"ticket", "list"}).size(), 2U);

  EXPECT_TRUE(Fleet::WaitUntil(
      [&] { return fleet.Status(0).value("configuration_number", 0) == 2; }, kInForceTimeout));
  const std::string status = run({"status"});
  EXPECT_THAT(status, HasSubstr("proxy-0 (" + fleet.AdminAddress(0).ToString() +
                                ", mumbai): ready, configuration 2"));
  EXPECT_THAT(status, HasSubstr("orders    orders-mumbai"));
  const std::string same_address_twice =
      fleet.AdminAddress(0).ToString() + "," + fleet.AdminAddress(0).ToString();
  const json both = run_json({"status", "--admin-address=" + same_address_twice});
  ASSERT_EQ(both.size(), 2U);
  EXPECT_EQ(both[1]["status"]["configuration_number"], 2);
  EXPECT_THAT(run({"route", "--caller-group=testers", "--database=orders"}),
              HasSubstr("writes go to   orders-mumbai"));
  EXPECT_EQ(run_json({"route", "--caller-group=testers", "--database=orders"}).value("writes", ""),
            "orders-mumbai");

  EXPECT_THAT(run({"drain"}), HasSubstr(": draining"));
  EXPECT_EQ(fleet.ProxyProcess(0).Wait(seconds(20)), 0);
}

// Guards against wrong results after a lost answer: a ticket that was accepted counts as a success,
// and a drain without an answer ends with the exit code of an unknown outcome (4).
TEST(CommandsTest, LostAnswersAreNotFailures) {
  Fleet fleet(SmallFleet());
  fleet.Start();
  const std::string admin = "--admin-address=" + fleet.AdminAddress(0).ToString();
  const std::string platform = "--platform-address=" + fleet.PlatformAddress().ToString();
  const std::string path =
      WriteFile(fleet.Folder(), "second.json", fleet.Ticket(2, "second").dump());
  fleet.SetTestSwitch(fleet.PlatformAddress(), "lose-answers", {{"count", 1}});
  const CommandRun apply = RunBinary({"ticket", "apply", path, platform}, {}, fleet.Folder());
  EXPECT_EQ(apply.exit_code, 0) << apply.errors;

  fleet.ProxyProcess(0).Signal(SIGSTOP);
  const CommandRun drain = RunBinary({"drain", admin}, {}, fleet.Folder());
  EXPECT_EQ(drain.exit_code, 4) << drain.errors;
  EXPECT_THAT(drain.errors, HasSubstr(fleet.AdminAddress(0).ToString() + ": gave no complete"));
  fleet.ProxyProcess(0).Signal(SIGCONT);
  EXPECT_EQ(fleet.ProxyProcess(0).Wait(seconds(20)), 0);
}

// Guards against a check that rejects settings with which a proxy runs.
TEST(CommandsTest, CheckAcceptsValidSettings) {
  const CommandRun run = RunBinary(
      {"check", "--member-id=proxy-0", "--data-centre=mumbai", "--caller-address=127.0.0.1:8080",
       "--peer-address=127.0.0.1:8081", "--membership-address=127.0.0.1:8082",
       "--admin-address=127.0.0.1:8083", "--platform-address=127.0.0.1:7100"},
      {"SYCAMOREDRUM_FLEET_KEY=0123456789abcdef"}, testing::TempDir());
  EXPECT_EQ(run.exit_code, 0) << run.errors;
  EXPECT_EQ(run.output, "valid\n");
}

}  // namespace
}  // namespace sycamoredrum
