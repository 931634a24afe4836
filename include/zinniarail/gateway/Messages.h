/// \file
/// What the gateway task is told by the other tasks of its process. It owns
/// the sockets to callers and upstreams and the services' engines.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/json/object.hpp>

#include "zinniarail/core/Mailbox.h"
#include "zinniarail/dispatch/Messages.h"
#include "zinniarail/membership/View.h"

namespace zinniarail::gateway {

/// A new view is in force; also sent when only ValidUntil moved on.
struct ViewChanged {
  std::shared_ptr<const View> Current;
};
/// The peers task decided on a claim.
struct ClaimAnswer {
  std::string Service;
  ClaimDecided Decision;
};
/// Another home of a service said something.
struct WordArrived {
  std::string Service;
  PeerWord Word;
};
/// The peers task has handed the claims over, or there was nobody to take
/// them; the instance may go once its callers are served.
struct ClaimsHandedOver {};
/// Begin a graceful stop.
struct StopWanted {};
/// Describe the task's state; the callback runs on the gateway's thread.
struct DumpWanted {
  std::function<void(boost::json::object)> Answer;
};
/// Give the trace of a service, none when it isn't recorded; the callback runs
/// on the gateway's thread.
struct TraceWanted {
  std::string Service;
  std::function<void(std::optional<std::string>)> Answer;
};

using Message =
    std::variant<ViewChanged, ClaimAnswer, WordArrived, ClaimsHandedOver,
                 StopWanted, DumpWanted, TraceWanted>;
using Inbox = Mailbox<Message>;

} // namespace zinniarail::gateway
