#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "dispatch/Schedule.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

constexpr int StepsOfASchedule = 400;

std::string brokenBy(const std::vector<std::uint32_t> &draws,
                     const Tamper &tamper = {}) {
  Schedule schedule(tamper);
  for (const std::uint32_t it : draws) {
    schedule.step(it);
  }
  schedule.finish();
  std::string names;
  for (const std::string &it : schedule.Watch.Broken) {
    names += it + ' ';
  }
  return names;
}

// Which promises were broken over some schedules, with tampering.
std::string brokenOver(unsigned schedules, const Tamper &tamper) {
  std::string names;
  for (unsigned n = 0; n < schedules; ++n) {
    Random random(n);
    std::vector<std::uint32_t> draws(StepsOfASchedule);
    for (std::uint32_t &it : draws) {
      it = random();
    }
    names += brokenBy(draws, tamper);
  }
  return names;
}

// A deliberate breach, and the promise that must be seen broken by it.
struct Breach {
  const char *Promise;
  Tamper Change;
};

std::ostream &operator<<(std::ostream &out, const Breach &it) {
  return out << it.Promise;
}

template <typename Wanted>
Tamper onEach(
    const std::function<void(Wanted &, Actions &, const Checker &)> &change) {
  return [change](Actions &actions, const Checker &watch) {
    const Actions before = actions;
    actions.clear();
    for (const Action &action : before) {
      Action changed = action;
      if (auto *it = std::get_if<Wanted>(&changed)) {
        change(*it, actions, watch);
      }
      actions.push_back(std::move(changed));
    }
  };
}

template <typename Wanted> Tamper twice() {
  return onEach<Wanted>([](Wanted &it, Actions &actions, const Checker &) {
    actions.push_back(it);
  });
}

Tamper without(std::size_t index) {
  return [index](Actions &actions, const Checker &) {
    std::erase_if(actions,
                  [=](const Action &it) { return it.index() == index; });
  };
}

// A second attempt of each request, under a number of its own.
Tamper doubleStarts(bool asHedge) {
  return onEach<StartAttempt>(
      [asHedge](StartAttempt &it, Actions &actions, const Checker &) {
        StartAttempt copy = it;
        copy.Attempt = AttemptId{static_cast<std::uint64_t>(it.Attempt) << 32U};
        copy.Hedge = asHedge;
        actions.emplace_back(std::in_place_type<StartAttempt>, copy);
      });
}

Tamper retarget(const std::function<bool(const SeenUpstream &)> &wanted) {
  return onEach<StartAttempt>(
      [wanted](StartAttempt &it, Actions &, const Checker &watch) {
        for (const auto &[id, upstream] : watch.Upstreams) {
          if (wanted(upstream)) {
            it.Upstream = id;
          }
        }
      });
}

// Holds each attempt back for so many events.
Tamper delayed(std::size_t events) {
  auto held = std::make_shared<std::vector<std::pair<std::size_t, Action>>>();
  return [events, held](Actions &actions, const Checker &watch) {
    if (watch.Requests.size() <= 1) { // A new schedule.
      held->clear();
    }
    Actions now;
    for (auto &[left, action] : *held) {
      if (--left == 0) {
        now.push_back(action);
      }
    }
    std::erase_if(*held, [](const auto &it) { return it.first == 0; });
    for (const Action &it : actions) {
      if (std::holds_alternative<StartAttempt>(it)) {
        held->emplace_back(events, it);
      } else {
        now.push_back(it);
      }
    }
    actions = now;
  };
}

Tamper startUnclaimed() {
  return onEach<SeekClaim>([](SeekClaim &it, Actions &actions,
                              const Checker &) {
    StartAttempt start;
    start.Attempt = AttemptId{static_cast<std::uint64_t>(it.Request) << 32U};
    start.Request = it.Request;
    start.Upstream = "u0";
    actions.emplace_back(std::in_place_type<StartAttempt>, start);
  });
}

const std::vector<Breach> Breaches{
    {"at-most-once", doubleStarts(true)},
    {"claim-first", startUnclaimed()},
    {"one-answer", twice<Refuse>()},
    {"one-answer", twice<Deliver>()},
    {"no-answer", without(Action(Refuse{}).index())},
    {"truth", onEach<Refuse>([](Refuse &it, Actions &, const Checker &) {
       it.Outcome = Truth::DidNotRun;
     })},
    {"own-answer",
     onEach<Deliver>([](Deliver &it, Actions &, const Checker &watch) {
       it.Attempt = watch.Attempts.begin()->first;
     })},
    {"release",
     onEach<Refuse>([](Refuse &it, Actions &actions, const Checker &) {
       actions.emplace_back(std::in_place_type<ReleaseClaim>,
                            ReleaseClaim{it.Request, {}});
     })},
    {"share", doubleStarts(true)},
    {"hedge-budget", doubleStarts(true)},
    {"retry-budget", doubleStarts(false)},
    {"probe-budget", twice<SendProbe>()},
    {"deadline", delayed(40)},
    {"view-expired", delayed(40)},
    {"out-of-service",
     retarget([](const SeenUpstream &it) { return !it.Plan.InService; })},
    {"innocent", onEach<Refuse>([](Refuse &it, Actions &, const Checker &) {
       it.Reason = RefusalReason::Quarantined;
       it.RetryAfter = 5min;
     })},
    {"cold-ramp", doubleStarts(true)},
    {"cold-wait", retarget([](const SeenUpstream &it) {
       return it.Cold && !it.Plan.Share.Ramps && !it.MayTakeUp;
     })},
};

} // namespace

BOOST_AUTO_TEST_CASE(anyScheduleKeepsEveryPromise) {
  BOOST_TEST(rc::check("no promise is broken", [] {
    const auto draws = *rc::gen::container<std::vector<std::uint32_t>>(
        StepsOfASchedule,
        rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
    RC_ASSERT(brokenBy(draws) == "");
  }));
}

BOOST_AUTO_TEST_CASE(seededSchedulesKeepEveryPromise) {
  BOOST_TEST(brokenOver(500, {}) == "");
}

BOOST_DATA_TEST_CASE(aBreachIsSeen, Breaches, it) {
  const std::string broken = brokenOver(100, it.Change);
  BOOST_TEST(broken.find(it.Promise) != std::string::npos);
}
