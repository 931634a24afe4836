#include "zinniarail/customers/RelayProof.h"

#include <algorithm>
#include <array>
#include <set>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "zinniarail/customers/KeyDigest.h"

namespace zinniarail {

namespace {

using Mac = std::array<unsigned char, EVP_MAX_MD_SIZE>;

constexpr std::string_view SecretLabel = "zinniarail relay secret";

const unsigned char *bytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char *>(text.data());
}

// Length prefixes keep two different field lists from having the same bytes.
void append(std::string &out, std::string_view field) {
  out += std::to_string(field.size()) + ":";
  out += field;
}

} // namespace

std::string deriveRelaySecret(const Configuration &configuration) {
  std::set<KeyDigest> keys;
  for (const Customer &it : configuration.Customers) {
    keys.insert(it.Keys.begin(), it.Keys.end());
  }
  if (keys.empty()) {
    return {};
  }
  std::string material = std::to_string(configuration.Version) + ":";
  for (const KeyDigest &it : keys) {
    material.append(it.Bytes.begin(), it.Bytes.end());
  }
  Mac mac;
  unsigned size = 0;
  HMAC(EVP_sha256(), SecretLabel.data(), static_cast<int>(SecretLabel.size()),
       bytesOf(material), material.size(), mac.data(), &size);
  return {mac.begin(), mac.begin() + size};
}

std::string proveRelay(const std::string &secret, const RelayedIdentity &it) {
  if (secret.empty()) {
    return {};
  }
  std::string text;
  for (const std::string_view field :
       {it.RequestId, it.Method, it.Target, it.Customer}) {
    append(text, field);
  }
  Mac mac;
  unsigned size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       bytesOf(text), text.size(), mac.data(), &size);
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr unsigned digitBits = 4;
  constexpr unsigned digitMask = 0xF;
  std::string out;
  for (unsigned n = 0; n < size; ++n) {
    out += digits[mac[n] >> digitBits];
    out += digits[mac[n] & digitMask];
  }
  return out;
}

bool isRelayProven(const std::string &secret, const RelayedIdentity &it,
                   std::string_view proof) {
  const std::string expected = proveRelay(secret, it);
  return !expected.empty() && expected.size() == proof.size() &&
         CRYPTO_memcmp(expected.data(), proof.data(), proof.size()) == 0;
}

} // namespace zinniarail
