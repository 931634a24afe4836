#include <map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeUpstream.h"
#include "gateway/UpstreamClient.h"

using namespace zinniarail;
using namespace zinniarail::gateway;

namespace {

/// A client on a loop of its own.
struct Bench {
  struct ev_loop *Loop = ev_loop_new(0);
  std::map<std::uint64_t, int> Sent;
  std::map<std::uint64_t, CallEnd> Ended;
  UpstreamClient Client{
      Loop,
      {[this](std::uint64_t id) { ++Sent[id]; },
       [this](std::uint64_t id, CallEnd end) { Ended[id] = std::move(end); }}};

  ~Bench() { ev_loop_destroy(Loop); }

  void start(std::uint64_t id, const std::string &address,
             Request request = {"GET", "/s/x", {}, {}}) {
    Client.start({.Id = id,
                  .Address = address,
                  .Echo = "try-" + std::to_string(id),
                  .Content = std::make_shared<Request>(std::move(request)),
                  .Deadline = readClock() + std::chrono::seconds{20}},
                 readClock());
  }

  const CallEnd &await(std::uint64_t id) {
    while (Ended.count(id) == 0) {
      if (!Client.run()) {
        ev_run(Loop, EVRUN_ONCE);
      }
    }
    return Ended[id];
  }
};

struct Ending {
  const char *Name;
  Reply (*Script)(const std::string &request, int nth);
  AttemptEnd Expected;
};

std::ostream &operator<<(std::ostream &out, const Ending &it) {
  return out << it.Name;
}

std::string answerWith(const std::string &fields, const std::string &body) {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

const std::vector<Ending> Endings{
    {"whole",
     [](const std::string &request, int) {
       return Reply{wholeAnswer(request)};
     },
     AttemptEnd::Answered},
    {"chunked",
     [](const std::string &, int) {
       return Reply{answerWith("X-Attempt-Id: try-1\r\nTransfer-Encoding: "
                               "chunked\r\n",
                               "5\r\nhello\r\n0\r\n\r\n")};
     },
     AttemptEnd::Answered},
    {"after an interim answer",
     [](const std::string &request, int) {
       return Reply{"HTTP/1.1 102 Processing\r\n\r\n" + wholeAnswer(request)};
     },
     AttemptEnd::Answered},
    {"crossed",
     [](const std::string &, int) {
       return Reply{
           answerWith("X-Attempt-Id: try-9\r\nContent-Length: 5\r\n", "hello")};
     },
     AttemptEnd::Broken},
    {"without an id",
     [](const std::string &, int) {
       return Reply{answerWith("Content-Length: 5\r\n", "hello")};
     },
     AttemptEnd::Broken},
    {"short",
     [](const std::string &, int) {
       return Reply{
           answerWith("X-Attempt-Id: try-1\r\nContent-Length: 9\r\n", "hello"),
           true};
     },
     AttemptEnd::Broken},
    {"chunked and cut",
     [](const std::string &, int) {
       return Reply{answerWith("X-Attempt-Id: try-1\r\nTransfer-Encoding: "
                               "chunked\r\n",
                               "5\r\nhello\r\n"),
                    true};
     },
     AttemptEnd::Broken},
    {"ended by the close alone",
     [](const std::string &, int) {
       return Reply{answerWith("X-Attempt-Id: try-1\r\n", "hello"), true};
     },
     AttemptEnd::Broken},
    {"none",
     [](const std::string &, int) {
       return Reply{"", true};
     },
     AttemptEnd::Broken},
    {"no HTTP",
     [](const std::string &, int) {
       return Reply{"what?\r\n\r\n", true};
     },
     AttemptEnd::Broken},
    {"refused unrun",
     [](const std::string &, int) {
       return Reply{"HTTP/1.1 503 Busy\r\nX-Attempt-Id: try-1\r\nX-Not-Run: "
                    "1\r\nContent-Length: 0\r\n\r\n"};
     },
     AttemptEnd::RefusedUnrun},
    {"refused unrun, but another attempt",
     [](const std::string &, int) {
       return Reply{"HTTP/1.1 503 Busy\r\nX-Attempt-Id: try-9\r\nX-Not-Run: "
                    "1\r\nContent-Length: 0\r\n\r\n"};
     },
     AttemptEnd::Broken},
    {"503 that may have run",
     [](const std::string &, int) {
       return Reply{"HTTP/1.1 503 Busy\r\nX-Attempt-Id: "
                    "try-1\r\nContent-Length: 0\r\n\r\n"};
     },
     AttemptEnd::Answered},
    {"headers without end",
     [](const std::string &, int) {
       return Reply{"HTTP/1.1 200 OK\r\nX: " + std::string(32768, 'x')};
     },
     AttemptEnd::Broken},
};

} // namespace

BOOST_DATA_TEST_CASE(anAttemptEndsAsItsAnswerSays, Endings, it) {
  FakeUpstream upstream(testAddress(1), it.Script);
  Bench bench;
  bench.start(1, upstream.address());
  const CallEnd &end = bench.await(1);
  BOOST_TEST((end.End == it.Expected), end.Error);
  BOOST_TEST(bench.Sent[1] == 1);
  if (it.Expected == AttemptEnd::Answered && end.Content.Status == 200) {
    BOOST_TEST(end.Content.Body == "hello");
  }
}

// libcurl by itself sends the second request twice here.
BOOST_AUTO_TEST_CASE(aRequestOnADyingConnectionIsSentOnce) {
  FakeUpstream upstream(testAddress(1), [](const std::string &request, int n) {
    return n == 1 ? Reply{wholeAnswer(request)} : Reply{"", true};
  });
  Bench bench;
  bench.start(1, upstream.address(), {"POST", "/s/x", {}, "one"});
  BOOST_TEST((bench.await(1).End == AttemptEnd::Answered));
  bench.start(2, upstream.address(), {"POST", "/s/x", {}, "two"});
  BOOST_TEST((bench.await(2).End == AttemptEnd::Broken));
  BOOST_TEST(bench.Sent[2] == 1);
  BOOST_TEST(upstream.requests() == 2);
}

BOOST_AUTO_TEST_CASE(aConnectionIsKeptAndOneOutOfStepIsNot) {
  FakeUpstream upstream(testAddress(1), [](const std::string &request, int n) {
    return n == 3 ? Reply{answerWith(
                        "X-Attempt-Id: late\r\nContent-Length: 0\r\n", "")}
                  : Reply{wholeAnswer(request)};
  });
  Bench bench;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    bench.start(id, upstream.address());
    bench.await(id);
  }
  BOOST_TEST((bench.Ended[3].End == AttemptEnd::Broken));
  BOOST_TEST((bench.Ended[4].End == AttemptEnd::Answered));
  BOOST_TEST(upstream.connections() == 2);
  BOOST_TEST(bench.Client.connections(upstream.address()) == 1u);
}

