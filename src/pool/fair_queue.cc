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
  const Duration remaining = entry.deadline - this->clock.Now();
  const Duration wait = this->EstimateWait(entry);
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
  if (group.size == 0) {
    group.position = this->rotation.insert(this->rotation.end(), entry.caller_group);
  }
  const auto [organisation, added] =
      group.organisations.try_emplace(OrganisationKey{entry.organisation, entry.any_organisation});
  if (added) {
    organisation->second.position =
        group.rotation.insert(group.rotation.end(), &organisation->first);
  }
  group.weight = std::max(entry.weight, 1);
  organisation->second.weight = std::max(entry.organisation_weight, 1);
  organisation->second.entries.push_back(entry);
  ++group.size;
  ++this->size;
  if (entry.any_organisation) {
    ++this->size_for_any;
  } else {
    Total& total = this->organisations[entry.organisation];
    ++total.entries;
    total.weight = organisation->second.weight;
  }
  verdict.accepted = true;
  return verdict;
}

std::optional<QueueTurn> FairQueue::Next(const GroupFilter& group_filter,
                                         const OrganisationFilter& organisation_filter) {
  auto name = this->rotation.begin();
  for (std::size_t visits = this->rotation.size(); visits > 0; --visits) {
    const auto present = name++;
    if (!group_filter(*present)) {
      this->rotation.splice(this->rotation.end(), this->rotation, present);
      continue;
    }
    if (auto turn = TurnIn(*present, this->groups.at(*present), organisation_filter)) {
      return turn;
    }
  }
  return std::nullopt;
}

std::optional<QueueTurn> FairQueue::Peek(const GroupFilter& group_filter,
                                         const OrganisationFilter& organisation_filter) const {
  for (const std::string& name : this->rotation) {
    if (group_filter(name)) {
      if (auto turn = TurnIn(name, this->groups.at(name), organisation_filter)) {
        return turn;
      }
    }
  }
  return std::nullopt;
}

std::optional<QueueTurn> FairQueue::TurnIn(const std::string& name, const Group& group,
                                           const OrganisationFilter& filter) {
  for (const OrganisationKey* const key : group.rotation) {
    if (filter(key->first, key->second)) {
      return QueueTurn{name, key->first, key->second};
    }
  }
  return std::nullopt;
}

void FairQueue::Charge(const QueueTurn& turn) {
  Group& group = this->groups.at(turn.caller_group);
  this->ChargeIn(group, group.organisations.at({turn.organisation, turn.any_organisation}));
}

void FairQueue::ChargeIn(Group& group, Organisation& organisation) {
  if (group.deficit < 1) {
    group.deficit += group.weight;
  }
  if (--group.deficit < 1) {
    this->rotation.splice(this->rotation.end(), this->rotation, group.position);
  }
  if (organisation.deficit < 1) {
    organisation.deficit += organisation.weight;
  }
  if (--organisation.deficit < 1) {
    group.rotation.splice(group.rotation.end(), group.rotation, organisation.position);
  }
}

std::optional<QueueEntry> FairQueue::TakeCharged(const QueueTurn& turn) {
  const auto group = this->groups.find(turn.caller_group);
  if (group == this->groups.end()) {
    return std::nullopt;
  }
  const OrganisationKey key{turn.organisation, turn.any_organisation};
  const auto organisation = group->second.organisations.find(key);
  if (organisation == group->second.organisations.end()) {
    return std::nullopt;
  }
  QueueEntry entry = std::move(organisation->second.entries.front());
  organisation->second.entries.pop_front();
  this->CountRemoved(turn.caller_group, key);
  return entry;
}

std::optional<QueueEntry> FairQueue::Pop(const GroupFilter& filter) {
  const auto turn = this->Next(filter, [](const std::string&, bool) { return true; });
  if (!turn) {
    return std::nullopt;
  }
  this->Charge(*turn);
  return this->TakeCharged(*turn);
}

