/// \file
/// A test deployment on loopback: the store, upstreams and callers are
/// simulated in this process; each instance is a process that runs zinniaraild.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ev.h>

#include "caller/Callers.h"
#include "common/Process.h"
#include "link/Link.h"
#include "store/Store.h"
#include "upstream/Upstream.h"

namespace zinniarail::standins {

/// A service and its upstreams.
struct ServiceSpec {
  std::string Name;
  unsigned UpstreamCount = 4;
  Duration ServiceTime = std::chrono::milliseconds{20}; ///< Mean, per request.
};

/// A route of the configuration, and the requests that callers send on it.
struct RouteSpec {
  std::string Path; ///< Begins and ends with a slash.
  std::string Service;
  bool Idempotent = true;
  unsigned Priority = 1;
  double RequestsPerSecond = 20; ///< Sum over all callers; 0: none.
  Duration LatencyTarget = std::chrono::milliseconds{200};
  /// Timeout of the route, and deadline that callers set for their requests.
  Duration Deadline = std::chrono::milliseconds{1000};
  /// Length of the bodies of requests that are not idempotent; 0: a few bytes.
  std::size_t BodyBytes = 0;
};

/// A customer of the configuration.
struct CustomerSpec {
  std::string Name;
  std::vector<std::string> Keys;
  double RatePerSecond = 0; ///< 0: no limit.
  double Burst = 0;
};

/// Settings of the instances and of the service configurations. RetryRatio to
/// WarmupPerSecond are limits over all instances.
struct FleetSettings {
  double RetryRatio = 0.2;
  double ExtraRetries = 56;
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  double ProbesPerSecond = 60;
  double QuotaOvershoot = 0.1;
  double QuotaSlack = 20;
  double WarmupPerSecond = 14;
  double ExposureShare = 0; ///< 0: no roll-outs.
  double ExposureSlack = 0;
  Duration Warmup = std::chrono::milliseconds{2000};
  Duration StopTimeout = std::chrono::milliseconds{6000};
  std::size_t MaxBodyBytes = std::size_t{1} << 20; ///< Of a request.
};

/// Size and settings of a deployment.
struct DeploymentPlan {
  std::string Program; ///< The path of zinniaraild.
  /// The path of zinniaraild of another build; empty: none. Half of the
  /// instances of a failure domain start with it, and each changes to the other
  /// build with each restart.
  std::string OtherProgram;
  std::string LogFolder; ///< For the instances' logs; empty: no logs are kept.
  unsigned Net = 40;     ///< Second octet of all addresses, 127.Net.x.y.
  std::vector<std::string> Domains{"a", "b", "c"};
  unsigned InstanceCount = 6;
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<CustomerSpec> Customers; ///< Empty: callers need no keys.
  FleetSettings Settings;
  /// Puts a Link in front of each upstream and between each instance and its
  /// callers and the store.
  bool HasLinks = false;
  std::uint64_t Seed = 1;
};

/// One instance, its process and its links.
struct RunningInstance {
  std::string Id;
  std::string Domain;
  std::string CallerAddress;
  std::string ReadyAddress;
  std::string DirectoryAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  Process Child;
  unsigned StartCount = 0;
  std::unique_ptr<Link> CallerLink; ///< From callers; null without links.
  std::unique_ptr<Link> StoreLink;  ///< To the store; null without links.
};

/// Runs a deployment. Used on one thread, that of its loop. The destructor ends
/// the processes that it started.
class Deployment {
public:
  /// \param loop event loop; it must outlive the deployment.
  Deployment(struct ev_loop *loop, DeploymentPlan plan);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts everything but the callers.
  /// \returns the error; empty when everything was started.
  std::string start();

  /// Starts an instance's process.
  /// \param isFirstStart whether the whole system starts for the first time.
  bool startInstance(std::size_t n, bool isFirstStart = false);

  /// Makes the callers send requests from now on.
  void startCallers();
  /// Makes the callers send no new requests.
  void stopCallers();

  /// Writes a configuration with these routes, and the plan's services and
  /// customers, to the store.
  void writeConfiguration(std::uint64_t version,
                          const std::vector<RouteSpec> &routes);

  /// Starts upstreams of another version beside those of a service.
  /// \returns the first of them in Upstreams; none on an error.
  std::optional<std::size_t> startVersion(const std::string &service,
                                          const std::string &version);

  /// Orders that a service's traffic be moved to upstreams of a version.
  void orderRollout(const std::string &service, const std::string &version,
                    Duration limit);

  /// Takes a failure domain out of service or puts it back in.
  void setEvacuated(const std::string &domain, bool isEvacuated);

  std::size_t openRequests() const;
  CallerTally tally() const;
  std::vector<const Callers *> callers() const;

  /// Index of the instance with this caller address; the number of instances if
  /// there is none.
  std::size_t indexOf(const std::string &callerAddress) const;

  /// Addresses to which callers connect instead of an instance's CallerLink, by
  /// the instance's index. Only with links.
  std::map<std::size_t, std::string> AddressOverrides;

  DeploymentPlan Plan;
  Store TheStore;
  ExecutionLog Executions; ///< The requests that upstreams received and ran.
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  /// One link for each of Upstreams, in the same order; empty without links.
  std::vector<std::unique_ptr<Link>> UpstreamLinks;
  std::vector<RunningInstance> Instances;

private:
  std::string address(unsigned group, std::size_t n, unsigned port) const;
  std::string startUpstreams();
  std::string startUpstream(const ServiceSpec &service, unsigned k,
                            const std::string &version, Duration warmup);
  std::string prepareInstances();
  const std::string &programOf(const RunningInstance &it, std::size_t n) const;
  std::vector<std::string> makeCommand(const RunningInstance &it, std::size_t n,
                                       bool isFirstStart) const;

  struct ev_loop *Loop;
  /// One group of callers per failure domain.
  std::vector<std::unique_ptr<Callers>> CallerGroups;
};

} // namespace zinniarail::standins
