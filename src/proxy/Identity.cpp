// Which customer a request belongs to, and the fields that tell it.
#include "proxy/Proxy.h"

#include <algorithm>

#include "proxy/Refusal.h"
#include "zinniarail/customers/RelayProof.h"

namespace zinniarail::proxy {

namespace {

std::string_view valueOf(const http::Headers &fields, std::string_view name) {
  const std::string *it = http::findHeader(fields, name);
  return it == nullptr ? std::string_view{} : *it;
}

// Whether a field has several values that differ. Another program on the way
// may have checked the other one.
bool isAmbiguous(const http::Headers &fields, const std::string &name) {
  const std::string_view first = valueOf(fields, name);
  return std::any_of(fields.begin(), fields.end(), [&](const auto &it) {
    return http::isSameHeaderName(it.Name, name) && it.Value != first;
  });
}

} // namespace

void Proxy::updateCustomers(const Configuration &config) {
  updateDirectory(Customers, config.Customers);
  RelaySecret = deriveRelaySecret(config);
}

// The customer that another instance has identified; null if none is proved.
const Customer *Proxy::relayedCustomer(const http::Request &request) const {
  const std::string_view name = valueOf(request.Fields, CustomerHeader);
  const RelayedIdentity identity{
      valueOf(request.Fields, Context.PlatformDialect->RequestId),
      request.Method, request.Target, name};
  const Customer *customer = findCustomer(Customers, name);
  // Without a key of its own, a customer's part of the secret may be known to
  // another one.
  return customer != nullptr && !name.empty() && !customer->Keys.empty() &&
                 isRelayProven(RelaySecret, identity,
                               valueOf(request.Fields, ProofHeader))
             ? customer
             : nullptr;
}

Identity Proxy::identifyCaller(const http::Request &request,
                               const Route &route) const {
  if (const Customer *it = relayedCustomer(request)) {
    return {true, it, true};
  }
  const std::string &name = Context.PlatformDialect->ApiKey;
  const std::string *key = isAmbiguous(request.Fields, name)
                               ? nullptr
                               : http::findHeader(request.Fields, name);
  return identify(Customers, route, key);
}

void Proxy::prepareFields(http::Headers &fields,
                          const Customer *customer) const {
  const Dialect &dialect = *Context.PlatformDialect;
  http::removeHopByHopHeaders(fields);
  for (const std::string &it :
       {dialect.Deadline, dialect.ExpectedInstance, std::string(RelayedHeader),
        std::string(VersionHeader), std::string(CustomerHeader),
        std::string(ProofHeader)}) {
    http::removeHeader(fields, it);
  }
  if (Customers.ByName.empty()) {
    return;
  }
  http::removeHeader(fields, dialect.ApiKey);
  http::removeHeader(fields, dialect.Customer);
  if (customer != nullptr) {
    fields.push_back({dialect.Customer, customer->Name});
  }
}

// The fields by which another instance takes a request as relayed.
http::Headers Proxy::relayFields(const OpenRequest &request) const {
  http::Headers fields{
      {RelayedHeader, "1"},
      {VersionHeader, std::to_string(Snapshot->Config->Version)}};
  const std::string &customer = request.Record.Customer;
  if (!customer.empty()) {
    const RelayedIdentity identity{request.Record.Id, request.Content->Method,
                                   request.Content->Target, customer};
    fields.push_back({CustomerHeader, customer});
    fields.push_back({ProofHeader, proveRelay(RelaySecret, identity)});
  }
  return fields;
}

} // namespace zinniarail::proxy
