#pragma once

#include <nlohmann/json.hpp>

#include "sycamoredrum/configuration.h"

namespace sycamoredrum {

/// JSON objects in the format of docs/ticket.schema.json.
nlohmann::json DatabaseToJson(const DatabaseConfig& database);
nlohmann::json CallerGroupToJson(const CallerGroupConfig& group);

}  // namespace sycamoredrum
