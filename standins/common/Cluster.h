/// \file
/// One firm's processes for tests and benchmarks: a platform stand-in, the
/// instances, and one process that stands in for all upstreams of a document.
#pragma once

#include <set>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "common/Process.h"

namespace zinniarail::standins {

struct ClusterSettings {
  std::string BinaryDirectory; ///< Of the build.
  std::string Document;        ///< File; its addresses are 127.40.x.y.
  std::string LogDirectory;    ///< Empty: no logs.
  unsigned Number = 1;         ///< From 1 to 9, of this cluster on the net.
  unsigned Instances = 13;
  std::vector<std::string> InstanceFlags; ///< Beyond the addresses.
  std::vector<std::string> UpstreamFlags;
  std::vector<std::string> PlatformFlags;
};

/// One instance and its addresses.
struct ClusterInstance {
  std::string Id;
  std::string Domain;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  Process Running;
};

class Cluster {
public:
  explicit Cluster(ClusterSettings settings);

  /// Starts everything, puts the document into the platform, and waits until
  /// every instance is ready.
  /// \returns false with the reason in error().
  bool start();
  /// Stops the instances by SIGTERM, all at once.
  /// \returns false when one did not end by itself.
  bool stop();
  /// Starts an instance, also one that has ended.
  bool startInstance(ClusterInstance &it);
  const std::string &error() const { return Error; }

  std::vector<ClusterInstance> &instances() { return Members; }
  const Process &upstreams() const { return UpstreamProcess; }
  std::string platformAddress() const;
  std::string upstreamControl() const;
  /// Caller addresses of all instances, separated by commas.
  std::string callerAddresses() const;

  /// Sets fault switches of the upstreams, or of the platform.
  bool setUpstreamFaults(const boost::json::object &change) const;
  bool setPlatformFaults(const boost::json::object &change) const;
  boost::json::object upstreamCounters() const;
  boost::json::object platformCounters() const;
  bool resetUpstreamCounters() const;
  /// Replaces the document in the platform.
  bool putDocument(const std::string &bytes) const;
  /// Puts the document with these failure domains out of service, and all
  /// others in.
  bool putDomainsOut(const std::set<std::string> &names) const;
  /// The document as it is put, with this net's addresses.
  const std::string &document() const { return DocumentBytes; }

  /// Words that start a caller-standin for a service.
  std::vector<std::string> callerCommand(const std::string &service) const;

private:
  bool readDocument();
  bool startPlatform();
  bool startUpstreams();
  bool fail(std::string reason);
  std::string log(const std::string &name) const;
  std::string address(unsigned group, unsigned host, unsigned port) const;

  ClusterSettings Settings;
  std::string Error;
  std::string DocumentBytes;
  std::vector<std::string> Listen; ///< ID=ip:port of each upstream.
  std::vector<ClusterInstance> Members;
  Process PlatformProcess;
  Process UpstreamProcess;
};

} // namespace zinniarail::standins
