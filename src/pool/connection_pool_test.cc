#include "sycamoredrum/connection_pool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A pool whose opens are completed by the test.
class PoolHarness {
 public:
  explicit PoolHarness(int limit, std::size_t max_waiting = 64)
      : pool(ConnectionPoolHooks{[this](const std::string&, OpenCallback callback) {
                                   this->opens.push_back(std::move(callback));
                                 },
                                 [this](ConnectionId id) { ++this->closed[id]; }},
             limit, clock, clock, max_waiting) {}

  // Returns the number of the request, which is the key of its answer in `answers`.
  int Acquire(const std::string& group, Duration remaining = seconds(2)) {
    const int request = this->next_request++;
    this->pool.Acquire(LeaseRequest{group, 1, this->clock.Now() + remaining},
                       [this, request](const LeaseAnswer& answer) {
                         EXPECT_EQ(this->answers.count(request), 0u) << "second answer";
                         this->answers[request] = answer;
                       });
    return request;
  }
  void AnswerOpen(OpenStatus status) {
    const OpenCallback callback = this->opens.front();
    this->opens.pop_front();
    callback(OpenResult{status, status == OpenStatus::kOpened ? this->next_connection++ : 0});
  }
  void AnswerAllOpens(OpenStatus status) {
    while (!this->opens.empty()) {
      this->AnswerOpen(status);
    }
  }
  std::optional<LeaseStatus> StatusOf(int request) const {
    const auto found = this->answers.find(request);
    return found == this->answers.end() ? std::nullopt : std::make_optional(found->second.status);
  }

  ManualClock clock;
  std::deque<OpenCallback> opens;
  std::map<ConnectionId, int> closed;
  std::map<int, LeaseAnswer> answers;
  ConnectionId next_connection = 1;
  int next_request = 0;
  ConnectionPool pool;
};

// Guards against a reconnect storm and against more connections than the limit.
TEST(ConnectionPoolTest, OpensAtMostFourAtOnceAndStaysBelowTheLimit) {
  PoolHarness h(6);
  for (int i = 0; i < 10; ++i) {
    h.Acquire("orders");
  }
  EXPECT_EQ(h.opens.size(), ConnectionPool::kMaxConcurrentOpens);
  h.AnswerAllOpens(OpenStatus::kOpened);
  EXPECT_EQ(h.pool.Leased(), 6u);
  EXPECT_EQ(h.pool.Total(), 6u);
  EXPECT_EQ(h.pool.Waiting(), 4u);
}

// Guards against failed opens that leave a request waiting although no connection can serve it, and
// against attempts in a tight loop while the server refuses.
TEST(ConnectionPoolTest, FailedOpensRefuseRequestsThatNothingCanServe) {
  struct Case {
    OpenStatus open;
    LeaseStatus status;
    Duration until_next_open;
  };
  const Case cases[] = {
      {OpenStatus::kRefused, LeaseStatus::kConnectionRefused, ConnectionPool::kRefusalPause},
      {OpenStatus::kUnreachable, LeaseStatus::kUnreachable, ConnectionPool::kUnreachablePause}};
  for (const Case& c : cases) {
    PoolHarness h(1);
    const int first = h.Acquire("orders");
    h.AnswerOpen(c.open);
    const int second = h.Acquire("orders");
    EXPECT_EQ(h.StatusOf(first), c.status);
    EXPECT_EQ(h.StatusOf(second), c.status);
    EXPECT_TRUE(h.opens.empty());
    EXPECT_EQ(h.answers[first].retry_after, c.until_next_open);
    h.clock.Advance(c.until_next_open);
    const int third = h.Acquire("orders");
    h.AnswerOpen(OpenStatus::kOpened);
    EXPECT_EQ(h.StatusOf(third), LeaseStatus::kGranted);
  }
}

// Guards against a refused open that lowers the limit permanently, or not at all.
TEST(ConnectionPoolTest, RefusedOpenLimitsThePoolToWhatIsOpen) {
  PoolHarness h(3);
  h.Acquire("orders");
  h.AnswerOpen(OpenStatus::kOpened);
  const int waiting = h.Acquire("orders", seconds(5));
  h.AnswerOpen(OpenStatus::kRefused);
  EXPECT_EQ(h.pool.EffectiveLimit(), 1);
  EXPECT_TRUE(h.opens.empty());
  EXPECT_EQ(h.StatusOf(waiting), std::nullopt) << "the open connection may still serve it";
  h.clock.Advance(ConnectionPool::kRefusalPause);
  EXPECT_EQ(h.pool.EffectiveLimit(), 3);
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_EQ(h.StatusOf(waiting), LeaseStatus::kGranted);
}

