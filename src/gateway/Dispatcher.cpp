#include "gateway/Dispatcher.h"

#include <algorithm>

#include "gateway/Answers.h"
#include "zinniarail/core/Hash.h"

namespace zinniarail::gateway {

namespace {

constexpr std::string_view OwnPrefix = "/.zinniarail/";
constexpr std::string_view ResolvePath = "/.zinniarail/resolve";
constexpr Duration ViewRetryAfter = std::chrono::milliseconds{500};
constexpr Duration DefaultDeadline = std::chrono::seconds{2};
constexpr std::uint64_t NonceMask = 0xffffffU;

bool isSafeMethod(const std::string &method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::uint64_t fingerprintOf(const Request &request) {
  std::uint64_t digest = hashBytes(request.Method);
  digest = hashCombine(digest, hashBytes(request.Target));
  return hashCombine(digest, hashBytes(request.Body));
}

void dropOwn(Headers &fields) {
  std::erase_if(fields, [](const Header &it) {
    return sameName(it.Name, "X-Deadline-Ms") ||
           sameName(it.Name, "X-Zinniarail-Forwarded");
  });
  dropInternal(fields);
}

std::string copyOf(const std::string *text) {
  return text == nullptr ? std::string() : *text;
}

} // namespace

Dispatcher::Dispatcher(ServiceContext context, GatewayMetrics &metrics,
                       DispatcherOutlets outlets)
    : Table{std::move(context), nullptr, {}}, Metrics(metrics),
      Outlets(std::move(outlets)) {
  // Attempts' ids must differ from those of an earlier process of this name.
  const auto start =
      static_cast<std::uint64_t>(readClock().time_since_epoch().count());
  const std::uint64_t nonce =
      hashCombine(hashBytes(Table.Context.Self), start ^ Table.Context.Seed);
  AttemptPrefix =
      Table.Context.Self + "-" + std::to_string(nonce & NonceMask) + "-";
  ProbeRequest = std::make_shared<Request>(Request{"GET", "/.load", {}, {}});
  WarmRequest = std::make_shared<Request>(Request{"GET", "/.health", {}, {}});
}

bool Dispatcher::isReady(Instant now) const {
  return Table.Current && now < Table.Current->ValidUntil;
}

void Dispatcher::onView(std::shared_ptr<const View> view) {
  const Instant now = readClock();
  Confirmed = now;
  for (EngineChange &it : applyView(Table, std::move(view), now)) {
    for (Action &action : it.Wanted) {
      perform(*it.Entry, action);
    }
  }
  for (auto &[name, entry] : Table.Entries) {
    note(*entry);
  }
  drain();
}

bool Dispatcher::understand(std::uint64_t id, Request &content,
                            OpenRequest &request, Instant now) {
  const auto reject = [&](const char *message) {
    Outlets.Answer(id, makeMalformed(message));
    return false;
  };
  const std::string *deadline = findHeader(content.Fields, "X-Deadline-Ms");
  if (deadline != nullptr) {
    const auto ms = parseNumber(*deadline);
    if (!ms) {
      return reject("X-Deadline-Ms is not a whole number");
    }
    constexpr std::uint64_t most = 3'600'000; // ms
    request.Deadline = now + std::chrono::milliseconds{std::min(*ms, most)};
  }
  request.CallerId = copyOf(findHeader(content.Fields, "X-Request-Id"));
  if (request.CallerId.size() > KeyLimit) {
    return reject("X-Request-Id is longer than 128 bytes");
  }
  const std::string *key = findHeader(content.Fields, "Idempotency-Key");
  if (key != nullptr && key->size() > KeyLimit) {
    return reject("Idempotency-Key is longer than 128 bytes");
  }
  return true;
}

void Dispatcher::onRequest(std::uint64_t id, std::shared_ptr<Request> content) {
  const Instant now = readClock();
  const std::string_view path = pathOf(content->Target);
  if (!isReady(now) && path.starts_with(OwnPrefix)) {
    Outlets.Answer(id, makeRefusal(RefusalReason::ViewExpired, Truth::DidNotRun,
                                   ViewRetryAfter));
    return;
  }
  if (!Table.Current) {
    countRefusal("", RefusalReason::ViewExpired);
    Outlets.Answer(id, makeRefusal(RefusalReason::ViewExpired, Truth::DidNotRun,
                                   ViewRetryAfter));
    return;
  }
  const bool resolve = path == ResolvePath;
  ServiceEntry *entry =
      findEntry(Table, resolve ? queryParameter(content->Target, "service")
                               : serviceOf(content->Target));
  if (entry == nullptr || (path.starts_with(OwnPrefix) && !resolve)) {
    countRefusal("", RefusalReason::UnknownService);
    Outlets.Answer(id, makeRefusal(RefusalReason::UnknownService,
                                   Truth::DidNotRun, Duration{0}));
    return;
  }
  if (resolve) {
    Outlets.Answer(id, makeResolved(*Table.Current, entry->Spec));
    return;
  }
  OpenRequest request{
      .Entry = entry, .Arrived = now, .Deadline = Instant::max()};
  if (!understand(id, *content, request, now)) {
    return;
  }
  const std::string *forwarded =
      findHeader(content->Fields, "X-Zinniarail-Forwarded");
  request.ForwardEcho = copyOf(forwarded);
  const bool isForwarded = forwarded != nullptr;
  const RequestClass *match = matchClass(entry->Spec, content->Method, path);
  request.Idempotent =
      match == nullptr ? isSafeMethod(content->Method) : match->Idempotent;
  request.Deadline =
      std::min(request.Deadline,
               now + (match == nullptr ? DefaultDeadline : match->Deadline));
  dropOwn(content->Fields);
  request.Content = std::move(content);
  admit(id, std::move(request), match == nullptr ? "" : match->Name,
        isForwarded, now);
}

void Dispatcher::admit(std::uint64_t id, OpenRequest request,
                       std::string className, bool forwarded, Instant now) {
  ServiceEntry &entry = *request.Entry;
  const Request &content = *request.Content;
  const Instant deadline = request.Deadline;
  OpenRequest &kept = Open.emplace(id, std::move(request)).first->second;
  if (deadline <= now) {
    refuse(id, RefusalReason::DeadlinePassed, Truth::DidNotRun, Duration{0});
    return;
  }
  if (!entry.AtHome && !forwarded && !entry.Places.Ranked.empty()) {
    kept.Homes = entry.Places.Ranked;
    Metrics.of(entry.Name).Forwards->Increment();
    forward(id);
    return;
  }
  RequestArrived event{
      .Request = RequestId{id},
      .Class = std::move(className),
      .Key = copyOf(findHeader(content.Fields, "Idempotency-Key")),
      .Fingerprint = fingerprintOf(content),
      .Deadline = deadline,
      .IdempotentMethod = isSafeMethod(content.Method)};
  engineOf(Table, entry, now);
  post(entry, std::move(event));
  drain();
}

void Dispatcher::onCallerGone(std::uint64_t id) {
  const auto it = Open.find(id);
  if (it == Open.end()) {
    return;
  }
  ServiceEntry &entry = *it->second.Entry;
  Metrics.of(entry.Name).Gone->Increment();
  const auto calls = std::move(it->second.Calls);
  Open.erase(it);
  for (const std::uint64_t call : calls) {
    const auto found = Calls.find(call);
    if (found != Calls.end() && found->second.Kind == CallKind::Forward) {
      Outlets.Cancel(call);
    }
  }
  closeCalls(calls);
  if (entry.Engine) {
    post(entry, CallerGone{RequestId{id}});
    drain();
  }
}

void Dispatcher::finish(std::uint64_t id, Answer answer) {
  const auto it = Open.find(id);
  if (it == Open.end()) {
    return;
  }
  OpenRequest &request = it->second;
  if (!request.CallerId.empty()) {
    answer.Fields.push_back({"X-Request-Id", request.CallerId});
  }
  if (!request.ForwardEcho.empty()) {
    answer.Fields.push_back({"X-Attempt-Id", request.ForwardEcho});
  }
  const std::chrono::duration<double> took = readClock() - request.Arrived;
  Metrics.of(request.Entry->Name).Latency->Observe(took.count());
  const auto calls = std::move(request.Calls);
  Open.erase(it);
  closeCalls(calls);
  Outlets.Answer(id, std::move(answer));
}

// Forgets the calls that are over; those still on their way are forgotten as
// they end.
void Dispatcher::closeCalls(const std::vector<std::uint64_t> &calls) {
  for (const std::uint64_t it : calls) {
    const auto found = Calls.find(it);
    if (found != Calls.end() && found->second.Done) {
      Calls.erase(found);
    }
  }
}

void Dispatcher::refuse(std::uint64_t id, RefusalReason reason, Truth truth,
                        Duration retryAfter) {
  const auto it = Open.find(id);
  if (it == Open.end()) {
    return;
  }
  countRefusal(it->second.Entry->Name, reason);
  finish(id, makeRefusal(reason, truth, retryAfter));
}

void Dispatcher::countRefusal(const std::string &service,
                              RefusalReason reason) {
  Metrics.of(service).Refused[static_cast<std::size_t>(reason)]->Increment();
}

void Dispatcher::onClaim(const std::string &service,
                         const ClaimDecided &decision) {
  const auto it = Table.Entries.find(service);
  if (it != Table.Entries.end() && it->second->Engine) {
    post(*it->second, decision);
    drain();
  }
}

void Dispatcher::onWord(const std::string &service, const PeerWord &word) {
  ServiceEntry *entry = findEntry(Table, service);
  if (entry != nullptr && entry->AtHome) {
    engineOf(Table, *entry, readClock());
    post(*entry, word);
    drain();
  }
}

void Dispatcher::onWake() {
  const Instant now = readClock();
  while (!Wakes.empty() && Wakes.begin()->first <= now) {
    ServiceEntry *entry = Wakes.begin()->second;
    Wakes.erase(Wakes.begin());
    entry->Wake = Instant::max();
    post(*entry, Woken{});
  }
  drain();
}

Instant Dispatcher::nextWake() const {
  return Wakes.empty() ? Instant::max() : Wakes.begin()->first;
}

} // namespace zinniarail::gateway
