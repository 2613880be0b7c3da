#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sycamoredrum {

/// Compresses a JSON text with zlib (RFC 1950); a configuration takes a fifth of its size. The
/// result is the text of a JSON object itself.
std::string Pack(const std::string& json);

/// True if `json` is a parsed result of Pack.
bool IsPacked(const nlohmann::json& json);

/// Restores the text that was packed. Returns nothing if `packed` is damaged, or if the text
/// exceeds the size of a message between members.
std::optional<std::string> Unpack(const nlohmann::json& packed);

}  // namespace sycamoredrum
