#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sycamoredrum {

/// Compresses `text` to the zlib format (RFC 1950), at the fastest level.
std::string Deflate(std::string_view text);

/// Restores a text of `size` bytes. Returns nothing if `bytes` is damaged or of another size.
std::optional<std::string> Inflate(std::string_view bytes, std::size_t size);

}  // namespace sycamoredrum
