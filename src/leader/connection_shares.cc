#include "sycamoredrum/connection_shares.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamoredrum {

std::map<std::string, int> ShareConnections(int cap, const std::map<std::string, double>& demand) {
  std::map<std::string, int> shares;
  int left = std::max(static_cast<int>(cap * kSharedPartOfCap), 1);
  double total = 0;
  std::vector<std::pair<double, std::string>> by_demand;
  for (const auto& [process, wanted] : demand) {
    shares[process] = 0;
    total += wanted;
    by_demand.emplace_back(-wanted, process);
  }
  std::sort(by_demand.begin(), by_demand.end());
  for (const auto& [wanted, process] : by_demand) {
    if (left > 0) {
      shares[process] = 1;
      --left;
    }
  }
  const int spread = left;
  for (const auto& [wanted, process] : by_demand) {
    const double part = total > 0 ? -wanted / total : 1.0 / static_cast<double>(demand.size());
    const int more = std::min(static_cast<int>(part * spread), left);
    shares[process] += more;
    left -= more;
  }
  // What rounding left over goes to those with the greatest demand.
  for (const auto& [wanted, process] : by_demand) {
    if (left > 0) {
      ++shares[process];
      --left;
    }
  }
  return shares;
}

}  // namespace sycamoredrum
