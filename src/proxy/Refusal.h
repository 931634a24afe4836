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

http::Response makeRefusal(const RequestEnd &end);

/// The HTTP status of a refusal.
unsigned statusOf(balance::RefusalReason reason, balance::Execution execution);

} // namespace zinniarail::proxy
