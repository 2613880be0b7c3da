#include "sycamoredrum/idle_connection_list.h"

#include <algorithm>
#include <iterator>

namespace sycamoredrum {

bool IdleConnectionList::Has(const std::string& organisation) const {
  const auto found = this->counts.find(organisation);
  return found != this->counts.end() && found->second.idle > 0;
}

bool IdleConnectionList::Contains(ConnectionId connection) const {
  return std::any_of(this->items.begin(), this->items.end(),
                     [connection](const Item& item) { return item.connection == connection; });
}

void IdleConnectionList::Add(ConnectionId connection, const std::string& organisation) {
  this->items.push_back(Item{connection, organisation});
  ++this->counts[organisation].idle;
}

void IdleConnectionList::Remove(ConnectionId connection) {
  const auto found =
      std::find_if(this->items.begin(), this->items.end(),
                   [connection](const Item& item) { return item.connection == connection; });
  if (found != this->items.end()) {
    --this->counts[found->organisation].idle;
    this->items.erase(found);
  }
}

ConnectionId IdleConnectionList::Take(const std::string* organisation, const Cost& cost) {
  // From the last released to the first.
  auto chosen = this->items.end();
  int lowest = 0;
  for (auto candidate = this->items.end(); candidate != this->items.begin();) {
    --candidate;
    if (organisation != nullptr && candidate->organisation != *organisation) {
      continue;
    }
    const int value = cost ? cost(candidate->connection) : 0;
    if (chosen == this->items.end() || value < lowest) {
      lowest = value;
      chosen = candidate;
    }
    if (lowest <= 0) {
      break;
    }
  }
  return this->TakeAt(chosen);
}

ConnectionId IdleConnectionList::TakeOldest() { return this->TakeAt(this->items.begin()); }

std::vector<ConnectionId> IdleConnectionList::All() const {
  std::vector<ConnectionId> all;
  for (const Item& item : this->items) {
    all.push_back(item.connection);
  }
  return all;
}

std::vector<ConnectionId> IdleConnectionList::Of(const std::string& organisation) const {
  std::vector<ConnectionId> found;
  for (const Item& item : this->items) {
    if (item.organisation == organisation) {
      found.push_back(item.connection);
    }
  }
  return found;
}

std::vector<ConnectionId> IdleConnectionList::EndPeriod(std::size_t max) {
  std::vector<ConnectionId> surplus;
  std::vector<Item> kept;
  for (Item& item : this->items) {
    Count& count = this->counts[item.organisation];
    if (count.fewest > 0 && surplus.size() < max) {
      --count.fewest;
      surplus.push_back(item.connection);
    } else {
      kept.push_back(std::move(item));
    }
  }
  this->items = std::move(kept);
  this->counts.clear();
  for (const Item& item : this->items) {
    Count& count = this->counts[item.organisation];
    ++count.idle;
    ++count.fewest;
  }
  return surplus;
}

ConnectionId IdleConnectionList::TakeAt(std::vector<Item>::iterator position) {
  const ConnectionId connection = position->connection;
  Count& count = this->counts[position->organisation];
  --count.idle;
  count.fewest = std::min(count.fewest, count.idle);
  this->items.erase(position);
  return connection;
}

}  // namespace sycamoredrum
