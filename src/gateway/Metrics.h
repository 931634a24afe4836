/// \file
/// What the gateway counts, by service.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "zinniarail/dispatch/Messages.h"

namespace zinniarail::gateway {

/// The counters of one service.
struct ServiceMetrics {
  prometheus::Counter *Delivered = nullptr;
  prometheus::Counter *Gone = nullptr;             ///< The caller went away.
  std::array<prometheus::Counter *, 11> Refused{}; ///< By RefusalReason.
  prometheus::Counter *Attempts = nullptr;
  prometheus::Counter *Hedges = nullptr;
  prometheus::Counter *Retries = nullptr;
  prometheus::Counter *Broken = nullptr;
  prometheus::Counter *RefusedUnrun = nullptr;
  prometheus::Counter *Probes = nullptr;
  prometheus::Counter *Forwards = nullptr;
  prometheus::Histogram *Latency = nullptr;
  prometheus::Gauge *Open = nullptr;
  prometheus::Gauge *Queued = nullptr;
  prometheus::Gauge *Cold = nullptr;
  prometheus::Gauge *ProbeBudget = nullptr;
};

/// Makes and keeps the counters. The registry must outlive it.
class GatewayMetrics {
public:
  explicit GatewayMetrics(prometheus::Registry &registry);

  /// The counters of a service; they stay where they are.
  ServiceMetrics &of(const std::string &service);

  prometheus::Gauge &ViewAge; ///< Seconds since the last confirmation.
  prometheus::Gauge &Version; ///< Of the document in force.
  prometheus::Gauge &Callers; ///< Open connections from callers.

private:
  prometheus::Registry &Registry;
  std::map<std::string, ServiceMetrics> Services;
};

} // namespace zinniarail::gateway
