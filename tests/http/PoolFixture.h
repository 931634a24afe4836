/// \file
/// A client pool and an upstream that sends the bytes of a test.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "RawConnection.h"
#include "http/ClientPool.h"

namespace zinniarail::http::pool_test {

/// A pool, and an upstream whose responses the test writes itself.
struct PoolFixture {
  explicit PoolFixture(
      std::size_t maxHeldBytes = ClientPool::DefaultMaxHeldBytes)
      : Pool(
            EventLoop.Loop,
            [this](CallId id, CallResult result) {
              Results[id] = std::move(result);
            },
            maxHeldBytes) {}

  Call call(CallId id, const std::string &echo = "") const {
    Call call;
    call.Id = id;
    call.Address = Upstream.Address;
    call.Bytes = "GET /" + std::to_string(id) + " HTTP/1.1\r\nHost: u\r\n\r\n";
    call.EchoHeader = echo.empty() ? "" : "X-Request-Id";
    call.EchoValue = echo;
    return call;
  }

  std::unique_ptr<RawConnection> accept() {
    std::unique_ptr<RawConnection> connection;
    EventLoop.runUntil([&] {
      if (!connection) {
        connection = Upstream.accept();
      }
      return connection != nullptr;
    });
    return connection;
  }

  /// Accepts a connection and waits until its request head has arrived.
  std::unique_ptr<RawConnection> acceptRequest() {
    auto connection = accept();
    EventLoop.runUntil([&] { return connection->has("\r\n\r\n"); });
    return connection;
  }

  bool waitForResult(CallId id) {
    return EventLoop.runUntil([&] { return Results.contains(id); });
  }

  TestLoop EventLoop;
  RawServer Upstream;
  ClientPool Pool;
  std::map<CallId, CallResult> Results;
};

inline std::string response(const std::string &body,
                            const std::string &id = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + "\r\n" +
         body;
}

} // namespace zinniarail::http::pool_test
