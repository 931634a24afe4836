#include "zinniarail/events/Events.h"

#include <algorithm>
#include <array>
#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace zinniarail {

namespace {

constexpr EventKind Kinds[]{
    {EventId::Started, "started", EventLevel::Info,
     "The ports are bound. The instance serves once a document is in force."},
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
    {EventId::ViewInForce, "view-in-force", EventLevel::Info,
     "Another version of the document, or other instances, are in force."},
    {EventId::ViewConfirmed, "view-confirmed", EventLevel::Debug,
     "The view in force was confirmed; nothing else changed."},
    {EventId::ViewExpired, "view-expired", EventLevel::Warn,
     "The instance cannot prove that its document is current and refuses "
     "requests. Look at the platform and at the other instances; after a "
     "pause of the process it mends by itself."},
    {EventId::ViewValidAgain, "view-valid-again", EventLevel::Info,
     "The view was confirmed after it had expired."},
    {EventId::DocumentInForce, "document-in-force", EventLevel::Info,
     "Another document is in force here; its version, the one before and "
     "its change id."},
    {EventId::DocumentRefused, "document-refused", EventLevel::Warn,
     "The platform has a version that is no valid document here; the one "
     "in force stays. Apply a valid document."},
    {EventId::DomainOut, "domain-out", EventLevel::Info,
     "A failure domain is out of service, in force here."},
    {EventId::DomainIn, "domain-in", EventLevel::Info,
     "A failure domain is back in service, in force here."},
    {EventId::PlatformLost, "platform-lost", EventLevel::Warn,
     "Two reads in a row had no answer of the platform. The instance goes "
     "on with what peers confirm; see \"When the platform is down\" in "
     "OPERATING.md."},
    {EventId::PlatformBack, "platform-back", EventLevel::Info,
     "The platform answers again."},
    {EventId::ReadingBegan, "reading-began", EventLevel::Info,
     "The instance reads documents from the platform."},
    {EventId::ReadingEnded, "reading-ended", EventLevel::Info,
     "The instance hears of documents from peers; others read them."},
    {EventId::DutyChanged, "duty-changed", EventLevel::Info,
     "The instance reads the platform's store for its failure domain, follows "
     "another that does, or waits for one."},
    {EventId::AttemptBroken, "attempt-broken", EventLevel::Debug,
     "An attempt that was sent came to no whole answer of its own."},
    {EventId::HomeUnreachable, "home-unreachable", EventLevel::Warn,
     "A request could not be handed to a home of its service; another is "
     "tried. Look at that instance when it goes on."},
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

} // namespace

std::span<const EventKind> eventKinds() { return Kinds; }

const EventKind &kindOf(EventId id) {
  return *std::find_if(std::begin(Kinds), std::end(Kinds),
                       [&](const EventKind &it) { return it.Id == id; });
}

void openLog(const std::string &level) {
  log4cplus::Logger log = logger();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
  log.removeAllAppenders();
  log.addAppender(appender);
  log.setAdditivity(false);
  std::string upper = level;
  std::transform(upper.begin(), upper.end(), upper.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  log.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

bool isLogged(EventId id) {
  return logger().isEnabledFor(levelOf(kindOf(id).Level));
}

void logEvent(EventId id, const std::string &text) {
  const EventKind &kind = kindOf(id);
  const log4cplus::LogLevel level = levelOf(kind.Level);
  if (logger().isEnabledFor(level)) {
    logger().log(level, std::to_string(static_cast<unsigned>(id)) + " " +
                            kind.Name + " " + text);
  }
}

} // namespace zinniarail
