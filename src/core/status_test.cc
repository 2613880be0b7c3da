#include "sycamoredrum/status.h"

#include <gtest/gtest.h>

namespace sycamoredrum {
namespace {

// Guards against a field that is lost between a backend server and a proxy.
TEST(BackendServerStatusTest, JsonKeepsEveryField) {
  BackendServerStatus status;
  status.backend_server = "orders-1";
  status.database = "orders";
  status.role = Role::kPrimary;
  status.term = 4;
  status.promised_term = 5;
  status.promised_by = "proxy-2";
  status.last_index = 9;
  status.history = TermHistory({{1, 1}, {4, 7}});
  status.follows = "orders-2";
  status.primary_silence = std::chrono::milliseconds(120);
  status.accepted = false;
  EXPECT_EQ(ParseBackendServerStatus(ToJson(status)), status);
}

// Guards against a malformed response being parsed as a status with default values.
TEST(BackendServerStatusTest, RejectsMalformedText) {
  for (const char* text : {"", "[]", "{}", "{\"role\":1}", "nonsense"}) {
    EXPECT_FALSE(ParseBackendServerStatus(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace sycamoredrum
