// Requests that an instance relays to another one, since it reaches no
// upstream.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeNetwork.h"

using namespace zinniarail;
using namespace zinniarail::proxy_test;

namespace {

/// How a relay ends.
enum class End : std::uint8_t {
  Answered,
  NotSent,
  Broken,
  Unsigned,
  Unreachable,
  OtherVersion,
  Overloaded,
  Unknown,
};

http::Response refusal(unsigned status, const char *outcome,
                       const char *reason) {
  return {status,
          {{"X-Zinniarail-Outcome", outcome}, {"X-Zinniarail-Reason", reason}},
          "{}"};
}

http::CallResult resultOf(End end) {
  http::CallResult out;
  out.Outcome = http::CallOutcome::Answered;
  switch (end) {
  case End::Answered:
    out.Response = answerOf("u1");
    break;
  case End::NotSent:
    out.Outcome = http::CallOutcome::NotSent;
    break;
  case End::Broken:
    out.Outcome = http::CallOutcome::Broken;
    break;
  case End::Unsigned:
    out.Response = {200, {}, "body"};
    break;
  case End::Unreachable:
    out.Response = refusal(503, "did-not-run", "unreachable");
    break;
  case End::OtherVersion:
    out.Response = refusal(503, "did-not-run", "version-mismatch");
    break;
  case End::Overloaded:
    out.Response = refusal(503, "did-not-run", "overloaded");
    break;
  case End::Unknown:
    out.Response = refusal(502, "unknown", "upstream-failed");
    break;
  }
  return out;
}

struct Case {
  const char *Name;
  const char *Path;
  std::vector<End> Ends; ///< Of the relays, in order.
  unsigned ExpectedStatus;
  const char *ExpectedOutcome; ///< Empty: an upstream's answer.
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Name << " " << it.Path;
}

const std::vector<Case> Cases{
    {"answered", "/write/", {End::Answered}, 200, ""},
    {"answered", "/read/", {End::Answered}, 200, ""},
    {"one not reached", "/write/", {End::NotSent, End::Answered}, 200, ""},
    {"none reached",
     "/write/",
     {End::NotSent, End::NotSent, End::NotSent},
     503,
     "did-not-run"},
    {"one is cut off too",
     "/write/",
     {End::Unreachable, End::Answered},
     200,
     ""},
    {"all are cut off",
     "/write/",
     {End::Unreachable, End::Unreachable, End::Unreachable},
     503,
     "did-not-run"},
    {"one has another configuration",
     "/write/",
     {End::OtherVersion, End::Answered},
     200,
     ""},
    {"all have another configuration",
     "/write/",
     {End::OtherVersion, End::OtherVersion, End::OtherVersion},
     503,
     "did-not-run"},
    {"refused", "/write/", {End::Overloaded}, 503, "did-not-run"},
    {"failed there", "/write/", {End::Unknown}, 502, "unknown"},
    {"broken", "/write/", {End::Broken}, 502, "unknown"},
    {"altered", "/write/", {End::Unsigned}, 502, "unknown"},
    {"broken", "/read/", {End::Broken, End::Answered}, 200, ""},
    {"broken, then refused",
     "/read/",
     {End::Broken, End::Overloaded},
     502,
     "unknown"},
    {"not reached, then broken",
     "/write/",
     {End::NotSent, End::Broken},
     502,
     "unknown"},
};

} // namespace

// RECOVER: callers go on coming to an instance that reaches no upstream.
BOOST_DATA_TEST_CASE(relayedRequestEndsAsTheOtherInstanceSays, Cases, it) {
  CutOffInstance instance;
  const http::ExchangeId id = instance.send(it.Path);
  for (std::size_t n = 0; n < it.Ends.size(); ++n) {
    BOOST_REQUIRE(!instance.hasResponse(id));
    BOOST_REQUIRE(instance.OtherCalls.size() == n + 1);
    instance.EndedCalls.emplace_back(instance.OtherCalls[n].Id,
                                     resultOf(it.Ends[n]));
    instance.run();
  }
  BOOST_REQUIRE(instance.hasResponse(id));
  BOOST_TEST(instance.OtherCalls.size() == it.Ends.size());
  const http::Response &response = instance.Responses[id];
  BOOST_TEST(response.Status == it.ExpectedStatus);
  const std::string *outcome =
      http::findHeader(response.Fields, "X-Zinniarail-Outcome");
  BOOST_TEST((outcome == nullptr ? "" : *outcome) == it.ExpectedOutcome);
  if (*it.ExpectedOutcome == 0) {
    BOOST_TEST(response.Body == "body of u1");
  }
}

