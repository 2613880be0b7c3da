#pragma once

#include <nlohmann/json.hpp>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "test_gate.h"

namespace sycamoredrum {

/// Runs `POST /test/freeze` with the body {"frozen": bool, "ms": length, 0 for "until told"}.
/// Throws nlohmann::json::exception if a field has the wrong type.
void ApplyFreeze(const nlohmann::json& body, TestGate& gate, EventLoop& loop);

/// Runs `POST /test/cut` with the body {"hosts": [...], "mode": "silent" or "close"}. In mode
/// "close" the present connections of `server`, if given, with the hosts are closed too.
/// Throws nlohmann::json::exception if a field is missing or has the wrong type.
void ApplyCut(const nlohmann::json& body, TestGate& gate, HttpServer* server);

}  // namespace sycamoredrum
