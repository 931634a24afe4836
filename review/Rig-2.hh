/// \file
/// Stand-ins for the cases of the second review: the platform's store, backends
/// and clients, and instances of the program as separate processes. Everything
/// listens on 127.0.0.1, on ports that the system chooses.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point Start = Clock::now();

/// \returns seconds since the start of the program.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The record of what was sent, answered and run; one line an event.
struct Record {
  std::mutex Lock;
  std::FILE *File = nullptr;

  void line(const char *format, ...) {
    std::lock_guard hold(Lock);
    if (File == nullptr) {
      return;
    }
    std::fprintf(File, "%8.3f ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(File, format, args);
    va_end(args);
    std::fputc('\n', File);
    std::fflush(File);
  }
};

inline Record Log;

inline sockaddr_in loopback(int port) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  it.sin_port = htons(static_cast<std::uint16_t>(port));
  return it;
}

/// Binds a listening socket to a free port.
inline int listenAnywhere(int &port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 ||
      listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

/// \returns a port that was free a moment ago.
inline int freePort() {
  int port = 0;
  close(listenAnywhere(port));
  return port;
}

struct Message {
  std::string First; ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string field(const char *name) const {
    for (const auto &[key, value] : Fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return {};
  }
  bool has(const char *name) const {
    for (const auto &[key, value] : Fields) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return true;
      }
    }
    return false;
  }
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const auto at = First.find(' ');
    const auto end = First.find(' ', at + 1);
    return at == std::string::npos ? "" : First.substr(at + 1, end - at - 1);
  }
};

/// A connected socket with the bytes that were read and not used yet.
struct Connection {
  int Fd = -1;
  std::string Input;
  bool Closed = false; ///< The peer closed or reset it.
  bool Reset = false;

  explicit Connection(int fd = -1) : Fd(fd) {}
  Connection(Connection &&it) noexcept
      : Fd(std::exchange(it.Fd, -1)), Input(std::move(it.Input)),
        Closed(it.Closed), Reset(it.Reset) {}
  Connection(const Connection &) = delete;
  Connection &operator=(Connection &&it) noexcept {
    shut();
    Fd = std::exchange(it.Fd, -1);
    Input = std::move(it.Input);
    Closed = it.Closed;
    Reset = it.Reset;
    return *this;
  }
  Connection &operator=(const Connection &) = delete;
  ~Connection() { shut(); }

  void shut() {
    if (Fd >= 0) {
      close(std::exchange(Fd, -1));
    }
  }

  bool send(const std::string &bytes) const {
    std::size_t sent = 0;
    while (Fd >= 0 && sent < bytes.size()) {
      const ssize_t n =
          ::send(Fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return Fd >= 0;
  }

  /// Waits for bytes until \p until. \returns false at the end or a time-out.
  bool fill(double until) {
    while (Fd >= 0 && !Closed) {
      pollfd it{Fd, POLLIN, 0};
      const int left = static_cast<int>((until - now()) * 1000);
      if (left <= 0 || poll(&it, 1, left) <= 0) {
        return false;
      }
      char chunk[16384];
      const ssize_t n = recv(Fd, chunk, sizeof chunk, 0);
      if (n > 0) {
        Input.append(chunk, static_cast<std::size_t>(n));
        return true;
      }
      Closed = true;
      Reset = n < 0;
    }
    return false;
  }

  /// Reads one message with a body of known length.
  std::optional<Message> read(double until) {
    std::size_t end = 0;
    while ((end = Input.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) {
        return std::nullopt;
      }
    }
    Message out;
    std::istringstream head(Input.substr(0, end));
    std::getline(head, out.First);
    if (!out.First.empty() && out.First.back() == '\r') {
      out.First.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      const auto from = line.find_first_not_of(' ', colon + 1);
      out.Fields.emplace_back(line.substr(0, colon), from == std::string::npos
                                                         ? ""
                                                         : line.substr(from));
    }
    const std::size_t length = static_cast<std::size_t>(
        std::atoll(out.field("Content-Length").c_str()));
    while (Input.size() < end + 4 + length) {
      if (!fill(until)) {
        return std::nullopt;
      }
    }
    out.Body = Input.substr(end + 4, length);
    Input.erase(0, end + 4 + length);
    return out;
  }
};

/// \returns a connection with Fd -1 if there is none.
inline Connection connectTo(int port, int receiveBuffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  }
  const sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address),
              sizeof address) != 0) {
    close(fd);
    return Connection{};
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return Connection{fd};
}

