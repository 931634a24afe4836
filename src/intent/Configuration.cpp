#include "zinniarail/intent/Configuration.h"

#include <algorithm>

namespace zinniarail {

const Route *findRoute(const Configuration &configuration,
                       std::string_view host, std::string_view path) {
  const Route *best = nullptr;
  for (const Route &it : configuration.Routes) {
    if (it.Host == host && path.starts_with(it.PathPrefix) &&
        (best == nullptr || it.PathPrefix.size() > best->PathPrefix.size())) {
      best = &it;
    }
  }
  return best;
}

bool hasHost(const Configuration &configuration, std::string_view host) {
  return std::any_of(configuration.Routes.begin(), configuration.Routes.end(),
                     [&](const Route &it) { return it.Host == host; });
}

const ServiceConfig *findService(const Configuration &configuration,
                                 std::string_view name) {
  const auto it =
      std::find_if(configuration.Services.begin(), configuration.Services.end(),
                   [&](const ServiceConfig &any) { return any.Name == name; });
  return it == configuration.Services.end() ? nullptr : &*it;
}

} // namespace zinniarail
