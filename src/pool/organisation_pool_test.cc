// Leases, opens and closes with several organisations, in virtual time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "organisation_pool_harness_test.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = OrganisationPoolHarness;

// Guards against an organisation that holds all connections while another one waits, as with
// transactions, which do not return them for long.
TEST(OrganisationPoolTest, OneOrganisationGetsAtMostThreeQuartersWhileOthersWait) {
  Harness h(8);
  std::vector<std::size_t> large;
  for (int i = 0; i < 6; ++i) {
    large.push_back(h.Acquire(Caller{i % 2 == 0 ? "place" : "stock", "large"}));
  }
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.pool.SetLimit(6);
  const std::size_t small = h.Acquire(Caller{"place", "small"});
  for (int i = 0; i < 6; ++i) {
    large.push_back(h.Acquire(Caller{"stock", "large"}));
  }
  h.pool.SetLimit(8);
  EXPECT_EQ(h.OpenOrganisations().count("large"), 6u);
  ASSERT_EQ(h.opens.size(), 1u) << "only for the small one";
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_TRUE(h.Granted(small));
  EXPECT_EQ(h.opens.size(), 1u) << "alone, an organisation may use the whole pool";
}

// Guards against opens in progress that together give an organisation more than three quarters.
TEST(OrganisationPoolTest, OpensCountTowardsTheThreeQuarters) {
  Harness h(4);
  for (int i = 0; i < 9; ++i) {
    h.Acquire(Caller{"place", "large"});
  }
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.Acquire(Caller{"place", "small"});
  h.pool.SetLimit(8);
  std::multiset<std::string> opening;
  for (const Harness::PendingOpen& open : h.opens) {
    opening.insert(open.organisation);
  }
  EXPECT_EQ(opening, (std::multiset<std::string>{"large", "large", "small"}));
}

// Guards against a connection that is kept for one organisation while another one waits, and
// against closing one that was used last.
TEST(OrganisationPoolTest, OldestIdleConnectionIsReplaced) {
  Harness h(2);
  const std::size_t first = h.Acquire(Caller{"place", "first"});
  const std::size_t second = h.Acquire(Caller{"place", "second"});
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.Release(second);
  h.Release(first);
  const std::size_t third = h.Acquire(Caller{"place", "third"});
  EXPECT_EQ(h.OpenOrganisations(), (std::multiset<std::string>{"first"}));
  h.AnswerAllOpens(OpenStatus::kOpened);
  EXPECT_TRUE(h.Granted(third));
  EXPECT_TRUE(h.Granted(h.Acquire(Caller{"place", "first"})));
}

// Guards against a request that waits for the open of another organisation, and against opens that
// nobody needs.
TEST(OrganisationPoolTest, OpensAreCountedByOrganisation) {
  Harness h(8);
  h.Acquire(Caller{"place", "first"});
  const std::size_t second = h.Acquire(Caller{"place", "second"});
  ASSERT_EQ(h.opens.size(), 2u);
  EXPECT_EQ(h.opens.back().organisation, "second");
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_FALSE(h.Granted(second));
  const std::size_t position = h.Acquire(Caller{"position", "", 8, 1, true});
  ASSERT_EQ(h.opens.size(), 2u);
  EXPECT_EQ(h.opens.back().organisation, "");
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_TRUE(h.Granted(second));
  h.Release(second);
  EXPECT_TRUE(h.Granted(position)) << "any idle connection serves it";
  EXPECT_EQ(h.opens.size(), 1u);
}