/// Accepts connections and serves each on a thread of its own.
class Listener {
public:
  Listener() : Fd(listenAnywhere(Port)) {}

  void serve(std::function<void(Connection &)> handler) {
    std::thread([this, handler = std::move(handler)] {
      while (true) {
        const int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          return;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([fd, handler] {
          Connection it(fd);
          handler(it);
        }).detach();
      }
    }).detach();
  }

  int Port = 0;

private:
  int Fd;
};

inline std::string answer(int status, const std::string &reason,
                          const std::string &fields, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: lists, watches, conditional writes.
class Store {
public:
  struct Object {
    std::string Specification = "null";
    std::string Status = "null";
    unsigned long Revision = 0;
  };
  struct Event {
    std::string Kind;
    std::string Name;
    unsigned long Revision = 0;
    bool Deleted = false;
    std::string Text;
  };

  Store() {
    Ports.serve([this](Connection &it) { serve(it); });
  }
  int port() const { return Ports.Port; }

  void put(const std::string &kind, const std::string &name,
           const std::string &specification, const std::string &extra = "") {
    std::lock_guard hold(Lock);
    putLocked(kind, name, specification, extra);
  }

  void remove(const std::string &kind, const std::string &name) {
    std::lock_guard hold(Lock);
    Object &it = Objects[kind][name];
    it.Revision = ++Revision;
    Events.push_back({kind, name, it.Revision, true, text(name, it)});
    Objects[kind].erase(name);
    Changed.notify_all();
  }

private:
  static std::string text(const std::string &name, const Object &it) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(it.Revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
           "\"specification\":" +
           it.Specification + ",\"status\":" + it.Status + "}";
  }

  void putLocked(const std::string &kind, const std::string &name,
                 const std::string &specification, const std::string &extra) {
    Object &it = Objects[kind][name];
    it.Specification = specification;
    it.Status = extra.empty() ? "null" : extra;
    it.Revision = ++Revision;
    Events.push_back({kind, name, it.Revision, false, text(name, it)});
    Changed.notify_all();
  }

  static std::string parameter(const std::string &target, const char *name) {
    const std::string key = std::string(name) + "=";
    auto at = target.find("?" + key);
    at = at == std::string::npos ? target.find("&" + key) : at;
    if (at == std::string::npos) {
      return {};
    }
    at += key.size() + 1;
    return target.substr(at, target.find('&', at) - at);
  }

  /// The text of a member's value, up to its closing brace.
  static std::string valueOf(const std::string &body, const char *key) {
    const auto at = body.find(std::string("\"") + key + "\":");
    if (at == std::string::npos) {
      return "null";
    }
    const std::size_t from = at + std::strlen(key) + 3;
    int depth = 0;
    for (std::size_t n = from; n < body.size(); ++n) {
      depth += body[n] == '{' || body[n] == '[' ? 1 : 0;
      depth -= body[n] == '}' || body[n] == ']' ? 1 : 0;
      if (depth == 0 && (body[n] == '}' || body[n] == ']')) {
        return body.substr(from, n + 1 - from);
      }
    }
    return "null";
  }

  void serve(Connection &connection) {
    while (auto request = connection.read(now() + 600)) {
      if (!connection.send(reply(*request))) {
        return;
      }
    }
  }

  std::string reply(const Message &request) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    std::string kind = path.substr(std::strlen("/objects/"));
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    const std::string fields =
        "Content-Type: application/json\r\nStore-Era: 1\r\n";
    const std::string method = request.method();
    if (method == "GET" && name.empty()) {
      return answer(200, "OK", fields, read(kind, target));
    }
    std::lock_guard hold(Lock);
    if (method == "POST") {
      const auto at = request.Body.find("\"name\":\"") + 8;
      name = request.Body.substr(at, request.Body.find('"', at) - at);
      if (Objects[kind].contains(name)) {
        return answer(409, "Conflict", fields, text(name, Objects[kind][name]));
      }
      putLocked(kind, name, valueOf(request.Body, "specification"), "");
      return answer(200, "OK", fields, text(name, Objects[kind][name]));
    }
    if (!Objects[kind].contains(name)) {
      return answer(404, "Not Found", fields, "{}");
    }
    const auto at = request.Body.find("\"revision\":");
    Object &it = Objects[kind][name];
    if (at != std::string::npos &&
        std::stoul(request.Body.substr(at + 11)) != it.Revision) {
      return answer(409, "Conflict", fields, text(name, it));
    }
    if (method == "PUT") {
      putLocked(kind, name, valueOf(request.Body, "specification"), "");
    }
    return answer(200, "OK", fields, text(name, it));
  }

  std::string read(const std::string &kind, const std::string &target) {
    std::unique_lock hold(Lock);
    const std::string watch = parameter(target, "watch");
    std::string list;
    if (watch.empty()) {
      for (const auto &[name, it] : Objects[kind]) {
        list += (list.empty() ? "" : ",") + text(name, it);
      }
      return "{\"items\":[" + list +
             "],\"has_more\":false,\"as_of\":" + std::to_string(Revision) + "}";
    }
    const unsigned long from = std::stoul(watch);
    const auto wait = std::chrono::milliseconds(
        std::stoul("0" + parameter(target, "wait_ms")));
    const auto collect = [&] {
      for (const Event &it : Events) {
        if (it.Kind == kind && it.Revision > from) {
          list += std::string(list.empty() ? "" : ",") +
                  "{\"deleted\":" + (it.Deleted ? "true" : "false") +
                  ",\"object\":" + it.Text + "}";
        }
      }
      return !list.empty();
    };
    Changed.wait_for(hold, wait, collect);
    return "{\"events\":[" + list + "],\"as_of\":" + std::to_string(Revision) +
           "}";
  }

  Listener Ports;
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::vector<Event> Events;
  unsigned long Revision = 1;
};

