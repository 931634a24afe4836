// Which status a caller gets for a request that must not run twice, after
// upstreams or other instances have received it. 408, 421, 429 and 503 tell
// callers that it did not run; they send it again.
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FakeNetwork.h"

using namespace zinniarail;
using namespace zinniarail::proxy_test;

namespace {

http::CallResult answered(unsigned status, http::Headers fields = {}) {
  http::CallResult out;
  out.Outcome = http::CallOutcome::Answered;
  out.Response = {status, std::move(fields), "body"};
  return out;
}

http::CallResult ended(http::CallOutcome outcome) {
  http::CallResult out;
  out.Outcome = outcome;
  return out;
}

const http::CallResult NotSent = ended(http::CallOutcome::NotSent);
const http::CallResult Broken = ended(http::CallOutcome::Broken);
const http::Header Signed{"X-Response-Signature", "s"};
const http::Header Unrun{"X-Not-Executed", "1"};
const http::Header Encoded{"Content-Encoding", "gzip"};
const http::Header OutcomeUnrun{"X-Zinniarail-Outcome", "did-not-run"};
const http::Header ReasonUnreachable{"X-Zinniarail-Reason", "unreachable"};
const http::CallResult Refused = answered(503, {Unrun});
const http::CallResult Served = answered(200, {Signed});

struct PromiseCase {
  const char *Description;
  std::vector<http::CallResult> Results; ///< Of the attempts, in order.
  unsigned Status;
  const char *Outcome; ///< Empty: an upstream's response.
};

std::ostream &operator<<(std::ostream &out, const PromiseCase &it) {
  return out << it.Description;
}

const std::vector<PromiseCase> PromiseCases{
    {"served", {Served}, 200, ""},
    {"an error of its own", {answered(500, {Signed})}, 500, ""},
    {"503", {answered(503, {Signed})}, 502, "ran"},
    {"429", {answered(429, {Signed})}, 502, "ran"},
    {"408", {answered(408, {Signed})}, 502, "ran"},
    {"503 unsigned", {answered(503)}, 502, "ran"},
    {"503 with another body",
     {answered(503, {Signed, Encoded})},
     502,
     "unknown"},
    {"503 with a refusal's fields of an instance",
     {answered(503, {OutcomeUnrun, ReasonUnreachable})},
     502,
     "ran"},
    {"broken off", {Broken}, 502, "unknown"},
    {"refused, then served", {Refused, Served}, 200, ""},
    {"refused by all", {Refused, Refused, Refused}, 503, "did-not-run"},
    {"refused with 429, then served",
     {answered(429, {Unrun}), Served},
     200,
     ""},
    {"refused with 400, then served",
     {answered(400, {Unrun}), Served},
     200,
     ""},
    {"refused, then 503", {Refused, answered(503, {Signed})}, 502, "ran"},
    {"refused, then broken off", {Refused, Broken}, 502, "unknown"},
    {"not sent, then 503", {NotSent, answered(503, {Signed})}, 502, "ran"},
    {"not sent, then broken off", {NotSent, Broken}, 502, "unknown"},
    {"another upstream's address, then served",
     {answered(421), Served},
     200,
     ""},
    {"another upstream's address, then 503",
     {answered(421), answered(503, {Signed})},
     502,
     "ran"},
    {"all addresses are others'",
     {answered(421), answered(421), answered(421)},
     503,
     "did-not-run"},
    {"a success that says that it did not run",
     {answered(200, {Signed, Unrun}), Served},
     502,
     "unknown"},
    {"an unsigned success that says that it did not run",
     {answered(204, {Unrun}), Served},
     502,
     "unknown"}};

const http::Response &await(TestInstance &instance, http::ExchangeId id) {
  const Instant end = readClock() + 5s;
  while (!instance.hasResponse(id) && readClock() < end) {
    instance.run();
  }
  BOOST_REQUIRE(instance.hasResponse(id));
  return instance.Responses.at(id);
}

std::string outcomeOf(const http::Response &response) {
  const std::string *it =
      http::findHeader(response.Fields, "X-Zinniarail-Outcome");
  return it == nullptr ? "" : *it;
}

bool promises(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

BOOST_DATA_TEST_CASE(onlyWhatDidNotRunIsPromisedNotToHaveRun, PromiseCases,
                     row) {
  TestInstance instance;
  instance.warmUp();
  instance.NextResults.assign(row.Results.begin(), row.Results.end());
  const http::Response &response = await(instance, instance.send("/write/"));
  BOOST_TEST(response.Status == row.Status);
  BOOST_TEST(outcomeOf(response) == row.Outcome);
  BOOST_TEST((promises(response.Status) ==
              (std::string(row.Outcome) == "did-not-run")));
}

// Guards against fields of an upstream that another instance would take for
// those of an instance, and send the request on.
BOOST_AUTO_TEST_CASE(fieldsOfRefusalsAreNotTakenFromUpstreams) {
  TestInstance instance;
  instance.warmUp();
  instance.NextResults = {
      answered(500, {Signed, OutcomeUnrun, ReasonUnreachable})};
  const http::Response &response = await(instance, instance.send("/write/"));
  BOOST_TEST(response.Status == 500U);
  BOOST_TEST(outcomeOf(response).empty());
  BOOST_TEST(http::findHeader(response.Fields, "X-Zinniarail-Reason") ==
             nullptr);
  BOOST_TEST(http::findHeader(response.Fields, "X-Response-Signature") !=
             nullptr);
}

namespace {

struct RelayedCase {
  const char *Description;
  http::CallResult Answer; ///< Of the other instance.
  unsigned Status;
};

std::ostream &operator<<(std::ostream &out, const RelayedCase &it) {
  return out << it.Description;
}

const std::vector<RelayedCase> RelayedCases{
    {"served", Served, 200},
    {"an upstream's error", answered(500, {Signed}), 500},
    {"the instance refuses", answered(503, {OutcomeUnrun}), 503},
    {"the customer is over its limit", answered(429, {OutcomeUnrun}), 429},
    {"an upstream's 503", answered(503, {Signed}), 502},
    {"an upstream's 429", answered(429, {Signed}), 502},
    {"an upstream's 408", answered(408, {Signed}), 502},
    {"an upstream's 421", answered(421, {Signed}), 502},
    {"a refusal before the request was read", answered(503), 502}};

} // namespace

// Guards against a promise that an instance hands on though the other one, of
// an earlier build, didn't make it.
BOOST_DATA_TEST_CASE(onlyPromisesOfInstancesAreHandedOn, RelayedCases, row) {
  CutOffInstance instance;
  const http::ExchangeId id = instance.send("/write/");
  const Instant end = readClock() + 5s;
  while (instance.OtherCalls.empty() && readClock() < end) {
    instance.run();
  }
  BOOST_REQUIRE(!instance.OtherCalls.empty());
  instance.Proxy.onCallEnded(instance.OtherCalls.front().Id, row.Answer);
  BOOST_TEST(await(instance, id).Status == row.Status);
}
