/// \file
/// Both firms at their sizes of today, and one's processes under load.
#pragma once

#include <cctype>
#include <string>
#include <vector>

#include "Harness.h"

namespace zinniarail::bench {

constexpr double SlotsEach = 4;

struct Service {
  const char *Name;
  unsigned Upstreams;
};

struct Firm {
  const char *Name;
  unsigned Number; ///< Of its cluster, in its addresses.
  Service Services[2];
  const char *Domains[2]; ///< Those that go out.
  const char *Faulty;     ///< Two upstreams of each service, as JSON.
};

inline const Firm Firms[] = {
    {"serrano",
     1,
     {{"credencial", 14}, {"situacao", 10}},
     {"serra-a", "serra-b"},
     R"(["credencial-1","credencial-2","situacao-1","situacao-2"])"},
    {"cierzo",
     2,
     {{"pedidos", 15}, {"carta", 9}},
     {"bilbao", "zaragoza"},
     R"(["pedidos-1","pedidos-2","carta-1","carta-2"])"},
};

/// \param instanceFlags beyond those of every benchmark.
inline ClusterSettings
makeClusterSettings(const Firm &firm, const std::string &build, double meanMs,
                    unsigned seed,
                    const std::vector<std::string> &instanceFlags = {}) {
  ClusterSettings out;
  out.BinaryDirectory = build;
  out.Document = std::string("examples/") + firm.Name + ".json";
  out.Number = firm.Number;
  out.InstanceFlags = {"--log-level", "error"};
  out.InstanceFlags.insert(out.InstanceFlags.end(), instanceFlags.begin(),
                           instanceFlags.end());
  out.UpstreamFlags = {"--mean-ms", std::to_string(meanMs), "--seed",
                       std::to_string(1000 * seed)};
  return out;
}

/// What callers of one service send.
struct CallerLoad {
  double Share = 0; ///< Of the capacity.
  double MeanMs = 0;
  unsigned Seconds = 0;
  unsigned Seed = 0;
  /// Differs between runs on the same processes: keys count for the claim
  /// window.
  std::string KeyPrefix;
};

/// Words that start callers who don't come back after a refusal.
inline std::vector<std::string> callerCommand(const Cluster &cluster,
                                              const Service &service,
                                              const CallerLoad &load) {
  const double rate =
      load.Share * service.Upstreams * SlotsEach * 1000 / load.MeanMs;
  auto command = cluster.callerCommand(service.Name);
  command.insert(command.end(), {"--key-prefix", load.KeyPrefix, "--rate",
                                 std::to_string(rate), "--seconds",
                                 std::to_string(load.Seconds), "--seed",
                                 std::to_string(load.Seed), "--orders-share",
                                 "0.1", "--refusal-retries", "0"});
  return command;
}

/// A scenario's name as part of a key prefix.
inline std::string asKey(std::string name) {
  std::erase_if(name, [](unsigned char it) { return std::isalnum(it) == 0; });
  return name;
}

} // namespace zinniarail::bench
