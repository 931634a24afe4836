#include "proxy/Metrics.h"

namespace zinniarail::proxy {

namespace {

// Bucket boundaries for the duration of requests in seconds, from the duration
// of a health check to that of a long deadline.
const prometheus::Histogram::BucketBoundaries RequestBuckets{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0};

// Bucket boundaries for the time that a request waits before an attempt, in
// seconds.
const prometheus::Histogram::BucketBoundaries WaitBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0};

prometheus::Family<prometheus::Counter> &
addCounterFamily(prometheus::Registry &registry, const char *name,
                 const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &
addGaugeFamily(prometheus::Registry &registry, const char *name,
               const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &
addHistograms(prometheus::Registry &registry, const char *name,
              const char *help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

const char *outcomeLabel(RequestEvent event) {
  switch (event) {
  case RequestEvent::Served:
    return "served";
  case RequestEvent::Slow:
    return "slow";
  case RequestEvent::Refused:
    return "refused";
  case RequestEvent::Failed:
    return "failed";
  case RequestEvent::CallerGone:
    return "caller-gone";
  }
  return "";
}

double toSeconds(Duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

Metrics::Metrics(prometheus::Registry &registry)
    : Requests(addCounterFamily(registry, "zinniarail_requests_total",
                                "Requests by how they ended")),
      RequestSeconds(addHistograms(registry, "zinniarail_request_seconds",
                                   "From a whole request to its answer")),
      WaitSeconds(addHistograms(registry, "zinniarail_wait_seconds",
                                "From a whole request to each try")),
      Attempts(addCounterFamily(registry, "zinniarail_attempts_total",
                                "Tries on upstreams by how they ended")),
      RetriesAndHedges(addCounterFamily(registry, "zinniarail_repeats_total",
                                        "Tries beyond a request's first")),
      ColdRequests(addCounterFamily(registry, "zinniarail_cold_requests_total",
                                    "Tries on upstreams that were cold")),
      Relays(addCounterFamily(registry, "zinniarail_relays_total",
                              "Requests sent to other instances")),
      Probes(addCounterFamily(registry, "zinniarail_health_checks_total",
                              "Health checks of upstreams")),
      Ejections(addCounterFamily(registry, "zinniarail_ejections_total",
                                 "Upstreams taken out until a health check")),
      OpenRequests(addGaugeFamily(registry, "zinniarail_requests_open",
                                  "Requests without their answer")),
      WaitingRequests(addGaugeFamily(registry, "zinniarail_requests_waiting",
                                     "Requests that wait for an upstream")),
      RetryTokens(addGaugeFamily(registry, "zinniarail_retry_tokens",
                                 "Repeats that may be sent now")) {}

void Metrics::recordRequestEnd(const RequestRecord &record,
                               const RequestEnd &end, Instant now) {
  const RequestEvent event = eventOf(record, end, now);
  const Labels labels{{"service", record.Service}, {"route", record.Route}};
  Labels requestLabels = labels;
  requestLabels["outcome"] = outcomeLabel(event);
  requestLabels["reason"] = end.Reason;
  Requests.Add(requestLabels).Increment();
  if (end.Kind == RequestEnd::EndKind::Delivered) {
    RequestSeconds.Add(labels, RequestBuckets)
        .Observe(toSeconds(now - record.ArrivedAt));
  }
}

void Metrics::recordAttemptStart(const std::string &service,
                                 const balance::PlacementReason &reason,
                                 Duration waited) {
  const Labels labels{{"service", service}};
  WaitSeconds.Add(labels, WaitBuckets).Observe(toSeconds(waited));
  if (reason.IsHedge || reason.IsRetry) {
    RetriesAndHedges
        .Add({{"service", service},
              {"kind", reason.IsHedge ? "hedge" : "retry"}})
        .Increment();
  }
  if (reason.IsCold) {
    ColdRequests.Add(labels).Increment();
  }
}

void Metrics::recordAttemptEnd(const std::string &service,
                               balance::AttemptEnd end) {
  Attempts.Add({{"service", service}, {"end", nameOf(end)}}).Increment();
}

void Metrics::recordRelay(const std::string &service, balance::AttemptEnd end) {
  Relays.Add({{"service", service}, {"end", nameOf(end)}}).Increment();
}

void Metrics::recordProbe(const std::string &service) {
  Probes.Add({{"service", service}}).Increment();
}

void Metrics::recordEjection(const std::string &service) {
  Ejections.Add({{"service", service}}).Increment();
}

void Metrics::setGauges(const std::string &service, std::size_t open,
                        std::size_t waiting, double retryTokens) {
  const Labels labels{{"service", service}};
  OpenRequests.Add(labels).Set(static_cast<double>(open));
  WaitingRequests.Add(labels).Set(static_cast<double>(waiting));
  RetryTokens.Add(labels).Set(retryTokens);
}

} // namespace zinniarail::proxy
