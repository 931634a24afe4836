/// \file
/// What instances tell each other about credit, and what the credit engine asks
/// its task to do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "zinniarail/core/Time.h"

namespace zinniarail::quota {

/// A customer and an amount of credit.
struct Amount {
  std::string Customer;
  double Credit = 0;

  bool operator==(const Amount &) const = default;
};

/// A time on the clock of the instance that receives the message, which it put
/// into an earlier message; none if Instant::min().
using EchoedTime = Instant;

/// To the lender: lends it the sender's share, and asks for credit.
struct Ask {
  /// Differs for each ask of one process; one that is sent again keeps it.
  std::uint64_t Sequence = 0;
  std::uint64_t BootId = 0; ///< Of the sender's process.
  /// When the lender sent its last answer. The share is lent from then on, so
  /// that an ask that is delayed lends it for no longer.
  EchoedTime LentFrom = Instant::min();
  /// Credit flows from the share after this time: until then, a share of the
  /// sender's previous process may still be lent to another lender.
  Duration FlowsAfter{0};
  bool BringsStartCredit = false; ///< The share was never lent before.
  bool StartsFull = false;        ///< The whole system starts the first time.
  std::vector<Amount> Wanted;

  bool operator==(const Ask &) const = default;
};

/// The lender's answer to an ask.
struct Answer {
  std::uint64_t Sequence = 0;      ///< Of the ask.
  Instant SentAt = Instant::min(); ///< On the lender's clock; to be echoed.
  std::vector<Amount> Granted;     ///< Credit may be 0.
  Duration RetryAfter{0};          ///< Where a credit is 0.

  bool operator==(const Answer &) const = default;
};

/// What a lender wants of one customer's credit.
struct CustomerReport {
  std::string Customer;
  double Wanted = 0;
  bool IsWaiting = false; ///< Requests wait for it.

  bool operator==(const CustomerReport &) const = default;
};

/// From one lender to another: sent to all at intervals, and to one at a time
/// when requests wait, since credit that two give for one need is lost.
struct Report {
  std::string Lender; ///< Id; another instance may have forwarded it.
  std::string Domain; ///< Of the lender.
  Instant SentAt = Instant::min(); ///< On its clock; to be echoed.
  std::uint32_t FleetSize = 0;     ///< Instances on record, as it knows them.
  std::vector<CustomerReport> Customers;

  bool operator==(const Report &) const = default;
};

/// Credit that a lender gives another one, in answer to its report.
struct Transfer {
  EchoedTime ReportedAt = Instant::min();
  std::uint64_t Sequence = 0; ///< Differs for each transfer of the sender.
  std::vector<Amount> Given;  ///< Credit 0: it has none for who waits.

  bool operator==(const Transfer &) const = default;
};

using Message = std::variant<Ask, Answer, Report, Transfer>;

// Actions.

/// Send a message to an instance; it may be lost or late.
struct SendMessage {
  std::string Instance;
  Message Content;
};
/// A request that was held is admitted.
struct AdmitHeld {
  std::uint64_t Request = 0;
  Instant CreditEndsAt{}; ///< As in Decision.
};
/// A request that was held is refused.
struct RefuseHeld {
  std::uint64_t Request = 0;
  Duration RetryAfter{0};
  bool IsUnanswered = false; ///< As in Decision.
};

using Action = std::variant<SendMessage, AdmitHeld, RefuseHeld>;
using Actions = std::vector<Action>;

} // namespace zinniarail::quota
