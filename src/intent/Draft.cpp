#include "zinniarail/intent/Draft.h"

#include <algorithm>
#include <map>
#include <unordered_set>

#include "zinniarail/customers/Customers.h"

namespace zinniarail {

namespace {

// The same route of the version before, if the draft lacks what it can give.
const Route *findSameRoute(const Configuration *inForce,
                           const RouteDraft &draft) {
  const bool isComplete =
      draft.Name && draft.Priority && draft.Timeout && draft.TargetLatency;
  if (inForce == nullptr || isComplete) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(inForce->Routes, [&](const Route &any) {
    return any.Host == draft.Host && any.PathPrefix == draft.PathPrefix;
  });
  return it == inForce->Routes.end() ? nullptr : &*it;
}

// A service with an unreadable weight gets nothing, unless that is so of all.
std::vector<Destination>
completeDestinations(const std::vector<DestinationDraft> &drafts) {
  const bool anyReadable = std::ranges::any_of(
      drafts, [](const DestinationDraft &it) { return it.Weight.has_value(); });
  std::vector<Destination> out;
  out.reserve(drafts.size());
  for (const DestinationDraft &it : drafts) {
    out.push_back({it.Service, it.Weight.value_or(anyReadable ? 0 : 1)});
  }
  return out;
}

Route completeRoute(const RouteDraft &draft, const Route *before) {
  Route out;
  out.Timeout = UnknownTimeout;
  if (before != nullptr) {
    out.Name = before->Name;
    out.Priority = before->Priority;
    out.Timeout = before->Timeout;
    out.TargetLatency = before->TargetLatency;
  } else {
    out.Name = draft.Host + draft.PathPrefix;
  }
  out.Name = draft.Name.value_or(out.Name);
  out.Host = draft.Host;
  out.PathPrefix = draft.PathPrefix;
  out.Idempotent = draft.Idempotent;
  out.Priority = draft.Priority.value_or(out.Priority);
  // More attempts might be more than are allowed now.
  out.MaxAttempts = draft.MaxAttempts.value_or(1);
  out.Timeout = draft.Timeout.value_or(out.Timeout);
  out.TargetLatency = draft.TargetLatency.value_or(out.TargetLatency);
  out.Destinations = completeDestinations(draft.Destinations);
  out.AllowAnonymous = draft.AllowAnonymous;
  return out;
}

template <typename Type>
Type complete(const OptionalField<Type> &draft, const Type *before,
              Type fallback) {
  if (draft.Value) {
    return *draft.Value;
  }
  return draft.IsUnreadable && before != nullptr ? *before : fallback;
}

ServiceConfig completeService(const ServiceDraft &draft,
                              const ServiceConfig *before) {
  ServiceConfig out;
  if (before != nullptr) {
    out.HealthPath = before->HealthPath;
    out.ConnectionLimit = before->ConnectionLimit;
  }
  out.Name = draft.Name;
  out.HealthPath = draft.HealthPath.value_or(out.HealthPath);
  out.ConnectionLimit = draft.ConnectionLimit.value_or(out.ConnectionLimit);
  out.Warmup = complete(
      draft.Warmup, before == nullptr ? nullptr : &before->Warmup, Duration{0});
  out.WarmupPerSecond =
      complete(draft.WarmupPerSecond,
               before == nullptr ? nullptr : &before->WarmupPerSecond, 0.0);
  return out;
}

CallerLimits completeLimits(const OptionalField<LimitsDraft> &draft,
                            const Configuration *inForce) {
  CallerLimits out;
  const bool isKept = draft.Value || draft.IsUnreadable;
  if (isKept && inForce != nullptr) {
    out = inForce->Limits;
  }
  const LimitsDraft read = draft.Value.value_or(LimitsDraft{});
  out.MaxHeaderBytes = read.MaxHeaderBytes.value_or(out.MaxHeaderBytes);
  out.MaxBodyBytes = read.MaxBodyBytes.value_or(out.MaxBodyBytes);
  out.HeaderTimeout = read.HeaderTimeout.value_or(out.HeaderTimeout);
  out.IdleTimeout = read.IdleTimeout.value_or(out.IdleTimeout);
  return out;
}

// The customer in the version before, if the draft lacks what it can give.
const Customer *findSameCustomer(const Configuration *inForce,
                                 const CustomerDraft &draft) {
  const bool isComplete = !draft.Priority.IsUnreadable &&
                          !draft.RatePerSecond.IsUnreadable &&
                          !draft.Burst.IsUnreadable;
  if (inForce == nullptr || isComplete) {
    return nullptr;
  }
  const auto it =
      std::ranges::find(inForce->Customers, *draft.Name, &Customer::Name);
  return it == inForce->Customers.end() ? nullptr : &*it;
}

Customer completeCustomer(const CustomerDraft &draft, const Customer *before) {
  Customer out;
  out.Name = *draft.Name;
  out.Priority = draft.Priority.Value;
  if (draft.Priority.IsUnreadable && before != nullptr) {
    out.Priority = before->Priority;
  }
  out.RatePerSecond =
      complete(draft.RatePerSecond,
               before == nullptr ? nullptr : &before->RatePerSecond, 0.0);
  out.Burst =
      complete(draft.Burst, before == nullptr ? nullptr : &before->Burst, 0.0);
  out.Keys = draft.Keys;
  return out;
}

// Two entries of one name are one customer, with the lower limit.
void mergeCustomer(Customer &known, const Customer &next) {
  const bool isLower =
      next.RatePerSecond > 0 &&
      (known.RatePerSecond == 0 || next.RatePerSecond < known.RatePerSecond);
  if (isLower) {
    known.RatePerSecond = next.RatePerSecond;
    known.Burst = next.Burst;
  }
  if (next.Priority) {
    known.Priority = std::max(known.Priority.value_or(0), *next.Priority);
  }
  known.Keys.insert(known.Keys.end(), next.Keys.begin(), next.Keys.end());
}

void sortKeys(std::vector<KeyDigest> &keys) {
  std::ranges::sort(keys, {}, &KeyDigest::Bytes);
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
}

using KeySet = std::unordered_set<KeyDigest, KeyDigestHash>;

// Moves the keys that several customers hold to the one without a name.
void moveAmbiguousKeys(std::vector<Customer> &customers, Customer &nameless) {
  KeySet known(nameless.Keys.begin(), nameless.Keys.end());
  KeySet ambiguous = known;
  for (const Customer &it : customers) {
    for (const KeyDigest &key : it.Keys) {
      if (!known.insert(key).second) {
        ambiguous.insert(key);
      }
    }
  }
  if (ambiguous.empty()) {
    return;
  }
  for (Customer &it : customers) {
    std::erase_if(
        it.Keys, [&](const KeyDigest &key) { return ambiguous.contains(key); });
  }
  nameless.Keys.assign(ambiguous.begin(), ambiguous.end());
  sortKeys(nameless.Keys);
}

std::vector<Customer>
completeCustomers(const OptionalField<std::vector<CustomerDraft>> &drafts,
                  const Configuration *inForce) {
  if (drafts.IsUnreadable) {
    const bool isKept = inForce != nullptr && !inForce->Customers.empty();
    return isKept ? inForce->Customers : std::vector{Customer{}};
  }
  std::vector<Customer> out;
  if (!drafts.Value) {
    return out;
  }
  std::map<std::string, std::size_t> indexes;
  Customer nameless;
  for (const CustomerDraft &it : *drafts.Value) {
    if (!it.Name) {
      nameless.Keys.insert(nameless.Keys.end(), it.Keys.begin(), it.Keys.end());
      continue;
    }
    Customer customer = completeCustomer(it, findSameCustomer(inForce, it));
    const auto [at, isNew] = indexes.try_emplace(*it.Name, out.size());
    if (isNew) {
      out.push_back(std::move(customer));
    } else {
      mergeCustomer(out[at->second], customer);
    }
  }
  for (Customer &it : out) {
    sortKeys(it.Keys);
  }
  moveAmbiguousKeys(out, nameless);
  if (!nameless.Keys.empty()) {
    out.push_back(std::move(nameless));
  }
  return out;
}

} // namespace

Configuration completeDraft(const ConfigurationDraft &draft,
                            const Configuration *inForce) {
  Configuration out;
  out.Version = draft.Version;
  for (const RouteDraft &it : draft.Routes) {
    out.Routes.push_back(completeRoute(it, findSameRoute(inForce, it)));
  }
  for (const ServiceDraft &it : draft.Services) {
    out.Services.push_back(completeService(
        it, inForce == nullptr ? nullptr : findService(*inForce, it.Name)));
  }
  out.Customers = completeCustomers(draft.Customers, inForce);
  out.Limits = completeLimits(draft.Limits, inForce);
  return out;
}

} // namespace zinniarail
