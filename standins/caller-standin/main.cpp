#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include "caller-standin/Callers.h"
#include "common/CommandLine.h"
#include "common/Signals.h"

namespace {

namespace options = boost::program_options;
using namespace zinniarail::standins;

constexpr int ExitUnsound = 3;

std::vector<std::string> splitList(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');) {
    out.push_back(it);
  }
  return out;
}

std::chrono::milliseconds readMs(const options::variables_map &given,
                                 const char *name) {
  return std::chrono::milliseconds{given[name].as<unsigned>()};
}

std::vector<zinniarail::Duration> readEdges(const std::string &text) {
  std::vector<zinniarail::Duration> out;
  for (const auto &it : splitList(text)) {
    out.emplace_back(std::chrono::milliseconds{std::stoul(it)});
  }
  return out;
}

CallerSettings readSettings(const options::variables_map &given) {
  CallerSettings out;
  out.Instances = splitList(given["instances"].as<std::string>());
  out.Direct = splitList(given["direct"].as<std::string>());
  out.UpstreamControls =
      splitList(given["upstream-controls"].as<std::string>());
  out.Service = given["service"].as<std::string>();
  out.SpreadAll = given.count("spread-all") != 0;
  out.Rate = given["rate"].as<double>();
  out.OrdersShare = given["orders-share"].as<double>();
  out.ShiftShare = given["shift-share"].as<double>();
  out.ShiftPeriod = readMs(given, "shift-ms");
  out.Length = std::chrono::seconds{given["seconds"].as<unsigned>()};
  out.WarmUp = readMs(given, "warm-up-ms");
  out.WindowEdges = readEdges(given["windows-ms"].as<std::string>());
  out.Timeout = readMs(given, "timeout-ms");
  out.Deadline = readMs(given, "deadline-ms");
  out.RefusalRetries = given["refusal-retries"].as<unsigned>();
  out.LossRetries = given["loss-retries"].as<unsigned>();
  out.Marked = given["marked"].as<unsigned>();
  out.BodyBytes = given["body-bytes"].as<std::size_t>();
  out.KeyPrefix = given["key-prefix"].as<std::string>();
  out.Seed = given["seed"].as<std::uint64_t>();
  if (out.Instances.empty() && out.Direct.empty()) {
    throw options::error("--instances or --direct is needed");
  }
  return out;
}

int run(const options::variables_map &given) {
  struct ev_loop *loop = ev_default_loop(0);
  const StopSignals stop(loop);
  const auto settings = readSettings(given);
  Callers callers(loop, settings);
  callers.start();
  ev_run(loop, 0);
  if (!callers.hadAddresses()) {
    std::cerr << "caller-standin: no instance named an address of "
              << settings.Service << '\n';
    return 1;
  }
  const auto report = toJson(callers.tally(), settings.Length);
  if (given.count("output") != 0) {
    std::ofstream(given["output"].as<std::string>()) << report << '\n';
  }
  if (given.count("json") != 0) {
    std::cout << report << '\n';
  } else {
    std::cout << summarize(callers.tally(), settings.Length);
  }
  return isSound(callers.tally()) ? 0 : ExitUnsound;
}

options::options_description describeFlags() {
  options::options_description out(
      "caller-standin: callers of one service, as an open-loop load.\n"
      "Exit code 3: something was lost, wrong, doubled or refused untruly");
  auto add = out.add_options();
  const auto text = [](const char *fallback) {
    return options::value<std::string>()->default_value(fallback);
  };
  const auto number = [](unsigned fallback) {
    return options::value<unsigned>()->default_value(fallback);
  };
  add("instances", text(""), "caller addresses of instances, ip:port,...");
  add("direct", text(""), "send here instead, ip:port,...");
  add("upstream-controls", text(""),
      "control addresses of the upstreams, to check what ran");
  add("service", options::value<std::string>()->required(), "name");
  add("spread-all", "use all instances, whatever resolve answers");
  add("rate", options::value<double>()->default_value(100),
      "arrivals a second, Poisson");
  add("seconds", number(10), "how long requests arrive");
  add("orders-share", options::value<double>()->default_value(0.2),
      "share of non-idempotent requests");
  add("shift-share", options::value<double>()->default_value(0),
      "share by which the rate swings up and down");
  add("shift-ms", number(1000), "length of a swing");
  add("warm-up-ms", number(0), "latencies of its requests don't count");
  add("windows-ms", text(""),
      "ms,ms,...: rising times that begin and end windows of the run, which "
      "the report counts one by one");
  add("timeout-ms", number(5000), "of one send");
  add("deadline-ms", number(0), "sent as X-Deadline-Ms; 0: not sent");
  add("refusal-retries", number(3), "comebacks after 'did not run'");
  add("loss-retries", number(3), "comebacks after a loss or 'unknown'");
  add("marked", number(0), "requests that crash the upstream that runs them");
  add("body-bytes", options::value<std::size_t>()->default_value(64),
      "of an order");
  add("key-prefix", text("k"), "of idempotency keys");
  add("seed", options::value<std::uint64_t>()->default_value(1), "of draws");
  add("json", "print JSON");
  add("output", options::value<std::string>(), "write JSON to this file");
  return out;
}

} // namespace

int main(int argc, char **argv) {
  const auto flags = describeFlags();
  return runProgram(argc, argv, flags, run);
}