// Guards against refused opens that close working connections. All processes restart after a power
// loss, and the connections of the ended ones fill a server's cap for seconds. When each refused
// open closed a connection, three were left for thirty waiting statements.
TEST(ConnectionPoolTest, RefusedOpensCloseNoConnectionThatWorks) {
  PoolHarness h(10);
  std::vector<int> requests;
  for (int i = 0; i < 4; ++i) {
    requests.push_back(h.Acquire("orders"));
  }
  h.AnswerAllOpens(OpenStatus::kOpened);
  for (int i = 0; i < 30; ++i) {
    requests.push_back(h.Acquire("orders", seconds(30)));
  }
  int refused_opens = 0;
  const TimePoint start = h.clock.Now();
  for (int step = 0; step < 300; ++step) {
    while (!h.opens.empty()) {
      h.AnswerOpen(OpenStatus::kRefused);
      ++refused_opens;
    }
    for (const int request : std::exchange(requests, {})) {
      if (h.StatusOf(request) == LeaseStatus::kGranted) {
        h.pool.Release(h.answers.at(request).lease, ConnectionState::kClean);
        requests.push_back(h.Acquire("orders", seconds(30)));
      } else {
        requests.push_back(request);
      }
    }
    EXPECT_GE(h.pool.Total(), 4u);
    h.clock.Advance(milliseconds(10));
  }
  EXPECT_TRUE(h.closed.empty());
  const auto pauses = (h.clock.Now() - start) / ConnectionPool::kRefusalPause;
  EXPECT_LE(refused_opens, static_cast<int>(ConnectionPool::kMaxConcurrentOpens + pauses + 1));
}

// Guards against the second use of a connection whose state is unknown, and of one released twice.
TEST(ConnectionPoolTest, ReleaseDecidesWhetherAConnectionIsUsedAgain) {
  struct Case {
    const char* name;
    ConnectionState state;
    bool closed_by_server;
    bool used_again;
  };
  const Case cases[] = {{"clean", ConnectionState::kClean, false, true},
                        {"broken", ConnectionState::kBroken, false, false},
                        {"closed by the server", ConnectionState::kClean, true, false}};
  for (const Case& c : cases) {
    PoolHarness h(1);
    const int first = h.Acquire("orders");
    h.AnswerOpen(OpenStatus::kOpened);
    const int second = h.Acquire("orders");
    const Lease lease = h.answers[first].lease;
    if (c.closed_by_server) {
      h.pool.ConnectionClosed(lease.connection);
    }
    h.pool.Release(lease, c.state);
    h.AnswerAllOpens(OpenStatus::kOpened);
    ASSERT_EQ(h.StatusOf(second), LeaseStatus::kGranted) << c.name;
    EXPECT_EQ(h.answers[second].lease.connection == lease.connection, c.used_again) << c.name;
    EXPECT_EQ(h.closed[lease.connection], c.used_again ? 0 : 1) << c.name;
    h.pool.Release(lease, ConnectionState::kClean);
    EXPECT_EQ(h.pool.Leased(), 1u) << c.name;
  }
}

// Guards against a connection that leaks when its open is completed late or twice.
TEST(ConnectionPoolTest, LateAndDoubleOpenAnswersAreClosed) {
  PoolHarness h(1);
  const int first = h.Acquire("orders");
  const OpenCallback late = h.opens.front();
  h.clock.Advance(ConnectionPool::kOpenTimeout);
  EXPECT_EQ(h.StatusOf(first), LeaseStatus::kUnreachable);
  late(OpenResult{OpenStatus::kOpened, 77});
  EXPECT_EQ(h.closed[77], 1);
  EXPECT_EQ(h.pool.Total(), 0u);
}

