#include "zinniarail/intent/Review.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string_view>

#include "intent/Findings.h"
#include "zinniarail/core/DurationText.h"

namespace zinniarail {

namespace {

using RouteKey = std::pair<std::string_view, std::string_view>;

/// The first entry of each name, and the services that routes name.
struct Names {
  std::map<RouteKey, std::size_t> Routes; ///< By host and prefix.
  std::map<std::string_view, std::size_t> Services;
  std::set<std::string_view> UsedServices;
};

Names collectNames(const Configuration &configuration) {
  Names out;
  for (std::size_t n = 0; n < configuration.Routes.size(); ++n) {
    const Route &route = configuration.Routes[n];
    out.Routes.try_emplace({route.Host, route.PathPrefix}, n);
    for (const Destination &it : route.Destinations) {
      out.UsedServices.insert(it.Service);
    }
  }
  for (std::size_t n = 0; n < configuration.Services.size(); ++n) {
    out.Services.try_emplace(configuration.Services[n].Name, n);
  }
  return out;
}

void reviewMatch(const Configuration &configuration, const Names &names,
                 std::size_t index, FindingList &out) {
  const Route &route = configuration.Routes[index];
  const std::size_t first = names.Routes.at({route.Host, route.PathPrefix});
  if (first != index) {
    out.add(Severity::Warning,
            "never matches, since the same host and prefix belong to " +
                describeRoute(configuration.Routes[first]));
  }
  out.addIf(route.Host.empty() || route.Host.find(':') != std::string::npos,
            Severity::Warning,
            "never matches, since a request's host is compared without its "
            "port and is not empty");
  out.addIf(!route.PathPrefix.starts_with('/'), Severity::Warning,
            "never matches, since paths begin with a slash and its prefix does "
            "not");
  out.addIf(!route.PathPrefix.ends_with('/'), Severity::Warning,
            "its prefix does not end with a slash and also matches longer "
            "names");
}

void reviewDestinations(const Route &route, const Names &names,
                        FindingList &out) {
  std::uint64_t total = 0;
  for (const Destination &it : route.Destinations) {
    total += it.Weight;
    if (!names.Services.contains(it.Service)) {
      out.add(Severity::Warning,
              "goes to service " + quote(it.Service) +
                  ", which has no entry; its upstreams, if there are any, are "
                  "used with default settings");
    }
  }
  // A single destination needs no weight.
  if (total == 0 && !route.Destinations.empty()) {
    return out.add(Severity::Warning,
                   "all weights are 0, so all requests go to service " +
                       quote(route.Destinations.front().Service));
  }
  for (const Destination &it : route.Destinations) {
    if (it.Weight == 0) {
      out.add(Severity::Warning, "service " + quote(it.Service) +
                                     " has weight 0 and gets no requests");
    }
  }
  out.addIf(total > std::numeric_limits<unsigned>::max(), Severity::Error,
            "the sum of its weights is beyond 32 bits, so the shares are "
            "wrong");
}

void reviewTimes(const Route &route, FindingList &out) {
  if (route.Timeout <= Duration{0}) {
    return out.add(Severity::Error,
                   "its time-out is 0, so every request is late at once");
  }
  if (route.TargetLatency > route.Timeout) {
    out.add(Severity::Warning,
            "its latency target " + formatDuration(route.TargetLatency) +
                " is over its time-out " + formatDuration(route.Timeout));
  }
  out.addIf(route.TargetLatency <= Duration{0}, Severity::Warning,
            "its latency target is 0, so every response is late");
  out.addIf(route.MaxAttempts == 0, Severity::Warning,
            "allows 0 attempts, which acts as 1: no retries, no hedges");
}

void reviewService(const Configuration &configuration, const Names &names,
                   std::size_t index, FindingList &out) {
  const ServiceConfig &service = configuration.Services[index];
  if (names.Services.at(service.Name) != index) {
    return out.add(Severity::Warning,
                   "has no effect, since an entry before has the same name");
  }
  out.addIf(!names.UsedServices.contains(service.Name), Severity::Warning,
            "no route names it, so it gets no requests");
  out.addIf(!service.HealthPath.starts_with('/'), Severity::Error,
            "its health path does not begin with a slash");
  out.addIf(service.ConnectionLimit == 0, Severity::Warning,
            "its upstreams accept 0 connections");
  out.addIf(service.WarmupPerSecond < 0, Severity::Warning,
            "its request rate for the warm-up is negative and is ignored");
}

void reviewCustomer(const Customer &customer, bool isKeyNeeded,
                    FindingList &out) {
  out.addIf(customer.Keys.empty() && isKeyNeeded, Severity::Warning,
            "has no key, so routes that need one answer its callers with 401");
  const double rate = customer.RatePerSecond;
  if (rate <= 0) {
    return out.addIf(customer.Burst > 0, Severity::Warning,
                     "has a burst without a rate, so nothing is limited");
  }
  if (rate + customer.Burst < 1) {
    return out.add(Severity::Warning,
                   "its rate and its burst together allow less than one "
                   "request in a second");
  }
  out.addIf(customer.Burst < 1, Severity::Warning,
            "has a burst below 1, so requests that come close together are "
            "beyond its rate");
}

void reviewLimits(const CallerLimits &limits, std::uint64_t memoryBytes,
                  FindingList &out) {
  out.addIf(limits.MaxHeaderBytes == 0, Severity::Error,
            "requests may have 0 bytes of headers, so all are refused");
  out.addIf(limits.HeaderTimeout <= Duration{0}, Severity::Error,
            "callers have no time to send a request");
  out.addIf(limits.IdleTimeout <= Duration{0}, Severity::Warning,
            "the idle time-out is 0, so no connection is kept open");
  if (memoryBytes > 0 && limits.MaxBodyBytes >= memoryBytes) {
    out.add(Severity::Error,
            "a body of " + std::to_string(limits.MaxBodyBytes) +
                " bytes is allowed, and an instance has " +
                std::to_string(memoryBytes) + " bytes of memory");
  }
}

void reviewWhole(const Configuration &configuration,
                 const ReviewContext &context, FindingList &out) {
  std::set<std::string_view> hosts;
  std::set<std::string_view> reported;
  for (const std::string &it : context.Hosts) {
    if (!hosts.insert(it).second && reported.insert(it).second) {
      out.add(Severity::Warning, "host " + quote(it) + " is there twice");
    }
  }
  const auto &customers = configuration.Customers;
  const bool hasKey =
      std::any_of(customers.begin(), customers.end(),
                  [](const Customer &it) { return !it.Keys.empty(); });
  const auto closed =
      std::count_if(configuration.Routes.begin(), configuration.Routes.end(),
                    [](const Route &it) { return !it.AllowAnonymous; });
  if (!customers.empty() && !hasKey && closed > 0) {
    out.add(Severity::Error,
            "no customer has a key, and routes that need one answer every "
            "request with 401: " +
                std::to_string(closed));
  }
}

} // namespace

std::vector<Finding> reviewConfiguration(const Configuration &configuration,
                                         const ReviewContext &context) {
  FindingList out;
  reviewWhole(configuration, context, out);
  const Names names = collectNames(configuration);
  bool isKeyNeeded = false;
  for (std::size_t n = 0; n < configuration.Routes.size(); ++n) {
    const Route &route = configuration.Routes[n];
    out.enter(EntryKind::Route, n, [&route] { return describeRoute(route); });
    reviewMatch(configuration, names, n, out);
    reviewDestinations(route, names, out);
    reviewTimes(route, out);
    isKeyNeeded = isKeyNeeded || !route.AllowAnonymous;
  }
  for (std::size_t n = 0; n < configuration.Services.size(); ++n) {
    out.enter(EntryKind::Service, n, [&configuration, n] {
      return describeNamed("service", configuration.Services[n].Name);
    });
    reviewService(configuration, names, n, out);
  }
  for (std::size_t n = 0; n < configuration.Customers.size(); ++n) {
    const Customer &customer = configuration.Customers[n];
    out.enter(EntryKind::Customer, n,
              [&customer] { return describeNamed("customer", customer.Name); });
    reviewCustomer(customer, isKeyNeeded, out);
  }
  out.enter(EntryKind::Limits, std::nullopt);
  reviewLimits(configuration.Limits, context.MemoryBytes, out);
  return std::move(out.All);
}

} // namespace zinniarail
