#include <map>

#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "PeerRelay.h"
#include "fleet/PeerTask.h"

using namespace zinniarail;
using namespace zinniarail::fleet;
using namespace std::chrono_literals;

namespace peer_test {

/// One instance without a store; the test sets the state that it would read.
struct Peer {
  Peer(struct ev_loop *loop, unsigned number,
       const std::vector<std::string> &seeds, Duration discoveryTime = 50ms,
       std::string domain = "a")
      : Id("i" + std::to_string(number)), Address(addressOf(number)),
        FailureDomain(std::move(domain)),
        Task(std::make_unique<PeerTask>(loop, describe(number), seeds,
                                        discoveryTime, 0, handlers())) {}

  static std::string addressOf(unsigned number) {
    return standins::loopbackAddress("11." + std::to_string(number) + ":23000");
  }

  Member describe(unsigned number) const {
    Member it;
    it.Record = {Id, FailureDomain, Address, Address, "", false};
    it.BootId = 1000 + number;
    it.ElectionWeight = 100 - number; // Lower numbers have higher priority.
    return it;
  }

  PeerHandlers handlers() {
    PeerHandlers out = basicHandlers();
    out.ListAnsweredSpans = [this] { return AnsweredSpans; };
    out.AnsweredSpansTold = [this](const auto &it) {
      ToldSpans.insert(ToldSpans.end(), it.begin(), it.end());
    };
    return out;
  }

  PeerHandlers basicHandlers() {
    return {[](Duty) {},
            [this](const StateUpdate &update) {
              CompleteLists +=
                  update.Members && update.Members->List.IsComplete ? 1 : 0;
              if (update.Config) {
                Version = decodeConfiguration(*update.Config)->Version;
                Task->setHasSnapshot(true);
              }
              return true;
            },
            [] {},
            [this](const balance::Event &notice) {
              if (const auto *it =
                      std::get_if<balance::PeerQuarantined>(&notice)) {
                QuarantinedFingerprint = it->Fingerprint;
              } else if (const auto *cleared =
                             std::get_if<balance::PeerCleared>(&notice)) {
                ClearedFingerprint = cleared->Fingerprint;
              }
            },
            [this](StateUpdate &update, StatePart part) {
              if (part == StatePart::Configuration) {
                Configuration config;
                config.Version = Version;
                update.Config = std::make_shared<const std::string>(
                    encodeConfiguration(config));
              } else if (part == StatePart::Members) {
                update.Members = {{true, Task->liveMembers(), {}},
                                  Task->fleetSize()};
                auto &items = update.Members->List.Items;
                items.insert(items.end(), ListedMembers.begin(),
                             ListedMembers.end());
              }
            },
            {},
            [this](std::size_t) {
              std::vector<balance::PeerQuarantined> all;
              if (OwnQuarantine != 0) {
                all.push_back({OwnQuarantine, 60s});
              }
              return all;
            },
            [this](const std::string &upstream) { EndedLimit = upstream; }};
  }

  /// Sets the state as if this instance had read it from the store.
  void setVersion(std::uint64_t version) {
    Version = version;
    Task->setHasSnapshot(true);
    Task->setStoreHealthy(true);
    Task->publish(StatePart::Configuration);
  }

  std::string Id;
  std::string Address;
  std::string FailureDomain;
  /// When the store answered it, and others as they told.
  std::vector<store::AnsweredSpanAge> AnsweredSpans;
  std::vector<store::AnsweredSpanAge> ToldSpans;
  std::uint64_t Version = 0;
  unsigned CompleteLists = 0; ///< Number of complete lists received.
  std::uint64_t QuarantinedFingerprint = 0;
  std::uint64_t ClearedFingerprint = 0;
  std::string EndedLimit;
  std::uint64_t OwnQuarantine = 0; ///< Told with pings and pongs.
  /// Told to followers as live besides the instances of the test.
  std::vector<Member> ListedMembers;
  std::unique_ptr<PeerTask> Task;
};

/// A few instances of one failure domain; the first is the seed of all.
struct Domain {
  explicit Domain(unsigned count) {
    for (unsigned n = 1; n <= count; ++n) {
      Peers.push_back(std::make_unique<Peer>(
          EventLoop.Loop, n, std::vector<std::string>{Peer::addressOf(1)}));
      BOOST_REQUIRE(Peers.back()->Task->open());
    }
    for (auto &it : Peers) {
      it->Task->start();
    }
  }

