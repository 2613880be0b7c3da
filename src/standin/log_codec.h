#pragma once

#include <optional>
#include <string>

#include "backend_model.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// Request target of `GET /v1/log`: the term and the log of the replica, and how long the primary
/// may hold the request until it has new entries.
std::string LogTarget(const LogRequest& request, Duration wait);

/// Inverse of LogTarget. Returns nothing if a parameter is missing or malformed.
std::optional<LogRequest> ParseLogTarget(const HttpRequest& request);

/// JSON forms of a page; the parser returns nothing if a field is missing or has the wrong type.
std::string ToJson(const LogPage& page);
std::optional<LogPage> ParseLogPage(const std::string& text);

}  // namespace sycamoredrum