// Guards against organisations without connections that wait until a server has room again while
// others keep theirs idle, and against refused opens that close one connection after the other.
TEST(OrganisationPoolTest, RefusedOpenReplacesOneConnectionInEachPause) {
  Harness h(8);
  std::vector<std::size_t> first;
  for (int i = 0; i < 4; ++i) {
    first.push_back(h.Acquire(Caller{"place", "first"}));
  }
  h.AnswerAllOpens(OpenStatus::kOpened);
  for (const std::size_t request : first) {
    h.Release(request);
  }
  const std::size_t second = h.Acquire(Caller{"place", "second"}, seconds(5));
  h.AnswerOpen(OpenStatus::kRefused);
  EXPECT_EQ(h.pool.Idle(), 3u);
  ASSERT_EQ(h.opens.size(), 1u) << "in place of a connection that was closed";
  EXPECT_EQ(h.pool.EffectiveLimit(), 4);
  h.AnswerOpen(OpenStatus::kRefused);
  EXPECT_EQ(h.pool.Idle(), 3u);
  EXPECT_TRUE(h.opens.empty());
  h.clock.Advance(ConnectionPool::kRefusalPause);
  ASSERT_EQ(h.opens.size(), 1u);
  EXPECT_EQ(h.pool.Idle(), 3u) << "the pool is below its limit";
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_TRUE(h.Granted(second));
}

// Guards against connections that were opened for an organisation before it was removed and that
// are used after it was added again.
TEST(OrganisationPoolTest, RetiredOrganisationsKeepNoConnection) {
  Harness h(5);
  const std::size_t leased = h.Acquire(Caller{"place", "first"});
  const std::size_t released = h.Acquire(Caller{"place", "first"});
  const std::size_t other = h.Acquire(Caller{"place", "second"});
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.Release(other);
  const std::size_t idle = h.Acquire(Caller{"place", "first"});
  ASSERT_EQ(h.opens.size(), 1u);
  h.Release(released);
  h.Release(idle);
  EXPECT_EQ(h.OpenOrganisations(), (std::multiset<std::string>{"first", "first", "second"}));
  h.pool.RetireOrganisation("first");
  EXPECT_EQ(h.OpenOrganisations(), (std::multiset<std::string>{"first", "second"}));
  h.Release(leased);
  EXPECT_EQ(h.OpenOrganisations(), (std::multiset<std::string>{"second"}));
  const std::size_t added_again = h.Acquire(Caller{"place", "first"});
  ASSERT_EQ(h.opens.size(), 2u) << "the request needs a connection of its own";
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_FALSE(h.Granted(added_again));
  EXPECT_EQ(h.OpenOrganisations(), (std::multiset<std::string>{"second"}));
  h.AnswerOpen(OpenStatus::kOpened);
  EXPECT_TRUE(h.Granted(added_again));
}

// Guards against a surplus that is counted over organisations: of two connections that are used in
// turns, one is always idle, but neither is unused.
TEST(OrganisationPoolTest, SurplusIsCountedByOrganisation) {
  Harness h(4);
  h.Acquire(Caller{"place", "first"});
  h.Acquire(Caller{"place", "second"});
  h.AnswerAllOpens(OpenStatus::kOpened);
  h.Release(0);
  h.Release(1);
  for (int step = 0; step < 60; ++step) {
    const std::size_t request = h.Acquire(Caller{"place", step % 2 == 0 ? "first" : "second"});
    ASSERT_TRUE(h.Granted(request)) << step;
    h.pool.CloseSurplus(seconds(1));
    h.clock.Advance(milliseconds(50));
    h.Release(request);
  }
  EXPECT_EQ(h.pool.Total(), 2u);
}

