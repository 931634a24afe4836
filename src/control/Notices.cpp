#include "control/Notices.h"

#include <set>

namespace zinniarail::control {

namespace {

using Notices = std::vector<Notice>;

// Those that serve, and those named that don't.
std::set<std::string> domainsOf(const Document &document, bool inService) {
  std::set<std::string> out;
  for (const DomainSpec &it : document.Domains) {
    if (it.InService == inService) {
      out.insert(it.Name);
    }
  }
  return out;
}

// A domain that a document doesn't name is out of service. Of the first
// document only those are told that it takes out.
void addDomains(Notices &out, const Document *before, const Document &after) {
  const std::set<std::string> now = domainsOf(after, true);
  const std::set<std::string> then =
      domainsOf(before != nullptr ? *before : after, before != nullptr);
  for (const std::string &it : then) {
    if (!now.contains(it)) {
      out.push_back({EventId::DomainOut, it});
    }
  }
  for (const std::string &it : now) {
    if (before != nullptr && !then.contains(it)) {
      out.push_back({EventId::DomainIn, it});
    }
  }
}

void addDocument(Notices &out, Told &told, const InForce &state) {
  if (!state.Intent ||
      (state.Intent == told.Intent && state.Version == told.Version)) {
    return;
  }
  out.push_back({EventId::DocumentInForce,
                 "version " + std::to_string(state.Version) + ", before " +
                     std::to_string(told.Version) + ", change " +
                     state.Intent->ChangeId});
  addDomains(out, told.Intent.get(), *state.Intent);
  told.Intent = state.Intent;
  told.Version = state.Version;
}

void addPlatform(Notices &out, Told &told, const ReadState &read) {
  const bool lost =
      told.PlatformLost ? read.Failures > 0 : read.Failures >= FailuresOfLoss;
  if (lost != told.PlatformLost) {
    told.PlatformLost = lost;
    out.push_back({lost ? EventId::PlatformLost : EventId::PlatformBack, ""});
  }
}

} // namespace

Notices takeNotices(Told &told, const State &state, bool reader) {
  Notices out;
  addDocument(out, told, state.Intent);
  if (state.Intent.RefusedVersion > told.RefusedVersion) {
    told.RefusedVersion = state.Intent.RefusedVersion;
    out.push_back({EventId::DocumentRefused,
                   "version " + std::to_string(told.RefusedVersion)});
  }
  addPlatform(out, told, state.DocumentRead);
  if (reader != told.Reader) {
    told.Reader = reader;
    out.push_back({reader ? EventId::ReadingBegan : EventId::ReadingEnded, ""});
  }
  for (Notice &it : out) {
    const std::string &self = state.Members.Self.Id;
    it.Text = it.Text.empty() ? self : self + ": " + it.Text;
  }
  return out;
}

} // namespace zinniarail::control
