#include <netinet/tcp.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Instanced.h"

using namespace zinniarail;
using namespace zinniarail::gateway;

BOOST_AUTO_TEST_CASE(aChunkedRequestArrivesWhole) {
  const std::string body(1U << 20U, 'b');
  std::size_t seen = 0;
  FakeUpstream upstream(testAddress(1), [&](const std::string &it, int) {
    seen = it.size() - it.find("\r\n\r\n") - 4;
    return Reply{wholeAnswer(it, body)};
  });
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const std::string answer =
      gateway.ask("POST /s/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: "
                  "k\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" +
                  body + "\r\n0\r\n\r\n");
  BOOST_TEST(answer.ends_with("\r\n\r\n" + body));
  BOOST_TEST(seen == body.size());
}

BOOST_AUTO_TEST_CASE(aHalfClosedCallerIsServed) {
  HeldUpstream upstream(testAddress(1));
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const int fd = gateway.connect();
  sendAll(fd, get("/s/x"));
  shutdown(fd, SHUT_WR);
  upstream.awaitRequest();
  // The interim answer shows that the end of the stream was seen.
  std::string answer = receiveMessage(fd);
  BOOST_TEST(answer == "HTTP/1.1 102 Processing\r\n\r\n");
  upstream.release();
  answer = receiveMessage(fd);
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.ends_with("hello"));
  close(fd);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesFreesItsUpstream) {
  HeldUpstream upstream(testAddress(1));
  Instanced gateway(10);
  gateway.serve(upstream.address());
  const int fd = gateway.connect();
  sendAll(fd, get("/s/x"));
  upstream.awaitRequest();
  close(fd);
  while (gateway.dump().at("openRequests").to_number<int>() != 0) {
    std::this_thread::yield();
  }
  upstream.release();
  BOOST_TEST(gateway.ask(get("/s/x")).starts_with("HTTP/1.1 200"));
}

namespace {

constexpr std::size_t Megabyte = std::size_t{1} << 20; // bytes

void expectServed(const Instanced &gateway) {
  BOOST_REQUIRE(gateway.ask(get("/s/x")).ends_with("hello"));
}

void readSlowly(Instanced &gateway) {
  const int fd = gateway.connect(4096);
  sendAll(fd, get("/s/1"));
  std::string answer;
  std::size_t wanted = Megabyte;
  char buf[1024];
  while (answer.size() < wanted) {
    const ssize_t n = recv(fd, buf, sizeof buf, 0);
    BOOST_REQUIRE(n > 0);
    answer.append(buf, static_cast<std::size_t>(n));
    wanted = answer.find("\r\n\r\n") + 4 + Megabyte;
    if (answer.size() % (64 * sizeof buf) == 0) {
      expectServed(gateway);
    }
  }
  BOOST_TEST(answer.ends_with("\r\n\r\n" + std::string(Megabyte, 'b')));
  close(fd);
}

void sendByteByByte(Instanced &gateway) {
  const int fd = gateway.connect();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const std::string request = postWith("Idempotency-Key: k\r\n", "an order");
  for (const char &it : request) {
    sendAll(fd, {&it, 1});
    if ((&it - request.data()) % 16 == 0) {
      expectServed(gateway);
    }
  }
  BOOST_TEST(receiveMessage(fd).ends_with("hello"));
  close(fd);
}

void stopReading(Instanced &gateway) {
  const int fd = gateway.connect(4096);
  sendAll(fd, get("/s/8"));
  while (gateway.count("answerBytes") != 8 * Megabyte) {
    std::this_thread::yield();
  }
  expectServed(gateway);
  BOOST_TEST(gateway.count("answerBytes") >= 8 * Megabyte);
  close(fd);
}

void stayIdle(Instanced &gateway) {
  std::vector<int> callers(1000);
  for (int &it : callers) {
    it = gateway.connect();
    sendAll(it, get("/s/x"));
    BOOST_REQUIRE(receiveMessage(it).ends_with("hello"));
  }
  BOOST_TEST(gateway.count("callerConnections") == callers.size());
  expectServed(gateway);
  for (const int it : callers) {
    sendAll(it, get("/s/x"));
    BOOST_REQUIRE(receiveMessage(it).ends_with("hello"));
    close(it);
  }
}

struct Manner {
  const char *Name;
  void (*Act)(Instanced &gateway);
};

std::ostream &operator<<(std::ostream &out, const Manner &it) {
  return out << it.Name;
}

const std::vector<Manner> Manners{
    {"reads 1 MB slowly", &readSlowly},
    {"sends byte by byte", &sendByteByByte},
    {"stops reading for good", &stopReading},
    {"1,000 are idle", &stayIdle},
};

constexpr unsigned KeptConnections = 4;

// Megabytes by the target's last digit.
Reply answerBySize(const std::string &request, int) {
  const char digit = request[request.find(" HTTP/1.1") - 1];
  return {
      digit < '0' || digit > '9'
          ? wholeAnswer(request)
          : wholeAnswer(request, std::string((digit - '0') * Megabyte, 'b'))};
}

} // namespace

BOOST_DATA_TEST_CASE(aDifficultCallerHoldsUpNoOtherAndLeavesNothing, Manners,
                     it) {
  FakeUpstream upstream(testAddress(1), &answerBySize);
  Instanced gateway(10);
  const auto view = makeView({gateway.self()}, {upstream.address()});
  auto document = std::make_shared<Document>(*view->Intent);
  document->Services[0].Upstreams[0].Connections = KeptConnections;
  view->Intent = document;
  gateway.Task.inbox().post(ViewChanged{view});
  for (int round = 0; round < 3; ++round) {
    it.Act(gateway);
    for (const char *key : {"callerConnections", "unanswered", "openRequests",
                            "calls", "answerBytes"}) {
      while (gateway.count(key) != 0) {
        std::this_thread::yield();
      }
    }
    BOOST_TEST(gateway.count("upstreamConnections") <= KeptConnections);
  }
}
