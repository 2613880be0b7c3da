#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/coordination_store.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {

/// Simulates the platform's store and its faults in virtual time. Each client has a number, so that
/// single clients can be disconnected.
class FakeStore {
 public:
  explicit FakeStore(ManualClock& clock) : clock(clock) {}

  bool down = false;                     ///< Calls are answered with kUnavailable.
  std::set<int> disconnected;            ///< Clients whose calls get no answer.
  std::map<int, Duration> lease_delays;  ///< Extra delay of granting a lease, by client.
  int lost_answers = 0;  ///< Number of coming writes that take effect, but whose answer is lost.
  int late_writes =
      0;  ///< Number of coming writes without an answer that take effect after `late_by`.
  Duration late_by = std::chrono::seconds(2);
  Duration delay = std::chrono::milliseconds(4);

  const std::map<std::string, KeyValue>& Items() const { return this->items; }

  /// Removes a key although its lease has not expired, and keeps the lease.
  void Revoke(const std::string& key) { this->Remove(key); }

  /// Writes a key without conditions, as an operator would.
  void Put(const std::string& key, const std::string& value) {
    this->items[key] = KeyValue{key, value, ++this->revision};
  }

  /// Part of the store that a copy contains.
  struct Copy {
    std::map<std::string, KeyValue> items;
    std::map<std::string, std::uint64_t> lease_of;
    std::uint64_t revision = 0;
  };

  Copy Save() const { return Copy{this->items, this->lease_of, this->revision}; }

  /// Replaces the content by an older copy, in a new era. All leases end, with the keys that belong
  /// to them.
  void Restore(const Copy& copy) {
    const std::uint64_t era = EraOf(this->revision) + 1;
    this->items = copy.items;
    for (auto& [key, item] : this->items) {
      item.revision = MakeRevision(era, CounterOf(item.revision));
    }
    this->lease_of = copy.lease_of;
    this->revision = MakeRevision(era, CounterOf(copy.revision));
    this->leases.clear();
    std::vector<std::string> leased;
    for (const auto& [key, lease] : this->lease_of) {
      if (lease != 0) {
        leased.push_back(key);
      }
    }
    for (const std::string& key : leased) {
      this->Remove(key);
    }
  }

  CoordinationStore Hooks(int client) {
    CoordinationStore store;
    store.list = [this, client](const std::string& prefix,
                                const CoordinationStore::PageCallback& callback) {
      this->Answer(client, [this, prefix, callback](bool served) {
        StorePage page;
        this->ExpireLeases();
        for (const auto& [key, item] : this->items) {
          if (key.compare(0, prefix.size(), prefix) == 0) {
            page.items.push_back(item);
          }
        }
        page.revision = this->revision;
        callback(served ? PlatformStatus::kOk : PlatformStatus::kUnavailable, page);
      });
    };
    store.watch = [this, client](const std::string&, std::uint64_t, Duration,
                                 const CoordinationStore::WatchCallback& callback) {
      // The store keeps no history, so that every watch leads to a list.
      this->clock.RunAfter(std::chrono::milliseconds(50), [this, client, callback] {
        this->Answer(client, [callback](bool served) {
          callback(served ? WatchStatus::kHistoryLost : WatchStatus::kUnavailable, {});
        });
      });
    };
    store.write = [this, client](const ConditionalWrite& write,
                                 const std::vector<RevisionCondition>& conditions,
                                 const CoordinationStore::WriteCallback& callback) {
      this->Write(client, write, conditions, callback);
    };
    store.grant_lease = [this, client](Duration time_to_live,
                                       const CoordinationStore::LeaseCallback& callback) {
      const auto extra = this->lease_delays.find(client);
      const Duration wait = extra == this->lease_delays.end() ? Duration::zero() : extra->second;
      this->clock.RunAfter(wait, [this, client, time_to_live, callback] {
        this->Answer(client, [this, time_to_live, callback](bool served) {
          if (served) {
            const std::uint64_t lease = this->next_lease++;
            this->leases[lease] = Lease{time_to_live, this->clock.Now() + time_to_live};
            callback(PlatformStatus::kOk, lease, time_to_live);
          } else {
            callback(PlatformStatus::kUnavailable, 0, Duration::zero());
          }
        });
      });
    };
    store.renew_lease = [this, client](std::uint64_t lease,
                                       const CoordinationStore::StatusCallback& callback) {
      this->Answer(client, [this, lease, callback](bool served) {
        this->ExpireLeases();
        const auto found = this->leases.find(lease);
        if (!served) {
          callback(PlatformStatus::kUnavailable);
        } else if (found == this->leases.end()) {
          callback(PlatformStatus::kNotFound);
        } else {
          found->second.ends = this->clock.Now() + found->second.time_to_live;
          callback(PlatformStatus::kOk);
        }
      });
    };
    store.end_lease = [this, client](std::uint64_t lease,
                                     const CoordinationStore::StatusCallback& callback) {
      this->Answer(client, [this, lease, callback](bool served) {
        if (served) {
          this->EndLease(lease);
        }
        callback(served ? PlatformStatus::kOk : PlatformStatus::kUnavailable);
      });
    };
    return store;
  }

