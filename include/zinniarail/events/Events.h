/// \file
/// Overview of the events module: what the daemon writes to its log. Each kind
/// of line has a number and a name that stay, listed in docs/EVENTS.md.
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

/// The numbers. A number is never used again for another meaning.
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
  UpstreamsChanged = 330,
  InstanceFound = 331,
  InstanceLost = 332,
  LinesDropped = 340,
};

/// One kind of event.
struct EventKind {
  EventId Id;
  const char *Name;
  EventLevel Level;
  const char *Meaning; ///< And what an operator does about it.
};

/// Every kind, by number.
std::span<const EventKind> eventKinds();

/// Finds a kind by its number.
const EventKind &kindOf(EventId id);

/// One named value of a line. Times are in milliseconds.
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

/// Sets up the log. Once, at the start.
/// \param level error, warn, info or debug.
/// \param fd where lines go; standard output as a rule. It is never waited for.
void openLog(const std::string &level, int fd = 1);

/// Writes what the reader did not take at once before.
void flushLog();

/// Lines that were dropped, since the reader did not take them.
std::uint64_t droppedLines();

/// Whether events of this kind are written; to be asked where the text costs.
bool isLogged(EventId id);

/// Writes one line: time, level, number, name and the fields, as key=value.
void logEvent(EventId id, std::initializer_list<Field> fields);
void logEvent(EventId id, const std::vector<Field> &fields);

/// The same with one field, "text".
void logEvent(EventId id, const std::string &text);

} // namespace zinniarail
