#include "sycamoredrum/connection_shares.h"

#include <algorithm>

namespace sycamoredrum {

std::map<std::string, int> ShareConnections(
    int cap, const std::map<std::string, std::optional<double>>& demand) {
  const int shared = std::max(static_cast<int>(cap * kSharedPartOfCap), 1);
  double known_total = 0;
  int known = 0;
  for (const auto& [process, wanted] : demand) {
    known_total += wanted.value_or(0);
    known += wanted ? 1 : 0;
  }
  const double mean = known > 0 ? known_total / known : 0;
  const double total = mean * static_cast<double>(demand.size());
  std::map<std::string, int> shares;
  for (const auto& [process, wanted] : demand) {
    const double part =
        total > 0 ? wanted.value_or(mean) / total : 1.0 / static_cast<double>(demand.size());
    shares[process] = std::max(static_cast<int>(part * shared), kMinShare);
  }
  return shares;
}

}  // namespace sycamoredrum