  Peer *reader() {
    for (auto &it : Peers) {
      if (it && it->Task->duty() == Duty::Read) {
        return it.get();
      }
    }
    return nullptr;
  }

  bool waitUntilAllHaveVersion(std::uint64_t version) {
    return EventLoop.runUntil([&] {
      return std::all_of(Peers.begin(), Peers.end(), [&](const auto &it) {
        return !it || it->Version == version;
      });
    });
  }

  bool waitUntilAllSeeLive(std::size_t live) {
    return EventLoop.runUntil([&] {
      return std::all_of(Peers.begin(), Peers.end(), [&](const auto &it) {
        return !it || it->Task->liveMembers().size() == live;
      });
    });
  }

  /// Replaces an instance by a new one with the same id, as a process restart
  /// does.
  void restart(unsigned number) {
    Peers[number - 1].reset();
    Peers[number - 1] = std::make_unique<Peer>(
        EventLoop.Loop, number, std::vector<std::string>{Peer::addressOf(1)});
    BOOST_REQUIRE(Peers[number - 1]->Task->open());
    Peers[number - 1]->Task->start();
  }

  bool waitForReader() {
    return EventLoop.runUntil([&] { return reader() != nullptr; });
  }

  http::TestLoop EventLoop;
  std::vector<std::unique_ptr<Peer>> Peers;
};

/// A reader with version 5 and a follower that has it, with a relay in between.
struct RelayedPair {
  explicit RelayedPair(Duration followerDiscoveryTime = 50ms)
      : Relay(EventLoop.Loop, Peer::addressOf(1), Peer::addressOf(101),
              Peer::addressOf(2), Peer::addressOf(102)),
        Reader(EventLoop.Loop, 1, {Peer::addressOf(102)}),
        Follower(EventLoop.Loop, 2, {Peer::addressOf(101)},
                 followerDiscoveryTime) {
    BOOST_REQUIRE(Relay.open());
    BOOST_REQUIRE(Reader.Task->open());
    BOOST_REQUIRE(Follower.Task->open());
  }

  void start() {
    Reader.Task->start();
    Follower.Task->start();
    BOOST_REQUIRE(
        EventLoop.runUntil([&] { return Reader.Task->duty() == Duty::Read; }));
    Reader.setVersion(5);
    BOOST_REQUIRE(EventLoop.runUntil([&] { return Follower.Version == 5; }));
    EventLoop.runFor(100ms); // The next polls are pending.
    BOOST_REQUIRE(Relay.LinkToFirst.connections() == StateChannelCount);
  }

  http::TestLoop EventLoop;
  PeerRelay Relay;
  Peer Reader;
  Peer Follower;
};

// The users' bound on how late a change is in force.
constexpr Duration ConfigPropagation = 2s;

// The same bound of the users' largest deployment.
constexpr Duration LargestConfigPropagation = 3s;

} // namespace peer_test
using namespace peer_test;

BOOST_AUTO_TEST_CASE(oneReadsAndTheOthersGetEachChange) {
  Domain it(6);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_TEST(it.waitUntilAllHaveVersion(5));
  BOOST_TEST(it.waitUntilAllSeeLive(6));
  it.reader()->setVersion(6);
  BOOST_TEST(it.waitUntilAllHaveVersion(6));
  BOOST_TEST(
      std::count_if(it.Peers.begin(), it.Peers.end(), [](const auto &any) {
        return any->Task->duty() == Duty::Read;
      }) == 1);
}