// Guards, under random events, against a connection that is leased to another organisation or used
// twice, more connections than the limit, a request with no answer or two, and one that waits
// although it could be served.
RC_GTEST_PROP(OrganisationPoolProperty, ConnectionsServeTheirOrganisationAndNoRequestIsStuck, ()) {
  Harness h(4, 12);
  const auto step =
      rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange(0, 8), rc::gen::inRange(0, 3));
  const auto steps =
      *rc::gen::resize(400, rc::gen::container<std::vector<std::tuple<int, int, int>>>(step));
  std::set<std::size_t> held;
  std::set<std::size_t> released;
  const auto release = [&](std::size_t request, ConnectionState state) {
    held.erase(request);
    released.insert(request);
    h.Release(request, state);
  };
  const auto check = [&] {
    for (std::size_t request = 0; request < h.requests.size(); ++request) {
      if (h.Granted(request) && released.count(request) == 0) {
        held.insert(request);
      }
    }
    if (!h.faults.empty()) {
      RC_FAIL(h.faults.front());
    }
    RC_ASSERT(h.pool.OrganisationMismatches() == 0u);
    RC_ASSERT(h.pool.Opening() <= ConnectionPool::kMaxConcurrentOpens);
    RC_ASSERT(h.pool.Leased() == held.size());
    RC_ASSERT(h.pool.Leased() + h.pool.Idle() == h.open.size());
  };
  TimePoint failed_at = TimePoint::min();  // When an open last failed.
  for (const auto& [kind, value, organisation] : steps) {
    const std::size_t total_before = h.pool.Total();
    if (kind <= 4) {
      const char* const names[] = {"", "first", "second"};
      h.Acquire(Caller{value % 2 == 0 ? "place" : "stock", names[organisation], value + 1,
                       organisation + 1, kind == 4 && value == 0},
                seconds(60));
    } else if (kind <= 6 && !h.opens.empty()) {
      failed_at = value < 6 ? failed_at : h.clock.Now();
      h.AnswerOpen(value < 6 ? OpenStatus::kOpened
                             : (value == 6 ? OpenStatus::kRefused : OpenStatus::kUnreachable));
    } else if (kind <= 8 && !held.empty()) {
      const auto chosen = std::next(held.begin(), value % static_cast<int>(held.size()));
      release(*chosen, value < 6 ? ConnectionState::kClean : ConnectionState::kBroken);
    } else if (kind == 9 && !h.open.empty()) {
      const auto chosen = std::next(h.open.begin(), value % static_cast<int>(h.open.size()));
      h.pool.ConnectionClosed(chosen->first);
    } else if (kind == 10) {
      h.pool.SetLimit(value);
    } else if (kind == 11) {
      h.pool.RetireOrganisation(organisation == 0 ? "first" : "second");
    } else if (kind == 12) {
      h.clock.Advance(milliseconds(60 * value));
      for (const Harness::PendingOpen& open : h.opens) {
        const TimePoint timeout = open.started + ConnectionPool::kOpenTimeout;
        failed_at = timeout <= h.clock.Now() ? std::max(failed_at, timeout) : failed_at;
      }
    } else if (kind == 13) {
      h.pool.CloseUnused(milliseconds(100 * value));
    } else if (kind == 14) {
      h.pool.CloseSurplus(milliseconds(100 * value));
    }
    RC_ASSERT(h.pool.Total() <=
              std::max(total_before, static_cast<std::size_t>(h.pool.EffectiveLimit())));
    check();
    const auto limit = static_cast<std::size_t>(h.pool.EffectiveLimit());
    if (failed_at < h.clock.Now() - ConnectionPool::kRefusalPause && h.pool.Opening() == 0) {
      RC_ASSERT(h.pool.Waiting() == 0u || (h.pool.Idle() == 0u && h.pool.Total() >= limit));
    }
  }
  // From now on the server admits all connections and every statement ends. Each of at most twelve
  // waiting requests then takes one open and one release.
  h.pool.SetLimit(1 + static_cast<int>(steps.size() % 3));
  h.AnswerAllOpens(OpenStatus::kOpened);
  check();
  h.clock.Advance(ConnectionPool::kRefusalPause);
  for (int round = 0; round < 40; ++round) {
    h.AnswerAllOpens(OpenStatus::kOpened);
    check();
    while (!held.empty()) {
      release(*held.begin(), ConnectionState::kClean);
      check();
    }
    h.clock.Advance(milliseconds(1));
  }
  RC_ASSERT(h.pool.Waiting() == 0u);
  for (const Harness::Request& request : h.requests) {
    RC_ASSERT(request.answer.has_value());
  }
}

}  // namespace
}  // namespace sycamoredrum
