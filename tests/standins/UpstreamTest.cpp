// The upstream stand-in bears what it promises, and has its faults on demand.

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "StandIn.h"
#include "common/Digest.h"

using namespace zinniarail::standins;
namespace data = boost::unit_test::data;
namespace json = boost::json;

namespace {

/// An upstream "u" with one slot and one place in its queue.
struct Upstream : StandIn {
  std::string Address = testAddress(2, 9000);

  explicit Upstream(std::vector<std::string> flags)
      : StandIn("upstream-standin", testAddress(2, 9100),
                withBase(std::move(flags))) {}

  static std::vector<std::string> withBase(std::vector<std::string> flags) {
    flags.insert(flags.end(), {"--control", testAddress(2, 9100), "--listen",
                               "u=" + testAddress(2, 9000), "--slots", "1",
                               "--queue", "1", "--times", "fixed"});
    return flags;
  }

  Call call(const std::string &target,
            std::vector<std::string> headers = {}) const {
    Call out;
    out.Url = "http://" + Address + target;
    out.Headers = std::move(headers);
    out.Timeout = Patience;
    return out;
  }

  json::object counts() const {
    return counters().at("upstreams").at("u").as_object();
  }

  /// Waits until so many requests are there.
  bool awaitInFlight(unsigned n) const {
    return await([&] { return counts().at("inFlight") == n; });
  }
};

const std::vector<std::string> AtOnce{"--mean-ms", "0"};
const std::vector<std::string> Endless{"--mean-ms", "600000"};

} // namespace

BOOST_AUTO_TEST_CASE(anAnswerNamesItsRequest) {
  const Upstream upstream(AtOnce);
  const auto reply =
      fetch(upstream.call("/s/records?n=1", {"X-Attempt-Id: 7"}));
  BOOST_TEST(reply.Status == 200);
  BOOST_TEST(reply.header("x-attempt-id") == "7");
  BOOST_TEST(reply.header("x-load").starts_with("inflight=0;queued=0;"));
  BOOST_TEST(json::parse(reply.Body).at("digest").as_string() ==
             digestRequest("GET", "/s/records?n=1", ""));
}

BOOST_AUTO_TEST_CASE(beyondSlotsAndQueueItSheds) {
  const Upstream upstream(Endless);
  Reply first;
  Reply second;
  auto call = upstream.call("/s");
  call.Timeout = std::chrono::seconds{5};
  auto running = fetchAside(call, first);
  auto queued = fetchAside(call, second);
  BOOST_TEST(upstream.awaitInFlight(2));
  const auto shed = fetch(upstream.call("/s"));
  BOOST_TEST(shed.Status == 503);
  BOOST_TEST(shed.header("x-not-run") == "1");
  running.join();
  queued.join();
  // Closing cancels: both slots are free again, and only one request ran.
  BOOST_TEST(upstream.awaitInFlight(0));
  BOOST_TEST(upstream.counts().at("cancelled") == 2);
}

BOOST_AUTO_TEST_CASE(aDeadlineThatPassesInTheQueueIsNotRun) {
  const Upstream upstream(AtOnce);
  upstream.setFaults(R"({"freeze":true})");
  Reply late;
  auto waiting = fetchAside(upstream.call("/s", {"X-Deadline-Ms: 1"}), late);
  BOOST_TEST(upstream.awaitInFlight(1));
  std::this_thread::sleep_for(std::chrono::milliseconds{5});
  upstream.setFaults(R"({"freeze":false})");
  waiting.join();
  BOOST_TEST(late.Status == 503);
  BOOST_TEST(late.header("x-not-run") == "1");
  BOOST_TEST(upstream.counts().at("deadlineMissed") == 1);
  BOOST_TEST(upstream.counts().at("runs") == 0);
}

