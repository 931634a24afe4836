// The operator writes two valid configurations that the store accepts: one has
// weights that are fractions, the other a tenant whose name has a space.
#include "Rig-2.hh"

using namespace rig;

namespace {

std::string rule(const std::string &name, const std::string &action) {
  return "{\"name\":\"" + name +
         "\",\"kind\":\"safe\",\"target_latency\":\"300ms\",\"priority\":2,"
         "\"match\":{\"path_prefix\":\"/" +
         name + "/\"},\"action\":{" + action +
         ",\"timeout\":\"1500ms\",\"max_attempts\":2}}";
}

std::string document(int version, const std::string &rules,
                     const std::string &tenants) {
  return "{\"version\":" + std::to_string(version) +
         ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
         "\"listeners\":[{\"host\":\"shop.example\",\"rules\":[" +
         rules +
         "]}],\"clusters\":[{\"name\":\"orders\",\"health_check_path\":"
         "\"/health\",\"connection_limit\":220},{\"name\":\"archive\","
         "\"health_check_path\":\"/health\",\"connection_limit\":220}],"
         "\"tenants\":[" +
         tenants + "]}";
}

std::string tenant(const std::string &name, const std::string &key) {
  return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"]}";
}

int statusOf(int port, const std::string &target, const std::string &id,
             const std::string &key) {
  Connection connection = connectTo(port);
  connection.send(
      request("GET", target, id, 1500, "", "X-Credential: " + key + "\r\n"));
  const auto reply = connection.read(now() + 3);
  const int status = reply ? reply->status() : 0;
  Log.line("%s: GET %s with %s: answer %d, %s", id.c_str(), target.c_str(),
           key.c_str(), status,
           arrivalsOf(id).empty() ? "has not run" : "has run");
  return status;
}

} // namespace

int main(int argc, char **argv) {
  const bool trouble = begin(argc, argv, "case 9");
  auto &store = *new Store;
  const auto handler = [](Backend &backend, Connection &connection,
                          const Message &request) {
    sleepMs(10);
    backend.succeed(connection, request, "whole body");
  };
  for (int n = 0; n < 4; ++n) {
    (new Backend("i-" + std::to_string(n), handler))
        ->enter(store, n < 2 ? "orders" : "archive");
  }
  const std::string plain = "\"service\":\"orders\"";
  store.put("config", "main",
            document(7, rule("old", plain), tenant("north", "key-1")));
  Instance instance(store.port(), "frontend-bilbao-1");
  instance.start();
  if (!instance.waitUntilReady(20)) {
    finish({&instance}, 2);
  }
  sleepMs(4000);
  if (statusOf(instance.Callers, "/old/x", "first", "key-1") != 200) {
    finish({&instance}, 2);
  }

  int broken = 0;
  const auto judge = [&](bool isBroken, const char *what) {
    if (isBroken) {
      Log.line("CONFIG: %s", what);
      ++broken;
    }
  };
  // Version 8 drops the route /old/ and adds /new/, which is split evenly.
  const std::string weight = trouble ? "0.5" : "50";
  const std::string split =
      "\"traffic_split\":[{\"service\":\"orders\",\"weight\":" + weight +
      "},{\"service\":\"archive\",\"weight\":" + weight + "}]";
  store.put("config", "main",
            document(8, rule("new", split), tenant("north", "key-1")));
  Log.line("version 8 is acknowledged: weights %s", weight.c_str());
  sleepMs(3500); // config_propagation is 2 s.
  statusOf(instance.Callers, "/old/x", "dropped-route", "key-1");
  judge(!arrivalsOf("dropped-route").empty(), "a dropped route is served");
  judge(statusOf(instance.Callers, "/new/x", "new-route", "key-1") == 404,
        "404 though the route is there");

  // Version 9 withdraws key-1 and names a second tenant.
  const std::string name = trouble ? "Lone Star" : "lone-star";
  store.put("config", "main",
            document(9, rule("new", plain) + "," + rule("more", plain),
                     tenant("north", "key-2") + "," + tenant(name, "key-3")));
  Log.line("version 9 is acknowledged: tenant \"%s\"", name.c_str());
  sleepMs(5500); // revoke is 5 s.
  for (const char *target : {"/old/x", "/new/x"}) {
    const std::string id = std::string("withdrawn-key") + target[1];
    statusOf(instance.Callers, target, id, "key-1");
    judge(!arrivalsOf(id).empty(), "a withdrawn key is served");
  }
  const int status =
      statusOf(instance.Callers, "/more/x", "new-tenant", "key-3");
  judge(status == 404 || status == 401,
        "401 or 404 though the route and the key are there");
  finish({&instance}, broken > 0 ? 1 : 0);
}
