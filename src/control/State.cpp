#include "control/State.h"

#include <boost/json.hpp>

namespace zinniarail::control {

namespace {

namespace json = boost::json;

// A view that only moved its times on is posted at most this often.
constexpr Duration ConfirmationInterval = std::chrono::milliseconds{200};

json::value millisecondsSince(Instant then, Instant now) {
  if (then == Instant::min() || then == Instant{}) {
    return nullptr;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - then)
      .count();
}

json::object describe(const ReadState &it, Instant now) {
  return {{"running", it.Running},
          {"failures", it.Failures},
          {"nextInMs", it.NextAt <= now ? json::value(0)
                                        : millisecondsSince(now, it.NextAt)}};
}

json::array describePeers(const InForce &state, Instant now) {
  json::array out;
  for (const auto &[id, it] : state.Peers) {
    out.push_back({{"id", id},
                   {"domain", it.Domain},
                   {"version", it.Version},
                   {"heardMsAgo", millisecondsSince(it.HeardAt, now)},
                   {"contactMsAgo", millisecondsSince(it.ContactAsOf, now)},
                   {"confirmedMsAgo", millisecondsSince(it.ConfirmedAsOf, now)},
                   {"refutedVersion", it.RefutedVersion}});
  }
  return out;
}

json::array describeInstances(const std::vector<Instance> &instances) {
  json::array out;
  for (const Instance &it : instances) {
    out.push_back({{"id", it.Id},
                   {"domain", it.Domain},
                   {"callerAddress", it.CallerAddress},
                   {"leaving", it.Leaving}});
  }
  return out;
}

json::object describeLost(const Membership &members, Instant now) {
  json::object out;
  for (const auto &[id, it] : members.Direct) {
    if (!it.Reachable || now < it.ReadmitAt) {
      out[id] = {{"flaps", it.Flaps},
                 {"reachable", it.Reachable},
                 {"changedMsAgo", millisecondsSince(it.ChangedAt, now)}};
    }
  }
  return out;
}

} // namespace

View makeView(const State &state, Instant now) {
  View view;
  view.Intent = state.Intent.Intent;
  view.Version = state.Intent.Version;
  view.Bytes = state.Intent.Bytes;
  view.Instances = liveInstances(state.Members, now);
  view.Known = knownInstances(state.Members);
  view.ValidUntil = validUntil(state.Intent, spanDomains(view.Instances));
  view.ConfirmedAsOf = confirmedAsOf(state.Intent);
  return view;
}

bool isWorthPosting(const View &last, const View &next, Instant postedAt,
                    Instant now) {
  if (!next.Intent) {
    return false;
  }
  if (last.Intent != next.Intent || last.Version != next.Version ||
      last.Instances != next.Instances || last.Known != next.Known) {
    return true;
  }
  if (last.ValidUntil == next.ValidUntil &&
      last.ConfirmedAsOf == next.ConfirmedAsOf) {
    return false;
  }
  return now >= postedAt + ConfirmationInterval || last.ValidUntil <= now;
}

void note(Incidents &seen, OfferResult result) {
  switch (result) {
  case OfferResult::Malformed:
    ++seen.DocumentsMalformed;
    break;
  case OfferResult::Older:
    ++seen.DocumentsOlder;
    break;
  case OfferResult::Conflicting:
    ++seen.DocumentsConflicting;
    break;
  case OfferResult::WrongEnvironment:
    ++seen.WrongEnvironment;
    break;
  case OfferResult::Adopted:
  case OfferResult::AlreadyInForce:
    break;
  }
}

json::object describe(const State &state, const objects::CallCounts &calls,
                      Instant now) {
  const View view = makeView(state, now);
  const InForce &intent = state.Intent;
  return {
      {"environment", intent.Environment},
      {"version", intent.Version},
      {"digest", intent.Digest},
      {"changeId", intent.Intent ? intent.Intent->ChangeId : ""},
      {"refusedVersion", intent.RefusedVersion},
      {"validForMs", view.ValidUntil <= now
                         ? json::value(0)
                         : millisecondsSince(now, view.ValidUntil)},
      {"confirmedMsAgo", millisecondsSince(view.ConfirmedAsOf, now)},
      {"reader", isReader(view.Instances, state.Members.Self, state.Readers)},
      {"instances", describeInstances(view.Instances)},
      {"lost", describeLost(state.Members, now)},
      {"peers", describePeers(intent, now)},
      {"reads",
       {{"document", describe(state.DocumentRead, now)},
        {"instances", describe(state.InstancesRead, now)}}},
      {"platformCalls",
       {{"reads", calls.Reads},
        {"writes", calls.Writes},
        {"watches", calls.Watches},
        {"lists", calls.Lists},
        {"failures", calls.Failures}}},
      {"refusals",
       {{"malformed", state.Seen.DocumentsMalformed},
        {"older", state.Seen.DocumentsOlder},
        {"conflicting", state.Seen.DocumentsConflicting},
        {"wrongEnvironment", state.Seen.WrongEnvironment}}}};
}

} // namespace zinniarail::control
