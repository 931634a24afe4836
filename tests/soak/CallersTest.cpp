// The callers of the stand-ins.
#include <thread>

#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "caller/Callers.h"
#include "http/Server.h"

using namespace zinniarail;
using namespace std::chrono_literals;

// Guards against callers that end the soak when the machine stalls until the
// deadlines of their retries have passed.
BOOST_AUTO_TEST_CASE(callersOutliveAStallBeyondTheirDeadlines) {
  constexpr std::size_t enough = 50;
  http::TestLoop loop;
  http::Server *instance = nullptr;
  std::string address;
  http::Server server(
      loop.Loop,
      {[](const http::Request &) { return true; },
       [&](http::ExchangeId id, const http::Request &request) {
         const bool isResolution = request.Target.starts_with("/resolution");
         http::Response refusal{503, {{"Retry-After", "0.05"}}, ""};
         http::Response addresses{
             200, {}, R"({"addresses":[")" + address + R"("],"ttl":"60s"})"};
         instance->sendResponse(id, isResolution ? addresses : refusal);
       },
       [](http::ExchangeId) {}});
  instance = &server;
  address = http::listenOnFreePort(
      [&](const std::string &it) { return server.listen(it); });
  standins::Callers callers(loop.Loop, {address}, "a", 1);
  standins::RequestKind kind;
  kind.Path = "/order/";
  kind.Host = "orders.example";
  kind.PerSecond = 2000;
  kind.Deadline = 300ms;
  callers.startSending(kind);
  BOOST_REQUIRE(
      loop.runUntil([&] { return callers.pendingRequests() >= enough; }));
  callers.stopSending();
  std::this_thread::sleep_for(400ms);
  BOOST_TEST(loop.runUntil([&] { return callers.pendingRequests() == 0; }));
}
