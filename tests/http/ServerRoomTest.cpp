// Connections that wait or give way when a server's budget is used up.
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "RawConnection.h"
#include "http/Server.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyBytes = 1U << 20U;

/// A server that answers each request at once, with room for one large body.
struct RoomFixture {
  RoomFixture() {
    Budget.Limits = {1U << 20U, BodyBytes + BodyBytes / 2, 1U << 20U};
    CallerLimits limits;
    limits.MaxBodyBytes = BodyBytes;
    Tested = std::make_unique<Server>(
        EventLoop.Loop,
        ServerHandlers{[](const Request &) { return true; },
                       [this](ExchangeId id, const Request &it) {
                         Sizes.push_back(it.Body.size());
                         Tested->sendResponse(id, {200, {}, "done"});
                       },
                       [](ExchangeId) {}},
        ServerShare{&Budget});
    Tested->setLimits(limits);
    Address =
        listenOnFreePort([this](const auto &it) { return Tested->listen(it); });
  }

  std::unique_ptr<RawConnection> open() const {
    return RawConnection::connect(Address);
  }

  /// Sends all bytes, or what is taken until nothing more is.
  std::size_t send(const RawConnection &to, std::string_view bytes) {
    std::size_t sent = 0;
    for (unsigned quiet = 0; sent < bytes.size() && quiet < 50; ++quiet) {
      const std::size_t n = to.trySend(bytes.substr(sent));
      sent += n;
      quiet = n > 0 ? 0 : quiet;
      EventLoop.runOnce();
    }
    return sent;
  }

  TestLoop EventLoop;
  ByteBudget Budget;
  std::unique_ptr<Server> Tested;
  std::string Address;
  std::vector<std::size_t> Sizes; ///< Of the bodies that arrived.
};

std::string upload(bool isChunked) {
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string body(BodyBytes, 'x');
  return isChunked ? start + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" +
                         body + "\r\n0\r\n\r\n"
                   : start + "Content-Length: " + std::to_string(BodyBytes) +
                         "\r\n\r\n" + body;
}

struct RoomCase {
  const char *Description;
  bool IsChunked;
  bool FirstContinues; ///< It sends on instead of stalling.
};

std::ostream &operator<<(std::ostream &out, const RoomCase &it) {
  return out << it.Description;
}

const std::vector<RoomCase> RoomCases{{"with a length, stalls", false, false},
                                      {"in chunks, stalls", true, false},
                                      {"with a length, sends on", false, true},
                                      {"in chunks, sends on", true, true}};

} // namespace

// The second body waits for the first one: until that ends, or stalls.
BOOST_DATA_TEST_CASE_F(RoomFixture, largeBodyWaitsForRoom, RoomCases, row) {
  const std::string bytes = upload(row.IsChunked);
  auto first = open();
  const std::size_t half = bytes.size() / 2;
  BOOST_TEST(send(*first, std::string_view(bytes).substr(0, half)) == half);
  auto second = open();
  std::size_t sent = send(*second, bytes);
  BOOST_TEST(Sizes.empty());
  auto small = open();
  small->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(EventLoop.runUntil([&] { return small->has("done"); }));
  if (row.FirstContinues) {
    send(*first, std::string_view(bytes).substr(half));
  }
  BOOST_TEST(EventLoop.runUntil([&] {
    sent += second->trySend(std::string_view(bytes).substr(sent));
    return second->has("\r\n\r\n");
  }));
  BOOST_TEST(EventLoop.runUntil([&] { return first->has("\r\n\r\n"); }));
  BOOST_TEST(first->has(row.FirstContinues ? " 200 " : " 408 "));
  BOOST_TEST(second->has(" 200 "));
  first->close();
  second->close();
  small->close();
  BOOST_TEST(EventLoop.runUntil([&] { return Tested->connections() == 0; }));
  for (const std::size_t it : Budget.Held) {
    BOOST_TEST(it == 0U);
  }
}