bool FairQueue::Remove(const QueueTurn& turn, std::uint64_t id) {
  const auto group = this->groups.find(turn.caller_group);
  if (group == this->groups.end()) {
    return false;
  }
  const OrganisationKey key{turn.organisation, turn.any_organisation};
  const auto organisation = group->second.organisations.find(key);
  if (organisation == group->second.organisations.end()) {
    return false;
  }
  std::deque<QueueEntry>& entries = organisation->second.entries;
  const auto entry = std::find_if(entries.begin(), entries.end(),
                                  [id](const QueueEntry& candidate) { return candidate.id == id; });
  if (entry == entries.end()) {
    return false;
  }
  entries.erase(entry);
  this->CountRemoved(turn.caller_group, key);
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

Duration FairQueue::EstimateWait(const QueueEntry& entry) const {
  const auto ahead = static_cast<Duration::rep>(this->EntriesAhead(entry));
  return this->service_time * ahead / this->parallelism;
}

bool FairQueue::OthersWait(const std::string& caller_group) const {
  return this->groups.size() > this->groups.count(caller_group);
}

bool FairQueue::OtherOrganisationsWait(const std::string& organisation,
                                       const GroupFilter& filter) const {
  if (!this->OtherOrganisationsWait(organisation)) {
    return false;
  }
  return std::any_of(this->groups.begin(), this->groups.end(), [&](const auto& candidate) {
    const auto& [name, group] = candidate;
    const bool other = std::any_of(
        group.organisations.begin(), group.organisations.end(), [&](const auto& present) {
          return !present.first.second && present.first.first != organisation;
        });
    return other && filter(name);
  });
}

bool FairQueue::OtherOrganisationsWait(const std::string& organisation) const {
  return this->organisations.size() > this->organisations.count(organisation);
}

std::size_t FairQueue::Size(const std::string& organisation) const {
  const auto found = this->organisations.find(organisation);
  return found == this->organisations.end() ? 0 : found->second.entries;
}

// Entries that are served before a new one: all of its own organisation in its group, of each other
// organisation of the group as many as its weight allows in the same number of rounds, and of each
// other group likewise.
std::size_t FairQueue::EntriesAhead(const QueueEntry& entry) const {
  std::size_t own_group = 0;
  const auto group = this->groups.find(entry.caller_group);
  if (group != this->groups.end()) {
    const OrganisationKey key{entry.organisation, entry.any_organisation};
    const auto own = group->second.organisations.find(key);
    own_group = own == group->second.organisations.end() ? 0 : own->second.entries.size();
    const std::size_t rounds =
        own_group / static_cast<std::size_t>(std::max(entry.organisation_weight, 1)) + 1;
    for (auto other = group->second.organisations.begin();
         other != group->second.organisations.end(); ++other) {
      if (other != own) {
        const std::size_t served = rounds * static_cast<std::size_t>(other->second.weight);
        own_group += std::min(other->second.entries.size(), served);
      }
    }
  }
  const std::size_t rounds = own_group / static_cast<std::size_t>(std::max(entry.weight, 1)) + 1;
  std::size_t ahead = own_group;
  for (auto other = this->groups.begin(); other != this->groups.end(); ++other) {
    if (other != group) {
      const std::size_t served = rounds * static_cast<std::size_t>(other->second.weight);
      ahead += std::min(other->second.size, served);
    }
  }
  return ahead;
}

std::optional<std::uint64_t> FairQueue::MakeRoom(const QueueEntry& entry) {
  if (this->groups.empty()) {
    return std::nullopt;
  }
  const std::string& own = entry.any_organisation ? std::string{} : entry.organisation;
  const std::string most_loaded = this->MostLoadedOrganisation();
  const auto most_loaded_group = std::max_element(
      this->groups.begin(), this->groups.end(), [&most_loaded](const auto& a, const auto& b) {
        return Load(a.second, most_loaded) * static_cast<std::size_t>(b.second.weight) <
               Load(b.second, most_loaded) * static_cast<std::size_t>(a.second.weight);
      });
  const std::size_t entries = Load(most_loaded_group->second, most_loaded);
  bool less_loaded = false;
  if (most_loaded == own) {
    const auto group = this->groups.find(entry.caller_group);
    const std::size_t own_entries = group == this->groups.end() ? 0 : Load(group->second, own);
    less_loaded = most_loaded_group->first != entry.caller_group &&
                  (own_entries + 1) * static_cast<std::size_t>(most_loaded_group->second.weight) <
                      entries * static_cast<std::size_t>(std::max(entry.weight, 1));
  } else if (!this->organisations.empty()) {
    const Total& total = this->organisations.at(most_loaded);
    less_loaded = (this->Size(own) + 1) * static_cast<std::size_t>(total.weight) <
                  total.entries * static_cast<std::size_t>(std::max(entry.organisation_weight, 1));
  }
  if (!less_loaded || entries == 0) {
    return std::nullopt;
  }
  return this->DisplaceNewest(most_loaded_group->first, most_loaded);
}

std::string FairQueue::MostLoadedOrganisation() const {
  const auto found = std::max_element(
      this->organisations.begin(), this->organisations.end(), [](const auto& a, const auto& b) {
        return a.second.entries * static_cast<std::size_t>(b.second.weight) <
               b.second.entries * static_cast<std::size_t>(a.second.weight);
      });
  return found == this->organisations.end() ? std::string{} : found->first;
}

std::size_t FairQueue::Load(const Group& group, const std::string& organisation) {
  std::size_t load = 0;
  for (const bool any : {false, true}) {
    const auto found = group.organisations.find(OrganisationKey{organisation, any});
    load += found == group.organisations.end() ? 0 : found->second.entries.size();
  }
  return load;
}

std::uint64_t FairQueue::DisplaceNewest(const std::string& caller_group,
                                        const std::string& organisation) {
  Group& group = this->groups.at(caller_group);
  OrganisationKey key{organisation, false};
  key.second = group.organisations.count(key) == 0;
  std::deque<QueueEntry>& entries = group.organisations.at(key).entries;
  const std::uint64_t displaced = entries.back().id;
  entries.pop_back();
  this->CountRemoved(std::string(caller_group), key);
  return displaced;
}

// Updates the counts after an entry was removed.
void FairQueue::CountRemoved(const std::string& caller_group, const OrganisationKey& key) {
  const auto group = this->groups.find(caller_group);
  const auto organisation = group->second.organisations.find(key);
  --this->size;
  --group->second.size;
  if (key.second) {
    --this->size_for_any;
  } else {
    const auto total = this->organisations.find(key.first);
    if (--total->second.entries == 0) {
      this->organisations.erase(total);
    }
  }
  if (organisation->second.entries.empty()) {
    group->second.rotation.erase(organisation->second.position);
    group->second.organisations.erase(organisation);
  }
  if (group->second.size == 0) {
    this->rotation.erase(group->second.position);
    this->groups.erase(group);
  }
}

}  // namespace sycamoredrum
