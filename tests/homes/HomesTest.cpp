#include <algorithm>
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/homes/Homes.h"

using namespace zinniarail;

namespace {

View makeView(unsigned instances, unsigned domains) {
  auto document = std::make_shared<Document>();
  View view;
  for (unsigned d = 0; d < domains; ++d) {
    document->Domains.push_back({"d" + std::to_string(d), "r", true});
  }
  for (unsigned n = 0; n < instances; ++n) {
    view.Instances.push_back({.Id = "i" + std::to_string(n),
                              .Domain = "d" + std::to_string(n % domains)});
  }
  view.Intent = document;
  return view;
}

struct Placement {
  unsigned Instances;
  unsigned Domains;
  unsigned Count;
};

std::ostream &operator<<(std::ostream &out, const Placement &it) {
  return out << it.Instances << " instances in " << it.Domains << ", "
             << it.Count << " homes";
}

const std::vector<Placement> Placements{{13, 4, 3}, {13, 3, 3}, {13, 4, 5},
                                        {2, 2, 3},  {1, 1, 3},  {5, 1, 2}};

} // namespace

BOOST_DATA_TEST_CASE(sharesAddUpToTheUpstream, Placements, it) {
  const View view = makeView(it.Instances, it.Domains);
  const Homes homes = placeService(view, {.Name = "s"}, it.Count);
  BOOST_TEST(homes.Ranked.size() == std::min(it.Count, it.Instances));
  for (unsigned u = 0; u < 24; ++u) {
    const UpstreamSpec upstream{.Id = "u" + std::to_string(u)};
    UpstreamShare sum;
    unsigned ramps = 0;
    for (const Instance &instance : view.Instances) {
      const auto share = shareUpstream(homes, upstream, instance.Id);
      sum.Slots += share.Slots;
      sum.Connections += share.Connections;
      ramps += share.Ramps ? 1 : 0;
    }
    BOOST_TEST(sum.Slots == upstream.Slots);
    BOOST_TEST(sum.Connections == upstream.Connections);
    BOOST_TEST(ramps == 1u);
  }
}

BOOST_DATA_TEST_CASE(homesSpreadOverDomains, Placements, it) {
  const View view = makeView(it.Instances, it.Domains);
  const Homes homes = placeService(view, {.Name = "s"}, it.Count);
  std::set<std::string> domains;
  for (const Instance &home : homes.Ranked) {
    domains.insert(home.Domain);
  }
  BOOST_TEST(domains.size() == std::min({it.Count, it.Domains, it.Instances}));
}

BOOST_AUTO_TEST_CASE(aLeavingInstanceIsHomeOfNothing) {
  View view = makeView(13, 4);
  const Homes before = placeService(view, {.Name = "s"}, 3);
  for (Instance &it : view.Instances) {
    it.Leaving = it.Id == before.Ranked.front().Id;
  }
  const Homes after = placeService(view, {.Name = "s"}, 3);
  BOOST_TEST(after.Digest != before.Digest);
  for (const Instance &it : after.Ranked) {
    BOOST_TEST(it.Id != before.Ranked.front().Id);
  }
}