BOOST_AUTO_TEST_CASE(followersReplaceALostReader) {
  Domain it(4);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllHaveVersion(5));
  const std::string old = it.reader()->Id;
  for (auto &peer : it.Peers) {
    if (peer && peer->Task->duty() == Duty::Read) {
      peer.reset();
    }
  }
  BOOST_REQUIRE(it.waitForReader());
  BOOST_TEST(it.reader()->Id != old);
  it.reader()->setVersion(6);
  BOOST_TEST(it.waitUntilAllHaveVersion(6));
  BOOST_TEST(it.waitUntilAllSeeLive(3));
}

// Complete lists for all followers at once would keep the link of the new
// reader busy for seconds.
BOOST_AUTO_TEST_CASE(followersOfANewReaderGetNoCompleteLists) {
  Domain it(5);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllHaveVersion(5));
  BOOST_REQUIRE(it.waitUntilAllSeeLive(5));
  Peer *unhealthy = it.reader();
  unhealthy->Task->setStoreHealthy(false);
  Peer *next = nullptr;
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    for (auto &peer : it.Peers) {
      if (peer.get() != unhealthy && peer->Task->duty() == Duty::Read) {
        next = peer.get();
      }
    }
    return next != nullptr;
  }));
  next->setVersion(7);
  BOOST_TEST(it.waitUntilAllHaveVersion(7));
  BOOST_TEST(it.waitUntilAllSeeLive(5));
  for (const auto &peer : it.Peers) {
    if (peer.get() != unhealthy && peer.get() != next) {
      BOOST_TEST(peer->CompleteLists == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(followersReplaceAReaderWithoutStore) {
  Domain it(3);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllHaveVersion(5));
  Peer *unhealthy = it.reader();
  unhealthy->Task->setStoreHealthy(false);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    return std::any_of(it.Peers.begin(), it.Peers.end(), [&](const auto &any) {
      return any.get() != unhealthy && any->Task->duty() == Duty::Read;
    });
  }));
  for (auto &peer : it.Peers) {
    if (peer.get() != unhealthy && peer->Task->duty() == Duty::Read) {
      peer->setVersion(7);
    }
  }
  BOOST_TEST(it.waitUntilAllHaveVersion(7));
  BOOST_TEST((unhealthy->Task->duty() == Duty::Follow));
}

BOOST_AUTO_TEST_CASE(quarantineNoticesReachAll) {
  Domain it(4);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllSeeLive(4));
  it.Peers.back()->Task->broadcastQuarantined(99);
  it.Peers.back()->Task->broadcastCleared(98);
  BOOST_TEST(it.EventLoop.runUntil([&] {
    return std::all_of(it.Peers.begin(), it.Peers.end() - 1,
                       [](const auto &any) {
                         return any->QuarantinedFingerprint == 99 &&
                                any->ClearedFingerprint == 98;
                       });
  }));
}

BOOST_AUTO_TEST_CASE(endOfALimitReachesAll) {
  Domain it(4);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllSeeLive(4));
  it.Peers.back()->Task->broadcastLimitEnded("u1");
  BOOST_TEST(it.EventLoop.runUntil([&] {
    return std::all_of(it.Peers.begin(), it.Peers.end() - 1,
                       [](const auto &any) { return any->EndedLimit == "u1"; });
  }));
}

BOOST_AUTO_TEST_CASE(leavingInstanceIsReportedToAll) {
  Domain it(4);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllSeeLive(4));
  it.Peers.back()->Task->announceLeaving();
  BOOST_TEST(it.EventLoop.runUntil([&] {
    return std::all_of(
        it.Peers.begin(), it.Peers.end() - 1, [&](const auto &any) {
          const auto live = any->Task->liveMembers();
          return std::any_of(live.begin(), live.end(), [](const Member &each) {
            return each.Record.Leaving;
          });
        });
  }));
}

