// An instance gets SIGTERM while it has passed several safe requests of one
// connection on to backends.
#include "Rig.h"

using namespace rig;

int main(int argc, char **argv) {
  const bool trouble = begin(argc, argv, "case 8");
  auto &store = *new Store;
  store.put("config", "main", configuration(7));
  const auto handler = [](Backend &backend, Connection &connection,
                          const Message &request) {
    sleepMs(std::atoi(request.target().c_str() + std::strlen("/read/")));
    backend.succeed(connection, request, "whole body");
  };
  for (int n = 0; n < 4; ++n) {
    (new Backend("i-" + std::to_string(n), handler))->enter(store, "orders");
  }
  Instance instance(store.port(), "frontend-bilbao-1");
  instance.start();
  if (!instance.waitUntilReady(20)) {
    finish({&instance}, 2);
  }
  sleepMs(4000);

  constexpr int clientCount = 6;
  std::vector<Connection> clients;
  for (int n = 0; n < clientCount; ++n) {
    clients.push_back(connectTo(instance.Callers));
    const std::string number = std::to_string(n);
    clients.back().send(
        request("GET", "/read/400/first", "first-" + number, 3500) +
        request("GET", "/read/900/second", "second-" + number, 3500));
    Log.line("client %d sent first-%d and second-%d on one connection", n, n,
             n);
  }
  sleepMs(200);
  if (trouble) {
    instance.signal(SIGTERM);
    Log.line("SIGTERM");
  }
  int lost = 0;
  int answered = 0;
  for (int n = 0; n < clientCount; ++n) {
    for (const char *name : {"first-", "second-"}) {
      const std::string id = name + std::to_string(n);
      const auto reply = clients[n].read(now() + 5);
      if (reply) {
        ++answered;
        Log.line("%s: %s, Connection: %s", id.c_str(), reply->First.c_str(),
                 reply->field("Connection").c_str());
        continue;
      }
      const bool ran = !arrivalsOf(id).empty();
      Log.line("%s: no answer, the connection was %s; %s", id.c_str(),
               clients[n].Reset    ? "reset"
               : clients[n].Closed ? "closed"
                                   : "silent",
               ran ? "it had been passed on to a backend"
                   : "it had not been passed on");
      lost += ran ? 1 : 0;
      break;
    }
  }
  Log.line("%d answered; %d passed on to a backend and never answered",
           answered, lost);
  if (answered < clientCount) {
    finish({&instance}, 2);
  }
  finish({&instance}, lost > 0 ? 1 : 0);
}
