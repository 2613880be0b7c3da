#include <gtest/gtest.h>

#include "loss.h"

namespace sycamoredrum {
namespace {

// Guards against a primary that no proxy can reach and that is not replaced because its replicas
// still receive messages from it.
TEST(PartialCutTest, PrimaryThatOnlyReplicasReachIsReplaced) {
  TestFailoverAfter(CutOff(/*replicas_too=*/false));
}

}  // namespace
}  // namespace sycamoredrum
