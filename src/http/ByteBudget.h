/// \file
/// The bytes that callers and upstreams make an instance hold: how many there
/// may be, and who has to give way when there are too many. Decisions only.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::http {

/// What bytes are held for. Each kind has a share of its own, so that none can
/// take that of another.
enum class HeldKind : std::uint8_t {
  Small,    ///< Connections, heads, unparsed input, bodies up to MaxSmallBody.
  Large,    ///< Larger bodies of requests.
  Response, ///< Responses, incomplete or not yet read by their callers.
};
constexpr std::size_t HeldKindCount = 3;

/// Requests with a larger body need room among the large ones.
constexpr std::size_t MaxSmallBody = std::size_t{64} << 10;

/// A large body takes room in steps of this size.
constexpr std::size_t LargeBodyStep = std::size_t{1} << 20;

/// An incomplete request that has received less than MinProgressBytes for this
/// long is stalled; so is a response of which its caller reads less. Below
/// MaxRoomWait, so that who waits gets the room of who stalled.
constexpr Duration StallTime = std::chrono::milliseconds{750};
constexpr std::size_t MinProgressBytes = std::size_t{4} << 10;

/// An incomplete request that has received less than MinBytesPerSecond since it
/// began is slow, once it has lasted for MinSlowTime: no route waits as long as
/// a large body then takes.
constexpr std::size_t MinBytesPerSecond = std::size_t{32} << 10;
constexpr Duration MinSlowTime = std::chrono::seconds{2};

/// A connection without a request may give way for a new one after this time;
/// its caller opens another.
constexpr Duration MinIdleTime = std::chrono::milliseconds{100};

/// How long a large body waits for room before its request is refused: callers
/// give an instance up that reads nothing for a second.
constexpr Duration MaxRoomWait = std::chrono::seconds{1};

/// Bytes held and their limits, by HeldKind. Counts what the Charges hold.
/// Used on one thread.
struct ByteBudget {
  std::array<std::size_t, HeldKindCount> Limits{
      std::numeric_limits<std::size_t>::max(),
      std::numeric_limits<std::size_t>::max(),
      std::numeric_limits<std::size_t>::max()};
  std::array<std::size_t, HeldKindCount> Held{};
  std::size_t Refused = 0; ///< Requests refused for want of room so far.
  std::size_t Closed = 0;  ///< Connections ended for want of room so far.

  std::size_t held(HeldKind kind) const {
    return Held[static_cast<std::size_t>(kind)];
  }
  std::size_t limit(HeldKind kind) const {
    return Limits[static_cast<std::size_t>(kind)];
  }
  bool isOver(HeldKind kind) const { return held(kind) > limit(kind); }
  /// Whether a holder of \p own bytes may hold \p bytes in their place. The
  /// only holder of its kind always may, so that a single request within the
  /// callers' limits is served.
  bool hasRoom(HeldKind kind, std::size_t bytes, std::size_t own) const {
    const std::size_t others = held(kind) - own;
    return others == 0 ||
           (others <= limit(kind) && bytes <= limit(kind) - others);
  }
};

/// Divides an instance's memory, less what the process itself needs.
/// \param memory bytes that the process may take.
ByteBudget makeByteBudget(std::size_t memory);

/// Divides a part of what the process itself needs: for the requests of other
/// instances and of operators, which callers can't keep out.
/// \param memory as for makeByteBudget.
ByteBudget makeInternalByteBudget(std::size_t memory);

/// A part of a budget. It moves along with the bytes that it counts; a copy
/// counts them once more.
class Charge {
public:
  Charge() = default;
  /// \param budget null: nothing is counted. Must outlive the charge.
  explicit Charge(ByteBudget *budget) : Budget(budget) {}
  ~Charge() { set(Kind, 0); }
  Charge(const Charge &other);
  Charge(Charge &&other) noexcept;
  Charge &operator=(Charge other) noexcept;

  /// Replaces the kind and the number of bytes.
  void set(HeldKind kind, std::size_t bytes);

  std::size_t bytes() const { return Bytes; }

private:
  ByteBudget *Budget = nullptr;
  HeldKind Kind = HeldKind::Small;
  std::size_t Bytes = 0;
};

/// The body of an incomplete large request.
struct LargeBody {
  std::size_t Taken = 0;     ///< Bytes that it has room for.
  std::size_t Remaining = 0; ///< Bytes that it may need beyond.
};

/// Whether each of the bodies can be received whole, in some order, if each
/// leaves what it took when it ends. Otherwise all could wait for each other.
/// \param free bytes that nobody has taken.
bool canAllEnd(std::vector<LargeBody> bodies, std::size_t free);

/// A connection as a holder of bytes.
struct Holder {
  std::size_t Bytes = 0; ///< Of the kind that is short.
  /// Its request, or its answer if that is short, is incomplete; only then it
  /// may have to give way.
  bool IsIncomplete = false;
  bool AwaitsRoom = false; ///< Its large body waits for room.
  Instant LastProgressAt{};
  bool IsIdle = false; ///< It has no request.
  /// When its incomplete request began; Instant::max() without one.
  Instant StartedAt = Instant::max();
  std::size_t Received = 0; ///< Bytes of that request.
};

/// How a holder gives way.
enum class Relief : std::uint8_t {
  Refuse,  ///< 503: the request did not run.
  TimeOut, ///< 408: the request did not run.
  Close,   ///< The connection is closed.
};

struct Choice {
  std::size_t Index = 0; ///< In the list of holders.
  Relief Way = Relief::Close;

  bool operator==(const Choice &) const = default;
};

/// Chooses who gives way when small requests are short of room: the largest of
/// those that wait for room, then the one that stalled first, then the largest.
/// \returns none if there is no incomplete request.
std::optional<Choice> chooseForSmall(std::span<const Holder> holders,
                                     Instant now);

/// Chooses whose large body gives way for another: the largest that stalled,
/// else the slowest.
/// \returns none if none stalled or is slow.
std::optional<Choice> chooseForLarge(std::span<const Holder> holders,
                                     Instant now);

/// Chooses whose unread responses give way: the largest that stalled.
/// \returns none if none stalled.
std::optional<Choice> chooseForResponses(std::span<const Holder> holders,
                                         Instant now);

/// Chooses the connection that gives way for a new one when there are too many:
/// the one without progress for the longest time, among those that stalled;
/// else the one that is idle for longest, else the one whose request is
/// slowest.
std::optional<Choice> chooseForConnection(std::span<const Holder> holders,
                                          Instant now);

} // namespace zinniarail::http
