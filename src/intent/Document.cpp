#include "zinniarail/intent/Document.h"

#include <algorithm>

namespace zinniarail {

const ServiceSpec *findService(const Document &document,
                               const std::string &name) {
  const auto it = std::find_if(
      document.Services.begin(), document.Services.end(),
      [&](const ServiceSpec &service) { return service.Name == name; });
  return it == document.Services.end() ? nullptr : &*it;
}

bool isInService(const Document &document, const std::string &domain) {
  return std::any_of(
      document.Domains.begin(), document.Domains.end(),
      [&](const DomainSpec &it) { return it.Name == domain && it.InService; });
}

} // namespace zinniarail
