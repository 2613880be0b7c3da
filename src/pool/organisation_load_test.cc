// Load patterns of several organisations, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "organisation_pool_harness_test.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = OrganisationPoolHarness;

constexpr Duration kServiceTime = milliseconds(10);
constexpr Duration kOpenTime = milliseconds(12);

// A harness whose opens take kOpenTime and whose requests hold their connection for kServiceTime.
class LoadTest : public testing::Test {
 protected:
  // Starts `outstanding` callers. Each sends its next request `pause` after the end of the last
  // one.
  void Start(Harness& h, const Caller& caller, int outstanding, Duration pause) {
    for (int i = 0; i < outstanding; ++i) {
      h.clock.RunAfter(pause / outstanding * i,
                       [this, &h, caller, pause] { this->Send(h, caller, pause); });
    }
  }

  void Send(Harness& h, const Caller& caller, Duration pause) {
    h.Acquire(caller, milliseconds(500), [this, &h, caller, pause](std::size_t number) {
      const bool granted = h.Granted(number);
      Duration busy = milliseconds(20);  // Pause after a refusal.
      if (granted) {
        busy = kServiceTime;
        ++this->served[caller.organisation];
        ++this->served_by_route[caller.route];
        Duration& waited = this->longest_wait[caller.organisation];
        waited = std::max(waited, h.requests.at(number).waited);
      } else {
        ++this->refused[caller.organisation];
      }
      h.clock.RunAfter(busy, [this, &h, caller, pause, granted, number] {
        if (granted) {
          h.Release(number);
        }
        h.clock.RunAfter(pause, [this, &h, caller, pause] { this->Send(h, caller, pause); });
      });
    });
  }

  static void Run(Harness& h, Duration time) {
    std::deque<TimePoint> due;
    for (Duration passed{}; passed < time; passed += milliseconds(1)) {
      while (due.size() < h.opens.size()) {
        due.push_back(h.clock.Now() + kOpenTime);
      }
      while (!due.empty() && due.front() <= h.clock.Now()) {
        due.pop_front();
        h.AnswerOpen(OpenStatus::kOpened);
      }
      h.clock.Advance(milliseconds(1));
      ASSERT_LE(h.pool.Total(), static_cast<std::size_t>(h.pool.EffectiveLimit()));
    }
    EXPECT_TRUE(h.faults.empty()) << h.faults.front();
    EXPECT_EQ(h.pool.OrganisationMismatches(), 0u);
  }

  std::map<std::string, int> served;
  std::map<std::string, int> served_by_route;
  std::map<std::string, int> refused;
  std::map<std::string, Duration> longest_wait;
};

// Guards against an organisation that floods one route and makes the others wait behind it.
TEST_F(LoadTest, FloodOnOneRouteDoesNotDelaySmallOrganisations) {
  Harness h(4);
  Start(h, Caller{"place", "large", 8}, 60, milliseconds(0));
  for (int i = 0; i < 6; ++i) {
    Start(h, Caller{"place", "small" + std::to_string(i), 8}, 1, milliseconds(100 + i));
  }
  Run(h, seconds(10));
  for (int i = 0; i < 6; ++i) {
    const std::string name = "small" + std::to_string(i);
    EXPECT_EQ(this->refused[name], 0) << name;
    // Seven organisations take two turns of four connections, after the turn in progress.
    EXPECT_LE(this->longest_wait[name], 3 * (kServiceTime + kOpenTime)) << name;
  }
  EXPECT_GT(this->served["large"], 10 * 200) << "the rest is lent";
}

// Guards against an organisation that gets the shares of several routes by flooding all of them.
TEST_F(LoadTest, FloodOnSeveralRoutesDoesNotRefuseSmallOrganisations) {
  Harness h(4);
  const std::pair<const char*, int> routes[] = {{"place", 8}, {"stock", 4}, {"reports", 1}};
  for (const auto& [route, weight] : routes) {
    Start(h, Caller{route, "large", weight}, 60, milliseconds(0));
    for (int i = 0; i < 2; ++i) {
      Start(h, Caller{route, route + std::to_string(i), weight}, 1, milliseconds(100));
    }
  }
  Run(h, seconds(10));
  for (const auto& [route, weight] : routes) {
    for (int i = 0; i < 2; ++i) {
      EXPECT_EQ(this->refused[route + std::to_string(i)], 0) << route;
      EXPECT_GT(this->served[route + std::to_string(i)], 20) << route;
    }
  }
}

// Guards against organisations that together get more than the weight of their route because each
// of them opens a connection of its own.
TEST_F(LoadTest, ManyOrganisationsOnALowRouteDoNotSlowAHighRoute) {
  Harness h(16);
  Start(h, Caller{"place", "one", 8}, 32, milliseconds(0));
  for (int i = 0; i < 85; ++i) {
    Start(h, Caller{"reports", "many" + std::to_string(i), 1}, 1, milliseconds(0));
  }
  Run(h, seconds(10));
  // The route may use three quarters of the connections while another one waits. In each round of
  // eight statements, one of its connections is replaced for the other route and opened again.
  const auto possible = 12 * seconds(10) / (kServiceTime + kOpenTime / 8);
  EXPECT_GE(this->served_by_route["place"], possible * 95 / 100);
  EXPECT_GE(this->served_by_route["reports"], this->served_by_route["place"] / 16);
}

// Guards against a share that stays lent while its owner waits.
TEST_F(LoadTest, LentShareReturnsWithinOneServiceTime) {
  Harness h(4);
  Start(h, Caller{"place", "large", 8}, 60, milliseconds(0));
  Run(h, seconds(1));
  EXPECT_GE(h.pool.Leased(), 3u);
  const std::size_t request = h.Acquire(Caller{"place", "small", 8});
  Run(h, kServiceTime + kOpenTime + milliseconds(2));
  ASSERT_TRUE(h.Granted(request));
  EXPECT_LE(h.requests.at(request).waited, kServiceTime + kOpenTime);
}

// Guards against organisations that close each other's connections before they are used, and
// against one that is never next.
TEST_F(LoadTest, NoOrganisationStarvesWhereAllNeedMoreThanThereIs) {
  for (const int limit : {1, 2, 3, 8}) {
    this->served.clear();
    Harness h(limit);
    constexpr int kOrganisations = 10;
    for (int i = 0; i < kOrganisations; ++i) {
      Start(h, Caller{i % 2 == 0 ? "place" : "stock", "org" + std::to_string(i), 4}, 2,
            milliseconds(0));
    }
    Run(h, seconds(10));
    // At most as many connections as opens are admitted at a time are opened at the same time.
    const auto cycles = seconds(10) / (kServiceTime + kOpenTime);
    int fewest = static_cast<int>(cycles) * limit;
    for (int i = 0; i < kOrganisations; ++i) {
      fewest = std::min(fewest, this->served["org" + std::to_string(i)]);
    }
    EXPECT_GE(fewest, std::min(limit, 4) * cycles / kOrganisations / 2) << limit;
  }
}

}  // namespace
}  // namespace sycamoredrum
