// Recorded traces: each keeps its promise and comes out as it was recorded,
// and what is no trace is told by line and field.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "dispatch/Checker.h"
#include "zinniarail/trace/Recorder.h"

using namespace zinniarail;
using namespace zinniarail::testing;
using namespace zinniarail::trace;

namespace {

namespace fs = std::filesystem;

const fs::path Folder = fs::path(ZINNIARAIL_SOURCE_DIR) / "tests" / "traces";

std::vector<std::string> traceNames() {
  std::vector<std::string> names;
  for (const auto &it : fs::directory_iterator(Folder)) {
    if (it.path().extension() == ".jsonl") {
      names.push_back(it.path().filename().string());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

const std::vector<std::string> TraceNames = traceNames();

std::string readText(const std::string &name) {
  std::ostringstream out;
  out << std::ifstream(Folder / name).rdbuf();
  return out.str();
}

std::string tell(const ReadError &error) {
  return std::to_string(error.Line) + " " + error.Field + " " + error.Message;
}

Trace parse(const std::string &text) {
  auto trace = readTrace(text);
  if (!trace.has_value()) {
    BOOST_FAIL(tell(trace.error()));
  }
  return trace.value();
}

Trace load(const std::string &name) { return parse(readText(name)); }

/// The promises that a trace's actions break.
std::set<std::string> brokenBy(const Trace &trace) {
  Checker watch(trace.Start.Plan, trace.Start.ValidUntil);
  for (const auto &[at, told, asked] : trace.Steps) {
    if (const auto *it = std::get_if<Event>(&told)) {
      watch.onEvent(*it, at);
    } else if (const auto *it = std::get_if<Replanned>(&told)) {
      watch.onPlan(it->Plan);
    } else {
      watch.ValidUntil =
          std::max(watch.ValidUntil, std::get<ViewConfirmed>(told).ValidUntil);
    }
    for (const Action &it : asked) {
      watch.onAction(it, at);
    }
  }
  return watch.Broken;
}

/// Everything that is wrong with a replay, one line each.
std::vector<std::string> judge(const Trace &recorded, const Trace &replayed) {
  std::vector<std::string> faults;
  for (const std::string &it : brokenBy(replayed)) {
    faults.push_back("broken: " + it);
  }
  const auto ends = endsOf(replayed);
  for (const auto &[request, end] : recorded.Start.Stated.Ends) {
    const auto it = ends.find(request);
    const std::string now = it == ends.end() ? "not there" : it->second;
    if (now != end) {
      std::string &fault = faults.emplace_back("request ");
      fault.append(request).append(": ").append(now);
      fault.append(", not ").append(end);
    }
  }
  if (const auto it = compareTraces(recorded, replayed)) {
    faults.push_back("line " + std::to_string(it->Line) + ": " + it->Replayed +
                     ", not " + it->Recorded);
  }
  return faults;
}

// Writes today's actions into the file; what is stated stays.
void recordAnew(const std::string &name, const Trace &replayed) {
  std::ofstream(Folder / name) << writeTrace(replayed);
}

} // namespace

BOOST_DATA_TEST_CASE(aTraceComesOutAsItWasRecorded, TraceNames, name) {
  const Trace recorded = load(name);
  const Trace replayed = replayTrace(recorded);
  BOOST_TEST(!recorded.Start.Stated.Promise.empty());
  BOOST_TEST(!recorded.Start.Stated.Ends.empty());
  const bool anew = std::getenv("ZINNIARAIL_RECORD_ANEW") != nullptr;
  if (anew) {
    recordAnew(name, replayed);
  }
  for (const std::string &it : judge(anew ? replayed : recorded, replayed)) {
    BOOST_ERROR(name << ": " << it);
  }
}

BOOST_DATA_TEST_CASE(aTraceIsReadAndWrittenAlike, TraceNames, name) {
  BOOST_TEST(writeTrace(load(name)) == readText(name));
}

namespace {

// A deliberate breach: what today's engine would have done wrong.
struct Breach {
  const char *Name;
  const char *File;
  void (*Change)(Trace &);
  const char *Found;
};

std::ostream &operator<<(std::ostream &out, const Breach &it) {
  return out << it.Name;
}

/// The last step in which an action of a type was asked for.
template <typename Wanted> Actions &lastWith(Trace &trace) {
  for (auto it = trace.Steps.rbegin(); it != trace.Steps.rend(); ++it) {
    for (const Action &action : it->Asked) {
      if (std::holds_alternative<Wanted>(action)) {
        return it->Asked;
      }
    }
  }
  BOOST_FAIL("no such action");
  return trace.Steps.front().Asked;
}

const std::vector<Breach> Breaches{
    {"one more attempt on a cold upstream", "cold-start-old-answer.jsonl",
     [](Trace &it) {
       it.Steps
           .at(it.Steps.size() - 4) // the arrival of request 11
           .Asked.emplace_back(StartAttempt{AttemptId{99}, RequestId{11}, "u0",
                                            Instant::max()});
     },
     "broken: cold-ramp"},
    {"an attempt on an expired view", "view-expires-while-queued.jsonl",
     [](Trace &it) {
       it.Steps.back().Asked.emplace_back(
           StartAttempt{AttemptId{99}, RequestId{2}, "u0", Instant::max()});
     },
     "broken: view-expired"},
    {"a write without a claim", "unclassed-post-without-key.jsonl",
     [](Trace &it) {
       it.Steps.front().Asked = {
           StartAttempt{AttemptId{1}, RequestId{1}, "u0", Instant::max()}};
     },
     "broken: claim-first"},
    {"another answer to the caller", "unclassed-post-without-key.jsonl",
     [](Trace &it) {
       for (Action &action : lastWith<Refuse>(it)) {
         if (auto *refusal = std::get_if<Refuse>(&action)) {
           refusal->Reason = RefusalReason::Overloaded;
         }
       }
     },
     "request 1: overloaded did-not-run, not key-missing did-not-run"},
};

} // namespace

BOOST_DATA_TEST_CASE(aBreachTurnsAReplayRed, Breaches, it) {
  const Trace recorded = load(it.File);
  Trace replayed = replayTrace(recorded);
  it.Change(replayed);
  const auto faults = judge(recorded, replayed);
  const std::string found =
      std::accumulate(faults.begin(), faults.end(), std::string());
  BOOST_TEST(found.find(it.Found) != std::string::npos, found);
  BOOST_TEST(found.find("line ") != std::string::npos, found);
}

BOOST_DATA_TEST_CASE(aChangedLineTurnsAReplayRed, TraceNames, name) {
  Trace recorded = load(name);
  recorded.Steps.front().Asked.emplace_back(SendProbe{"u9"});
  const auto it = compareTraces(recorded, replayTrace(recorded));
  BOOST_REQUIRE(it);
  BOOST_TEST(it->Line == 2u);
}

namespace {

struct WrongText {
  const char *Line; ///< In place of the second.
  const char *Told;
};

std::ostream &operator<<(std::ostream &out, const WrongText &it) {
  return out << it.Line;
}

const std::vector<WrongText> WrongTexts{
    {"{", "2  is no JSON: incomplete JSON"},
    {"[]", "2  must be an object"},
    {R"({"at":0})", "2  must have one of event, replan, validUntil"},
    {R"({"event":{"type":"woken"}})", "2 at is required"},
    {R"({"at":1e3,"validUntil":0})",
     "2 at must be whole microseconds, within 31 years"},
    {R"({"at":0,"event":{"type":"lunch"}})",
     "2 event/type is not a known name"},
    {R"({"at":0,"event":{"type":"sent"}})", "2 event/attempt is required"},
    {R"({"at":0,"event":{"type":"gone","request":-1}})",
     "2 event/request must be a whole number from 0 on"},
    {R"({"at":0,"event":{"type":"woken","body":"x"}})",
     "2 event/body is not a known key"},
    {R"({"at":0,"event":{"type":"woken"},"actions":[{"type":"refuse"}]})",
     "2 actions/0/request is required"},
};

std::string firstLine() {
  const std::string text = readText("unclassed-post-without-key.jsonl");
  return text.substr(0, text.find('\n') + 1);
}

} // namespace

BOOST_DATA_TEST_CASE(whatIsNoTraceIsToldByLineAndField, WrongTexts, it) {
  const auto trace = readTrace(firstLine() + it.Line);
  BOOST_REQUIRE(!trace.has_value());
  BOOST_TEST(tell(trace.error()) == it.Told);
}

BOOST_AUTO_TEST_CASE(anotherVersionIsNotRead) {
  std::string text = firstLine();
  text.replace(text.find("\"trace\":1"), 9, "\"trace\":2");
  const auto trace = readTrace(text);
  BOOST_REQUIRE(!trace.has_value());
  BOOST_TEST(tell(trace.error()) ==
             "1 trace must be 1, the only known version");
}

namespace {

constexpr std::uint64_t Seed = 20261203;

/// Serves some reads and a write with a recorder at the engine's side.
Recorder recordSome(std::size_t bytes) {
  Header header{.Plan = makePlan(2),
                .At = Start,
                .ValidUntil = Start + 1h,
                .Seed = Seed,
                .Stream = 3};
  Recorder recorder(header, bytes);
  const auto state =
      makeService(header.Plan, header.ValidUntil, Random(Seed, 3), 1);
  for (std::uint64_t n = 1; n <= 20; ++n) {
    Actions out;
    const Event event =
        RequestArrived{RequestId{n},    n % 5 == 0 ? "write" : "read", "secret",
                       0xfeedfacecafeU, Start + n * 1ms + 1s,          true};
    handle(*state, event, Start + n * 1ms, out);
    recorder.note(Start + n * 1ms, event, out);
  }
  return recorder;
}

} // namespace

BOOST_AUTO_TEST_CASE(aRecordingReplaysAndKeepsNoContent) {
  const std::string text = recordSome(1'000'000).text();
  const Trace trace = parse(text);
  BOOST_TEST(trace.Steps.size() == 20u);
  BOOST_TEST(!trace.CutShort);
  const auto faults = judge(trace, replayTrace(trace));
  BOOST_TEST(faults == std::vector<std::string>{},
             boost::test_tools::per_element());
  BOOST_TEST(text.find("secret") == std::string::npos);
  BOOST_TEST(text.find(std::to_string(0xfeedfacecafeU)) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(aFullRecordingStopsAndSaysSo) {
  constexpr std::size_t bytes = 2'000;
  const std::string text = recordSome(bytes).text();
  BOOST_TEST(text.size() <= bytes);
  const Trace trace = parse(text);
  BOOST_TEST(trace.CutShort);
  BOOST_TEST(trace.Steps.size() > 0u);
  BOOST_TEST(!compareTraces(trace, replayTrace(trace)).has_value());
}
