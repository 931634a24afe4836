/// \file
/// Crowds of callers that make an instance hold or do as much as they can.
#pragma once

#include <sys/resource.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "../drill/Drill.h"

namespace zinniarail::memory_test {

using drill_test::Drill;
using namespace std::chrono_literals;

constexpr std::size_t MemoryMb = 64;         ///< The instance's setting.
constexpr std::size_t BodyBytes = 1U << 20U; ///< The configured maximum.
constexpr rlim_t DescriptorLimit = 600;
/// Bound on the descriptors in use: the rest is for upstreams and files.
constexpr std::size_t DescriptorBound = DescriptorLimit * 7 / 8;

/// Rounds in which no byte of the crowd was taken, after which it stops
/// sending.
constexpr unsigned QuietRounds = 300;

inline std::string head(const std::string &method, const std::string &target,
                        const std::string &fields) {
  return method + " " + target +
         " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: crowd\r\n"
         "X-Deadline-Milliseconds: 10000\r\n" +
         fields + "\r\n";
}

inline std::string repeat(const std::string &text, unsigned times) {
  std::string out;
  for (unsigned n = 0; n < times; ++n) {
    out += text;
  }
  return out;
}

inline std::string wholeBody() {
  return head("POST", "/order/",
              "Content-Length: " + std::to_string(BodyBytes) + "\r\n") +
         std::string(BodyBytes, 'x');
}

inline std::string bodyOneByteShort() {
  std::string out = wholeBody();
  out.pop_back();
  return out;
}

/// The limits that the instance's process starts with.
struct ProcessLimits {
  explicit ProcessLimits(std::size_t memoryMb) {
    // A variable, since builds without the setting ignore it.
    setenv("ZINNIARAIL_MEMORY", std::to_string(memoryMb).c_str(), 1);
    getrlimit(RLIMIT_NOFILE, &Before);
    const rlimit lowered{DescriptorLimit, Before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~ProcessLimits() {
    setrlimit(RLIMIT_NOFILE, &Before);
    unsetenv("ZINNIARAIL_MEMORY");
  }
  ProcessLimits(const ProcessLimits &) = delete;
  ProcessLimits &operator=(const ProcessLimits &) = delete;
  rlimit Before{};
};

inline standins::DeploymentPlan makePlan() {
  standins::DeploymentPlan plan = Drill::makePlan();
  plan.Domains = {"a"};
  plan.HasLinks = false;
  plan.InstanceCount = 1;
  plan.Services = {{"orders", 3, 5ms}, {"archive", 3, 5ms}};
  plan.Routes = {{"/order/", "orders", false, 1, 0, 2000ms, 10000ms},
                 {"/moving/", "archive", true, 1, 0, 2000ms, 10000ms}};
  return plan;
}

/// \param upstreams of each service.
/// \param serviceTime of a request; requests queue where it is long.
inline std::unique_ptr<Drill> startDrill(unsigned upstreams = 3,
                                         Duration serviceTime = 5ms) {
  const ProcessLimits limits(MemoryMb);
  standins::DeploymentPlan plan = makePlan();
  for (standins::ServiceSpec &it : plan.Services) {
    it.UpstreamCount = upstreams;
    it.ServiceTime = serviceTime;
  }
  return std::make_unique<Drill>(std::move(plan));
}

/// One connection of the crowd. It reads nothing.
struct Member {
  std::unique_ptr<http::RawConnection> Connection;
  std::shared_ptr<const std::string> ToSend;
  std::size_t Sent = 0;
};

inline std::unique_ptr<http::RawConnection>
connectTo(const std::string &address) {
  const auto endpoint = http::parseIpv4Address(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int bufferBytes = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof bufferBytes);
  auto out = std::make_unique<http::RawConnection>(fd);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&*endpoint),
              sizeof *endpoint) != 0) {
    return nullptr;
  }
  return out;
}

inline void sendAll(Drill &drill, std::vector<Member> &crowd,
                    std::size_t piece) {
  for (unsigned quiet = 0; quiet < QuietRounds; ++quiet) {
    for (Member &it : crowd) {
      const std::string_view rest =
          std::string_view(*it.ToSend).substr(it.Sent, piece);
      const std::size_t n = rest.empty() ? 0 : it.Connection->trySend(rest);
      it.Sent += n;
      quiet = n > 0 ? 0 : quiet;
    }
    drill.EventLoop.runOnce();
  }
}

inline std::size_t peakBytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string key; in >> key;) {
    if (std::size_t kb = 0; key == "VmHWM:" && in >> kb) {
      return kb * 1024;
    }
  }
  return 0;
}

inline std::size_t descriptors(pid_t pid) {
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) +
                                                "/fd");
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

} // namespace zinniarail::memory_test
