#include "sycamoredrum/connection_shares.h"

#include <algorithm>

namespace sycamoredrum {

std::map<std::string, int> ShareConnections(int cap, const std::map<std::string, double>& demand) {
  const int shared = std::max(static_cast<int>(cap * kSharedPartOfCap), 1);
  double total = 0;
  for (const auto& [process, wanted] : demand) {
    total += wanted;
  }
  std::map<std::string, int> shares;
  for (const auto& [process, wanted] : demand) {
    const double part = total > 0 ? wanted / total : 1.0 / static_cast<double>(demand.size());
    shares[process] = std::max(static_cast<int>(part * shared), kLeastShare);
  }
  return shares;
}

}  // namespace sycamoredrum
