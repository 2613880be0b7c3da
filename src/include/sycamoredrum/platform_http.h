#pragma once

#include <functional>
#include <string>

#include "sycamoredrum/http.h"
#include "sycamoredrum/platform.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Called once for each completed call to the platform. `kind` is "get", "put", "list", "watch" or
/// "vms"; `result` is "ok", "conflict", "not_found", "unavailable" or "unknown".
using PlatformCallCounter = std::function<void(const std::string& kind, const std::string& result)>;

/// Returns calls to the platform over HTTP, as described in docs/platform-interface.md. The
/// callbacks run on worker threads of the client's event loop. `client` must outlive the calls.
PlatformClient MakePlatformClient(HttpClient& client, const Endpoint& platform,
                                  PlatformCallCounter counter);

}  // namespace sycamoredrum
