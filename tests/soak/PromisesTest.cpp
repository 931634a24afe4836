// Each promise's check on records made by hand: quiet on a clean run and where
// a fault excuses it, and loud on its own breach alone.
#include <functional>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "soak/Promises.h"

using namespace zinniarail;
using namespace zinniarail::soak;
using namespace std::chrono_literals;

namespace promises_test {

constexpr Instant Start{1h};
const std::string Address = "127.0.0.1:80";

/// One request, of an instance that nothing happens to.
void ask(Records &records, const std::string &id, Instant at, bool idempotent,
         const std::string &path = "/read/") {
  standins::CallerRecord &it = records.Requests[id];
  it.Idempotent = idempotent;
  it.Status = 200;
  it.SentAt = at;
  it.EndedAt = at + 20ms;
  it.Instance = Address;
  it.Path = path;
}

void arrive(Records &records, const std::string &id, Instant at,
            const std::string &upstream = "u1",
            const std::string &service = "orders", bool cold = false) {
  records.Done.Arrivals.push_back({id, upstream, service, "a", at, cold});
  ++records.Done.Requests[id].Begun;
}

Records clean() {
  Records records;
  records.MovingPath = "/moving/";
  records.InstanceOf[Address] = 0;
  records.Moves = {{Start, 1, "orders"}, {Start + 10s, 2, "archive"}};
  for (unsigned n = 0; n < 300; ++n) {
    const std::string id = "r" + std::to_string(n);
    const Instant at = Start + 50ms * n;
    ask(records, id, at, n % 2 == 0);
    arrive(records, id, at + 1ms);
  }
  records.Versions = {{0, 1, 1}, {0, 1, 2}, {0, 2, 1}};
  records.Probes = {{"u1", 100, 15s}};
  records.Ends = {{"instance-1", true, false, 0}};
  return records;
}

struct Case {
  const char *Name;
  const char *Promise; ///< Empty: none is broken.
  std::function<void(Records &)> Change;
};
std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Name;
}

void leaveAndArrive(Records &it, Duration later) {
  it.LeavingSince["u2"] = Start + 5s;
  ask(it, "x", Start + 5s + later, true);
  arrive(it, "x", Start + 5s + later, "u2");
}

void goOutAndArrive(Records &it, Duration later) {
  it.DomainsOut = {{"b", {Start + 2s, Start + 14s}}};
  ask(it, "x", Start + 2s + later, true);
  it.Done.Arrivals.push_back(
      {"x", "u3", "orders", "b", Start + 2s + later, false});
  ++it.Done.Requests["x"].Begun;
}

void moveAndArrive(Records &it, Duration later) {
  ask(it, "x", Start + 10s + later, true, "/moving/");
  arrive(it, "x", Start + 10s + later);
}

void lose(Records &it) {
  ask(it, "x", Start + 8s, true);
  arrive(it, "x", Start + 8s);
  it.Requests["x"].Status = 0;
  it.Requests["x"].LostAnswer = true;
}

void repeat(Records &it, unsigned count) {
  for (unsigned n = 0; n < count; ++n) {
    it.Done.Arrivals.push_back({"r0", "u1", "orders", "a", Start + 12s, false});
  }
}

void crowd(Records &it, unsigned count) {
  for (unsigned n = 0; n < count; ++n) {
    const std::string id = "x" + std::to_string(n);
    ask(it, id, Start + 12s + 10ms * n, true);
    arrive(it, id, Start + 12s + 10ms * n, "u4", "orders", true);
  }
}

const std::vector<Case> Cases{
    {"clean", "", [](Records &) {}},
    {"an order that ran twice", "runs-once",
     [](Records &it) { it.Done.Requests["r1"].Begun = 2; }},
    {"a read that ran twice", "",
     [](Records &it) { it.Done.Requests["r2"].Begun = 2; }},
    {"an order that ran and was refused", "true-refusals",
     [](Records &it) {
       it.Requests["r1"].Status = 503;
       it.Requests["r1"].SaidNotRun = true;
     }},
    {"another request's answer", "own-answers",
     [](Records &it) { it.Requests["r1"].WrongAnswer = true; }},
    {"an answer without a run", "own-answers",
     [](Records &it) { it.Done.Requests.erase("r1"); }},
    {"a lost answer", "no-lost-answers", lose},
    {"a lost answer while it is stopped", "no-lost-answers",
     [](Records &it) {
       lose(it);
       it.Troubles[0] = {{Trouble::Planned, {Start + 7s, Start + 9s}}};
     }},
    {"a lost answer while it is killed", "",
     [](Records &it) {
       lose(it);
       it.Troubles[0] = {{Trouble::Process, {Start + 8s, Start + 9s}}};
     }},
    {"a request that crossed the close", "",
     [](Records &it) {
       lose(it);
       it.Done.Arrivals.pop_back();
     }},
    {"a leaving upstream, in time", "",
     [](Records &it) { leaveAndArrive(it, 1900ms); }},
    {"a leaving upstream, too late", "drain",
     [](Records &it) { leaveAndArrive(it, 2100ms); }},
    {"a leaving upstream, cut from the store", "",
     [](Records &it) {
       leaveAndArrive(it, 2100ms);
       it.Troubles[0] = {{Trouble::Store, {Start + 4s, Start + 5s}}};
     }},
    {"a leaving upstream, the store away", "",
     [](Records &it) {
       leaveAndArrive(it, 2100ms);
       it.StoreTrouble = {{Start + 4s, Start + 6s}};
     }},
    {"a domain that is out, in time", "",
     [](Records &it) { goOutAndArrive(it, 4900ms); }},
    {"a domain that is out, too late", "evacuation",
     [](Records &it) { goOutAndArrive(it, 5100ms); }},
    {"a domain that is back", "",
     [](Records &it) { goOutAndArrive(it, 12100ms); }},
    {"a route that moved, in time", "",
     [](Records &it) { moveAndArrive(it, 1900ms); }},
    {"a route that moved, too late", "configuration",
     [](Records &it) { moveAndArrive(it, 2100ms); }},
    {"a version that goes back", "no-version-back",
     [](Records &it) {
       it.Versions.push_back({0, 2, 0});
     }},
    {"repeats within their budget", "", [](Records &it) { repeat(it, 56); }},
    {"repeats beyond it", "retry-budget", [](Records &it) { repeat(it, 150); }},
    {"a cold upstream with what it bears", "",
     [](Records &it) { crowd(it, 26); }},
    {"a cold upstream with more", "cold-upstreams",
     [](Records &it) { crowd(it, 27); }},
    {"too many health checks", "probe-budget",
     [](Records &it) {
       it.Probes = {{"u1", 901, 15s}};
     }},
    {"a process that ended by itself", "stays-up",
     [](Records &it) { it.Ends[0].Asked = false; }},
    {"a process that had to be killed", "stops-in-time",
     [](Records &it) { it.Ends[0].Overdue = true; }},
};

} // namespace promises_test
using namespace promises_test;

BOOST_DATA_TEST_CASE(aBreachTurnsItsOwnPromiseRed, Cases, it) {
  Records records = clean();
  it.Change(records);
  std::set<std::string> broken;
  for (const Breach &breach : judge(records, {})) {
    broken.insert(breach.Promise);
  }
  std::set<std::string> expected;
  if (it.Promise[0] != '\0') {
    expected.insert(it.Promise);
  }
  BOOST_TEST(broken == expected, boost::test_tools::per_element());
}
