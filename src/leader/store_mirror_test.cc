#include "sycamoredrum/store_mirror.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store with one prefix, whose watches end only by their timeout.
class StoreMirrorTest : public testing::Test {
 protected:
  CoordinationStore Hooks() {
    CoordinationStore store;
    store.list = [this](const std::string&, const CoordinationStore::PageCallback& callback) {
      ++this->lists;
      if (this->silent) {
        this->clock.RunAfter(seconds(1),
                             [callback] { callback(PlatformStatus::kUnavailable, {}); });
        return;
      }
      this->clock.RunAfter(milliseconds(4), [this, callback] {
        StorePage page;
        for (const auto& [key, item] : this->items) {
          page.items.push_back(item);
        }
        page.revision = this->revision;
        callback(this->down ? PlatformStatus::kUnavailable : PlatformStatus::kOk, page);
      });
    };
    store.watch = [this](const std::string&, std::uint64_t after, Duration timeout,
                         const CoordinationStore::WatchCallback& callback) {
      ++this->watches;
      this->clock.RunAfter(timeout, [after, callback, this] {
        StorePage page;
        page.revision = after;
        callback(this->down ? WatchStatus::kUnavailable : WatchStatus::kOk, page);
      });
    };
    return store;
  }

  void Make(std::optional<Duration> relaxed_watch_timeout) {
    StoreMirrorOptions options;
    options.prefix = "servers/";
    options.relaxed_watch_timeout = relaxed_watch_timeout;
    StoreMirrorHooks hooks;
    hooks.changed = [this](const StoreEvent& event) { this->events.push_back(event); };
    hooks.synchronized = [] {};
    hooks.reachable = [](bool) {};
    hooks.restored = [this](std::uint64_t era) { this->eras.push_back(era); };
    hooks.relaxed = [this] { return this->relaxed; };
    hooks.wanted = [this] { return this->wanted; };
    hooks.max_retry_delay = [this] { return this->max_retry_delay; };
    this->mirror.emplace(this->store, options, hooks, this->clock, this->clock, [] { return 0; });
    this->mirror->Start();
  }

  void Put(const std::string& key) { this->items[key] = KeyValue{key, "value", ++this->revision}; }

  int Calls() const { return this->lists + this->watches; }

  ManualClock clock;
  std::map<std::string, KeyValue> items;
  std::uint64_t revision = 1;
  int lists = 0;
  int watches = 0;
  bool relaxed = false;
  bool wanted = true;
  Duration max_retry_delay = StoreMirror::kMaxRetryDelay;
  bool down = false;
  bool silent = false;
  std::vector<StoreEvent> events;
  std::vector<std::uint64_t> eras;
  const CoordinationStore store = Hooks();
  std::optional<StoreMirror> mirror;
};

// With 80 processes that watch keys which change 20 times a second, the load on the store is
// bounded only if those that receive the content from the leader make no calls.
TEST_F(StoreMirrorTest, ARelaxedMirrorMakesNoCallsAndListsAfterwards) {
  this->Put("servers/a");
  this->Put("servers/b");
  this->Make(std::nullopt);
  this->clock.Advance(seconds(3));
  ASSERT_EQ(this->events.size(), 2u);
  this->relaxed = true;
  this->clock.Advance(seconds(3));  // The watch in flight ends.
  const int before = this->Calls();
  this->clock.Advance(seconds(60));
  EXPECT_EQ(this->Calls(), before);
  this->items.erase("servers/a");
  this->Put("servers/c");
  this->relaxed = false;
  this->clock.Advance(StoreMirror::kPauseCheckInterval + milliseconds(10));
  ASSERT_EQ(this->events.size(), 4u);
  EXPECT_EQ(this->events[2].item.key, "servers/c");
  EXPECT_TRUE(this->events[3].removed);
  EXPECT_EQ(this->events[3].item.key, "servers/a");
}

