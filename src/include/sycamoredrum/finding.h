#pragma once

#include <string>
#include <tuple>
#include <vector>

namespace sycamoredrum {

/// One problem found in an input, for example in a settings file: where it is and what is wrong.
struct Finding {
  std::string place;  ///< For example "databases[1].backend_servers[0].connection_cap".
  std::string reason;
};

inline bool operator==(const Finding& a, const Finding& b) {
  return std::tie(a.place, a.reason) == std::tie(b.place, b.reason);
}

/// The problems found in one input, collected so that all are reported together.
class Findings {
 public:
  void Add(std::string place, std::string reason);

  bool Empty() const { return this->items.empty(); }
  const std::vector<Finding>& Items() const { return this->items; }

  /// One line for each finding, "PLACE: REASON".
  std::string ToString() const;

 private:
  std::vector<Finding> items;
};

}  // namespace sycamoredrum
