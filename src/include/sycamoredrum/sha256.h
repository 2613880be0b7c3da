#pragma once

#include <string>

namespace sycamoredrum {

/// Lower-case hexadecimal SHA-256 of `text`.
std::string Sha256Hex(const std::string& text);

}  // namespace sycamoredrum