TEST_F(StoreMirrorTest, ARelaxedMirrorHoldsWatchesLonger) {
  this->Make(seconds(10));
  this->clock.Advance(seconds(20));
  EXPECT_GE(this->watches, 9);
  this->relaxed = true;
  this->clock.Advance(seconds(2));
  const int before = this->Calls();
  this->clock.Advance(seconds(30));
  EXPECT_LE(this->Calls(), before + 4);
}

// Guards against a copy that keeps the state of before a restore, and drops all changes until the
// store's counter has passed its old value.
TEST_F(StoreMirrorTest, AListOfALaterEraReplacesTheCopy) {
  this->revision = MakeRevision(1, 50);
  this->Put("servers/a");
  this->Put("servers/b");
  this->Make(std::nullopt);
  this->clock.Advance(seconds(1));
  ASSERT_EQ(this->events.size(), 2u);
  this->down = true;
  this->clock.Advance(seconds(3));
  this->items.erase("servers/b");
  this->revision = MakeRevision(2, 20);
  this->Put("servers/a");
  this->down = false;
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->eras, std::vector<std::uint64_t>{2});
  ASSERT_EQ(this->events.size(), 4u);
  EXPECT_EQ(this->events[2].item.key, "servers/a");
  EXPECT_TRUE(this->events[3].removed);
}

// Guards against a mirror that makes no calls before it has a complete copy, or while the store is
// unreachable.
TEST_F(StoreMirrorTest, IsRelaxedOnlyAfterASuccessfulCall) {
  this->relaxed = true;
  this->down = true;
  this->Make(std::nullopt);
  this->clock.Advance(seconds(10));
  EXPECT_GE(this->lists, 10);
  EXPECT_FALSE(this->mirror->Synchronized());
  this->down = false;
  this->clock.Advance(seconds(1));
  EXPECT_TRUE(this->mirror->Synchronized());
}

// When 300 processes start, each registration would complete the watches of all others. Only the
// leader needs the registrations, from when it leads.
TEST_F(StoreMirrorTest, NoCallsAreMadeWhileTheCopyIsNotNeeded) {
  this->Put("servers/a");
  this->wanted = false;
  this->Make(std::nullopt);
  this->clock.Advance(seconds(60));
  EXPECT_EQ(this->Calls(), 0);
  this->wanted = true;
  this->mirror->Wake();
  this->clock.Advance(milliseconds(10));
  EXPECT_EQ(this->events.size(), 1u);
  this->clock.Advance(seconds(5));
  EXPECT_EQ(this->lists, 1) << "the timer of the pause must not start a second sequence of calls";
}

// Guards against an overload of the store by the retries of 300 processes during an outage.
TEST_F(StoreMirrorTest, RetriesOfALargeFleetAreSpreadFurther) {
  this->down = true;
  this->max_retry_delay = seconds(4);
  this->Make(std::nullopt);
  this->clock.Advance(seconds(60));
  EXPECT_LE(this->lists, 40);
  this->down = false;
  this->clock.Advance(seconds(4) + milliseconds(10));
  EXPECT_TRUE(this->mirror->Synchronized());
}

// All processes restart during an outage in which the store accepts calls but answers none. A
// process that waits for the timeout of such a call would be ready a second later than the store.
TEST_F(StoreMirrorTest, TheFirstListDoesNotWaitForAnAnswerOfTheOutage) {
  this->Put("servers/a");
  this->silent = true;
  this->Make(std::nullopt);
  this->clock.Advance(milliseconds(450));
  this->silent = false;
  this->mirror->ResendOverdueList();
  this->clock.Advance(milliseconds(10));
  EXPECT_TRUE(this->mirror->Synchronized());
  this->mirror->ResendOverdueList();
  this->clock.Advance(seconds(5));
  EXPECT_EQ(this->lists, 2);
  EXPECT_EQ(this->events.size(), 1u);
}

}  // namespace
}  // namespace sycamoredrum
