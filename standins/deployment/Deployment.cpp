#include "deployment/Deployment.h"

#include <algorithm>
#include <csignal>

#include <boost/json.hpp>

#include "zinniarail/core/DurationText.h"

namespace zinniarail::standins {

namespace {

namespace json = boost::json;

// The third number of an address says what it belongs to.
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

// How long a process gets to end by itself before it is killed.
constexpr std::chrono::seconds EndTime{8};

json::object ruleOf(const RouteKind &route) {
  return {{"name", "route" + route.Path},
          {"kind", route.Idempotent ? "safe" : "unsafe"},
          {"target_latency", formatDuration(route.Target)},
          {"priority", route.Priority},
          {"match", {{"path_prefix", route.Path}}},
          {"action",
           {{"service", route.Service},
            {"timeout", formatDuration(route.Deadline)},
            {"max_attempts", 2}}}};
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
      it.Child.wait(EndTime); // What is left is killed with its Process.
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
  configure(1, Plan.Routes);
  if (std::string fault = startUpstreams(); !fault.empty()) {
    return fault;
  }
  if (std::string fault = prepareInstances(); !fault.empty()) {
    return fault;
  }
  for (std::size_t n = 0; n < Instances.size(); ++n) {
    if (!startInstance(n, true)) {
      return "cannot start " + Plan.Program;
    }
  }
  return "";
}

std::string Deployment::startUpstreams() {
  for (const ServiceKind &service : Plan.Services) {
    for (unsigned k = 0; k < service.Upstreams; ++k) {
      const std::size_t n = Upstreams.size();
      UpstreamNature nature;
      nature.Service = service.Name;
      nature.Domain = Plan.Domains[k % Plan.Domains.size()];
      nature.Address = address(UpstreamGroup, n, UpstreamPort);
      nature.Work = service.Work;
      if (Plan.Links) {
        nature.Registered = address(UpstreamLinkGroup, n, UpstreamPort);
        UpstreamLinks.push_back(
            std::make_unique<Link>(Loop, nature.Registered, nature.Address));
        if (!UpstreamLinks.back()->listen()) {
          return "cannot listen on " + nature.Registered;
        }
      }
      Upstreams.push_back(std::make_unique<Upstream>(
          Loop, TheStore, Done, nature, service.Name + "-" + std::to_string(k),
          Plan.Seed + n));
      if (!Upstreams.back()->start()) {
        return "cannot listen on " + nature.Address;
      }
      // Those of the beginning are warm, as before the first traffic.
      Upstreams.back()->Nature.Warmup = Plan.Bounds.Warmup;
    }
  }
  return "";
}

std::string Deployment::prepareInstances() {
  for (std::size_t n = 0; n < Plan.Instances; ++n) {
    RunningInstance &it = Instances.emplace_back();
    it.Id = "instance-" + std::to_string(n + 1);
    it.Domain = Plan.Domains[n % Plan.Domains.size()];
    it.CallerAddress = address(InstanceGroup, n, CallerPort);
    it.OperatorAddress = address(InstanceGroup, n, OperatorPort);
    if (Plan.Links) {
      it.FromCallers = std::make_unique<Link>(
          Loop, address(CallerLinkGroup, n, CallerPort), it.CallerAddress);
      it.ToStore =
          std::make_unique<Link>(Loop, address(StoreLinkGroup, n, StorePort),
                                 address(StoreGroup, 0, StorePort));
      for (Link *link : {it.FromCallers.get(), it.ToStore.get()}) {
        if (!link->listen()) {
          return "cannot listen on " + link->address();
        }
      }
    }
  }
  return "";
}

std::vector<std::string> Deployment::settingsOf(const RunningInstance &it,
                                                std::size_t n,
                                                bool first) const {
  const SharedBounds &bounds = Plan.Bounds;
  const std::string store =
      Plan.Links ? it.ToStore->address() : address(StoreGroup, 0, StorePort);
  std::string seeds;
  for (std::size_t k = 0; k < std::min<std::size_t>(3, Plan.Instances); ++k) {
    seeds += (k == 0 ? "" : ",") + address(InstanceGroup, k, PeerPort);
  }
  return {Plan.Program,
          "--instance-id=" + it.Id,
          "--failure-domain=" + it.Domain,
          "--caller-address=" + it.CallerAddress,
          "--ready-address=" + address(InstanceGroup, n, ReadyPort),
          "--directory-address=" + address(InstanceGroup, n, DirectoryPort),
          "--peer-address=" + address(InstanceGroup, n, PeerPort),
          "--operator-address=" + it.OperatorAddress,
          "--store-address=" + store,
          "--seeds=" + seeds,
          "--stop-timeout=" + formatDuration(bounds.StopTimeout),
          "--retry-ratio=" + std::to_string(bounds.RetryRatio),
          "--extra-retries=" + std::to_string(bounds.ExtraRetries),
          "--cold-overshoot=" + std::to_string(bounds.ColdOvershoot),
          "--cold-slack=" + std::to_string(bounds.ColdSlack),
          "--probes-per-second=" + std::to_string(bounds.ProbesPerSecond),
          std::string("--first-start=") + (first ? "true" : "false")};
}

bool Deployment::startInstance(std::size_t n, bool first) {
  RunningInstance &it = Instances[n];
  ++it.Starts;
  const std::string log =
      Plan.Logs.empty() ? "" : Plan.Logs + "/" + it.Id + ".log";
  return it.Child.start(settingsOf(it, n, first), log);
}

void Deployment::startCallers() {
  for (std::size_t d = 0; d < Plan.Domains.size(); ++d) {
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (std::size_t n = 0; n < Instances.size(); ++n) {
      (Instances[n].Domain == Plan.Domains[d] ? near : far)
          .push_back(address(InstanceGroup, n, DirectoryPort));
    }
    near.insert(near.end(), far.begin(), far.end());
    auto callers =
        std::make_unique<Callers>(Loop, near, Plan.Domains[d], Plan.Seed + d);
    // Some keep what they were told far longer than they should.
    callers->KeepTimes = d == 1 ? 3 : 1;
    if (Plan.Links) {
      callers->ConnectTo = [this](const std::string &resolved) {
        const std::size_t n = indexOf(resolved);
        const auto detour = Detours.find(n);
        return detour == Detours.end() ? Instances[n].FromCallers->address()
                                       : detour->second;
      };
    }
    for (const RouteKind &it : Plan.Routes) {
      if (it.PerSecond > 0) {
        callers->begin({Host, it.Path, it.Idempotent ? "GET" : "POST",
                        it.Idempotent,
                        it.PerSecond / static_cast<double>(Plan.Domains.size()),
                        it.Deadline, it.Idempotent ? "" : "an order"});
      }
    }
    AllCallers.push_back(std::move(callers));
  }
}

void Deployment::endCallers() {
  for (auto &it : AllCallers) {
    it->end();
  }
}

void Deployment::configure(std::uint64_t version,
                           const std::vector<RouteKind> &routes) {
  json::array rules;
  for (const RouteKind &it : routes) {
    rules.push_back(ruleOf(it));
  }
  json::array services;
  for (const ServiceKind &it : Plan.Services) {
    services.push_back({{"name", it.Name},
                        {"health_check_path", "/health"},
                        {"connection_limit", 220},
                        {"warmup", formatDuration(Plan.Bounds.Warmup)},
                        {"warmup_per_s", Plan.Bounds.WarmupPerSecond}});
  }
  TheStore.put(
      "config", "main",
      json::object{{"version", version},
                   {"listeners",
                    json::array{{{"host", Host}, {"rules", std::move(rules)}}}},
                   {"clusters", std::move(services)},
                   {"limits",
                    {{"max_header_bytes", 16384},
                     {"max_body_bytes", 1 << 20},
                     {"header_timeout", "3s"},
                     {"idle_timeout", "15s"}}}});
}

void Deployment::evacuate(const std::string &domain, bool out) {
  if (out) {
    TheStore.put("evacuations", domain, json::object{{"zone", domain}});
  } else {
    TheStore.remove("evacuations", domain);
  }
}

std::size_t Deployment::openRequests() const {
  std::size_t open = 0;
  for (const auto &it : AllCallers) {
    open += it->open();
  }
  return open;
}

CallerTally Deployment::tally() const {
  CallerTally all;
  for (const auto &callers : AllCallers) {
    const CallerTally &it = callers->Tally;
    all.Asked += it.Asked;
    all.Served += it.Served;
    all.Refused += it.Refused;
    all.Failed += it.Failed;
    all.Lost += it.Lost;
    all.Unreached += it.Unreached;
    all.Late += it.Late;
    all.Wrong += it.Wrong;
    all.Times.insert(all.Times.end(), it.Times.begin(), it.Times.end());
  }
  std::sort(all.Times.begin(), all.Times.end());
  return all;
}

std::vector<const Callers *> Deployment::callers() const {
  std::vector<const Callers *> all;
  for (const auto &it : AllCallers) {
    all.push_back(it.get());
  }
  return all;
}

std::size_t Deployment::indexOf(const std::string &callerAddress) const {
  const auto it =
      std::find_if(Instances.begin(), Instances.end(), [&](const auto &any) {
        return any.CallerAddress == callerAddress;
      });
  return static_cast<std::size_t>(it - Instances.begin());
}

} // namespace zinniarail::standins
