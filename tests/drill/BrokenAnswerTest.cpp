// Broken responses of upstreams, on real processes: none reaches a caller as an
// answer.
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Drill.h"

using namespace zinniarail;
using namespace zinniarail::drill_test;

namespace {

constexpr unsigned BadGateway = 502;

// More than the buffers between an instance and an upstream take.
constexpr std::size_t UploadBytes = std::size_t{8} << 20;

standins::DeploymentPlan planOfOneInstance() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.InstanceCount = 1;
  plan.Settings.MaxBodyBytes = UploadBytes;
  return plan;
}

http::Response upload(Drill &drill, const std::string &path,
                      const std::string &id) {
  const auto request = std::make_shared<const http::Request>(
      http::Request{"POST",
                    path + id,
                    {{"Host", "orders.example"},
                     {"X-Request-Id", id},
                     {"X-Deadline-Milliseconds", "2000"}},
                    std::string(UploadBytes, 'u')});
  http::Call call;
  const http::CallId callId = call.Id = ++drill.LastCall;
  call.Address = drill.Deployed.Instances[0].CallerAddress;
  http::setRequest(call, request, {});
  drill.Pool.start(std::move(call));
  drill.EventLoop.runUntil([&] { return drill.Results.contains(callId); });
  return drill.Results[callId].Response;
}

bool isSigned(const http::Response &response) {
  return http::findHeader(response.Fields, "X-Response-Signature") != nullptr;
}

} // namespace

// Guards against a part of a body that is taken for all of it, because the
// upstream reset the connection while the request was being sent.
BOOST_AUTO_TEST_CASE(uploadThatIsCutByAResetIsNoSuccess) {
  Drill drill(planOfOneInstance());
  for (auto &it : drill.Deployed.UpstreamLinks) {
    it->Faults.CutUploads = true;
  }
  const http::Response once = upload(drill, "/order/", "once");
  BOOST_TEST(once.Status == BadGateway);
  BOOST_TEST(!isSigned(once));
  const http::Response again = upload(drill, "/moving/", "again");
  BOOST_TEST(again.Status == BadGateway);
  BOOST_TEST(!isSigned(again));
  unsigned cut = 0;
  for (auto &it : drill.Deployed.UpstreamLinks) {
    cut += it->uploadsCut();
    it->Faults = {};
  }
  BOOST_TEST(cut == 3U); // One attempt, then two.
  BOOST_TEST(drill.EventLoop.runUntil([&] {
    return upload(drill, "/order/", "sound" + std::to_string(++cut)).Status ==
           200;
  }));
}

namespace {

/// A response that an upstream sends; "{id}" stands for the request's id.
struct BrokenResponse {
  const char *Description;
  std::string Bytes;
};

std::ostream &operator<<(std::ostream &out, const BrokenResponse &it) {
  return out << it.Description;
}

const std::string OwnFields =
    "X-Request-Id: {id}\r\nX-Response-Signature: s.{id}\r\n";
const std::string Sound = "HTTP/1.1 200 OK\r\n" + OwnFields;

const std::vector<BrokenResponse> BrokenResponses{
    {"status 000",
     "HTTP/1.1 000 None\r\n" + OwnFields + "Content-Length: 4\r\n\r\nbody"},
    {"a name with a blank",
     Sound + "X-Na me: 1\r\nContent-Length: 4\r\n\r\nbody"},
    {"a name with a control byte",
     Sound + "X-Na\x01me: 1\r\nContent-Length: 4\r\n\r\nbody"},
    {"a blank behind the name of the length",
     Sound + "Content-Length : 2\r\n\r\nbody"}};

} // namespace

// A request that must not run twice is sent once and has an unknown outcome;
// one that may run again is served by another upstream.
BOOST_DATA_TEST_CASE(brokenResponseIsNoAnswer, BrokenResponses, row) {
  Drill drill(planOfOneInstance());
  for (auto &it : drill.Deployed.Upstreams) {
    const bool isSound = it->Config.Service == "archive" &&
                         it != drill.Deployed.Upstreams.back();
    it->Faults.RawResponse = isSound ? "" : row.Bytes;
    it->Faults.RawHealthChecks = !isSound;
  }
  const http::CallResult once = drill.get(
      drill.Deployed.Instances[0].CallerAddress, "/order/once",
      "X-Request-Id: once\r\nX-Deadline-Milliseconds: 2000\r\n", "POST");
  const unsigned runs = drill.Deployed.Executions.Requests["once"].TimesStarted;
  BOOST_TEST(runs <= 1U);
  BOOST_TEST(once.Response.Status == (runs == 1 ? BadGateway : 503U));
  BOOST_TEST(!isSigned(once.Response));
  for (unsigned n = 0; n < 6; ++n) {
    BOOST_TEST(drill.sendRequest("GET", "/moving/",
                                 "again-" + std::to_string(n)) == 200U);
  }
  for (auto &it : drill.Deployed.Upstreams) {
    it->Faults = {};
  }
  unsigned sent = 0;
  BOOST_TEST(drill.EventLoop.runUntil([&] {
    return drill.sendRequest("POST", "/order/",
                             "sound-" + std::to_string(++sent)) == 200;
  }));
}

namespace {

// None begins with another one.
std::string pipelinedId(unsigned n) { return "p-" + std::to_string(n) + "."; }

} // namespace

// A response that is none completes no other request, whatever is sent behind
// it on the caller's connection.
BOOST_DATA_TEST_CASE(brokenResponseLeavesPipelinedRequestsAlone,
                     BrokenResponses, row) {
  constexpr unsigned count = 12;
  Drill drill(planOfOneInstance());
  drill.Deployed.Upstreams.back()->Faults.RawResponse = row.Bytes;
  const auto caller =
      http::RawConnection::connect(drill.Deployed.Instances[0].CallerAddress);
  BOOST_REQUIRE(caller != nullptr);
  std::string requests;
  for (unsigned n = 0; n < count; ++n) {
    const std::string id = pipelinedId(n);
    requests.append("GET /moving/")
        .append(id)
        .append(" HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: ")
        .append(id)
        .append("\r\nX-Deadline-Milliseconds: 2000\r\n\r\n");
  }
  caller->send(requests);
  const std::string last = "answer to " + pipelinedId(count - 1);
  BOOST_REQUIRE(drill.EventLoop.runUntil([&] { return caller->has(last); }));
  std::size_t at = 0;
  for (unsigned n = 0; n < count; ++n) {
    const std::string id = pipelinedId(n);
    for (const auto &[before, value] :
         std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 ", "200 "},
             {"X-Request-Id: ", id},
             {"answer to ", id}}) {
      at = caller->Bytes.find(before, at);
      BOOST_REQUIRE(at != std::string::npos);
      at += before.size();
      BOOST_TEST(caller->Bytes.substr(at, value.size()) == value);
    }
  }
  BOOST_TEST(caller->Bytes.find("\r\n\r\nbody") == std::string::npos);
}