// Guards against a leaving backend server that gets new work, or whose requests in progress are
// interrupted.
TEST(ConnectionPoolTest, LeavingServerFinishesItsLeasesOnly) {
  PoolHarness h(2);
  const int leased = h.Acquire("orders");
  const int also_leased = h.Acquire("orders");
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.pool.Release(h.answers[also_leased].lease, ConnectionState::kClean);
  EXPECT_EQ(h.pool.Idle(), 1u);
  h.pool.SetLeaving(true);
  EXPECT_EQ(h.pool.Total(), 1u);
  EXPECT_EQ(h.StatusOf(h.Acquire("orders")), LeaseStatus::kLeaving);
  EXPECT_EQ(h.closed[h.answers[leased].lease.connection], 0);
  h.pool.Release(h.answers[leased].lease, ConnectionState::kClean);
  EXPECT_EQ(h.pool.Total(), 0u);
  h.pool.SetLeaving(false);
  h.Acquire("orders");
  EXPECT_EQ(h.opens.size(), 1u);
}

// Guards against a runaway caller group that holds the whole pool while another group waits.
TEST(ConnectionPoolTest, RunawayGroupGetsAtMostThreeQuartersWhileOthersWait) {
  PoolHarness h(8);
  for (int i = 0; i < 30; ++i) {
    h.Acquire("runaway");
  }
  h.AnswerAllOpens(OpenStatus::kOpened);
  EXPECT_EQ(h.pool.Leased(), 8u) << "alone, a group may use the whole pool";
  const int others[] = {h.Acquire("orders"), h.Acquire("orders"), h.Acquire("orders")};
  for (int i = 0; i < 3; ++i) {
    h.pool.Release(h.answers[i].lease, ConnectionState::kClean);
  }
  EXPECT_EQ(h.StatusOf(others[0]), LeaseStatus::kGranted);
  EXPECT_EQ(h.StatusOf(others[1]), LeaseStatus::kGranted);
  int runaway_granted = 0;
  for (int i = 0; i < 30; ++i) {
    runaway_granted += h.StatusOf(i) == LeaseStatus::kGranted ? 1 : 0;
  }
  EXPECT_LE(runaway_granted - 3, 6);
}

// Guards against a request that waits beyond its deadline or is served after its refusal.
TEST(ConnectionPoolTest, WaitingRequestsEndAtTheirDeadline) {
  PoolHarness h(1);
  const int first = h.Acquire("orders");
  h.AnswerOpen(OpenStatus::kOpened);
  const int second = h.Acquire("orders", milliseconds(50));
  h.clock.Advance(milliseconds(50));
  EXPECT_EQ(h.StatusOf(second), LeaseStatus::kDeadline);
  h.pool.Release(h.answers[first].lease, ConnectionState::kClean);
  EXPECT_EQ(h.pool.Idle(), 1u);
}

// Guards, under random events, against a connection with two owners, a second use of a connection
// of unknown state, a lease at a leaving server, an open above the limit, and a request without an
// answer.
RC_GTEST_PROP(ConnectionPoolProperty, ConnectionsHaveOneOwnerAndStayBelowTheLimit, ()) {
  PoolHarness h(4, 8);
  std::map<ConnectionId, int> owners;
  std::map<ConnectionId, bool> broken;
  bool leaving = false;
  std::map<int, Lease> held;
  std::set<int> seen;  // Requests whose lease has been entered in `held`.
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 7)));
  for (const auto& [kind, value] : steps) {
    const std::size_t total_before = h.pool.Total();
    if (kind <= 2) {
      h.Acquire(value < 4 ? "runaway" : "orders", milliseconds(100 * (value + 1)));
    } else if (kind == 3 && !h.opens.empty()) {
      h.AnswerOpen(static_cast<OpenStatus>(value % 3));
    } else if ((kind == 4 || kind == 5) && !held.empty()) {
      const auto chosen = std::next(held.begin(), value % static_cast<int>(held.size()));
      const Lease lease = chosen->second;
      const bool clean = kind == 4;
      owners[lease.connection] = 0;
      broken[lease.connection] = broken[lease.connection] || !clean;
      held.erase(chosen);
      h.pool.Release(lease, clean ? ConnectionState::kClean : ConnectionState::kBroken);
    } else if (kind == 6) {
      h.clock.Advance(milliseconds(100 * value));
    } else if (kind == 7) {
      h.pool.SetLimit(value);
    } else if (kind == 8 && !held.empty()) {
      h.pool.ConnectionClosed(held.begin()->second.connection);
      broken[held.begin()->second.connection] = true;
    } else if (kind == 9) {
      leaving = value == 0;
      h.pool.SetLeaving(leaving);
    }
    for (const auto& [request, answer] : h.answers) {
      if (answer.status == LeaseStatus::kGranted && seen.insert(request).second) {
        RC_ASSERT(owners[answer.lease.connection] == 0);
        RC_ASSERT(!broken[answer.lease.connection]);
        RC_ASSERT(!leaving);
        owners[answer.lease.connection] = 1;
        held[request] = answer.lease;
      }
    }
    const auto limit = static_cast<std::size_t>(h.pool.EffectiveLimit());
    RC_ASSERT(h.pool.Total() <= std::max(total_before, limit));
    RC_ASSERT(h.pool.Opening() <= ConnectionPool::kMaxConcurrentOpens);
  }
  h.clock.Advance(seconds(5));
  RC_ASSERT(h.answers.size() == static_cast<std::size_t>(h.next_request));
}

