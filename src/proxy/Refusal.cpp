#include "proxy/Refusal.h"

#include <array>
#include <charconv>

#include <boost/json.hpp>

namespace zinniarail::proxy {

namespace {

constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;

std::string formatSeconds(Duration duration) {
  constexpr double microsPerSecond = 1e6;
  std::array<char, 32> text;
  const auto [end, ec] =
      std::to_chars(text.data(), text.data() + text.size(),
                    static_cast<double>(duration.count()) / microsPerSecond,
                    std::chars_format::fixed, 3);
  return {text.data(), ec == std::errc{} ? end : text.data()};
}

} // namespace

http::Response makeRefusal(const RequestEnd &end) {
  http::Response response{end.Status, {}, {}};
  response.Fields = {{"Content-Type", "application/json"},
                     {OutcomeHeader, nameOf(end.Outcome)},
                     {ReasonHeader, end.Reason}};
  // Retry-After invites the caller to send the request again, which is safe
  // only if the request did not run.
  if (end.RetryAfter > Duration{0} &&
      end.Outcome == balance::Execution::DidNotRun) {
    response.Fields.push_back({"Retry-After", formatSeconds(end.RetryAfter)});
  }
  response.Body = boost::json::serialize(boost::json::object{
      {"error", end.Reason}, {"outcome", nameOf(end.Outcome)}});
  return response;
}

unsigned statusOf(balance::RefusalReason reason, balance::Execution execution) {
  if (execution == balance::Execution::DidNotRun) {
    return Unavailable;
  }
  return reason == balance::RefusalReason::DeadlinePassed ? GatewayTimeout
                                                          : BadGateway;
}

} // namespace zinniarail::proxy
