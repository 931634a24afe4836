// Backends fail a part of the unsafe requests that they have run with 503 and
// without X-Not-Executed. The client sends a request again after a promise.
#include "Rig-2.hh"

using namespace rig;

int main(int argc, char **argv) {
  const bool trouble = begin(argc, argv, "case 8");
  auto &store = *new Store;
  store.put("config", "main", configuration(7));
  std::atomic<int> runs = 0;
  const auto handler = [&](Backend &backend, Connection &connection,
                           const Message &request) {
    sleepMs(20);
    // One backend of eight is grey: two in five of its requests fail after they
    // have run.
    const bool isGrey = backend.Id == "i-0";
    const bool fails = trouble && isGrey && runs++ % 5 < 2;
    if (!fails) {
      return backend.succeed(connection, request, "whole body");
    }
    Log.line("backend %s has run %s and answers 503 without X-Not-Executed",
             backend.Id.c_str(), request.field("X-Request-Id").c_str());
    connection.send(answer(503, "Service Unavailable",
                           "X-Request-Id: " + request.field("X-Request-Id") +
                               "\r\nX-Response-Signature: " + backend.Id +
                               "\r\n" + backend.load(),
                           "failed"));
  };
  for (int n = 0; n < 8; ++n) {
    (new Backend("i-" + std::to_string(n), handler))->enter(store, "orders");
  }
  Instance instance(store.port(), "frontend-bilbao-1");
  instance.start();
  if (!instance.waitUntilReady(20)) {
    finish({&instance}, 2);
  }
  sleepMs(4000);

  std::atomic<int> answered = 0;
  std::atomic<int> refusedAndRun = 0;
  std::atomic<int> twice = 0;
  constexpr int clientCount = 24;
  constexpr int ordersEach = 10;
  const auto sendOrder = [&](const std::string &order) {
    int ran = 0;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const std::string id = order + "-" + std::to_string(attempt);
      Connection connection = connectTo(instance.Callers);
      connection.send(request("POST", "/write/order", id, 3000, order));
      const auto reply = connection.read(now() + 4);
      const int status = reply ? reply->status() : 0;
      const bool hasRun = !arrivalsOf(id).empty();
      answered += status != 0 ? 1 : 0;
      ran += hasRun ? 1 : 0;
      Log.line("%s: answer %d, %s", id.c_str(), status,
               hasRun ? "has run" : "has not run");
      const bool isPromise =
          status == 429 || status == 503 || status == 408 || status == 421;
      refusedAndRun += isPromise && hasRun ? 1 : 0;
      if (!isPromise) {
        break;
      }
    }
    twice += ran > 1 ? 1 : 0;
  };
  std::vector<std::thread> clients;
  clients.reserve(clientCount);
  for (int client = 0; client < clientCount; ++client) {
    clients.emplace_back([&, client] {
      for (int n = 0; n < ordersEach; ++n) {
        sendOrder("order-" + std::to_string(client) + "-" + std::to_string(n));
      }
    });
  }
  for (std::thread &it : clients) {
    it.join();
  }
  Log.line("%d attempts were answered 429, 503, 408 or 421 and have run; %d of "
           "%d orders ran more than once",
           refusedAndRun.load(), twice.load(), clientCount * ordersEach);
  if (answered == 0) {
    finish({&instance}, 2);
  }
  finish({&instance}, refusedAndRun > 0 ? 1 : 0);
}
