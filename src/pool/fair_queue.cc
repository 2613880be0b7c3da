#include "sycamoredrum/fair_queue.h"

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

// Weight of a new sample in the moving average of the service time is one eighth, as in TCP's
// round-trip estimate: it follows a change within about ten requests and ignores one outlier.
constexpr int kServiceTimeSmoothing = 8;

Duration ClampRetryAfter(Duration wait) {
  return std::clamp(wait, FairQueue::kMinRetryAfter, FairQueue::kMaxRetryAfter);
}

}  // namespace

FairQueue::FairQueue(const Clock& clock, std::size_t max_entries)
    : clock(clock), max_entries(max_entries) {}

QueueVerdict FairQueue::Push(const QueueEntry& entry) {
  const int weight = std::max(entry.weight, 1);
  const Duration remaining = entry.deadline - this->clock.Now();
  const Duration wait = this->EstimateWait(entry.caller_group, weight);
  QueueVerdict verdict;
  if (remaining <= Duration::zero() || wait > remaining) {
    verdict.deadline_missed = true;
    verdict.retry_after = ClampRetryAfter(wait - remaining);
    return verdict;
  }
  if (this->size >= this->max_entries) {
    verdict.displaced = this->MakeRoom(entry);
    if (!verdict.displaced) {
      verdict.retry_after = ClampRetryAfter(wait);
      return verdict;
    }
  }
  Group& group = this->groups[entry.caller_group];
  if (group.entries.empty()) {
    this->rotation.push_back(entry.caller_group);
  }
  group.weight = weight;
  group.entries.push_back(entry);
  ++this->size;
  verdict.accepted = true;
  return verdict;
}

std::optional<QueueEntry> FairQueue::Pop(const GroupFilter& filter) {
  const std::size_t visits = this->rotation.size();
  for (std::size_t visit = 0; visit < visits; ++visit) {
    const std::string name = this->rotation.front();
    Group& group = this->groups.at(name);
    if (!filter(name)) {
      this->rotation.pop_front();
      this->rotation.push_back(name);
      continue;
    }
    if (group.deficit < 1) {
      group.deficit += group.weight;
    }
    QueueEntry entry = std::move(group.entries.front());
    group.entries.pop_front();
    --group.deficit;
    --this->size;
    if (group.deficit < 1) {
      this->rotation.pop_front();
      this->rotation.push_back(name);
    }
    this->EraseIfEmpty(name);
    return entry;
  }
  return std::nullopt;
}

bool FairQueue::Remove(const std::string& caller_group, std::uint64_t id) {
  const auto found = this->groups.find(caller_group);
  if (found == this->groups.end()) {
    return false;
  }
  std::deque<QueueEntry>& entries = found->second.entries;
  const auto entry = std::find_if(entries.begin(), entries.end(),
                                  [id](const QueueEntry& candidate) { return candidate.id == id; });
  if (entry == entries.end()) {
    return false;
  }
  entries.erase(entry);
  --this->size;
  this->EraseIfEmpty(caller_group);
  return true;
}

void FairQueue::RecordServiceTime(Duration measured) {
  const Duration sample = std::min(measured, kMaxServiceTimeSample);
  if (this->service_time == Duration::zero()) {
    this->service_time = sample;
    return;
  }
  this->service_time += (sample - this->service_time) / kServiceTimeSmoothing;
}

void FairQueue::SetParallelism(int connections) { this->parallelism = std::max(connections, 1); }

Duration FairQueue::EstimateWait(const std::string& caller_group, int weight) const {
  const auto ahead = static_cast<Duration::rep>(this->EntriesAhead(caller_group, weight));
  return this->service_time * ahead / this->parallelism;
}

bool FairQueue::OthersWait(const std::string& caller_group) const {
  return this->groups.size() > this->groups.count(caller_group);
}

// Entries that are served before a new one: all of its own group, and of each other group as many
// as its weight allows in the same number of rounds.
std::size_t FairQueue::EntriesAhead(const std::string& caller_group, int weight) const {
  const auto own = this->groups.find(caller_group);
  const std::size_t own_entries = own == this->groups.end() ? 0 : own->second.entries.size();
  const std::size_t rounds = own_entries / static_cast<std::size_t>(std::max(weight, 1)) + 1;
  std::size_t ahead = own_entries;
  for (const auto& [name, group] : this->groups) {
    if (name != caller_group) {
      const std::size_t served = rounds * static_cast<std::size_t>(group.weight);
      ahead += std::min(group.entries.size(), served);
    }
  }
  return ahead;
}

std::optional<std::uint64_t> FairQueue::MakeRoom(const QueueEntry& entry) {
  const auto own = this->groups.find(entry.caller_group);
  const std::size_t own_entries = own == this->groups.end() ? 0 : own->second.entries.size();
  const auto own_weight = static_cast<std::size_t>(std::max(entry.weight, 1));
  const auto most_loaded =
      std::max_element(this->groups.begin(), this->groups.end(), [](const auto& a, const auto& b) {
        return a.second.entries.size() * static_cast<std::size_t>(b.second.weight) <
               b.second.entries.size() * static_cast<std::size_t>(a.second.weight);
      });
  if (most_loaded == this->groups.end()) {
    return std::nullopt;
  }
  const auto most_loaded_weight = static_cast<std::size_t>(most_loaded->second.weight);
  const bool less_loaded =
      (own_entries + 1) * most_loaded_weight < most_loaded->second.entries.size() * own_weight;
  if (most_loaded->first == entry.caller_group || !less_loaded) {
    return std::nullopt;
  }
  const std::string name = most_loaded->first;
  const std::uint64_t displaced = most_loaded->second.entries.back().id;
  most_loaded->second.entries.pop_back();
  --this->size;
  this->EraseIfEmpty(name);
  return displaced;
}

void FairQueue::EraseIfEmpty(const std::string& caller_group) {
  const auto found = this->groups.find(caller_group);
  if (found == this->groups.end() || !found->second.entries.empty()) {
    return;
  }
  this->groups.erase(found);
  this->rotation.erase(std::find(this->rotation.begin(), this->rotation.end(), caller_group));
}

}  // namespace sycamoredrum
