/// \file
/// What an instance acts on: the configuration in force, the upstreams that are
/// registered, the failure domains out of service and how many instances share
/// what is bounded.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinniarail/intent/Configuration.h"

#include "zinniarail/registry/Upstream.h"

namespace zinniarail {

/// An immutable snapshot. A later one replaces it whole.
struct View {
  std::shared_ptr<const Configuration> Config; ///< Null before the first.
  std::vector<Upstream> Upstreams;             ///< By id.
  std::set<std::string> DomainsOut; ///< Their upstreams get no new work.

  std::size_t Known = 1; ///< Instances that may be at work.
};

} // namespace zinniarail
