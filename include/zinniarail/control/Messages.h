/// \file
/// What the control task is told by the other tasks of its process. It owns
/// the connection to the platform, decides which document is in force and who
/// lives, and posts views.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/json/object.hpp>

#include "zinniarail/core/Mailbox.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/dispatch/Messages.h"
#include "zinniarail/membership/Instance.h"
#include "zinniarail/membership/View.h"

namespace zinniarail::control {

/// A peer said something: it lives, and this is what it knows.
struct PeerSeen {
  Instance Peer;
  std::uint64_t Version = 0; ///< Of the document in force there.
  /// How old that peer's proof is that the version is the platform's current
  /// one; Duration::max() when it has none.
  Duration ConfirmedAge{};
  /// When this process sent the question that the peer answered: what the peer
  /// says is at least this fresh. The default is for words of unknown age (an
  /// incoming call may have waited in a buffer while this process was stopped);
  /// they tell who lives and which version exists, but prove nothing current.
  Instant AskedAt{};
};
/// A peer answers no more.
struct PeerLost {
  std::string Instance;
};
/// A peer gave the document that was asked for.
struct DocumentFetched {
  std::string Instance;
  std::uint64_t Version = 0;
  std::string Bytes;
};
/// Read the claim roster, "environments/NAME/roster"; answered by
/// peers::RosterRead.
struct ReadRoster {};
/// Write the claim roster with If-Match, or create it when Version is 0;
/// answered by peers::RosterRead with what is stored after that.
struct WriteRoster {
  std::uint64_t Version = 0; ///< The object's version that it replaces.
  std::string Bytes;
};
/// This instance stops: it is leaving from now on.
struct StopBegun {};
/// Describe the task's state; the callback runs on the control task's thread.
struct DumpWanted {
  std::function<void(boost::json::object)> Answer;
};

using Message = std::variant<PeerSeen, PeerLost, DocumentFetched, ReadRoster,
                             WriteRoster, StopBegun, DumpWanted>;
using Inbox = Mailbox<Message>;

} // namespace zinniarail::control
