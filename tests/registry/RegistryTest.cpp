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
  put(registry, makeUpstream(id), revision, Start);
  return registry;
}

} // namespace

BOOST_AUTO_TEST_CASE(aRemovalTakesEffectImmediately) {
  Registry registry = registryWith("u", 3);
  remove(registry, "u", 4, Start);
  BOOST_TEST((nextRemoval(registry) == Start));
  BOOST_TEST(applyDueRemovals(registry, Start));
  BOOST_TEST(listUpstreams(registry, Start).empty());
}

BOOST_AUTO_TEST_CASE(outdatedRemovalsAndChangesAreIgnored) {
  Registry registry = registryWith("u", 3);
  remove(registry, "u", 2, Start);
  BOOST_TEST(!applyDueRemovals(registry, Start));
  Upstream old = makeUpstream("u");
  old.Draining = true;
  put(registry, old, 2, Start);
  BOOST_TEST(!listUpstreams(registry, Start).front().Draining);
}

BOOST_AUTO_TEST_CASE(anUpstreamMayReregisterWithinTheGracePeriodAfterAnOutage) {
  Registry registry = registryWith("u", 3);
  recordStoreRecovery(registry, Start);
  remove(registry, "u", 4, Start + 10ms);
  BOOST_TEST(!applyDueRemovals(registry, Start + ReregistrationGrace - 1ms));
  put(registry, makeUpstream("u"), 5, Start + 1s);
  BOOST_TEST(!applyDueRemovals(registry, Start + ReregistrationGrace));
  BOOST_TEST(listUpstreams(registry, Start).size() == 1);
}

BOOST_AUTO_TEST_CASE(
    anUpstreamThatDoesNotReregisterIsRemovedAfterTheGracePeriod) {
  Registry registry = registryWith("u", 3);
  recordStoreRecovery(registry, Start);
  remove(registry, "u", 4, Start + 10ms);
  BOOST_TEST((nextRemoval(registry) == Start + ReregistrationGrace));
  BOOST_TEST(applyDueRemovals(registry, Start + ReregistrationGrace));
}