/// A backend. Requests are handled one after the other on each connection.
class Backend {
public:
  struct Arrival {
    double At = 0;
    std::string Backend;
    std::string Id;
    std::string Method;
    std::string Target;
    std::size_t BodySize = 0;
    bool Ran = false;
  };
  /// Handles a request; does not return before it is answered or dropped.
  using Handler = std::function<void(Backend &, Connection &, const Message &)>;

  Backend(std::string id, Handler handler)
      : Id(std::move(id)), OnRequest(std::move(handler)) {
    Ports.serve([this](Connection &it) { serve(it); });
  }
  int port() const { return Ports.Port; }

  void enter(Store &store, const std::string &service) const {
    store.put("servers", Id,
              "{\"address\":\"127.0.0.1:" + std::to_string(port()) +
                  "\",\"born\":1700000000000,\"information\":{\"service\":\"" +
                  service +
                  "\",\"version\":\"v1\",\"zone\":\"bilbao\",\"slots\":4},"
                  "\"status\":{\"state\":\"ready\",\"sequence\":4,"
                  "\"warmup_remaining\":\"0ms\"}}");
  }

  std::string load() const {
    return "X-Server-Load: " + std::to_string(Running.load()) + ",0,4,100\r\n";
  }

  /// The answer of a run that went well: 200 with the signature.
  void succeed(Connection &connection, const Message &request,
               const std::string &body) const {
    connection.send(answer(200, "OK",
                           "X-Request-Id: " + request.field("X-Request-Id") +
                               "\r\nX-Response-Signature: " + Id + "." +
                               request.field("X-Request-Id") + "\r\n" + load(),
                           body));
  }

  std::string Id;
  std::atomic<int> Running = 0;

  static inline std::mutex ArrivalsLock;
  static inline std::vector<Arrival> Arrivals;

private:
  void serve(Connection &connection) {
    while (auto request = connection.read(now() + 600)) {
      if (request->target() == "/health") {
        connection.send(
            answer(200, "OK", "X-Instance-Id: " + Id + "\r\n" + load(), ""));
        continue;
      }
      if (const std::string meant = request->field("X-Expected-Instance");
          !meant.empty() && meant != Id) {
        connection.send(answer(421, "Misdirected Request",
                               "X-Instance-Id: " + Id + "\r\n", ""));
        continue;
      }
      {
        std::lock_guard hold(ArrivalsLock);
        Arrivals.push_back({now(), Id, request->field("X-Request-Id"),
                            request->method(), request->target(),
                            request->Body.size(), false});
      }
      Log.line("backend %s runs %s %s %s, body of %zu bytes", Id.c_str(),
               request->field("X-Request-Id").c_str(),
               request->method().c_str(), request->target().c_str(),
               request->Body.size());
      ++Running;
      OnRequest(*this, connection, *request);
      --Running;
    }
  }

  Handler OnRequest;
  Listener Ports;
};

