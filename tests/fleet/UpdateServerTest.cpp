#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "fleet/UpdateServer.h"
#include "zinniarail/core/Hash.h"

using namespace zinniarail;
using namespace zinniarail::fleet;

namespace {

constexpr std::uint64_t BootId = 7;
// Some seconds pass between two large responses over this link.
constexpr double LinkMbps = 0.1;

/// A list that stays large when it is compressed.
MembersUpdate largeMembersUpdate() {
  MembersUpdate update;
  constexpr unsigned count = 400;
  for (unsigned n = 0; n < count; ++n) {
    Member it;
    it.Record.Id = std::to_string(hashBytes(std::to_string(n)));
    it.BootId = hashBytes(it.Record.Id);
    update.List.Items.push_back(it);
  }
  return update;
}

} // namespace

// A follower told of news while its poll waits in line would start it again.
BOOST_AUTO_TEST_CASE(followerInLineForALargeResponseIsNotToldOfNews) {
  http::TestLoop loop;
  UpdateServer server(loop.Loop, BootId, LinkMbps,
                      [](StateUpdate &update, StatePart) {
                        update.Members = largeMembersUpdate();
                      });
  const std::string address = http::listenOnFreePort(
      [&](const std::string &it) { return server.listen(it); });
  BOOST_TEST(server.sequenceFor(1) == 0);
  server.setReading(true);
  server.publish(StatePart::Members);
  const auto poll = [&](unsigned follower) {
    auto connection = http::RawConnection::connect(address);
    connection->send("GET /news?boot=0&after=0&follower=" +
                     std::to_string(follower) + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return connection;
  };
  BOOST_TEST(server.sequenceFor(1) == 1);
  const auto first = poll(1);
  BOOST_REQUIRE(loop.runUntil([&] { return first->has("200"); }));
  const auto second = poll(2);
  BOOST_TEST(loop.runUntil([&] { return server.sequenceFor(2) == 0; }));
  BOOST_TEST(server.sequenceFor(1) == 1);
  BOOST_TEST(loop.runUntil([&] { return second->has("200"); }));
  BOOST_TEST(server.sequenceFor(2) == 1);
}
