#include "zinniarail/dispatch/Engine.h"

namespace zinniarail {

namespace {

// The baselines know no shares: an upstream queues what is beyond its slots.
UpstreamShare wholeOf(const UpstreamSpec &upstream) {
  return {upstream.Connections, upstream.Connections, true};
}

} // namespace

ServicePlan planService(const View &view, const ServiceSpec &service,
                        const std::string &self, RoutingPolicy policy) {
  return planService(view, placeService(view, service, service.Homes), service,
                     self, policy);
}

ServicePlan planService(const View &view, const Homes &homes,
                        const ServiceSpec &service, const std::string &self,
                        RoutingPolicy policy) {
  ServicePlan plan;
  plan.Spec = service;
  plan.Policy = policy;
  plan.HomesDigest = homes.Digest;
  const auto shares = shareUpstreams(homes, service, self);
  for (std::size_t n = 0; n < shares.size(); ++n) {
    const UpstreamSpec &it = service.Upstreams[n];
    Target target;
    target.Spec = it;
    target.Share = policy == RoutingPolicy::Homes ? shares[n] : wholeOf(it);
    target.InService = !it.Leaving && isInService(*view.Intent, it.Domain);
    plan.Targets.push_back(std::move(target));
  }
  return plan;
}

} // namespace zinniarail