// The store fails for all instances while one of them restarts.
BOOST_AUTO_TEST_CASE(restartedInstanceFetchesASnapshotWhileTheStoreFails) {
  Domain it(4);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllHaveVersion(5));
  it.reader()->Task->setStoreHealthy(false);
  it.restart(3);
  BOOST_TEST(it.Peers[2]->Version == 0);
  BOOST_TEST(it.waitUntilAllHaveVersion(5));
}

BOOST_AUTO_TEST_CASE(instanceWithoutSnapshotIsNotReady) {
  Domain it(3);
  BOOST_REQUIRE(it.waitForReader());
  const auto isReady = [&](unsigned peer) {
    const auto live = it.Peers[0]->Task->liveMembers();
    const auto at =
        std::find_if(live.begin(), live.end(), [&](const Member &any) {
          return any.Record.Id == it.Peers[peer - 1]->Id;
        });
    return at != live.end() && at->Ready;
  };
  BOOST_REQUIRE(it.waitUntilAllSeeLive(3));
  BOOST_TEST(it.EventLoop.runUntil([&] { return !isReady(2); }));
  it.Peers[1]->Task->setHasSnapshot(true);
  BOOST_TEST(it.EventLoop.runUntil([&] { return isReady(2); }));
}

// Without a healthy reader no instance gets the list of live members; each
// pings all of its failure domain then.
BOOST_AUTO_TEST_CASE(allStayLiveWhileTheStoreFails) {
  Domain it(8);
  BOOST_REQUIRE(it.waitForReader());
  it.reader()->setVersion(5);
  BOOST_REQUIRE(it.waitUntilAllHaveVersion(5));
  BOOST_REQUIRE(it.waitUntilAllSeeLive(8));
  it.reader()->Task->setStoreHealthy(false);
  constexpr unsigned samples = 40;
  std::map<std::string, unsigned> timesComplete;
  for (unsigned n = 0; n < samples; ++n) {
    it.EventLoop.runFor(100ms);
    for (const auto &peer : it.Peers) {
      timesComplete[peer->Id] += peer->Task->liveMembers().size() == 8 ? 1 : 0;
    }
  }
  for (const auto &[id, count] : timesComplete) {
    // If the machine stalls for a moment, an instance may count some as lost.
    BOOST_TEST(count >= samples * 9 / 10,
               id << ": times that all instances were live: " << count);
  }
  it.Peers.back().reset();
  BOOST_TEST(it.EventLoop.runUntil([&] {
    return std::all_of(
        it.Peers.begin(), it.Peers.end() - 1,
        [](const auto &any) { return any->Task->liveMembers().size() == 7; });
  }));
}

BOOST_AUTO_TEST_CASE(changeReachesAFollowerWhoseConnectionWentSilent) {
  RelayedPair it;
  it.start();
  for (const std::uint64_t version : {6, 7, 8}) {
    it.Relay.blackhole();
    it.Reader.setVersion(version);
    const Instant changedAt = readClock();
    it.EventLoop.runUntil([&] {
      return it.Follower.Version == version ||
             readClock() - changedAt > ConfigPropagation;
    });
    BOOST_TEST(it.Follower.Version == version);
    BOOST_TEST(it.Follower.Task->isStateCurrent());
    it.EventLoop.runFor(100ms);
  }
}

BOOST_AUTO_TEST_CASE(followerThatGetsNoUpdatesIsNotCurrent) {
  RelayedPair it;
  it.start();
  BOOST_TEST(it.Follower.Task->isStateCurrent());
  it.Relay.blackhole();
  it.Relay.LinkToFirst.Faults.Refuse = true;
  it.Reader.setVersion(6);
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return !it.Follower.Task->isStateCurrent(); }));
  it.Relay.LinkToFirst.Faults.Refuse = false;
  BOOST_TEST(it.EventLoop.runUntil([&] { return it.Follower.Version == 6; }));
  BOOST_TEST(it.Follower.Task->isStateCurrent());
}

