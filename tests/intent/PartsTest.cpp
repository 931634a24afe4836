#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/intent/Changes.h"
#include "zinniarail/intent/Parts.h"

using namespace zinniarail;

namespace {

// The size that the users plan for.
Document makeLargeDocument() {
  Document document{.Domains = {{"d", "", true}}};
  for (unsigned s = 0; s < 2500; ++s) {
    ServiceSpec service{.Name = "service-" + std::to_string(10000 + s)};
    for (unsigned u = 0; u < (s % 5 == 0 ? 10U : 8U); ++u) {
      service.Upstreams.push_back({.Id = "u" + std::to_string(u),
                                   .Address = "10.20.30.40",
                                   .Port = static_cast<std::uint16_t>(8000 + u),
                                   .Domain = "d"});
    }
    document.Services.push_back(std::move(service));
  }
  return document;
}

} // namespace

BOOST_AUTO_TEST_CASE(aSmallDocumentStaysWhole) {
  const Document document{.Domains = {{"d", "", true}}};
  const SplitDocument split = splitDocument(document);
  BOOST_TEST(split.Pieces.empty());
  BOOST_TEST(partsOf(split.Root).empty());
  BOOST_TEST(joinDocument(split.Root, {}).value() == split.Root);
}

BOOST_AUTO_TEST_CASE(aLargeDocumentComesBackFromItsParts) {
  const Document document = makeLargeDocument();
  const SplitDocument split = splitDocument(document);
  BOOST_TEST(split.Root.size() < MaxWholeBytes);
  for (const auto &[digest, bytes] : split.Pieces) {
    BOOST_TEST(bytes.size() < MaxWholeBytes);
  }
  BOOST_TEST_MESSAGE("whole " << serialiseDocument(document).size() << ", root "
                              << split.Root.size() << ", parts "
                              << split.Pieces.size());
  const auto joined = joinDocument(split.Root, split.Pieces);
  BOOST_REQUIRE(joined.has_value());
  BOOST_TEST((parseDocument(joined.value()).value() == document));
}

BOOST_AUTO_TEST_CASE(anEditRewritesOnePart) {
  Document document = makeLargeDocument();
  const Parts before = splitDocument(document).Pieces;
  setUpstreamLeaving(document, "service-10007", "u1", true);
  const Parts after = splitDocument(document).Pieces;
  const auto fresh =
      std::count_if(after.begin(), after.end(),
                    [&](const auto &it) { return !before.contains(it.first); });
  BOOST_TEST(fresh == 1);
}

BOOST_AUTO_TEST_CASE(aPartThatIsMissingOrForgedIsRefused) {
  const SplitDocument split = splitDocument(makeLargeDocument());
  Parts missing = split.Pieces;
  missing.erase(missing.begin());
  BOOST_TEST(!joinDocument(split.Root, missing).has_value());
  Parts forged = split.Pieces;
  forged.begin()->second += " ";
  BOOST_TEST(!joinDocument(split.Root, forged).has_value());
}

BOOST_DATA_TEST_CASE(whatIsNoRootHasNoParts,
                     (std::vector<std::string>{
                         "{\"serviceParts\":7}", "{\"serviceParts\":[7]}",
                         "{\"serviceParts\":[\"../claims\"]}", "serviceParts"}),
                     bytes) {
  BOOST_TEST(partsOf(bytes).empty());
  BOOST_TEST(!parseDocument(joinDocument(bytes, {}).value()).has_value());
}
