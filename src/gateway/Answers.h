/// \file
/// The answers that the gateway gives by itself: refusals and resolve answers.
#pragma once

#include <string>

#include "gateway/Http.h"
#include "zinniarail/core/Time.h"
#include "zinniarail/dispatch/Messages.h"
#include "zinniarail/membership/View.h"

namespace zinniarail::gateway {

/// The status of a refusal.
unsigned statusOf(RefusalReason reason);

/// A refusal with what is known of whether the request ran.
/// \param retryAfter when to come back; 0: coming back is of no use, or at
/// once.
Answer makeRefusal(RefusalReason reason, Truth truth, Duration retryAfter);

/// The answer to a request that is not understood; it did not run.
/// \param message what is wrong, naming the field.
Answer makeMalformed(const std::string &message);

/// The answer to a request whose body is over BodyLimit.
Answer makeTooLarge();

/// The answer to a request whose head is over HeadLimit.
Answer makeTooLong();

/// An answer in the bytes of HTTP/1.1, as the last of its connection.
std::string printAnswer(const Answer &content);

/// Which instances to use for a service, its homes first. Names none that
/// leaves or whose domain is out of service.
Answer makeResolved(const View &view, const ServiceSpec &service);

} // namespace zinniarail::gateway
