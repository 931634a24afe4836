/// \file
/// Keeps the requests of each customer within its limit over the whole fleet:
/// the credit engine of one instance. Every instance owns an equal share of
/// each limit and lends it to the lender of its failure domain, the instance
/// that reads the store for the others. What is lent is not used by its owner,
/// so no two instances ever use the same share, whatever they know of each
/// other. Does no I/O and reads no clock; all times are of a clock that also
/// counts the time while the machine is suspended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "zinniarail/core/Random.h"
#include "zinniarail/quota/Limits.h"
#include "zinniarail/quota/Messages.h"

namespace zinniarail::quota {

/// An instance on record.
struct KnownInstance {
  std::string Id;
  std::string Domain;

  bool operator==(const KnownInstance &) const = default;
};

/// The identity of the engine's instance.
struct Identity {
  std::string Id;
  std::string Domain;
  std::uint64_t BootId = 0;
  bool IsFirstStart = false; ///< The whole system starts for the first time.
};

/// The state of the engine, made by makeEngine; internal to the module.
struct Engine;

struct EngineDelete {
  void operator()(Engine *engine) const;
};
using EnginePtr = std::unique_ptr<Engine, EngineDelete>;

EnginePtr makeEngine(Identity self, QuotaSettings settings, Random random,
                     Instant now);

/// Sets the limits in force, by customer. Customers that are not listed, or
/// whose rate is 0, have none.
void setLimits(Engine &engine, const std::map<std::string, CustomerLimit> &all,
               Instant now);

/// Sets the instances on record; empty while they are not known.
/// \param size the number on record, which may be more than are known.
void setFleet(Engine &engine, std::vector<KnownInstance> recorded,
              std::size_t size, Instant now);

/// Sets the lender of this failure domain, maybe this instance; empty: none is
/// known.
void setLender(Engine &engine, const std::string &lender, Instant now);

/// Whether a request is admitted.
struct Decision {
  enum class Kind : std::uint8_t {
    Admitted,
    Held, ///< AdmitHeld or RefuseHeld follows, after MaxHoldTime at most.
    Refused
  };
  Kind Result = Kind::Admitted;
  Duration RetryAfter{0}; ///< If it is refused.
  /// If it is admitted, until when its credit may be given back.
  Instant CreditEndsAt{};
  /// If it is refused: not as over the limit, but since no lender says so.
  bool IsUnanswered = false;
};

/// The longest time that a request is held.
constexpr Duration MaxHoldTime = std::chrono::milliseconds{100};

/// Takes credit for a request.
/// \param request identifies it in AdmitHeld and RefuseHeld.
Decision takeCredit(Engine &engine, const std::string &customer,
                    std::uint64_t request, Instant now, Actions &out);

/// Gives back the credit of a request that did not run.
/// \param endsAt as it was admitted with; later it is lost, since it could be
/// used in a window that had all of its own.
void returnCredit(Engine &engine, const std::string &customer, Instant endsAt,
                  Instant now);

/// Forgets a request that is held, since its caller left.
void forgetRequest(Engine &engine, std::uint64_t request);

/// Handles a message of another instance.
void handleMessage(Engine &engine, const std::string &from,
                   const Message &message, Instant now, Actions &out);

/// Does what is due. To be called at nextTick.
void tick(Engine &engine, Instant now, Actions &out);

/// When to call tick next; Instant::max() while there are no limits.
Instant nextTick(const Engine &engine);

/// Counts of one customer since the engine was made, and its credit now.
struct CustomerStatus {
  std::uint64_t Asked = 0;      ///< Requests.
  std::uint64_t Admitted = 0;   ///< Of these.
  std::uint64_t OverQuota = 0;  ///< Of these, refused.
  std::uint64_t Unanswered = 0; ///< Refused since no lender answered.
  double Credit = 0;            ///< In the pool of this instance, and in hand.
  double Lent = 0;              ///< Given to other instances.
};

/// The customers with a limit, by name.
std::map<std::string, CustomerStatus> statusOf(const Engine &engine);

/// The state as JSON with stable keys, for a dump.
boost::json::object describe(const Engine &engine, Instant now);

} // namespace zinniarail::quota