BOOST_AUTO_TEST_CASE(relayCarriesTheRequestAndWhatIsLeftOfItsDeadline) {
  CutOffInstance instance;
  instance.send("/write/a", 900ms);
  BOOST_REQUIRE(instance.OtherCalls.size() == 1U);
  const std::string &bytes = instance.OtherCalls.front().Bytes;
  BOOST_TEST(bytes.starts_with("GET /write/a?n="));
  BOOST_TEST(bytes.find("Host: orders.example\r\n") != std::string::npos);
  BOOST_TEST(bytes.find("X-Request-Id: r") != std::string::npos);
  BOOST_TEST(bytes.find("X-Zinniarail-Relayed: ") != std::string::npos);
  BOOST_TEST(bytes.find("X-Zinniarail-Version: 1\r\n") != std::string::npos);
  constexpr std::string_view key = "X-Deadline-Milliseconds: ";
  const std::size_t at = bytes.find(key);
  BOOST_REQUIRE(at != std::string::npos);
  const int left = std::stoi(bytes.substr(at + key.size()));
  BOOST_TEST(left > 0);
  BOOST_TEST(left < 900);
}

BOOST_AUTO_TEST_CASE(instanceThatDidNotServeARelayGetsNoOtherForAWhile) {
  CutOffInstance instance;
  instance.send("/write/");
  const std::string first = instance.OtherCalls.front().Address;
  instance.EndedCalls.emplace_back(instance.OtherCalls.front().Id,
                                   resultOf(End::Unreachable));
  instance.run();
  for (unsigned n = 0; n < 20; ++n) {
    instance.send("/write/");
  }
  BOOST_TEST(instance.OtherCalls.size() == 22U);
  for (std::size_t n = 1; n < instance.OtherCalls.size(); ++n) {
    BOOST_TEST(instance.OtherCalls[n].Address != first);
  }
}

// Its configuration, or this instance's, will be up to date in a moment.
BOOST_AUTO_TEST_CASE(instanceWithAnotherConfigurationGetsTheNextRelay) {
  CutOffInstance instance;
  instance.Targets.resize(1);
  instance.send("/write/");
  instance.EndedCalls.emplace_back(instance.OtherCalls.front().Id,
                                   resultOf(End::OtherVersion));
  instance.run();
  instance.send("/write/");
  BOOST_TEST(instance.OtherCalls.size() == 2U);
}

// A caller would see the effect of one version, and then that of an older one.
BOOST_DATA_TEST_CASE(relayIsNotHandledByAnotherVersion,
                     (std::vector<std::string>{"6", "7", "8", ""}), version) {
  TestInstance instance;
  instance.Proxy.onRoutingSnapshot(makeSnapshot(7));
  http::Headers fields{{"X-Zinniarail-Relayed", "1"}};
  if (!version.empty()) { // Builds before this one send none.
    fields.push_back({"X-Zinniarail-Version", version});
  }
  const http::ExchangeId id = instance.send("/read/", 1s, fields);
  while (!instance.hasResponse(id)) {
    instance.run();
  }
  const http::Response &response = instance.Responses[id];
  const bool isServed = version.empty() || version == "7";
  BOOST_TEST(response.Status == (isServed ? 200U : 503U));
  if (!isServed) {
    BOOST_TEST(*http::findHeader(response.Fields, "X-Zinniarail-Reason") ==
               "version-mismatch");
  }
  BOOST_TEST(instance.LastUpstreamBytes.find("Zinniarail-Version") ==
             std::string::npos);
}

