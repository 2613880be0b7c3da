#pragma once

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Data centres and link delays of the simulated fleet: two regions with four data centres each,
/// with the delays of docs/design.md, section 1.
struct SimulatedLinks {
  static constexpr int kDataCentres = 8;
  static constexpr int kDataCentresPerRegion = 4;
  static constexpr std::chrono::microseconds kWithinDataCentre{200};
  static constexpr std::chrono::milliseconds kBetweenDataCentres{5};
  static constexpr std::chrono::milliseconds kBetweenRegions{20};

  /// Nodes are spread evenly over the data centres.
  static int DataCentreOf(int node) { return node % kDataCentres; }

  /// One-way delay between two nodes.
  static Duration Delay(int from, int to) {
    const int a = DataCentreOf(from);
    const int b = DataCentreOf(to);
    if (a == b) {
      return kWithinDataCentre;
    }
    const bool same_region = a / kDataCentresPerRegion == b / kDataCentresPerRegion;
    return same_region ? Duration(kBetweenDataCentres) : Duration(kBetweenRegions);
  }
};

}  // namespace sycamoredrum
