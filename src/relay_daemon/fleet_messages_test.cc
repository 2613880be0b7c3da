#include "fleet_messages.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "known_primaries.h"
#include "packed_json.h"
#include "sycamoredrum/relay_settings.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

TEST(FleetMessagesTest, HeartbeatsKeepTheirContent) {
  HeartbeatMessage message;
  message.member = "m1";
  message.registration = 31;
  message.epoch = 7;
  message.configuration = 12;
  message.echoed_stamp = 123456789;
  message.echo_held = milliseconds(40);
  DatabaseReportMessage report;
  report.generation = 3;
  report.revoked_generation = 2;
  report.newest = LogPosition{4, 99};
  report.newest_age = milliseconds(15);
  report.answered_age = milliseconds(8);
  report.failing_for = milliseconds(700);
  message.databases["orders"] = report;
  message.primaries_version = 8;
  message.unreachable = {"s1"};
  message.demand = {{"s2", 1.5}};
  EXPECT_FALSE(ParseHeartbeat(ToJson(message))->used_databases);
  message.used_databases = {"orders"};
  const auto parsed = ParseHeartbeat(ToJson(message));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->registration, 31U);
  EXPECT_FALSE(parsed->grants_returned);
  EXPECT_EQ(parsed->epoch, 7U);
  EXPECT_EQ(parsed->echo_held, milliseconds(40));
  const DatabaseReportMessage& database = parsed->databases.at("orders");
  EXPECT_EQ(database.revoked_generation, 2U);
  EXPECT_EQ(database.newest, (LogPosition{4, 99}));
  EXPECT_EQ(database.answered_age, Duration(milliseconds(8)));
  EXPECT_EQ(database.failing_for, Duration(milliseconds(700)));
  EXPECT_EQ(parsed->primaries_version, 8U);
  EXPECT_EQ(parsed->unreachable, message.unreachable);
  EXPECT_EQ(parsed->demand, message.demand);
  EXPECT_EQ(parsed->used_databases, message.used_databases);
  message.grants_returned = true;
  EXPECT_TRUE(ParseHeartbeat(ToJson(message))->grants_returned);
}

