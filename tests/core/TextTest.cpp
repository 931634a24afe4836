#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "zinniarail/core/Core.h"

using namespace zinniarail;
using namespace std::chrono_literals;

namespace text_test {

struct Case {
  const char *Text;
  std::optional<Duration> Expected;
};

std::ostream &operator<<(std::ostream &out, const Case &it) {
  return out << it.Text;
}

const std::vector<Case> Cases{
    {"1500ms", 1500ms},   {"2.5s", 2500ms},        {"0s", 0ms},
    {"0.5ms", 500us},     {"", std::nullopt},      {"5", std::nullopt},
    {"s", std::nullopt},  {"-1s", std::nullopt},   {"1 s", std::nullopt},
    {"1m", std::nullopt}, {"1e99s", std::nullopt}, {"nans", std::nullopt}};

} // namespace text_test
using namespace text_test;

BOOST_DATA_TEST_CASE(durationsAreParsed, Cases, it) {
  BOOST_TEST((parseDuration(it.Text) == it.Expected));
}

BOOST_AUTO_TEST_CASE(durationsAreFormatted) {
  BOOST_TEST(formatDuration(2500ms) == "2500ms");
  BOOST_TEST(formatDuration(1999us) == "1ms");
}

BOOST_DATA_TEST_CASE(invalidAddressesAreRejected,
                     (std::vector<std::string>{"", "1.2.3.4",
                                               "1.2.3.4:", "1.2.3.4:0",
                                               "1.2.3.4:70000", "localhost:80",
                                               "1.2.3:80", "1.2.3.4:80x"}),
                     text) {
  BOOST_TEST(parseAddress(text).Host.empty());
}

BOOST_AUTO_TEST_CASE(anAddressIsParsed) {
  const SocketAddress it = parseAddress("10.1.2.3:8080");
  BOOST_TEST(it.Host == "10.1.2.3");
  BOOST_TEST(it.Port == 8080);
}
