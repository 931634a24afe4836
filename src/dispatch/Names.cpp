#include "zinniarail/dispatch/Messages.h"

namespace zinniarail {

const char *nameOf(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::UnknownService:
    return "unknown-service";
  case RefusalReason::NoUpstream:
    return "no-upstream";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::ViewExpired:
    return "view-expired";
  case RefusalReason::KeyMissing:
    return "key-missing";
  case RefusalReason::KeyInUse:
    return "key-in-use";
  case RefusalReason::ClaimUnavailable:
    return "claim-unavailable";
  case RefusalReason::Held:
    return "held";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::UpstreamFailed:
    return "upstream-failed";
  case RefusalReason::Stopping:
    return "stopping";
  }
  return "unnamed";
}

const char *nameOf(Truth truth) {
  switch (truth) {
  case Truth::Ran:
    return "ran";
  case Truth::DidNotRun:
    return "did-not-run";
  case Truth::Unknown:
    return "unknown";
  }
  return "unnamed";
}

} // namespace zinniarail
