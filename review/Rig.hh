// Stand-ins for the review's cases: an event loop, an HTTP/1.1 server and
// client, the platform's store, backends, and the start and end of instances of
// zinniaraild. Uses the C++ library and POSIX only. Single-threaded.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rig {

using Ms = std::chrono::milliseconds;
using Us = std::chrono::microseconds;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

constexpr int Held = 0;   // the rule held
constexpr int Broken = 1; // the rule was broken
constexpr int CouldNotRun = 2;

inline std::string startErrors;

// ---------------------------------------------------------------- the loop

class Loop {
public:
  using Callback = std::function<void()>;

  struct Watch {
    Callback onReadable;
    Callback onWritable; // only polled for while set
  };

  Watch &watch(int fd) { return watches[fd]; }
  void unwatch(int fd) { watches.erase(fd); }

  void at(Time when, Callback callback) {
    timers.emplace(when, std::move(callback));
  }
  void after(Clock::duration delay, Callback callback) {
    at(Clock::now() + delay, std::move(callback));
  }

  void runUntil(Time end) {
    while (Clock::now() < end) {
      step(end);
    }
  }
  void runFor(Clock::duration time) { runUntil(Clock::now() + time); }
  // \returns whether the condition came true in time.
  bool runUntilTrue(const std::function<bool()> &condition,
                    Clock::duration limit) {
    const Time end = Clock::now() + limit;
    while (Clock::now() < end) {
      if (condition()) {
        return true;
      }
      step(std::min(end, Clock::now() + Ms(20)));
    }
    return condition();
  }

private:
  void step(Time end) {
    while (!timers.empty() && timers.begin()->first <= Clock::now()) {
      Callback callback = std::move(timers.begin()->second);
      timers.erase(timers.begin());
      callback();
    }
    const Time next =
        timers.empty() ? end : std::min(end, timers.begin()->first);
    const auto wait = std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::nanoseconds>(next -
                                                                Clock::now())
               .count());
    std::vector<pollfd> fds;
    for (const auto &[fd, it] : watches) {
      fds.push_back({fd,
                     static_cast<short>((it.onReadable ? POLLIN : 0) |
                                        (it.onWritable ? POLLOUT : 0)),
                     0});
    }
    const timespec timeout{wait / 1000000000, wait % 1000000000};
    if (ppoll(fds.data(), fds.size(), &timeout, nullptr) <= 0) {
      return;
    }
    for (const pollfd &it : fds) {
      if ((it.revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
        const auto found = watches.find(it.fd);
        if (found != watches.end() && found->second.onReadable) {
          const Callback callback = found->second.onReadable;
          callback();
        }
      }
      if ((it.revents & (POLLOUT | POLLERR)) != 0) {
        const auto found = watches.find(it.fd);
        if (found != watches.end() && found->second.onWritable) {
          const Callback callback = found->second.onWritable;
          callback();
        }
      }
    }
  }

  std::map<int, Watch> watches;
  std::multimap<Time, Callback> timers;
};

// ---------------------------------------------------------------- messages

struct Message {
  std::string first;                         // request line or status line
  std::map<std::string, std::string> fields; // names in lower case
  std::string body;

  std::string word(std::size_t n) const {
    std::istringstream in(first);
    std::string it;
    for (std::size_t k = 0; k <= n; ++k) {
      it.clear();
      in >> it;
    }
    return it;
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string query(const std::string &name) const {
    const std::string text = target();
    const std::string key = name + "=";
    std::size_t pos = text.find('?');
    while (pos != std::string::npos) {
      const std::size_t next = text.find('&', pos + 1);
      const std::string pair = text.substr(
          pos + 1, next == std::string::npos ? next : next - pos - 1);
      if (pair.rfind(key, 0) == 0) {
        return pair.substr(key.size());
      }
      pos = next;
    }
    return "";
  }
  int status() const { return std::atoi(word(1).c_str()); }
  std::string field(const std::string &name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
};

// Takes one whole message with a Content-Length from the front of a buffer.
inline bool takeMessage(std::string &buffer, Message &out) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  Message it;
  std::istringstream head(buffer.substr(0, end));
  std::getline(head, it.first);
  if (!it.first.empty() && it.first.back() == '\r') {
    it.first.pop_back();
  }
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char &c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const std::size_t from = line.find_first_not_of(' ', colon + 1);
    it.fields[name] = from == std::string::npos ? "" : line.substr(from);
  }
  const std::size_t length =
      std::strtoul(it.field("content-length").c_str(), nullptr, 10);
  if (buffer.size() < end + 4 + length) {
    return false;
  }
  it.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  out = std::move(it);
  return true;
}

