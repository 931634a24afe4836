#include "platform/Platform.h"

#include <optional>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace zinniarail;

namespace {

struct LimitCase {
  const char *Text;
  std::optional<double> Limit;
};
std::ostream &operator<<(std::ostream &out, const LimitCase &it) {
  return out << it.Text;
}
const LimitCase LimitCases[] = {{"1.7", 1.7},
                                {"12", 12.0},
                                {"0", 0.0},
                                {"", std::nullopt},
                                {"-1", std::nullopt},
                                {"1.7 a second", std::nullopt},
                                {"nan", std::nullopt},
                                {"inf", std::nullopt},
                                {"many", std::nullopt}};

} // namespace

BOOST_DATA_TEST_CASE(limitOfAnUpstreamIsADecimalNumber,
                     boost::unit_test::data::make(LimitCases), row) {
  const http::Headers fields{{"Server-Limit", row.Text}};
  BOOST_TEST((platform::dialect().ReadRateLimit(fields) == row.Limit));
}
