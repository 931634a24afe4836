#include "common/Process.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace zinniarail::standins {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};

/// The fields of /proc/ID/stat after the program's name, from field 3 on.
std::vector<std::string> statFields(pid_t id) {
  std::ifstream in("/proc/" + std::to_string(id) + "/stat");
  std::string line;
  std::getline(in, line);
  std::istringstream rest(line.substr(line.rfind(')') + 1));
  std::vector<std::string> out;
  for (std::string it; rest >> it;) {
    out.push_back(it);
  }
  return out;
}

} // namespace

Process::~Process() {
  if (isRunning()) {
    signal(SIGKILL);
    waitpid(Id, nullptr, 0);
  }
}

Process::Process(Process &&other) noexcept : Id(std::exchange(other.Id, 0)) {}

Process &Process::operator=(Process &&other) noexcept {
  std::swap(Id, other.Id);
  return *this;
}

bool Process::start(const std::vector<std::string> &command,
                    const std::string &log, const std::string &output) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string errorFile = log.empty() ? "/dev/null" : log;
  constexpr mode_t mode = 0644;
  if (log != InheritStderr) {
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
  }
  if (output.empty()) {
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, mode);
  }
  std::vector<char *> arguments;
  arguments.reserve(command.size() + 1);
  for (const auto &it : command) {
    arguments.push_back(const_cast<char *>(it.c_str()));
  }
  arguments.push_back(nullptr);
  const int ec = posix_spawn(&Id, arguments.front(), &actions, nullptr,
                             arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (ec != 0) {
    Id = 0;
  }
  return ec == 0;
}

void Process::signal(int number) const {
  if (isRunning()) {
    kill(Id, number);
  }
}

std::optional<int> Process::wait(Duration timeout) {
  const auto deadline = readClock() + timeout;
  int status = 0;
  while (waitpid(Id, &status, WNOHANG) == 0) {
    if (readClock() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  Id = 0;
  constexpr int signalBase = 128;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : signalBase + WTERMSIG(status);
}

Duration Process::cpuTime() const {
  constexpr std::size_t user = 11; // fields 14 and 15 of /proc/ID/stat
  constexpr std::size_t kernel = 12;
  const auto fields = statFields(Id);
  if (fields.size() <= kernel) {
    return Duration::zero();
  }
  const auto ticks = std::stoll(fields[user]) + std::stoll(fields[kernel]);
  return Duration{std::chrono::seconds{ticks}} / sysconf(_SC_CLK_TCK);
}

std::size_t Process::residentBytes() const {
  constexpr std::size_t resident = 21; // field 24, in pages
  const auto fields = statFields(Id);
  return fields.size() <= resident
             ? 0
             : std::stoull(fields[resident]) * sysconf(_SC_PAGESIZE);
}

} // namespace zinniarail::standins