 private:
  struct Lease {
    Duration time_to_live{};
    TimePoint ends;
  };

  void Answer(int client, const std::function<void(bool served)>& action) {
    if (this->disconnected.count(client) != 0) {
      // The call ends by the client's own timeout.
      this->clock.RunAfter(std::chrono::seconds(1), [action] { action(false); });
      return;
    }
    this->clock.RunAfter(this->delay, [this, action] { action(!this->down); });
  }

  void Write(int client, const ConditionalWrite& write,
             const std::vector<RevisionCondition>& conditions,
             const CoordinationStore::WriteCallback& callback) {
    this->Answer(client, [this, write, conditions, callback](bool served) {
      if (!served) {
        callback(PlatformStatus::kUnavailable, 0);
        return;
      }
      if (this->late_writes > 0) {
        --this->late_writes;
        this->clock.RunAfter(this->late_by,
                             [this, write, conditions] { this->Apply(write, conditions); });
        this->clock.RunAfter(std::chrono::seconds(1),
                             [callback] { callback(PlatformStatus::kUnknown, 0); });
        return;
      }
      const std::pair<PlatformStatus, std::uint64_t> result = this->Apply(write, conditions);
      if (this->lost_answers > 0) {
        --this->lost_answers;
        this->clock.RunAfter(std::chrono::seconds(1),
                             [callback] { callback(PlatformStatus::kUnknown, 0); });
        return;
      }
      callback(result.first, result.second);
    });
  }

  std::pair<PlatformStatus, std::uint64_t> Apply(const ConditionalWrite& write,
                                                 std::vector<RevisionCondition> conditions) {
    this->ExpireLeases();
    conditions.push_back({write.key, write.expected_revision});
    for (const RevisionCondition& condition : conditions) {
      const auto found = this->items.find(condition.key);
      const std::uint64_t present = found == this->items.end() ? 0 : found->second.revision;
      if (present != condition.revision) {
        const auto own = this->items.find(write.key);
        return {PlatformStatus::kConflict, own == this->items.end() ? 0 : own->second.revision};
      }
    }
    if (write.lease != 0 && this->leases.count(write.lease) == 0) {
      return {PlatformStatus::kNotFound, 0};
    }
    if (!write.value) {
      this->Remove(write.key);
      return {PlatformStatus::kOk, this->revision};
    }
    this->items[write.key] = KeyValue{write.key, *write.value, ++this->revision};
    this->lease_of[write.key] = write.lease;
    return {PlatformStatus::kOk, this->revision};
  }

  void Remove(const std::string& key) {
    if (this->items.erase(key) > 0) {
      ++this->revision;
    }
    this->lease_of.erase(key);
  }

  void EndLease(std::uint64_t lease) {
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, owner] : this->lease_of) {
      if (owner == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Remove(key);
    }
  }

  void ExpireLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [lease, state] : this->leases) {
      if (state.ends <= this->clock.Now()) {
        ended.push_back(lease);
      }
    }
    for (const std::uint64_t lease : ended) {
      this->EndLease(lease);
    }
  }

  ManualClock& clock;
  std::map<std::string, KeyValue> items;
  std::map<std::string, std::uint64_t> lease_of;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 100;
  std::uint64_t next_lease = 1;
};

}  // namespace sycamoredrum
