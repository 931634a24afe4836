#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/intent/Format.h"

using namespace zinniarail;

namespace {

const std::string Whole = R"({"changeId":"c1","resolveLifetimeMs":1500,
  "domains":[{"name":"serra-a","region":"rs-serra"},
             {"name":"serra-b","inService":false}],
  "services":[{"name":"credencial","homes":3,"queueLimit":32,
    "hedgeShare":0.05,"retryShare":0.1,"probesPerSecond":5,
    "claimWindowMs":30000,
    "classes":[{"name":"print","method":"POST","pathPrefix":"/print",
      "priority":0,"idempotent":false,"deadlineMs":2000}],
    "upstreams":[{"id":"u1","address":"127.0.0.1","port":80,
      "domain":"serra-a","slots":4,"connections":220,"leaving":true}]}]})";

// Puts one JSON text in place of another that occurs once.
std::string with(std::string text, const std::string &from,
                 const std::string &to) {
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

struct Bad {
  const char *From;
  const char *To;
  const char *Path;
};

std::ostream &operator<<(std::ostream &out, const Bad &it) {
  return out << it.To << " at " << it.Path;
}

const std::vector<Bad> BadDocuments{
    {"\"port\":80", "\"port\":0", "/services/0/upstreams/0/port"},
    {"\"port\":80", "\"port\":65536", "/services/0/upstreams/0/port"},
    {"\"port\":80", "\"port\":\"80\"", "/services/0/upstreams/0/port"},
    {"\"port\":80,", "", "/services/0/upstreams/0/port"},
    {"127.0.0.1", "localhost", "/services/0/upstreams/0/address"},
    {"127.0.0.1", "127.0.0.1:80", "/services/0/upstreams/0/address"},
    {"\"domain\":\"serra-a\"", "\"domain\":\"serra-z\"",
     "/services/0/upstreams/0/domain"},
    {"\"slots\":4", "\"slots\":0", "/services/0/upstreams/0/slots"},
    {"\"slots\":4", "\"slots\":-1", "/services/0/upstreams/0/slots"},
    {"\"slots\":4", "\"slots\":4.5", "/services/0/upstreams/0/slots"},
    {"\"leaving\":true", "\"leaving\":1", "/services/0/upstreams/0/leaving"},
    {"\"leaving\"", "\"leave\"", "/services/0/upstreams/0/leave"},
    {"\"name\":\"serra-b\"", "\"name\":\"serra-a\"", "/domains/1/name"},
    {"\"name\":\"credencial\"", "\"name\":\"a/b\"", "/services/0/name"},
    {"\"name\":\"credencial\"", "\"name\":\"\"", "/services/0/name"},
    {"\"homes\":3", "\"homes\":0", "/services/0/homes"},
    {"0.05", "1.5", "/services/0/hedgeShare"},
    {"\"POST\"", "\"post\"", "/services/0/classes/0/method"},
    {"\"/print\"", "\"print\"", "/services/0/classes/0/pathPrefix"},
    {"2000", "0", "/services/0/classes/0/deadlineMs"},
    {"1500", "99", "/resolveLifetimeMs"},
    {"\"changeId\":\"c1\"", "\"changeId\":7", "/changeId"},
    {"\"changeId\"", "\"change\"", "/change"},
};

} // namespace

BOOST_AUTO_TEST_CASE(aDocumentComesBackFromItsCanonicalBytes) {
  const auto first = parseDocument(Whole);
  BOOST_REQUIRE(first.has_value());
  const std::string bytes = serialiseDocument(first.value());
  const auto second = parseDocument(bytes);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((first.value() == second.value()));
  BOOST_TEST(bytes == serialiseDocument(second.value()));
  BOOST_TEST(second.value().Services.at(0).Upstreams.at(0).Leaving);
  BOOST_TEST(!second.value().Domains.at(1).InService);
}

