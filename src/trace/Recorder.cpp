#include "zinniarail/trace/Recorder.h"

#include "trace/Fields.h"

namespace zinniarail::trace {

namespace {

constexpr std::size_t NameCost = 64; // bytes of a kept name beside its text

} // namespace

Recorder::Recorder(const Header &header, std::size_t bytes)
    : Start(header.At), Bytes(bytes), Text(writeHeader(header) + "\n") {
  Used = Text.size();
}

void Recorder::rename(std::string &key) {
  if (key.empty()) {
    return;
  }
  const auto [at, isNew] = Keys.try_emplace(key, Keys.size() + 1);
  Used += isNew ? key.size() + NameCost : 0;
  key = "k" + std::to_string(at->second);
}

void Recorder::rename(std::uint64_t &fingerprint) {
  if (fingerprint == 0) {
    return;
  }
  const auto [at, isNew] =
      Fingerprints.try_emplace(fingerprint, Fingerprints.size() + 1);
  Used += isNew ? NameCost : 0;
  fingerprint = at->second;
}

void Recorder::rename(PeerWord &word) { rename(word.Fingerprint); }

void Recorder::note(Instant at, Input told, const Actions &asked) {
  if (Full) {
    return;
  }
  Step step{at, std::move(told), asked};
  if (auto *event = std::get_if<Event>(&step.Told)) {
    if (auto *it = std::get_if<RequestArrived>(event)) {
      rename(it->Key);
      rename(it->Fingerprint);
    } else if (auto *it = std::get_if<PeerWord>(event)) {
      rename(*it);
    }
  }
  for (Action &action : step.Asked) {
    if (auto *it = std::get_if<SeekClaim>(&action)) {
      rename(it->Key);
    } else if (auto *it = std::get_if<ReleaseClaim>(&action)) {
      rename(it->Key);
    } else if (auto *it = std::get_if<TellHomes>(&action)) {
      rename(it->Word);
    }
  }
  std::string line = writeStep(step, Start) + "\n";
  Full = Used + line.size() + FullLine.size() + 1 > Bytes;
  if (Full) {
    line = std::string(FullLine) + "\n";
    Keys.clear();
    Fingerprints.clear();
  }
  Used += line.size();
  Text += line;
}

} // namespace zinniarail::trace
