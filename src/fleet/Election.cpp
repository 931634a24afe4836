#include "zinniarail/fleet/Election.h"

#include <algorithm>

namespace zinniarail {

namespace {

// Instances elect a reader among those of their failure domain with the same
// update format: during a rolling upgrade each version has its own reader.
bool isElectionPeer(const Members &members, const KnownMember &it) {
  return it.LastStatus.Record.Domain == members.LocalMember.Record.Domain &&
         it.LastStatus.UpdateFormat == members.LocalMember.UpdateFormat;
}

bool isUsableReader(const KnownMember &it, Instant now) {
  return hasRecentMessage(it, now) && it.LastStatus.Reading &&
         it.LastStatus.StoreHealthy && !it.LastStatus.Record.Leaving;
}

// The reader to follow: the current one while it is usable, else the one with
// the highest priority; null if there is none.
const Member *findReader(const Election &election, const Members &members,
                         Instant now) {
  const Member *best = nullptr;
  for (const auto &[id, it] : members.Others) {
    if (!isElectionPeer(members, it) || !isUsableReader(it, now)) {
      continue;
    }
    if (election.CurrentDuty == Duty::Follow && id == election.Reader) {
      return &it.LastStatus;
    }
    if (best == nullptr || hasHigherPriority(it.LastStatus, *best)) {
      best = &it.LastStatus;
    }
  }
  return best;
}

// Includes members that only the reader's list reports as live, since an
// instance pings just a few members itself.
bool isPossiblyLive(const KnownMember &it, Instant now) {
  return isLive(it, now) && !isUnresponsive(it, now);
}

bool setDuty(Election &election, Duty duty, const std::string &reader) {
  const bool changed =
      election.CurrentDuty != duty || election.Reader != reader;
  election.CurrentDuty = duty;
  election.Reader = reader;
  return changed;
}

} // namespace

std::size_t computeElectionRank(const Members &members, Instant now) {
  return static_cast<std::size_t>(std::count_if(
      members.Others.begin(), members.Others.end(), [&](const auto &it) {
        return isElectionPeer(members, it.second) &&
               isPossiblyLive(it.second, now) &&
               !it.second.LastStatus.Record.Leaving &&
               hasHigherPriority(it.second.LastStatus, members.LocalMember);
      }));
}

bool updateElection(Election &election, const Members &members,
                    bool mayBecomeReader, Instant now) {
  const Member *reader = findReader(election, members, now);
  if (reader != nullptr) {
    election.NoReaderSince.reset();
    // Of two readers, the one with the higher priority keeps reading.
    const bool keepsReading = election.CurrentDuty == Duty::Read &&
                              members.LocalMember.StoreHealthy &&
                              hasHigherPriority(members.LocalMember, *reader);
    return keepsReading ? false
                        : setDuty(election, Duty::Follow, reader->Record.Id);
  }
  if (election.CurrentDuty == Duty::Read) {
    return false;
  }
  if (!mayBecomeReader) {
    return setDuty(election, Duty::Wait, "");
  }
  if (!election.NoReaderSince) {
    election.NoReaderSince = now;
  }
  const auto rank =
      static_cast<Duration::rep>(computeElectionRank(members, now));
  const bool due = now - *election.NoReaderSince >= TakeoverDelayPerRank * rank;
  return setDuty(election, due ? Duty::Read : Duty::Wait, "");
}

} // namespace zinniarail
