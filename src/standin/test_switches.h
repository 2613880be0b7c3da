#pragma once

#include <nlohmann/json.hpp>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "test_gate.h"

namespace sycamoredrum {

/// Runs `POST /test/freeze` with the body {"frozen": bool, "ms": duration}. Without a duration, or
/// with 0, the freeze lasts until another request ends it.
/// Throws nlohmann::json::exception if a field has the wrong type.
void ApplyFreeze(const nlohmann::json& body, TestGate& gate, EventLoop& loop);

/// Runs `POST /test/cut` with the body {"hosts": [...], "mode": "silent" or "close"}. Mode "close"
/// also closes the existing connections between `server`, unless it is null, and the hosts.
/// Throws nlohmann::json::exception if a field is missing or has the wrong type.
void ApplyCut(const nlohmann::json& body, TestGate& gate, HttpServer* server);

}  // namespace sycamoredrum
