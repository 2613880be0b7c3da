#include "sycamoredrum/ticket.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sycamoredrum {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

std::string ReadDocument(const std::string& name) {
  const std::ifstream file(std::string(SYCAMOREDRUM_DOCS_DIRECTORY) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

nlohmann::json Example() {
  return nlohmann::json::parse(ReadDocument("examples/rackline-fixtures.json"));
}

Ticket ParseValid(const std::string& text) {
  Findings findings;
  const std::optional<Ticket> ticket = ParseTicket(text, findings);
  EXPECT_EQ(findings.ToString(), "");
  return ticket.value_or(Ticket{});
}

// Guards against example tickets that the product rejects, and against fields that are lost when a
// ticket is serialized and parsed again.
TEST(TicketTest, ExamplesParseAndKeepEveryField) {
  for (const char* name :
       {"examples/rackline-fixtures.json", "examples/kodolrieksts-tehnologijas.json"}) {
    const Ticket ticket = ParseValid(ReadDocument(name));
    EXPECT_EQ(ticket.databases.size(), 3U) << name;
    EXPECT_EQ(ParseValid(SerializeTicket(ticket)), ticket) << name;
    Findings findings;
    ValidateAgainst(ticket, Configuration(), findings);
    EXPECT_EQ(findings.ToString(), "") << name;
  }
}

// Guards against a schema that does not list the fields that the parser knows.
TEST(TicketTest, SchemaListsTheSerializedFields) {
  const nlohmann::json schema = nlohmann::json::parse(ReadDocument("ticket.schema.json"));
  const Ticket ticket = ParseValid(Example().dump());
  const nlohmann::json json = nlohmann::json::parse(SerializeTicket(ticket));
  const auto expect_fields = [](const nlohmann::json& object, const nlohmann::json& definition) {
    EXPECT_EQ(object.size(), definition.at("properties").size());
    for (const auto& item : object.items()) {
      EXPECT_TRUE(definition.at("properties").contains(item.key())) << item.key();
    }
  };
  expect_fields(json.at("databases").at(0), schema.at("$defs").at("database"));
  expect_fields(json.at("caller_groups").at(0), schema.at("$defs").at("caller_group"));
  expect_fields(json.at("databases").at(0).at("backend_servers").at(0),
                schema.at("$defs").at("backend_server"));
}

struct BadTicketCase {
  const char* pointer;  ///< JSON pointer of the value that is replaced.
  const char* value;
  const char* finding;  ///< Place and start of the reason.
};

// Guards against problems in a ticket that are accepted, reported without their place, or that
// suppress the report of other problems.
TEST(TicketTest, ReportsEachProblemWithItsPlace) {
  const std::vector<BadTicketCase> cases = {
      {"/databases/0/backend_servers/2/connection_cap", "0",
       "databases[0].backend_servers[2].connection_cap: 0 is not in the range 1 to 10000"},
      {"/databases/0/backend_servers/1/connection_cap", "1.5",
       "databases[0].backend_servers[1].connection_cap: must be a whole number"},
      {"/databases/0/backend_servers/0/conection_cap", "3",
       "databases[0].backend_servers[0].conection_cap: unknown field; the nearest known field is "
       "\"connection_cap\""},
      {"/databases/1/backend_servers/0/id", "\"orders-1\"",
       "databases[1].backend_servers[0].id: \"orders-1\" is already used by "
       "databases[0].backend_servers[0].id"},
      {"/databases/1/backend_servers/0/statements", "\"10.20.1.10\"",
       "databases[1].backend_servers[0].statements: \"10.20.1.10\" is not of the form"},
      {"/databases/1/backend_servers/0/leaving", "\"yes\"",
       "databases[1].backend_servers[0].leaving: must be true or false"},
      {"/databases/2/acknowledge_copies", "4",
       "databases[2].acknowledge_copies: 4 is not in the range 1 to 3"},
      {"/databases/2/backend_servers", "[]", "databases[2].backend_servers: must list 1 to 9"},
      {"/databases/2/name", "\"orders\"", "databases[2].name: \"orders\" is already used"},
      {"/databases/2", "7", "databases[2]: must be an object"},
      {"/caller_groups/0/max_read_age", "\"5 seconds\"",
       "caller_groups[0].max_read_age: \"5 seconds\" is not a whole number with a unit"},
      {"/caller_groups/0/max_read_age", "\"25h\"", "caller_groups[0].max_read_age: 25h is more"},
      {"/caller_groups/0/max_read_age", "5", "caller_groups[0].max_read_age: must be text"},
      {"/caller_groups/1/token_sha256", "\"ABC\"",
       "caller_groups[1].token_sha256: must be 64 lower-case"},
      {"/caller_groups/1/databases/0", "\"a b\"", "caller_groups[1].databases[0]: \"a b\" is not"},
      {"/caller_groups/1/weight", "-1", "caller_groups[1].weight: -1 is not in the range"},
      {"/removed_databases", "[\"orders\"]", "removed_databases[0]: \"orders\" is already used"},
      {"/number", "0", "number: 0 is not in the range"},
      {"/number", "18446744073709551615", "number: 18446744073709551615 is not in the range"},
      {"/author", "\"\"", "author: must not be empty"},
      {"/databases", "{}", "databases: must be a list"},
  };
  for (const BadTicketCase& bad : cases) {
    nlohmann::json json = Example();
    json[nlohmann::json::json_pointer(bad.pointer)] = nlohmann::json::parse(bad.value);
    json["caller_groups"][2]["max_concurrent"] = 0;
    Findings findings;
    EXPECT_FALSE(ParseTicket(json.dump(), findings).has_value()) << bad.pointer;
    EXPECT_THAT(findings.ToString(), HasSubstr(bad.finding));
    EXPECT_THAT(findings.ToString(), HasSubstr("caller_groups[2].max_concurrent: 0 is not"));
  }
}

// Guards against parsing text that is not a ticket.
TEST(TicketTest, RejectsTextThatIsNotATicket) {
  const std::vector<std::pair<const char*, const char*>> cases = {
      {"", "ticket: is not valid JSON"},
      {"[]", "ticket: must be a JSON object"},
      {R"({"number":1,"id":"a","author":"b"})", "ticket: changes nothing"},
      {R"({"number":1,"number":2,"id":"a","author":"b","removed_databases":["x"]})",
       "number: the field occurs twice"},
  };
  for (const auto& [text, finding] : cases) {
    Findings findings;
    EXPECT_FALSE(ParseTicket(text, findings).has_value()) << text;
    EXPECT_THAT(findings.ToString(), HasSubstr(finding));
  }
}

// Guards against a ticket after which the configuration has references to missing objects, or ids,
// endpoints or tokens that two objects share.
TEST(TicketTest, ValidationReportsEveryProblem) {
  const Configuration configuration = Configuration().With(ParseValid(Example().dump()));
  const auto findings_of = [&](const nlohmann::json& changes) {
    nlohmann::json json = {{"number", 2}, {"id", "second"}, {"author", "a"}};
    json.update(changes);
    Findings findings;
    ValidateAgainst(ParseValid(json.dump()), configuration, findings);
    return findings.ToString();
  };
  nlohmann::json group = Example()["caller_groups"][0];
  group["name"] = "other";
  group["databases"] = {"orders", "missing"};
  EXPECT_EQ(findings_of({{"caller_groups", {group}}}),
            "caller_groups[0].token_sha256: is already used by caller group \"stores\"\n"
            "caller_groups[0].databases[1]: database \"missing\" does not exist");
  EXPECT_THAT(findings_of({{"removed_databases", {"orders"}}}),
              HasSubstr("removed_databases[0]: caller group \"stores\" still refers"));
  EXPECT_THAT(findings_of({{"removed_caller_groups", {"nobody"}}}),
              HasSubstr("removed_caller_groups[0]: caller group \"nobody\" does not exist"));
  EXPECT_THAT(findings_of({{"number", 3}, {"removed_caller_groups", {"reports"}}}),
              HasSubstr("number: must be 2"));
  nlohmann::json database = Example()["databases"][0];
  database["name"] = "copy";
  EXPECT_THAT(findings_of({{"databases", {database}}}),
              HasSubstr("databases[0].backend_servers[0].id: is already used by database"));
}

// Guards against a change of a database's backend servers after which a majority of the old servers
// and a majority of the new ones have no server in common, so that two proxies could promote two
// primaries in one term.
TEST(TicketTest, ATicketChangesAtMostOneBackendServer) {
  const Configuration configuration = Configuration().With(ParseValid(Example().dump()));
  const std::string added =
      R"({"op":"add","path":"/-","value":{"id":"orders-4","vm":"v4","data_centre":"mumbai",)"
      R"("statements":"10.20.1.44:7001","control":"10.20.1.44:7002"}})";
  const std::string added_too =
      R"({"op":"add","path":"/-","value":{"id":"orders-5","vm":"v5","data_centre":"mumbai",)"
      R"("statements":"10.20.1.45:7001","control":"10.20.1.45:7002"}})";
  const std::string removed = R"({"op":"remove","path":"/0"})";
  const std::string other_cap = R"({"op":"replace","path":"/1/connection_cap","value":30})";
  const std::string other_vm = R"({"op":"replace","path":"/1/vm","value":"other"})";
  const std::string other_control =
      R"({"op":"replace","path":"/1/control","value":"10.20.2.99:7002"})";
  const std::string other_statements =
      R"({"op":"replace","path":"/1/statements","value":"10.20.2.10:7003"})";
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{added}, ""},
      {{removed}, ""},
      {{other_cap, other_statements}, ""},
      {{other_cap, added}, ""},
      {{added, removed}, "adds 1 and removes 1 servers"},
      {{added, added_too}, "adds 2 and removes 0 servers"},
      {{removed, removed}, "adds 0 and removes 2 servers"},
      {{other_vm}, "adds 1 and removes 1 servers"},
      {{other_control}, "adds 1 and removes 1 servers"},
  };
  for (const auto& [operations, finding] : cases) {
    nlohmann::json patch = nlohmann::json::array();
    for (const std::string& operation : operations) {
      patch.push_back(nlohmann::json::parse(operation));
    }
    nlohmann::json database = Example()["databases"][0];
    database["backend_servers"] = database["backend_servers"].patch(patch);
    database["acknowledge_copies"] = 1;  // Also valid for the group with one server.
    const nlohmann::json json = {
        {"number", 2}, {"id", "second"}, {"author", "a"}, {"databases", {database}}};
    Findings findings;
    ValidateAgainst(ParseValid(json.dump()), configuration, findings);
    if (finding.empty()) {
      EXPECT_EQ(findings.ToString(), "") << patch;
    } else {
      EXPECT_THAT(findings.ToString(), HasSubstr("databases[0].backend_servers: " + finding));
      EXPECT_THAT(findings.ToString(), HasSubstr("majorities of the old and the new group"));
    }
  }
}

