/// \file
/// Keeps the trace of one service's engine in memory, up to a bound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "zinniarail/trace/Trace.h"

namespace zinniarail::trace {

/// Records from the engine's start until the bound is reached; then it stops
/// and the trace says so, since a replay needs the beginning. Keys and
/// fingerprints are numbered in the order of their first use, so that nothing
/// of a caller's content is kept.
class Recorder {
public:
  /// \param bytes the bound; at least the header is kept.
  Recorder(const Header &header, std::size_t bytes);

  void note(Instant at, Input told, const Actions &asked);

  /// The trace so far.
  const std::string &text() const { return Text; }

private:
  void rename(std::string &key);
  void rename(std::uint64_t &fingerprint);
  void rename(PeerWord &word);

  Instant Start;
  std::size_t Bytes;
  std::size_t Used = 0; ///< Text and names.
  bool Full = false;
  std::string Text;
  std::unordered_map<std::string, std::uint64_t> Keys;
  std::unordered_map<std::uint64_t, std::uint64_t> Fingerprints;
};

} // namespace zinniarail::trace