BOOST_AUTO_TEST_CASE(coldItFallsOverAtTwoAndWarmsByAnswers) {
  const Upstream upstream({"--mean-ms", "0", "--cold", "--warm-after", "3"});
  upstream.setFaults(R"({"freeze":true})"); // so that two are there at once
  Reply first;
  Reply second;
  auto one = fetchAside(upstream.call("/s"), first);
  auto two = fetchAside(upstream.call("/s"), second);
  BOOST_TEST(upstream.awaitInFlight(2));
  upstream.setFaults(R"({"freeze":false})");
  one.join();
  two.join();
  BOOST_TEST(upstream.counts().at("coldOverloads") == 1);
  for (int n = 0; n < 3; ++n) {
    BOOST_TEST(upstream.counts().at("state") == "cold");
    BOOST_TEST(fetch(upstream.call("/s")).Status == 200);
  }
  BOOST_TEST(upstream.counts().at("state") == "warm");
}

BOOST_AUTO_TEST_CASE(aMarkedRequestTakesTheUpstreamDown) {
  const Upstream upstream({"--mean-ms", "50"});
  upstream.setFaults(R"({"crashDownMs":100})");
  const auto before = upstream.counts().at("incarnation").to_number<long>();
  BOOST_TEST(!fetch(upstream.call("/s", {"X-Crash: 1"})).isWhole());
  BOOST_TEST(
      await([&] { return fetch(upstream.call("/.load")).Status == 200; }));
  const auto counts = upstream.counts();
  BOOST_TEST(counts.at("incarnation").to_number<long>() == before + 1);
  BOOST_TEST(counts.at("state") == "cold");
  BOOST_TEST(counts.at("crashes") == 1);
}

BOOST_AUTO_TEST_CASE(runsAreCountedByKey) {
  const Upstream upstream(AtOnce);
  for (int n = 0; n < 2; ++n) {
    fetch(upstream.call("/s", {"Idempotency-Key: twice"}));
  }
  fetch(upstream.call("/s", {"Idempotency-Key: once"}));
  BOOST_TEST(upstream.counters().at("doubles") == json::array{"twice"});
}

namespace {

/// A fault and what a caller sees of its second request.
struct Fault {
  const char *Change;
  bool Whole;
  long Status;
  int Runs;
  const char *Attempt;
};

std::ostream &operator<<(std::ostream &out, const Fault &it) {
  return out << it.Change;
}

const Fault Faults[] = {
    {R"({"failShare":1})", true, 500, 1, "2"},
    {R"({"draining":true})", true, 503, 1, "2"},
    {R"({"shortShare":1})", false, 200, 2, "2"},
    {R"({"crossedShare":1})", true, 200, 2, "1"},
    {R"({"closeBeforeShare":1})", false, 0, 1, ""},
    {R"({"closeAfterShare":1})", false, 0, 2, ""},
    {R"({"freeze":true})", false, 0, 1, ""},
    {R"({"refuse":true})", false, 0, 1, ""},
    {R"({"lateShare":1,"lateMs":600000})", false, 0, 2, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(faultsShowAsTheyAreSet, data::make(Faults), fault) {
  const Upstream upstream(AtOnce);
  fetch(upstream.call("/s?n=1", {"X-Attempt-Id: 1"}));
  upstream.setFaults(fault.Change);
  auto call = upstream.call("/s?n=2", {"X-Attempt-Id: 2"});
  call.Timeout = std::chrono::seconds{1};
  const auto reply = fetch(call);
  BOOST_TEST(reply.isWhole() == fault.Whole);
  BOOST_TEST(reply.Status == fault.Status);
  BOOST_TEST(reply.header("x-attempt-id") == fault.Attempt);
  BOOST_TEST(upstream.counts().at("runs") == fault.Runs);
}

BOOST_DATA_TEST_CASE(reportsMayLie,
                     data::make({"zero", "full"}) ^
                         data::make({"inflight=0;queued=0",
                                     "inflight=1;queued=1"}),
                     lie, said) {
  const Upstream upstream(AtOnce);
  upstream.setFaults(R"({"lieLoad":")" + std::string(lie) +
                     R"(","lieState":"warm","healthStatus":503})");
  BOOST_TEST(fetch(upstream.call("/.load")).header("x-load").starts_with(said));
  BOOST_TEST(fetch(upstream.call("/.health")).Status == 503);
}
