#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

#include "proxy/RequestLog.h"
#include "zinniarail/events/Events.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

/// A pipe whose one end is the log.
struct Pipe {
  Pipe() {
    std::signal(SIGPIPE, SIG_IGN);
    BOOST_REQUIRE(pipe(Ends) == 0);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    openLog("info", Ends[1]);
  }
  ~Pipe() {
    openLog("error", 2);
    closeReader();
    close(Ends[1]);
  }

  std::string read() {
    std::string all;
    char buf[65536];
    while (true) {
      flushLog();
      const ssize_t n = ::read(Ends[0], buf, sizeof buf);
      if (n <= 0) {
        return all;
      }
      all.append(buf, static_cast<std::size_t>(n));
    }
  }

  void closeReader() {
    if (Ends[0] >= 0) {
      close(Ends[0]);
      Ends[0] = -1;
    }
  }

  int Ends[2] = {-1, -1};
};

std::size_t countLines(const std::string &text, const std::string &name) {
  std::size_t count = 0;
  for (std::size_t at = text.find(name); at != std::string::npos;
       at = text.find(name, at + 1)) {
    ++count;
  }
  return count;
}

proxy::RequestRecord servedRecord(Instant now) {
  proxy::RequestRecord it;
  it.Id = "abc";
  it.Service = "s";
  it.Route = "r";
  it.Version = 3;
  it.Arrived = now - 60ms;
  it.Target = 200ms;
  it.Attempts = {{1,
                  "u1",
                  {},
                  now - 59ms,
                  true,
                  balance::AttemptEnd::Answered,
                  200,
                  58ms,
                  ""}};
  return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(aLineHasItsEventAndFields) {
  Pipe it;
  logEvent(EventId::UpstreamEjected, {{"upstream", "u1"},
                                      {"why", "answered with \"no\" twice"},
                                      {"for_ms", Duration(200ms)},
                                      {"count", 3}});
  const std::string line = it.read();
  BOOST_TEST(line.starts_with("time="));
  BOOST_TEST(line.ends_with(
      "level=WARN event=320 name=upstream-ejected upstream=u1 "
      "why=\"answered with \\\"no\\\" twice\" for_ms=200.00 count=3\n"));
}

BOOST_AUTO_TEST_CASE(lineBreaksStayInTheirValue) {
  Pipe it;
  logEvent(EventId::Started, {{"text", "a\nlevel=ERROR b"}});
  BOOST_TEST(countLines(it.read(), "\n") == 1);
}

// The pipe holds 64 KB and the log 256 KB; nobody reads.
BOOST_AUTO_TEST_CASE(aFullPipeIsNeverWaitedForAndDropsAreCounted) {
  Pipe it;
  constexpr unsigned lines = 20'000;
  for (unsigned n = 0; n < lines; ++n) {
    logEvent(EventId::Started, std::string(80, 'x'));
  }
  const std::uint64_t dropped = droppedLines();
  BOOST_TEST(dropped > 0);
  std::string text = it.read();
  logEvent(EventId::Stopped, "after");
  text += it.read();
  BOOST_TEST(countLines(text, "name=started") == lines - dropped);
  BOOST_TEST(countLines(text, "name=lines-dropped count=" +
                                  std::to_string(dropped)) == 1);
  BOOST_TEST(countLines(text, "text=after") == 1);
}

BOOST_AUTO_TEST_CASE(aClosedPipeIsNeverWaitedFor) {
  Pipe it;
  it.closeReader();
  for (unsigned n = 0; n < 20'000; ++n) {
    logEvent(EventId::Started, std::string(80, 'x'));
  }
  BOOST_TEST(true); // It came back.
}

BOOST_AUTO_TEST_CASE(servedRequestsAreListedUpToARateAndCountedBeyond) {
  Pipe it;
  proxy::RequestLog log;
  const Instant now{1h};
  proxy::RequestEnd end;
  end.Status = 200;
  constexpr unsigned requests = 500;
  for (unsigned n = 0; n < requests; ++n) {
    log.write(servedRecord(now), end, now);
  }
  log.tellLeftOut(now + 1s);
  const std::string text = it.read();
  const std::size_t listed = countLines(text, "name=request-served");
  BOOST_TEST(listed == 20);
  BOOST_TEST(countLines(text, "name=requests-not-listed count=" +
                                  std::to_string(requests - listed)) == 1);
}

BOOST_AUTO_TEST_CASE(failuresAreAllListedWithTheirGrounds) {
  Pipe it;
  proxy::RequestLog log;
  const Instant now{1h};
  proxy::RequestEnd end;
  end.What = proxy::RequestEnd::How::Refused;
  end.Status = 503;
  end.Reason = "overloaded";
  end.Outcome = balance::Truth::DidNotRun;
  end.RetryAfter = 120ms;
  const balance::Situation seen{14, 2, 1, 11, 0, 0, 5, 0.5};
  end.Seen = &seen;
  constexpr unsigned requests = 300;
  for (unsigned n = 0; n < requests; ++n) {
    log.write(servedRecord(now), end, now);
  }
  const std::string text = it.read();
  BOOST_TEST(countLines(text, "name=request-refused") == requests);
  BOOST_TEST(countLines(text, "id=abc") == requests);
  BOOST_TEST(countLines(text, "reason=overloaded outcome=did-not-run "
                              "retry_after_ms=120.00") == requests);
  BOOST_TEST(countLines(text, "ejected=2 cold=1 full=11") == requests);
}