/// A link to the store that can be silenced. Bytes that are sent meanwhile, in
/// either direction, arrive as TCP would deliver them: with the first
/// retransmission after the silence, 0.2, 0.6, 1.4 or 3 s after they were sent.
/// Connections without such bytes are sound at once.
class Link {
public:
  explicit Link(int targetPort) : Target(targetPort) {
    Ports.serve([this](Connection &it) { serve(it); });
  }
  int port() const { return Ports.Port; }

  void silence(bool silent) {
    std::lock_guard hold(Lock);
    Silent = silent;
    Changed.notify_all();
  }

  /// The number of calls of a kind, by the start of their request line.
  int count(const std::string &start) {
    std::lock_guard hold(Lock);
    int out = 0;
    for (const std::string &it : Calls) {
      out += it.starts_with(start) ? 1 : 0;
    }
    return out;
  }

private:
  void pass() {
    double at = now();
    {
      std::unique_lock hold(Lock);
      if (!Silent) {
        return;
      }
      Changed.wait(hold, [this] { return !Silent; });
    }
    for (double timeout = 0.2; at <= now(); timeout *= 2) {
      at += timeout;
    }
    sleepMs(static_cast<int>((at - now()) * 1000) + 1);
  }

  void copy(int from, int to, bool isRequest) {
    char chunk[16384];
    while (true) {
      const ssize_t n = recv(from, chunk, sizeof chunk, 0);
      if (n <= 0) {
        break;
      }
      if (isRequest) {
        std::lock_guard hold(Lock);
        const std::string text(chunk, static_cast<std::size_t>(n));
        Calls.push_back(text.substr(0, text.find('\r')));
      }
      pass();
      if (::send(to, chunk, static_cast<std::size_t>(n), MSG_NOSIGNAL) != n) {
        break;
      }
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
  }

  void serve(Connection &connection) {
    Connection other = connectTo(Target);
    if (other.Fd < 0) {
      return;
    }
    std::thread back([&] { copy(other.Fd, connection.Fd, false); });
    copy(connection.Fd, other.Fd, true);
    back.join();
  }

  int Target;
  std::mutex Lock;
  std::condition_variable Changed;
  bool Silent = false;
  std::vector<std::string> Calls;
  Listener Ports;
};

/// An instance of the program as a process of its own.
class Instance {
public:
  /// \param seeds peer addresses of other instances, or empty.
  Instance(int storePort, const std::string &id, const std::string &seeds = "",
           const std::string &zone = "bilbao")
      : Id(id) {
    Callers = freePort();
    Ready = freePort();
    Directory = freePort();
    Peers = freePort();
    Operators = freePort();
    std::ifstream in("deploy/settings.conf");
    std::stringstream all;
    all << in.rdbuf();
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    std::string text = all.str();
    const std::map<std::string, std::string> values{
        {"{{node}}", id},
        {"{{zone}}", zone},
        {"{{listen.frontend}}", at(Callers)},
        {"{{listen.ready}}", at(Ready)},
        {"{{listen.directory}}", at(Directory)},
        {"{{listen.control}}", at(Peers)},
        {"{{ip_address}}:{{internal_ports.0}}", at(Operators)},
        {"{{#seeds}}{{.}}{{,}}{{/seeds}}", seeds.empty() ? at(Peers) : seeds},
        {"{{limits.cpu_share}}", "0.2"},
        {"{{limits.link_mbps}}", "1000.0"},
        {"{{platform.address}}", at(storePort)},
        {"{{bounds.config_propagation}}", "2000ms"},
        {"{{bounds.grace}}", "6s"},
        {"{{bounds.budget_ratio}}", "0.2"},
        {"{{bounds.budget_extra_retries}}", "56"},
        {"{{bounds.warmup_overshoot}}", "1.5"},
        {"{{bounds.warmup_slack}}", "5"},
        {"{{bounds.probes_per_s}}", "60"},
        {"{{bootstrap}}", "true"}};
    for (const auto &[name, value] : values) {
      for (auto n = text.find(name); n != std::string::npos;
           n = text.find(name)) {
        text.replace(n, name.size(), value);
      }
    }
    const char *folder = std::getenv("RIG_FOLDER");
    Settings =
        std::string(folder == nullptr ? "/tmp" : folder) + "/" + id + ".conf";
    std::ofstream(Settings) << text;
  }
  ~Instance() { end(); }

