/// \file
/// A connection from a caller and its requests, as http::Server keeps them.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/ParsedFields.h"
#include "http/Server.h"

namespace zinniarail::http {

namespace beast = boost::beast::http;

using Parser = beast::request_parser<beast::string_body>;

/// Unparsed bytes of one connection above which reading pauses, or the limit of
/// a request's head if that is larger: a head is parsed only once it is whole.
constexpr std::size_t MinUnparsedLimit = std::size_t{64} << 10;

/// \param message a Beast message, incomplete or whole.
/// \returns the request without its body.
template <typename Message> Request headOf(const Message &message) {
  Request request;
  request.Method = std::string(message.method_string());
  request.Target = std::string(message.target());
  request.Fields.reserve(countFields(message));
  for (const auto &it : message.base()) {
    request.Fields.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  return request;
}

/// A request and its response; a connection keeps them in order of arrival.
struct Server::Exchange {
  ExchangeId Id = 0;
  std::optional<Request> PendingRequest; ///< Set until it is dispatched.
  bool IsHead = false;
  bool ClosesConnection = false; ///< The response closes the connection.
  std::optional<std::string> ResponseBytes; ///< Set once there is a response.
  std::string ResponseBody; ///< Follows ResponseBytes if it is large.
  Charge ResponseHeld;
};

/// Response bytes that the caller has not read yet.
struct Server::OutputPart {
  std::string Bytes;
  Charge Held;
};

/// A connection from a caller.
struct Server::Connection {

  Server *Owner = nullptr;
  std::uint64_t Id = 0; ///< As Request::Connection.
  int Fd = -1;
  ev_io ReadWatcher{};
  ev_io WriteWatcher{};
  ev_timer Timer{};
  std::string Input;                   ///< Received bytes not parsed yet.
  std::optional<Parser> RequestParser; ///< Set while a request is incomplete.
  std::size_t HeadBytes = 0;           ///< Parsed so far of an incomplete head.
  std::size_t HeadFields = 0; ///< Parsed of RequestParser's head, at least.
  Instant RequestStartedAt{}; ///< When the request's first bytes were parsed.
  std::deque<Exchange> Exchanges;
  std::deque<OutputPart> Output;
  std::size_t OutputSent = 0;  ///< Bytes of the first part of Output.
  std::size_t OutputBytes = 0; ///< Of Output, without OutputSent.
  Charge SmallRoom;            ///< For all but dispatched requests and Output.
  Charge LargeRoom;            ///< For the body of an incomplete request.
  bool AwaitsTurn = false;     ///< Reading pauses until others had their turn.
  bool AwaitsRoom = false;     ///< Reading pauses until LargeRoom suffices.
  Instant RoomAwaitedSince{};
  Instant InputProgressAt{};     ///< See Holder::LastProgressAt.
  std::size_t InputProgress = 0; ///< Bytes received since.
  Instant OutputProgressAt{};
  std::size_t OutputProgress = 0; ///< Bytes sent since.
  bool Closing = false;   ///< Further input is discarded; closes after Output.
  bool Lingering = false; ///< Output is shut down, input still discarded.
  Instant LastActiveAt{}; ///< Time of the last input or emptied Output.

  /// Whether nothing that follows will be parsed.
  bool takesNoRequests() const {
    return Closing || (!Exchanges.empty() && Exchanges.back().ClosesConnection);
  }
  bool hasPendingRequest() const {
    return !Exchanges.empty() && Exchanges.back().PendingRequest.has_value();
  }
  /// Response bytes that the caller has not read, also those that wait for
  /// earlier responses.
  std::size_t unreadBytes() const {
    std::size_t out = OutputBytes;
    for (const Exchange &it : Exchanges) {
      out += it.ResponseHeld.bytes();
    }
    return out;
  }
  /// Memory of whole requests that were not dispatched yet.
  std::size_t pendingBytes() const {
    std::size_t out = 0;
    for (auto it = Exchanges.rbegin();
         it != Exchanges.rend() && it->PendingRequest; ++it) {
      out += it->PendingRequest->Held.bytes();
    }
    return out;
  }
};

} // namespace zinniarail::http
