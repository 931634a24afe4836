/// \file
/// Starts a stand-in for a test and sends it calls.
#pragma once

#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "common/Net.h"
#include "common/Process.h"

namespace zinniarail::standins {

constexpr std::chrono::seconds Patience{20};

/// 127.N.60.host:port on the net of this worktree.
inline std::string testAddress(unsigned host, unsigned port) {
  return loopbackAddress("60." + std::to_string(host) + ":" +
                         std::to_string(port));
}

/// A running stand-in with its control address.
struct StandIn {
  Process Running;
  std::string Control;

  StandIn(const std::string &program, std::string control,
          std::vector<std::string> flags)
      : Control(std::move(control)) {
    flags.insert(flags.begin(),
                 std::string(ZINNIARAIL_BINARY_DIR) + "/standins/" + program);
    BOOST_REQUIRE(Running.start(flags, ""));
    BOOST_REQUIRE(
        awaitStatus("http://" + Control + "/control/counters", 200, Patience));
  }

  void setFaults(const std::string &change) const {
    Call call;
    call.Method = "POST";
    call.Url = "http://" + Control + "/control/faults";
    call.Body = change;
    BOOST_REQUIRE_EQUAL(fetch(call).Status, 200);
  }

  boost::json::object counters() const {
    Call call;
    call.Url = "http://" + Control + "/control/counters";
    return boost::json::parse(fetch(call).Body).as_object();
  }
};

/// Sends a call on a thread of its own.
inline std::thread fetchAside(Call call, Reply &out) {
  return std::thread([call = std::move(call), &out] { out = fetch(call); });
}

/// Waits until a condition holds.
template <typename Condition> bool await(Condition holds) {
  const auto until = readClock() + Patience;
  while (!holds()) {
    if (readClock() >= until) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }
  return true;
}

} // namespace zinniarail::standins
