/// \file
/// The engine of one service on one instance: admits, claims, routes, retries,
/// hedges and refuses, as a deterministic function of state, event, time and
/// random draws. It owns no socket and reads no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "zinniarail/core/Random.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/dispatch/Messages.h"
#include "zinniarail/homes/Homes.h"
#include "zinniarail/intent/Document.h"
#include "zinniarail/routing/Routing.h"

namespace zinniarail {

/// One upstream as this instance may use it.
struct Target {
  UpstreamSpec Spec;
  UpstreamShare Share;
  bool InService = true; ///< False: domain out, or leaving. No new work.
};

/// What is in force for one service on this instance.
struct ServicePlan {
  ServiceSpec Spec;
  std::vector<Target> Targets;
  std::uint64_t HomesDigest = 0;
  RoutingPolicy Policy = RoutingPolicy::Homes;
};

/// Works out a service's plan from the view.
ServicePlan planService(const View &view, const ServiceSpec &service,
                        const std::string &self, RoutingPolicy policy);

/// Likewise, for one whose homes are known already.
/// \param homes as placeService gives them for this view and service.
ServicePlan planService(const View &view, const Homes &homes,
                        const ServiceSpec &service, const std::string &self,
                        RoutingPolicy policy);

/// All that an engine knows of its service. Made by makeService; the fields
/// are the dispatch slice's own, in ServiceState.h.
struct ServiceState;

struct ServiceStateDelete {
  void operator()(ServiceState *state) const;
};
using ServiceStatePtr = std::unique_ptr<ServiceState, ServiceStateDelete>;

/// Makes a service's state.
/// \param validUntil until when new work may be dispatched.
/// \param firstAttempt numbers attempts from here on; leave room between
/// services of one process.
ServiceStatePtr makeService(ServicePlan plan, Instant validUntil, Random random,
                            std::uint64_t firstAttempt);

/// Puts a new plan into force. Running attempts on upstreams that are gone
/// from it are let finish; what waits is placed anew.
void replan(ServiceState &state, ServicePlan plan, Instant now, Actions &out);

/// Moves on the time until which new work may be dispatched.
void confirmView(ServiceState &state, Instant validUntil);

/// Handles one event. Appends what is to be done to \p out, in order.
void handle(ServiceState &state, const Event &event, Instant now, Actions &out);

/// When to send Woken next; Instant::max() when there is nothing to wait for.
Instant nextWake(const ServiceState &state);

/// How many requests are without their final answer.
std::size_t openRequests(const ServiceState &state);

/// How many requests wait for an upstream.
std::size_t waitingRequests(const ServiceState &state);

/// How many of the planned upstreams are cold, as far as this home knows.
std::size_t coldUpstreams(const ServiceState &state);

/// The state for a dump, with stable keys.
boost::json::object describe(const ServiceState &state, Instant now);

} // namespace zinniarail
