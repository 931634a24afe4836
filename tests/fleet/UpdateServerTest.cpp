#include <map>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "fleet/UpdateServer.h"
#include "http/ClientPool.h"
#include "zinniarail/core/Hash.h"

using namespace zinniarail;
using namespace zinniarail::fleet;

namespace update_server_test {

constexpr std::uint64_t BootId = 7;
// Some seconds pass between two large responses over this link.
constexpr double LinkMbps = 0.1;

/// A list that stays large when it is compressed.
MembersUpdate membersUpdate(unsigned count = 400) {
  MembersUpdate update;
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
                   update.Members = membersUpdate();
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

/// Followers that poll the lists again and again, as instances do.
struct Followers {
  Followers(struct ev_loop *loop, std::string address, StateChannel channel,
            unsigned count)
      : Address(std::move(address)), Channel(channel),
        Pool(loop, [this](http::CallId id, const http::CallResult &result) {
          handleResult(id, result);
        }) {
    Sequences.resize(count);
    for (unsigned n = 0; n < count; ++n) {
      poll(n);
    }
  }

  void poll(std::size_t n) {
    http::Call call;
    call.Id = ++LastCall;
    call.Address = Address;
    call.Bytes = std::string("GET /news?channel=") + nameOf(Channel) +
                 "&boot=" + std::to_string(BootId) +
                 "&after=" + std::to_string(Sequences[n]) +
                 "&follower=" + std::to_string(n + 1) +
                 " HTTP/1.1\r\nHost: x\r\n\r\n";
    Calls[call.Id] = n;
    Pool.start(std::move(call));
  }

  void handleResult(http::CallId id, const http::CallResult &result) {
    const std::size_t n = Calls.extract(id).mapped();
    const auto update = decodeUpdate(result.Response.Body);
    BOOST_REQUIRE(update.has_value());
    ReceivedBytes += result.Response.Body.size();
    Sequences[n] = update->Sequence;
    poll(n);
  }

  bool haveAll(std::uint64_t sequence) const {
    return std::all_of(Sequences.begin(), Sequences.end(),
                       [&](std::uint64_t it) { return it == sequence; });
  }

  std::string Address;
  StateChannel Channel;
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  std::map<http::CallId, std::size_t> Calls;
  std::vector<std::uint64_t> Sequences; ///< Of the last updates.
  std::size_t ReceivedBytes = 0;
};

struct ShareCase {
  StateChannel Channel;
  StatePart Part;
  double LinkShare;
};
std::ostream &operator<<(std::ostream &out, const ShareCase &it) {
  return out << nameOf(it.Channel);
}

} // namespace update_server_test
using namespace update_server_test;

// All followers get each update, ten times a second. Pongs that wait behind
// such updates make the reader seem lost.
BOOST_DATA_TEST_CASE(changesInQuickSuccessionLeaveAPartOfTheLinkFree,
                     (std::vector<ShareCase>{
                         {StateChannel::Lists, StatePart::Members, 0.5},
                         {StateChannel::Control, StatePart::Configuration,
                          0.75}}),
                     it) {
  constexpr double linkMbps = 2;
  const double bytesPerSecond = linkMbps * 1e6 / 8 * it.LinkShare;
  constexpr unsigned changes = 20;
  http::TestLoop eventLoop;
  unsigned members = 0;
  UpdateServer server(eventLoop.Loop, BootId, linkMbps,
                      [&](StateUpdate &update, StatePart part) {
                        if (part == StatePart::Members) {
                          update.Members = membersUpdate(members);
                        } else {
                          StateUpdate contents;
                          contents.Members = membersUpdate(members);
                          update.Config = std::make_shared<const std::string>(
                              encodeUpdate(contents));
                        }
                      });
  server.setReading(true);
  const Instant startedAt = readClock();
  Followers followers(eventLoop.Loop,
                      http::listenOnFreePort([&](const std::string &address) {
                        return server.listen(address);
                      }),
                      it.Channel, 30);
  for (unsigned n = 0; n < changes; ++n) {
    members += 20;
    server.publish(it.Part);
    eventLoop.runFor(std::chrono::milliseconds{100});
  }
  const std::chrono::duration<double> elapsed = readClock() - startedAt;
  constexpr std::size_t longestUpdate = 20'000;
  BOOST_TEST(static_cast<double>(followers.ReceivedBytes) <=
             bytesPerSecond * elapsed.count() + longestUpdate);
  BOOST_TEST(eventLoop.runUntil([&] { return followers.haveAll(changes); }));
}

// A follower that is told of news, and not that its poll waits in line, would
// start the poll again; one that is told of neither would count as current.
BOOST_AUTO_TEST_CASE(followerInLineIsToldOfNewsAndThatItWaits) {
  Reader it;
  const auto status = [&](unsigned follower) {
    return it.Server.statusFor(StateChannel::Lists, follower);
  };
  BOOST_TEST((status(1) == ChannelStatus{0, false}));
  it.Server.setReading(true);
  it.Server.publish(StatePart::Members);
  BOOST_TEST((status(1) == ChannelStatus{1, false}));
  const auto first = it.poll(1);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] { return first->has("200"); }));
  const auto second = it.poll(2);
  BOOST_TEST(it.EventLoop.runUntil([&] {
    return status(2) == ChannelStatus{1, true};
  }));
  BOOST_TEST((status(1) == ChannelStatus{1, false}));
  BOOST_TEST(it.EventLoop.runUntil([&] { return second->has("200"); }));
  BOOST_TEST((status(2) == ChannelStatus{1, false}));
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