  void start() {
    const char *program = std::getenv("RIG_PROGRAM");
    const std::string path =
        program == nullptr ? "target/programs/zinniaraild" : program;
    const std::string log = Settings + ".log";
    Pid = fork();
    if (Pid == 0) {
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      prctl(PR_SET_PDEATHSIG, SIGKILL); // It never outlives the case.
      setenv("ZINNIARAIL_SETTINGS", Settings.c_str(), 1);
      execl(path.c_str(), path.c_str(), "--memory=260",
            static_cast<char *>(nullptr));
      _exit(127);
    }
    Log.line("instance %s started", Id.c_str());
  }

  /// \returns whether it became ready in time.
  bool waitUntilReady(double seconds) const {
    for (const double until = now() + seconds; now() < until; sleepMs(50)) {
      Connection it = connectTo(Ready);
      if (it.Fd < 0) {
        continue;
      }
      it.send("GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n");
      const auto reply = it.read(now() + 1);
      if (reply && reply->status() == 200) {
        return true;
      }
    }
    return false;
  }

  void signal(int number) const {
    if (Pid > 0) {
      kill(Pid, number);
    }
  }

  /// \returns whether the process still runs.
  bool lives() {
    if (Pid <= 0) {
      return false;
    }
    if (waitpid(Pid, &Status, WNOHANG) == Pid) {
      Pid = -1;
      return false;
    }
    return true;
  }

  void end() {
    if (Pid > 0) {
      kill(Pid, SIGKILL);
      waitpid(Pid, &Status, 0);
      Pid = -1;
    }
  }

  std::string Id;
  std::string Settings;
  int Callers = 0;
  int Ready = 0;
  int Directory = 0;
  int Peers = 0;
  int Operators = 0;
  pid_t Pid = -1;
  int Status = 0;
};

/// The configuration of the cases: /read/ is safe, /write/ is unsafe.
inline std::string configuration(int version, const std::string &more = "") {
  return "{\"version\":" + std::to_string(version) +
         ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
         "\"listeners\":[{\"host\":\"shop.example\",\"rules\":["
         "{\"name\":\"read\",\"kind\":\"safe\",\"target_latency\":\"300ms\","
         "\"priority\":2,\"match\":{\"path_prefix\":\"/read/\"},\"action\":{"
         "\"service\":\"orders\",\"timeout\":\"4000ms\",\"max_attempts\":2}},"
         "{\"name\":\"write\",\"kind\":\"unsafe\",\"target_latency\":\"400ms\","
         "\"priority\":1,\"match\":{\"path_prefix\":\"/write/\"},\"action\":{"
         "\"service\":\"orders\",\"timeout\":\"4000ms\",\"max_attempts\":2}}" +
         more +
         "]}],\"clusters\":[{\"name\":\"orders\",\"health_check_path\":"
         "\"/health\",\"connection_limit\":220,\"protocol\":\"h1\",\"tls\":"
         "false,\"warmup\":\"3s\",\"warmup_per_s\":7.3}]}";
}

inline std::string request(const std::string &method, const std::string &target,
                           const std::string &id, int deadlineMs,
                           const std::string &body = "",
                           const std::string &fields = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "X-Request-Id: " + id +
         "\r\nX-Deadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n" +
         fields +
         (method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

/// Opens the record and tells whether the disruption is wanted: TROUBLE is not
/// 0. The first argument of the program is the path of the record.
inline bool begin(int argc, char **argv, const char *what) {
  std::signal(SIGPIPE, SIG_IGN);
  Log.File = argc > 1 ? std::fopen(argv[1], "w") : stdout;
  if (Log.File == nullptr) {
    std::perror("record");
    std::_Exit(2);
  }
  const char *text = std::getenv("TROUBLE");
  const bool trouble = text == nullptr || std::string(text) != "0";
  Log.line("%s, %s the disruption", what, trouble ? "with" : "without");
  return trouble;
}

/// Ends the instances and this program: 1 if the rule was broken, 0 if it held,
/// 2 if the case could not run.
[[noreturn]] inline void finish(const std::vector<Instance *> &instances,
                                int code) {
  for (Instance *it : instances) {
    it->end();
  }
  Log.line("exit %d: %s", code,
           code == 1   ? "the rule was broken"
           : code == 0 ? "the rule held"
                       : "the case could not run");
  std::fflush(nullptr);
  std::_Exit(code);
}

/// \returns the times at which a request reached a backend.
inline std::vector<Backend::Arrival> arrivalsOf(const std::string &id) {
  std::lock_guard hold(Backend::ArrivalsLock);
  std::vector<Backend::Arrival> out;
  for (const auto &it : Backend::Arrivals) {
    if (it.Id == id) {
      out.push_back(it);
    }
  }
  return out;
}

} // namespace rig
