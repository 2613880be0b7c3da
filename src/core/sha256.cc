#include "sycamoredrum/sha256.h"

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace sycamoredrum {

std::string Sha256Hex(const std::string& text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return absl::BytesToHexString(digest);
}

}  // namespace sycamoredrum
