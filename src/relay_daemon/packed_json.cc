#include "packed_json.h"

#include <absl/strings/escaping.h>
#include <zlib.h>

#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "sycamoredrum/peer_link.h"

namespace sycamoredrum {
namespace {

using Json = nlohmann::json;

// At the fastest level, because the VM may have a tenth of a core.
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

}  // namespace

std::string Pack(const std::string& text) {
  return Json{{"deflated", absl::Base64Escape(Deflate(text))}, {"bytes", text.size()}}.dump();
}

bool IsPacked(const Json& json) { return json.contains("deflated"); }

std::optional<std::string> Unpack(const Json& packed) {
  const auto size = packed.find("bytes");
  const auto deflated = packed.find("deflated");
  std::string bytes;
  if (size == packed.end() || !size->is_number_unsigned() ||
      size->get<std::size_t>() > kMaxPeerFrameBytes || deflated == packed.end() ||
      !deflated->is_string() || !absl::Base64Unescape(deflated->get<std::string>(), &bytes)) {
    return std::nullopt;
  }
  return Inflate(bytes, size->get<std::size_t>());
}

}  // namespace sycamoredrum