// A caller can't make an instance refuse its own requests.
BOOST_AUTO_TEST_CASE(versionOfARequestThatWasNotRelayedIsIgnored) {
  TestInstance instance;
  instance.warmUp();
  const http::ExchangeId id =
      instance.send("/read/", 1s, {{"X-Zinniarail-Version", "99"}});
  while (!instance.hasResponse(id)) {
    instance.run();
  }
  BOOST_TEST(instance.Responses[id].Status == 200);
}

BOOST_AUTO_TEST_CASE(otherFailureDomainsGetARelayOnlyIfThereIsNoOtherTarget) {
  CutOffInstance instance;
  instance.Targets = {{"i2", "192.0.2.102:80", false},
                      {"i3", "192.0.2.103:80", true}};
  instance.send("/write/");
  BOOST_TEST(instance.OtherCalls.back().Address == "192.0.2.102:80");
  instance.EndedCalls.emplace_back(instance.OtherCalls.back().Id,
                                   resultOf(End::NotSent));
  instance.run();
  BOOST_TEST(instance.OtherCalls.size() == 2U);
  BOOST_TEST(instance.OtherCalls.back().Address == "192.0.2.103:80");
}

BOOST_AUTO_TEST_CASE(relayedRequestIsNeverRelayedAgain) {
  CutOffInstance instance;
  const http::ExchangeId id =
      instance.send("/read/", 1s, {{"X-Zinniarail-Relayed", "1"}});
  BOOST_TEST(instance.OtherCalls.empty());
  BOOST_REQUIRE(instance.hasResponse(id));
  BOOST_TEST(instance.Responses[id].Status == 503);
}

BOOST_AUTO_TEST_CASE(upstreamNeverSeesTheMarkOfARelay) {
  TestInstance instance;
  instance.warmUp();
  const http::ExchangeId id =
      instance.send("/read/", 1s, {{"X-Zinniarail-Relayed", "1"}});
  while (!instance.hasResponse(id)) {
    instance.run();
  }
  BOOST_TEST(instance.Responses[id].Status == 200);
  BOOST_TEST(instance.LastUpstreamBytes.find("Relayed") == std::string::npos);
}

struct DeadlineCase {
  http::CallOutcome OnCancel;
  unsigned ExpectedStatus;
};
std::ostream &operator<<(std::ostream &out, const DeadlineCase &it) {
  return out << it.ExpectedStatus;
}

BOOST_DATA_TEST_CASE(relayEndsAtTheDeadline,
                     (std::vector<DeadlineCase>{
                         {http::CallOutcome::NotSent, 503},
                         {http::CallOutcome::Broken, 504}}),
                     it) {
  CutOffInstance instance;
  instance.OutcomeOfCancel = it.OnCancel;
  const http::ExchangeId id = instance.send("/write/", 700ms);
  BOOST_REQUIRE(instance.OtherCalls.size() == 1U);
  const Instant end = readClock() + 5s;
  while (!instance.hasResponse(id) && readClock() < end) {
    instance.run();
    std::this_thread::sleep_for(1ms);
  }
  BOOST_REQUIRE(instance.hasResponse(id));
  BOOST_TEST(instance.Responses[id].Status == it.ExpectedStatus);
}

BOOST_DATA_TEST_CASE(relayOfACallerThatLeftIsCancelledIfItMayBeRepeated,
                     (std::vector<const char *>{"/read/", "/write/"}), path) {
  CutOffInstance instance;
  const http::ExchangeId id = instance.send(path);
  BOOST_REQUIRE(instance.OtherCalls.size() == 1U);
  instance.Cancelled.clear();
  instance.Proxy.onCallerGone(id);
  const bool wasCancelled =
      std::find(instance.Cancelled.begin(), instance.Cancelled.end(),
                instance.OtherCalls.front().Id) != instance.Cancelled.end();
  BOOST_TEST(wasCancelled == (std::string(path) == "/read/"));
  instance.EndedCalls.emplace_back(instance.OtherCalls.front().Id,
                                   resultOf(End::Answered));
  instance.run();
  BOOST_TEST(!instance.hasResponse(id));
}
