#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include "common/CommandLine.h"
#include "common/Signals.h"
#include "platform-standin/Platform.h"

namespace {

namespace options = boost::program_options;
using namespace zinniarail::standins;

constexpr const char *ControlHelp = R"(
Control, on the same address and free of faults:
  POST /control/faults     {"kinds":["put",...],"delayMs":N,
                            "outage":"none|503|close|hang",
                            "dropAnswerAfterWrite":N}  (-1: all)
       kinds: get put delete list watch instances watchInstances;
       all when missing. Fields that are missing stay as they are.
  POST /control/instances  [..] replaces the list;
                            {"update":[..],"remove":[ID,..]} changes entries
  GET  /control/counters
)";

boost::json::array readInstances(const std::string &file) {
  if (file.empty()) {
    return {};
  }
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return boost::json::parse(text.str()).as_array();
}

int serve(const options::variables_map &given) {
  struct ev_loop *loop = ev_default_loop(0);
  const StopSignals stop(loop);
  Platform platform(
      loop, readInstances(given["instances"].as<std::string>()),
      std::chrono::milliseconds{given["instance-list-lag-ms"].as<unsigned>()});
  HttpServer server(
      loop, given["address"].as<std::string>(),
      [&platform](const ExchangePtr &it) { platform.handle(it); });
  if (!server.listen()) {
    std::cerr << "platform-standin: cannot listen on "
              << given["address"].as<std::string>() << '\n';
    return 1;
  }
  ev_run(loop, 0);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  options::options_description flags("platform-standin: the platform's object "
                                     "API and instance list, in memory");
  auto add = flags.add_options();
  add("address", options::value<std::string>()->required(), "ip:port");
  add("instances", options::value<std::string>()->default_value(""),
      "file with the JSON list of instances at the start");
  add("instance-list-lag-ms", options::value<unsigned>()->default_value(0),
      "how long the instance list lags behind a change");
  return runProgram(argc, argv, flags, serve, ControlHelp);
}
