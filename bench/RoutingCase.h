/// \file
/// The cases that bench_routing plays: one service, its instances and domains,
/// and what goes wrong.
#pragma once

#include <string>

#include "zinniarail/dispatch/Engine.h"

namespace zinniarail::bench {

constexpr unsigned Instances = 13;
constexpr unsigned Domains = 4;
constexpr unsigned Upstreams = 14;
constexpr unsigned Slots = 4;

enum class Fault { None, Noise, LyingReports, FailFast, ColdAll, ColdOne };

struct Scenario {
  const char *Name;
  Fault What;
  double Load; // Of the slots, at the undisturbed service time.
};

struct Variant {
  const char *Name;
  RoutingPolicy Policy;
  double HedgeShare;
};

inline View makeView(const ServiceSpec &service) {
  auto document = std::make_shared<Document>();
  View view;
  for (unsigned d = 0; d < Domains; ++d) {
    document->Domains.push_back({"d" + std::to_string(d), "r", true});
  }
  for (unsigned n = 0; n < Instances; ++n) {
    Instance it;
    it.Id = "i" + std::to_string(n);
    it.Domain = "d" + std::to_string(n % Domains);
    view.Instances.push_back(it);
  }
  document->Services.push_back(service);
  view.Intent = document;
  return view;
}

inline ServiceSpec makeSpec(double hedgeShare) {
  ServiceSpec spec;
  spec.Name = "credencial";
  spec.HedgeShare = hedgeShare;
  spec.Classes = {{.Name = "read"}};
  for (unsigned u = 0; u < Upstreams; ++u) {
    UpstreamSpec it;
    it.Id = "u" + std::to_string(u);
    it.Domain = "d" + std::to_string(u % Domains);
    it.Slots = Slots;
    spec.Upstreams.push_back(it);
  }
  return spec;
}

} // namespace zinniarail::bench
