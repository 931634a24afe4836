// Whether requests are within their customers' limits: between their arrival
// and the engines.
#include "proxy/Proxy.h"

#include "proxy/Refusal.h"

namespace zinniarail::proxy {

namespace {

constexpr unsigned Unauthorized = 401;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

} // namespace

void Proxy::admit(http::ExchangeId id, HeldRequest request,
                  const Identity &caller) {
  // The instance that relays a request has taken its credit.
  const bool isLimited = caller.Holder != nullptr && !caller.IsRelayed &&
                         caller.Holder->RatePerSecond > 0 &&
                         Callbacks.TakeCredit;
  const quota::Decision decision =
      isLimited ? Callbacks.TakeCredit(request.Customer, id)
                : quota::Decision{};
  switch (decision.Result) {
  case quota::Decision::Kind::Admitted:
    return dispatch(id, std::move(request.Content), *request.MatchedRoute,
                    {caller.Holder, decision.CreditEndsAt}, request.ArrivedAt,
                    request.Deadline);
  case quota::Decision::Kind::Held:
    HeldRequests.emplace(id, std::move(request));
    return;
  case quota::Decision::Kind::Refused:
    return refuseUncredited(id, request, decision);
  }
}

void Proxy::onCreditDecided(http::ExchangeId id,
                            const quota::Decision &decision) {
  auto held = HeldRequests.extract(id);
  if (held.empty()) {
    return;
  }
  HeldRequest &request = held.mapped();
  if (decision.Result != quota::Decision::Kind::Admitted) {
    return refuseUncredited(id, request, decision);
  }
  const Customer *customer = findCustomer(Customers, request.Customer);
  if (customer == nullptr) { // Removed meanwhile.
    return refuseUndispatched(id, request.Content, Unauthorized, "unknown-key",
                              Duration{0});
  }
  dispatch(id, std::move(request.Content), *request.MatchedRoute,
           {customer, decision.CreditEndsAt}, request.ArrivedAt,
           request.Deadline);
}

void Proxy::refuseUncredited(http::ExchangeId id, const HeldRequest &request,
                             const quota::Decision &decision) {
  refuseUndispatched(id, request.Content,
                     decision.IsUnanswered ? Unavailable : TooManyRequests,
                     decision.IsUnanswered ? "credit-unknown" : "over-quota",
                     decision.RetryAfter, request.Customer);
}

void Proxy::returnCreditOf(const OpenRequest &request, const RequestEnd &end) {
  if (request.CreditEndsAt != Instant{} &&
      end.Kind == RequestEnd::EndKind::Refused &&
      end.Outcome == balance::Execution::DidNotRun) {
    Callbacks.ReturnCredit(request.Record.Customer, request.CreditEndsAt);
  }
}

} // namespace zinniarail::proxy
