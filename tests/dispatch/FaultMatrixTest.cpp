#include <cstdlib>
#include <fstream>
#include <sstream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "dispatch/FaultMatrix.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

constexpr LifeStep ReadSteps[] = {LifeStep::Queued, LifeStep::Dispatched,
                                  LifeStep::Sent, LifeStep::Hedged,
                                  LifeStep::Answered};
constexpr LifeStep OrderSteps[] = {LifeStep::Claiming, LifeStep::Queued,
                                   LifeStep::Dispatched, LifeStep::Sent,
                                   LifeStep::Answered};

constexpr const char *Done = "delivered";
constexpr const char *None = "-"; // The fault cannot meet this step.
constexpr const char *Gone = "gone";
constexpr const char *Unknown = "upstream-failed, unknown";
constexpr const char *LateUnknown = "deadline-passed, unknown";
constexpr const char *Nowhere = "no-upstream, did-not-run";
constexpr const char *Expired = "view-expired, did-not-run";
constexpr const char *Barred = "quarantined, did-not-run";

// A fault with its stated outcome at each step, of an idempotent request and
// of one that is not.
struct Row {
  Fault What;
  const char *Read[5];
  const char *Order[5];
};

std::ostream &operator<<(std::ostream &out, const Row &it) {
  return out << nameOf(it.What);
}

const std::vector<Row> Rows{
    {Fault::UpstreamCrashes,
     {Done, Done, Done, Done, Done},
     {Done, Done, Done, Unknown, Done}},
    {Fault::UpstreamRefuses,
     {None, None, Done, Done, None},
     {None, None, None, Done, None}},
    {Fault::UpstreamFailsFast,
     {None, None, Done, Done, None},
     {None, None, None, Done, None}},
    {Fault::UpstreamFreezes,
     {Done, Done, Done, Done, Done},
     {Done, Done, LateUnknown, LateUnknown, Done}},
    {Fault::UpstreamTurnsCold,
     {Done, Done, Done, Done, Done},
     {Done, Done, Done, Done, Done}},
    {Fault::UpstreamLeaves,
     {Done, Done, Done, Done, Done},
     {Done, Done, Done, Done, Done}},
    {Fault::DomainOut,
     {Done, Done, Done, Done, Done},
     {Done, Done, Done, Done, Done}},
    {Fault::AllDomainsOut,
     {Nowhere, Done, Done, Done, Done},
     {Nowhere, Nowhere, Done, Done, Done}},
    {Fault::AnswerShortOrCrossed,
     {None, None, Done, Done, None},
     {None, None, None, Unknown, None}},
    {Fault::AnswerLate,
     {None, None, Done, Done, None},
     {None, None, None, LateUnknown, None}},
    {Fault::InstancePaused,
     {Expired, Done, Done, Done, Done},
     {Expired, Expired, Done, Done, Done}},
    {Fault::InstanceStops,
     {Done, Done, Done, Done, Done},
     {Done, Done, Done, Done, Done}},
    {Fault::ClaimUnavailable,
     {None, None, None, None, None},
     {"claim-unavailable, did-not-run", None, None, None, None}},
    {Fault::ClaimTaken,
     {None, None, None, None, None},
     {"key-in-use, unknown", None, None, None, None}},
    {Fault::CallerGone,
     {Gone, Gone, Gone, Gone, Done},
     {Gone, Gone, Gone, Gone, Done}},
    {Fault::RequestQuarantined,
     {Barred, Done, Done, Done, Done},
     {Barred, Barred, Done, Done, Done}},
};

void checkCell(Fault fault, LifeStep step, bool idempotent,
               const std::string &expected) {
  BOOST_TEST_CONTEXT(nameOf(fault) << " while " << nameOf(step)) {
    BOOST_TEST(LifePlay::applies(fault, step) == (expected != None));
    if (expected == None) {
      return;
    }
    LifePlay play(step, idempotent);
    const unsigned sent = step < LifeStep::Sent ? 0 : 1;
    BOOST_TEST(play.sent() == (step == LifeStep::Hedged ? 2 : sent));
    play.inject(fault);
    BOOST_TEST(play.finish() == expected);
    BOOST_TEST(play.broken().empty(), "broken: " << *play.broken().begin());
  }
}

std::string describeMatrix() {
  std::ostringstream out;
  const auto table = [&](const char *title, const LifeStep(&steps)[5],
                         const char *const(Row::*cells)[5]) {
    out << "\n## " << title << "\n\n| fault |";
    for (const LifeStep it : steps) {
      out << ' ' << nameOf(it) << " |";
    }
    out << "\n|---|---|---|---|---|---|\n";
    for (const Row &row : Rows) {
      out << "| " << nameOf(row.What) << " |";
      for (const char *it : row.*cells) {
        out << ' ' << it << " |";
      }
      out << '\n';
    }
  };
  out << "# Fault matrix\n\nHow one request ends when a fault meets it at a "
         "step of its life, against the pure decisions\n(`test_dispatch`, "
         "suite `FaultMatrix`; written by `scripts/generate`). \"-\": the "
         "fault "
         "cannot meet that step. A refusal\nnames its reason and whether the "
         "request ran. Every pair of faults at every step is played as well, "
         "against the\npromises alone: one final answer, at most one run of "
         "an order, no false \"did-not-run\".\n";
  table("An idempotent request", ReadSteps, &Row::Read);
  table("A request that is not idempotent", OrderSteps, &Row::Order);
  return out.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(FaultMatrix)

BOOST_DATA_TEST_CASE(eachFaultAtEachStep, Rows, row) {
  for (std::size_t n = 0; n < std::size(ReadSteps); ++n) {
    checkCell(row.What, ReadSteps[n], true, row.Read[n]);
    checkCell(row.What, OrderSteps[n], false, row.Order[n]);
  }
}

BOOST_DATA_TEST_CASE(twoFaultsAtEachStep, Rows *Rows, first, second) {
  for (std::size_t n = 0; n < std::size(ReadSteps); ++n) {
    for (const bool idempotent : {true, false}) {
      const LifeStep step = idempotent ? ReadSteps[n] : OrderSteps[n];
      if (!LifePlay::applies(first.What, step) ||
          !LifePlay::applies(second.What, step)) {
        continue;
      }
      BOOST_TEST_CONTEXT(nameOf(first.What) << ", then " << nameOf(second.What)
                                            << " while " << nameOf(step)) {
        LifePlay play(step, idempotent);
        play.inject(first.What);
        play.inject(second.What);
        BOOST_TEST(play.finish() != "no answer");
        BOOST_TEST(play.broken().empty(), "broken: " << *play.broken().begin());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(thePageIsTheTable) {
  const std::string path = ZINNIARAIL_SOURCE_DIR "/docs/FAULT-MATRIX.md";
  if (std::getenv("ZINNIARAIL_WRITE_DOCS") != nullptr) {
    std::ofstream(path) << describeMatrix();
  }
  std::ifstream in(path);
  const std::string page{std::istreambuf_iterator<char>(in), {}};
  BOOST_TEST(page == describeMatrix());
}

BOOST_AUTO_TEST_SUITE_END()
