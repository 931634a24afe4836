/// \file
/// Responses of an instance's own, that refuse a request.
#pragma once

#include "http/Message.h"
#include "proxy/RequestLog.h"
#include "zinniarail/balance/Messages.h"

namespace zinniarail::proxy {

// Header names of a refusal.
constexpr const char *OutcomeHeader = "X-Zinniarail-Outcome";
constexpr const char *ReasonHeader = "X-Zinniarail-Reason";

/// Marks a request that another instance relayed.
constexpr const char *RelayedHeader = "X-Zinniarail-Relayed";

/// The configuration version in force on the instance that relays a request.
/// Another instance takes it only with the same version in force.
constexpr const char *VersionHeader = "X-Zinniarail-Version";

/// Name of the customer of a relayed request, and the proof that an instance
/// relays it; see RelayProof.h.
constexpr const char *CustomerHeader = "X-Zinniarail-Customer";
constexpr const char *ProofHeader = "X-Zinniarail-Customer-Proof";

/// Reason for which a relayed request is refused by an instance with another
/// version in force.
constexpr const char *VersionMismatch = "version-mismatch";

http::Response makeRefusal(const RequestEnd &end);

/// The HTTP status of a refusal.
unsigned statusOf(balance::RefusalReason reason, balance::Execution execution);

} // namespace zinniarail::proxy
