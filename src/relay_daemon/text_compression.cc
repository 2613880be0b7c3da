#include "text_compression.h"

#include <zlib.h>

#include <stdexcept>

namespace sycamoredrum {

std::string Deflate(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string bytes(size, '\0');
  const int status =
      compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (status != Z_OK) {
    throw std::runtime_error("zlib cannot compress a text");
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> Inflate(std::string_view bytes, std::size_t size) {
  std::string text(size, '\0');
  uLongf length = size;
  const int status = uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  if (status != Z_OK || length != size) {
    return std::nullopt;
  }
  return text;
}

}  // namespace sycamoredrum
