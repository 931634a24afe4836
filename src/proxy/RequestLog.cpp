#include "proxy/RequestLog.h"

#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// Lines a second for requests that went as they should, on one instance: they
// show what is usual, and a log of all would cost more than it tells.
constexpr unsigned ServedLinesPerSecond = 20;

constexpr unsigned FirstServerError = 500;

EventId idOf(RequestEvent event) {
  switch (event) {
  case RequestEvent::Served:
    return EventId::RequestServed;
  case RequestEvent::Slow:
    return EventId::RequestSlow;
  case RequestEvent::Refused:
    return EventId::RequestRefused;
  case RequestEvent::Failed:
    return EventId::RequestFailed;
  case RequestEvent::Gone:
    return EventId::RequestGone;
  }
  return EventId::RequestFailed;
}

std::string shortNumber(double value) { return Field("", value).Value; }

std::string inMilliseconds(Duration value) { return Field("", value).Value; }

// "u1 known age=2.10 busy=1.00 slow=1.00 expected=60.00: answered 200 in 63.20"
std::string describe(const AttemptRecord &it) {
  std::string out = it.Upstream + " " + nameOf(it.Why.Knowledge);
  out += it.Why.IsHedge ? " hedge" : "";
  out += it.Why.IsRetry ? " repeat" : "";
  out += it.Why.IsCold ? " cold" : "";
  if (it.Why.ReportAge != Duration::max()) {
    out += " age=" + inMilliseconds(it.Why.ReportAge);
  }
  out += " busy=" + shortNumber(it.Why.ExpectedInFlight) +
         " slow=" + shortNumber(it.Why.ExpectedSlowness) +
         " expected=" + inMilliseconds(it.Why.ExpectedTime) + ": ";
  if (!it.Over) {
    return out + "running";
  }
  out += nameOf(it.End);
  if (it.Status != 0) {
    out += " " + std::to_string(it.Status);
  }
  out += " in " + inMilliseconds(it.Took);
  return it.Error.empty() ? out : out + " (" + it.Error + ")";
}

std::string describe(const std::vector<AttemptRecord> &attempts) {
  std::string out;
  for (const AttemptRecord &it : attempts) {
    out += (out.empty() ? "" : "; ") + describe(it);
  }
  return out;
}

std::string describe(const balance::UpstreamSummary &it) {
  return "in-service=" + std::to_string(it.InService) +
         " ejected=" + std::to_string(it.Ejected) +
         " cold=" + std::to_string(it.Cold) +
         " full=" + std::to_string(it.Full) +
         " slow=" + std::to_string(it.Slow) +
         " unknown=" + std::to_string(it.Stale) +
         " waiting=" + std::to_string(it.Queued) +
         " retry-tokens=" + shortNumber(it.RetryTokens);
}

} // namespace

RequestEvent eventOf(const RequestRecord &record, const RequestEnd &end,
                     Instant now) {
  switch (end.What) {
  case RequestEnd::How::Gone:
    return RequestEvent::Gone;
  case RequestEnd::How::Refused:
    return end.Outcome == balance::Execution::DidNotRun ? RequestEvent::Refused
                                                        : RequestEvent::Failed;
  case RequestEnd::How::Delivered:
    break;
  }
  if (end.Status >= FirstServerError) {
    return RequestEvent::Failed;
  }
  const bool usual =
      record.Attempts.size() == 1 && now - record.Arrived <= record.Target;
  return usual ? RequestEvent::Served : RequestEvent::Slow;
}

void RequestLog::write(const RequestRecord &record, const RequestEnd &end,
                       Instant now) {
  const RequestEvent event = eventOf(record, end, now);
  const EventId id = idOf(event);
  if (!isLogged(id)) {
    return;
  }
  if (event == RequestEvent::Served) {
    tellLeftOut(now);
    if (++Listed > ServedLinesPerSecond) {
      ++LeftOut;
      return;
    }
  }
  std::vector<Field> fields{
      {"id", record.Id},       {"service", record.Service},
      {"route", record.Route}, {"version", record.Version},
      {"status", end.Status},  {"total_ms", now - record.Arrived}};
  if (!record.Attempts.empty()) {
    fields.emplace_back("wait_ms",
                        record.Attempts.front().Started - record.Arrived);
  }
  if (event != RequestEvent::Served) {
    fields.emplace_back("allowed_ms", record.Allowed);
  }
  if (end.What == RequestEnd::How::Refused) {
    fields.emplace_back("reason", end.Reason);
    fields.emplace_back("outcome", nameOf(end.Outcome));
    if (end.Outcome == balance::Execution::DidNotRun) {
      fields.emplace_back("retry_after_ms", end.RetryAfter);
    }
  }
  if (end.Seen != nullptr) {
    fields.emplace_back("upstreams", describe(*end.Seen));
  }
  fields.emplace_back("tries", describe(record.Attempts));
  logEvent(id, fields);
}

void RequestLog::tellLeftOut(Instant now) {
  if (now - SecondBegan < std::chrono::seconds{1}) {
    return;
  }
  if (LeftOut > 0) {
    logEvent(EventId::RequestsNotListed, {{"count", LeftOut}});
  }
  SecondBegan = now;
  Listed = 0;
  LeftOut = 0;
}

} // namespace zinniarail::proxy
