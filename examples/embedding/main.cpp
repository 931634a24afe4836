#include <iostream>
#include <memory>
#include <variant>

#include <zinniarail/dispatch/Engine.h>
#include <zinniarail/homes/Homes.h>

// One instance that feeds one service with two upstreams, played by hand: the
// decisions come from the library, the clock and the sockets would be yours.

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

View makeView(Instant now) {
  auto document = std::make_shared<Document>();
  document->Domains = {{"north", "region", true}};
  ServiceSpec service{.Name = "records"};
  service.Classes = {{.Name = "lookup"}};
  for (const char *it : {"u1", "u2"}) {
    service.Upstreams.push_back(
        {.Id = it, .Address = "127.0.0.1", .Port = 8080, .Domain = "north"});
  }
  document->Services = {service};
  View view;
  view.Intent = document;
  view.Version = 1;
  view.Instances = {{.Id = "me", .Domain = "north"}};
  view.ValidUntil = now + 3s;
  return view;
}

unsigned countStarted(const Actions &actions) {
  unsigned n = 0;
  for (const Action &it : actions) {
    if (const auto *start = std::get_if<StartAttempt>(&it)) {
      std::cout << "send to " << start->Upstream << '\n';
      ++n;
    }
  }
  return n;
}

} // namespace

int main() {
  const Instant now = readClock();
  const View view = makeView(now);
  const ServiceSpec &service = view.Intent->Services.front();
  const auto state =
      makeService(planService(view, service, "me", RoutingPolicy::Homes),
                  view.ValidUntil, Random(1), 1);
  Actions actions;
  handle(*state, RequestArrived{RequestId{1}, "lookup", "", 7, now + 1s}, now,
         actions);
  return countStarted(actions) == 1 ? 0 : 1;
}
