#include "proxy/RequestLog.h"

#include "zinniarail/events/Events.h"

namespace zinniarail::proxy {

namespace {

// Limit of log lines per second and instance for requests that were served in
// time. A sample shows the usual case; logging all of them is not worth its
// cost.
constexpr unsigned ServedLinesPerSecond = 20;

constexpr unsigned FirstServerError = 500;

EventId eventIdOf(RequestEvent event) {
  switch (event) {
  case RequestEvent::Served:
    return EventId::RequestServed;
  case RequestEvent::Slow:
    return EventId::RequestSlow;
  case RequestEvent::Refused:
    return EventId::RequestRefused;
  case RequestEvent::Failed:
    return EventId::RequestFailed;
  case RequestEvent::CallerGone:
    return EventId::RequestGone;
  }
  return EventId::RequestFailed;
}

std::string formatNumber(double value) { return Field("", value).Value; }

std::string formatMilliseconds(Duration value) {
  return Field("", value).Value;
}

// Formats an attempt, for example:
// "u1 known age=2.10 busy=1.00 slow=1.00 expected=60.00: answered 200 in 63.20"
std::string describe(const AttemptRecord &it) {
  std::string out = it.Upstream + " " + nameOf(it.Reason.Knowledge);
  out += it.Reason.IsHedge ? " hedge" : "";
  out += it.Reason.IsRetry ? " repeat" : "";
  out += it.Reason.IsCold ? " cold" : "";
  if (it.Reason.ReportAge != Duration::max()) {
    out += " age=" + formatMilliseconds(it.Reason.ReportAge);
  }
  out += " busy=" + formatNumber(it.Reason.ExpectedInFlight) +
         " slow=" + formatNumber(it.Reason.ExpectedSlowness) +
         " expected=" + formatMilliseconds(it.Reason.ExpectedTime) + ": ";
  if (!it.HasEnded) {
    return out + "running";
  }
  out += nameOf(it.End);
  if (it.Status != 0) {
    out += " " + std::to_string(it.Status);
  }
  out += " in " + formatMilliseconds(it.Elapsed);
  out += it.ReusedConnection ? " on a kept connection" : "";
  if (it.StrayResponses > 0) {
    out += " after " + std::to_string(it.StrayResponses) + " stray responses";
  }
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
         " refusing=" + std::to_string(it.Refusing) +
         " full=" + std::to_string(it.Full) +
         " slow=" + std::to_string(it.Slow) +
         " unknown=" + std::to_string(it.Stale) +
         " waiting=" + std::to_string(it.Queued) +
         " retry-tokens=" + formatNumber(it.RetryTokens) +
         " limited=" + std::to_string(it.Limited) +
         " expected-wait=" + formatMilliseconds(it.ExpectedWait);
}

} // namespace

RequestEvent eventOf(const RequestRecord &record, const RequestEnd &end,
                     Instant now) {
  switch (end.Kind) {
  case RequestEnd::EndKind::CallerGone:
    return RequestEvent::CallerGone;
  case RequestEnd::EndKind::Refused:
    return end.Outcome == balance::Execution::DidNotRun ? RequestEvent::Refused
                                                        : RequestEvent::Failed;
  case RequestEnd::EndKind::Delivered:
    break;
  }
  if (end.Status >= FirstServerError) {
    return RequestEvent::Failed;
  }
  const bool isServed = record.Attempts.size() == 1 &&
                        now - record.ArrivedAt <= record.TargetLatency;
  return isServed ? RequestEvent::Served : RequestEvent::Slow;
}

void RequestLog::write(const RequestRecord &record, const RequestEnd &end,
                       Instant now) {
  const RequestEvent event = eventOf(record, end, now);
  const EventId id = eventIdOf(event);
  if (!isLogged(id)) {
    return;
  }
  if (event == RequestEvent::Served) {
    logOmittedCount(now);
    if (++ServedRequests > ServedLinesPerSecond) {
      ++OmittedLines;
      return;
    }
  }
  std::vector<Field> fields{
      {"id", record.Id},       {"service", record.Service},
      {"route", record.Route}, {"version", record.ConfigVersion},
      {"status", end.Status},  {"total_ms", now - record.ArrivedAt}};
  if (!record.Customer.empty()) {
    fields.emplace_back("customer", record.Customer);
  }
  if (!record.Attempts.empty()) {
    fields.emplace_back("wait_ms",
                        record.Attempts.front().StartedAt - record.ArrivedAt);
  }
  if (event != RequestEvent::Served) {
    fields.emplace_back("allowed_ms", record.TimeAllowed);
    fields.emplace_back("fingerprint", record.Fingerprint);
  }
  if (end.Kind == RequestEnd::EndKind::Refused) {
    fields.emplace_back("reason", end.Reason);
    fields.emplace_back("outcome", nameOf(end.Outcome));
    if (end.Outcome == balance::Execution::DidNotRun) {
      fields.emplace_back("retry_after_ms", end.RetryAfter);
    }
  }
  if (end.Upstreams != nullptr) {
    fields.emplace_back("upstreams", describe(*end.Upstreams));
  }
  fields.emplace_back("tries", describe(record.Attempts));
  logEvent(id, fields);
}

void RequestLog::logOmittedCount(Instant now) {
  if (now - WindowStart < std::chrono::seconds{1}) {
    return;
  }
  if (OmittedLines > 0) {
    logEvent(EventId::RequestsNotListed, {{"count", OmittedLines}});
  }
  WindowStart = now;
  ServedRequests = 0;
  OmittedLines = 0;
}

} // namespace zinniarail::proxy
