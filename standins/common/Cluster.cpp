#include "common/Cluster.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include <boost/json.hpp>

#include "common/Net.h"

namespace zinniarail::standins {

namespace json = boost::json;

namespace {

constexpr unsigned InstanceGroup = 20; // third part of addresses, plus Number
constexpr unsigned PlatformGroup = 30;
constexpr unsigned ControlGroup = 31;
constexpr unsigned CallerPort = 8080;
constexpr unsigned PeerPort = 8081;
constexpr unsigned OperatorPort = 8082;
constexpr unsigned PlatformPort = 7000;
constexpr unsigned ControlPort = 9100;
constexpr std::chrono::seconds ReadyTimeout{30};
constexpr std::chrono::seconds StopTimeout{40};
constexpr const char *Environment = "production";

bool post(const std::string &address, const std::string &path,
          const std::string &body) {
  Call call;
  call.Method = "POST";
  call.Url = "http://" + address + path;
  call.Body = body;
  return fetch(call).Status == 200;
}

json::object getJson(const std::string &address, const std::string &path) {
  Call call;
  call.Url = "http://" + address + path;
  boost::system::error_code ec;
  auto body = json::parse(fetch(call).Body, ec);
  return !ec && body.is_object() ? body.as_object() : json::object{};
}

json::object toJson(const ClusterInstance &it) {
  return {{"id", it.Id},
          {"domain", it.Domain},
          {"callerAddress", it.CallerAddress},
          {"peerAddress", it.PeerAddress},
          {"operatorAddress", it.OperatorAddress},
          {"state", "live"}};
}

/// Moves the example's addresses to another net.
std::string moveAddresses(std::string text, unsigned net) {
  const std::string from = "\"127.40.";
  const std::string to = "\"127." + std::to_string(net) + ".";
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

} // namespace

Cluster::Cluster(ClusterSettings settings) : Settings(std::move(settings)) {}

bool Cluster::fail(std::string reason) {
  Error = std::move(reason);
  return false;
}

std::string Cluster::log(const std::string &name) const {
  return Settings.LogDirectory.empty()
             ? ""
             : Settings.LogDirectory + "/" + name + ".log";
}

std::string Cluster::address(unsigned group, unsigned host,
                             unsigned port) const {
  return "127." + std::to_string(loopbackNet()) + "." + std::to_string(group) +
         "." + std::to_string(host) + ":" + std::to_string(port);
}

std::string Cluster::platformAddress() const {
  return address(PlatformGroup, Settings.Number, PlatformPort);
}

std::string Cluster::upstreamControl() const {
  return address(ControlGroup, Settings.Number, ControlPort);
}

std::string Cluster::callerAddresses() const {
  std::string out;
  for (const auto &it : Members) {
    out += (out.empty() ? "" : ",") + it.CallerAddress;
  }
  return out;
}

bool Cluster::readDocument() {
  std::ifstream in(Settings.Document);
  std::stringstream text;
  text << in.rdbuf();
  DocumentBytes = moveAddresses(text.str(), loopbackNet());
  boost::system::error_code ec;
  const auto document = json::parse(DocumentBytes, ec);
  if (ec) {
    return fail("cannot read " + Settings.Document);
  }
  for (const auto &service : document.at("services").as_array()) {
    for (const auto &it : service.at("upstreams").as_array()) {
      Listen.push_back(json::value_to<std::string>(it.at("id")) + "=" +
                       json::value_to<std::string>(it.at("address")) + ":" +
                       std::to_string(it.at("port").to_number<unsigned>()));
    }
  }
  const auto &domains = document.at("domains").as_array();
  for (unsigned n = 0; n < Settings.Instances; ++n) {
    const unsigned group = InstanceGroup + Settings.Number;
    const auto &domain = domains[n % domains.size()].at("name");
    Members.push_back({"instance-" + std::to_string(n + 1),
                       json::value_to<std::string>(domain),
                       address(group, n + 1, CallerPort),
                       address(group, n + 1, PeerPort),
                       address(group, n + 1, OperatorPort),
                       {}});
  }
  return true;
}

bool Cluster::startPlatform() {
  std::vector<std::string> words{Settings.BinaryDirectory +
                                     "/standins/platform-standin",
                                 "--address", platformAddress()};
  words.insert(words.end(), Settings.PlatformFlags.begin(),
               Settings.PlatformFlags.end());
  if (!PlatformProcess.start(words, log("platform")) ||
      !awaitStatus("http://" + platformAddress() + "/control/counters", 200,
                   ReadyTimeout)) {
    return fail("the platform stand-in does not answer");
  }
  json::array list;
  for (const auto &it : Members) {
    list.push_back(toJson(it));
  }
  return post(platformAddress(), "/control/instances", json::serialize(list)) &&
         putDocument(DocumentBytes);
}

bool Cluster::startUpstreams() {
  std::vector<std::string> words{Settings.BinaryDirectory +
                                     "/standins/upstream-standin",
                                 "--control", upstreamControl()};
  for (const auto &it : Listen) {
    words.insert(words.end(), {"--listen", it});
  }
  words.insert(words.end(), Settings.UpstreamFlags.begin(),
               Settings.UpstreamFlags.end());
  return (UpstreamProcess.start(words, log("upstreams")) &&
          awaitStatus("http://" + upstreamControl() + "/control/counters", 200,
                      ReadyTimeout)) ||
         fail("the upstream stand-in does not answer");
}

bool Cluster::startInstance(ClusterInstance &it) {
  std::vector<std::string> words{Settings.BinaryDirectory +
                                     "/programs/zinniaraild",
                                 "--instance-id",
                                 it.Id,
                                 "--failure-domain",
                                 it.Domain,
                                 "--environment",
                                 Environment,
                                 "--caller-address",
                                 it.CallerAddress,
                                 "--peer-address",
                                 it.PeerAddress,
                                 "--operator-address",
                                 it.OperatorAddress,
                                 "--platform-address",
                                 platformAddress()};
  words.insert(words.end(), Settings.InstanceFlags.begin(),
               Settings.InstanceFlags.end());
  return it.Running.start(words, log(it.Id));
}

bool Cluster::start() {
  if (!readDocument() || !startUpstreams() || !startPlatform()) {
    return false;
  }
  for (auto &it : Members) {
    if (!startInstance(it)) {
      return fail("cannot start " + it.Id);
    }
  }
  for (const auto &it : Members) {
    if (!awaitStatus("http://" + it.OperatorAddress + "/health", 200,
                     ReadyTimeout)) {
      return fail(it.Id + " does not become ready");
    }
  }
  return true;
}

bool Cluster::stop() {
  for (const auto &it : Members) {
    it.Running.signal(SIGTERM);
  }
  bool all = true;
  for (auto &it : Members) {
    all = (!it.Running.isRunning() || it.Running.wait(StopTimeout)) && all;
  }
  return all;
}

bool Cluster::setUpstreamFaults(const json::object &change) const {
  return post(upstreamControl(), "/control/faults", json::serialize(change));
}

bool Cluster::setPlatformFaults(const json::object &change) const {
  return post(platformAddress(), "/control/faults", json::serialize(change));
}

json::object Cluster::upstreamCounters() const {
  return getJson(upstreamControl(), "/control/counters");
}

json::object Cluster::platformCounters() const {
  return getJson(platformAddress(), "/control/counters");
}

bool Cluster::resetUpstreamCounters() const {
  return post(upstreamControl(), "/control/reset", "");
}

bool Cluster::putDocument(const std::string &bytes) const {
  Call call;
  call.Method = "PUT";
  call.Url = "http://" + platformAddress() + "/objects/environments/" +
             Environment + "/document";
  call.Body = bytes;
  return fetch(call).Status / 100 == 2;
}

bool Cluster::putDomainsOut(const std::set<std::string> &names) const {
  auto document = json::parse(DocumentBytes);
  for (auto &it : document.at("domains").as_array()) {
    it.as_object()["inService"] =
        !names.contains(it.at("name").as_string().c_str());
  }
  return putDocument(json::serialize(document));
}

std::vector<std::string>
Cluster::callerCommand(const std::string &service) const {
  return {Settings.BinaryDirectory + "/standins/caller-standin",
          "--service",
          service,
          "--instances",
          callerAddresses(),
          "--upstream-controls",
          upstreamControl()};
}

} // namespace zinniarail::standins
