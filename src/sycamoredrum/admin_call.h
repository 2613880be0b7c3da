#pragma once

#include <string>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

enum class AdminCallStatus {
  kAnswered,     ///< The proxy answered with JSON and a status that is no error.
  kRefused,      ///< The proxy answered with an error or with text that is not JSON.
  kUnreachable,  ///< The call was not sent.
  kUnknown,      ///< The proxy may have received the call, but gave no complete answer.
};

struct AdminCallResult {
  AdminCallStatus status = AdminCallStatus::kUnknown;
  std::string body;     ///< kAnswered: JSON text.
  std::string message;  ///< Otherwise: one line for the operator, starting with the address.
};

/// Calls the admin port of a proxy and waits for the answer, at most 5 s.
AdminCallResult CallAdmin(const Endpoint& proxy, const std::string& method,
                          const std::string& target);

/// Exit code for a result, as in commands.h.
int ExitCodeOf(AdminCallStatus status);

}  // namespace sycamoredrum
