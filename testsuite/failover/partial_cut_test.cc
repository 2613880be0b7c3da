#include <gtest/gtest.h>

#include "loss.h"

namespace sycamoredrum {
namespace {

// Guards against a primary that no proxy reaches and that is never replaced because its replicas
// still hear from it.
TEST(PartialCutTest, PrimaryThatOnlyReplicasReachIsReplaced) {
  RunLoss(CutOff(/*replicas_too=*/false));
}

}  // namespace
}  // namespace sycamoredrum
