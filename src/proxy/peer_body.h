#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace sycamoredrum {

/// Reads a field of a peer message in JSON. Returns `fallback` if `body` is not a JSON object, or
/// if the field is missing or has a type other than that of `fallback`.
template <typename Value>
Value ReadField(const std::string& body, const char* name, Value fallback) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return fallback;
  }
  try {
    return json.value(name, fallback);
  } catch (const nlohmann::json::exception&) {
    return fallback;
  }
}

}  // namespace sycamoredrum