// Guards against connections that a process keeps although others need them.
TEST(ConnectionPoolTest, UnusedConnectionsAreClosedAfterALimit) {
  PoolHarness h(2);
  const int kept = h.Acquire("orders");
  const int unused = h.Acquire("orders");
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.pool.Release(h.answers.at(unused).lease, ConnectionState::kClean);
  h.clock.Advance(milliseconds(900));
  h.pool.CloseUnused(seconds(1));
  EXPECT_EQ(h.pool.Total(), 2u);
  h.clock.Advance(milliseconds(200));
  h.pool.CloseUnused(seconds(1));
  EXPECT_EQ(h.pool.Total(), 1u);
  EXPECT_EQ(h.closed.count(h.answers.at(kept).lease.connection), 0u) << "a leased connection stays";
}

// After ten statements at once, two run at a time. The eight other connections would count against
// the server's cap for seconds if this VM lost power.
TEST(ConnectionPoolTest, ConnectionsBeyondThePeakOfTheLastWindowAreClosed) {
  PoolHarness h(10);
  std::vector<int> burst;
  for (int i = 0; i < 10; ++i) {
    burst.push_back(h.Acquire("orders"));
  }
  while (!h.opens.empty()) {
    h.AnswerAllOpens(OpenStatus::kOpened);
  }
  ASSERT_EQ(h.pool.Leased(), 10u);
  for (const int request : burst) {
    h.pool.Release(h.answers.at(request).lease, ConnectionState::kClean);
  }
  const Duration window = seconds(1);
  for (int step = 0; step < 30; ++step) {
    const int first = h.Acquire("orders");
    const int second = h.Acquire("orders");
    h.pool.CloseSurplus(window);
    h.pool.Release(h.answers.at(first).lease, ConnectionState::kClean);
    h.pool.Release(h.answers.at(second).lease, ConnectionState::kClean);
    h.clock.Advance(milliseconds(100));
  }
  EXPECT_EQ(h.pool.Total(), 2u);
}

TEST(ConnectionPoolTest, TheLastConnectionIsNoSurplus) {
  PoolHarness h(4);
  const int request = h.Acquire("orders");
  h.AnswerOpen(OpenStatus::kOpened);
  h.pool.Release(h.answers.at(request).lease, ConnectionState::kClean);
  for (int step = 0; step < 30; ++step) {
    h.pool.CloseSurplus(seconds(1));
    h.clock.Advance(milliseconds(100));
  }
  EXPECT_EQ(h.pool.Total(), 1u);
}

// Sessions with different variables share connections. Setting variables again costs a round trip,
// so that a session gets the connection on which they are set already.
TEST(ConnectionPoolTest, TheCheapestIdleConnectionIsLeased) {
  PoolHarness h(3);
  std::vector<int> requests;
  for (int i = 0; i < 3; ++i) {
    requests.push_back(h.Acquire("orders"));
  }
  h.AnswerAllOpens(OpenStatus::kOpened);
  const ConnectionId wanted = h.answers.at(requests[1]).lease.connection;
  for (const int request : requests) {
    h.pool.Release(h.answers.at(request).lease, ConnectionState::kClean);
  }
  LeaseRequest request{"orders", 1, h.clock.Now() + seconds(1)};
  request.cost = [wanted](ConnectionId connection) { return connection == wanted ? 0 : 2; };
  ConnectionId leased = 0;
  h.pool.Acquire(request,
                 [&leased](const LeaseAnswer& answer) { leased = answer.lease.connection; });
  EXPECT_EQ(leased, wanted);
}

}  // namespace
}  // namespace sycamoredrum
