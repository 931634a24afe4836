#include <ostream>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/store/Availability.h"

using namespace zinniarail;
using namespace zinniarail::store;
using namespace std::chrono_literals;

namespace {

const Instant Recovery{1h};

/// Seconds before the recovery.
struct Ages {
  double From;
  double To;
};

/// What was seen before the end of an outage, and what that leaves open.
struct OutageCase {
  const char *Description;
  /// Answers to this instance, which lost the store after each.
  std::vector<Ages> Own;
  std::vector<Ages> Told; ///< Answers to others.
  bool MayHaveExpired;
};

std::ostream &operator<<(std::ostream &out, const OutageCase &it) {
  return out << it.Description;
}

constexpr double Long = 60;

// Heartbeats are 1.5 s apart: a registration expires 4.5 s after the last one.
const std::vector<OutageCase> OutageCases{
    {"a short outage", {{Long, 1}}, {}, false},
    {"an outage of one and a half heartbeats", {{Long, 2.25}}, {}, false},
    {"an outage of two heartbeats", {{Long, 3}}, {}, true},
    {"an outage that is longer than a registration lasts",
     {{Long, 8}},
     {},
     true},
    {"this instance has just begun to read, and nothing is known",
     {},
     {},
     true},
    {"short outages with a heartbeat between them",
     {{Long, 4.7}, {4, 2.8}, {2.1, 0.9}},
     {},
     true},
    {"a short outage after a calm time", {{Long, 3.8}, {3.2, 0.9}}, {}, false},
    {"short outages, and another instance had none",
     {{Long, 4.7}, {4, 2.8}, {2.1, 0.9}},
     {{Long, 0.1}},
     false},
    {"a brief outage of all, then one that others did not see",
     {{Long, 3}, {1.9, 0.9}},
     {{Long, 2.9}, {2.1, 0.1}},
     false},
    {"two brief outages of all, a heartbeat apart",
     {{Long, 3}, {1.9, 0.9}},
     {{Long, 2.9}, {2.1, 0.8}},
     true},
    {"a long outage, and another instance had none",
     {{Long, 8}},
     {{Long, 0.4}},
     false},
    {"nothing is known here, and another instance had no outage",
     {},
     {{Long, 0.2}},
     false},
    {"two others had outages at different times",
     {{Long, 8}},
     {{Long, 3}, {3.2, 0.3}, {1.5, 0.1}},
     false},
    {"two others had outages at the same time",
     {{Long, 8}},
     {{Long, 4}, {0.6, 0.1}, {Long, 3.8}, {0.8, 0.2}},
     true},
    {"another instance was answered only before the outage",
     {{Long, 5}},
     {{Long, 4.4}},
     true},
    {"another instance was answered only at its end",
     {{Long, 8}},
     {{1, 0}},
     true}};

Instant at(double age) {
  return Recovery - std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(age));
}

Availability seenBy(const OutageCase &row) {
  Availability out;
  bool isFirst = true;
  for (const Ages &it : row.Own) {
    if (std::exchange(isFirst, false)) {
      startAsking(out, at(it.To));
      continue;
    }
    recordFailure(out);
    for (double age = it.From; age > it.To; age -= 0.3) {
      recordAnswer(out, at(age));
    }
    recordAnswer(out, at(it.To));
  }
  recordFailure(out);
  recordAnswer(out, Recovery);
  std::vector<AnsweredSpanAge> told;
  for (const Ages &it : row.Told) {
    told.push_back({Recovery - at(it.From), Recovery - at(it.To)});
  }
  recordTold(out, told, Recovery);
  return out;
}

} // namespace

BOOST_DATA_TEST_CASE(registrationsExpireOnlyWhileNobodyIsAnswered, OutageCases,
                     row) {
  const Availability seen = seenBy(row);
  BOOST_TEST(mayHaveExpired(seen, Recovery) == row.MayHaveExpired);
}

// Others must not take for an answer what this instance only assumes.
BOOST_AUTO_TEST_CASE(onlyAnswersToThisInstanceAreTold) {
  Availability seen;
  startAsking(seen, Recovery - 1s);
  BOOST_TEST(listOwnSpans(seen, Recovery).empty());
  recordAnswer(seen, Recovery);
  recordAnswer(seen, Recovery + 500ms);
  const std::vector<AnsweredSpanAge> expected{{700ms, 200ms}};
  BOOST_TEST((listOwnSpans(seen, Recovery + 700ms) == expected));
}

// A paused process doesn't know what happened meanwhile.
BOOST_AUTO_TEST_CASE(answersThatAreFarApartMakeTwoSpans) {
  Availability seen;
  recordAnswer(seen, Recovery);
  recordAnswer(seen, Recovery + MaxAnswerGap);
  recordAnswer(seen, Recovery + MaxAnswerGap * 4);
  BOOST_TEST(seen.Own.size() == 2U);
}

BOOST_AUTO_TEST_CASE(toldSpansAreLimitedAndForgotten) {
  Availability seen;
  const std::vector<AnsweredSpanAge> odd{{1s, 2s}, {1s, -1s}};
  recordTold(seen, odd, Recovery);
  BOOST_TEST(seen.Told.empty());
  for (int n = 0; n < 1000; ++n) {
    recordTold(seen, {{1s, 0s}}, Recovery);
  }
  BOOST_TEST(seen.Told.size() <= 64U);
  recordTold(seen, {}, Recovery + 1min);
  BOOST_TEST(seen.Told.empty());
}