TEST(FleetMessagesTest, AnswersAndStateKeepTheirContent) {
  HeartbeatAnswer answer;
  answer.epoch = 7;
  answer.stamp = 5;
  answer.configuration = 3;
  answer.servers_version = 12;
  answer.registered = false;
  answer.store_in_reach = true;
  answer.fleet_size = 295;
  answer.heartbeat_interval = milliseconds(800);
  answer.primaries_version = 9;
  const std::map<std::string, PrimaryRecord> primaries = {{"orders", PrimaryRecord{"s1", 4, true}}};
  answer.primaries = primaries;
  answer.positions["orders"] = PositionMessage{4, LogPosition{2, 8}, milliseconds(20)};
  answer.connections["s1"] = 6;
  const auto parsed = ParseHeartbeatAnswer(ToJson(answer));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->primaries, answer.primaries);
  EXPECT_EQ(parsed->positions.at("orders").age, Duration(milliseconds(20)));
  EXPECT_EQ(parsed->connections, answer.connections);
  EXPECT_EQ(parsed->servers_version, 12u);
  EXPECT_FALSE(parsed->registered);
  EXPECT_TRUE(parsed->store_in_reach);
  EXPECT_EQ(parsed->fleet_size, 295u);
  EXPECT_EQ(parsed->heartbeat_interval, Duration(milliseconds(800)));
  EXPECT_EQ(parsed->primaries_version, 9u);
  EXPECT_EQ(parsed->positions.at("orders").position, (LogPosition{2, 8}));
  EXPECT_FALSE(parsed->configuration_sources);
  answer.primaries.reset();
  answer.configuration_sources = {Endpoint{"10.0.0.3", 82}};
  EXPECT_FALSE(ParseHeartbeatAnswer(ToJson(answer))->primaries);
  EXPECT_EQ(ParseHeartbeatAnswer(ToJson(answer))->configuration_sources,
            answer.configuration_sources);
  EXPECT_EQ(ParseHeartbeatAnswer(Pack(ToJson(answer)))->configuration_sources,
            answer.configuration_sources);
  answer.configuration_sources->clear();
  EXPECT_EQ(ParseHeartbeatAnswer(ToJson(answer))->configuration_sources,
            answer.configuration_sources);

  SharedState state;
  state.leader = MemberRecord{"m1", "a", "dc", Endpoint{"10.0.0.1", 80}};
  state.epoch = 9;
  state.configuration = 3;
  state.configuration_text = "{\"version\":3}";
  BackendServerRecord server;
  server.id = "s1";
  server.database = "orders";
  server.endpoint = Endpoint{"10.0.0.2", 81};
  server.state = BackendServerState::kDraining;
  server.started_at_ms = 1765000000000;
  state.servers.emplace();
  state.servers->emplace("s1", server);
  state.servers_version = 12;
  state.peers = {Endpoint{"10.0.0.3", 82}};
  const auto shared = ParseSharedState(ToJson(state));
  ASSERT_TRUE(shared);
  EXPECT_EQ(shared->servers, state.servers);
  EXPECT_EQ(shared->servers_version, 12u);
  EXPECT_EQ(shared->peers, state.peers);
  EXPECT_EQ(shared->leader->endpoint, (Endpoint{"10.0.0.1", 80}));
  EXPECT_EQ(shared->configuration_text, state.configuration_text);
  const auto packed = ParseSharedState(Pack(ToJson(state)));
  ASSERT_TRUE(packed);
  EXPECT_EQ(packed->servers, state.servers);
  EXPECT_EQ(packed->configuration_text, state.configuration_text);
  state.servers.reset();
  EXPECT_FALSE(ParseSharedState(ToJson(state))->servers);
  const auto request = ParseStateRequest(ToJson(StateRequest{12, 0xfedcba9876543210}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->configuration, 12U);
  EXPECT_EQ(request->servers_fingerprint, 0xfedcba9876543210);
  EXPECT_FALSE(ParseStateRequest(ToJson(StateRequest{12, std::nullopt}))->servers_fingerprint);
}

// Guards against a packed state that takes more memory than a message may, and against a damaged
// one.
TEST(FleetMessagesTest, UnreadablePackedStatesAreDropped) {
  const std::string packed = Pack(ToJson(SharedState{}));
  ASSERT_TRUE(ParseSharedState(packed));
  EXPECT_FALSE(ParseSharedState(Pack("not a state")));
  EXPECT_FALSE(ParseSharedState(Pack(packed))) << "packed twice";
  EXPECT_FALSE(ParseSharedState(R"({"deflated":"AAAA","bytes":10})"));
  EXPECT_FALSE(ParseSharedState(R"({"deflated":1,"bytes":10})"));
  EXPECT_FALSE(ParseSharedState(R"({"deflated":"AAAA","bytes":99999999999})"));
  EXPECT_FALSE(ParseSharedState(R"({"deflated":"AAAA"})"));
}

// A configuration repeats the names of its fields for each route.
TEST(FleetMessagesTest, PackedConfigurationsTakeAFifth) {
  SharedState state;
  for (int i = 0; i < 1000; ++i) {
    state.configuration_text +=
        absl::StrCat(R"({"name":"route)", i * 7919 % 10007, R"(","service":"database)", i % 8,
                     R"(","consistency":"bounded_staleness","timeout_ms":1200})");
  }
  const std::string text = ToJson(state);
  EXPECT_LT(Pack(text).size(), text.size() / 5);
}

