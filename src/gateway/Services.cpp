#include "gateway/Services.h"

#include <algorithm>

#include "zinniarail/core/Hash.h"

namespace zinniarail::gateway {

namespace {

constexpr unsigned AttemptBits = 40; // of an attempt's number, for its service

bool onlyConfirms(const View *before, const View &after) {
  return before != nullptr && before->Version == after.Version &&
         before->Intent == after.Intent && before->Instances == after.Instances;
}

void place(ServiceTable &table, ServiceEntry &entry, const ServiceSpec &spec) {
  const std::string &self = table.Context.Self;
  entry.Known = true;
  entry.Spec = spec;
  entry.Places = placeService(*table.Current, spec, spec.Homes);
  entry.AtHome =
      table.Context.Policy != RoutingPolicy::Homes ||
      std::any_of(entry.Places.Ranked.begin(), entry.Places.Ranked.end(),
                  [&](const Instance &it) { return it.Id == self; });
}

// The plan of a service that is placed, and where its engine's upstreams are.
ServicePlan planEntry(const ServiceTable &table, ServiceEntry &entry) {
  auto plan = planService(*table.Current, entry.Places, entry.Spec,
                          table.Context.Self, table.Context.Policy);
  entry.Upstreams.clear();
  entry.Connections.clear();
  for (const Target &it : plan.Targets) {
    entry.Upstreams.emplace(it.Spec.Id, it.Spec);
    entry.Connections.emplace(it.Spec.Id, it.Share.Connections);
  }
  return plan;
}

// The plan of a service that is named no more: what runs there ends, and
// nothing begins.
ServicePlan planEnd(const ServiceTable &table, ServiceEntry &entry) {
  entry.Spec.Upstreams.clear();
  return planService(*table.Current, entry.Spec, table.Context.Self,
                     table.Context.Policy);
}

void confirm(ServiceEntry &entry, Instant validUntil, Instant now) {
  confirmView(*entry.Engine, validUntil);
  if (entry.Recording) {
    entry.Recording->note(now, trace::ViewConfirmed{validUntil}, {});
  }
}

void changePlan(ServiceEntry &entry, const ServicePlan &plan, Instant now,
                Actions &out) {
  replan(*entry.Engine, plan, now, out);
  if (entry.Recording) {
    entry.Recording->note(now, trace::Replanned{plan}, out);
  }
}

} // namespace

std::vector<EngineChange>
applyView(ServiceTable &table, std::shared_ptr<const View> view, Instant now) {
  const bool same = onlyConfirms(table.Current.get(), *view);
  table.Current = std::move(view);
  std::vector<EngineChange> changes;
  if (!same) {
    for (auto &[name, entry] : table.Entries) {
      entry->Known = false;
    }
    for (const ServiceSpec &it : table.Current->Intent->Services) {
      auto &entry = table.Entries[it.Name];
      if (!entry) {
        entry = std::make_unique<ServiceEntry>();
        entry->Name = it.Name;
        entry->Index = table.Entries.size();
      }
      place(table, *entry, it);
    }
  }
  for (auto &[name, entry] : table.Entries) {
    if (!entry->Engine) {
      continue;
    }
    confirm(*entry, table.Current->ValidUntil, now);
    if (!same) {
      changes.push_back({entry.get(), {}});
      changePlan(*entry,
                 entry->Known ? planEntry(table, *entry)
                              : planEnd(table, *entry),
                 now, changes.back().Wanted);
    }
  }
  return changes;
}

ServiceEntry *findEntry(ServiceTable &table, std::string_view name) {
  const auto it = table.Entries.find(name);
  return it == table.Entries.end() || !it->second->Known ? nullptr
                                                         : it->second.get();
}

ServiceState &engineOf(ServiceTable &table, ServiceEntry &entry, Instant now) {
  if (!entry.Engine) {
    const trace::Header start{.Plan = planEntry(table, entry),
                              .At = now,
                              .ValidUntil = table.Current->ValidUntil,
                              .Seed = table.Context.Seed,
                              .Stream =
                                  hashBytes(entry.Name, table.Context.Seed),
                              .FirstAttempt = (entry.Index << AttemptBits) + 1};
    entry.Engine =
        makeService(start.Plan, start.ValidUntil,
                    Random(start.Seed, start.Stream), start.FirstAttempt);
    if (table.Context.TraceBytes != 0) {
      entry.Recording =
          std::make_unique<trace::Recorder>(start, table.Context.TraceBytes);
    }
  }
  return *entry.Engine;
}

const RequestClass *matchClass(const ServiceSpec &service,
                               std::string_view method, std::string_view path) {
  path.remove_prefix(std::min(path.size(), service.Name.size() + 1));
  for (const RequestClass &it : service.Classes) {
    if ((it.Method == "*" || it.Method == method) &&
        path.starts_with(it.PathPrefix)) {
      return &it;
    }
  }
  return nullptr;
}

} // namespace zinniarail::gateway
