#include "sycamoredrum/leaving_vms.h"

#include <gtest/gtest.h>

namespace sycamoredrum {
namespace {

VmList List(std::uint64_t revision, std::vector<std::pair<std::string, bool>> vms) {
  VmList list;
  list.revision = revision;
  for (const auto& [id, leaving] : vms) {
    VmRecord vm;
    vm.id = id;
    vm.leaving = leaving;
    list.vms.push_back(vm);
  }
  return list;
}

// Guards against new work for a leaving VM after a list that lags, is empty or has an older
// revision.
TEST(LeavingVmTrackerTest, VmStaysLeavingUntilANewerListShowsItAsLive) {
  struct Step {
    VmList list;
    bool leaving;
  };
  const Step steps[] = {
      {List(5, {{"vm", false}}), false},
      {List(6, {{"vm", true}}), true},
      {List(6, {{"vm", false}}), true},  // same revision, contradicting state
      {List(5, {{"vm", false}}), true},  // older
      {List(9, {}), true},               // empty
      {List(9, {{"other", false}}), true},
      {List(10, {{"vm", false}}), false},
      {List(8, {{"vm", true}}), false},  // older
  };
  LeavingVmTracker tracker;
  int number = 0;
  for (const Step& step : steps) {
    tracker.Offer(step.list);
    EXPECT_EQ(tracker.Leaving().count("vm") != 0, step.leaving) << "step " << number;
    ++number;
  }
}

}  // namespace
}  // namespace sycamoredrum
