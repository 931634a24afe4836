#include <boost/test/unit_test.hpp>

#include "FakeUpstream.h"
#include "gateway/CallerServer.h"

using namespace zinniarail;
using namespace zinniarail::gateway;

namespace {

/// A caller port whose requests are counted and answered at once.
class Counted {
public:
  Counted(const std::string &address, Duration quietLimit)
      : OwnedLoop(ev_loop_new(EVFLAG_AUTO)), Loop(OwnedLoop.get()),
        Server(Loop, address,
               {[this](std::uint64_t id, const std::shared_ptr<Request> &) {
                  ++Arrived;
                  Server.answer(id, {.Status = 200, .Body = "hello"});
                },
                [](std::uint64_t) {}},
               quietLimit) {
    ev_async_init(&Wake, [](struct ev_loop *, ev_async *, int) {});
    ev_async_start(Loop, &Wake);
    Thread = std::thread([this] { serve(); });
  }

  ~Counted() {
    Ending = true;
    ev_async_send(Loop, &Wake);
    Thread.join();
    ev_async_stop(Loop, &Wake);
  }

  std::atomic<int> Arrived{0};

private:
  struct LoopDelete {
    void operator()(struct ev_loop *it) const { ev_loop_destroy(it); }
  };

  void serve() {
    while (!Ending) {
      while (Server.run()) {
      }
      ev_run(Loop, EVRUN_ONCE);
    }
  }

  std::unique_ptr<struct ev_loop, LoopDelete> OwnedLoop;
  struct ev_loop *Loop;
  ev_async Wake{};
  CallerServer Server;
  std::atomic<bool> Ending{false};
  std::thread Thread;
};

} // namespace

// Whichever of the two comes first, a request that is read is answered.
BOOST_AUTO_TEST_CASE(aRequestThatMeetsTheQuietLimitIsAnsweredOrNeverRead) {
  constexpr int callers = 200;
  const std::string request = "GET /s/x HTTP/1.1\r\nHost: x\r\n\r\n";
  std::uint16_t port = 0;
  close(listenAt(testAddress(10), port));
  Counted server(testAddress(10) + ":" + std::to_string(port),
                 std::chrono::seconds{1});
  std::vector<int> open;
  int answered = 0;
  for (int n = 0; n < callers; ++n) {
    open.push_back(connectTo(testAddress(10), port));
    sendAll(open.back(), request);
    answered += receiveMessage(open.back()).ends_with("hello") ? 1 : 0;
  }
  BOOST_TEST(answered == callers);
  // From well before to well after the limit of the callers in turn.
  std::this_thread::sleep_for(std::chrono::milliseconds{900});
  for (const int fd : open) {
    sendAll(fd, request);
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  for (const int fd : open) {
    answered += receiveMessage(fd).ends_with("hello") ? 1 : 0;
    close(fd);
  }
  BOOST_TEST(server.Arrived == answered);
  BOOST_TEST_MESSAGE(answered - callers << " of " << callers
                                        << " second requests answered");
}
