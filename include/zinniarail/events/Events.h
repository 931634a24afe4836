/// \file
/// Overview of the events module: the daemon's structured log. Each kind of
/// event has a stable number and name, listed in docs/EVENTS.md.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail {

enum class EventLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Event numbers. A number is never reused for another event.
enum class EventId : std::uint16_t {
  Started = 100,
  PortUnusable = 101,
  StopBegan = 102,
  Stopped = 103,
  StopCutShort = 104,
  SettingsKept = 105,
  DocumentInForce = 204,
  DocumentRefused = 205,
  DomainOut = 206,
  DomainIn = 207,
  PlatformLost = 208,
  PlatformBack = 209,
  DutyChanged = 212,
  CaughtUp = 213,
  RegistrationUnreadable = 214,
  MessagesUnreadable = 215,
  ConnectionNotTaken = 216,
  StoreRestored = 217,
  StoreRead = 218,
  PollAbandoned = 219,
  UpdateReceived = 220,
  UpdatesDeferred = 221,
  OutageCleared = 222,
  RequestServed = 310,
  RequestSlow = 311,
  RequestRefused = 312,
  RequestFailed = 313,
  RequestGone = 314,
  RequestsNotListed = 315,
  UpstreamEjected = 320,
  UpstreamBack = 321,
  UpstreamCold = 322,
  BudgetSpent = 323,
  RequestsCondemned = 324,
  UpstreamRefusing = 325,
  UpstreamLeaving = 326,
  RetryAfterUnreadable = 327,
  UpstreamsUnreachable = 328,
  UpstreamsReachable = 329,
  UpstreamsChanged = 330,
  InstanceFound = 331,
  InstanceLost = 332,
  CrashChecked = 333,
  UpstreamLimited = 334,
  LinesDropped = 340,
  MemoryShort = 350,
  RolloutChanged = 360,
  RolloutSuspended = 361,
  RolloutDecided = 362,
  CreditLenderChanged = 370,
  DocumentDoubtful = 390,
  DocumentPartlyRead = 391,
};

/// The catalogue entry of an event.
struct EventKind {
  EventId Id;
  const char *Name;
  EventLevel Level;
  const char *Meaning; ///< What happened and what an operator should do.
};

/// All kinds of events, ordered by number.
std::span<const EventKind> eventKinds();

/// Finds the catalogue entry of an event.
const EventKind &findEventKind(EventId id);

/// A key and a value of a log line. Durations are written in milliseconds.
struct Field {
  Field(const char *key, std::string value)
      : Key(key), Value(std::move(value)) {}
  Field(const char *key, const char *value) : Key(key), Value(value) {}
  Field(const char *key, Duration value);
  Field(const char *key, double value);
  template <typename Number>
  requires std::integral<Number> Field(const char *key, Number value)
      : Key(key), Value(std::to_string(value)) {}

  const char *Key;
  std::string Value;
};

/// Sets up the log. To be called once, at startup.
/// \param level error, warn, info or debug.
/// \param fd descriptor to write to, standard output by default. Writing never
/// blocks on it.
void openLog(const std::string &level, int fd = 1);

/// Writes buffered lines that the descriptor could not accept before.
void flushLog();

/// Number of lines dropped because the buffer was full.
std::uint64_t droppedLineCount();

/// Whether events of this kind are written. Check it before building a costly
/// message.
bool isLogged(EventId id);

/// Writes one line of key=value pairs: time, level, number, name and the
/// fields.
void logEvent(EventId id, std::initializer_list<Field> fields);
void logEvent(EventId id, const std::vector<Field> &fields);

/// Writes an event with a single field, "text".
void logEvent(EventId id, const std::string &text);

} // namespace zinniarail
