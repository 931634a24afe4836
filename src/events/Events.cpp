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

// Lines that wait for a slow reader.
constexpr std::size_t KeptBytes = std::size_t{256} << 10;

constexpr double MicrosPerMillisecond = 1e3;

// Owned by the logger.
BoundedAppender *Appender = nullptr;

constexpr EventKind Kinds[]{
    {EventId::Started, "started", EventLevel::Info,
     "The ports are bound. The instance serves once a configuration is in "
     "force."},
    {EventId::PortUnusable, "port-unusable", EventLevel::Error,
     "A port could not be bound; the process exits with code 1. Look for "
     "another process on it, or a wrong address."},
    {EventId::StopBegan, "stop-began", EventLevel::Info,
     "A graceful stop began: SIGTERM, SIGINT or POST /drain."},
    {EventId::Stopped, "stopped", EventLevel::Info,
     "The graceful stop is done; no request was cut off."},
    {EventId::StopCutShort, "stop-cut-short", EventLevel::Error,
     "The stop took longer than --stop-timeout-ms and cut requests off; the "
     "process exits with code 1. Give it more time, or look for callers that "
     "do not read."},
    {EventId::SettingsKept, "settings-kept", EventLevel::Info,
     "SIGHUP came; the settings in force stay until the process starts anew."},
    {EventId::DocumentInForce, "document-in-force", EventLevel::Info,
     "Another configuration is in force here: its version and the one before."},
    {EventId::DocumentRefused, "document-refused", EventLevel::Warn,
     "The store has a configuration that can't be used; the one in force "
     "stays. "
     "Write a valid one."},
    {EventId::DomainOut, "domain-out", EventLevel::Info,
     "A failure domain is out of service, in force here."},
    {EventId::DomainIn, "domain-in", EventLevel::Info,
     "A failure domain is back in service, in force here."},
    {EventId::PlatformLost, "platform-lost", EventLevel::Warn,
     "The store failed a call. What is known stays in force and the store is "
     "asked again until it answers; see \"When the store is down\" in "
     "OPERATIONS.md."},
    {EventId::PlatformBack, "platform-back", EventLevel::Info,
     "The store answers again; everything is read anew."},
    {EventId::DutyChanged, "duty-changed", EventLevel::Info,
     "The instance reads the platform's store for its failure domain, follows "
     "another that does, or waits for one."},
    {EventId::CaughtUp, "caught-up", EventLevel::Info,
     "The instance knew nothing and got what another one knows."},
    {EventId::RegistrationUnreadable, "registration-unreadable",
     EventLevel::Warn,
     "An entry of the store names no upstream or instance that could be used; "
     "it is passed over. Look at who wrote it."},
    {EventId::MessagesUnreadable, "messages-unreadable", EventLevel::Warn,
     "So many messages of other instances in the last second made no sense and "
     "were dropped. Look for another version, or another program on the port."},
    {EventId::ConnectionNotTaken, "connection-not-taken", EventLevel::Warn,
     "A connection could not be accepted, most likely for want of "
     "descriptors; the next turn tries again."},
    {EventId::RequestServed, "request-served", EventLevel::Info,
     "A request got its answer in time. Only some of these are listed under "
     "load; see requests-not-listed."},
    {EventId::RequestSlow, "request-slow", EventLevel::Info,
     "A request got a good answer, but late, or not from its first try."},
    {EventId::RequestRefused, "request-refused", EventLevel::Warn,
     "A request was refused; it did not run. The fields say what the instance "
     "knew of the upstreams and when the caller may come back."},
    {EventId::RequestFailed, "request-failed", EventLevel::Warn,
     "A request ended with an upstream's error, or without a whole answer "
     "though it may have run."},
    {EventId::RequestGone, "request-gone", EventLevel::Info,
     "The caller closed its connection before the answer."},
    {EventId::RequestsNotListed, "requests-not-listed", EventLevel::Info,
     "So many requests-served lines were left out in the last second."},
    {EventId::UpstreamEjected, "upstream-ejected", EventLevel::Warn,
     "An upstream gets no requests until a health check succeeds: it failed, "
     "or could not be reached."},
    {EventId::UpstreamBack, "upstream-back", EventLevel::Info,
     "A health check of an ejected upstream succeeded."},
    {EventId::UpstreamCold, "upstream-cold", EventLevel::Info,
     "An upstream is cold and gets few requests for a while."},
    {EventId::BudgetSpent, "budget-spent", EventLevel::Warn,
     "A request was not sent to a second upstream, since the budget of "
     "repeats is spent. Told once until there is some again."},
    {EventId::RequestsCondemned, "requests-condemned", EventLevel::Warn,
     "Requests with this fingerprint crash the upstreams that run them and are "
     "refused from now on."},
    {EventId::UpstreamsChanged, "upstreams-changed", EventLevel::Info,
     "Upstreams were registered or removed, or changed their state."},
    {EventId::InstanceFound, "instance-found", EventLevel::Info,
     "Another instance of the failure domain lives."},
    {EventId::InstanceLost, "instance-lost", EventLevel::Warn,
     "Another instance of the failure domain was silent for too long, or "
     "leaves; callers are no longer sent there."},
    {EventId::LinesDropped, "lines-dropped", EventLevel::Warn,
     "So many lines were dropped before this one, since nobody took them."},
};

log4cplus::LogLevel levelOf(EventLevel level) {
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

// Quotes a value where a reader could not tell its end.
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

template <typename Fields> void write(EventId id, const Fields &fields) {
  const EventKind &kind = kindOf(id);
  const log4cplus::LogLevel level = levelOf(kind.Level);
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

const EventKind &kindOf(EventId id) {
  return *std::find_if(std::begin(Kinds), std::end(Kinds),
                       [&](const EventKind &it) { return it.Id == id; });
}

void openLog(const std::string &level, int fd) {
  log4cplus::Logger log = logger();
  Appender = new BoundedAppender(fd, KeptBytes);
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

std::uint64_t droppedLines() {
  return Appender == nullptr ? 0 : Appender->counts().Dropped;
}

bool isLogged(EventId id) {
  return logger().isEnabledFor(levelOf(kindOf(id).Level));
}

void logEvent(EventId id, std::initializer_list<Field> fields) {
  write(id, fields);
}

void logEvent(EventId id, const std::vector<Field> &fields) {
  write(id, fields);
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
