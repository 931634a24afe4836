#include "gateway/Metrics.h"

namespace zinniarail::gateway {

namespace {

// Seconds. Fine where an added millisecond shows, up to the default deadline.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032,
    0.064,  0.128, 0.256, 0.512, 1.0,   2.0};

using Labels = prometheus::Labels;

prometheus::Gauge &addGauge(prometheus::Registry &registry, const char *name,
                            const char *help, const Labels &labels = {}) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      labels);
}

prometheus::Counter &addCounter(prometheus::Registry &registry,
                                const char *name, const char *help,
                                const Labels &labels) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add(labels);
}

void addRequests(prometheus::Registry &registry, const std::string &service,
                 ServiceMetrics &it) {
  const auto add = [&](const char *outcome, const char *reason) {
    return &addCounter(
        registry, "zinniarail_requests_total", "Requests by outcome",
        {{"service", service}, {"outcome", outcome}, {"reason", reason}});
  };
  it.Delivered = add("delivered", "");
  it.Gone = add("caller-gone", "");
  for (std::size_t n = 0; n < it.Refused.size(); ++n) {
    it.Refused[n] = add("refused", nameOf(static_cast<RefusalReason>(n)));
  }
}

} // namespace

GatewayMetrics::GatewayMetrics(prometheus::Registry &registry)
    : ViewAge(addGauge(registry, "zinniarail_view_age_seconds",
                       "Time since the view was last confirmed")),
      Version(addGauge(registry, "zinniarail_version_in_force",
                       "Version of the document in force")),
      Callers(addGauge(registry, "zinniarail_caller_connections",
                       "Open connections from callers")),
      Registry(registry) {}

ServiceMetrics &GatewayMetrics::of(const std::string &service) {
  const auto found = Services.find(service);
  if (found != Services.end()) {
    return found->second;
  }
  ServiceMetrics &it = Services[service];
  const Labels labels{{"service", service}};
  const auto count = [&](const char *name, const char *help) {
    return &addCounter(Registry, name, help, labels);
  };
  const auto gauge = [&](const char *name, const char *help) {
    return &addGauge(Registry, name, help, labels);
  };
  addRequests(Registry, service, it);
  it.Attempts = count("zinniarail_attempts_total", "Attempts on upstreams");
  it.Hedges = count("zinniarail_hedges_total", "Attempts that are hedges");
  it.Retries = count("zinniarail_retries_total",
                     "Attempts after a failed one of the same request");
  it.Broken = count("zinniarail_attempts_broken_total",
                    "Attempts sent that came to no whole answer of their own");
  it.RefusedUnrun = count("zinniarail_attempts_refused_total",
                          "Attempts that an upstream refused unrun");
  it.Probes = count("zinniarail_probes_total", "Load probes");
  it.Forwards = count("zinniarail_forwards_total", "Requests handed to a home");
  it.Open = gauge("zinniarail_requests_open", "Requests without an answer");
  it.Queued = gauge("zinniarail_requests_queued", "Requests that wait");
  it.Cold = gauge("zinniarail_upstreams_cold", "Upstreams in cold start");
  it.ProbeBudget =
      gauge("zinniarail_probe_budget", "Load probes a second, at most");
  it.Latency = &prometheus::BuildHistogram()
                    .Name("zinniarail_request_seconds")
                    .Help("From a request's arrival to its answer")
                    .Register(Registry)
                    .Add(labels, LatencyBuckets);
  return it;
}

} // namespace zinniarail::gateway
