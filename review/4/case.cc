// An instance gets SIGTERM while requests wait in its queue for a free slot at
// the backends. The machine's other work is calm and nothing else is disturbed.
#include "Rig.hh"

using namespace rig;

namespace {

constexpr int RequestCount = 30;
constexpr int DeadlineMs = 10000; // also the route's timeout
constexpr Ms WorkTime{1800};
constexpr Ms LossSlack{200};   // `loss_slack`
constexpr Ms Grace{6000};      // `grace`
constexpr Ms SentBefore{3000}; // after the SIGTERM, for the excuse below

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argc > 1 ? argv[1] : "record.txt");
  // run.sh passes TROUBLE on; 0 leaves the disruption out.
  const bool hasTrouble = argc <= 2 || std::string(argv[2]) != "0";
  record.line("TROUBLE=%d", hasTrouble ? 1 : 0);
  const TemporaryFolder folder;
  Loop loop;
  Store store(loop);
  std::vector<std::unique_ptr<Backend>> backends;
  writeConfiguration(store, 7,
                     {{"/statement/", "safe", "statement", DeadlineMs, 2, 2000},
                      {"/order/", "unsafe", "statement", DeadlineMs, 2, 2000}});
  for (int n = 0; n < 3; ++n) {
    auto &it = backends.emplace_back(
        std::make_unique<Backend>(loop, store, record, "statement", "a",
                                  "i-statement-" + std::to_string(n), 2));
    it->workTime = WorkTime;
    it->registerAs("ready");
  }
  Instance one(record, "frontend-a-1", "a", store.address, folder.path);
  Instance two(record, "frontend-a-2", "a", store.address, folder.path);
  const std::vector<std::string> seeds{one.peer, two.peer};
  one.start(seeds, true);
  two.start(seeds, true);
  if (!startErrors.empty() || !waitUntilReady(loop, {&one, &two}, Ms(15000))) {
    return couldNotRun(record, "the instances are not ready");
  }
  loop.runFor(Ms(4000)); // longer than stable_window

  struct Sent {
    Time at;
    Time endedAt;
    Answer answer;
  };
  std::map<std::string, Sent> requests;
  int open = 0;
  for (int n = 0; n < RequestCount; ++n) {
    const bool isOrder = n % 2 == 0;
    const std::string id =
        (isOrder ? "order-" : "statement-") + std::to_string(n);
    requests[id].at = Clock::now();
    ++open;
    sendRequest(loop, record, one.caller, isOrder ? "POST" : "GET",
                isOrder ? "/order/new" : "/statement/1", id, DeadlineMs,
                isOrder ? "one order" : "", [&, id](const Answer &it) {
                  requests[id].answer = it;
                  requests[id].endedAt = Clock::now();
                  --open;
                });
    loop.runFor(Ms(10));
  }
  loop.runFor(Ms(300));
  const Time terminatedAt = Clock::now();
  if (hasTrouble) {
    one.signal(SIGTERM);
  }
  if (!loop.runUntilTrue([&] { return open == 0; }, Ms(DeadlineMs + 2000))) {
    return couldNotRun(record, "requests are still open");
  }
  one.hasEnded();

  int lost = 0, excused = 0, answered = 0, refused = 0, left = 0;
  for (const auto &[id, it] : requests) {
    if (it.answer.status != 0) {
      ++(it.answer.status == 200 ? answered : refused);
      continue;
    }
    if (it.answer.timedOut) {
      ++left;
      continue;
    }
    bool wasPassedOn = false;
    for (const auto &backend : backends) {
      for (const Run &arrival : backend->arrivals) {
        wasPassedOn = wasPassedOn || arrival.id == id;
      }
    }
    // Not counted: the backend was still at work in the last sixth of grace.
    const bool isExcused = wasPassedOn &&
                           it.endedAt >= terminatedAt + Grace * 5 / 6 &&
                           it.at <= terminatedAt + SentBefore;
    const bool isLost =
        !isExcused && (wasPassedOn || it.endedAt > it.at + LossSlack);
    excused += isExcused ? 1 : 0;
    lost += isLost ? 1 : 0;
    record.line(
        "%s ended without an answer %.0f ms after it was sent and "
        "%.0f ms after the SIGTERM; it was %s: %s",
        id.c_str(),
        std::chrono::duration<double, std::milli>(it.endedAt - it.at).count(),
        std::chrono::duration<double, std::milli>(it.endedAt - terminatedAt)
            .count(),
        wasPassedOn ? "at work at a backend" : "never passed on",
        isLost ? "lost" : "not counted");
  }
  return finish(record, lost > 0,
                "requests read whole and ended without an answer: " +
                    std::to_string(lost) + " lost, " + std::to_string(excused) +
                    " at work in the last sixth of grace; answered 200: " +
                    std::to_string(answered) +
                    ", refused: " + std::to_string(refused) +
                    ", left at their deadline: " + std::to_string(left));
}
