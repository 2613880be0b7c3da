#include <gtest/gtest.h>

#include "loss.h"

namespace sycamoredrum {
namespace {

class FailoverTest : public testing::TestWithParam<Loss> {};

// Guards against lost or repeated writes, stale own reads and a primary that still acknowledges
// writes after its replacement, and against a failover that takes longer than its target.
TEST_P(FailoverTest, KeepsTheHistoryAndResumesInTime) { RunLoss(GetParam()); }

INSTANTIATE_TEST_SUITE_P(Losses, FailoverTest,
                         testing::Values(Killed(), KilledAheadOfReplicas(), Stopped(),
                                         CutOff(/*replicas_too=*/true)),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace sycamoredrum
