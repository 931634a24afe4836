// Crash checks and suspicions of one engine, event by event.
#include <algorithm>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/balance/Balance.h"

using namespace zinniarail;
using namespace zinniarail::balance;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Fingerprint = 7;

/// An engine with three upstreams that report no load.
class EngineDriver {
public:
  explicit EngineDriver(std::shared_ptr<Quarantine> quarantine = nullptr,
                        const std::string &service = "s") {
    ServicePlan plan;
    for (const char *id : {"u", "v", "w"}) {
      plan.Upstreams.push_back({service + id, "a", 4});
    }
    plan.Budget = {1, 100, 1};
    State = makeEngine(plan, Random{1}, 1, Now, std::move(quarantine));
    send(1);
    for (const PlannedUpstream &it : plan.Upstreams) {
      pass(ProbeEnded{it.Id, true, true, LoadReport{0, 0, 4, 1}});
    }
    pass(AttemptEnded{Last.Attempt, AttemptEnd::Answered, 200});
  }

  void pass(const Event &event) {
    Done.clear();
    handleEvent(*State, event, Now, Done);
    if (has<StartAttempt>()) {
      Last = get<StartAttempt>();
    }
  }

  void send(std::uint64_t fingerprint, unsigned maxAttempts = 1) {
    RequestArrived event{RequestId{++LastRequest}, {}, fingerprint, Now + 10s};
    event.Policy.Route = "r";
    event.Policy.Idempotent = true;
    event.Policy.MaxAttempts = maxAttempts;
    pass(event);
  }

  /// Ends the last attempt without a response, and then the crash check.
  void breakLast(bool upstreamIsGone) {
    Now += 100ms;
    pass(AttemptEnded{Last.Attempt, AttemptEnd::Broken});
    if (has<SendProbe>()) {
      ProbeEnded end{Last.Upstream};
      end.Reached = end.Healthy = !upstreamIsGone;
      end.Gone = upstreamIsGone;
      pass(end);
    }
    Now += 100ms;
  }

  template <typename Kind> bool has() const {
    return std::any_of(Done.begin(), Done.end(), [](const Action &it) {
      return std::holds_alternative<Kind>(it);
    });
  }
  template <typename Kind> const Kind &get() const {
    const auto it =
        std::find_if(Done.begin(), Done.end(), [](const Action &any) {
          return std::holds_alternative<Kind>(any);
        });
    BOOST_REQUIRE((it != Done.end()));
    return std::get<Kind>(*it);
  }

  Instant Now{1h};
  EnginePtr State;
  Actions Done;      ///< By the last event.
  StartAttempt Last; ///< The attempt that started last.
  std::uint64_t LastRequest = 0;
};

/// What follows a crash under a request at another instance, before the next
/// request of this fingerprint crashes its upstream here.
struct Notice {
  const char *Name;
  bool IsCleared;
  bool QuarantinedAfterCrash;
};
std::ostream &operator<<(std::ostream &out, const Notice &it) {
  return out << it.Name;
}
const Notice Notices[] = {{"still suspect", false, true},
                          {"answered elsewhere since", true, false}};

} // namespace

BOOST_DATA_TEST_CASE(suspicionEndsWhenAnotherInstanceGetsAResponse,
                     boost::unit_test::data::make(Notices), row) {
  EngineDriver it;
  it.pass(PeerSuspected{{Fingerprint, "x"}});
  if (row.IsCleared) {
    it.pass(PeerCleared{Fingerprint});
  }
  it.Now += 1s;
  it.send(Fingerprint);
  it.breakLast(true);
  BOOST_TEST(it.has<BroadcastQuarantined>() == row.QuarantinedAfterCrash);
}

// A route that is split over two services, or moves from one to another.
BOOST_AUTO_TEST_CASE(crashesOfTwoServicesQuarantineARequest) {
  const auto quarantine = std::make_shared<Quarantine>();
  EngineDriver first(quarantine);
  EngineDriver second(quarantine, "t");
  first.send(Fingerprint);
  first.breakLast(true);
  second.Now = first.Now;
  second.send(Fingerprint);
  BOOST_TEST((chooseHandling(*quarantine, Fingerprint, second.Now) ==
              Handling::Isolate));
  second.breakLast(true);
  BOOST_TEST((chooseHandling(*quarantine, Fingerprint, second.Now) ==
              Handling::Refuse));
}

// Some upstreams answer a part of all requests with an error and run none.
BOOST_AUTO_TEST_CASE(errorsDoNotClearASuspect) {
  EngineDriver it;
  it.pass(PeerSuspected{{Fingerprint, "x"}});
  it.send(Fingerprint);
  it.pass(AttemptEnded{it.Last.Attempt, AttemptEnd::Answered, 500});
  it.send(Fingerprint);
  it.breakLast(true);
  BOOST_TEST(it.has<BroadcastQuarantined>());
}

BOOST_AUTO_TEST_CASE(breaksOfAnUpstreamThatWantsNoHealthChecksAreNoEvidence) {
  EngineDriver it;
  it.send(Fingerprint);
  ProbeEnded pause{it.Last.Upstream, true, false};
  pause.RetryAfter = 10s;
  it.pass(pause);
  it.pass(AttemptEnded{it.Last.Attempt, AttemptEnd::Broken});
  BOOST_TEST(!it.has<SendProbe>());
  it.Now += 1s;
  it.send(Fingerprint);
  BOOST_TEST(it.Last.NewConnection);
  it.breakLast(true);
  BOOST_TEST(!it.has<BroadcastQuarantined>());
  it.send(Fingerprint);
  it.breakLast(true);
  BOOST_TEST(it.has<BroadcastQuarantined>());
}

BOOST_AUTO_TEST_CASE(responsesToSuspectsAreToldToTheOtherInstances) {
  EngineDriver it;
  it.pass(PeerSuspected{{Fingerprint, "x"}});
  it.send(Fingerprint);
  it.pass(AttemptEnded{it.Last.Attempt, AttemptEnd::Answered, 200});
  BOOST_TEST(it.has<BroadcastCleared>());
  it.send(Fingerprint);
  it.pass(AttemptEnded{it.Last.Attempt, AttemptEnd::Answered, 200});
  BOOST_TEST(!it.has<BroadcastCleared>());
}