BOOST_AUTO_TEST_CASE(nothingLeavesWithoutAConnection) {
  std::uint16_t port = 0;
  const int fd = listenAt(testAddress(2), port);
  close(fd);
  Bench bench;
  bench.start(1, testAddress(2) + ":" + std::to_string(port));
  BOOST_TEST((bench.await(1).End == AttemptEnd::NotSent));
  BOOST_TEST(bench.Sent[1] == 0);
}

// As after a pause that lasted from the choice of the upstream until now.
BOOST_AUTO_TEST_CASE(nothingLeavesOnceItsViewHasRunOut) {
  FakeUpstream upstream(testAddress(1), [](const std::string &request, int) {
    return Reply{wholeAnswer(request)};
  });
  Bench bench;
  bench.Client.start(
      {.Id = 1,
       .Address = upstream.address(),
       .Echo = "try-1",
       .Content = std::make_shared<Request>(Request{"POST", "/s/x", {}, {}}),
       .Deadline = readClock() + std::chrono::seconds{20},
       .SendBefore = readClock()},
      readClock());
  BOOST_TEST((bench.await(1).End == AttemptEnd::NotSent));
  BOOST_TEST(bench.Sent[1] == 0);
  BOOST_TEST(upstream.requests() == 0);
}

BOOST_AUTO_TEST_CASE(connectionsStayWithinTheirLimit) {
  std::atomic<bool> go{false};
  FakeUpstream upstream(testAddress(1), [&](const std::string &request, int) {
    while (!go) {
      std::this_thread::yield();
    }
    return Reply{wholeAnswer(request)};
  });
  Bench bench;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    bench.Client.start(
        {.Id = id,
         .Address = upstream.address(),
         .Echo = "try-" + std::to_string(id),
         .Content = std::make_shared<Request>(Request{"GET", "/s/x", {}, {}}),
         .Deadline = readClock() + std::chrono::seconds{20},
         .Connections = 2},
        readClock());
  }
  BOOST_TEST((bench.await(3).End == AttemptEnd::NotSent));
  go = true;
  BOOST_TEST((bench.await(1).End == AttemptEnd::Answered));
  BOOST_TEST((bench.await(2).End == AttemptEnd::Answered));
}

BOOST_DATA_TEST_CASE(aCancelledCallEndsByWhatLeft,
                     (std::vector<bool>{false, true}), sent) {
  FakeUpstream upstream(testAddress(1),
                        [](const std::string &, int) { return Reply{}; });
  Bench bench;
  bench.start(1, upstream.address());
  while (sent && bench.Sent[1] == 0) {
    if (!bench.Client.run()) {
      ev_run(bench.Loop, EVRUN_ONCE);
    }
  }
  bench.Client.cancel(1);
  const auto expected = sent ? AttemptEnd::Broken : AttemptEnd::NotSent;
  BOOST_TEST((bench.await(1).End == expected));
}

BOOST_AUTO_TEST_CASE(theRequestArrivesAsItWas) {
  std::string seen;
  FakeUpstream upstream(testAddress(1), [&](const std::string &request, int) {
    seen = request;
    return Reply{wholeAnswer(request, std::string(1U << 20U, 'b'))};
  });
  Bench bench;
  const std::string body(1U << 20U, 'a');
  bench.start(1, upstream.address(),
              {"PATCH", "/s/../x%2F?q=1", {{"A", "1"}, {"Empty", ""}}, body});
  BOOST_TEST(bench.await(1).Content.Body.size() == 1U << 20U);
  BOOST_TEST(seen.starts_with("PATCH /s/../x%2F?q=1 HTTP/1.1\r\n"));
  BOOST_TEST(fieldOf(seen, "A") == "1");
  BOOST_TEST(seen.find("\r\nEmpty:") != std::string::npos);
  BOOST_TEST(seen.find("Expect") == std::string::npos);
  BOOST_TEST(seen.find("Content-Type") == std::string::npos);
  BOOST_TEST(seen.ends_with("\r\n\r\n" + body));
}
