/// \file
/// What callers count and measure, and how it is printed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/json/object.hpp>

#include "zinniarail/core/Time.h"

namespace zinniarail::standins {

/// How an order ended, for the check against the upstreams' runs.
enum class OrderEnd : std::uint8_t { Served, DidNotRun, Unknown };

/// Latencies of served requests, from their arrival; bounded in number.
struct Latencies {
  std::vector<Duration> Values;
};

void record(Latencies &latencies, Duration value);

/// \param share for instance 0.99.
/// \returns zero when there are none.
Duration quantile(Latencies &latencies, double share);

/// Requests that arrived in one part of the run, and how they ended.
struct Window {
  std::uint64_t Sent = 0;
  std::uint64_t Served = 0;
  std::map<std::string, std::uint64_t> Others; ///< Other ends, by name.
  Latencies Reads;
  Latencies Orders;
};

struct Tally {
  std::uint64_t Sent = 0;    ///< Requests, not sends.
  std::uint64_t Skipped = 0; ///< Arrivals beyond the bound on open requests.
  std::uint64_t Served = 0;
  std::map<std::string, std::uint64_t> Refused; ///< By reason.
  std::uint64_t Unknown = 0;
  std::uint64_t Wrong = 0; ///< Answers to another request, or not whole.
  std::uint64_t Lost = 0;  ///< No final answer.
  std::uint64_t Sends = 0; ///< First sends and further ones.
  std::map<std::string, std::uint64_t> Marked; ///< Ends of marked requests.
  Latencies Reads;
  Latencies Orders;
  std::vector<Window> Windows;
  std::unordered_map<std::string, OrderEnd> OrderEnds; ///< By key.
  std::uint64_t Doubled = 0;       ///< Orders that ran more than once.
  std::uint64_t ServedNotRun = 0;  ///< Served, and no upstream ran them.
  std::uint64_t FalseRefusals = 0; ///< Said not to have run, but ran.
  bool Verified = false;           ///< The three above were checked.
};

/// Compares the orders with the upstreams' runs by key.
void verifyOrders(Tally &tally,
                  const std::unordered_map<std::string, unsigned> &runs);

/// \param length of the time in which requests arrived.
boost::json::object toJson(Tally &tally, Duration length);

/// The same for a person.
std::string summarize(Tally &tally, Duration length);

/// True when nothing was lost, doubled, crossed or refused untruly.
bool isSound(const Tally &tally);

} // namespace zinniarail::standins
