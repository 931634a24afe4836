/// \file
/// Overview of the events module: what the daemon writes to its log. Each kind
/// of line has a number and a name that stay, listed in docs/EVENTS.md.
#pragma once

#include <cstdint>
#include <span>
#include <string>

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
  ViewInForce = 200,
  ViewConfirmed = 201,
  ViewExpired = 202,
  ViewValidAgain = 203,
  DocumentInForce = 204,
  DocumentRefused = 205,
  DomainOut = 206,
  DomainIn = 207,
  PlatformLost = 208,
  PlatformBack = 209,
  ReadingBegan = 210,
  ReadingEnded = 211,
  DutyChanged = 212,
  AttemptBroken = 300,
  HomeUnreachable = 301,
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

/// Sets up the log, on standard error. Once, at the start.
/// \param level error, warn, info or debug.
void openLog(const std::string &level);

/// Whether events of this kind are written; to be asked where the text costs.
bool isLogged(EventId id);

/// Writes one line: time, level, number, name, text.
void logEvent(EventId id, const std::string &text);

} // namespace zinniarail
