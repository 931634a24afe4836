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
  ServicePlan plan;
  plan.Spec = service;
  plan.Policy = policy;
  const Homes homes = placeService(view, service, service.Homes);
  plan.HomesDigest = homes.Digest;
  for (const UpstreamSpec &it : service.Upstreams) {
    Target target;
    target.Spec = it;
    target.Share = policy == RoutingPolicy::Homes
                       ? shareUpstream(homes, it, self)
                       : wholeOf(it);
    target.InService = !it.Leaving && isInService(*view.Intent, it.Domain);
    plan.Targets.push_back(std::move(target));
  }
  return plan;
}

} // namespace zinniarail
