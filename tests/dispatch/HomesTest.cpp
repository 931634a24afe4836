#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

#include "dispatch/Service.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

// Three homes and one upstream of four slots that has just started, with words
// between the homes lost or not.
struct Words {
  const char *Name;
  bool Lost;
  bool ProbesAnswered;
  bool AllTakeUp;
};

std::ostream &operator<<(std::ostream &out, const Words &it) {
  return out << it.Name;
}

const std::vector<Words> WordCases{
    {"words arrive, probes do not", false, false, true},
    {"words are lost, probes arrive", true, true, true},
    {"both are lost", true, false, false},
};

class Trio {
public:
  explicit Trio(const Words &words, unsigned ramping = 1) : Case(words) {
    for (unsigned n = 0; n < 3; ++n) {
      auto plan = makePlan(1, 4);
      plan.Targets[0].Share = {n == 0 ? 2U : 1U, 73, n < ramping};
      plan.Spec.QueueLimit = 1000;
      Homes.emplace_back(std::move(plan));
      Running.emplace_back();
    }
  }

  void tell(unsigned home, const Event &event) {
    const Actions out = Homes[home].tell(event);
    for (const Action &action : out) {
      if (const auto *it = std::get_if<StartAttempt>(&action)) {
        Running[home].push_back(it->Attempt);
        Most = std::max(Most, inFlight());
      } else if (const auto *it = std::get_if<SendProbe>(&action)) {
        Probes.push_back({home, it->Upstream});
      } else if (const auto *it = std::get_if<TellHomes>(&action)) {
        spread(home, it->Word);
      }
    }
  }

  // One round: everyone answers, and everyone gets new work.
  void play(Duration pause) {
    for (Service &it : Homes) {
      it.Now += pause;
    }
    for (unsigned n = 0; n < 3; ++n) {
      tell(n, Woken{});
      for (const AttemptId id : std::exchange(Running[n], {})) {
        tell(n, AttemptSent{id});
        tell(n, AttemptEnded{id, AttemptEnd::Answered, 200, true, Report});
      }
      for (int more = 0; more < 2; ++more) {
        tell(n, RequestArrived{RequestId{Next++}, "read", "", 0,
                               Homes[n].Now + 1h, true});
      }
    }
    for (const auto &[home, id] : std::exchange(Probes, {})) {
      tell(home, ProbeEnded{id, Case.ProbesAnswered, Report});
    }
  }

  unsigned inFlight() const {
    std::size_t n = 0;
    for (const auto &it : Running) {
      n += it.size();
    }
    return static_cast<unsigned>(n);
  }

  std::vector<std::vector<AttemptId>> Running;
  LoadReport Report{.Incarnation = 1};
  unsigned Most = 0; ///< In flight at a time, over all homes.

private:
  void spread(unsigned from, const PeerWord &word) {
    for (unsigned n = 0; n < 3 && !Case.Lost; ++n) {
      if (n != from) {
        tell(n, word);
      }
    }
  }

  Words Case;
  std::vector<Service> Homes;
  std::vector<std::pair<unsigned, std::string>> Probes;
  std::uint64_t Next = 1;
};

} // namespace

BOOST_DATA_TEST_CASE(oneHomeRampsAndTheOthersFollow, WordCases, it) {
  Trio trio(it);
  trio.play(1ms);
  BOOST_TEST(trio.Most == 1u);
  for (int n = 0; n < 40; ++n) {
    trio.play(20ms);
  }
  BOOST_TEST(trio.Most <= 4u);
  BOOST_TEST(!trio.Running[0].empty());
  BOOST_TEST(!trio.Running[1].empty() == it.AllTakeUp);
  BOOST_TEST(!trio.Running[2].empty() == it.AllTakeUp);
  for (int n = 0; n < 500; ++n) { // Nothing heard for ten seconds.
    trio.play(20ms);
  }
  BOOST_TEST(trio.Most <= 4u);
  BOOST_TEST(!trio.Running[1].empty());
  BOOST_TEST(!trio.Running[2].empty());
}

BOOST_AUTO_TEST_CASE(homesThatDisagreeRampFromOneEach) {
  Trio trio(WordCases[2], 2);
  trio.play(1ms);
  BOOST_TEST(trio.Most == 2u);
}

BOOST_AUTO_TEST_CASE(oneThatTurnsColdGetsOneAtATimeOverAllHomes) {
  Trio trio(WordCases[0]);
  for (int n = 0; n < 40; ++n) {
    trio.play(20ms);
  }
  BOOST_TEST(trio.Most == 4u);
  trio.Report.Cold = true;
  trio.Report.Incarnation = 2;
  trio.play(20ms); // All that ran ends, and says so.
  trio.Most = 0;
  for (int n = 0; n < 20; ++n) {
    trio.play(20ms);
  }
  BOOST_TEST(trio.Most == 1u);
  trio.Report.Cold = false;
  for (int n = 0; n < 40; ++n) {
    trio.play(20ms);
  }
  BOOST_TEST(trio.Most == 4u);
}
