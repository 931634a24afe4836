/// \file
/// Asks other instances for what they know, while this one knows nothing: the
/// store may be out of reach just as it starts.
#pragma once

#include <functional>
#include <set>
#include <string>

#include <ev.h>

#include "fleet/Codec.h"
#include "http/ClientPool.h"
#include "zinniarail/fleet/Members.h"

namespace zinniarail::fleet {

/// Used on one thread, that of its loop.
class CatchUp {
public:
  /// \param loop outlives this.
  /// \param came gets what another instance knows.
  CatchUp(struct ev_loop *loop, std::function<void(const News &)> came);

  /// Asks the next instance that can tell, unless one has time to answer.
  void advance(const Members &members, Instant now);

  /// Nothing more is needed.
  void end();

private:
  void take(http::CallId id, const http::CallResult &result);

  std::function<void(const News &)> Came;
  http::ClientPool Pool;
  http::CallId LastCall = 0;
  bool Asking = false;
  Instant AskedAt{};
  std::set<std::string> Asked; ///< Ids, since each had its turn.
};

} // namespace zinniarail::fleet
