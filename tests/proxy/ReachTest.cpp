// Proxies that reach no upstream.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeNetwork.h"

using namespace zinniarail;
using namespace zinniarail::proxy_test;

namespace {

const std::vector<Path> Cuts{Path::Silent, Path::Refused, Path::Reset};

/// Sends requests for a time during which the proxy can find out that it
/// reaches no upstream.
void sendDuringCut(TestInstance &it, Path cut) {
  it.ToUpstreams = cut;
  const Instant start = readClock();
  Instant next = start;
  while (readClock() < start + 1500ms) {
    if (readClock() >= next) {
      it.send("/read/");
      next += 20ms;
    }
    it.run();
    std::this_thread::sleep_for(1ms);
  }
}

} // namespace

// RECOVER: callers whose requests are held until their deadline go nowhere else
// in time.
BOOST_DATA_TEST_CASE(requestIsNotHeldWhileNoUpstreamCanBeReached, Cuts, cut) {
  TestInstance it;
  it.warmUp();
  sendDuringCut(it, cut);
  for (const char *path : {"/read/", "/write/"}) {
    const http::ExchangeId id = it.send(path);
    BOOST_REQUIRE(it.hasResponse(id));
    BOOST_TEST(it.Responses[id].Status == 503);
    BOOST_TEST(http::findHeader(it.Responses[id].Fields, "Retry-After"));
  }
}

BOOST_DATA_TEST_CASE(requestsAreServedAgainAfterTheCut, Cuts, cut) {
  TestInstance it;
  it.warmUp();
  sendDuringCut(it, cut);
  it.ToUpstreams = Path::Open;
  const Instant end = readClock() + 5s;
  unsigned served = 0;
  while (served == 0 && readClock() < end) {
    const http::ExchangeId id = it.send("/read/", 200ms);
    do {
      it.run();
      std::this_thread::sleep_for(1ms);
    } while (!it.hasResponse(id));
    served += it.Responses[id].Status == 200 ? 1 : 0;
  }
  BOOST_TEST(served == 1);
}
