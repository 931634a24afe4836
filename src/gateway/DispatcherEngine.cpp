// The part of the dispatcher that turns actions into calls and answers.
#include "gateway/Dispatcher.h"

#include <algorithm>

#include "gateway/Answers.h"
#include "zinniarail/events/Events.h"

namespace zinniarail::gateway {

namespace {

constexpr Duration ProbeTimeout = std::chrono::milliseconds{250};
constexpr Duration WarmTimeout = std::chrono::milliseconds{500};
constexpr unsigned WarmLimit = 8; // connections opened ahead at a time

template <typename... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

std::string addressOf(const UpstreamSpec &upstream) {
  return upstream.Address + ":" + std::to_string(upstream.Port);
}

std::uint64_t numberOf(RequestId id) { return static_cast<std::uint64_t>(id); }
std::uint64_t numberOf(AttemptId id) { return static_cast<std::uint64_t>(id); }

Header deadlineHeader(Instant deadline, Instant now) {
  using std::chrono::floor;
  const auto left = floor<std::chrono::milliseconds>(deadline - now).count();
  return {"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(left, 1))};
}

} // namespace

void Dispatcher::post(ServiceEntry &entry, Event event) {
  Events.emplace_back(&entry, std::move(event));
}

void Dispatcher::drain() {
  if (Draining) {
    return; // the outer call goes on with what was posted
  }
  Draining = true;
  Actions actions;
  while (!Events.empty()) {
    auto [entry, event] = std::move(Events.front());
    Events.pop_front();
    const Instant now = readClock();
    actions.clear();
    handle(*entry->Engine, event, now, actions);
    if (entry->Recording) {
      entry->Recording->note(now, std::move(event), actions);
    }
    for (Action &it : actions) {
      perform(*entry, it);
    }
    note(*entry);
  }
  Draining = false;
}

void Dispatcher::note(ServiceEntry &entry) {
  const Instant wake =
      entry.Engine ? zinniarail::nextWake(*entry.Engine) : Instant::max();
  if (wake == entry.Wake) {
    return;
  }
  Wakes.erase({entry.Wake, &entry});
  entry.Wake = wake;
  if (wake != Instant::max()) {
    Wakes.emplace(wake, &entry);
  }
}

void Dispatcher::perform(ServiceEntry &entry, Action &action) {
  std::visit(
      Overloaded{
          [&](const SeekClaim &it) {
            const auto found = Open.find(numberOf(it.Request));
            const Instant deadline =
                found == Open.end() ? readClock() : found->second.Deadline;
            Outlets.SeekClaim(entry.Name, it.Request, it.Key, deadline);
          },
          [&](const StartAttempt &it) { startAttempt(entry, it); },
          [&](const CancelAttempt &it) {
            Outlets.Cancel(numberOf(it.Attempt));
          },
          [&](const Deliver &it) { deliver(it); },
          [&](const Refuse &it) {
            if (!passOn(entry, it)) {
              refuse(numberOf(it.Request), it.Reason, it.Outcome,
                     it.RetryAfter);
            }
          },
          [&](const ReleaseClaim &it) {
            Outlets.ReleaseClaim(entry.Name, it.Request);
          },
          [&](const OpenConnections &it) { openConnections(entry, it); },
          [&](const SendProbe &it) { startProbe(entry, it.Upstream); },
          [&](const TellHomes &it) { Outlets.TellHomes(entry.Name, it.Word); }},
      action);
}

void Dispatcher::startAttempt(ServiceEntry &entry, const StartAttempt &wanted) {
  const auto request = Open.find(numberOf(wanted.Request));
  const auto upstream = entry.Upstreams.find(wanted.Upstream);
  if (request == Open.end() || upstream == entry.Upstreams.end()) {
    post(entry, AttemptEnded{wanted.Attempt, AttemptEnd::NotSent});
    return;
  }
  ServiceMetrics &metrics = Metrics.of(entry.Name);
  metrics.Attempts->Increment();
  OpenRequest &open = request->second;
  if (wanted.Hedge) {
    metrics.Hedges->Increment();
  } else if (open.Attempts != 0) {
    metrics.Retries->Increment();
  }
  ++open.Attempts;
  const std::uint64_t id = numberOf(wanted.Attempt);
  open.Calls.push_back(id);
  Calls[id] = {.Kind = CallKind::Attempt,
               .Entry = &entry,
               .Request = request->first,
               .Target = wanted.Upstream};
  const Instant now = readClock();
  Outlets.Start(
      {.Id = id,
       .Address = addressOf(upstream->second),
       .Echo = AttemptPrefix + std::to_string(id),
       .Content = open.Content,
       .Extra = {deadlineHeader(wanted.Deadline, now)},
       .Deadline = wanted.Deadline,
       .SendBefore = std::min(wanted.Deadline, Table.Current->ValidUntil),
       .Connections = entry.Connections[wanted.Upstream]},
      now);
}

void Dispatcher::deliver(const Deliver &wanted) {
  const auto call = Calls.find(numberOf(wanted.Attempt));
  const auto request = Open.find(numberOf(wanted.Request));
  if (request == Open.end() || call == Calls.end() || !call->second.Done) {
    return;
  }
  Metrics.of(request->second.Entry->Name).Delivered->Increment();
  Answer answer = std::move(call->second.Content);
  // Only the gateway may say what became of a request.
  constexpr std::string_view own = "X-Zinniarail-";
  std::erase_if(answer.Fields, [&](const Header &it) {
    return sameName(std::string_view(it.Name).substr(0, own.size()), own) ||
           sameName(it.Name, "X-Request-Id");
  });
  dropHopByHop(answer.Fields);
  dropInternal(answer.Fields);
  finish(numberOf(wanted.Request), std::move(answer));
}

void Dispatcher::startProbe(ServiceEntry &entry, const std::string &upstream) {
  const auto it = entry.Upstreams.find(upstream);
  if (it == entry.Upstreams.end()) {
    post(entry, ProbeEnded{.Upstream = upstream});
    return;
  }
  Metrics.of(entry.Name).Probes->Increment();
  const std::uint64_t id = ++LastCall;
  Calls[id] = {.Kind = CallKind::Probe, .Entry = &entry, .Target = upstream};
  const Instant now = readClock();
  Outlets.Start({.Id = id,
                 .Address = addressOf(it->second),
                 .Content = ProbeRequest,
                 .Deadline = now + ProbeTimeout,
                 .Connections = entry.Connections[upstream]},
                now);
}

// libcurl keeps only connections that carried a request, so each is opened
// with a health check.
void Dispatcher::openConnections(ServiceEntry &entry,
                                 const OpenConnections &wanted) {
  const auto it = entry.Upstreams.find(wanted.Upstream);
  if (it == entry.Upstreams.end()) {
    return;
  }
  const Instant now = readClock();
  for (unsigned n = 0; n < std::min(wanted.Count, WarmLimit); ++n) {
    const std::uint64_t id = ++LastCall;
    Calls[id] = {
        .Kind = CallKind::Warm, .Entry = &entry, .Target = wanted.Upstream};
    Outlets.Start({.Id = id,
                   .Address = addressOf(it->second),
                   .Content = WarmRequest,
                   .Deadline = now + WarmTimeout,
                   .Connections = entry.Connections[wanted.Upstream],
                   .FreshConnection = true},
                  now);
  }
}

void Dispatcher::onCallSent(std::uint64_t id) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  it->second.Sent = true;
  if (it->second.Kind == CallKind::Attempt) {
    post(*it->second.Entry, AttemptSent{AttemptId{id}});
    drain();
  }
}

void Dispatcher::onCallEnded(std::uint64_t id, CallEnd end) {
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  Call &call = it->second;
  switch (call.Kind) {
  case CallKind::Attempt:
    endAttempt(id, call, std::move(end));
    break;
  case CallKind::Forward: {
    const Call copy = std::move(call);
    Calls.erase(it);
    endForward(copy.Request, copy, std::move(end));
    break;
  }
  case CallKind::Probe:
    post(*call.Entry, ProbeEnded{call.Target, end.Report.has_value(),
                                 end.Report.value_or(LoadReport{})});
    Calls.erase(it);
    break;
  case CallKind::Warm:
    Calls.erase(it);
    break;
  }
  drain();
}

std::optional<std::string>
Dispatcher::traceOf(const std::string &service) const {
  const auto it = Table.Entries.find(service);
  if (it == Table.Entries.end() || !it->second->Recording) {
    return std::nullopt;
  }
  return it->second->Recording->text();
}

void Dispatcher::endAttempt(std::uint64_t id, Call &call, CallEnd end) {
  ServiceMetrics &metrics = Metrics.of(call.Entry->Name);
  if (end.End == AttemptEnd::Broken) {
    metrics.Broken->Increment();
    if (isLogged(EventId::AttemptBroken)) {
      logEvent(EventId::AttemptBroken, call.Target + ": " + end.Error);
    }
  } else if (end.End == AttemptEnd::RefusedUnrun) {
    metrics.RefusedUnrun->Increment();
  }
  post(*call.Entry,
       AttemptEnded{AttemptId{id}, end.End, end.Content.Status,
                    end.Report.has_value(), end.Report.value_or(LoadReport{})});
  if (Open.count(call.Request) == 0) {
    Calls.erase(id);
    return;
  }
  call.Done = true;
  call.Content = std::move(end.Content);
}

} // namespace zinniarail::gateway