// Pongs may be late because the reader's link is busy. A follower that asked
// for the whole state again would keep the link busy.
BOOST_AUTO_TEST_CASE(followerThatLostSightOfItsReaderGetsOnlyChanges) {
  RelayedPair it{1h};
  it.start();
  BOOST_TEST(it.Follower.CompleteLists == 1);
  it.Relay.Change = [](Datagram &) { return false; };
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.Follower.Task->duty() == Duty::Wait; }));
  it.Reader.setVersion(6);
  it.Relay.Change = {};
  BOOST_TEST(it.EventLoop.runUntil([&] { return it.Follower.Version == 6; }));
  it.EventLoop.runFor(300ms);
  BOOST_TEST(it.Follower.CompleteLists == 1);
}

// While it read the store itself, it dropped the reader's list of members.
BOOST_AUTO_TEST_CASE(instanceThatReadMeanwhileGetsTheCompleteListAgain) {
  RelayedPair it;
  it.start();
  it.Relay.Change = [](Datagram &) { return false; };
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.Follower.Task->duty() == Duty::Read; }));
  it.EventLoop.runFor(1200ms);
  it.Relay.Change = {};
  BOOST_TEST(
      it.EventLoop.runUntil([&] { return it.Follower.CompleteLists == 2; }));
  BOOST_TEST(it.Follower.Task->liveMembers().size() == 2);
}

// It would wait for all that the reader listed to read the store before it.
BOOST_AUTO_TEST_CASE(instanceThatReachesNoOtherReadsTheStoreItself) {
  constexpr unsigned listedCount = 80;
  RelayedPair it;
  for (unsigned n = 3; n < 3 + listedCount; ++n) {
    Member listed = it.Reader.describe(n);
    listed.Record.Id = "i" + std::to_string(n);
    listed.ElectionWeight = 200;
    listed.UpdateFormat = CurrentUpdateFormat;
    it.Reader.ListedMembers.push_back(listed);
  }
  it.start();
  BOOST_REQUIRE(it.Follower.Task->liveMembers().size() == 2 + listedCount);
  it.Reader.Task.reset();
  const Instant cutAt = readClock();
  it.EventLoop.runUntil([&] {
    return it.Follower.Task->duty() == Duty::Read ||
           readClock() - cutAt > LargestConfigPropagation;
  });
  BOOST_TEST((it.Follower.Task->duty() == Duty::Read));
}

// As during a rolling upgrade from a version that tells no sequence.
BOOST_AUTO_TEST_CASE(followerOfAReaderWithoutSequenceGetsChanges) {
  RelayedPair it;
  it.Relay.Change = [](Datagram &datagram) {
    datagram.Channels = {};
    return true;
  };
  it.start();
  it.Reader.setVersion(6);
  BOOST_TEST(it.EventLoop.runUntil([&] { return it.Follower.Version == 6; }));
  BOOST_TEST(it.Follower.Task->isStateCurrent());
  BOOST_TEST(it.Relay.LinkToFirst.connections() == StateChannelCount);
}

// An instance that stopped reading answers its polls with 404.
BOOST_AUTO_TEST_CASE(pollsThatFailLeaveNoConnectionsOpen) {
  RelayedPair it;
  it.Relay.Change = [](Datagram &datagram) {
    datagram.Sender.Reading = datagram.Sender.StoreHealthy = true;
    return true;
  };
  it.Reader.Task->start();
  it.Follower.Task->start();
  it.EventLoop.runFor(2s);
  BOOST_TEST((it.Reader.Task->duty() == Duty::Follow));
  BOOST_TEST((it.Follower.Task->duty() == Duty::Follow));
  BOOST_TEST(it.Relay.LinkToFirst.connections() <= StateChannelCount);
  BOOST_TEST(it.Relay.LinkToSecond.connections() <= StateChannelCount);
}

