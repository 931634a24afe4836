#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/registry/Registry.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

const Instant Start{1h};

Upstream makeUpstream(const std::string &id) {
  Upstream it;
  it.Id = id;
  return it;
}

Registry registryWith(const std::string &id, std::uint64_t revision) {
  Registry registry;
  put(registry, makeUpstream(id), {1, revision}, Start);
  return registry;
}

} // namespace

BOOST_AUTO_TEST_CASE(aRemovalTakesEffectImmediately) {
  Registry registry = registryWith("u", 3);
  remove(registry, "u", {1, 4}, Start);
  BOOST_TEST((nextDueChange(registry) == Start));
  BOOST_TEST(applyDueChanges(registry, Start));
  BOOST_TEST(listUpstreams(registry, Start).empty());
}

BOOST_AUTO_TEST_CASE(outdatedRemovalsAndChangesAreIgnored) {
  Registry registry = registryWith("u", 3);
  remove(registry, "u", {1, 2}, Start);
  BOOST_TEST(!applyDueChanges(registry, Start));
  Upstream old = makeUpstream("u");
  old.Draining = true;
  put(registry, old, {1, 2}, Start);
  BOOST_TEST(!listUpstreams(registry, Start).front().Draining);
}

BOOST_AUTO_TEST_CASE(anUpstreamMayReregisterWithinTheGracePeriodAfterAnOutage) {
  Registry registry = registryWith("u", 3);
  recordStoreRecovery(registry, Start);
  remove(registry, "u", {1, 4}, Start + 10ms);
  BOOST_TEST(!applyDueChanges(registry, Start + ReregistrationGrace - 1ms));
  put(registry, makeUpstream("u"), {1, 5}, Start + 1s);
  BOOST_TEST(!applyDueChanges(registry, Start + ReregistrationGrace));
  BOOST_TEST(listUpstreams(registry, Start).size() == 1);
}

BOOST_AUTO_TEST_CASE(
    anUpstreamThatDoesNotReregisterIsRemovedAfterTheGracePeriod) {
  Registry registry = registryWith("u", 3);
  recordStoreRecovery(registry, Start);
  remove(registry, "u", {1, 4}, Start + 10ms);
  BOOST_TEST((nextDueChange(registry) == Start + ReregistrationGrace));
  BOOST_TEST(applyDueChanges(registry, Start + ReregistrationGrace));
}

// A restore delays removals whatever becomes of an outage beside it.
BOOST_AUTO_TEST_CASE(endOfAnOutagesGraceLeavesThatOfARestore) {
  for (const bool isRestored : {false, true}) {
    Registry registry = registryWith("u", 3);
    recordStoreRecovery(registry, Start);
    if (isRestored) {
      recordStoreRestore(registry, Start);
    }
    remove(registry, "u", {1, 4}, Start + 10ms);
    endRemovalGrace(registry, Start + 20ms);
    BOOST_TEST(applyDueChanges(registry, Start + 20ms) == !isRestored);
    BOOST_TEST(registry.Entries.contains("u") == isRestored);
    applyDueChanges(registry, Start + ReregistrationGrace);
    BOOST_TEST(registry.Entries.empty());
  }
}

BOOST_AUTO_TEST_CASE(anUpdateOlderThanAPendingRemovalIsIgnored) {
  Registry registry = registryWith("u", 3);
  recordStoreRecovery(registry, Start);
  remove(registry, "u", {1, 5}, Start);
  put(registry, makeUpstream("u"), {1, 4}, Start + 10ms);
  BOOST_TEST(applyDueChanges(registry, Start + ReregistrationGrace));
  BOOST_TEST(registry.Entries.empty());
}

BOOST_AUTO_TEST_CASE(anUpdateOlderThanARemovalDoesNotBringTheUpstreamBack) {
  Registry registry = registryWith("u", 3);
  remove(registry, "u", {1, 5}, Start);
  applyDueChanges(registry, Start);
  put(registry, makeUpstream("u"), {1, 4}, Start + 1s);
  BOOST_TEST(registry.Entries.empty());
  put(registry, makeUpstream("u"), {1, 6}, Start + 1s);
  BOOST_TEST(!listUpstreams(registry, Start + 1s).front().Draining);
}

