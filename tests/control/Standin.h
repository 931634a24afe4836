/// \file
/// Starts the platform's stand-in, and commands, as processes of a test.
#pragma once

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "common/Net.h"
#include "common/Process.h"

namespace zinniarail::testing {

using standins::Process;

// Far beyond what a step takes; a loaded machine is slow, never wrong.
constexpr Duration Patience = std::chrono::seconds{90};

/// Starts a program of the build; its errors show among the test's.
/// \param output the file that takes its standard output; empty: ours.
inline Process startProgram(const std::string &program,
                            std::vector<std::string> words,
                            const std::string &output = "") {
  words.insert(words.begin(), std::string(ZINNIARAIL_BINARY_DIR) + program);
  Process it;
  BOOST_REQUIRE(it.start(words, standins::OwnLog, output));
  return it;
}

/// Waits for a process to end. \returns its exit code.
inline int awaitExit(Process it) { return it.wait(Patience).value_or(-1); }

/// One blocking request. \returns the answer; status 0 when there was none.
inline standins::Reply request(const std::string &method,
                               const std::string &url,
                               const std::string &body = "") {
  return standins::fetch(
      {.Method = method, .Url = url, .Body = body, .Timeout = Patience});
}

/// Waits until a condition holds; gives up after a time that only a fault
/// takes.
template <typename Condition> bool waitFor(Condition condition) {
  using namespace std::chrono_literals;
  for (int n = 0; n < 3000; ++n) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

/// A running stand-in of the platform.
class PlatformStandin {
public:
  explicit PlatformStandin(const std::string &address) : Address(address) {
    Running =
        startProgram("/standins/platform-standin", {"--address", address});
    BOOST_REQUIRE(
        waitFor([&] { return call("GET", "/control/counters").Status != 0; }));
  }

  standins::Reply call(const std::string &method, const std::string &path,
                       const std::string &body = "") const {
    return request(method, "http://" + Address + path, body);
  }
  void setFaults(const std::string &json) const {
    BOOST_REQUIRE(call("POST", "/control/faults", json).Status == 200);
  }
  void putDocument(const std::string &bytes) const {
    const long status =
        call("PUT", "/objects/environments/trial/document", bytes).Status;
    BOOST_REQUIRE((status == 200 || status == 201));
  }

  std::string Address;

private:
  Process Running;
};

} // namespace zinniarail::testing