inline std::string makeResponse(const std::string &status,
                                const std::string &fields,
                                const std::string &body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in endpointOf(const std::string &address) {
  sockaddr_in out{};
  const std::size_t colon = address.find(':');
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

// A loopback address with a port that is free for TCP and UDP. All addresses of
// a run share an IP of their own, so that runs beside each other and outgoing
// connections don't take its ports.
inline std::string freeAddress() {
  constexpr int firstPort = 20000;
  constexpr int lastPort = 29999;
  static std::random_device random;
  static const std::string ip = "127." + std::to_string(1 + random() % 250) +
                                "." + std::to_string(1 + random() % 250) + "." +
                                std::to_string(2 + random() % 250);
  static int port = firstPort;
  while (++port <= lastPort) {
    const std::string address = ip + ":" + std::to_string(port);
    const sockaddr_in at = endpointOf(address);
    const int tcp = socket(AF_INET, SOCK_STREAM, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM, 0);
    const bool isFree =
        bind(tcp, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0 &&
        bind(udp, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
    close(tcp);
    close(udp);
    if (isFree) {
      return address;
    }
  }
  startErrors += "no free port; ";
  return ip + ":1";
}

class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Loop &owner, int socketFd) : loop(owner), fd(socketFd) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { end(false); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  void start() {
    std::weak_ptr<Connection> self = weak_from_this();
    loop.watch(fd).onReadable = [self] {
      if (auto it = self.lock()) {
        it->read();
      }
    };
    if (!output.empty()) {
      flush();
    }
  }
  void send(const std::string &bytes) {
    output += bytes;
    flush();
  }
  bool isOpen() const { return fd >= 0; }
  // \param reset whether the peer gets a reset.
  void end(bool reset) {
    if (fd < 0) {
      return;
    }
    if (reset) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    loop.unwatch(fd);
    close(fd);
    fd = -1;
  }

  std::string input;
  bool wasReset = false;
  std::function<void(Connection &)> onInput;
  std::function<void(Connection &)> onClosed; // by the peer

private:
  void read() {
    const auto keep = shared_from_this();
    char chunk[65536];
    while (fd >= 0) {
      const ssize_t n = recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
      if (n > 0) {
        input.append(chunk, static_cast<std::size_t>(n));
        continue;
      }
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        break;
      }
      if (n < 0 && errno == EINTR) {
        continue;
      }
      wasReset = n < 0;
      if (!input.empty() && onInput) {
        onInput(*this);
      }
      end(false);
      if (onClosed) {
        onClosed(*this);
      }
      return;
    }
    if (onInput) {
      onInput(*this);
    }
  }
  void flush() {
    while (fd >= 0 && !output.empty()) {
      const ssize_t n =
          ::send(fd, output.data(), output.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        output.erase(0, static_cast<std::size_t>(n));
        continue;
      }
      if (errno == EINTR) {
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN) {
        std::weak_ptr<Connection> self = weak_from_this();
        loop.watch(fd).onWritable = [self] {
          if (auto it = self.lock(); it && it->fd >= 0) {
            it->loop.watch(it->fd).onWritable = nullptr;
            it->flush();
          }
        };
      } else {
        output.clear();
      }
      return;
    }
  }

  Loop &loop;
  int fd;
  std::string output;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline ConnectionPtr connectTo(Loop &loop, const std::string &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = endpointOf(address);
  connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
  auto it = std::make_shared<Connection>(loop, fd);
  it->start();
  return it;
}

class Server {
public:
  using Handler = std::function<void(const ConnectionPtr &, Message)>;

  Server(Loop &owner, Handler onRequest)
      : loop(owner), handler(std::move(onRequest)) {}
  ~Server() { stop(); }

  bool listen(const std::string &address) {
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = endpointOf(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 ||
        ::listen(fd, 1024) != 0) {
      startErrors += "cannot listen on " + address + "; ";
      return false;
    }
    loop.watch(fd).onReadable = [this] { accept(); };
    return true;
  }
  void stop() {
    if (fd >= 0) {
      loop.unwatch(fd);
      close(fd);
      fd = -1;
    }
    for (const ConnectionPtr &it : std::exchange(connections, {})) {
      it->end(false);
    }
  }

  std::function<void(Connection &)> onClosed;

private:
  void accept() {
    while (true) {
      const int accepted =
          accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      auto it = std::make_shared<Connection>(loop, accepted);
      connections.insert(it);
      it->onInput = [this](Connection &connection) {
        Message request;
        while (connection.isOpen() && takeMessage(connection.input, request)) {
          handler(connection.shared_from_this(), std::move(request));
        }
      };
      it->onClosed = [this](Connection &connection) {
        if (onClosed) {
          onClosed(connection);
        }
        connections.erase(connection.shared_from_this());
      };
      it->start();
    }
  }

  Loop &loop;
  Handler handler;
  int fd = -1;
  std::set<ConnectionPtr> connections;
};

// ---------------------------------------------------------------- the record

class Record {
public:
  explicit Record(const std::string &path) : startedAt(Clock::now()) {
    file = std::fopen(path.c_str(), "w");
  }
  ~Record() {
    if (file != nullptr) {
      std::fclose(file);
    }
  }
  // Milliseconds since the record began.
  double at(Time time) const {
    return std::chrono::duration<double, std::milli>(time - startedAt).count();
  }
  double now() const { return at(Clock::now()); }
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    if (file == nullptr) {
      return;
    }
    std::fprintf(file, "%10.3f ms  ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file, format, args);
    va_end(args);
    std::fputc('\n', file);
    std::fflush(file);
  }

private:
  std::FILE *file = nullptr;
  Time startedAt;
};

// ---------------------------------------------------------------- the store

// The platform's store: lists, watches and conditional writes of whole objects.
// Specifications are kept as the text that their writer sent.
class Store {
public:
  explicit Store(Loop &owner)
      : address(freeAddress()), loop(owner),
        server(owner, [this](const ConnectionPtr &to, Message request) {
          handle(to, request);
        }) {
    server.listen(address);
    server.onClosed = [this](Connection &it) {
      watches.remove_if(
          [&](const Waiting &any) { return any.to.get() == &it; });
    };
  }

  void put(const std::string &kind, const std::string &name,
           const std::string &specification) {
    Object &it = objects[kind][name];
    if (it.revision != 0 && it.specification == specification) {
      return;
    }
    it = {++revision, specification};
    change(kind, objectText(name, it), false);
  }
  void remove(const std::string &kind, const std::string &name) {
    const auto it = objects[kind].find(name);
    if (it == objects[kind].end()) {
      return;
    }
    it->second.revision = ++revision;
    const std::string text = objectText(name, it->second);
    objects[kind].erase(it);
    change(kind, text, true);
  }

  const std::string address;

private:
  struct Object {
    std::uint64_t revision = 0;
    std::string specification;
  };
  struct Event {
    std::uint64_t revision;
    std::string kind;
    std::string text;
  };
  struct Waiting {
    ConnectionPtr to;
    std::string kind;
    std::uint64_t after;
  };

  static std::string objectText(const std::string &name, const Object &it) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(it.revision) +
           ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
           "\"specification\":" +
           it.specification + ",\"status\":null}";
  }
  void respond(const ConnectionPtr &to, const std::string &status,
               const std::string &body) const {
    to->send(makeResponse(
        status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body));
  }
  std::string eventsAfter(const std::string &kind, std::uint64_t after,
                          bool &any) const {
    std::string list;
    for (const Event &it : history) {
      if (it.kind == kind && it.revision > after) {
        list += (list.empty() ? "" : ",") + it.text;
      }
    }
    any = !list.empty();
    return "{\"events\":[" + list + "],\"as_of\":" + std::to_string(revision) +
           "}";
  }
  void change(const std::string &kind, const std::string &object,
              bool deleted) {
    history.push_back({revision, kind,
                       std::string("{\"deleted\":") +
                           (deleted ? "true" : "false") +
                           ",\"object\":" + object + "}"});
    for (auto it = watches.begin(); it != watches.end();) {
      const auto at = it++;
      if (at->kind == kind) {
        bool any = false;
        const std::string body = eventsAfter(kind, at->after, any);
        const ConnectionPtr to = at->to;
        watches.erase(at);
        respond(to, "200 OK", body);
      }
    }
  }
  void handle(const ConnectionPtr &to, const Message &request) {
    std::string rest = request.path();
    const std::string prefix = "/objects/";
    if (rest.rfind(prefix, 0) != 0) {
      return respond(to, "404 Not Found", "{}");
    }
    rest.erase(0, prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method() == "GET") {
      return read(to, kind, name, request);
    }
    auto &all = objects[kind];
    std::uint64_t expected =
        std::strtoull(request.query("revision").c_str(), nullptr, 10);
    const std::size_t spec = request.body.find("\"specification\":");
    const std::string metadata = request.body.substr(0, spec);
    if (const std::size_t at = metadata.find("\"revision\":");
        at != std::string::npos) {
      expected = std::strtoull(metadata.c_str() + at + 11, nullptr, 10);
    }
    if (const std::size_t at = metadata.find("\"name\":\"");
        name.empty() && at != std::string::npos) {
      name = metadata.substr(at + 8, metadata.find('"', at + 8) - at - 8);
    }
    const auto found = all.find(name);
    if (request.method() == "POST" ? found != all.end()
                                   : found != all.end() && expected != 0 &&
                                         expected != found->second.revision) {
      return respond(to, "409 Conflict", objectText(name, found->second));
    }
    if (request.method() != "POST" && found == all.end()) {
      return respond(to, "404 Not Found", "{}");
    }
    if (request.method() == "DELETE") {
      remove(kind, name);
      return respond(to, "200 OK", "{}");
    }
    std::string text =
        spec == std::string::npos ? "null" : request.body.substr(spec + 16);
    if (spec != std::string::npos && !text.empty()) {
      text.pop_back(); // the brace that ends the whole object
    }
    put(kind, name, text);
    respond(to, "200 OK", objectText(name, objects[kind][name]));
  }
  void read(const ConnectionPtr &to, const std::string &kind,
            const std::string &name, const Message &request) {
    if (!name.empty()) {
      const auto it = objects[kind].find(name);
      return it == objects[kind].end()
                 ? respond(to, "404 Not Found", "{}")
                 : respond(to, "200 OK", objectText(name, it->second));
    }
    const std::string after = request.query("watch");
    if (after.empty()) {
      std::string list;
      for (const auto &[id, it] : objects[kind]) {
        list += (list.empty() ? "" : ",") + objectText(id, it);
      }
      return respond(to, "200 OK",
                     "{\"items\":[" + list + "],\"has_more\":false,\"as_of\":" +
                         std::to_string(revision) + "}");
    }
    bool any = false;
    const std::uint64_t from = std::strtoull(after.c_str(), nullptr, 10);
    const std::string body = eventsAfter(kind, from, any);
    const auto wait = std::atoi(request.query("wait_ms").c_str());
    if (any || wait <= 0) {
      return respond(to, "200 OK", body);
    }
    watches.push_back({to, kind, from});
    loop.after(Ms(wait), [this, to, kind] {
      for (auto it = watches.begin(); it != watches.end(); ++it) {
        if (it->to == to && it->kind == kind) {
          bool none = false;
          const std::string text = eventsAfter(kind, it->after, none);
          watches.erase(it);
          return respond(to, "200 OK", text);
        }
      }
    });
  }

  Loop &loop;
  Server server;
  std::uint64_t revision = 1;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::deque<Event> history;
  std::list<Waiting> watches;
};

// ---------------------------------------------------------------- backends

struct Run {
  std::string id;
  std::string method;
  std::string backend;
  Time at;
};

// A backend with slots and a queue. It drops a request when its connection
// closes, answers health checks at once, and tells its load.
class Backend {
public:
  Backend(Loop &owner, Store &registry, Record &log, std::string service,
          std::string zone, std::string id, unsigned slotCount)
      : instanceId(std::move(id)), slots(slotCount), address(freeAddress()),
        loop(owner), store(registry), record(log),
        serviceName(std::move(service)), zoneName(std::move(zone)),
        server(owner, [this](const ConnectionPtr &to, Message request) {
          handle(to, std::move(request));
        }) {
    server.listen(address);
    server.onClosed = [this](Connection &it) { dropAll(it); };
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    bornMs = std::chrono::duration_cast<Ms>(now).count();
  }

  void registerAs(const std::string &state) {
    store.put("servers", instanceId,
              "{\"address\":\"" + address + "\",\"born\":" +
                  std::to_string(bornMs) + ",\"information\":{\"service\":\"" +
                  serviceName + "\",\"version\":\"v1\",\"zone\":\"" + zoneName +
                  "\",\"slots\":" + std::to_string(slots) +
                  "},\"status\":{\"state\":\"" + state +
                  "\",\"sequence\":" + std::to_string(++sequence) +
                  ",\"warmup_remaining\":\"0ms\"}}");
    record.line("backend %s registered as %s", instanceId.c_str(),
                state.c_str());
  }
  void end() { server.stop(); }

  unsigned running() const { return static_cast<unsigned>(active.size()); }
  unsigned waiting() const { return static_cast<unsigned>(queue.size()); }

  std::string loadField() const {
    return "X-Server-Load: " + std::to_string(running()) + "," +
           std::to_string(waiting()) + "," + std::to_string(slots) + ",100\r\n";
  }
  std::string answerTo(const std::string &id) const {
    return makeResponse("200 OK",
                        "X-Request-Id: " + id + "\r\nX-Response-Signature: s." +
                            id + "\r\n" + loadField(),
                        "answer to " + id + " by " + instanceId);
  }
  std::string rejectionOf(const std::string &id) const {
    return makeResponse(
        "503 Service Unavailable",
        "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\n" + loadField(), "");
  }

  const std::string instanceId;
  const unsigned slots;
  std::string address;
  unsigned queueLimit = 8;
  Clock::duration workTime = Ms(20);
  std::vector<Run> runs;     // requests that it began to work on
  std::vector<Run> arrivals; // requests that reached it
  // Called when a request or health check has arrived, before anything is sent.
  std::function<void(const ConnectionPtr &)> onRequest;
  // Called when the answer to a request has been sent.
  std::function<void(const ConnectionPtr &, const std::string &)> onAnswer;
  // Handles a request in place of the backend; false: the backend handles it.
  std::function<bool(const ConnectionPtr &, const Message &)> intercept;

  // Begins to work on a request; answers after the work time.
  void run(const ConnectionPtr &to, const Message &request) {
    const std::string id = request.field("x-request-id");
    runs.push_back({id, request.method(), instanceId, Clock::now()});
    record.line("backend %s runs %s", instanceId.c_str(), id.c_str());
    active.emplace(to, id);
    loop.after(workTime, [this, to, id] {
      const auto it = active.find({to, id});
      if (it == active.end()) {
        return;
      }
      active.erase(it);
      record.line("backend %s answers %s", instanceId.c_str(), id.c_str());
      answer(to, answerTo(id));
      runQueued();
    });
  }

  void reject(const ConnectionPtr &to, const std::string &id) {
    record.line("backend %s rejects %s", instanceId.c_str(), id.c_str());
    answer(to, rejectionOf(id));
  }

private:
  void answer(const ConnectionPtr &to, const std::string &text) {
    to->send(text);
    if (onAnswer) {
      onAnswer(to, text);
    }
  }
  void handle(const ConnectionPtr &to, Message request) {
    if (onRequest) {
      onRequest(to);
    }
    if (request.path() == "/health") {
      return to->send(makeResponse(
          "200 OK", "X-Instance-Id: " + instanceId + "\r\n" + loadField(), ""));
    }
    const std::string id = request.field("x-request-id");
    if (request.field("x-expected-instance") != instanceId &&
        !request.field("x-expected-instance").empty()) {
      return to->send(makeResponse(
          "421 Misdirected Request",
          "X-Request-Id: " + id + "\r\nX-Instance-Id: " + instanceId + "\r\n",
          ""));
    }
    arrivals.push_back({id, request.method(), instanceId, Clock::now()});
    if (intercept && intercept(to, request)) {
      return;
    }
    if (active.size() < slots) {
      return run(to, request);
    }
    if (queue.size() >= queueLimit) {
      return reject(to, id);
    }
    queue.emplace_back(to, std::move(request));
  }
  void runQueued() {
    while (active.size() < slots && !queue.empty()) {
      const auto [to, request] = std::move(queue.front());
      queue.pop_front();
      run(to, request);
    }
  }
  void dropAll(Connection &gone) {
    std::erase_if(queue,
                  [&](const auto &it) { return it.first.get() == &gone; });
    std::erase_if(active, [&](const auto &it) {
      if (it.first.get() == &gone) {
        record.line("backend %s drops %s: its connection closed",
                    instanceId.c_str(), it.second.c_str());
        return true;
      }
      return false;
    });
    runQueued();
  }

  Loop &loop;
  Store &store;
  Record &record;
  std::string serviceName;
  std::string zoneName;
  Server server;
  std::int64_t bornMs = 0;
  unsigned sequence = 0;
  std::set<std::pair<ConnectionPtr, std::string>> active;
  std::deque<std::pair<ConnectionPtr, Message>> queue;
};

// ---------------------------------------------------------------- instances

struct Route {
  std::string prefix; // begins and ends with a slash
  std::string kind;   // safe or unsafe
  std::string service;
  int timeoutMs = 1000;
  int maxAttempts = 2;
  int targetMs = 200;
};

inline const std::string Host = "ficu95.example";

inline void writeConfiguration(Store &store, int version,
                               const std::vector<Route> &routes) {
  std::string rules;
  std::set<std::string> services;
  for (const Route &it : routes) {
    services.insert(it.service);
    rules += std::string(rules.empty() ? "" : ",") + "{\"name\":\"r" +
             std::to_string(std::hash<std::string>{}(it.prefix) % 100000) +
             "\",\"kind\":\"" + it.kind + "\",\"target_latency\":\"" +
             std::to_string(it.targetMs) +
             "ms\",\"priority\":1,\"match\":{\"path_prefix\":\"" + it.prefix +
             "\"},\"action\":{\"service\":\"" + it.service +
             "\",\"timeout\":\"" + std::to_string(it.timeoutMs) +
             "ms\",\"max_attempts\":" + std::to_string(it.maxAttempts) + "}}";
  }
  std::string clusters;
  for (const std::string &it : services) {
    clusters += std::string(clusters.empty() ? "" : ",") + "{\"name\":\"" + it +
                "\",\"health_check_path\":\"/health\",\"connection_limit\":220,"
                "\"protocol\":\"h1\",\"tls\":false,\"warmup\":\"3s\","
                "\"warmup_per_s\":14.0}";
  }
  store.put("config", "main",
            "{\"version\":" + std::to_string(version) +
                ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
                "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
                "\"15000ms\"},\"base_version\":" +
                std::to_string(version - 1) + ",\"listeners\":[{\"host\":\"" +
                Host + "\",\"rules\":[" + rules + "]}],\"clusters\":[" +
                clusters + "]}");
}

// The settings are filled into deploy/settings.conf as the platform does it;
// the figures are those of the smallest deployment of the pages.
class Instance {
public:
  Instance(Record &log, std::string name, std::string zone,
           const std::string &storeAddress, const std::string &folder)
      : caller(freeAddress()), ready(freeAddress()), directory(freeAddress()),
        peer(freeAddress()), operators(freeAddress()), record(log),
        id(std::move(name)), zoneName(std::move(zone)), store(storeAddress),
        settingsPath(folder + "/" + id + ".conf"),
        logPath(folder + "/" + id + ".log") {}
  ~Instance() {
    if (pid > 0) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  Instance(const Instance &) = delete;
  Instance &operator=(const Instance &) = delete;

  void start(const std::vector<std::string> &seeds, bool bootstrap) {
    writeSettings(seeds, bootstrap);
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // It does not outlive the case.
      const int log =
          open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("ZINNIARAIL_SETTINGS", settingsPath.c_str(), 1);
      execl("target/programs/zinniaraild", "target/programs/zinniaraild",
            static_cast<char *>(nullptr));
      _exit(127);
    }
    record.line("instance %s started, pid %d", id.c_str(), pid);
  }
  void signal(int number) const {
    record.line("instance %s gets signal %d", id.c_str(), number);
    kill(pid, number);
  }
  // \returns whether the process has ended; then its status is in `status`.
  bool hasEnded() {
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      pid = 0;
      if (WIFSIGNALED(status)) {
        record.line("instance %s ended by signal %d", id.c_str(),
                    WTERMSIG(status));
      } else {
        record.line("instance %s ended with exit code %d", id.c_str(),
                    WEXITSTATUS(status));
      }
    }
    return pid == 0;
  }

  std::string caller, ready, directory, peer, operators;
  int status = 0;
  pid_t pid = 0;

private:
  void writeSettings(const std::vector<std::string> &seeds, bool bootstrap) {
    std::ifstream in("deploy/settings.conf");
    std::ostringstream text;
    text << in.rdbuf();
    std::string out = text.str();
    std::string seedList;
    for (const std::string &it : seeds) {
      seedList += (seedList.empty() ? "" : ",") + it;
    }
    const std::size_t colon = operators.find(':');
    const std::map<std::string, std::string> values{
        {"{{node}}", id},
        {"{{zone}}", zoneName},
        {"{{listen.frontend}}", caller},
        {"{{listen.ready}}", ready},
        {"{{listen.directory}}", directory},
        {"{{listen.control}}", peer},
        {"{{ip_address}}", operators.substr(0, colon)},
        {"{{internal_ports.0}}", operators.substr(colon + 1)},
        {"{{#seeds}}{{.}}{{,}}{{/seeds}}", seedList},
        {"{{limits.cpu_share}}", "0.2"},
        {"{{limits.link_mbps}}", "1000.0"},
        {"{{platform.address}}", store},
        {"{{bounds.config_propagation}}", "2000ms"},
        {"{{bounds.grace}}", "6s"},
        {"{{bounds.budget_ratio}}", "0.2"},
        {"{{bounds.budget_extra_retries}}", "56"},
        {"{{bounds.warmup_overshoot}}", "1.5"},
        {"{{bounds.warmup_slack}}", "5"},
        {"{{bounds.probes_per_s}}", "60"},
        {"{{#bounds.quota_window}}", ""},
        {"{{bounds.quota_window}}", "5s"},
        {"{{/bounds.quota_window}}", ""},
        {"{{#bounds.quota_overshoot}}", ""},
        {"{{bounds.quota_overshoot}}", "0.1"},
        {"{{/bounds.quota_overshoot}}", ""},
        {"{{#bounds.quota_slack}}", ""},
        {"{{bounds.quota_slack}}", "20"},
        {"{{/bounds.quota_slack}}", ""},
        {"{{bootstrap}}", bootstrap ? "true" : "false"}};
    for (const auto &[key, value] : values) {
      for (std::size_t at; (at = out.find(key)) != std::string::npos;) {
        out.replace(at, key.size(), value);
      }
    }
    std::ofstream(settingsPath) << out;
  }

  Record &record;
  std::string id;
  std::string zoneName;
  std::string store;
  std::string settingsPath;
  std::string logPath;
};

// ---------------------------------------------------------------- clients

struct Answer {
  int status = 0;        // 0: the connection ended without a whole answer
  bool timedOut = false; // the client left at its deadline
  bool connected = false;
  std::string body;
  Message message;
  Clock::duration took{};
};

inline std::string makeRequest(const std::string &method,
                               const std::string &path, const std::string &id,
                               int deadlineMs, const std::string &body) {
  std::string out =
      method + " " + path + " HTTP/1.1\r\nHost: " + Host +
      "\r\nX-Request-Id: " + id +
      "\r\nX-Deadline-Milliseconds: " + std::to_string(deadlineMs) + "\r\n";
  if (method == "POST") {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}

// Sends one request on a connection of its own and leaves at its deadline.
inline void sendRequest(Loop &loop, Record &record, const std::string &address,
                        const std::string &method, const std::string &path,
                        const std::string &id, int deadlineMs,
                        const std::string &body,
                        std::function<void(Answer)> done) {
  auto connection = connectTo(loop, address);
  auto isDone = std::make_shared<bool>(false);
  const Time sentAt = Clock::now();
  record.line("client sends %s: %s %s, deadline %d ms", id.c_str(),
              method.c_str(), path.c_str(), deadlineMs);
  const auto finish = [=, &record](Answer it) {
    if (*isDone) {
      return;
    }
    *isDone = true;
    it.took = Clock::now() - sentAt;
    record.line("client %s: %s %d", id.c_str(),
                it.timedOut      ? "leaves at its deadline, status"
                : it.status == 0 ? "connection ended without an answer, status"
                                 : "gets status",
                it.status);
    connection->end(false);
    done(std::move(it));
  };
  connection->onInput = [=](Connection &from) {
    Message response;
    if (takeMessage(from.input, response)) {
      Answer it;
      it.connected = true;
      it.status = response.status();
      it.body = response.body;
      it.message = std::move(response);
      finish(std::move(it));
    }
  };
  connection->onClosed = [=](Connection &) { finish({}); };
  loop.after(Ms(deadlineMs), [=] {
    Answer it;
    it.timedOut = true;
    finish(std::move(it));
  });
  connection->send(makeRequest(method, path, id, deadlineMs, body));
}

// Asks an address for its readiness until it answers 200.
inline bool waitUntilReady(Loop &loop, const std::vector<Instance *> &all,
                           Clock::duration limit) {
  const Time end = Clock::now() + limit;
  for (Instance *it : all) {
    bool isReady = false;
    while (!isReady && Clock::now() < end && !it->hasEnded()) {
      auto connection = connectTo(loop, it->ready);
      bool answered = false;
      connection->onInput = [&](Connection &from) {
        Message response;
        if (takeMessage(from.input, response)) {
          answered = true;
          isReady = response.status() == 200;
        }
      };
      connection->onClosed = [&](Connection &) { answered = true; };
      connection->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      loop.runUntilTrue([&] { return answered; }, Ms(500));
      connection->end(false);
      loop.runFor(Ms(50));
    }
    if (!isReady) {
      return false;
    }
  }
  return true;
}

// A folder for settings and logs, removed at the end unless KEEP is set.
class TemporaryFolder {
public:
  TemporaryFolder() {
    const char *base = std::getenv("TMPDIR");
    path = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
      startErrors += "no temporary folder; ";
    }
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(path, ec);
    } else {
      std::fprintf(stderr, "%s\n", path.c_str());
    }
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  std::string path;
};

// Prints the result, writes it into the record, and returns the exit code.
inline int finish(Record &record, bool isBroken, const std::string &summary) {
  record.line("%s: %s", isBroken ? "BROKEN" : "HELD", summary.c_str());
  std::printf("%s: %s\n", isBroken ? "BROKEN" : "HELD", summary.c_str());
  return isBroken ? Broken : Held;
}
inline int couldNotRun(Record &record, const std::string &why) {
  record.line("could not run: %s %s", why.c_str(), startErrors.c_str());
  std::printf("could not run: %s %s\n", why.c_str(), startErrors.c_str());
  return CouldNotRun;
}

} // namespace rig