namespace {

/// What was known of an upstream before the store was restored.
enum class Before { Ready, Draining, Leaving, RemovalPending, Removed };

struct RestoreCase {
  const char *Name;
  Before Known;
  bool IsRestarted; ///< The restored registration is of another incarnation.
  bool IsUsedAtOnce;
  bool IsUsedLater; ///< After RestoredRegistrationLifetime.
};

std::ostream &operator<<(std::ostream &out, const RestoreCase &it) {
  return out << it.Name;
}

const std::vector<RestoreCase> RestoreCases{
    {"ready", Before::Ready, false, true, true},
    {"draining", Before::Draining, false, false, false},
    {"announced its leaving", Before::Leaving, false, false, false},
    {"removal pending", Before::RemovalPending, false, false, true},
    {"removed", Before::Removed, false, false, true},
    {"draining, restarted", Before::Draining, true, true, true},
    {"announced its leaving, restarted", Before::Leaving, true, true, true},
    {"removed, restarted", Before::Removed, true, true, true}};

} // namespace

// The restored store lists the upstream as ready, as it was seconds before.
BOOST_DATA_TEST_CASE(restoredRegistrationsAreTrustedByWhatWasKnown,
                     RestoreCases, it) {
  Registry registry = registryWith("u", 3);
  Upstream changed = makeUpstream("u");
  switch (it.Known) {
  case Before::Ready:
    break;
  case Before::Draining:
    changed.Draining = true;
    put(registry, changed, {1, 4}, Start);
    break;
  case Before::Leaving:
    BOOST_TEST(markLeaving(registry, "u", 0));
    break;
  case Before::RemovalPending:
    recordStoreRecovery(registry, Start);
    remove(registry, "u", {1, 9}, Start);
    break;
  case Before::Removed:
    remove(registry, "u", {1, 9}, Start);
    applyDueChanges(registry, Start);
    break;
  }
  const Instant restored = Start + 1s;
  recordStoreRestore(registry, restored);
  Upstream listed = makeUpstream("u");
  listed.StartedMs = it.IsRestarted ? 1000 : 0;
  put(registry, listed, {2, 3}, restored);
  const auto isUsed = [&](Instant now) {
    const auto all = listUpstreams(registry, now);
    return !all.empty() && !all.front().Draining;
  };
  BOOST_TEST(isUsed(restored) == it.IsUsedAtOnce);
  const Instant later = restored + RestoredRegistrationLifetime;
  BOOST_TEST(applyDueChanges(registry, later) ==
             (it.IsUsedAtOnce != it.IsUsedLater));
  BOOST_TEST(isUsed(later) == it.IsUsedLater);
  // Answers of the earlier era change nothing, whatever their revision.
  Upstream late = listed;
  late.Draining = true;
  put(registry, late, {1, 1000}, later);
  remove(registry, "u", {1, 1000}, later);
  BOOST_TEST(!applyDueChanges(registry, later + 1h));
  BOOST_TEST(isUsed(later + 1h) == it.IsUsedLater);
}

// It is missing from the restored store and registers again.
BOOST_AUTO_TEST_CASE(anUpstreamThatRegistersAgainAfterARestoreIsUsedAtOnce) {
  Registry registry = registryWith("u", 30);
  recordStoreRestore(registry, Start);
  remove(registry, "u", {2, 10}, Start);
  put(registry, makeUpstream("u"), {2, 11}, Start + 1s);
  BOOST_TEST(!listUpstreams(registry, Start + 1s).front().Draining);
  BOOST_TEST((nextDueChange(registry) == Instant::max()));
}

BOOST_AUTO_TEST_CASE(onlyTheIncarnationThatAnnouncedItsLeavingLeaves) {
  Registry registry = registryWith("u", 3);
  BOOST_TEST(!markLeaving(registry, "u", 77)); // Another incarnation.
  BOOST_TEST(!markLeaving(registry, "v", 0));
  BOOST_TEST(markLeaving(registry, "u", 0));
  BOOST_TEST(!markLeaving(registry, "u", 0));
  put(registry, makeUpstream("u"), {1, 8}, Start);
  BOOST_TEST(listUpstreams(registry, Start).front().Draining);
  // It expires during an outage of the store and registers again.
  remove(registry, "u", {1, 9}, Start);
  applyDueChanges(registry, Start);
  put(registry, makeUpstream("u"), {1, 10}, Start);
  BOOST_TEST(listUpstreams(registry, Start).front().Draining);
  Upstream next = makeUpstream("u");
  next.StartedMs = 1000;
  put(registry, next, {1, 11}, Start);
  BOOST_TEST(!listUpstreams(registry, Start).front().Draining);
}

BOOST_AUTO_TEST_CASE(removedUpstreamsAreForgottenAfterAWhile) {
  Registry registry = registryWith("u", 3);
  remove(registry, "u", {1, 4}, Start);
  applyDueChanges(registry, Start);
  applyDueChanges(registry, Start + RemovedUpstreamLifetime - 1us);
  BOOST_TEST(registry.RemovedUpstreams.size() == 1);
  applyDueChanges(registry, Start + RemovedUpstreamLifetime);
  BOOST_TEST(registry.RemovedUpstreams.empty());
}
