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

BackendServerView Primary(const std::string& id, std::uint64_t term, std::uint64_t promised,
                          TimePoint observed_at = kRound) {
  return Server(id, Role::kPrimary, term, promised, observed_at);
}

BackendServerView Replica(const std::string& id, std::uint64_t term, std::uint64_t promised,
                          TimePoint observed_at = kRound) {
  return Server(id, Role::kReplica, term, promised, observed_at);
}

// Guards against a proof that does not cover a write acknowledged in a later term, and against a
// replaced primary that is still taken for the primary.
TEST(DatabaseViewTest, ProofNeedsThePrimaryAndAMajorityOfTheRound) {
  const TimePoint early = kRound - milliseconds(1);
  // The names consist of server id, term, and promised term if it is higher.
  const auto a2 = Primary("a", 2, 2), b2 = Replica("b", 2, 2), c2 = Replica("c", 2, 2);
  const auto b23 = Replica("b", 2, 3), c23 = Replica("c", 2, 3);
  const auto silent_a = Silent("a"), silent_b = Silent("b"), silent_c = Silent("c");
  const struct {
    const char* name;
    std::vector<BackendServerView> servers;
    std::string primary;
    bool proof;
  } cases[] = {
      {"majority", {a2, b2, silent_c}, "a", true},
      {"replica lags a term", {a2, Replica("b", 1, 1), silent_c}, "a", true},
      {"alone", {a2, silent_b, silent_c}, "a", false},
      {"listed twice", {a2, a2, silent_c}, "a", false},
      {"replicas fenced", {a2, b23, c23}, "a", false},
      {"one replica fenced", {a2, b23, c2}, "a", true},
      {"primary fenced", {Primary("a", 2, 3), b2, c2}, "", false},
      {"replaced primary", {a2, Replica("b", 3, 3), c2}, "", false},
      {"two primaries", {a2, Primary("b", 3, 3), Replica("c", 3, 3)}, "b", true},
      {"early replica", {a2, Replica("b", 2, 2, early), silent_c}, "a", false},
      {"early primary", {Primary("a", 2, 2, early), b2, c2}, "a", false},
      {"primary silent", {silent_a, b2, c2}, "", false},
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
  std::vector<BackendServerView> servers = {Primary("a", 2, 2), Replica("b", 2, 2)};
  servers.push_back(BackendServerView{"c", false, std::nullopt, TimePoint()});
  return BuildDatabaseView("orders", servers, kRound, std::nullopt);
}

// Guards against a lost field, and against a conversion that makes a proof look newer than it is.
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