BOOST_AUTO_TEST_CASE(quarantineNoticeReachesAnInstanceThatMissesTheFirst) {
  RelayedPair it;
  unsigned lost = 0;
  it.Relay.Change = [&](const Datagram &datagram) {
    const bool isNotice =
        std::holds_alternative<balance::PeerQuarantined>(datagram.Payload);
    lost += isNotice ? 1 : 0;
    return !isNotice || lost > 2;
  };
  it.start();
  it.Reader.Task->broadcastQuarantined(99);
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.Follower.QuarantinedFingerprint == 99; }));
}

BOOST_AUTO_TEST_CASE(quarantineReachesAnInstanceThatMissesAllNotices) {
  RelayedPair it;
  it.Relay.Change = [&](const Datagram &datagram) {
    return !std::holds_alternative<balance::PeerQuarantined>(datagram.Payload);
  };
  it.Follower.OwnQuarantine = 99;
  it.start();
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.Reader.QuarantinedFingerprint == 99; }));
  it.Reader.OwnQuarantine = 98;
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return it.Follower.QuarantinedFingerprint == 98; }));
}

// Guards against reading datagrams for as long as they arrive, which keeps
// the loop from all else.
BOOST_AUTO_TEST_CASE(floodOfDatagramsIsReadInBoundedTurns) {
  constexpr std::uint64_t count = 128;
  constexpr std::uint64_t maxPerTurn = 64;
  Domain it(1);
  Peer &peer = *it.Peers.front();
  BOOST_REQUIRE(it.waitForReader());
  const auto endpoint = http::parseIpv4Address(peer.Address);
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  for (std::uint64_t n = 1; n <= count; ++n) {
    const std::string bytes =
        encodeDatagram({balance::PeerQuarantined{n}, peer.describe(2), {}});
    sendto(fd, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr *>(&*endpoint), sizeof *endpoint);
  }
  close(fd);
  it.EventLoop.runOnce();
  BOOST_TEST(peer.QuarantinedFingerprint <= maxPerTurn);
  BOOST_TEST(it.EventLoop.runUntil(
      [&] { return peer.QuarantinedFingerprint == count; }));
}

// The instance of the other failure domain knows only followers, which pass the
// question on to their reader.
BOOST_AUTO_TEST_CASE(readersTellOthersWhenTheStoreAnsweredThem) {
  Domain it(3);
  BOOST_REQUIRE(it.waitUntilAllSeeLive(3));
  BOOST_REQUIRE(it.EventLoop.runUntil([&] { return it.reader() != nullptr; }));
  Peer &reader = *it.reader();
  BOOST_REQUIRE(reader.Id == "i1");
  reader.setVersion(3);
  BOOST_REQUIRE(it.EventLoop.runUntil([&] {
    return it.Peers[1]->Task->reader() == "i1" &&
           it.Peers[2]->Task->reader() == "i1";
  }));
  reader.AnsweredSpans = {{9s, 1s}, {500ms, 20ms}};
  Peer asker(it.EventLoop.Loop, 4, {Peer::addressOf(2), Peer::addressOf(3)},
             50ms, "b");
  BOOST_REQUIRE(asker.Task->open());
  asker.Task->start();
  BOOST_REQUIRE(it.EventLoop.runUntil(
      [&] { return asker.Task->knownInstances().size() >= 3; }));
  asker.Task->askWhenStoreAnswered();
  BOOST_REQUIRE(
      it.EventLoop.runUntil([&] { return asker.ToldSpans.size() >= 2; }));
  asker.ToldSpans.resize(2);
  BOOST_TEST((asker.ToldSpans == reader.AnsweredSpans));

  // Followers that become readers know until when theirs was answered.
  BOOST_TEST(it.EventLoop.runUntil([&] {
    return it.Peers[1]->Task->storeAnsweredUntil() != Instant::min();
  }));
  BOOST_TEST((it.Peers[1]->Task->storeAnsweredUntil() < readClock()));
  BOOST_TEST((asker.Task->storeAnsweredUntil() == Instant::min()));
}
