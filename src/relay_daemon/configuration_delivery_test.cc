#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet_leader.h"
#include "fleet_messages.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/peer_link.h"
#include "sycamoredrum/relay_daemon.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kFleetKey = "a key of the tests' fleet";
constexpr const char* kConfigurationKey = "configuration";

/// A store in memory for one process. All calls and changes run on the process's loop.
class MemoryStore {
 public:
  explicit MemoryStore(EventLoop& loop) : loop(loop) {}

  void Put(const std::string& key, const std::string& value) {
    this->items[key] = KeyValue{key, value, ++this->revision};
  }

  CoordinationStore Hooks() {
    CoordinationStore store;
    store.list = [this](const std::string& prefix, CoordinationStore::PageCallback done) {
      this->loop.Post([this, prefix, done = std::move(done)] {
        StorePage page;
        page.revision = this->revision;
        for (const auto& [key, item] : this->items) {
          if (key.compare(0, prefix.size(), prefix) == 0) {
            page.items.push_back(item);
          }
        }
        done(PlatformStatus::kOk, page);
      });
    };
    store.watch = [this](const std::string&, std::uint64_t, Duration timeout,
                         CoordinationStore::WatchCallback done) {
      // The store keeps no history, so that every watch leads to a list.
      this->loop.RunAfter(std::min<Duration>(timeout, milliseconds(100)),
                          [done = std::move(done)] { done(WatchStatus::kHistoryLost, {}); });
    };
    store.write = [this](const ConditionalWrite& write, const std::vector<RevisionCondition>&,
                         CoordinationStore::WriteCallback done) {
      this->loop.Post([this, write, done = std::move(done)] {
        this->Put(write.key, write.value.value_or(""));
        done(PlatformStatus::kOk, this->revision);
      });
    };
    store.grant_lease = [this](Duration time_to_live, CoordinationStore::LeaseCallback done) {
      this->loop.Post(
          [time_to_live, done = std::move(done)] { done(PlatformStatus::kOk, 1, time_to_live); });
    };
    const auto ok = [this](std::uint64_t, CoordinationStore::StatusCallback done) {
      this->loop.Post([done = std::move(done)] { done(PlatformStatus::kOk); });
    };
    store.renew_lease = ok;
    store.end_lease = ok;
    return store;
  }

 private:
  EventLoop& loop;
  std::map<std::string, KeyValue> items;
  std::uint64_t revision = 100;
};

/// The leader of a large fleet. It answers heartbeats at once, and reports that it uses `version`
/// and reaches the store. An answer with a configuration takes `transfer_time`.
class BusyLeader {
 public:
  BusyLeader(std::uint64_t version, Duration transfer_time)
      : loop(1),
        server(this->loop, PeerIdentity{"leader", "dc1", kFleetKey}, PeerOptions{},
               {{"heartbeat",
                 [this, version](const PeerRequest& request, const PeerRespond& respond) {
                   this->OnHeartbeat(version, request, respond);
                 }},
                {"state",
                 [this, version, transfer_time](const PeerRequest&, const PeerRespond& respond) {
                   this->loop.RunAfter(transfer_time, [version, respond] {
                     SharedState state;
                     state.configuration = version;
                     state.configuration_text = std::to_string(version);
                     respond(PeerReply{ToJson(state), "", ""});
                   });
                 }}}) {
    this->endpoint = Endpoint{"127.0.0.1", *this->server.Listen(Endpoint{"127.0.0.1", 0})};
  }

  ~BusyLeader() {
    this->loop.Stop();
    this->loop.Join();
  }

  MemberRecord Record() const { return MemberRecord{"leader", "1", "dc1", this->endpoint}; }

  /// Waits until a member that reports `version` has sent a heartbeat.
  bool WaitForVersion(std::uint64_t version, Duration limit) {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->changed.wait_for(lock, limit, [&] { return this->reported == version; });
  }

 private:
  void OnHeartbeat(std::uint64_t version, const PeerRequest& request, const PeerRespond& respond) {
    const std::optional<HeartbeatMessage> message = ParseHeartbeat(request.body);
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->reported = message->configuration;
    }
    this->changed.notify_all();
    HeartbeatAnswer answer;
    answer.epoch = kEpoch;
    answer.configuration = version;
    answer.store_in_reach = true;
    answer.fleet_size = kFleetSize;
    respond(PeerReply{ToJson(answer), "", ""});
  }

  static constexpr std::uint64_t kEpoch = 1000000;
  static constexpr std::size_t kFleetSize = 100;

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t reported = 0;  ///< Version in the last heartbeat.
  EventLoop loop;
  PeerServer server;
  Endpoint endpoint;
};

/// A relay that has read version 1 of its configuration, which is its number.
class ConfigurationDeliveryTest : public testing::Test {
 protected:
  void StartRelay(Duration transfer_time) {
    this->leader = std::make_unique<BusyLeader>(2, transfer_time);
    RelaySettings settings;
    settings.member_id = "member";
    settings.data_centre = "dc1";
    settings.caller_address = settings.ready_address = settings.metrics_address =
        settings.peer_address = Endpoint{"127.0.0.1", 0};
    settings.fleet_key = kFleetKey;
    settings.log_level = LogLevel::kError;
    const auto make_platform = [this](EventLoop& loop, Metrics&, const RelaySettings&) {
      this->store = std::make_shared<MemoryStore>(loop);
      this->loop = &loop;
      this->store->Put(kConfigurationKey, "1");
      this->store->Put(kLeaderKey, ToJson(this->leader->Record()));
      RelayPlatform platform;
      platform.implementation = this->store;
      platform.store = this->store->Hooks();
      platform.configuration_key = kConfigurationKey;
      platform.servers_prefix = "servers/";
      platform.ready_path = "/ready";
      platform.decode_configuration = [](const std::string& text, std::string&,
                                         const OrganisationDirectory*) {
        auto configuration = std::make_shared<RelayConfiguration>();
        configuration->version = std::stoull(text);
        return configuration;
      };
      return platform;
    };
    this->daemon = std::make_unique<RelayDaemon>(
        settings, make_platform,
        [](std::string&) -> std::optional<RelaySettings> { return std::nullopt; });
    ASSERT_TRUE(this->daemon->Start()) << this->daemon->LastReason();
    ASSERT_TRUE(this->leader->WaitForVersion(1, seconds(5)));
  }

  std::unique_ptr<BusyLeader> leader;
  std::shared_ptr<MemoryStore> store;
  EventLoop* loop = nullptr;
  std::unique_ptr<RelayDaemon> daemon;
};

// Heartbeats that succeed kept a relay from reading the store, although the configuration that they
// announced never arrived: each request was given up before its answer came, and then sent again.
TEST_F(ConfigurationDeliveryTest, AVersionThatTheLeaderCannotDeliverInTimeIsReadFromTheStore) {
  this->StartRelay(seconds(10));
  this->loop->Post([this] { this->store->Put(kConfigurationKey, "2"); });
  // A new configuration must be in force after 6 s.
  EXPECT_TRUE(this->leader->WaitForVersion(2, seconds(6)));
}

// The store has version 1 only, so that version 2 comes from the leader.
TEST_F(ConfigurationDeliveryTest, AVersionThatArrivesLateFromTheLeaderIsUsed) {
  this->StartRelay(seconds(1));
  EXPECT_TRUE(this->leader->WaitForVersion(2, seconds(6)));
}

}  // namespace
}  // namespace sycamoredrum