// Guards against a member that continues to use primaries that the leader no longer grants.
TEST(KnownPrimariesTest, OnlyAnAnswerOfTheSameVersionRenews) {
  PrimaryVersions versions;
  KnownPrimaries known;
  const std::map<std::string, PrimaryRecord> both = {{"a", {"s1", 1, true}},
                                                     {"b", {"s2", 1, true}}};
  const std::map<std::string, PrimaryRecord> one = {{"a", {"s1", 1, true}}};
  HeartbeatAnswer answer;
  answer.epoch = 7;
  answer.primaries_version = versions.VersionOf(both);
  EXPECT_TRUE(known.Update(answer).empty()) << "no primaries were received yet";
  answer.primaries = both;
  EXPECT_EQ(known.Update(answer), both);
  EXPECT_EQ(known.VersionFor(7), answer.primaries_version);
  EXPECT_EQ(known.VersionFor(8), 0U);
  const HeartbeatAnswer named = answer;
  answer.primaries.reset();
  EXPECT_EQ(versions.VersionOf(both), answer.primaries_version);
  EXPECT_EQ(known.Update(answer), both);
  // Database `b` is being handed over.
  answer.primaries_version = versions.VersionOf(one);
  EXPECT_TRUE(known.Update(answer).empty());
  answer.primaries = one;
  EXPECT_EQ(known.Update(answer), one);
  EXPECT_TRUE(known.Update(named).empty()) << "an answer that arrived after a later one";
  // Versions of another leader are unrelated.
  answer.epoch = 9;
  answer.primaries.reset();
  EXPECT_TRUE(known.Update(answer).empty());
}

// Guards against a member that keeps the grant of a withdrawn primary, or mixes versions, because
// an answer with changes was lost or arrived after a later one.
TEST(KnownPrimariesTest, ChangesLeadToThePrimariesOfTheLeader) {
  constexpr int kSeeds = 200;
  constexpr int kSteps = 60;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    PrimaryVersions versions;
    KnownPrimaries known;
    std::map<std::string, PrimaryRecord> primaries;
    std::vector<HeartbeatAnswer> delayed;
    std::map<std::uint64_t, std::map<std::string, PrimaryRecord>> by_version;
    for (int step = 1; step <= kSteps; ++step) {
      const std::string name(1, static_cast<char>('a' + random() % 5));
      if (random() % 3 == 0) {
        primaries.erase(name);
      } else {
        primaries[name] = PrimaryRecord{"s" + std::to_string(random() % 3),
                                        static_cast<std::uint64_t>(step), true};
      }
      HeartbeatAnswer answer;
      answer.epoch = 7;
      answer.primaries_version = versions.VersionOf(primaries);
      by_version[answer.primaries_version] = primaries;
      versions.Describe(known.VersionFor(answer.epoch), answer);
      delayed.push_back(*ParseHeartbeatAnswer(ToJson(answer)));
      // Some answers are lost, others arrive late.
      while (!delayed.empty() && random() % 2 == 0) {
        const std::size_t index = random() % delayed.size();
        const HeartbeatAnswer received = delayed[index];
        delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(index));
        if (random() % 4 == 0) {
          continue;
        }
        const auto allowed = known.Update(received);
        if (!allowed.empty()) {
          ASSERT_EQ(allowed, by_version.at(received.primaries_version)) << "seed " << seed;
        }
      }
    }
    HeartbeatAnswer last;
    last.epoch = 7;
    last.primaries_version = versions.VersionOf(primaries);
    versions.Describe(known.VersionFor(last.epoch), last);
    EXPECT_EQ(known.Update(last), primaries) << "seed " << seed;
  }
}

// Guards against lost commits after a promotion: what a member has confirmed must reach the leader.
TEST(FleetMessagesTest, RevocationAnswersAreReadBack) {
  RevocationAnswer answer;
  answer.acknowledged = true;
  answer.newest = LogPosition{3, 40};
  answer.confirmed = LogPosition{3, 38};
  answer.registration = 17;
  const std::optional<RevocationAnswer> read = ParseRevocationAnswer(ToJson(answer));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->acknowledged);
  EXPECT_EQ(read->newest, answer.newest);
  EXPECT_EQ(read->confirmed, answer.confirmed);
  EXPECT_EQ(read->registration, answer.registration);
  const std::optional<RevocationAnswer> refusal = ParseRevocationAnswer(ToJson(RevocationAnswer{}));
  ASSERT_TRUE(refusal);
  EXPECT_FALSE(refusal->acknowledged || refusal->newest || refusal->confirmed);
}

