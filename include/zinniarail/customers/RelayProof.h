/// \file
/// Proof that a relayed request comes from another instance, which has checked
/// the customer's key. The secret follows from the keys of all customers, so a
/// caller, who knows only its own, can't make one for another customer.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "zinniarail/intent/Configuration.h"

namespace zinniarail {

/// What the proof of a relayed request covers.
struct RelayedIdentity {
  std::string_view RequestId;
  std::string_view Method;
  std::string_view Target;
  std::string_view Customer; ///< The name.
};

/// Derives the secret that all instances with a configuration share.
/// \returns an empty secret, with which nothing is proved, if there are no
/// keys.
std::string deriveRelaySecret(const Configuration &configuration);

/// \returns the proof as hexadecimal digits; empty without a secret.
std::string proveRelay(const std::string &secret, const RelayedIdentity &it);

/// Whether a proof is valid. Takes the same time for each wrong proof.
bool isRelayProven(const std::string &secret, const RelayedIdentity &it,
                   std::string_view proof);

} // namespace zinniarail
