// What callers may take for "did not run", and where they send again.

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "StandIn.h"
#include "common/Digest.h"
#include "common/HttpServer.h"

using namespace zinniarail;
using namespace zinniarail::standins;
namespace json = boost::json;

namespace {

const std::string Served = testAddress(4, 9000);

/// A loop of its own, with a server on it that answers as it is told.
struct Loop {
  std::unique_ptr<struct ev_loop, decltype(&ev_loop_destroy)> Owned{
      ev_loop_new(EVFLAG_AUTO), &ev_loop_destroy};
  struct ev_loop *Events = Owned.get();
  HttpServer Server;
  HttpClient Client;

  explicit Loop(HttpServer::Handler handler)
      : Server(Events, Served, std::move(handler)), Client(Events) {
    BOOST_REQUIRE(Server.listen());
  }

  Reply send(const std::string &method) {
    Call call;
    call.Method = method;
    call.Url = "http://" + Served + "/";
    call.Body = method == "POST" ? "order" : "";
    call.Timeout = Patience;
    Reply out;
    Client.start(call, [&](const Reply &it) {
      out = it;
      ev_break(Events, EVBREAK_ALL);
    });
    ev_run(Events, 0);
    return out;
  }
};

} // namespace

// libcurl itself sends a call again when a kept connection turns out dead.
BOOST_AUTO_TEST_CASE(aCallThatWasReadIsNeverCalledUnsent) {
  unsigned read = 0;
  Loop *self = nullptr;
  Loop loop([&](const ExchangePtr &it) {
    if (++read == 1) {
      return it->answer({});
    }
    self->Server.refuse();
    it->abort();
  });
  self = &loop;
  BOOST_REQUIRE(loop.send("POST").isWhole());
  const auto reply = loop.send("POST");
  BOOST_TEST(read == 2u);
  BOOST_TEST(!reply.isWhole());
  BOOST_TEST(reply.MayHaveArrived);
}

// The answer that callers keep names instances that are gone.
BOOST_AUTO_TEST_CASE(callersLeaveOutAnAddressThatFailed) {
  Loop loop([&](const ExchangePtr &it) {
    json::array addresses;
    for (const unsigned host : {4, 5, 6, 7}) { // Only one of them lives.
      addresses.push_back(json::object{{"address", testAddress(host, 9000)}});
    }
    const json::object body =
        it->path() == "/.zinniarail/resolve"
            ? json::object{{"keepMs", 60'000}, {"addresses", addresses}}
            : json::object{
                  {"digest", digestRequest(it->Method, it->Target, it->Body)}};
    it->answer({.Body = json::serialize(body)});
  });
  const std::string file = std::filesystem::temp_directory_path() /
                           ("zinniarail-left-out-" + std::to_string(getpid()));
  const std::string program = ZINNIARAIL_BINARY_DIR "/standins/caller-standin";
  Process callers;
  BOOST_REQUIRE(
      callers.start({program, "--instances", Served, "--service", "s", "--rate",
                     "200", "--seconds", "1", "--output", file},
                    ""));
  std::optional<int> code;
  const auto until = readClock() + Patience;
  while (!code && readClock() < until) {
    ev_run(loop.Events, EVRUN_NOWAIT);
    code = callers.wait(std::chrono::milliseconds{1});
  }
  std::stringstream report;
  report << std::ifstream(file).rdbuf();
  std::filesystem::remove(file);
  BOOST_TEST((code == 0), report.str());
}
