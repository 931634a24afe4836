#include "deployment/Deployment.h"

#include <algorithm>
#include <csignal>

#include <boost/json.hpp>

#include "zinniarail/core/DurationText.h"

namespace zinniarail::standins {

namespace {

namespace json = boost::json;

// The third octet of an address, by the role of its process or link.
constexpr unsigned StoreGroup = 30;
constexpr unsigned InstanceGroup = 20;
constexpr unsigned UpstreamGroup = 31;
constexpr unsigned CallerLinkGroup = 60;
constexpr unsigned StoreLinkGroup = 61;
constexpr unsigned UpstreamLinkGroup = 62;

constexpr unsigned StorePort = 7000;
constexpr unsigned CallerPort = 8080;
constexpr unsigned ReadyPort = 8081;
constexpr unsigned DirectoryPort = 8082;
constexpr unsigned PeerPort = 8083;
constexpr unsigned OperatorPort = 8084;
constexpr unsigned UpstreamPort = 9000;

constexpr const char *Host = "orders.example";

// Time for a process to exit after SIGTERM before it is killed.
constexpr std::chrono::seconds ExitTimeout{8};

json::object makeRule(const RouteSpec &route) {
  return {{"name", "route" + route.Path},
          {"kind", route.Idempotent ? "safe" : "unsafe"},
          {"target_latency", formatDuration(route.LatencyTarget)},
          {"priority", route.Priority},
          {"match", {{"path_prefix", route.Path}}},
          {"action",
           {{"service", route.Service},
            {"timeout", formatDuration(route.Deadline)},
            {"max_attempts", 2}}}};
}

// The body of a route's requests.
std::string bodyOf(const RouteSpec &route) {
  if (route.Idempotent) {
    return "";
  }
  return route.BodyBytes > 0 ? std::string(route.BodyBytes, 'u') : "an order";
}

} // namespace

Deployment::Deployment(struct ev_loop *loop, DeploymentPlan plan)
    : Plan(std::move(plan)), TheStore(loop, Plan.Seed), Loop(loop) {}

Deployment::~Deployment() {
  for (RunningInstance &it : Instances) {
    it.Child.signal(SIGCONT);
    it.Child.signal(SIGTERM);
  }
  for (RunningInstance &it : Instances) {
    if (it.Child.isRunning()) {
      it.Child.wait(ExitTimeout); // ~Process kills it if it has not exited.
    }
  }
}

std::string Deployment::address(unsigned group, std::size_t n,
                                unsigned port) const {
  return "127." + std::to_string(Plan.Net) + "." + std::to_string(group) + "." +
         std::to_string(n + 1) + ":" + std::to_string(port);
}

std::string Deployment::start() {
  if (!TheStore.listen(address(StoreGroup, 0, StorePort))) {
    return "cannot listen on " + address(StoreGroup, 0, StorePort);
  }
  writeConfiguration(1, Plan.Routes);
  if (std::string error = startUpstreams(); !error.empty()) {
    return error;
  }
  if (std::string error = prepareInstances(); !error.empty()) {
    return error;
  }
  for (std::size_t n = 0; n < Instances.size(); ++n) {
    if (!startInstance(n, true)) {
      return "cannot start " + Plan.Program;
    }
  }
  return "";
}

std::string Deployment::startUpstreams() {
  for (const ServiceSpec &service : Plan.Services) {
    for (unsigned k = 0; k < service.UpstreamCount; ++k) {
      std::string error = startUpstream(service, k, "v1", Duration{0});
      if (!error.empty()) {
        return error;
      }
    }
  }
  return "";
}

std::string Deployment::startUpstream(const ServiceSpec &service, unsigned k,
                                      const std::string &version,
                                      Duration warmup) {
  const std::size_t n = Upstreams.size();
  UpstreamConfig config;
  config.Service = service.Name;
  config.Domain = Plan.Domains[k % Plan.Domains.size()];
  config.Address = address(UpstreamGroup, n, UpstreamPort);
  config.MeanServiceTime = service.ServiceTime;
  config.Warmup = warmup;
  config.Version = version;
  if (Plan.HasLinks) {
    config.RegisteredAddress = address(UpstreamLinkGroup, n, UpstreamPort);
    UpstreamLinks.push_back(
        std::make_unique<Link>(Loop, config.RegisteredAddress, config.Address));
    if (!UpstreamLinks.back()->listen()) {
      return "cannot listen on " + config.RegisteredAddress;
    }
  }
  const std::string suffix = version == "v1" ? "" : "-" + version;
  Upstreams.push_back(std::make_unique<Upstream>(
      Loop, TheStore, Executions, config,
      service.Name + "-" + std::to_string(k) + suffix, Plan.Seed + n));
  if (!Upstreams.back()->start()) {
    return "cannot listen on " + config.Address;
  }
  // The first upstreams have started without a warm-up; they warm up after each
  // restart.
  Upstreams.back()->Config.Warmup = Plan.Settings.Warmup;
  return "";
}

std::optional<std::size_t>
Deployment::startVersion(const std::string &service,
                         const std::string &version) {
  const std::size_t first = Upstreams.size();
  for (const ServiceSpec &it : Plan.Services) {
    for (unsigned k = 0; it.Name == service && k < it.UpstreamCount; ++k) {
      if (!startUpstream(it, k, version, Plan.Settings.Warmup).empty()) {
        return std::nullopt;
      }
    }
  }
  return first;
}

void Deployment::orderRollout(const std::string &service,
                              const std::string &version, Duration limit) {
  TheStore.put("rollouts", service,
               json::object{{"service", service},
                            {"target_version", version},
                            {"duration", formatDuration(limit)}});
}

std::string Deployment::prepareInstances() {
  for (std::size_t n = 0; n < Plan.InstanceCount; ++n) {
    RunningInstance &it = Instances.emplace_back();
    it.Id = "instance-" + std::to_string(n + 1);
    it.Domain = Plan.Domains[n % Plan.Domains.size()];
    it.CallerAddress = address(InstanceGroup, n, CallerPort);
    it.ReadyAddress = address(InstanceGroup, n, ReadyPort);
    it.DirectoryAddress = address(InstanceGroup, n, DirectoryPort);
    it.PeerAddress = address(InstanceGroup, n, PeerPort);
    it.OperatorAddress = address(InstanceGroup, n, OperatorPort);
    if (Plan.HasLinks) {
      it.CallerLink = std::make_unique<Link>(
          Loop, address(CallerLinkGroup, n, CallerPort), it.CallerAddress);
      it.StoreLink =
          std::make_unique<Link>(Loop, address(StoreLinkGroup, n, StorePort),
                                 address(StoreGroup, 0, StorePort));
      for (Link *link : {it.CallerLink.get(), it.StoreLink.get()}) {
        if (!link->listen()) {
          return "cannot listen on " + link->address();
        }
      }
    }
  }
  return "";
}

// Both builds run in each failure domain.
const std::string &Deployment::programOf(const RunningInstance &it,
                                         std::size_t n) const {
  const std::size_t group = n / Plan.Domains.size();
  const bool isOther =
      !Plan.OtherProgram.empty() && (group + it.StartCount) % 2 == 0;
  return isOther ? Plan.OtherProgram : Plan.Program;
}

std::vector<std::string> Deployment::makeCommand(const RunningInstance &it,
                                                 std::size_t n,
                                                 bool isFirstStart) const {
  const FleetSettings &settings = Plan.Settings;
  const std::string store = Plan.HasLinks ? it.StoreLink->address()
                                          : address(StoreGroup, 0, StorePort);
  std::string seeds;
  for (std::size_t k = 0; k < std::min<std::size_t>(3, Plan.InstanceCount);
       ++k) {
    seeds += (k == 0 ? "" : ",") + address(InstanceGroup, k, PeerPort);
  }
  return {programOf(it, n),
          "--instance-id=" + it.Id,
          "--failure-domain=" + it.Domain,
          "--caller-address=" + it.CallerAddress,
          "--ready-address=" + it.ReadyAddress,
          "--directory-address=" + it.DirectoryAddress,
          "--peer-address=" + it.PeerAddress,
          "--operator-address=" + it.OperatorAddress,
          "--store-address=" + store,
          "--seeds=" + seeds,
          "--stop-timeout=" + formatDuration(settings.StopTimeout),
          "--retry-ratio=" + std::to_string(settings.RetryRatio),
          "--extra-retries=" + std::to_string(settings.ExtraRetries),
          "--cold-overshoot=" + std::to_string(settings.ColdOvershoot),
          "--cold-slack=" + std::to_string(settings.ColdSlack),
          "--probes-per-second=" + std::to_string(settings.ProbesPerSecond),
          "--quota-overshoot=" + std::to_string(settings.QuotaOvershoot),
          "--quota-slack=" + std::to_string(settings.QuotaSlack),
          "--exposure-share=" + std::to_string(settings.ExposureShare),
          "--exposure-slack=" + std::to_string(settings.ExposureSlack),
          std::string("--first-start=") + (isFirstStart ? "true" : "false")};
}

bool Deployment::startInstance(std::size_t n, bool isFirstStart) {
  RunningInstance &it = Instances[n];
  ++it.StartCount;
  const std::string log =
      Plan.LogFolder.empty() ? "" : Plan.LogFolder + "/" + it.Id + ".log";
  return it.Child.start(makeCommand(it, n, isFirstStart), log);
}

void Deployment::startCallers() {
  for (std::size_t d = 0; d < Plan.Domains.size(); ++d) {
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (std::size_t n = 0; n < Instances.size(); ++n) {
      (Instances[n].Domain == Plan.Domains[d] ? near : far)
          .push_back(Instances[n].DirectoryAddress);
    }
    near.insert(near.end(), far.begin(), far.end());
    auto callers =
        std::make_unique<Callers>(Loop, near, Plan.Domains[d], Plan.Seed + d);
    // The callers of one failure domain cache resolved addresses for three
    // times their TTL.
    callers->TtlFactor = d == 1 ? 3 : 1;
    if (Plan.HasLinks) {
      callers->TranslateAddress = [this](const std::string &resolved) {
        const std::size_t n = indexOf(resolved);
        const auto replacement = AddressOverrides.find(n);
        return replacement == AddressOverrides.end()
                   ? Instances[n].CallerLink->address()
                   : replacement->second;
      };
    }
    for (const RouteSpec &it : Plan.Routes) {
      if (it.RequestsPerSecond > 0) {
        RequestKind kind{Host,
                         it.Path,
                         it.Idempotent ? "GET" : "POST",
                         it.Idempotent,
                         it.RequestsPerSecond /
                             static_cast<double>(Plan.Domains.size()),
                         it.Deadline,
                         bodyOf(it)};
        if (!Plan.Customers.empty()) {
          // Each failure domain has the callers of one customer. They name
          // another one.
          const CustomerSpec &own = Plan.Customers[d % Plan.Customers.size()];
          kind.ApiKey = own.Keys.front();
          kind.Customer = own.Name;
          kind.ClaimedCustomer =
              Plan.Customers[(d + 1) % Plan.Customers.size()].Name;
        }
        callers->startSending(kind);
      }
    }
    CallerGroups.push_back(std::move(callers));
  }
}

void Deployment::stopCallers() {
  for (auto &it : CallerGroups) {
    it->stopSending();
  }
}

void Deployment::writeConfiguration(std::uint64_t version,
                                    const std::vector<RouteSpec> &routes) {
  json::array rules;
  for (const RouteSpec &it : routes) {
    rules.push_back(makeRule(it));
  }
  json::array services;
  for (const ServiceSpec &it : Plan.Services) {
    services.push_back({{"name", it.Name},
                        {"health_check_path", "/health"},
                        {"connection_limit", 220},
                        {"warmup", formatDuration(Plan.Settings.Warmup)},
                        {"warmup_per_s", Plan.Settings.WarmupPerSecond}});
  }
  json::array customers;
  for (const CustomerSpec &it : Plan.Customers) {
    customers.push_back(
        {{"name", it.Name},
         {"api_keys", json::array(it.Keys.begin(), it.Keys.end())},
         {"rate_per_s", it.RatePerSecond},
         {"burst", it.Burst}});
  }
  TheStore.put(
      "config", "main",
      json::object{{"version", version},
                   {"tenants", std::move(customers)},
                   {"listeners",
                    json::array{{{"host", Host}, {"rules", std::move(rules)}}}},
                   {"clusters", std::move(services)},
                   {"limits",
                    {{"max_header_bytes", 16384},
                     {"max_body_bytes", Plan.Settings.MaxBodyBytes},
                     {"header_timeout", "3s"},
                     {"idle_timeout", "15s"}}}});
}

void Deployment::setEvacuated(const std::string &domain, bool isEvacuated) {
  if (isEvacuated) {
    TheStore.put("evacuations", domain, json::object{{"zone", domain}});
  } else {
    TheStore.remove("evacuations", domain);
  }
}

std::size_t Deployment::openRequests() const {
  std::size_t open = 0;
  for (const auto &it : CallerGroups) {
    open += it->pendingRequests();
  }
  return open;
}

CallerTally Deployment::tally() const {
  CallerTally all;
  for (const auto &callers : CallerGroups) {
    const CallerTally &it = callers->Tally;
    all.Issued += it.Issued;
    all.Served += it.Served;
    all.Refused += it.Refused;
    all.Failed += it.Failed;
    all.ConnectionLost += it.ConnectionLost;
    all.NotSent += it.NotSent;
    all.TimedOut += it.TimedOut;
    all.Mismatched += it.Mismatched;
    all.Latencies.insert(all.Latencies.end(), it.Latencies.begin(),
                         it.Latencies.end());
  }
  std::sort(all.Latencies.begin(), all.Latencies.end());
  return all;
}

std::vector<const Callers *> Deployment::callers() const {
  std::vector<const Callers *> all;
  for (const auto &it : CallerGroups) {
    all.push_back(it.get());
  }
  return all;
}

std::size_t Deployment::indexOf(const std::string &callerAddress) const {
  const auto it = std::find_if(Instances.begin(), Instances.end(),
                               [&](const auto &instance) {
                                 return instance.CallerAddress == callerAddress;
                               });
  return static_cast<std::size_t>(it - Instances.begin());
}

} // namespace zinniarail::standins
