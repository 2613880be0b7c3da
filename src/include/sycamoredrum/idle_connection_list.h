#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamoredrum {

/// Number of a database connection, unique in the process and never used twice.
using ConnectionId = std::uint64_t;

/// Idle connections in order of release, each with the organisation for which it was opened. Not
/// thread-safe.
class IdleConnectionList {
 public:
  /// Returns the cost of using a connection.
  using Cost = std::function<int(ConnectionId)>;

  bool Empty() const { return this->items.empty(); }
  std::size_t Size() const { return this->items.size(); }
  /// True if a connection of `organisation` is idle.
  bool Has(const std::string& organisation) const;
  bool Contains(ConnectionId connection) const;

  /// Adds a connection as the last released one.
  void Add(ConnectionId connection, const std::string& organisation);

  /// Removes a connection, if present.
  void Remove(ConnectionId connection);

  /// Removes and returns the cheapest connection of `organisation`, or of all if it is null; of
  /// equal costs, or if `cost` is not set, the last released one. There must be one.
  ConnectionId Take(const std::string* organisation, const Cost& cost);

  /// Removes and returns the connection that was released longest ago. The list must not be empty.
  ConnectionId TakeOldest();

  /// The connections in order of release.
  std::vector<ConnectionId> All() const;
  /// The connections of `organisation` in order of release.
  std::vector<ConnectionId> Of(const std::string& organisation) const;

  /// Ends a period. Removes and returns, for each organisation, as many connections as were idle
  /// throughout it, the first released ones, but at most `max` in all.
  std::vector<ConnectionId> EndPeriod(std::size_t max);

 private:
  struct Item {
    ConnectionId connection = 0;
    std::string organisation;
  };
  struct Count {
    std::size_t idle = 0;
    std::size_t fewest = 0;  ///< Fewest idle connections since the period began.
  };

  ConnectionId TakeAt(std::vector<Item>::iterator position);

  std::vector<Item> items;              ///< In order of release.
  std::map<std::string, Count> counts;  ///< By organisation.
};

}  // namespace sycamoredrum
