#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/platform.h"
#include "sycamoredrum/ticket.h"

namespace sycamoredrum {

/// A valid ticket that sets one of three caller groups, so that successive tickets overwrite each
/// other's objects.
inline Ticket MakeTicket(std::uint64_t number, const std::string& id_prefix) {
  Ticket ticket;
  ticket.number = number;
  ticket.id = id_prefix + "-" + std::to_string(number);
  ticket.author = "operator";
  CallerGroupConfig group;
  group.name = "group-" + std::to_string(number % 3);
  group.token_sha256 = std::string(63, 'a') + std::to_string(number % 3);
  group.weight = static_cast<int>(number % 1000) + 1;
  ticket.caller_groups.push_back(group);
  return ticket;
}

/// In-memory key-value service of the platform. Answers after a delay in the scheduler's time;
/// tests inject faults through its public members.
class FakePlatform {
 public:
  explicit FakePlatform(Scheduler& scheduler) : scheduler(scheduler) {}

  PlatformClient Client() {
    PlatformClient client;
    client.get = [this](const std::string& key, PlatformClient::GetCallback done) {
      this->Answer([this, key, done] { this->Get(key, done); });
    };
    client.put = [this](const std::string& key, const std::string& value, std::uint64_t revision,
                        PlatformClient::PutCallback done) {
      this->Answer([this, key, value, revision, done] { this->Put(key, value, revision, done); });
    };
    client.list = [this](const std::string& prefix, const std::string& after, int limit,
                         PlatformClient::ListCallback done) {
      this->Answer([this, prefix, after, limit, done] {
        ++this->lists;
        done(this->down ? PlatformStatus::kUnavailable : PlatformStatus::kOk,
             this->down ? std::vector<KeyValue>() : this->List(prefix, after, limit));
      });
    };
    client.watch = [this](const std::string&, std::uint64_t after_revision, Duration timeout,
                          PlatformClient::ListCallback done) {
      const std::uint64_t id = this->next_watch++;
      this->watches[id] = {after_revision, std::move(done)};
      this->scheduler.RunAfter(timeout, [this, id] { this->EndWatch(id, PlatformStatus::kOk); });
      this->Answer([this] { this->ServeWatches(); });
    };
    return client;
  }

  /// Stores a ticket under its key, as another writer would.
  void Store(const Ticket& ticket) { this->StoreValue(TicketKey(ticket.number), ticket); }

  void SetDown(bool now_down) {
    this->down = now_down;
    this->ServeWatches();
  }

  std::size_t OpenWatches() const { return this->watches.size(); }

  std::map<std::string, KeyValue> values;
  bool down = false;
  int lost_answers_after_effect = 0;   ///< Number of next puts to apply but answer kUnknown.
  int lost_answers_before_effect = 0;  ///< Number of next puts to answer kUnknown unapplied.
  int failing_gets = 0;
  int lists = 0;
  int puts = 0;

 private:
  struct Watch {
    std::uint64_t after_revision = 0;
    PlatformClient::ListCallback done;
  };

  void Answer(std::function<void()> answer) {
    this->scheduler.RunAfter(std::chrono::milliseconds(2), std::move(answer));
  }

  void StoreValue(const std::string& key, const Ticket& ticket) {
    this->values[key] = KeyValue{key, SerializeTicket(ticket), ++this->revision};
    this->ServeWatches();
  }

  void Get(const std::string& key, const PlatformClient::GetCallback& done) {
    const auto found = this->values.find(key);
    if (this->down || this->failing_gets > 0) {
      --this->failing_gets;
      done(PlatformStatus::kUnavailable, std::nullopt);
    } else if (found == this->values.end()) {
      done(PlatformStatus::kNotFound, std::nullopt);
    } else {
      done(PlatformStatus::kOk, found->second);
    }
  }

  void Put(const std::string& key, const std::string& value, std::uint64_t expected,
           const PlatformClient::PutCallback& done) {
    ++this->puts;
    const auto found = this->values.find(key);
    const std::uint64_t present = found == this->values.end() ? 0 : found->second.revision;
    if (this->down) {
      done(PlatformStatus::kUnavailable, 0);
    } else if (this->lost_answers_before_effect > 0) {
      --this->lost_answers_before_effect;
      done(PlatformStatus::kUnknown, 0);
    } else if (present != expected) {
      done(PlatformStatus::kConflict, 0);
    } else {
      this->values[key] = KeyValue{key, value, ++this->revision};
      this->ServeWatches();
      const bool lost = this->lost_answers_after_effect > 0;
      this->lost_answers_after_effect -= lost ? 1 : 0;
      done(lost ? PlatformStatus::kUnknown : PlatformStatus::kOk, lost ? 0 : this->revision);
    }
  }

  std::vector<KeyValue> List(const std::string& prefix, const std::string& after, int limit) {
    std::vector<KeyValue> page;
    for (auto item = this->values.upper_bound(after);
         item != this->values.end() && static_cast<int>(page.size()) < limit; ++item) {
      if (item->first.rfind(prefix, 0) == 0) {
        page.push_back(item->second);
      }
    }
    return page;
  }

  std::vector<KeyValue> ChangedAfter(std::uint64_t after_revision) {
    std::vector<KeyValue> changed;
    for (const auto& [key, value] : this->values) {
      if (value.revision > after_revision) {
        changed.push_back(value);
      }
    }
    return changed;
  }

  void ServeWatches() {
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
      const std::uint64_t id = watch->first;
      const bool due = this->down || !this->ChangedAfter(watch->second.after_revision).empty();
      ++watch;
      if (due) {
        this->Answer([this, id] {
          this->EndWatch(id, this->down ? PlatformStatus::kUnavailable : PlatformStatus::kOk);
        });
      }
    }
  }

  void EndWatch(std::uint64_t id, PlatformStatus status) {
    auto node = this->watches.extract(id);
    if (node.empty()) {
      return;
    }
    node.mapped().done(status, status == PlatformStatus::kOk
                                   ? this->ChangedAfter(node.mapped().after_revision)
                                   : std::vector<KeyValue>());
  }

  Scheduler& scheduler;
  std::uint64_t revision = 100;  // Writes to other keys used the lower revisions.
  std::uint64_t next_watch = 0;
  std::map<std::uint64_t, Watch> watches;
};

}  // namespace sycamoredrum
