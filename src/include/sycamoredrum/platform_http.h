#pragma once

#include <functional>
#include <string>

#include "sycamoredrum/http.h"
#include "sycamoredrum/platform.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Called for each call on the platform. `kind` is "get", "put", "list", "watch" or "vms"; `result`
/// is "ok", "conflict", "not_found", "unavailable" or "unknown".
using PlatformCallCounter = std::function<void(const std::string& kind, const std::string& result)>;

/// Calls on the platform over HTTP, as described in docs/platform-interface.md. The callbacks run
/// on workers of the client's loop. `client` must outlive the calls.
PlatformClient MakePlatformClient(HttpClient& client, const Endpoint& platform,
                                  PlatformCallCounter counter);

}  // namespace sycamoredrum
