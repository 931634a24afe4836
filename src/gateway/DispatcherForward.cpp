// The part of the dispatcher that hands requests to their service's homes.
#include "gateway/Dispatcher.h"

#include <algorithm>

#include <boost/json.hpp>

#include "zinniarail/events/Events.h"

namespace zinniarail::gateway {

namespace {

constexpr Duration UnreachableFor = std::chrono::seconds{1};
constexpr Duration HomeRetryAfter = std::chrono::milliseconds{250};

// Whether an answer is a home's word that it can't take the request, while
// another may: views change on one instance after the other.
bool isOtherHomesTurn(const Answer &answer) {
  const std::string *outcome =
      findHeader(answer.Fields, "X-Zinniarail-Outcome");
  const std::string *reason = findHeader(answer.Fields, "X-Zinniarail-Reason");
  return outcome != nullptr && reason != nullptr && *outcome == "did-not-run" &&
         (*reason == "no-upstream" || *reason == "stopping" ||
          *reason == "view-expired");
}

} // namespace

// Takes the next home: the key's primary holder where there is a key, else in
// turn; homes that could not be reached of late come last.
void Dispatcher::forward(std::uint64_t id) {
  OpenRequest &request = Open.at(id);
  const Instant now = readClock();
  if (request.Homes.empty()) {
    refuse(id, RefusalReason::NoUpstream,
           request.MayHaveRun ? Truth::Unknown : Truth::DidNotRun,
           HomeRetryAfter);
    return;
  }
  auto &homes = request.Homes;
  const std::string *key =
      findHeader(request.Content->Fields, "Idempotency-Key");
  if (request.Attempts == 0) {
    if (key != nullptr && !request.Idempotent) {
      homes = claimHolders(request.Entry->Places, *key);
    } else {
      std::rotate(homes.begin(),
                  homes.begin() +
                      static_cast<std::ptrdiff_t>(++NextHome % homes.size()),
                  homes.end());
    }
  }
  std::stable_partition(homes.begin(), homes.end(), [&](const Instance &it) {
    const auto until = Unreachable.find(it.Id);
    return until == Unreachable.end() || until->second <= now;
  });
  const Instance home = homes.front();
  homes.erase(homes.begin());
  ++request.Attempts;
  const std::uint64_t call = ++LastCall;
  const std::string name = AttemptPrefix + std::to_string(call);
  const auto left =
      std::chrono::floor<std::chrono::milliseconds>(request.Deadline - now);
  request.Calls.push_back(call);
  Calls[call] = {.Kind = CallKind::Forward,
                 .Entry = request.Entry,
                 .Request = id,
                 .Target = home.Id};
  Outlets.Start(
      {.Id = call,
       .Address = home.CallerAddress,
       .Echo = name,
       .Content = request.Content,
       .Extra = {{"X-Zinniarail-Forwarded", name},
                 {"X-Deadline-Ms",
                  std::to_string(std::max<std::int64_t>(left.count(), 1))}},
       .Deadline = request.Deadline},
      now);
}

// What waited here while this instance ceased to be a home is for the new ones.
bool Dispatcher::passOn(ServiceEntry &entry, const Refuse &refusal) {
  const auto it = Open.find(static_cast<std::uint64_t>(refusal.Request));
  if (refusal.Reason != RefusalReason::NoUpstream || entry.AtHome ||
      entry.Places.Ranked.empty() || it == Open.end()) {
    return false;
  }
  OpenRequest &request = it->second;
  if (!request.Idempotent || !request.ForwardEcho.empty()) {
    return false; // Its key may not be free yet, or its sender goes on.
  }
  request.Homes = entry.Places.Ranked;
  request.MayHaveRun = refusal.Outcome != Truth::DidNotRun;
  Metrics.of(entry.Name).Forwards->Increment();
  forward(it->first);
  return true;
}

void Dispatcher::endForward(std::uint64_t id, const Call &call, CallEnd end) {
  const auto it = Open.find(id);
  if (it == Open.end()) {
    return;
  }
  OpenRequest &request = it->second;
  const Instant now = readClock();
  if (end.End == AttemptEnd::Answered || end.End == AttemptEnd::RefusedUnrun) {
    // An order's key may not be free again yet.
    if (request.Idempotent && !request.Homes.empty() &&
        request.Deadline > now && isOtherHomesTurn(end.Content)) {
      return forward(id);
    }
    if (findHeader(end.Content.Fields, "X-Zinniarail-Outcome") == nullptr) {
      Metrics.of(request.Entry->Name).Delivered->Increment();
    }
    dropHopByHop(end.Content.Fields);
    dropInternal(end.Content.Fields);
    std::erase_if(end.Content.Fields, [](const Header &field) {
      return sameName(field.Name, "X-Request-Id"); // set anew
    });
    finish(id, std::move(end.Content));
    return;
  }
  if (end.End == AttemptEnd::NotSent) {
    noteUnreachable(call.Target, end.Error, now);
  } else {
    request.MayHaveRun = true;
  }
  const Truth truth = request.MayHaveRun ? Truth::Unknown : Truth::DidNotRun;
  if (request.Deadline <= now) {
    refuse(id, RefusalReason::DeadlinePassed, truth, Duration{0});
  } else if (request.MayHaveRun && !request.Idempotent) {
    refuse(id, RefusalReason::UpstreamFailed, truth, Duration{0});
  } else {
    forward(id);
  }
}

// Logged once for as long as it lasts, not by request.
void Dispatcher::noteUnreachable(const std::string &instance,
                                 const std::string &error, Instant now) {
  Instant &until = Unreachable[instance];
  if (until <= now) {
    logEvent(EventId::HomeUnreachable, instance + ": " + error);
  }
  until = now + UnreachableFor;
}

boost::json::object Dispatcher::describe(Instant now) const {
  namespace json = boost::json;
  json::object services;
  for (const auto &[name, it] : Table.Entries) {
    json::array homes;
    for (const Instance &home : it->Places.Ranked) {
      homes.emplace_back(home.Id);
    }
    json::object entry{{"known", it->Known},
                       {"atHome", it->AtHome},
                       {"homes", std::move(homes)}};
    if (it->Engine) {
      entry["engine"] = zinniarail::describe(*it->Engine, now);
    }
    services[name] = std::move(entry);
  }
  json::object out{{"openRequests", Open.size()},
                   {"calls", Calls.size()},
                   {"ready", isReady(now)}};
  if (Table.Current) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Table.Current->ValidUntil - now);
    out["version"] = Table.Current->Version;
    out["changeId"] = Table.Current->Intent->ChangeId;
    out["validForMs"] = left.count();
    out["instances"] = Table.Current->Instances.size();
  }
  out["services"] = std::move(services);
  return out;
}

void Dispatcher::measure(Instant now) {
  if (Table.Current) {
    const std::chrono::duration<double> age = now - Confirmed;
    Metrics.ViewAge.Set(age.count());
    Metrics.Version.Set(static_cast<double>(Table.Current->Version));
  }
  for (const auto &[name, it] : Table.Entries) {
    if (!it->Engine) {
      continue;
    }
    ServiceMetrics &metrics = Metrics.of(name);
    metrics.Open->Set(
        static_cast<double>(zinniarail::openRequests(*it->Engine)));
    metrics.Queued->Set(static_cast<double>(waitingRequests(*it->Engine)));
    metrics.Cold->Set(static_cast<double>(coldUpstreams(*it->Engine)));
    metrics.ProbeBudget->Set(it->Spec.ProbesPerSecond);
  }
}

} // namespace zinniarail::gateway