// Guards against changes that are missing in the output for the operator, and against tokens in it.
TEST(TicketTest, DiffShowsOnlyWhatChanges) {
  const Configuration configuration = Configuration().With(ParseValid(Example().dump()));
  nlohmann::json database = Example()["databases"][0];
  database["backend_servers"][2]["connection_cap"] = 30;
  nlohmann::json group = Example()["caller_groups"][0];
  group["token_sha256"] = std::string(64, 'a');
  nlohmann::json json = {{"number", 2},
                         {"id", "second"},
                         {"author", "a"},
                         {"databases", {database, Example()["databases"][1]}},
                         {"caller_groups", {group}},
                         {"removed_caller_groups", {"reports"}}};
  EXPECT_THAT(DiffTicket(ParseValid(json.dump()), configuration),
              ElementsAre("database orders: backend_servers.orders-3.connection_cap 20 -> 30",
                          "database stock: unchanged", "caller group stores: token_sha256 changed",
                          "caller group reports: removed"));
}

// Guards against a caller group that is still found by its old token, or not found by its new one.
TEST(ConfigurationTest, TokenLookupFollowsTokenChanges) {
  Ticket ticket = ParseValid(Example().dump());
  const Configuration first = Configuration().With(ticket);
  const std::string token0 = ticket.caller_groups[0].token_sha256;
  const std::string token1 = ticket.caller_groups[1].token_sha256;
  ticket.number = 2;
  std::swap(ticket.caller_groups[0].token_sha256, ticket.caller_groups[1].token_sha256);
  ticket.removed_caller_groups = {ticket.caller_groups[2].name};
  ticket.caller_groups.resize(2);
  const Configuration second = first.With(ticket);
  EXPECT_EQ(first.FindCallerGroupByToken(token0)->name, "stores");
  EXPECT_EQ(second.FindCallerGroupByToken(token0)->name, "warehouse");
  EXPECT_EQ(second.FindCallerGroupByToken(token1)->name, "stores");
  EXPECT_EQ(second.CallerGroups().size(), 2U);
  EXPECT_EQ(second.FindCallerGroup("stores")->ticket, 2U);
}

TEST(DurationTest, FormatRestoresParsedText) {
  for (const char* text : {"0s", "5s", "250ms", "24h", "90m", "1us", "7ns"}) {
    ASSERT_TRUE(ParseDuration(text).has_value()) << text;
    EXPECT_EQ(FormatDuration(*ParseDuration(text)), text);
  }
  for (const char* text : {"", "5", "s", "-5s", "5 s", "1.5s", "9223372036854775807h"}) {
    EXPECT_FALSE(ParseDuration(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace sycamoredrum
