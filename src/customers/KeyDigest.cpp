#include "zinniarail/customers/KeyDigest.h"

#include <algorithm>

#include <openssl/sha.h>

namespace zinniarail {

KeyDigest digestKey(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> full;
  SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(),
         full.data());
  KeyDigest digest;
  std::copy_n(full.begin(), KeyDigest::Size, digest.Bytes.begin());
  return digest;
}

} // namespace zinniarail
