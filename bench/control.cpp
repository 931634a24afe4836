// Measures the control tasks of a fleet against the platform's stand-in: time
// from accepted to in force everywhere, and calls to the platform. The words
// between instances are handed over in memory, each instance hearing a few
// others every interval as the peers task would.
//
// Usage: bench_control PLATFORM_STANDIN ADDRESS

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

#include <boost/json.hpp>
#include <sys/resource.h>

#include "common/Process.h"
#include "zinniarail/control/ControlTask.h"
#include "zinniarail/core/Random.h"
#include "zinniarail/intent/Format.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Domains = 4;
constexpr unsigned Heard = 3; // peers that an instance asks in an interval
constexpr unsigned Changes = 20;
constexpr Duration QuietTime = 5s;
constexpr Duration GiveUp = 30s;
const Settings Defaults;

standins::Reply call(const std::string &method, const std::string &url,
                     const std::string &body = "") {
  return standins::fetch(
      {.Method = method, .Url = url, .Body = body, .Timeout = GiveUp});
}

struct Fleet;

struct Member {
  Instance Self;
  std::mutex Mutex;
  std::shared_ptr<const View> Latest;
  Instant InForceAt{};
  std::unique_ptr<control::ControlTask> Task;

  std::shared_ptr<const View> view() {
    const std::lock_guard lock(Mutex);
    return Latest;
  }
  void take(const std::shared_ptr<const View> &view) {
    const std::lock_guard lock(Mutex);
    if (!Latest || view->Version > Latest->Version) {
      InForceAt = readClock();
    }
    Latest = view;
  }
};

struct Fleet {
  Fleet(const std::string &platform, unsigned count, ReaderPolicy policy);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void gossip();
  void serve(Member &to, const peers::FetchDocument &wanted);
  bool has(std::uint64_t version);
  bool isValid();

  std::vector<std::unique_ptr<Member>> Members;
  std::atomic<bool> Ending{false};
  std::thread Gossip;
};

Fleet::Fleet(const std::string &platform, unsigned count, ReaderPolicy policy) {
  for (unsigned n = 0; n < count; ++n) {
    auto it = std::make_unique<Member>();
    it->Self = {.Id = "i" + std::to_string(n),
                .Domain = "d" + std::to_string(n % Domains)};
    Settings settings;
    settings.InstanceId = it->Self.Id;
    settings.FailureDomain = it->Self.Domain;
    settings.Environment = "bench";
    settings.PlatformAddress = platform;
    settings.Seed = n + 1;
    Member &member = *it;
    const auto toPeers = [this, &member](peers::Message message) {
      if (auto *wanted = std::get_if<peers::FetchDocument>(&message)) {
        serve(member, *wanted);
      }
    };
    const auto toGateway = [&member](gateway::Message message) {
      if (auto *it = std::get_if<gateway::ViewChanged>(&message)) {
        member.take(it->Current);
      }
    };
    it->Task = std::make_unique<control::ControlTask>(
        settings, control::Outboxes{toGateway, toPeers}, policy);
    Members.push_back(std::move(it));
  }
  for (auto &it : Members) {
    it->Task->start();
  }
  Gossip = std::thread([this] { gossip(); });
}

Fleet::~Fleet() {
  Ending = true;
  Gossip.join();
  for (auto &it : Members) {
    it->Task->stop();
  }
}

void Fleet::gossip() {
  Random random(7);
  const auto count = static_cast<unsigned>(Members.size());
  while (!Ending) {
    for (unsigned n = 0; n < count; ++n) {
      for (unsigned k = 0; k < std::min(Heard, count - 1); ++k) {
        Member &peer = *Members[(n + 1 + drawBelow(random, count - 1)) % count];
        const auto view = peer.view();
        const Instant now = readClock();
        const bool proved = view && view->ConfirmedAsOf != Instant::min();
        Members[n]->Task->inbox().post(control::PeerSeen{
            peer.Self, view ? view->Version : 0,
            proved ? now - view->ConfirmedAsOf : Duration::max(), now});
      }
    }
    std::this_thread::sleep_for(Defaults.PeerInterval);
  }
}

void Fleet::serve(Member &to, const peers::FetchDocument &wanted) {
  for (auto &it : Members) {
    if (it->Self.Id != wanted.Instance) {
      continue;
    }
    if (const auto view = it->view(); view && view->Version == wanted.Version) {
      to.Task->inbox().post(control::DocumentFetched{
          wanted.Instance, wanted.Version, *view->Bytes});
    }
  }
}

bool Fleet::has(std::uint64_t version) {
  return std::all_of(Members.begin(), Members.end(), [&](auto &it) {
    const auto view = it->view();
    return view && view->Version >= version;
  });
}

