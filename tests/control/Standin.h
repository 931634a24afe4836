/// \file
/// Starts the platform's stand-in, and commands, as processes of a test.
#pragma once

#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace zinniarail::testing {

/// An address of this worktree's own.
inline std::string testAddress(const std::string &rest) {
  const char *net = std::getenv("ZINNIARAIL_TEST_NET");
  return std::string("127.") + (net != nullptr ? net : "40") + "." + rest;
}

/// Starts a program of the build.
/// \param output the file that takes its standard output; empty: ours.
inline pid_t startProgram(const std::string &program,
                          std::vector<std::string> words,
                          const std::string &output = "") {
  words.insert(words.begin(), std::string(ZINNIARAIL_BINARY_DIR) + program);
  std::vector<char *> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string &it : words) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (!output.empty()) {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
  }
  pid_t pid = 0;
  const int ec = posix_spawn(&pid, words.front().c_str(), &actions, nullptr,
                             arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  BOOST_REQUIRE(ec == 0);
  return pid;
}

/// Waits for a process to end. \returns its exit code.
inline int awaitExit(pid_t pid) {
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/// One blocking request. \returns the status; 0 when there was no answer.
inline long request(const std::string &method, const std::string &url,
                    const std::string &body, std::string *answer = nullptr) {
  std::string buf;
  CURL *easy = curl_easy_init();
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  if (method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
  }
  curl_easy_setopt(
      easy, CURLOPT_WRITEFUNCTION,
      +[](char *data, std::size_t, std::size_t size, void *user) {
        static_cast<std::string *>(user)->append(data, size);
        return size;
      });
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &buf);
  long status = 0;
  if (curl_easy_perform(easy) == CURLE_OK) {
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  }
  curl_easy_cleanup(easy);
  if (answer != nullptr) {
    *answer = buf;
  }
  return status;
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
    Pid = startProgram("/standins/platform-standin", {"--address", address});
    BOOST_REQUIRE(
        waitFor([&] { return call("GET", "/control/counters") != 0; }));
  }
  ~PlatformStandin() {
    kill(Pid, SIGKILL);
    awaitExit(Pid);
  }
  PlatformStandin(const PlatformStandin &) = delete;
  PlatformStandin &operator=(const PlatformStandin &) = delete;

  long call(const std::string &method, const std::string &path,
            const std::string &body = "", std::string *answer = nullptr) const {
    return request(method, "http://" + Address + path, body, answer);
  }
  void setFaults(const std::string &json) const {
    BOOST_REQUIRE(call("POST", "/control/faults", json) == 200);
  }
  void putDocument(const std::string &bytes) const {
    const long status =
        call("PUT", "/objects/environments/trial/document", bytes);
    BOOST_REQUIRE((status == 200 || status == 201));
  }

  std::string Address;

private:
  pid_t Pid = 0;
};

} // namespace zinniarail::testing
