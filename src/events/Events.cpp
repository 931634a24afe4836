#include "zinniarail/events/Events.h"

#include "events/BoundedAppender.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace zinniarail {

namespace {

// Size of the buffer for lines that the reader has not yet accepted.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} << 10;

constexpr double MicrosPerMillisecond = 1e3;

// The appender of the log, owned by the logger; null before openLog.
BoundedAppender *Appender = nullptr;

constexpr EventKind Kinds[]{
    {EventId::Started, "started", EventLevel::Info,
     "The ports are bound. The instance serves requests once a configuration "
     "is in force."},
    {EventId::PortUnusable, "port-unusable", EventLevel::Error,
     "A port could not be bound; the process exits with code 1. Check whether "
     "another process uses the port or the address is wrong."},
    {EventId::StopBegan, "stop-began", EventLevel::Info,
     "A graceful stop began: SIGTERM, SIGINT or POST /drain."},
    {EventId::Stopped, "stopped", EventLevel::Info,
     "The graceful stop is complete; every request has its answer. Those "
     "that it broke off at upstreams are in `request-failed`, with reason "
     "`stopping`."},
    {EventId::StopCutShort, "stop-cut-short", EventLevel::Error,
     "Callers had not read all their responses when --stop-timeout was "
     "nearly over; the process exits with code 1. Look for callers that "
     "do not read, or raise the timeout. Requests that could not be "
     "served before are refused with reason `stopping`."},
    {EventId::SettingsKept, "settings-kept", EventLevel::Info,
     "SIGHUP was received; settings do not change until the process restarts."},
    {EventId::DocumentInForce, "document-in-force", EventLevel::Info,
     "A different configuration is in force on this instance. The fields give "
     "its version and the previous one."},
    {EventId::DocumentRefused, "document-refused", EventLevel::Warn,
     "The configuration in the store has no version, listeners or clusters; "
     "the "
     "previous one stays in force. Write a valid one."},
    {EventId::DomainOut, "domain-out", EventLevel::Info,
     "A failure domain is out of service; the change is in effect on this "
     "instance."},
    {EventId::DomainIn, "domain-in", EventLevel::Info,
     "A failure domain is back in service; the change is in effect on this "
     "instance."},
    {EventId::PlatformLost, "platform-lost", EventLevel::Warn,
     "A call to the store failed. The last known state stays in force, and the "
     "store is retried until it answers; see \"When the store is down\" in "
     "OPERATIONS.md."},
    {EventId::PlatformBack, "platform-back", EventLevel::Info,
     "The store answers again; all its data is read again. The fields give the "
     "number of failed health checks, and whether removals of upstreams wait, "
     "since registrations may have expired in the outage."},
    {EventId::DutyChanged, "duty-changed", EventLevel::Info,
     "The instance changed its role: it reads the platform's store for its "
     "failure domain, follows an instance that does, or waits for one."},
    {EventId::CaughtUp, "caught-up", EventLevel::Info,
     "The instance had no state yet and received that of another instance."},
    {EventId::RegistrationUnreadable, "registration-unreadable",
     EventLevel::Warn,
     "An entry in the store does not describe a usable upstream or "
     "instance and is ignored; the others hold. `in_all` counts such "
     "entries since the start; one line a second at most. Check what "
     "wrote it."},
    {EventId::MessagesUnreadable, "messages-unreadable", EventLevel::Warn,
     "Messages received in the last second could not be decoded and were "
     "dropped; the field gives their number. Look for an instance of another "
     "version, or another program that sends to the port."},
    {EventId::ConnectionNotTaken, "connection-not-taken", EventLevel::Warn,
     "A connection could not be accepted, most likely because the process has "
     "no free file descriptors; accepting is retried."},
    {EventId::StoreRestored, "store-restored", EventLevel::Warn,
     "The store was restored from an older copy. What was in force stays so, "
     "all data is read again, and upstreams that had left before stay out of "
     "use; see \"When the store comes back from a copy\" in OPERATIONS.md."},
    {EventId::StoreRead, "store-read", EventLevel::Info,
     "A list or a watch of the store ended. The fields give its kind, its "
     "result, the number of objects, the store revision that they reflect, "
     "and how long the call took."},
    {EventId::PollAbandoned, "poll-abandoned", EventLevel::Warn,
     "The reader that this instance follows says that it has sent news which "
     "did not arrive: the connection to it may have gone silent, and the poll "
     "starts again on a new one. The fields give the channel, the sequence "
     "that the instance has, that of the reader, and for how long it has been "
     "behind. "
     "If this repeats, look at the network between the two."},
    {EventId::UpdateReceived, "update-received", EventLevel::Info,
     "The first update arrived from a reader that this instance has begun to "
     "follow. The fields give the reader, the size of the update, the parts in "
     "it, whether these are complete or only what changed, and how long the "
     "instance waited for it."},
    {EventId::UpdatesDeferred, "updates-deferred", EventLevel::Info,
     "This instance reads the store for others and made some of them wait for "
     "updates, so that updates leave bandwidth on its link for other messages. "
     "Logged at most once a second. The fields give the number of followers "
     "that wait, the updates that were sent late, their size, and the longest "
     "wait."},
    {EventId::OutageCleared, "outage-cleared", EventLevel::Info,
     "The store answered other instances during the outage that ended last: no "
     "registration has expired in it, and removals wait no more. The field "
     "gives the time since its end."},
    {EventId::RequestServed, "request-served", EventLevel::Info,
     "A request was answered in time. Under load only some of these are "
     "listed; see requests-not-listed."},
    {EventId::RequestSlow, "request-slow", EventLevel::Info,
     "A request was answered successfully, but late or not by its first "
     "attempt."},
    {EventId::RequestRefused, "request-refused", EventLevel::Warn,
     "A request was refused; it did not run. The fields give the state of the "
     "upstreams as known to the instance and when the caller may retry."},
    {EventId::RequestFailed, "request-failed", EventLevel::Warn,
     "A request ended with an upstream's error, or without a complete "
     "response although it may have run."},
    {EventId::RequestGone, "request-gone", EventLevel::Info,
     "The caller closed its connection before it got a response."},
    {EventId::RequestsNotListed, "requests-not-listed", EventLevel::Info,
     "Some request-served lines were omitted in the last second; the field "
     "gives their number."},
    {EventId::UpstreamEjected, "upstream-ejected", EventLevel::Warn,
     "An upstream failed or could not be reached, and gets no requests until a "
     "health check succeeds."},
    {EventId::UpstreamBack, "upstream-back", EventLevel::Info,
     "A health check of an ejected upstream succeeded."},
    {EventId::UpstreamCold, "upstream-cold", EventLevel::Info,
     "An upstream is cold and gets only a low rate of requests until it has "
     "warmed up."},
    {EventId::BudgetSpent, "budget-spent", EventLevel::Warn,
     "A request was not sent to a second upstream because the retry budget is "
     "exhausted. Logged once until the budget allows a retry again."},
    {EventId::RequestsCondemned, "requests-condemned", EventLevel::Warn,
     "Requests with this fingerprint crash the upstreams that run them and are "
     "refused from now on."},
    {EventId::UpstreamRefusing, "upstream-refusing", EventLevel::Info,
     "An upstream refused a request and stated for how long it wants no "
     "others; it gets neither requests nor health checks meanwhile."},
    {EventId::UpstreamLeaving, "upstream-leaving", EventLevel::Info,
     "An upstream announced in its responses that it leaves; it gets no new "
     "requests, whatever the store says. Only its next incarnation is used."},
    {EventId::RetryAfterUnreadable, "retry-after-unreadable", EventLevel::Warn,
     "An upstream refused a request with a Retry-After that is not a number of "
     "seconds, and the field is ignored. Logged at most once a second."},
    {EventId::UpstreamsUnreachable, "upstreams-unreachable", EventLevel::Warn,
     "This instance can't reach any upstream of a service, or of all. Requests "
     "are relayed to other instances, and callers are sent to these if it "
     "reaches none at all. Check the network between this instance and the "
     "upstreams."},
    {EventId::UpstreamsReachable, "upstreams-reachable", EventLevel::Info,
     "This instance can reach an upstream of a service, or of any, again."},
    {EventId::UpstreamsChanged, "upstreams-changed", EventLevel::Info,
     "Upstreams were registered or removed, or changed their state."},
    {EventId::InstanceFound, "instance-found", EventLevel::Info,
     "Another instance of the failure domain is live."},
    {EventId::InstanceLost, "instance-lost", EventLevel::Warn,
     "Another instance of the failure domain was unresponsive for too long or "
     "is leaving; callers are no longer sent there."},
    {EventId::CrashChecked, "crash-checked", EventLevel::Info,
     "A request's connection broke, and a health check found out whether its "
     "upstream had crashed. The fields give the upstream, the fingerprint of "
     "the request, how long it had run, whether its connection had been "
     "kept, and the verdict: reached (the upstream still runs), gone (it "
     "crashed; the request is suspect), or skipped (no health check was "
     "sent)."},
    {EventId::UpstreamLimited, "upstream-limited", EventLevel::Info,
     "An upstream named a limit on the requests that it takes from all "
     "instances together, or its limit has ended. Few instances use a small "
     "limit; the field why says whether this one does."},
    {EventId::LinesDropped, "lines-dropped", EventLevel::Warn,
     "Log lines were dropped before this one because the reader was too slow; "
     "the field gives their number."},
    {EventId::MemoryShort, "memory-short", EventLevel::Warn,
     "Callers or upstreams made this instance hold as many bytes as it may, "
     "and some of them gave way in the last second: requests that had not run "
     "were refused, or connections were closed. The fields give their numbers "
     "and "
     "the bytes held of each kind. Look at what callers send; see "
     "OPERATIONS.md."},
    {EventId::RolloutChanged, "rollout-changed", EventLevel::Info,
     "An order for a roll-out, or its status in the store, changed. The fields "
     "give the service, the version that gets the traffic, the state and the "
     "part of the requests that go to that version."},
    {EventId::RolloutSuspended, "rollout-suspended", EventLevel::Warn,
     "The new version is worse than the old one: this instance sends nothing "
     "more to it, whatever the store says of the roll-out. The field why says "
     "what was seen."},
    {EventId::RolloutDecided, "rollout-decided", EventLevel::Info,
     "This instance writes the next status of a roll-out to the store. The "
     "field why says what the decision rests on."},
    {EventId::CreditLenderChanged, "credit-lender-changed", EventLevel::Info,
     "This instance lends its share of the customers' limits to another "
     "instance from now on, or lends itself; none: it knows no lender, and "
     "has only its own share."},
    {EventId::DocumentDoubtful, "document-doubtful", EventLevel::Warn,
     "The configuration that came into force has entries that have no effect "
     "or contradict each other. The fields give its version, the number of "
     "errors and warnings, and the first of them; `zinniarail-check` lists "
     "all, also before a configuration is sent."},
    {EventId::DocumentPartlyRead, "document-partly-read", EventLevel::Warn,
     "The configuration that came into force has entries that can't be read; "
     "the rest is in force. The fields give its version, the number of errors "
     "and the first of them; the state dump of the instance that reads the "
     "store lists more. See \"Entries that can't be read\" in OPERATIONS.md."},
};

log4cplus::LogLevel toLog4cplusLevel(EventLevel level) {
  switch (level) {
  case EventLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case EventLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case EventLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case EventLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Initializer &initializer() {
  static log4cplus::Initializer it;
  return it;
}

const log4cplus::Logger &logger() {
  initializer();
  static log4cplus::Logger it = log4cplus::Logger::getInstance("zinniarail");
  return it;
}

// Appends a value, quoted if it is empty or contains separators. Control
// characters become spaces so that an event stays on one line.
void appendValue(std::string &out, const std::string &value) {
  const bool plain = !value.empty() &&
                     value.find_first_of(" =\"\\\n\r\t") == std::string::npos;
  if (plain) {
    out += value;
    return;
  }
  out += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  out += '"';
}

template <typename Fields> void writeEvent(EventId id, const Fields &fields) {
  const EventKind &kind = findEventKind(id);
  const log4cplus::LogLevel level = toLog4cplusLevel(kind.Level);
  if (!logger().isEnabledFor(level)) {
    return;
  }
  std::string line = "event=" + std::to_string(static_cast<unsigned>(id)) +
                     " name=" + kind.Name;
  for (const Field &it : fields) {
    line += ' ';
    line += it.Key;
    line += '=';
    appendValue(line, it.Value);
  }
  logger().log(level, line);
}

} // namespace

std::span<const EventKind> eventKinds() { return Kinds; }

const EventKind &findEventKind(EventId id) {
  return *std::find_if(std::begin(Kinds), std::end(Kinds),
                       [&](const EventKind &it) { return it.Id == id; });
}

void openLog(const std::string &level, int fd) {
  log4cplus::Logger log = logger();
  Appender = new BoundedAppender(fd, MaxBufferedBytes);
  const log4cplus::SharedAppenderPtr owned(Appender);
  owned->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  log.removeAllAppenders();
  log.addAppender(owned);
  log.setAdditivity(false);
  std::string upper = level;
  std::transform(upper.begin(), upper.end(), upper.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  log.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void flushLog() {
  if (Appender != nullptr) {
    Appender->flush();
  }
}

std::uint64_t droppedLineCount() {
  return Appender == nullptr ? 0 : Appender->counts().Dropped;
}

bool isLogged(EventId id) {
  return logger().isEnabledFor(toLog4cplusLevel(findEventKind(id).Level));
}

void logEvent(EventId id, std::initializer_list<Field> fields) {
  writeEvent(id, fields);
}

void logEvent(EventId id, const std::vector<Field> &fields) {
  writeEvent(id, fields);
}

void logEvent(EventId id, const std::string &text) {
  logEvent(id, {Field("text", text)});
}

Field::Field(const char *key, Duration value)
    : Field(key, static_cast<double>(value.count()) / MicrosPerMillisecond) {}

Field::Field(const char *key, double value) : Key(key) {
  std::array<char, 32> text;
  constexpr int digits = 2;
  const auto [end, ec] = std::to_chars(text.data(), text.data() + text.size(),
                                       value, std::chars_format::fixed, digits);
  Value.assign(text.data(), ec == std::errc{} ? end : text.data());
}

} // namespace zinniarail
