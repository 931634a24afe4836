#include "zinniarail/operator/OperatorTask.h"

#include <arpa/inet.h>

#include <future>
#include <map>

#include <boost/json.hpp>
#include <microhttpd.h>
#include <prometheus/text_serializer.h>

#include "zinniarail/settings/Settings.h"

namespace zinniarail {

namespace {

namespace json = boost::json;

constexpr unsigned ConnectionLimit = 64; // each has a thread while it lives
constexpr unsigned QuietLimit = 30;      // seconds
// A task that is stuck must not keep the others' dumps from an operator.
constexpr std::chrono::seconds DumpTimeout{2};

struct Reply {
  unsigned Status = 200;
  std::string Type = "application/json";
  std::string Body;
};

Reply makeError(unsigned status, const char *error) {
  return {status, "application/json",
          json::serialize(json::object{{"error", error}})};
}

Reply showHealth(const OperatorSources &sources) {
  const auto view = sources.Current();
  const char *state = "ready";
  if (sources.Stopping()) {
    state = "stopping";
  } else if (!view) {
    state = "no-document";
  } else if (readClock() >= view->ValidUntil) {
    state = "view-expired";
  }
  const bool ready = std::string_view(state) == "ready";
  return {ready ? 200U : 503U, "application/json",
          json::serialize(json::object{{"state", state}})};
}

Reply showVersion(const OperatorSources &sources) {
  const auto view = sources.Current();
  if (!view) {
    return makeError(503, "no-document");
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      view->ValidUntil - readClock());
  return {200, "application/json",
          json::serialize(json::object{{"instance", sources.Instance},
                                       {"environment", sources.Environment},
                                       {"version", view->Version},
                                       {"changeId", view->Intent->ChangeId},
                                       {"validForMs", left.count()}})};
}

Reply showDump(const OperatorSources &sources) {
  std::map<std::string, std::future<json::object>> answers;
  for (const DumpSource &it : sources.Dumps) {
    const auto promise = std::make_shared<std::promise<json::object>>();
    answers.emplace(it.Name, promise->get_future());
    it.Ask(
        [promise](json::object dump) { promise->set_value(std::move(dump)); });
  }
  json::object out{{"instance", sources.Instance}};
  const auto until = std::chrono::steady_clock::now() + DumpTimeout;
  for (auto &[name, answer] : answers) {
    if (answer.wait_until(until) == std::future_status::ready) {
      out[name] = answer.get();
    } else {
      out[name] = json::object{{"error", "no-answer"}};
    }
  }
  return {200, "application/json", json::serialize(out)};
}

Reply showTrace(const OperatorSources &sources, const char *service) {
  if (service == nullptr) {
    return makeError(400, "service-missing");
  }
  const auto promise =
      std::make_shared<std::promise<std::optional<std::string>>>();
  auto answer = promise->get_future();
  sources.Trace(service, [promise](std::optional<std::string> it) {
    promise->set_value(std::move(it));
  });
  if (answer.wait_for(DumpTimeout) != std::future_status::ready) {
    return makeError(503, "no-answer");
  }
  auto trace = answer.get();
  return trace ? Reply{200, "application/jsonl", std::move(*trace)}
               : makeError(404, "not-recorded");
}

Reply showMetrics(const OperatorSources &sources) {
  const prometheus::TextSerializer serializer;
  return {200, "text/plain; version=0.0.4; charset=utf-8",
          serializer.Serialize(sources.Metrics->Collect())};
}

Reply beginDrain(const OperatorSources &sources) {
  sources.Drain();
  return {202, "application/json",
          json::serialize(json::object{{"state", "stopping"}})};
}

struct Route {
  std::string_view Method;
  std::string_view Path;
  Reply (*Handle)(const OperatorSources &);
};

constexpr Route Routes[]{{"GET", "/health", &showHealth},
                         {"GET", "/dump", &showDump},
                         {"GET", "/metrics", &showMetrics},
                         {"GET", "/version-in-force", &showVersion},
                         {"POST", "/drain", &beginDrain}};

// The one call that takes an argument stands beside the table.
Reply route(const OperatorSources &sources, std::string_view method,
            std::string_view path, const char *service) {
  bool known = path == "/trace";
  if (known && method == "GET") {
    return showTrace(sources, service);
  }
  for (const Route &it : Routes) {
    known = known || it.Path == path;
    if (it.Path == path && it.Method == method) {
      return it.Handle(sources);
    }
  }
  return known ? makeError(405, "wrong-method") : makeError(404, "not-found");
}

MHD_Result send(MHD_Connection *connection, Reply reply) {
  MHD_Response *response = MHD_create_response_from_buffer(
      reply.Body.size(), reply.Body.data(), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", reply.Type.c_str());
  const MHD_Result result =
      MHD_queue_response(connection, reply.Status, response);
  MHD_destroy_response(response);
  return result;
}

// A body is read and dropped: none of the calls takes one.
MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url,
                     const char *method, const char *, const char *,
                     size_t *size, void **state) {
  static char begun;
  if (*state == nullptr) {
    *state = &begun;
    return MHD_YES;
  }
  if (*size != 0) {
    *size = 0;
    return MHD_YES;
  }
  return send(connection,
              route(*static_cast<OperatorSources *>(self), method, url,
                    MHD_lookup_connection_value(
                        connection, MHD_GET_ARGUMENT_KIND, "service")));
}

} // namespace

struct OperatorTask::Running {
  explicit Running(OperatorSources sources) : Sources(std::move(sources)) {}

  OperatorSources Sources;
  MHD_Daemon *Daemon = nullptr;
};

OperatorTask::OperatorTask(OperatorSources sources)
    : Core(std::make_unique<Running>(std::move(sources))) {}

OperatorTask::~OperatorTask() { stop(); }

Result<void, OperatorError> OperatorTask::start(const std::string &address) {
  const SocketAddress parsed = parseAddress(address);
  sockaddr_in socketAddress{.sin_family = AF_INET,
                            .sin_port = htons(parsed.Port)};
  inet_pton(AF_INET, parsed.Host.c_str(), &socketAddress.sin_addr);
  Core->Daemon = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
          MHD_USE_POLL,
      parsed.Port, nullptr, nullptr, &onRequest, &Core->Sources,
      MHD_OPTION_SOCK_ADDR, &socketAddress, MHD_OPTION_CONNECTION_LIMIT,
      ConnectionLimit, MHD_OPTION_CONNECTION_TIMEOUT, QuietLimit,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (Core->Daemon == nullptr) {
    return OperatorError{"cannot listen on " + address};
  }
  return outcome::success();
}

void OperatorTask::stop() {
  if (Core->Daemon != nullptr) {
    MHD_stop_daemon(Core->Daemon);
    Core->Daemon = nullptr;
  }
}

} // namespace zinniarail