BOOST_DATA_TEST_CASE(aFaultIsReportedWithItsPath, BadDocuments, it) {
  const auto parsed = parseDocument(with(Whole, it.From, it.To));
  BOOST_REQUIRE(!parsed.has_value());
  BOOST_REQUIRE(parsed.error().size() == 1u);
  BOOST_TEST(parsed.error().front().Path == it.Path);
}

BOOST_AUTO_TEST_CASE(everyFaultIsReportedAtOnce) {
  std::string text = Whole;
  text = with(text, "\"port\":80", "\"port\":0");
  text = with(text, "127.0.0.1", "upstream.example");
  text = with(text, "\"homes\":3", "\"homes\":\"3\"");
  const auto parsed = parseDocument(text);
  BOOST_REQUIRE(!parsed.has_value());
  BOOST_TEST(parsed.error().size() == 3u);
}

namespace {

const std::vector<Bad> KeysGivenTwice{
    {"\"port\":80", "\"port\":80,\"port\":81", "/services/0/upstreams/0/port"},
    {"\"port\":80", "\"port\":80,\"p\\u006frt\":80",
     "/services/0/upstreams/0/port"},
    {"\"name\":\"serra-b\"", "\"name\":\"x\",\"name\":\"serra-b\"",
     "/domains/1/name"},
    {"\"changeId\"", "\"services\":[{\"a\":[[],{},1]}],\"changeId\"",
     "/services"},
    {"\"homes\":3", "\"homes\":3,\"classes\":[]", "/services/0/classes"},
};

} // namespace

// Whoever puts a document into the platform is told; what is there already
// was accepted with the last value and goes on so.
BOOST_DATA_TEST_CASE(aKeyGivenTwiceIsAFaultOfANewDocument, KeysGivenTwice, it) {
  const std::string text = with(Whole, it.From, it.To);
  const auto parsed = parseNewDocument(text);
  BOOST_REQUIRE(!parsed.has_value());
  BOOST_REQUIRE(parsed.error().size() == 1u);
  BOOST_TEST(parsed.error().front().Path == it.Path);
  BOOST_TEST(parseDocument(text).has_value());
}

BOOST_AUTO_TEST_CASE(keysGivenTwiceAreReportedWithTheOtherFaults) {
  std::string text = Whole;
  text = with(text, "\"slots\":4", "\"slots\":4,\"slots\":4,\"slots\":5");
  text = with(text, "127.0.0.1", "upstream.example");
  const auto parsed = parseNewDocument(text);
  BOOST_REQUIRE(!parsed.has_value());
  std::vector<std::string> paths;
  for (const Fault &it : parsed.error()) {
    paths.push_back(it.Path);
  }
  const std::vector<std::string> expected{"/services/0/upstreams/0/slots",
                                          "/services/0/upstreams/0/slots",
                                          "/services/0/upstreams/0/address"};
  BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(aNewDocumentWithoutFaultsIsTheSame) {
  BOOST_TEST((parseNewDocument(Whole).value() == parseDocument(Whole).value()));
  BOOST_TEST(!parseNewDocument("{").has_value());
}

BOOST_AUTO_TEST_CASE(faultsAreBounded) {
  std::string text = R"({"services":[)";
  for (int n = 0; n < 2000; ++n) {
    text += n == 0 ? "1" : ",1";
  }
  const auto parsed = parseDocument(text + "]}");
  BOOST_REQUIRE(!parsed.has_value());
  BOOST_TEST(parsed.error().size() == MaxFaults + 1);
}

BOOST_DATA_TEST_CASE(whatIsNoDocumentIsRefused,
                     (std::vector<std::string>{"", "{", "[]", "null", "\"\"",
                                               "{\"services\":{}}",
                                               std::string(100, '['), "{} {}"}),
                     bytes) {
  BOOST_TEST(!parseDocument(bytes).has_value());
}

BOOST_AUTO_TEST_CASE(theDigestIsSha256) {
  BOOST_TEST(
      digestOf("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
