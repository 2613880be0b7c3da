#include "sycamoredrum/database_view.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

const TimePoint kRound = TimePoint(std::chrono::hours(1));

BackendServerView Server(const std::string& id, Role role, std::uint64_t term,
                         std::uint64_t promised, TimePoint observed_at = kRound) {
  BackendServerView server;
  server.id = id;
  server.reachable = true;
  server.observed_at = observed_at;
  server.status.emplace();
  server.status->backend_server = id;
  server.status->role = role;
  server.status->term = term;
  server.status->promised_term = promised;
  server.status->last_index = 4;
  server.status->history = TermHistory({{term, 1}});
  return server;
}

BackendServerView Silent(const std::string& id) {
  BackendServerView server = Server(id, Role::kReplica, 2, 2);
  server.reachable = false;
  return server;
}

constexpr Role kReplica = Role::kReplica;
constexpr Role kPrimary = Role::kPrimary;

// Guards against a proof that does not cover a write acknowledged in a later term, and against a
// replaced primary that is still taken for the primary.
TEST(DatabaseViewTest, ProofNeedsThePrimaryAndAMajorityOfTheRound) {
  const TimePoint early = kRound - milliseconds(1);
  const struct {
    const char* name;
    std::vector<BackendServerView> servers;
    std::string primary;
    bool proof;
  } cases[] = {
      {"majority",
       {Server("a", kPrimary, 2, 2), Server("b", kReplica, 2, 2), Silent("c")},
       "a",
       true},
      {"replica lags a term",
       {Server("a", kPrimary, 2, 2), Server("b", kReplica, 1, 1), Silent("c")},
       "a",
       true},
      {"alone", {Server("a", kPrimary, 2, 2), Silent("b"), Silent("c")}, "a", false},
      {"listed twice",
       {Server("a", kPrimary, 2, 2), Server("a", kPrimary, 2, 2), Silent("c")},
       "a",
       false},
      {"replicas fenced",
       {Server("a", kPrimary, 2, 2), Server("b", kReplica, 2, 3), Server("c", kReplica, 2, 3)},
       "a",
       false},
      {"one replica fenced",
       {Server("a", kPrimary, 2, 2), Server("b", kReplica, 2, 3), Server("c", kReplica, 2, 2)},
       "a",
       true},
      {"primary fenced",
       {Server("a", kPrimary, 2, 3), Server("b", kReplica, 2, 2), Server("c", kReplica, 2, 2)},
       "",
       false},
      {"replaced primary",
       {Server("a", kPrimary, 2, 2), Server("b", kReplica, 3, 3), Server("c", kReplica, 2, 2)},
       "",
       false},
      {"two primaries",
       {Server("a", kPrimary, 2, 2), Server("b", kPrimary, 3, 3), Server("c", kReplica, 3, 3)},
       "b",
       true},
      {"early replica",
       {Server("a", kPrimary, 2, 2), Server("b", kReplica, 2, 2, early), Silent("c")},
       "a",
       false},
      {"early primary",
       {Server("a", kPrimary, 2, 2, early), Server("b", kReplica, 2, 2),
        Server("c", kReplica, 2, 2)},
       "a",
       false},
      {"primary silent",
       {Silent("a"), Server("b", kReplica, 2, 2), Server("c", kReplica, 2, 2)},
       "",
       false},
      {"no servers", {}, "", false},
  };
  const FreshnessProof previous{{1, 1}, kRound - milliseconds(500)};
  for (const auto& item : cases) {
    const DatabaseView view = BuildDatabaseView("orders", item.servers, kRound, previous);
    EXPECT_EQ(view.primary, item.primary) << item.name;
    EXPECT_EQ(view.term, item.primary.empty() ? 0U : item.primary == "b" ? 3U : 2U) << item.name;
    const FreshnessProof fresh{{view.term, 4}, kRound};
    EXPECT_EQ(view.proof, item.proof ? fresh : previous) << item.name;
  }
}

DatabaseView Example() {
  std::vector<BackendServerView> servers = {Server("a", kPrimary, 2, 2),
                                            Server("b", kReplica, 2, 2)};
  servers.push_back(BackendServerView{"c", false, std::nullopt, TimePoint()});
  return BuildDatabaseView("orders", servers, kRound, std::nullopt);
}

// Guards against a lost field, and against a transfer that makes a proof look newer than it is.
TEST(DatabaseViewTest, JsonKeepsFieldsAndNeverMakesThemYounger) {
  const DatabaseView view = Example();
  const TimePoint sent = kRound + milliseconds(7);
  EXPECT_EQ(ParseDatabaseView(ToJson(view, sent), sent), view);
  const TimePoint requested = sent - milliseconds(3);
  const auto later = ParseDatabaseView(ToJson(view, sent), requested);
  ASSERT_TRUE(later.has_value());
  EXPECT_EQ(later->proof->proven_at, kRound - milliseconds(3));
  const TimePoint fraction = sent + nanoseconds(1);
  EXPECT_LT(ParseDatabaseView(ToJson(view, fraction), fraction)->proof->proven_at, kRound);
}

// Guards against a malformed view that is read with default values, for example with a proof of age
// zero.
TEST(DatabaseViewTest, RejectsMissingAndMalformedFields) {
  const nlohmann::json good = nlohmann::json::parse(ToJson(Example(), kRound));
  const struct {
    const char* pointer;
    nlohmann::json value;
  } cases[] = {
      {"/database", 1},        {"/term", -1},
      {"/term", 1.5},          {"/primary", nullptr},
      {"/backend_servers", 3}, {"/backend_servers/0/id", 3},
      {"/proof/age_us", -5},   {"/backend_servers/0/reachable", "yes"},
      {"/proof/term", "2"},    {"/backend_servers/0/status", "none"},
      {"/proof", 1},           {"/backend_servers/0/age_us", 18446744073709551615ULL},
  };
  for (const auto& item : cases) {
    const nlohmann::json::json_pointer pointer(item.pointer);
    nlohmann::json bad = good;
    bad[pointer] = item.value;
    EXPECT_FALSE(ParseDatabaseView(bad.dump(), kRound).has_value()) << bad.dump();
    bad = good;
    bad[pointer.parent_pointer()].erase(pointer.back());
    const bool optional_field = pointer.back() == "proof" || pointer.back() == "status";
    EXPECT_EQ(ParseDatabaseView(bad.dump(), kRound).has_value(), optional_field) << bad.dump();
  }
  EXPECT_FALSE(ParseDatabaseView("[]", kRound).has_value());
  EXPECT_FALSE(ParseDatabaseView("{", kRound).has_value());
}

}  // namespace
}  // namespace sycamoredrum
