#include "view_service.h"

#include <gtest/gtest.h>

#include <future>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// No process listens on this address.
const Endpoint kUnreachableEndpoint{"127.0.0.1", 1};

Ticket OrdersTicket(std::uint64_t number, int servers) {
  Ticket ticket;
  ticket.number = number;
  ticket.id = "t" + std::to_string(number);
  DatabaseConfig database;
  database.name = "orders";
  for (int i = 0; i < servers; ++i) {
    const std::string name = std::to_string(i);
    database.backend_servers.push_back(
        {"orders-" + name, "vm" + name, "dc" + name, kUnreachableEndpoint, kUnreachableEndpoint});
  }
  ticket.databases.push_back(database);
  return ticket;
}

Member MemberIn(const std::string& id, const std::string& data_centre) {
  Member member;
  member.id = id;
  member.data_centre = data_centre;
  return member;
}

// How the other members answer the peer request "prove"; silent ones do not answer it.
enum class Peers { kSilent, kRefuse, kSecondAnswers };

// Tests a view service in a fleet with the three watchers p0, p1 and p2. No backend server is
// reachable.
class ViewServiceTest : public testing::Test {
 protected:
  ViewServiceTest() : loop(2), client(loop, HttpClientOptions()), control(client) {
    this->configuration.Set(
        std::make_shared<const Configuration>(Configuration().With(OrdersTicket(1, 3))));
    auto members = std::make_shared<Fleet>();
    members->members = {MemberIn("p0", "dc0"), MemberIn("p1", "dc1"), MemberIn("p2", "dc2")};
    members->candidates = DutyCandidates(members->members);
    this->fleet.Set(members);
  }
  ~ViewServiceTest() override {
    this->loop.Stop();
    this->loop.Join();
  }

  void Start(const std::string& member, const std::string& data_centre, Peers peers) {
    this->service = std::make_unique<ViewService>(ViewService::Dependencies{
        this->loop, member, data_centre, this->configuration, this->fleet, this->views,
        this->control,
        [this, peers](const std::string& to, const std::string&, const std::string&,
                      Duration timeout, PeerCallback callback) {
          this->AnswerPeerCall(peers, to, timeout, std::move(callback));
        }});
  }

  // Simulates the peer links: a request that is not answered fails after its timeout.
  void AnswerPeerCall(Peers peers, const std::string& to, Duration timeout, PeerCallback callback) {
    EXPECT_LE(timeout, ViewService::kWatcherTimeout);
    PeerAnswer answer;
    answer.error = peers == Peers::kRefuse ? PeerError::kRefused : PeerError::kMaybeReceived;
    Duration delay = peers == Peers::kRefuse ? Duration::zero() : timeout;
    if (peers == Peers::kSecondAnswers && to == "p2") {
      DatabaseView view;
      view.database = "orders";
      view.proof = FreshnessProof{LogPosition{1, 1}, this->loop.Now()};
      answer.error = PeerError::kNone;
      answer.body = ToJson(view, this->loop.Now());
      delay = Duration::zero();
    }
    this->loop.RunAfter(delay, [callback, answer] { callback(answer); });
  }

  std::future<DatabaseViewPtr> Prove(Duration limit) {
    auto promise = std::make_shared<std::promise<DatabaseViewPtr>>();
    this->service->Prove("orders", this->loop.Now(), this->loop.Now() + limit,
                         [promise](const DatabaseViewPtr& view) { promise->set_value(view); });
    return promise->get_future();
  }

  EventLoop loop;
  HttpClient client;
  BackendControl control;
  ConfigurationSnapshot configuration;
  FleetSnapshot fleet;
  ViewTable views;
  std::unique_ptr<ViewService> service;
};

// Guards against an unresponsive watcher that takes all the time to the deadline although another
// one could answer. In the last case the service itself runs on a watcher without a connection to
// the backend servers.
TEST_F(ViewServiceTest, TriesTheNextWatcher) {
  const struct {
    const char* member;
    const char* data_centre;
  } cases[] = {{"outsider", "dc1"}, {"p1", "dc1"}};
  for (const auto& test : cases) {
    SCOPED_TRACE(test.member);
    this->Start(test.member, test.data_centre, Peers::kSecondAnswers);
    auto answer = this->Prove(seconds(20));
    ASSERT_EQ(answer.wait_for(seconds(10)), std::future_status::ready);
    const DatabaseViewPtr view = answer.get();
    ASSERT_NE(view, nullptr);
    EXPECT_EQ(view->proof->position, (LogPosition{1, 1}));
  }
}

// Guards against an isolated proxy that answers its callers after their deadline, and against a
// proof request that is never answered.
TEST_F(ViewServiceTest, AnswersByTheDeadlineWithoutAnyWatcher) {
  const struct {
    const char* name;
    const char* member;
    Peers peers;
    Duration limit;
  } cases[] = {
      {"silent peers", "outsider", Peers::kSilent, milliseconds(1200)},
      {"silent peers, deadline before the first timeout", "outsider", Peers::kSilent,
       milliseconds(100)},
      {"refusing peers", "outsider", Peers::kRefuse, milliseconds(400)},
      {"a watcher with silent peers", "p1", Peers::kSilent, milliseconds(1200)},
      {"no time left", "outsider", Peers::kSilent, milliseconds(0)},
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(test.name);
    this->Start(test.member, "dc1", test.peers);
    const TimePoint started = this->loop.Now();
    auto answer = this->Prove(test.limit);
    ASSERT_EQ(answer.wait_for(seconds(10)), std::future_status::ready);
    EXPECT_EQ(answer.get(), nullptr);
    // The margin allows for a busy computer; a further request to a watcher would exceed it.
    EXPECT_LT(this->loop.Now() - started, test.limit + ViewService::kWatcherTimeout);
  }
}

// Guards against a waiting proof request that is lost when a ticket changes the backend servers.
TEST_F(ViewServiceTest, KeepsWaitingProofsWhenTheBackendServersChange) {
  this->Start("p1", "dc1", Peers::kSilent);
  std::promise<DatabaseViewPtr> first;
  std::promise<DatabaseViewPtr> second;
  const TimePoint now = this->loop.Now();
  this->service->ProveLocally("orders", now, now + milliseconds(400),
                              [&](const DatabaseViewPtr& view) { first.set_value(view); });
  this->configuration.Set(std::make_shared<const Configuration>(
      Configuration().With(OrdersTicket(1, 3)).With(OrdersTicket(2, 2))));
  this->service->ProveLocally("orders", now, now + milliseconds(200),
                              [&](const DatabaseViewPtr& view) { second.set_value(view); });
  for (std::promise<DatabaseViewPtr>* promise : {&second, &first}) {
    auto answer = promise->get_future();
    ASSERT_EQ(answer.wait_for(seconds(10)), std::future_status::ready);
    EXPECT_EQ(answer.get(), nullptr);
  }
}

}  // namespace
}  // namespace sycamoredrum