TEST(FleetMessagesTest, UnreadableMessagesAreDropped) {
  for (const char* text : {"", "null", "[]", "{}", "{\"member\":3}", "\xff"}) {
    EXPECT_FALSE(ParseHeartbeat(text)) << text;
    EXPECT_FALSE(ParseHeartbeatAnswer(text)) << text;
    EXPECT_FALSE(ParseRevocation(text)) << text;
    EXPECT_FALSE(ParseRevocationAnswer(text)) << text;
    EXPECT_FALSE(ParseSharedState(text)) << text;
    EXPECT_FALSE(ParseLeaderNotice(text)) << text;
    EXPECT_FALSE(ParseMemberRecord(text)) << text;
    EXPECT_FALSE(ParsePrimaryRecord(text)) << text;
  }
}

constexpr const char* kSettings = R"(member-id = m1
data-centre = dc1
caller-address = 10.0.0.1:8000
ready-address = 10.0.0.1:8001
peer-address = 10.0.0.1:8002
metrics-address = 10.0.0.1:8003
store-address = 10.9.0.1:9000
duty-address = 10.9.0.2:9000
seeds = 10.0.0.1:8002,10.0.0.2:8002
stop-grace = 6s
)";

std::optional<std::string> NoEnvironment(const std::string&) { return std::nullopt; }

TEST(RelaySettingsTest, FlagsOverrideEnvironmentAndEnvironmentOverridesFile) {
  Findings findings;
  const EnvironmentReader environment = [](const std::string& name) -> std::optional<std::string> {
    if (name == "SYCAMOREDRUM_FLEET_KEY") {
      return "a key of at least sixteen";
    }
    return name == "SYCAMOREDRUM_STOP_GRACE" ? std::optional<std::string>("7s") : std::nullopt;
  };
  const auto settings =
      ParseRelaySettings({"--data-centre=dc9"}, environment, std::string(kSettings), findings);
  ASSERT_TRUE(settings) << findings.ToString();
  EXPECT_EQ(settings->member_id, "m1");
  EXPECT_EQ(settings->data_centre, "dc9");
  EXPECT_EQ(settings->stop_grace, Duration(std::chrono::seconds(7)));
  EXPECT_EQ(settings->seeds.size(), 2U);
}

TEST(RelaySettingsTest, AllProblemsAreReportedTogether) {
  Findings findings;
  std::string text = kSettings;
  text += "max-sessions = many\nfleet-key = short\n";
  text.replace(text.find("10.9.0.1:9000"), 13, "nowhere");
  EXPECT_FALSE(ParseRelaySettings({}, NoEnvironment, text, findings));
  EXPECT_EQ(findings.Items().size(), 3U) << findings.ToString();
}

// Guards against a limit that is read into another one's place, and against one too low to serve.
TEST(RelaySettingsTest, LimitsOfCallers) {
  const std::string file = std::string(kSettings) + "fleet-key = a key of at least sixteen\n";
  Findings findings;
  const auto settings = ParseRelaySettings(
      {"--memory-limit=112MiB", "--max-unopened-sessions=7", "--max-http-connections=8",
       "--descriptor-reserve=9", "--open-session-timeout=1s", "--message-progress-timeout=2s",
       "--answer-progress-timeout=3s"},
      NoEnvironment, file, findings);
  ASSERT_TRUE(settings) << findings.ToString();
  EXPECT_EQ(settings->memory_limit, std::size_t{112} * 1024 * 1024);
  EXPECT_EQ(settings->max_unopened_sessions, 7U);
  EXPECT_EQ(settings->max_http_connections, 8U);
  EXPECT_EQ(settings->descriptor_reserve, 9U);
  EXPECT_EQ(settings->open_session_timeout, Duration(std::chrono::seconds(1)));
  EXPECT_EQ(settings->message_progress_timeout, Duration(std::chrono::seconds(2)));
  EXPECT_EQ(settings->answer_progress_timeout, Duration(std::chrono::seconds(3)));
  EXPECT_FALSE(ParseRelaySettings({"--memory-limit=39MiB"}, NoEnvironment, file, findings));
}

TEST(RelaySettingsTest, UnknownLinesOfTheFileAreReported) {
  Findings findings;
  EXPECT_FALSE(
      ParseRelaySettings({}, NoEnvironment, std::string(kSettings) + "unknown = 1\n", findings));
  EXPECT_EQ(findings.Items().at(0).place, "settings file");
}

