/// \file
/// How the exchange runs a call to a peer: bounded in time and in number.
#pragma once

#include <utility>

#include "Exchange.h"

namespace zinniarail::peers {

constexpr Duration ProbeTimeout = std::chrono::milliseconds{400};
constexpr Duration RecordTimeout = std::chrono::milliseconds{150};
constexpr Duration HandOverTimeout = std::chrono::seconds{1};
constexpr Duration DocumentTimeout = std::chrono::seconds{2};

inline kj::Duration toKjDuration(Duration duration) {
  return duration.count() * kj::MICROSECONDS;
}

/// Makes a call fail that was answered with nonsense; the call's own failure
/// handler gets it.
[[noreturn]] inline void failCall(const char *reason) {
  kj::throwFatalException({kj::Exception::Type::FAILED, __FILE__, __LINE__,
                           kj::heapString(reason)});
}

template <typename Answer, typename Done, typename Failed>
void Exchange::startCall(std::shared_ptr<Link> link, Duration limit,
                         kj::Promise<Answer> call, Done done, Failed failed) {
  ++link->OpenCalls;
  Tasks.add(
      Clock.timeoutAfter(toKjDuration(limit), kj::mv(call))
          .then(kj::mv(done), [failed = kj::mv(failed)](
                                  kj::Exception &&) mutable { failed(); })
          .attach(kj::defer([link = std::move(link)] { --link->OpenCalls; })));
}

} // namespace zinniarail::peers
