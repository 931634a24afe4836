/// \file
/// What the peers task is told by the other tasks of its process. It owns the
/// connections between instances and the claims this instance holds.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/json/object.hpp>

#include "zinniarail/core/Mailbox.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/dispatch/Messages.h"
#include "zinniarail/membership/View.h"

namespace zinniarail::peers {

/// A new view is in force here.
struct ViewChanged {
  std::shared_ptr<const View> Current;
};
/// The gateway asks for a claim; answered by gateway::ClaimAnswer.
struct ClaimWanted {
  std::string Service;
  RequestId Request;
  std::string Key;
  Instant Deadline{};
};
/// The gateway has a word for a service's other homes.
struct WordForHomes {
  std::string Service;
  PeerWord Word;
};
/// The control task lacks a document that a peer has; answered by
/// control::DocumentFetched.
struct FetchDocument {
  std::string Instance;
  std::uint64_t Version = 0;
};
/// The platform's answer to control::ReadRoster and control::WriteRoster.
struct RosterRead {
  bool Reached = false;      ///< False: unknown, also after a lost answer.
  std::uint64_t Version = 0; ///< Of the object; 0 when there is none yet.
  std::string Bytes;
};
/// A key was granted to this request, which was never dispatched nor will be:
/// another send may have it.
struct ClaimReleased {
  std::string Service;
  RequestId Request;
};
/// This instance stops: tell the peers and hand the claims over. Answered by
/// gateway::ClaimsHandedOver.
struct StopBegun {};
/// Describe the task's state; the callback runs on the peers task's thread.
struct DumpWanted {
  std::function<void(boost::json::object)> Answer;
};

using Message =
    std::variant<ViewChanged, ClaimWanted, WordForHomes, FetchDocument,
                 RosterRead, ClaimReleased, StopBegun, DumpWanted>;
using Inbox = Mailbox<Message>;

} // namespace zinniarail::peers