// Guards against a value with a line end that sets another setting as well.
TEST(RelaySettingsTest, RepeatedLinesOfTheFileAreReported) {
  Findings findings;
  EXPECT_FALSE(ParseRelaySettings(
      {}, NoEnvironment,
      std::string(kSettings) + "fleet-key = a key of at least sixteen\ndata-centre = other\n",
      findings));
  EXPECT_EQ(findings.ToString(), "settings file, data-centre: is given more than once");
}

// Guards against names that end the header, log line or key that they are put into.
TEST(RelaySettingsTest, NamesWithControlCharactersAreReported) {
  const std::string file = std::string(kSettings) + "fleet-key = a key of at least sixteen\n";
  for (const char* flag : {"--member-id=", "--data-centre="}) {
    for (const char* name : {"m1\r\nFence-Token: 9", "m1\n", "m\t1", "m\x7f"}) {
      Findings findings;
      EXPECT_FALSE(ParseRelaySettings({std::string(flag) + name}, NoEnvironment, file, findings))
          << flag << name;
      EXPECT_EQ(findings.Items().size(), 1U);
    }
  }
  Findings findings;
  EXPECT_TRUE(ParseRelaySettings({"--data-centre=dc 1 \xc3\xa9"}, NoEnvironment, file, findings));
}

// Guards against the use of records that another writer left in the store.
TEST(FleetMessagesTest, OddRecordsInTheStoreAreRejected) {
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  const auto primary = [](const std::string& server, const std::string& generation,
                          const std::string& term) {
    return "{\"server\":" + server + ",\"generation\":" + generation +
           ",\"serving\":true,\"term\":" + term + ",\"era\":0,\"settled\":true}";
  };
  EXPECT_TRUE(ParsePrimaryRecord(primary("\"i-1\"", "5", "7")));
  for (const std::string& text :
       {std::string(), std::string("null"), std::string("\xff"), deep, primary("7", "5", "7"),
        primary("\"\"", "5", "7"), primary("\"i-1\"", "-5", "7"), primary("\"i-1\"", "5.5", "7"),
        primary("\"i-1\"", "18446744073709551615", "7"), primary("\"i-1\"", "1e999", "7"),
        primary("\"i-1\"", deep, "7"), primary("\"i-1\"", "5", "1e30"),
        primary("\"i-1\"", "5", "\"7\"")}) {
    EXPECT_FALSE(ParsePrimaryRecord(text)) << text.substr(0, 200);
  }
  const auto history = [&primary](const std::string& starts) {
    return primary("\"i-1\"", "5", "7,\"history\":" + starts);
  };
  EXPECT_EQ(ParsePrimaryRecord(history("[[2,51],[3,51]]"))->history,
            TermHistory({{2, 51}, {3, 51}}));
  for (const std::string& text :
       {history("7"), history("[7]"), history("[[2]]"), history("[[2,-1]]"), history("[[2,\"1\"]]"),
        history("[[3,51],[2,60]]"), history("[[2,51],[3,50]]"), history(deep)}) {
    const std::optional<PrimaryRecord> record = ParsePrimaryRecord(text);
    EXPECT_TRUE(record && record->history == TermHistory()) << text.substr(0, 200);
  }
  const PrimaryRecord chosen{"i-1", 5, false, 7, 0, true, TermHistory({{2, 51}}), {6, 80}};
  EXPECT_EQ(ParsePrimaryRecord(ToJson(chosen)), chosen);
  const auto member = [](const std::string& endpoint) {
    return R"({"member":"m1","incarnation":"x","data_centre":"dc","endpoint":)" + endpoint + "}";
  };
  EXPECT_TRUE(ParseMemberRecord(member("\"10.0.0.1:80\"")));
  for (const std::string& text :
       {std::string(), std::string("[]"), deep, member("7"), member("\"10.0.0.1:65536\""),
        member("\"nowhere:80\""), member(deep)}) {
    EXPECT_FALSE(ParseMemberRecord(text)) << text.substr(0, 200);
  }
}

}  // namespace
}  // namespace sycamoredrum
