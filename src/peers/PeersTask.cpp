#include "zinniarail/peers/PeersTask.h"

#include <atomic>
#include <future>
#include <random>
#include <thread>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include <kj/async-unix.h>

#include "Exchange.h"

namespace zinniarail {

namespace {

// Never 0, and never the same after a restart, whatever the settings say.
std::uint64_t drawIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1U;
}

/// An eventfd that another thread signals.
struct Signal {
  Signal() : Descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
  ~Signal() { close(Descriptor); }
  Signal(const Signal &) = delete;
  Signal &operator=(const Signal &) = delete;

  void raise() const {
    const std::uint64_t one = 1;
    // Full only when it is raised already.
    [[maybe_unused]] const auto n = write(Descriptor, &one, sizeof(one));
  }
  void clear() const {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto n = read(Descriptor, &count, sizeof(count));
  }

  int Descriptor;
};

} // namespace

struct PeersTask::Running {
  Settings Set;
  std::function<void(gateway::Message)> ToGateway;
  std::function<void(control::Message)> ToControl;
  Signal Wake;
  peers::Inbox Box{[this] { Wake.raise(); }};
  std::atomic<bool> Ending{false};
  std::thread Thread;

  void loop(std::promise<Result<void, PeersError>> &started);
  void serve(kj::AsyncIoContext &io,
             std::promise<Result<void, PeersError>> &started, bool &announced);
};

namespace {

// Hands over what is posted until the task ends.
kj::Promise<void> pump(kj::UnixEventPort::FdObserver &observer,
                       peers::Exchange &exchange, peers::Inbox &box,
                       const Signal &wake, const std::atomic<bool> &ending) {
  return observer.whenBecomesReadable().then([&]() -> kj::Promise<void> {
    wake.clear();
    for (peers::Message &it : box.take()) {
      exchange.take(std::move(it));
    }
    if (ending) {
      return kj::READY_NOW;
    }
    return pump(observer, exchange, box, wake, ending);
  });
}

} // namespace

void PeersTask::Running::serve(kj::AsyncIoContext &io,
                               std::promise<Result<void, PeersError>> &started,
                               bool &announced) {
  auto &network = io.provider->getNetwork();
  auto address =
      network.parseAddress(Set.PeerAddress.c_str()).wait(io.waitScope);
  auto receiver = address->listen();
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, Wake.Descriptor,
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  peers::Exchange exchange(Set, ToGateway, ToControl, network,
                           io.provider->getTimer(), drawIncarnation());
  exchange.run(*receiver);
  started.set_value(outcome::success());
  announced = true;
  pump(observer, exchange, Box, Wake, Ending).wait(io.waitScope);
}

void PeersTask::Running::loop(std::promise<Result<void, PeersError>> &started) {
  bool announced = false;
  const auto failure = kj::runCatchingExceptions([&] {
    auto io = kj::setupAsyncIo();
    serve(io, started, announced);
  });
  KJ_IF_MAYBE (it, failure) {
    if (!announced) {
      started.set_value(PeersError{"cannot listen on " + Set.PeerAddress +
                                   ": " + it->getDescription().cStr()});
    }
  }
}

PeersTask::PeersTask(Settings settings,
                     std::function<void(gateway::Message)> toGateway,
                     std::function<void(control::Message)> toControl)
    : Core(std::make_unique<Running>()) {
  Core->Set = std::move(settings);
  Core->ToGateway = std::move(toGateway);
  Core->ToControl = std::move(toControl);
}

PeersTask::~PeersTask() { stop(); }

Result<void, PeersError> PeersTask::start() {
  auto started = std::make_shared<std::promise<Result<void, PeersError>>>();
  auto answer = started->get_future();
  Core->Thread =
      std::thread([running = Core.get(), started] { running->loop(*started); });
  auto result = answer.get();
  if (!result) {
    Core->Thread.join();
  }
  return result;
}

void PeersTask::stop() {
  if (!Core->Thread.joinable()) {
    return;
  }
  Core->Ending = true;
  Core->Wake.raise();
  Core->Thread.join();
}

peers::Inbox &PeersTask::inbox() { return Core->Box; }

} // namespace zinniarail
