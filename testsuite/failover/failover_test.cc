#include <gtest/gtest.h>

#include "loss.h"

namespace sycamoredrum {
namespace {

class FailoverTest : public testing::TestWithParam<Loss> {};

// Guards against writes that are lost or run twice, reads that miss the session's own writes, an
// old primary that acknowledges writes after its replacement, and a failover that exceeds its
// target.
TEST_P(FailoverTest, KeepsTheHistoryAndResumesInTime) { TestFailoverAfter(GetParam()); }

INSTANTIATE_TEST_SUITE_P(Losses, FailoverTest,
                         testing::Values(Killed(), KilledAheadOfReplicas(), Stopped(),
                                         CutOff(/*replicas_too=*/true)),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace sycamoredrum
