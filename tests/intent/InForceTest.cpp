#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/intent/Format.h"
#include "zinniarail/intent/InForce.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};
constexpr Duration Lifetime = 3s;

std::string documentOf(const std::string &changeId,
                       const std::string &environment = "") {
  return serialiseDocument({.Environment = environment, .ChangeId = changeId});
}

InForce makeState(std::uint64_t version = 0) {
  InForce state{
      .Environment = "trial", .Domain = "serra-a", .Lifetime = Lifetime};
  if (version != 0) {
    offerFromPlatform(state, version, documentOf("c5"), Start);
  }
  return state;
}

PeerReport reportOf(std::uint64_t version, Duration age = Duration::max(),
                    Instant asked = Start) {
  return {"i2", "serra-b", version, age, asked};
}

struct Offer {
  const char *Name;
  bool FromPlatform;
  std::uint64_t Version;
  std::string Bytes;
  OfferResult Expected;
  std::uint64_t VersionAfter;
};
std::ostream &operator<<(std::ostream &out, const Offer &it) {
  return out << it.Name;
}

// All to an instance with version 5, change c5, in force.
const std::vector<Offer> Offers{
    {"platform, newer", true, 6, documentOf("c6"), OfferResult::Adopted, 6},
    {"platform, same", true, 5, documentOf("c5"), OfferResult::AlreadyInForce,
     5},
    {"platform, older", true, 4, documentOf("c4"), OfferResult::Older, 5},
    {"platform, same version, other bytes", true, 5, documentOf("x"),
     OfferResult::Adopted, 5},
    {"platform, malformed", true, 6, "{", OfferResult::Malformed, 5},
    {"platform, other environment", true, 6, documentOf("c6", "production"),
     OfferResult::WrongEnvironment, 5},
    {"platform, its environment", true, 6, documentOf("c6", "trial"),
     OfferResult::Adopted, 6},
    {"peer, newer", false, 6, documentOf("c6"), OfferResult::Adopted, 6},
    {"peer, same", false, 5, documentOf("c5"), OfferResult::AlreadyInForce, 5},
    {"peer, older", false, 4, documentOf("c4"), OfferResult::Older, 5},
    {"peer, same version, other bytes", false, 5, documentOf("x"),
     OfferResult::Conflicting, 5},
    {"peer, malformed", false, 6, "[]", OfferResult::Malformed, 5},
    {"peer, other environment", false, 6, documentOf("c6", "production"),
     OfferResult::WrongEnvironment, 5},
};

struct Proof {
  const char *Name;
  Duration PlatformAge; ///< max: the platform never confirmed.
  std::vector<PeerReport> Reports;
  bool SeveralDomains;
  Duration ValidFor; ///< From Start; zero: not valid.
};
std::ostream &operator<<(std::ostream &out, const Proof &it) {
  return out << it.Name;
}

constexpr Duration Never = Duration::max();

const std::vector<Proof> Proofs{
    {"nobody", Never, {}, true, 0s},
    {"the platform just now", 0s, {}, true, 3s},
    {"the platform a while ago", 2s, {}, true, 1s},
    {"a peer that has a proof", Never, {reportOf(5, 1s)}, true, 3s},
    {"contact across domains", Never, {reportOf(5)}, true, 3s},
    {"contact 1 s ago", Never, {reportOf(5, Never, Start - 1s)}, true, 2s},
    {"a word of unknown age", Never, {reportOf(5, 0s, Instant{})}, true, 0s},
    {"a word from the future", Never, {reportOf(5, 0s, Start + 1s)}, true, 0s},
    {"contact within the domain",
     Never,
     {{"i2", "serra-a", 5, Never, Start}},
     true,
     0s},
    {"a proof through the own domain",
     Never,
     {{"i2", "serra-a", 5, 1s, Start}},
     true,
     2s},
    {"contact, there is one domain",
     Never,
     {{"i2", "serra-a", 5, Never, Start}},
     false,
     3s},
    {"a peer that is behind", Never, {reportOf(4, 0s)}, true, 0s},
    {"a peer that has nothing", Never, {reportOf(0)}, true, 0s},
    {"a peer that is ahead", Never, {reportOf(6, 0s)}, true, 0s},
    {"one equal, one ahead",
     Never,
     {reportOf(5), {"i3", "serra-b", 6, Never, Start}},
     true,
     0s},
    {"one ahead, the platform denies it since", 0s, {reportOf(6)}, true, 3s},
    {"an age that overflows",
     Never,
     {reportOf(5, Start.time_since_epoch())},
     true,
     3s},
};

} // namespace

BOOST_DATA_TEST_CASE(anOfferIsJudged, Offers, it) {
  InForce state = makeState(5);
  const OfferResult result =
      it.FromPlatform ? offerFromPlatform(state, it.Version, it.Bytes, Start)
                      : offerFromPeer(state, "i2", it.Version, it.Bytes);
  BOOST_TEST(nameOf(result) == nameOf(it.Expected));
  BOOST_TEST(state.Version == it.VersionAfter);
  BOOST_REQUIRE(state.Intent);
}

BOOST_DATA_TEST_CASE(theViewIsValidByProof, Proofs, it) {
  InForce state = makeState();
  offerFromPeer(state, "i9", 5, documentOf("c5"));
  for (const PeerReport &report : it.Reports) {
    hearPeer(state, report, Start);
  }
  if (it.PlatformAge != Never) {
    confirmFromPlatform(state, Start - it.PlatformAge);
  }
  const Instant until = validUntil(state, it.SeveralDomains);
  if (it.ValidFor == 0s) {
    BOOST_TEST((until <= Start));
  } else {
    BOOST_TEST((until == Start + it.ValidFor));
  }
}

BOOST_AUTO_TEST_CASE(nothingIsValidWithoutADocument) {
  InForce state = makeState();
  hearPeer(state, reportOf(0), Start);
  confirmFromPlatform(state, Start);
  BOOST_TEST((validUntil(state, true) == Instant::min()));
}

BOOST_AUTO_TEST_CASE(aNewVersionNeedsItsOwnProof) {
  InForce state = makeState(5);
  offerFromPeer(state, "i2", 6, documentOf("c6"));
  BOOST_TEST((validUntil(state, true) == Instant::min()));
}

BOOST_AUTO_TEST_CASE(aMalformedDocumentLeavesTheLastOneValid) {
  InForce state = makeState(5);
  offerFromPlatform(state, 6, "{", Start + 1s);
  BOOST_TEST(state.RefusedVersion == 6u);
  BOOST_TEST((validUntil(state, true) == Start + 4s));
}

BOOST_AUTO_TEST_CASE(aPeerIsAskedForWhatIsMissingAndThenAnother) {
  InForce state = makeState(5);
  hearPeer(state, reportOf(6), Start);
  hearPeer(state, {"i3", "serra-b", 6, Never, Start}, Start);
  const auto first = chooseFetch(state, Start);
  BOOST_REQUIRE(first);
  BOOST_TEST(!chooseFetch(state, Start + 100ms));
  const auto second = chooseFetch(state, Start + DocumentFetchTimeout);
  BOOST_REQUIRE(second);
  BOOST_TEST(first->Instance != second->Instance);
}

BOOST_AUTO_TEST_CASE(aForgedDocumentIsAskedForOnce) {
  InForce state = makeState(5);
  hearPeer(state, reportOf(6), Start);
  BOOST_REQUIRE(chooseFetch(state, Start));
  offerFromPeer(state, "i2", 6, "forged");
  BOOST_TEST(!chooseFetch(state, Start + 1s));
}
