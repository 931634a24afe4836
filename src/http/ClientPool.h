/// \file
/// HTTP/1.1 client with a pool of keep-alive connections. Each call is sent at
/// most once; its outcome says whether any byte of it may have been sent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/beast/core/error.hpp>
#include <ev.h>

#include "http/Message.h"
#include "zinniarail/core/Time.h"

namespace zinniarail::http {

/// Identifies a call. Chosen by the user of the pool; unique among the calls in
/// flight.
using CallId = std::uint64_t;

/// A request to send.
struct Call {
  CallId Id = 0;
  std::string Address; ///< "ip:port"
  std::string Bytes;   ///< The whole request, or its head if there is a Body.
  /// Follows Bytes; shared by all calls for one request. Null: nothing follows.
  std::shared_ptr<const std::string> Body;
  bool IsHead = false; ///< A HEAD request: the response has no body.
  /// Name of the header in which the response must return EchoValue; others
  /// belong to earlier calls and are ignored. Empty: any response is accepted.
  std::string EchoHeader;
  /// Empty: any response is accepted but one with the EchoValue of the last
  /// call on the connection that had one.
  std::string EchoValue;
  /// Connections that were idle for longer are not reused: the peer may have
  /// dropped its end without notice.
  Duration MaxIdleTime = std::chrono::seconds{60};
  bool NewConnection = false; ///< Reuse no connection.
  Duration ConnectTimeout = std::chrono::milliseconds{250};
  /// Time from the start after which an unanswered call ends, as Broken if any
  /// byte of it was sent; Duration::max(): none.
  Duration Timeout = Duration::max();
};

/// Sets the bytes of a call to those of a request, without a copy of a large
/// body.
/// \param extra headers to add to those of the request.
void setRequest(Call &call, const std::shared_ptr<const Request> &request,
                const Headers &extra);

/// How a call ended.
enum class CallOutcome : std::uint8_t {
  Answered, ///< A whole response to this call arrived.
  NotSent,  ///< No byte of the call was sent.
  Broken,   ///< Bytes may have been sent, but no whole response arrived.
};

struct CallResult {
  CallOutcome Outcome = CallOutcome::NotSent;
  http::Response Response; ///< Set if the call was Answered.
  std::string Error;       ///< Cause for logs, unless the call was Answered.
  bool Cancelled = false;
  bool ReusedConnection = false; ///< An earlier call used the connection.
  bool ResponseStarted = false;  ///< At least one response byte arrived.
  bool OpenedConnection = false; ///< The call got a new connection.
  unsigned StrayResponses = 0;   ///< Responses that were not the call's own.
  Duration RoundTrip{0};         ///< Time that the connection took to open.
  /// From when the first byte of the call was sent to its end.
  Duration SinceSent{0};
};

/// Whether a Broken call may not have arrived, because the peer had closed the
/// connection before. Such a call has a reused connection and ends within a
/// round trip; one that ends later was received.
bool mayBeStale(const CallResult &result);

/// Owns the connections. Used on one thread, that of its loop. The handler is
/// called from the loop, never from within start or cancel.
class ClientPool {
public:
  using Handler = std::function<void(CallId, CallResult)>;

  /// Default limit for the bytes of incomplete responses: a fifth of the
  /// smallest instance's memory.
  static constexpr std::size_t DefaultMaxHeldBytes = std::size_t{32} << 20;

  /// \param loop event loop; must outlive the pool.
  /// \param maxHeldBytes limit for the body of one response, and for the bytes
  ///   of all incomplete responses together. Beyond it the call that holds the
  ///   most ends as Broken.
  /// \param budget counts the bytes of responses; null: they are not counted.
  ///   Must outlive the pool and its results. Beyond the limit for responses,
  ///   the largest incomplete one ends as Broken, unless relief helps.
  /// \param relief makes others give way; returns whether any did.
  ClientPool(struct ev_loop *loop, Handler onEnded,
             std::size_t maxHeldBytes = DefaultMaxHeldBytes,
             ByteBudget *budget = nullptr, std::function<bool()> relief = {});
  ~ClientPool();
  ClientPool(const ClientPool &) = delete;
  ClientPool &operator=(const ClientPool &) = delete;

  /// Sets how many connections there may be. Beyond it an idle one makes way,
  /// the one that was idle for longest; without one, the call waits for a
  /// connection to end, in the order of the calls.
  void setMaxConnections(std::size_t most) { MaxConnections = most; }

  /// Starts a call. Its timeouts count from when it has a connection.
  void start(Call call);

  /// Aborts a call and closes its connection; the handler gets its result.
  void cancel(CallId id);

  /// Closes the idle connections to an address.
  void closeIdle(const std::string &address);

  /// Number of open connections, idle ones included.
  std::size_t connections() const { return Connections.size(); }
  std::size_t connections(const std::string &address) const;

  /// Number of calls that wait for a connection.
  std::size_t waitingCalls() const { return Waiting.size(); }

  /// Bytes of incomplete responses that are held in memory.
  std::size_t receivedBytes() const { return HeldBytes; }

private:
  struct Connection;
  struct Endpoint {
    std::vector<Connection *> Idle; ///< The most recently used is last.
    std::size_t OpenConnections = 0;
  };

  Connection *takeIdle(Endpoint &endpoint, Duration maxIdleTime);
  Connection *openConnection(Endpoint &endpoint, const Call &call);
  bool makeRoomForConnection();
  bool startNow(Call &call);
  void startWaiting();
  void assignCall(Connection &connection, Call call);
  void writeTo(Connection &connection);
  void readFrom(Connection &connection);
  bool receive(Connection &connection, bool &closed, int &error);
  void recordHeldBytes(Connection &connection);
  void enforceMaxHeldBytes();
  bool isBudgetExceeded();
  bool parse(Connection &connection);
  bool takeHead(Connection &connection);
  static std::size_t parseSome(Connection &connection,
                               boost::beast::error_code &ec);
  static std::size_t parsedHeadBytes(const Connection &connection);
  void reserveBody(Connection &connection) const;
  void handleResponse(Connection &connection);
  void returnToIdle(Connection &connection);
  void fail(Connection &connection, const std::string &error);
  void postResult(CallId id, CallResult result);
  void closeConnection(Connection &connection);
  void deliverResults();

  struct ev_loop *Loop;
  Handler OnEnded;
  std::size_t MaxHeldBytes;
  std::size_t HeldBytes = 0;
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  ByteBudget *Budget;
  std::function<bool()> Relief;
  ev_async Wake{};
  std::unordered_map<std::string, Endpoint> Endpoints;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<CallId, Connection *> InFlight;
  std::deque<Call> Waiting; ///< Calls without a connection, in their order.
  /// Results of start and cancel that the loop still has to pass to OnEnded.
  std::vector<std::pair<CallId, CallResult>> PendingResults;
};

} // namespace zinniarail::http
