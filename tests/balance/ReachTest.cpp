// The decision whether this instance can reach any upstream.
#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/balance/Reach.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{10s};

/// Plays reach checks until an instant; each gets answers or not.
struct Player {
  Reach State;
  Instant Now = Start;
  bool ChecksAnswered = false;
  unsigned Checks = 0;

  void playUntil(Instant end) {
    while (true) {
      const Instant next = nextReachTime(State);
      if (next > end) {
        Now = end;
        return;
      }
      Now = std::max(Now, next);
      const ReachStep step = nextReachStep(State, Now);
      if (step == ReachStep::StartCheck) {
        ++Checks;
        recordCheckStart(State, nextCheckSize(State), Now);
        if (ChecksAnswered) {
          recordCheckCallEnd(State, true, Now + 1ms);
        }
      }
    }
  }
};

struct Case {
  const char *Name;
  std::function<void(Player &)> Play;
  bool ExpectedReach;
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Name;
}

void callSilently(Player &it, CallPurpose purpose) {
  recordCallStart(it.State, purpose, it.Now);
  it.playUntil(it.Now + 2s);
}

const std::vector<Case> Cases{
    {"idle", [](Player &it) { it.playUntil(it.Now + 60s); }, true},
    {"health checks get no answer",
     [](Player &it) { callSilently(it, CallPurpose::HealthCheck); }, false},
    {"requests get no answer",
     [](Player &it) { callSilently(it, CallPurpose::Request); }, false},
    {"a request takes long, but upstreams answer reach checks",
     [](Player &it) {
       it.ChecksAnswered = true;
       callSilently(it, CallPurpose::Request);
     },
     true},
    {"kept connections are dead, but upstreams answer on new ones",
     [](Player &it) {
       it.ChecksAnswered = true;
       callSilently(it, CallPurpose::HealthCheck);
     },
     true},
    {"three upstreams refuse connections, and so do others",
     [](Player &it) {
       for (const char *id : {"a", "b", "c"}) {
         recordCallStart(it.State, CallPurpose::Request, it.Now);
         recordCallFailure(it.State, CallPurpose::Request, id);
       }
       it.playUntil(it.Now + 1s);
     },
     false},
    {"one upstream refuses connections all the time",
     [](Player &it) {
       for (unsigned n = 0; n < 9; ++n) {
         recordCallStart(it.State, CallPurpose::Request, it.Now);
         recordCallFailure(it.State, CallPurpose::Request, "a");
       }
       it.playUntil(it.Now + 1s);
     },
     true},
    {"calls were cancelled",
     [](Player &it) {
       for (unsigned n = 0; n < 9; ++n) {
         recordCallStart(it.State, CallPurpose::Request, it.Now);
         recordCallFailure(it.State, CallPurpose::Request, "");
       }
       it.playUntil(it.Now + 1s);
     },
     true},
    {"one reach check fails, the next does not",
     [](Player &it) {
       recordCallStart(it.State, CallPurpose::HealthCheck, it.Now);
       it.playUntil(it.Now + 110ms);
       it.ChecksAnswered = true;
       it.playUntil(it.Now + 2s);
     },
     true},
    {"an upstream answers again after the cut",
     [](Player &it) {
       callSilently(it, CallPurpose::HealthCheck);
       it.ChecksAnswered = true;
       it.playUntil(it.Now + 500ms);
     },
     true},
    {"an upstream answers a request during the cut",
     [](Player &it) {
       callSilently(it, CallPurpose::HealthCheck);
       recordCallStart(it.State, CallPurpose::Request, it.Now);
       recordCallAnswer(it.State, CallPurpose::Request, it.Now);
     },
     true},
    {"there is no upstream to check",
     [](Player &it) {
       recordCallStart(it.State, CallPurpose::HealthCheck, it.Now);
       recordCheckStart(it.State, 0, it.Now);
       BOOST_TEST(!it.State.IsChecking);
     },
     true},
};

} // namespace

BOOST_DATA_TEST_CASE(reachIsDecidedByReachChecks, Cases, it) {
  Player player;
  it.Play(player);
  BOOST_TEST(player.State.AnyReachable == it.ExpectedReach);
}

BOOST_AUTO_TEST_CASE(reachIsLostWithinHalfASecondOfTheFirstSilence) {
  Player player;
  recordCallStart(player.State, CallPurpose::HealthCheck, Start);
  player.playUntil(Start + 500ms);
  BOOST_TEST(!player.State.AnyReachable);
}

BOOST_AUTO_TEST_CASE(answersInTimeStartNoReachCheck) {
  Player player;
  for (unsigned n = 0; n < 100; ++n) {
    recordCallStart(player.State, CallPurpose::HealthCheck, player.Now);
    player.playUntil(player.Now + 50ms);
    recordCallAnswer(player.State, CallPurpose::HealthCheck, player.Now);
  }
  BOOST_TEST(player.Checks == 0);
}