bool Fleet::isValid() {
  return std::all_of(Members.begin(), Members.end(), [&](auto &it) {
    const auto view = it->view();
    return view && view->ValidUntil > readClock();
  });
}

// Writes a change. \returns its version.
std::uint64_t write(const std::string &base) {
  Document document;
  for (unsigned d = 0; d < Domains; ++d) {
    document.Domains.push_back({"d" + std::to_string(d), "", true});
  }
  const auto reply = call("PUT", base + "/objects/environments/bench/document",
                          serialiseDocument(document));
  return std::stoull(reply.header("etag").substr(1));
}

std::uint64_t countCalls(const std::string &base) {
  const auto reply = call("GET", base + "/control/counters");
  return boost::json::parse(reply.Body).at("calls").to_number<std::uint64_t>();
}

double processSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval &it) {
    constexpr double microseconds = 1e6;
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / microseconds;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct Run {
  const char *Name;
  unsigned Instances;
  std::size_t SmallFleet;
  unsigned DelayMs;
};

void measure(const Run &run, const std::string &standin,
             const std::string &address) {
  standins::Process platform;
  if (!platform.start({standin, "--address", address}, standins::OwnLog)) {
    std::cerr << "can't start " << standin << "\n";
    return;
  }
  const std::string base = "http://" + address;
  while (call("GET", base + "/control/counters").Status == 0) {
    std::this_thread::sleep_for(10ms);
  }
  call(
      "POST", base + "/control/faults",
      R"({"kinds":["get","watch","list","instances","watchInstances"],"delayMs":)" +
          std::to_string(run.DelayMs) + "}");
  {
    write(base);
    Fleet fleet(address, run.Instances, {.SmallFleet = run.SmallFleet});
    while (!fleet.has(1) || !fleet.isValid()) {
      std::this_thread::sleep_for(10ms);
    }
    std::this_thread::sleep_for(QuietTime);
    const std::uint64_t calls = countCalls(base);
    const double cpu = processSeconds();
    std::this_thread::sleep_for(QuietTime);
    const double quiet = std::chrono::duration<double>(QuietTime).count();
    const double perSecond =
        static_cast<double>(countCalls(base) - calls) / quiet;
    const double share = (processSeconds() - cpu) / quiet / run.Instances;
    std::vector<double> times;
    unsigned missed = 0;
    for (unsigned n = 0; n < Changes; ++n) {
      const std::uint64_t version = write(base);
      const Instant accepted = readClock();
      while (!fleet.has(version) && readClock() < accepted + GiveUp) {
        std::this_thread::sleep_for(1ms);
      }
      missed += fleet.has(version) ? 0 : 1;
      Instant last = accepted;
      for (auto &it : fleet.Members) {
        const std::lock_guard lock(it->Mutex);
        last = std::max(last, it->InForceAt);
      }
      times.push_back(
          std::chrono::duration<double, std::milli>(last - accepted).count());
      std::this_thread::sleep_for(137ms);
    }
    std::sort(times.begin(), times.end());
    std::cout << run.Name << " | " << run.Instances << " | " << run.DelayMs
              << " | " << times[times.size() / 2] << " | " << times.back()
              << " | " << missed << " | " << perSecond << " | "
              << perSecond / run.Instances << " | " << share * 100 << "\n"
              << std::flush;
  }
}

constexpr std::size_t Everybody = 1000000;
constexpr std::size_t Few = 16;

const std::vector<Run> Runs{
    {"everybody watches", 13, Everybody, 0},
    {"everybody watches", 26, Everybody, 0},
    {"everybody watches", 52, Everybody, 0},
    {"everybody watches", 104, Everybody, 0},
    {"2 readers a domain", 13, 0, 0},
    {"2 readers a domain", 26, Few, 0},
    {"2 readers a domain", 52, Few, 0},
    {"2 readers a domain", 104, Few, 0},
    {"everybody watches", 13, Everybody, 400},
    {"2 readers a domain", 104, Few, 400},
    {"everybody watches", 13, Everybody, 1500},
};

} // namespace

int main(int count, char **words) {
  if (count != 3) {
    std::cerr << "usage: bench_control PLATFORM_STANDIN ADDRESS\n";
    return 2;
  }
  std::cout << "who reads | instances | platform's delay, ms | in force "
               "everywhere p50, ms | max, ms | missed of "
            << Changes
            << " | calls/s | calls/s an instance | % of a core an "
               "instance\n";
  for (const Run &it : Runs) {
    measure(it, words[1], words[2]);
  }
  return 0;
}
