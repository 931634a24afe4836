// Responses of the store that end early, by the calls that they answer.
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "platform/StoreClient.h"

using namespace zinniarail;
using namespace zinniarail::platform;
using namespace std::chrono_literals;

namespace {

/// A call to the store, the body of its response, and what is known after a
/// part of it.
struct StoreCall {
  const char *Description;
  std::function<void(StoreClient &, StoreClient::Callback)> Start;
  std::string Body;
  bool IsRead;
};

std::ostream &operator<<(std::ostream &out, const StoreCall &it) {
  return out << it.Description;
}

const std::string ObjectText =
    R"({"metadata":{"name":"n","revision":4},"specification":{"a":"1"}})";

const std::vector<StoreCall> StoreCalls{
    {"a list",
     [](StoreClient &it, StoreClient::Callback done) {
       it.list(Kind::Upstreams, "", Freshness::Latest, 5s, std::move(done));
     },
     R"({"items":[)" + ObjectText + R"(],"has_more":false,"as_of":5})", true},
    {"a watch",
     [](StoreClient &it, StoreClient::Callback done) {
       it.watch(Kind::Upstreams, 3, 1s, Freshness::Latest, 5s, std::move(done));
     },
     R"({"events":[{"deleted":false,"object":)" + ObjectText +
         R"(}],"as_of":5})",
     true},
    {"a creation",
     [](StoreClient &it, StoreClient::Callback done) {
       it.create(Kind::Instances, "n", boost::json::object{}, 5s,
                 std::move(done));
     },
     ObjectText, false},
    {"a replacement",
     [](StoreClient &it, StoreClient::Callback done) {
       it.replace(Kind::Instances, "n", 3, boost::json::object{}, 5s,
                  std::move(done));
     },
     ObjectText, false},
    {"a status",
     [](StoreClient &it, StoreClient::Callback done) {
       it.replaceStatus(Kind::Rollouts, "n", 3, boost::json::object{}, 5s,
                        std::move(done));
     },
     ObjectText, false}};

/// The fields of a response's framing, and what surrounds its body.
struct Framing {
  const char *Description;
  std::function<std::string(const std::string &body)> Apply;
};

std::ostream &operator<<(std::ostream &out, const Framing &it) {
  return out << it.Description;
}

const std::string Head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";

const std::vector<Framing> Framings{
    {"a length",
     [](const std::string &body) {
       return Head + "Content-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body;
     }},
    {"the end of the connection",
     [](const std::string &body) { return Head + "\r\n" + body; }},
    {"a length with a blank behind its name", [](const std::string &body) {
       return Head + "Content-Length : " + std::to_string(body.size()) +
              "\r\n\r\n" + body;
     }}};

enum class Ending : std::uint8_t { Closed, Reset };

std::ostream &operator<<(std::ostream &out, Ending it) {
  return out << (it == Ending::Closed ? "closed" : "reset");
}

Reply replyTo(const StoreCall &call, const std::string &bytes, Ending ending) {
  http::TestLoop loop;
  const http::RawServer server;
  StoreClient client(loop.Loop, server.Address);
  std::optional<Reply> reply;
  call.Start(client, [&](Reply it) { reply = std::move(it); });
  std::unique_ptr<http::RawConnection> peer;
  BOOST_REQUIRE(loop.runUntil([&] {
    if (!peer) {
      peer = server.accept();
    }
    return peer && peer->has("\r\n\r\n");
  }));
  peer->send(bytes);
  ending == Ending::Reset ? peer->reset() : peer->close();
  BOOST_REQUIRE(loop.runUntil([&] { return reply.has_value(); }));
  return *reply;
}

} // namespace

// Guards against a part of the store's response that counts as a whole one:
// entries would be lost with a list, and a write would seem to be known.
BOOST_DATA_TEST_CASE(partOfTheStoresResponseIsNone,
                     boost::unit_test::data::make(StoreCalls) *
                         boost::unit_test::data::make(Framings) *
                         boost::unit_test::data::make(std::vector<Ending>{
                             Ending::Closed, Ending::Reset}),
                     call, framing, ending) {
  const std::string whole = framing.Apply(call.Body);
  for (std::size_t n = 0; n < whole.size(); ++n) {
    const Reply reply = replyTo(call, whole.substr(0, n), ending);
    BOOST_TEST(reply.Objects.empty(), n);
    if (call.IsRead) {
      BOOST_TEST((reply.Result == Outcome::Unreachable ||
                  reply.Result == Outcome::Malformed),
                 n << ": " << nameOf(reply.Result));
    } else {
      BOOST_TEST((reply.Result == Outcome::Unknown),
                 n << ": " << nameOf(reply.Result));
    }
  }
}

BOOST_DATA_TEST_CASE(wholeResponseOfTheStoreIsTaken, StoreCalls, call) {
  for (const Framing &framing : {Framings[0], Framings[1]}) {
    const Reply reply = replyTo(call, framing.Apply(call.Body), Ending::Closed);
    BOOST_TEST((reply.Result == Outcome::Done));
    BOOST_TEST(reply.Objects.size() == 1U);
  }
}

// A removal is known by its status: its response need not hold the object.
BOOST_AUTO_TEST_CASE(removalIsKnownByItsStatus) {
  const StoreCall removal{"a removal",
                          [](StoreClient &it, StoreClient::Callback done) {
                            it.remove(Kind::Instances, "n", 4, 5s,
                                      std::move(done));
                          },
                          ObjectText, false};
  const Reply part = replyTo(
      removal, Framings[1].Apply(ObjectText.substr(0, 9)), Ending::Closed);
  BOOST_TEST((part.Result == Outcome::Done));
  const Reply cut =
      replyTo(removal, Head.substr(0, Head.size() - 3), Ending::Closed);
  BOOST_TEST((cut.Result == Outcome::Unknown));
}
