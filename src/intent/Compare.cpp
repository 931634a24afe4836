#include <map>
#include <string_view>
#include <unordered_set>

#include "intent/Findings.h"
#include "zinniarail/core/DurationText.h"
#include "zinniarail/customers/Customers.h"
#include "zinniarail/intent/Review.h"

namespace zinniarail {

namespace {

using KeySet = std::unordered_set<KeyDigest, KeyDigestHash>;
using RouteKey = std::pair<std::string_view, std::string_view>;

std::string formatNumber(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string formatNumber(std::uint64_t number) {
  return std::to_string(number);
}

std::string formatRate(double rate) {
  return rate > 0 ? formatNumber(rate) + "/s" : "none";
}

void addChange(FindingList &out, const char *what, const std::string &before,
               const std::string &after, const char *effect = "") {
  if (before != after) {
    out.add(Severity::Difference,
            std::string(what) + " changes from " + before + " to " + after +
                (*effect == 0 ? "" : std::string(": ") + effect));
  }
}

template <typename Number>
void addLimitChange(FindingList &out, const char *what, Number before,
                    Number after, const char *effect) {
  if (before != after) {
    out.add(Severity::Difference,
            std::string(what) +
                (after < before ? " is lowered from " : " is raised from ") +
                formatNumber(before) + " to " + formatNumber(after) +
                (after < before ? std::string(": ") + effect : ""));
  }
}

// Maps the first of each name, which is the one that counts, to its index.
template <typename Item, typename Name>
auto indexByName(const std::vector<Item> &items, Name nameOf) {
  std::map<decltype(nameOf(items.front())), std::size_t> out;
  for (std::size_t n = 0; n < items.size(); ++n) {
    out.try_emplace(nameOf(items[n]), n);
  }
  return out;
}

// What happens to requests that a route takes in one configuration, in another
// one that lacks it.
std::string describeWithout(const Configuration &other, const Route &route) {
  const Route *it = findRoute(other, route.Host, route.PathPrefix);
  return it == nullptr ? "404" : "taken by " + describeRoute(*it);
}

void compareRoute(const Route &before, const Route &after, bool hasCustomers,
                  FindingList &out) {
  addChange(out, "name", quote(before.Name), quote(after.Name));
  if (before.Destinations != after.Destinations) {
    const bool isSplit =
        before.Destinations.size() > 1 || after.Destinations.size() > 1;
    addChange(out, isSplit ? "split" : "service", describeDestinations(before),
              describeDestinations(after));
  }
  addChange(out, "time-out", formatDuration(before.Timeout),
            formatDuration(after.Timeout),
            after.Timeout < before.Timeout ? "slow requests get 504 sooner"
                                           : "callers may wait longer");
  addChange(out, "latency target", formatDuration(before.TargetLatency),
            formatDuration(after.TargetLatency));
  addChange(out, "priority", std::to_string(before.Priority),
            std::to_string(after.Priority),
            after.Priority < before.Priority ? "more urgent" : "less urgent");
  addChange(out, "number of attempts", std::to_string(before.MaxAttempts),
            std::to_string(after.MaxAttempts));
  if (before.Idempotent != after.Idempotent) {
    out.add(Severity::Difference,
            after.Idempotent ? "becomes idempotent: a request may run twice"
                             : "is no longer idempotent: requests that may "
                               "have run are not retried");
  }
  out.addIf(hasCustomers && before.AllowAnonymous && !after.AllowAnonymous,
            Severity::Difference,
            "needs a key from now on: callers without one get 401");
  out.addIf(hasCustomers && !before.AllowAnonymous && after.AllowAnonymous,
            Severity::Difference, "needs no key any more");
}

void compareRoutes(const Configuration &before, const Configuration &after,
                   FindingList &out) {
  const auto keyOf = [](const Route &it) {
    return RouteKey(it.Host, it.PathPrefix);
  };
  const auto old = indexByName(before.Routes, keyOf);
  const auto now = indexByName(after.Routes, keyOf);
  for (std::size_t n = 0; n < after.Routes.size(); ++n) {
    const Route &route = after.Routes[n];
    if (now.at(keyOf(route)) != n) {
      continue;
    }
    out.enter(EntryKind::Route, n, [&route] { return describeRoute(route); });
    const auto it = old.find(keyOf(route));
    if (it != old.end()) {
      compareRoute(before.Routes[it->second], route, !after.Customers.empty(),
                   out);
      continue;
    }
    out.add(Severity::Difference,
            "is added and goes to " + describeDestinations(route) +
                "; its requests so far: " + describeWithout(before, route));
  }
  for (const auto &[key, n] : old) {
    const Route &route = before.Routes[n];
    out.enter(EntryKind::Route, std::nullopt,
              [&route] { return describeRoute(route); });
    if (!now.contains(key)) {
      out.add(Severity::Difference, "is removed; its requests from now on: " +
                                        describeWithout(after, route));
    }
  }
}

void compareServices(const Configuration &before, const Configuration &after,
                     FindingList &out) {
  const auto nameOf = [](const ServiceConfig &it) {
    return std::string_view(it.Name);
  };
  const auto old = indexByName(before.Services, nameOf);
  const auto now = indexByName(after.Services, nameOf);
  for (std::size_t n = 0; n < after.Services.size(); ++n) {
    const ServiceConfig &service = after.Services[n];
    if (now.at(service.Name) != n) {
      continue;
    }
    out.enter(EntryKind::Service, n,
              [&service] { return describeNamed("service", service.Name); });
    const auto it = old.find(service.Name);
    if (it == old.end()) {
      out.add(Severity::Difference, "is added");
      continue;
    }
    const ServiceConfig &was = before.Services[it->second];
    addChange(out, "health path", quote(was.HealthPath),
              quote(service.HealthPath),
              "upstreams that don't serve it are ejected");
    addLimitChange<std::uint64_t>(out, "connection limit", was.ConnectionLimit,
                                  service.ConnectionLimit,
                                  "fewer connections to each upstream");
    addChange(out, "warm-up", formatDuration(was.Warmup),
              formatDuration(service.Warmup));
    addChange(out, "request rate of the warm-up",
              formatRate(was.WarmupPerSecond),
              formatRate(service.WarmupPerSecond));
  }
  for (const auto &[name, n] : old) {
    out.enter(EntryKind::Service, std::nullopt,
              [it = name] { return describeNamed("service", it); });
    out.addIf(!now.contains(name), Severity::Difference, "is removed");
  }
}

KeySet collectKeys(const Configuration &configuration) {
  KeySet out;
  for (const Customer &it : configuration.Customers) {
    out.insert(it.Keys.begin(), it.Keys.end());
  }
  return out;
}

/// The keys of two configurations; only their numbers are told.
struct AllKeys {
  KeySet Before;
  KeySet After;
};

// Tells how many keys a customer gets or loses. Those that another customer
// has in the other configuration are still valid, but for somebody else.
void compareKeys(const Customer &was, const Customer &customer,
                 const AllKeys &keys, FindingList &out) {
  const KeySet old(was.Keys.begin(), was.Keys.end());
  const KeySet now(customer.Keys.begin(), customer.Keys.end());
  std::size_t added = 0, taken = 0, removed = 0, given = 0;
  for (const KeyDigest &it : now) {
    if (!old.contains(it)) {
      ++(keys.Before.contains(it) ? taken : added);
    }
  }
  for (const KeyDigest &it : old) {
    if (!now.contains(it)) {
      ++(keys.After.contains(it) ? given : removed);
    }
  }
  const auto tell = [&](std::size_t count, const char *what) {
    if (count > 0) {
      out.add(Severity::Difference,
              "keys " + std::string(what) + ": " + std::to_string(count));
    }
  };
  tell(added, "added");
  tell(taken, "that belonged to other customers");
  tell(removed, "taken away, callers with them get 401");
  tell(given, "given to other customers");
}

void compareCustomer(const Customer &was, const Customer &customer,
                     FindingList &out) {
  const auto priority = [](const Customer &it) {
    return it.Priority ? std::to_string(*it.Priority)
                       : std::string("that of the route");
  };
  addChange(out, "priority", priority(was), priority(customer));
  const bool isLower =
      customer.RatePerSecond > 0 &&
      (was.RatePerSecond <= 0 || customer.RatePerSecond < was.RatePerSecond);
  addChange(out, "rate limit", formatRate(was.RatePerSecond),
            formatRate(customer.RatePerSecond),
            isLower ? "requests beyond it may be refused" : "");
  addLimitChange(out, "burst", was.Burst, customer.Burst,
                 "fewer requests beyond the rate");
}

void compareCustomers(const Configuration &before, const Configuration &after,
                      FindingList &out) {
  out.enter(EntryKind::Configuration, std::nullopt);
  out.addIf(before.Customers.empty() && !after.Customers.empty(),
            Severity::Difference,
            "has customers from now on: callers without a key get 401 on "
            "routes that need one");
  out.addIf(!before.Customers.empty() && after.Customers.empty(),
            Severity::Difference,
            "has no customers any more: callers need no key");
  const auto nameOf = [](const Customer &it) {
    return std::string_view(it.Name);
  };
  const AllKeys keys{collectKeys(before), collectKeys(after)};
  const auto old = indexByName(before.Customers, nameOf);
  const auto now = indexByName(after.Customers, nameOf);
  // No two customers have the same name.
  for (std::size_t n = 0; n < after.Customers.size(); ++n) {
    const Customer &customer = after.Customers[n];
    out.enter(EntryKind::Customer, n,
              [&customer] { return describeNamed("customer", customer.Name); });
    const auto it = old.find(customer.Name);
    out.addIf(it == old.end(), Severity::Difference, "is added");
    const Customer &was =
        it == old.end() ? Customer{} : before.Customers[it->second];
    compareKeys(was, customer, keys, out);
    compareCustomer(was, customer, out);
  }
  for (const auto &[name, n] : old) {
    if (!now.contains(name)) {
      out.enter(EntryKind::Customer, std::nullopt,
                [it = name] { return describeNamed("customer", it); });
      out.add(Severity::Difference, "is removed");
      compareKeys(before.Customers[n], {}, keys, out);
    }
  }
}

void compareLimits(const CallerLimits &before, const CallerLimits &after,
                   FindingList &out) {
  out.enter(EntryKind::Limits, std::nullopt);
  addLimitChange<std::uint64_t>(out, "the size of headers",
                                before.MaxHeaderBytes, after.MaxHeaderBytes,
                                "larger ones get 431");
  addLimitChange<std::uint64_t>(out, "the size of bodies", before.MaxBodyBytes,
                                after.MaxBodyBytes, "larger ones get 413");
  addChange(out, "the time to send a request",
            formatDuration(before.HeaderTimeout),
            formatDuration(after.HeaderTimeout));
  addChange(out, "the idle time-out", formatDuration(before.IdleTimeout),
            formatDuration(after.IdleTimeout));
}

} // namespace

std::vector<Finding> compareConfigurations(const Configuration &inForce,
                                           const Configuration &next) {
  FindingList out;
  if (next.Version <= inForce.Version) {
    out.add(Severity::Error, "version " + std::to_string(next.Version) +
                                 " is not above the one in force, " +
                                 std::to_string(inForce.Version) +
                                 ", and would be ignored");
  }
  compareRoutes(inForce, next, out);
  compareServices(inForce, next, out);
  compareCustomers(inForce, next, out);
  compareLimits(inForce.Limits, next.Limits, out);
  return std::move(out.All);
}

} // namespace zinniarail
