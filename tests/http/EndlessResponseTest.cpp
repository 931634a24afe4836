#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "PoolFixture.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace zinniarail::http::pool_test;
using namespace std::chrono_literals;

namespace {

/// Bytes that one connection may add in one iteration of the loop.
constexpr std::size_t WakeupBytes = std::size_t{64} << 10;

} // namespace

// Guards against reading for as long as bytes arrive, which keeps the loop from
// all else and holds all of them in memory unparsed.
BOOST_AUTO_TEST_CASE(fastSenderIsReadInBoundedTurns) {
  PoolFixture it;
  it.Pool.start(it.call(1));
  const auto upstream = it.acceptRequest();
  upstream->send("HTTP/1.1 200 OK\r\n\r\n");
  it.EventLoop.runFor(20ms);
  BOOST_REQUIRE(it.Pool.receivedBytes() == 0);
  BOOST_REQUIRE(upstream->sendWhilePossible(std::string(WakeupBytes, 'x')) >
                4 * WakeupBytes);
  for (unsigned n = 0; n < 4; ++n) {
    const std::size_t before = it.Pool.receivedBytes();
    it.EventLoop.runOnce();
    BOOST_TEST(it.Pool.receivedBytes() - before <= WakeupBytes);
  }
}
