/// \file
/// A whole deployment on loopback: the store, upstreams and callers in this
/// process, and instances of the real program as processes of their own.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <ev.h>

#include "caller/Callers.h"
#include "common/Process.h"
#include "link/Link.h"
#include "store/Store.h"
#include "upstream/Upstream.h"

namespace zinniarail::standins {

/// A service and those who serve it.
struct ServiceKind {
  std::string Name;
  unsigned Upstreams = 4;
  Duration Work = std::chrono::milliseconds{20};
};

/// A route of the configuration, and the requests that callers send on it.
struct RouteKind {
  std::string Path; ///< Begins and ends with a slash.
  std::string Service;
  bool Idempotent = true;
  unsigned Priority = 1;
  double PerSecond = 20; ///< Over all callers; 0: nobody asks.
  Duration Target = std::chrono::milliseconds{200};
  Duration Deadline = std::chrono::milliseconds{1000};
};

/// Bounds that the users set, over all instances.
struct SharedBounds {
  double RetryRatio = 0.2;
  double ExtraRetries = 56;
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  double ProbesPerSecond = 60;
  double WarmupPerSecond = 14;
  Duration Warmup = std::chrono::milliseconds{2000};
  Duration StopTimeout = std::chrono::milliseconds{6000};
};

/// What a deployment is made of.
struct DeploymentPlan {
  std::string Program; ///< The path of zinniaraild.
  std::string Logs;    ///< Folder of the instances' logs; empty: none are kept.
  unsigned Net = 40;   ///< All addresses are 127.Net.x.y.
  std::vector<std::string> Domains{"a", "b", "c"};
  unsigned Instances = 6;
  std::vector<ServiceKind> Services;
  std::vector<RouteKind> Routes;
  SharedBounds Bounds;
  bool Links = false; ///< Between callers, instances, upstreams and the store.
  std::uint64_t Seed = 1;
};

/// One instance and the ways to it and from it.
struct RunningInstance {
  std::string Id;
  std::string Domain;
  std::string CallerAddress;
  std::string OperatorAddress;
  Process Child;
  unsigned Starts = 0;
  std::unique_ptr<Link> FromCallers; ///< Where callers connect, with links.
  std::unique_ptr<Link> ToStore;
};

/// Used on one thread, that of its loop. Ends its processes, and no others,
/// when it is destroyed.
class Deployment {
public:
  /// \param loop outlives the deployment.
  Deployment(struct ev_loop *loop, DeploymentPlan plan);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts everything but the callers.
  /// \returns what is wrong; empty when all runs.
  std::string start();

  /// Starts an instance's process.
  bool startInstance(std::size_t n, bool first = false);

  /// Lets the callers ask from now on.
  void startCallers();
  void endCallers();

  /// Writes a configuration in which these routes are in force.
  void configure(std::uint64_t version, const std::vector<RouteKind> &routes);

  /// Takes a failure domain out of service, or back in.
  void evacuate(const std::string &domain, bool out);

  std::size_t openRequests() const;
  CallerTally tally() const;
  std::vector<const Callers *> callers() const;

  /// The instance whose caller address this is.
  std::size_t indexOf(const std::string &callerAddress) const;

  /// Where callers connect in place of an instance, by its number.
  std::map<std::size_t, std::string> Detours;

  DeploymentPlan Plan;
  Store TheStore;
  Ledger Done;
  std::vector<std::unique_ptr<Upstream>> Upstreams;
  std::vector<std::unique_ptr<Link>> UpstreamLinks; ///< Alike, with links.
  std::vector<RunningInstance> Instances;

private:
  std::string address(unsigned group, std::size_t n, unsigned port) const;
  std::string startUpstreams();
  std::string prepareInstances();
  std::vector<std::string> settingsOf(const RunningInstance &it, std::size_t n,
                                      bool first) const;

  struct ev_loop *Loop;
  std::vector<std::unique_ptr<Callers>> AllCallers; ///< One set a domain.
};

} // namespace zinniarail::standins
