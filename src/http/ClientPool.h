/// \file
/// Sends whole requests over kept connections and takes whole responses. Each
/// call is sent once; how it ended says whether a byte of it can have left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <ev.h>

#include "http/Message.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::http {

/// One call, unique among those that run.
using CallId = std::uint64_t;

/// What to send and where.
struct Call {
  CallId Id = 0;
  std::string Address; ///< "ip:port"
  std::string Bytes;   ///< The whole request.
  bool IsHead = false; ///< Its response has no body.
  /// The response must carry this field with this value; others that arrive
  /// first answer earlier calls and are dropped. Empty name: any response.
  std::string EchoName;
  std::string EchoValue;
  /// Kept connections that rested longer are not used: the peer may have
  /// forgotten them.
  Duration LongestRest = std::chrono::seconds{60};
  Duration ConnectTimeout = std::chrono::milliseconds{250};
};

/// How a call ended.
enum class Ending : std::uint8_t {
  Answered, ///< A whole response of its own.
  NotSent,  ///< No byte of it left.
  Broken,   ///< A byte may have left, and no whole response came.
};

struct CallResult {
  Ending How = Ending::NotSent;
  http::Response Response; ///< Where Answered.
  std::string Error;       ///< For logs, where not Answered.
  bool Cancelled = false;
  bool OnKept = false;   ///< It went over a connection that was used before.
  bool AnyBytes = false; ///< Something of a response came.
  bool Opened = false;   ///< A connection was opened for it.
};

/// Owns the connections. Used on one thread, that of its loop. The handler is
/// called from the loop, never from within start or cancel.
class ClientPool {
public:
  using Handler = std::function<void(CallId, CallResult)>;

  /// \param loop outlives the pool.
  ClientPool(struct ev_loop *loop, Handler ended);
  ~ClientPool();
  ClientPool(const ClientPool &) = delete;
  ClientPool &operator=(const ClientPool &) = delete;

  void start(Call call);

  /// Gives a call up and closes its connection.
  void cancel(CallId id);

  /// Closes the resting connections of an address.
  void closeIdle(const std::string &address);

  /// Open connections, resting ones included.
  std::size_t connections() const { return Open.size(); }
  std::size_t connections(const std::string &address) const;

private:
  struct Connection;
  struct Endpoint {
    std::vector<Connection *> Idle; ///< The last used is the last.
    std::size_t Open = 0;
  };

  Connection *takeIdle(Endpoint &endpoint, Duration longestRest);
  Connection *open(Endpoint &endpoint, const Call &call);
  void begin(Connection &connection, Call call);
  void writeTo(Connection &connection);
  void readFrom(Connection &connection);
  bool receive(Connection &connection, bool &ended, int &error);
  bool parse(Connection &connection);
  void finish(Connection &connection);
  void rest(Connection &connection);
  void fail(Connection &connection, const std::string &error);
  void post(CallId id, CallResult result);
  void drop(Connection &connection);
  void deliver();

  struct ev_loop *Loop;
  Handler Ended;
  ev_async Wake{};
  std::unordered_map<std::string, Endpoint> Endpoints;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Open;
  std::unordered_map<CallId, Connection *> Running;
  std::vector<std::pair<CallId, CallResult>> Results;
};

} // namespace zinniarail::http
