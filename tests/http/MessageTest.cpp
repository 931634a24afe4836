#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/Message.h"

using namespace zinniarail;
using namespace zinniarail::http;
using namespace std::chrono_literals;

namespace {

struct RetryAfterCase {
  std::string Text;
  std::optional<Duration> Expected;
};

std::ostream &operator<<(std::ostream &out, const RetryAfterCase &it) {
  return out << '"' << it.Text << '"';
}

constexpr Duration Year = std::chrono::hours{24 * 365};

const std::vector<RetryAfterCase> RetryAfterCases{
    {"2", 2s},
    {"0.25", 250ms},
    {"0", 0s},
    {"-3", -3s},
    {"1e300", Year},
    {"inf", Year},
    {"99999999999999999999", Year},
    {"", std::nullopt},
    {"nan", std::nullopt},
    {"soon", std::nullopt},
    {"2s", std::nullopt},
    {"Fri, 04 Dec 2026 08:00:00 GMT", std::nullopt}};

} // namespace

BOOST_DATA_TEST_CASE(retryAfterIsParsed, RetryAfterCases, it) {
  BOOST_TEST((parseRetryAfter(it.Text) == it.Expected));
}
