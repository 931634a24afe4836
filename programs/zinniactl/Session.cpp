#include "Session.h"

#include <optional>
#include <thread>

namespace zinniarail::ctl {

namespace {

// Runs the loop until the call that \p start begins has ended.
template <typename Reply, typename Start>
Reply await(struct ev_loop *loop, Start start) {
  const auto ending = std::make_shared<std::optional<Reply>>();
  start([ending](Reply reply) { *ending = std::move(reply); });
  while (!ending->has_value()) {
    ev_run(loop, EVRUN_ONCE);
  }
  return std::move(**ending);
}

} // namespace

Session::Session(const std::string &platformAddress, Duration timeout)
    : Loop(ev_loop_new(EVFLAG_AUTO)), Timeout(timeout),
      Platform(Loop.get(), platformAddress, timeout), Http(Loop.get()) {}

objects::Reply Session::get(const std::string &key) {
  return await<objects::Reply>(
      Loop.get(), [&](auto done) { Platform.get(key, std::move(done)); });
}

objects::Reply Session::put(const std::string &key, const std::string &bytes,
                            std::uint64_t version) {
  return await<objects::Reply>(Loop.get(), [&](auto done) {
    Platform.put(key, bytes, version, std::move(done));
  });
}

objects::InstanceListing Session::listInstances() {
  return await<objects::InstanceListing>(
      Loop.get(), [&](auto done) { Platform.listInstances(std::move(done)); });
}

HttpReply Session::call(const std::string &method, const std::string &address,
                        const std::string &path) {
  return callAll(method, {address}, path).front();
}

std::vector<HttpReply>
Session::callAll(const std::string &method,
                 const std::vector<std::string> &addresses,
                 const std::string &path) {
  std::vector<HttpReply> replies(addresses.size());
  std::size_t left = addresses.size();
  for (std::size_t n = 0; n < addresses.size(); ++n) {
    HttpRequest request;
    request.Method = method;
    request.Url = "http://" + addresses[n] + path;
    request.Timeout = Timeout;
    Http.send(std::move(request), [&, n](HttpReply reply) {
      replies[n] = std::move(reply);
      --left;
    });
  }
  while (left > 0) {
    ev_run(Loop.get(), EVRUN_ONCE);
  }
  return replies;
}

void Session::sleep(Duration duration) {
  std::this_thread::sleep_for(duration);
}

} // namespace zinniarail::ctl
