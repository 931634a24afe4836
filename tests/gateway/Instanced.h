/// \file
/// A whole gateway for tests, with the requests that they send it.
#pragma once

#include <future>
#include <latch>
#include <semaphore>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeUpstream.h"
#include "zinniarail/gateway/Gateway.h"

namespace zinniarail::gateway {

inline std::uint16_t freePort(const std::string &host) {
  std::uint16_t port = 0;
  close(listenAt(host, port));
  return port;
}

inline Settings makeSettings(unsigned low) {
  Settings settings;
  settings.InstanceId = "i" + std::to_string(low);
  settings.FailureDomain = "a";
  settings.CallerAddress =
      testAddress(low) + ":" + std::to_string(freePort(testAddress(low)));
  settings.PeerTimeout = std::chrono::milliseconds{100};
  settings.StopTimeout = std::chrono::seconds{20};
  settings.Seed = 7;
  return settings;
}

inline std::shared_ptr<View> makeView(const std::vector<Instance> &instances,
                                      const std::vector<std::string> &upstreams,
                                      unsigned homes = 3) {
  auto document = std::make_shared<Document>();
  document->Environment = "trial";
  document->ResolveLifetime = std::chrono::milliseconds{100};
  document->Domains = {{"a", "r", true}, {"out", "r", false}};
  ServiceSpec service;
  service.Name = "s";
  service.Homes = homes;
  service.HedgeShare = 0;
  service.ProbesPerSecond = 0;
  service.Classes = {{.Name = "print",
                      .Method = "POST",
                      .Idempotent = false,
                      .Deadline = std::chrono::seconds{10}},
                     {.Name = "read", .Deadline = std::chrono::seconds{10}}};
  for (const std::string &it : upstreams) {
    const SocketAddress address = parseAddress(it);
    service.Upstreams.push_back({.Id = it,
                                 .Address = address.Host,
                                 .Port = address.Port,
                                 .Domain = "a"});
  }
  ServiceSpec bare = service; // Its requests match no class.
  bare.Name = "bare";
  bare.Classes.clear();
  document->Services = {service, bare};
  auto view = std::make_shared<View>();
  view->Intent = document;
  view->Version = 3;
  view->Instances = instances;
  view->ValidUntil = readClock() + std::chrono::hours{1};
  return view;
}

/// A gateway on a thread of its own. Claims are granted at once.
struct Instanced {
  Settings Options;
  prometheus::Registry Registry;
  GatewayTask Task;
  std::future<ExitCode> Ended;

  explicit Instanced(unsigned low)
      : Options(makeSettings(low)),
        Task(Options,
             {[](const control::Message &) {},
              [this](const peers::Message &it) { answerPeers(it); }},
             Registry) {
    BOOST_REQUIRE(Task.open());
    Ended = std::async(std::launch::async, [this] { return Task.run(); });
  }

  ~Instanced() {
    if (Ended.valid()) {
      stop();
    }
  }

  ExitCode stop() {
    Task.inbox().post(StopWanted{});
    return Ended.get();
  }

  void answerPeers(const peers::Message &message) {
    if (const auto *it = std::get_if<peers::ClaimWanted>(&message)) {
      Task.inbox().post(
          ClaimAnswer{it->Service, {it->Request, ClaimVerdict::Granted}});
    } else if (std::holds_alternative<peers::StopBegun>(message)) {
      Task.inbox().post(ClaimsHandedOver{});
    }
  }

  Instance self() const {
    return {.Id = Options.InstanceId,
            .Domain = "a",
            .CallerAddress = Options.CallerAddress};
  }

  /// Makes it the home of a service with one upstream.
  void serve(const std::string &upstream) {
    Task.inbox().post(ViewChanged{makeView({self()}, {upstream})});
  }

  /// \param receiveBuffer bytes; 0: the system's own choice.
  int connect(int receiveBuffer = 0) const {
    const SocketAddress it = parseAddress(Options.CallerAddress);
    return connectTo(it.Host, it.Port, receiveBuffer);
  }

  std::string ask(const std::string &request) const {
    const int fd = connect();
    sendAll(fd, request);
    std::string answer = receiveMessage(fd);
    close(fd);
    return answer;
  }

  boost::json::object dump() {
    std::promise<boost::json::object> promise;
    Task.inbox().post(DumpWanted{
        [&](boost::json::object it) { promise.set_value(std::move(it)); }});
    return promise.get_future().get();
  }

  /// A number of the state dump.
  std::size_t count(const char *key) {
    return dump().at(key).to_number<std::size_t>();
  }
};

inline std::string get(const std::string &target,
                       const std::string &fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
}

inline std::string postWith(const std::string &fields,
                            const std::string &body) {
  return "POST /s/print HTTP/1.1\r\nHost: x\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline Reply echoWhole(const std::string &request, int) {
  return {wholeAnswer(request)};
}

/// An upstream that holds every answer back until it is told.
class HeldUpstream {
public:
  explicit HeldUpstream(const std::string &host)
      : Upstream(host, [this](const std::string &it, int n) {
          Arrived.release();
          Go.wait();
          return echoWhole(it, n);
        }) {}
  ~HeldUpstream() { release(); }

  std::string address() const { return Upstream.address(); }
  void awaitRequest() { Arrived.acquire(); }
  void release() {
    if (!Go.try_wait()) {
      Go.count_down();
    }
  }

private:
  std::counting_semaphore<> Arrived{0};
  std::latch Go{1};
  FakeUpstream Upstream;
};

} // namespace zinniarail::gateway
