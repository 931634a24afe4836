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

/// A reader whose state is a large list of members and a configuration.
struct Reader {
  Reader()
      : Server(EventLoop.Loop, BootId, LinkMbps,
               [](StateUpdate &update, StatePart part) {
                 if (part == StatePart::Members) {
                   update.Members = largeMembersUpdate();
                 } else {
                   update.Config = std::make_shared<const std::string>("v5");
                 }
               }),
        Address(http::listenOnFreePort(
            [&](const std::string &it) { return Server.listen(it); })) {}

  /// Sends a poll for all parts of a channel.
  std::unique_ptr<http::RawConnection>
  poll(unsigned follower, StateChannel channel = StateChannel::Lists) const {
    auto connection = http::RawConnection::connect(Address);
    connection->send(std::string("GET /news?channel=") + nameOf(channel) +
                     "&boot=0&after=0&follower=" + std::to_string(follower) +
                     " HTTP/1.1\r\nHost: x\r\n\r\n");
    return connection;
  }

  http::TestLoop EventLoop;
  UpdateServer Server;
  std::string Address;
};

} // namespace

// A follower told of news while its poll waits in line would start it again.
BOOST_AUTO_TEST_CASE(followerInLineForALargeResponseIsNotToldOfNews) {
  Reader it;
  BOOST_TEST(it.Server.sequenceFor(StateChannel::Lists, 1) == 0);
  it.Server.setReading(true);
  it.Server.publish(StatePart::Members);
  BOOST_TEST(it.Server.sequenceFor(StateChannel::Lists, 1) == 1);
  const auto first = it.poll(1);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] { return first->has("200"); }));
  const auto second = it.poll(2);
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.Server.sequenceFor(StateChannel::Lists, 2) == 0; }));
  BOOST_TEST(it.Server.sequenceFor(StateChannel::Lists, 1) == 1);
  BOOST_TEST(it.EventLoop.runUntil([&] { return second->has("200"); }));
  BOOST_TEST(it.Server.sequenceFor(StateChannel::Lists, 2) == 1);
}

BOOST_AUTO_TEST_CASE(configurationDoesNotWaitInLineWithTheLists) {
  Reader it;
  it.Server.setReading(true);
  it.Server.publish(StatePart::Members);
  const auto first = it.poll(1);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] { return first->has("200"); }));
  const auto second = it.poll(2);
  const auto control = it.poll(2, StateChannel::Control);
  it.EventLoop.runFor(std::chrono::milliseconds{50});
  it.Server.publish(StatePart::Configuration);
  BOOST_TEST(it.EventLoop.runUntil([&] { return control->has("v5"); }));
  BOOST_TEST(!second->has("200"));
}

// The reader may never see that a follower closed a silent connection; its poll
// there would take a place in the line for large responses.
BOOST_AUTO_TEST_CASE(newPollOfAFollowerReplacesItsEarlierOne) {
  Reader it;
  it.Server.setReading(true);
  const auto earlier = it.poll(1);
  const auto other = it.poll(2);
  it.EventLoop.runFor(std::chrono::milliseconds{50});
  const auto later = it.poll(1);
  BOOST_TEST(it.EventLoop.runUntil([&] { return earlier->has("404"); }));
  it.Server.publish(StatePart::Members);
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return later->has("200") && other->has("200"); }));
}
