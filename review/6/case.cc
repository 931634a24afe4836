// A backend leaves while the link between the store and the one instance that
// reads it for its zone is silent for less than a second.
#include <atomic>

#include "Rig-2.hh"

using namespace rig;

namespace {

constexpr double DrainSeconds = 2.0;

// The silence begins just after a health check of the store and ends after the
// next one has timed out, before another instance reads the store.
constexpr int SilenceMs = 930;

constexpr const char *HealthCheck = "GET /objects/evacuations";

} // namespace

int main(int argc, char **argv) {
  const bool trouble = begin(argc, argv, "case 6");
  auto &store = *new Store;
  store.put("config", "main", configuration(7));
  const auto handler = [](Backend &backend, Connection &connection,
                          const Message &request) {
    sleepMs(10);
    backend.succeed(connection, request, "whole body");
  };
  std::vector<Backend *> backends;
  for (int n = 0; n < 4; ++n) {
    backends.push_back(new Backend("i-" + std::to_string(n), handler));
    backends.back()->enter(store, "orders");
  }
  std::vector<Link *> links;
  std::vector<Instance *> instances;
  std::string seeds;
  for (int n = 0; n < 3; ++n) {
    links.push_back(new Link(store.port()));
    instances.push_back(new Instance(links.back()->port(),
                                     "frontend-bilbao-" + std::to_string(n + 1),
                                     seeds));
    seeds += (n > 0 ? "," : "") + std::string("127.0.0.1:") +
             std::to_string(instances.back()->Peers);
  }
  for (Instance *it : instances) {
    it->start();
  }
  for (Instance *it : instances) {
    if (!it->waitUntilReady(20)) {
      finish(instances, 2);
    }
  }
  sleepMs(4000); // The bounds hold for machines in touch: stable_window, 3 s.

  // The reader is the instance that has called the store last.
  std::vector<int> before;
  before.reserve(links.size());
  for (Link *it : links) {
    before.push_back(it->count("GET"));
  }
  sleepMs(1500);
  int reader = -1;
  for (int n = 0; n < 3; ++n) {
    if (links[n]->count("GET") > before[n] + 1) {
      reader = reader < 0 ? n : -2;
    }
  }
  if (reader < 0) {
    Log.line("no single reader of the store: %d", reader);
    finish(instances, 2);
  }
  Log.line("%s reads the store", instances[reader]->Id.c_str());

  // Clients of the two other instances, which keep their links all the while.
  std::atomic<bool> stop = false;
  std::mutex lock;
  std::map<std::string, double> sentAt;
  std::atomic<int> answered = 0;
  std::vector<std::thread> clients;
  clients.reserve(6);
  for (int n = 0; n < 3; ++n) {
    if (n == reader) {
      continue;
    }
    for (int k = 0; k < 3; ++k) {
      clients.emplace_back([&, n, k] {
        Connection connection = connectTo(instances[n]->Callers);
        for (int i = 0; !stop; ++i) {
          const std::string id = "q" + std::to_string(n) + "-" +
                                 std::to_string(k) + "-" + std::to_string(i);
          {
            std::lock_guard hold(lock);
            sentAt[id] = now();
          }
          connection.send(request("GET", "/read/x", id, 2000));
          const auto reply = connection.read(now() + 3);
          answered += reply && reply->status() == 200 ? 1 : 0;
          if (!reply) {
            connection = Connection{};
            return;
          }
          sleepMs(20);
        }
      });
    }
  }
  sleepMs(1000);

  const int checks = links[reader]->count(HealthCheck);
  while (links[reader]->count(HealthCheck) == checks) {
    sleepMs(1);
  }
  sleepMs(30);
  if (trouble) {
    links[reader]->silence(true);
    Log.line("the link between the store and %s is silent",
             instances[reader]->Id.c_str());
  }
  // This backend never reports that it drains: its entry is removed, and it
  // goes on serving.
  store.remove("servers", "i-0");
  const double gone = now();
  Log.line("the store has removed servers/i-0");
  if (trouble) {
    sleepMs(SilenceMs);
    links[reader]->silence(false);
    Log.line("the link is sound again");
  }
  sleepMs(5000);
  stop = true;
  for (std::thread &it : clients) {
    it.join();
  }

  int late = 0;
  double latest = 0;
  int all = 0;
  {
    std::lock_guard hold(Backend::ArrivalsLock);
    for (const auto &it : Backend::Arrivals) {
      ++all;
      if (it.Backend == "i-0" && it.At > gone + DrainSeconds) {
        ++late;
        latest = it.At - gone;
        Log.line("late: %s, sent %.3f s and run %.3f s after the removal",
                 it.Id.c_str(), sentAt[it.Id] - gone, it.At - gone);
      }
    }
  }
  Log.line("%d requests run, %d answered with 200; %d reached the removed "
           "backend later than drain (2 s), the last one after %.3f s",
           all, answered.load(), late, latest);
  if (answered < 200) {
    finish(instances, 2);
  }
  finish(instances, late > 0 ? 1 : 0);
}
