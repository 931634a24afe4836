#include "proxy/Metrics.h"

namespace zinniarail::proxy {

namespace {

// Seconds, from a health check to a long deadline.
const prometheus::Histogram::BucketBoundaries RequestBuckets{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0};
const prometheus::Histogram::BucketBoundaries WaitBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0};

prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &registry, const char *name, const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &
gauges(prometheus::Registry &registry, const char *name, const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &
histograms(prometheus::Registry &registry, const char *name, const char *help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

const char *outcomeOf(RequestEvent event) {
  switch (event) {
  case RequestEvent::Served:
    return "served";
  case RequestEvent::Slow:
    return "slow";
  case RequestEvent::Refused:
    return "refused";
  case RequestEvent::Failed:
    return "failed";
  case RequestEvent::Gone:
    return "caller-gone";
  }
  return "";
}

double inSeconds(Duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

Metrics::Metrics(prometheus::Registry &registry)
    : Requests(counters(registry, "zinniarail_requests_total",
                        "Requests by how they ended")),
      Seconds(histograms(registry, "zinniarail_request_seconds",
                         "From a whole request to its answer")),
      WaitSeconds(histograms(registry, "zinniarail_wait_seconds",
                             "From a whole request to each try")),
      Attempts(counters(registry, "zinniarail_attempts_total",
                        "Tries on upstreams by how they ended")),
      Repeats(counters(registry, "zinniarail_repeats_total",
                       "Tries beyond a request's first")),
      ColdRequests(counters(registry, "zinniarail_cold_requests_total",
                            "Tries on upstreams that were cold")),
      Probes(counters(registry, "zinniarail_health_checks_total",
                      "Health checks of upstreams")),
      Ejections(counters(registry, "zinniarail_ejections_total",
                         "Upstreams taken out until a health check")),
      Open(gauges(registry, "zinniarail_requests_open",
                  "Requests without their answer")),
      Waiting(gauges(registry, "zinniarail_requests_waiting",
                     "Requests that wait for an upstream")),
      RetryTokens(gauges(registry, "zinniarail_retry_tokens",
                         "Repeats that may be sent now")) {}

void Metrics::noteEnd(const RequestRecord &record, const RequestEnd &end,
                      Instant now) {
  const RequestEvent event = eventOf(record, end, now);
  const Labels labels{{"service", record.Service}, {"route", record.Route}};
  Labels full = labels;
  full["outcome"] = outcomeOf(event);
  full["reason"] = end.Reason;
  Requests.Add(full).Increment();
  if (end.What == RequestEnd::How::Delivered) {
    Seconds.Add(labels, RequestBuckets)
        .Observe(inSeconds(now - record.Arrived));
  }
}

void Metrics::noteStart(const std::string &service,
                        const balance::PlacementReason &why, Duration waited) {
  const Labels labels{{"service", service}};
  WaitSeconds.Add(labels, WaitBuckets).Observe(inSeconds(waited));
  if (why.IsHedge || why.IsRetry) {
    Repeats
        .Add({{"service", service}, {"kind", why.IsHedge ? "hedge" : "retry"}})
        .Increment();
  }
  if (why.IsCold) {
    ColdRequests.Add(labels).Increment();
  }
}

void Metrics::noteAttempt(const std::string &service, balance::AttemptEnd end) {
  Attempts.Add({{"service", service}, {"end", nameOf(end)}}).Increment();
}

void Metrics::noteProbe(const std::string &service) {
  Probes.Add({{"service", service}}).Increment();
}

void Metrics::noteEjection(const std::string &service) {
  Ejections.Add({{"service", service}}).Increment();
}

void Metrics::show(const std::string &service, std::size_t open,
                   std::size_t waiting, double retryTokens) {
  const Labels labels{{"service", service}};
  Open.Add(labels).Set(static_cast<double>(open));
  Waiting.Add(labels).Set(static_cast<double>(waiting));
  RetryTokens.Add(labels).Set(retryTokens);
}

} // namespace zinniarail::proxy
