// A service with one backend. The backend rejects a part of the orders and
// sends a second copy of a few of its answers, late: where the next answer on
// the connection is expected. Each client sends an order once more only after
// the promise that it has not run and never will.
#include "Rig.hh"

#include <random>

using namespace rig;

namespace {

constexpr int DeadlineMs = 1000;       // as badge-print
constexpr double OrdersPerSecond = 40; // to both instances
constexpr double SheddingShare = 0.55; // srv_grey shed all
constexpr double DoubledShare = 0.03;  // garble extra late
constexpr Ms TroubleTime{5000};        // of both
constexpr Ms TroubleInterval{12000};
constexpr int Troubles = 6;

struct Attempt {
  long order = 0;
  int status = 0; // 0: none yet, or the connection ended without an answer
  double sentMs = 0;
  double endedMs = 0;
};

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
  Record unlogged("/dev/null");
  std::mt19937 rng(11);
  const auto happens = [&](double share) {
    return std::uniform_real_distribution<double>(0, 1)(rng) < share;
  };
  bool isTroubled = false;
  long doubled = 0;
  std::map<ConnectionPtr, std::string> copies; // not sent yet
  writeConfiguration(store, 7,
                     {{"/order/", "unsafe", "print", DeadlineMs, 2, 250}});
  Backend backend(loop, store, unlogged, "print", "a", "i-print-1", 4);
  backend.workTime = Ms(78);
  backend.registerAs("ready");
  backend.onRequest = [&](const ConnectionPtr &to) {
    const auto it = copies.find(to);
    if (it != copies.end()) {
      const std::string copy = std::move(it->second);
      copies.erase(it);
      ++doubled;
      record.line("backend i-print-1 sends its last answer on this connection "
                  "again: %s",
                  copy.substr(9, copy.find("Content-Length") - 9).c_str());
      to->send(copy);
    }
  };
  backend.onAnswer = [&](const ConnectionPtr &to, const std::string &text) {
    if (isTroubled && happens(DoubledShare)) {
      copies[to] = text;
    }
  };
  backend.intercept = [&](const ConnectionPtr &to, const Message &request) {
    const bool sheds = isTroubled && happens(SheddingShare);
    if (sheds) {
      backend.reject(to, request.field("x-request-id"));
    }
    return sheds;
  };
  Instance one(record, "frontend-a-1", "a", store.address, folder.path);
  Instance two(record, "frontend-a-2", "a", store.address, folder.path);
  const std::vector<std::string> seeds{one.peer, two.peer};
  one.start(seeds, true);
  two.start(seeds, true);
  if (!startErrors.empty() || !waitUntilReady(loop, {&one, &two}, Ms(15000))) {
    return couldNotRun(record, "the instances are not ready");
  }

  std::map<std::string, Attempt> attempts; // by request id
  long orders = 0, requests = 0, answered = 0;
  bool sending = true;
  std::function<void(long, int, bool)> sendOrder = [&](long order, int deadline,
                                                       bool mayRepeat) {
    const std::string id = "request-" + std::to_string(++requests);
    attempts[id].order = order;
    attempts[id].sentMs = record.now();
    sendRequest(
        loop, unlogged, requests % 2 == 0 ? one.caller : two.caller, "POST",
        "/order/new", id, deadline, "order " + std::to_string(order),
        [&, id, order, deadline, mayRepeat](const Answer &it) {
          attempts[id].status = it.status;
          attempts[id].endedMs = record.now();
          answered += it.status == 200 ? 1 : 0;
          const std::string after = it.message.field("retry-after");
          const int wait =
              static_cast<int>(std::strtod(after.c_str(), nullptr) * 1000);
          const int left =
              deadline - wait -
              static_cast<int>(std::chrono::duration_cast<Ms>(it.took).count());
          if (it.status == 503 && mayRepeat && left > 100) {
            loop.after(Ms(wait),
                       [&, order, left] { sendOrder(order, left, false); });
          }
        });
  };
  std::function<void()> sendNext = [&] {
    if (sending) {
      sendOrder(++orders, DeadlineMs, true);
      const double seconds =
          std::exponential_distribution<double>(OrdersPerSecond)(rng);
      loop.after(Us(static_cast<long>(seconds * 1e6)), sendNext);
    }
  };
  sendNext();
  loop.runFor(Ms(3000));
  for (int n = 0; n < Troubles; ++n) {
    const Time next = Clock::now() + TroubleInterval;
    isTroubled = hasTrouble;
    record.line("%s", isTroubled ? "the backend sheds and doubles answers"
                                 : "no disruption");
    loop.runFor(TroubleTime);
    isTroubled = false;
    copies.clear();
    record.line("the backend is sound");
    loop.runUntil(next);
  }
  sending = false;
  loop.runFor(Ms(3000));

  std::map<std::string, std::string> runTimes;
  for (const Run &it : backend.runs) {
    char text[32];
    std::snprintf(text, sizeof text, " %.3f", record.at(it.at));
    runTimes[it.id] += text;
  }
  for (const auto &[id, it] : attempts) {
    record.line(
        "%s: order %ld sent at %.3f ms, run at%s, answered %d at %.3f ms",
        id.c_str(), it.order, it.sentMs,
        runTimes.contains(id) ? runTimes[id].c_str() : " no time", it.status,
        it.endedMs);
  }
  long refusedAndRun = 0;
  std::map<long, std::vector<std::string>> runsOfOrder;
  for (const Run &it : backend.runs) {
    const Attempt &attempt = attempts[it.id];
    runsOfOrder[attempt.order].push_back(it.id);
    if (attempt.status == 503 || attempt.status == 429) {
      ++refusedAndRun;
      record.line("%s (order %ld) was answered %d and has run", it.id.c_str(),
                  attempt.order, attempt.status);
    }
  }
  long printedTwice = 0;
  for (const auto &[order, runs] : runsOfOrder) {
    if (runs.size() > 1) {
      ++printedTwice;
      record.line("order %ld has run %zu times, as %s and %s", order,
                  runs.size(), runs[0].c_str(), runs[1].c_str());
    }
  }
  if (answered < 1000) {
    return couldNotRun(record, "too few orders were answered");
  }
  return finish(
      record, refusedAndRun > 0,
      "requests answered 503 that have run: " + std::to_string(refusedAndRun) +
          "; orders run twice: " + std::to_string(printedTwice) +
          "; late second answers: " + std::to_string(doubled) +
          "; answered 200: " + std::to_string(answered) + " of " +
          std::to_string(requests));
}
