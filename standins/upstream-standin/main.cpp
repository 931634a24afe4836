#include <iostream>
#include <map>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include "common/CommandLine.h"
#include "common/Signals.h"
#include "upstream-standin/Upstream.h"

namespace {

namespace json = boost::json;
namespace options = boost::program_options;
using namespace zinniarail::standins;

constexpr const char *ControlHelp = R"(
Control, on the control address:
  POST /control/faults    {"upstreams":[ID,...], SWITCH:VALUE,...}
       upstreams: all when missing. Switches that are missing stay.
       delayFactor noiseFactor noiseShare noiseBurstMs freeze refuse draining
       failShare shortShare crossedShare lateShare lateMs closeBeforeShare
       closeAfterShare reportLagMs lieLoad(zero|full|random) lieState
       healthStatus crashDownMs; once: turnCold:true turnWarm:true
       crash:true
  GET  /control/counters  by upstream, and the keys that ran twice
  GET  /control/keys      runs by idempotency key
  POST /control/reset     counters and keys start anew
)";

using Upstreams = std::map<std::string, std::unique_ptr<Upstream>>;

Answer jsonAnswer(const json::value &body) {
  return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

void setFaults(Upstreams &upstreams, const json::object &change) {
  if (const auto *named = change.if_contains("upstreams")) {
    for (const auto &it : named->as_array()) {
      upstreams.at(json::value_to<std::string>(it))->change(change);
    }
    return;
  }
  for (const auto &[id, it] : upstreams) {
    it->change(change);
  }
}

json::object counters(const Upstreams &upstreams, const Ledger &ledger) {
  json::object each;
  for (const auto &[id, it] : upstreams) {
    each[id] = it->describe();
  }
  json::array doubles;
  for (const auto &[key, runs] : ledger.KeyRuns) {
    if (runs > 1) {
      doubles.push_back(json::string(key));
    }
  }
  return {{"upstreams", each},
          {"keys", ledger.KeyRuns.size()},
          {"requests", ledger.Targets.size()},
          {"doubles", doubles}};
}

Answer control(Upstreams &upstreams, Ledger &ledger, const Exchange &caller) {
  const auto path = caller.path();
  if (path == "/control/counters") {
    return jsonAnswer(counters(upstreams, ledger));
  }
  if (path == "/control/keys") {
    return jsonAnswer(json::value_from(ledger.KeyRuns));
  }
  if (path == "/control/reset" && caller.Method == "POST") {
    ledger = {};
    for (const auto &[id, it] : upstreams) {
      it->resetCounts();
    }
    return jsonAnswer(json::object{});
  }
  if (path == "/control/faults" && caller.Method == "POST") {
    setFaults(upstreams, json::parse(caller.Body).as_object());
    return jsonAnswer(json::object{});
  }
  return {404, {}, "no such control\n"};
}

void handleControl(Upstreams &upstreams, Ledger &ledger,
                   const ExchangePtr &caller) {
  try {
    caller->answer(control(upstreams, ledger, *caller));
  } catch (const std::exception &error) {
    caller->answer({400, {}, std::string(error.what()) + "\n"});
  }
}

ServiceTimes readTimes(const options::variables_map &given) {
  using Shapes = ServiceTimes::Shapes;
  const std::map<std::string, Shapes> shapes{
      {"exponential", Shapes::Exponential},
      {"lognormal", Shapes::LogNormal},
      {"fixed", Shapes::Fixed}};
  const std::chrono::duration<double, std::milli> mean{
      given["mean-ms"].as<double>()};
  return {shapes.at(given["times"].as<std::string>()),
          std::chrono::duration_cast<zinniarail::Duration>(mean),
          given["sigma"].as<double>()};
}

UpstreamSettings readSettings(const options::variables_map &given) {
  UpstreamSettings out;
  out.Slots = given["slots"].as<unsigned>();
  out.QueueLimit = given["queue"].as<unsigned>();
  out.Times = readTimes(given);
  out.Connections.Limit = given["connections"].as<unsigned>();
  out.Connections.AcceptDelay =
      std::chrono::microseconds{given["accept-us"].as<unsigned>()};
  out.WarmAfter = given["warm-after"].as<unsigned>();
  out.ColdFactor = given["cold-factor"].as<double>();
  out.StartCold = given.count("cold") != 0;
  out.Incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch() /
      std::chrono::milliseconds{1});
  out.Seed = given["seed"].as<std::uint64_t>();
  return out;
}

int serve(const options::variables_map &given) {
  struct ev_loop *loop = ev_default_loop(0);
  const StopSignals stop(loop);
  Ledger ledger;
  Upstreams upstreams;
  auto settings = readSettings(given);
  for (const auto &it : given["listen"].as<std::vector<std::string>>()) {
    const auto equals = it.find('=');
    if (equals == std::string::npos) {
      throw options::error("--listen needs ID=IP:PORT, not " + it);
    }
    settings.Id = it.substr(0, equals);
    settings.Address = it.substr(equals + 1);
    ++settings.Seed;
    auto upstream = std::make_unique<Upstream>(loop, settings, ledger);
    if (!upstream->listen()) {
      std::cerr << "upstream-standin: cannot listen on " << it << '\n';
      return 1;
    }
    upstreams.emplace(settings.Id, std::move(upstream));
  }
  HttpServer server(
      loop, given["control"].as<std::string>(),
      [&](const ExchangePtr &it) { handleControl(upstreams, ledger, it); });
  if (!server.listen()) {
    std::cerr << "upstream-standin: cannot listen on the control address\n";
    return 1;
  }
  ev_run(loop, 0);
  return 0;
}

options::options_description describeFlags() {
  options::options_description out("upstream-standin: upstreams with slots, "
                                   "cold start and faults");
  auto add = out.add_options();
  add("listen", options::value<std::vector<std::string>>()->required(),
      "ID=IP:PORT of an upstream; repeat for more");
  add("control", options::value<std::string>()->required(), "ip:port");
  add("slots", options::value<unsigned>()->default_value(4),
      "requests that run at a time");
  add("queue", options::value<unsigned>()->default_value(16),
      "requests that wait beyond the slots; more are shed");
  add("connections", options::value<unsigned>()->default_value(220),
      "connections that are accepted");
  add("accept-us", options::value<unsigned>()->default_value(1000),
      "what opening a connection takes, in microseconds");
  add("times", options::value<std::string>()->default_value("exponential"),
      "service times: exponential, lognormal or fixed");
  add("mean-ms", options::value<double>()->default_value(8),
      "mean service time");
  add("sigma", options::value<double>()->default_value(0.5),
      "of the logarithm, for lognormal");
  add("cold", "start cold");
  add("warm-after", options::value<unsigned>()->default_value(20),
      "finished requests that make a cold upstream warm");
  add("cold-factor", options::value<double>()->default_value(2),
      "of service times while cold");
  add("seed", options::value<std::uint64_t>()->default_value(1), "of draws");
  return out;
}

} // namespace

int main(int argc, char **argv) {
  const auto flags = describeFlags();
  return runProgram(argc, argv, flags, serve, ControlHelp);
}
