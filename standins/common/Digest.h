/// \file
/// The digest by which a caller tells that an answer is to its own request.
#pragma once

#include <string>

#include "zinniarail/core/Hash.h"

namespace zinniarail::standins {

/// Digests a request as an upstream sees it.
/// \param target path and query as sent.
inline std::string digestRequest(const std::string &method,
                                 const std::string &target,
                                 const std::string &body) {
  const auto digest = hashCombine(
      hashCombine(hashBytes(method), hashBytes(target)), hashBytes(body));
  return std::to_string(digest);
}

} // namespace zinniarail::standins
