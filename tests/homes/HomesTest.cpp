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

ServiceSpec makeService(const std::vector<unsigned> &upstreamsByDomain,
                        unsigned slots) {
  ServiceSpec service;
  service.Name = "s";
  for (std::size_t d = 0; d < upstreamsByDomain.size(); ++d) {
    for (unsigned n = 0; n < upstreamsByDomain[d]; ++n) {
      service.Upstreams.push_back(
          {.Id = "u" + std::to_string(d) + "-" + std::to_string(n),
           .Domain = "d" + std::to_string(d),
           .Slots = slots});
    }
  }
  return service;
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
  const ServiceSpec service = makeService({8, 8, 8}, 4);
  std::vector<UpstreamShare> sums(service.Upstreams.size());
  std::vector<unsigned> ramps(service.Upstreams.size());
  for (const Instance &instance : view.Instances) {
    const auto shares = shareUpstreams(homes, service, instance.Id);
    BOOST_REQUIRE(shares.size() == sums.size());
    for (std::size_t u = 0; u < shares.size(); ++u) {
      sums[u].Slots += shares[u].Slots;
      sums[u].Connections += shares[u].Connections;
      ramps[u] += shares[u].Ramps ? 1 : 0;
    }
  }
  for (std::size_t u = 0; u < sums.size(); ++u) {
    BOOST_TEST(sums[u].Slots == service.Upstreams[u].Slots);
    BOOST_TEST(sums[u].Connections == service.Upstreams[u].Connections);
    BOOST_TEST(ramps[u] == 1u);
  }
}

namespace {

struct Balance {
  std::vector<unsigned> UpstreamsByDomain;
  unsigned Slots;
};

std::ostream &operator<<(std::ostream &out, const Balance &it) {
  for (const unsigned n : it.UpstreamsByDomain) {
    out << n << ' ';
  }
  return out << "upstreams of " << it.Slots << " slots";
}

const std::vector<Balance> Balances{{{5, 5, 5}, 4},    {{3, 3, 3}, 4},
                                    {{4, 4, 3, 3}, 4}, {{4, 4, 3, 3}, 5},
                                    {{3, 3, 2, 2}, 2}, {{7, 1, 5}, 1}};

} // namespace

// Callers spread over the homes evenly, so a home with a lesser part of the
// slots is full while others idle, most of all when a domain is out.
BOOST_DATA_TEST_CASE(homesHaveEqualPartsAlsoWithADomainOut, Balances, it) {
  const auto domains = static_cast<unsigned>(it.UpstreamsByDomain.size());
  for (unsigned name = 0; name < 20; ++name) {
    ServiceSpec service = makeService(it.UpstreamsByDomain, it.Slots);
    service.Name = "s" + std::to_string(name);
    for (unsigned out = 0; out <= domains; ++out) { // the last one: none
      View view = makeView(13, domains);
      auto document = std::make_shared<Document>(*view.Intent);
      if (out < domains) {
        document->Domains[out].InService = false;
      }
      view.Intent = document;
      const Homes homes = placeService(view, service, 3);
      std::vector<unsigned> parts;
      for (const Instance &home : homes.Ranked) {
        const auto shares = shareUpstreams(homes, service, home.Id);
        unsigned part = 0;
        for (std::size_t u = 0; u < shares.size(); ++u) {
          const auto &domain = service.Upstreams[u].Domain;
          part += isInService(*document, domain) ? shares[u].Slots : 0;
        }
        parts.push_back(part);
      }
      const auto [least, most] =
          std::minmax_element(parts.begin(), parts.end());
      BOOST_TEST(*most - *least <= 2u, "domain " << out << " out");
    }
  }
}

// What goes or comes in one domain leaves the shares of the others alone.
BOOST_AUTO_TEST_CASE(sharesOfOtherDomainsStayWhenAnUpstreamIsAdded) {
  const View view = makeView(13, 3);
  ServiceSpec service = makeService({5, 5, 5}, 4);
  const Homes homes = placeService(view, service, 3);
  const auto &self = homes.Ranked.front().Id;
  const auto before = shareUpstreams(homes, service, self);
  service.Upstreams.push_back({.Id = "new", .Domain = "d0"});
  const auto after = shareUpstreams(homes, service, self);
  for (std::size_t u = 0; u < before.size(); ++u) {
    BOOST_TEST(after[u].Slots == before[u].Slots);
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

// A ramp that moves starts anew, and for a moment two homes may believe that
// it is theirs.
BOOST_AUTO_TEST_CASE(rampsStayWhenAnUpstreamOfTheDomainGoes) {
  const View view = makeView(13, 3);
  const ServiceSpec service = makeService({5, 5, 5}, 4);
  ServiceSpec fewer = service;
  fewer.Upstreams.erase(fewer.Upstreams.begin());
  const Homes homes = placeService(view, service, 3);
  for (const Instance &home : homes.Ranked) {
    const auto before = shareUpstreams(homes, service, home.Id);
    const auto after = shareUpstreams(homes, fewer, home.Id);
    for (std::size_t u = 0; u < after.size(); ++u) {
      BOOST_TEST(after[u].Ramps == before[u + 1].Ramps);
    }
  }
}

BOOST_AUTO_TEST_CASE(onlyAHomeWithASlotRamps) {
  const View view = makeView(13, 3);
  const ServiceSpec service = makeService({7, 1, 5}, 1);
  const Homes homes = placeService(view, service, 3);
  std::vector<unsigned> ramps(service.Upstreams.size());
  for (const Instance &home : homes.Ranked) {
    const auto shares = shareUpstreams(homes, service, home.Id);
    for (std::size_t u = 0; u < shares.size(); ++u) {
      BOOST_TEST((!shares[u].Ramps || shares[u].Slots > 0));
      ramps[u] += shares[u].Ramps ? 1 : 0;
    }
  }
  BOOST_TEST(std::count(ramps.begin(), ramps.end(), 1U) ==
             static_cast<std::ptrdiff_t>(ramps.size()));
}
