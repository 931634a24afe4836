// Watches whether upstreams can be reached: those of each service, and any at
// all.
#include "proxy/Proxy.h"

#include <algorithm>

#include "zinniarail/core/Hash.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// Call ids of reach checks lie above this value.
constexpr http::CallId ReachCheckIdBase = http::CallId{3} << 61;

// No connection has been idle for so short a time: the call gets a new one.
constexpr Duration NewConnectionOnly{-1};

} // namespace

void Proxy::recordCallStart(ServiceEntry &entry, balance::CallPurpose purpose) {
  const Instant now = readClock();
  balance::recordCallStart(entry.Reach.State, purpose, now);
  balance::recordCallStart(AllServices.State, purpose, now);
}

void Proxy::recordCallEnd(const UpstreamCall &call,
                          const http::CallResult &result) {
  const auto purpose = call.Request == 0 ? balance::CallPurpose::HealthCheck
                                         : balance::CallPurpose::Request;
  for (ReachScope *it : {&call.Entry->Reach, &AllServices}) {
    if (result.Outcome == http::CallOutcome::Answered) {
      balance::recordCallAnswer(it->State, purpose, readClock());
    } else {
      balance::recordCallFailure(it->State, purpose,
                                 result.Cancelled ? "" : call.Upstream);
    }
  }
}

void Proxy::endReachCheckCall(http::CallId id, const http::CallResult &result) {
  ReachScope &scope = *ReachCheckCalls.extract(id).mapped();
  if (scope.CheckCalls.erase(id) == 0) {
    return; // Its check has ended.
  }
  const bool answered = result.Outcome == http::CallOutcome::Answered;
  balance::recordCheckCallEnd(scope.State, answered, readClock());
  if (answered && &scope != &AllServices) {
    balance::recordCheckCallEnd(AllServices.State, true, readClock());
  }
  advanceReach();
}

void Proxy::advanceReach() {
  advanceReach(AllServices);
  for (auto &[name, entry] : Services) {
    advanceReach(entry->Reach);
  }
  processEvents();
}

void Proxy::advanceReach(ReachScope &scope) {
  while (true) {
    switch (balance::nextReachStep(scope.State, readClock())) {
    case balance::ReachStep::StartCheck:
      startReachCheck(scope);
      break;
    case balance::ReachStep::EndCheck:
      endReachCheck(scope);
      break;
    case balance::ReachStep::None:
      return applyReach(scope);
    }
  }
}

Instant Proxy::nextReachTime() const {
  Instant next = balance::nextReachTime(AllServices.State);
  for (const auto &[name, entry] : Services) {
    next = std::min(next, balance::nextReachTime(entry->Reach.State));
  }
  return next;
}

// Each check calls the upstreams that follow those of the check before, in an
// order of this instance's own.
void Proxy::startReachCheck(ReachScope &scope) {
  std::vector<const Upstream *> all;
  for (const Upstream &it : Snapshot->Upstreams) {
    if (scope.Service.empty() || it.Service == scope.Service) {
      all.push_back(&it);
    }
  }
  const std::uint64_t selfHash = hashBytes(Context.InstanceId);
  std::sort(all.begin(), all.end(), [&](const Upstream *a, const Upstream *b) {
    return hashCombine(selfHash, hashBytes(a->Id)) <
           hashCombine(selfHash, hashBytes(b->Id));
  });
  const std::size_t count =
      std::min(all.size(), balance::nextCheckSize(scope.State));
  balance::recordCheckStart(scope.State, count, readClock());
  for (std::size_t n = 0; n < count; ++n) {
    const Upstream &it = *all[scope.CheckedCount++ % all.size()];
    const ServiceConfig *config =
        Snapshot->Config ? findService(*Snapshot->Config, it.Service) : nullptr;
    const http::CallId id = ReachCheckIdBase + ++LastReachCheckNumber;
    http::Call call = makeHealthCheck(
        id, it.Address, (config ? *config : ServiceConfig{}).HealthPath);
    call.ConnectTimeout = balance::ReachCheckTimeout;
    call.MaxIdleTime = NewConnectionOnly;
    scope.CheckCalls.insert(id);
    ReachCheckCalls.emplace(id, &scope);
    RequestMetrics.recordProbe(it.Service);
    Callbacks.StartCall(std::move(call));
  }
}

void Proxy::endReachCheck(ReachScope &scope) {
  for (const http::CallId id : std::exchange(scope.CheckCalls, {})) {
    Callbacks.CancelCall(id);
  }
}

// Passes a change of the scope's reach on.
void Proxy::applyReach(ReachScope &scope) {
  const bool reached = scope.State.AnyReachable;
  if (std::exchange(scope.Applied, reached) == reached) {
    return;
  }
  logReach(scope);
  for (auto &[name, entry] : Services) {
    if (&scope != &AllServices && &scope != &entry->Reach) {
      continue;
    }
    postEvent(*entry, balance::ReachChanged{AllServices.Applied &&
                                            entry->Reach.Applied});
  }
  if (!reached) {
    // Health checks on dead connections would keep their upstreams out of use
    // until the connections time out.
    for (const auto &[id, it] : Calls) {
      if (it.Request == 0 &&
          (&scope == &AllServices || &scope == &it.Entry->Reach)) {
        Callbacks.CancelCall(id);
      }
    }
  }
  Callbacks.ReachChanged(
      AllServices.Applied,
      std::all_of(Services.begin(), Services.end(),
                  [](const auto &it) { return it.second->Reach.Applied; }));
}

void Proxy::logReach(const ReachScope &scope) const {
  logEvent(scope.State.AnyReachable ? EventId::UpstreamsReachable
                                    : EventId::UpstreamsUnreachable,
           {{"service", scope.Service.empty() ? "all" : scope.Service},
            {"upstreams", Snapshot->Upstreams.size()},
            {"open", OpenRequests.size()}});
}

} // namespace zinniarail::proxy
